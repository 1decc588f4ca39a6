#!/usr/bin/env bash
# Runs the program of a case: run-case.sh NUMBER CLASS TROUBLE, TROUBLE being 0 for a run without the
# disruption. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/run/marigoldsail.jar ] || [ ! -f "target/review/$2.class" ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
timeout -k 5 115 java -Xmx256m -XX:+UseSerialGC -cp target/review:target/run/marigoldsail.jar \
  "$2" "review/$1/record.txt" "$3"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
