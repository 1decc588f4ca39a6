#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the build of the deploy file, whose
# archive holds the JSON library that the stand-ins use.
set -eu
cd "$(dirname "$0")/.."
test -f target/run/marigoldsail.jar || { echo "build the deploy file first" >&2; exit 2; }
rm -rf target/review
mkdir -p target/review
javac -Xlint:-options -cp target/run/marigoldsail.jar -d target/review review/standins/*.java
