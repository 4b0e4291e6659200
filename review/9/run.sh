#!/bin/sh
# A watcher of a fleet of 18 routers is cut off from the store just before an engine drains.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/geraniumsaddle ] && [ -x target/review-2/standins ] || { echo "build first: deploy/system.toml, review/build-2.sh" >&2; exit 2; }
exec target/review-2/standins watchers review/9/record.txt
