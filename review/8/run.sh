#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 112 java -Xmx256m -Dsun.net.http.allowRestrictedHeaders=true \
  -Dsun.net.http.retryPost=false -Dsun.net.httpserver.nodelay=true \
  -cp target/review-2:target/run/marigoldsail.jar RouteCase review/8
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
