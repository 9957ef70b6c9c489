#!/bin/sh
# Builds the stand-ins and the driver of the script cases 6 to 10.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/stand2
