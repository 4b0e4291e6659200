#!/bin/sh
# Builds the stand-ins of the scripts of the third review. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
for program in badversion crashpart giveup members replace; do
	go build -tags review -o "target/review-3/$program" "./review/standins-3/$program"
done
