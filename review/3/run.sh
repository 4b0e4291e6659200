#!/bin/sh
# Plays the case and writes record.txt beside this file. Exit status: 1 the rule was broken, 0 it held, 2 not run.
# TROUBLE=0 plays it without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x target/geraniumsaddle ] && [ -x target/review/stand ] || { echo "build first" >&2; exit 2; }
exec target/review/stand idleclose review/3
