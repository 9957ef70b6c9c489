#!/bin/sh
# Builds the driver of the scripted cases of the third review, with all of its stand-ins.
# It is run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/cases3
