#!/bin/sh
# Builds the stand-ins of the scripts into target/review. The routers are built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/stand
