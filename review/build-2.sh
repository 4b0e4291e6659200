#!/bin/sh
# Builds the stand-ins of the scripts of the second review. Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/standins ./review/standins-2
