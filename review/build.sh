#!/bin/sh
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness review/harness/*.go
