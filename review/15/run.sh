#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-3/giveup
if [ ! -x "$program" ] || [ ! -x target/geraniumsaddle ]; then
	echo "build first: the build of deploy/system.toml, then review/build-3.sh"
	exit 2
fi
exec "$program" -record "$here/record.txt"
