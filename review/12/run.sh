#!/usr/bin/env bash
# Runs case 12 in the root of the repository, after review/build-3.sh. TROUBLE=0 leaves the kill out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/ManyImagesCase.class ] || { echo "run review/build-3.sh first"; exit 2; }
timeout --kill-after=5 115 java -Xmx512m -cp target/review-3:target/run/marigoldsail.jar \
  ManyImagesCase review/12 "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
