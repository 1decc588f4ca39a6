#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases of the third review into target/review-3, after
# the build of the deploy file. Exit status 0 if all are built.
set -eu
cd "$(dirname "$0")/.."
jar=target/run/marigoldsail.jar
if [ ! -f "$jar" ]; then
  echo "build-3: $jar is missing; run the build of deploy/system.toml first"
  exit 1
fi
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp "$jar" review/stand-ins-3/*.java
