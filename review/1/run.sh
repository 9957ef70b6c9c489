#!/usr/bin/env bash
# Plays the case against the built programs and writes record.txt; see claim.txt.
# With TROUBLE=0 the store stays up.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --preserve-status --signal=TERM --kill-after=5 115 target/review/rig ends review/1
