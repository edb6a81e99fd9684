#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/review review/tools-2/*.go
