#!/usr/bin/env bash
# Compiles the stand-ins and scripts' programs of cases 4 to 8 into target/review-2, against the jar
# that the build of the deploy file leaves. Needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/run/marigoldsail.jar review/stand-ins-2/*.java
