#!/usr/bin/env bash
# Runs case 9 in the root of the repository, after review/build-3.sh. TROUBLE=0 leaves the crash out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/SameIdCase.class ] || { echo "run review/build-3.sh first"; exit 2; }
timeout --kill-after=5 115 java -Xmx512m -cp target/review-3:target/run/marigoldsail.jar \
  SameIdCase review/9 "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
