#!/usr/bin/env bash
# DRAIN: a backend server leaves 5 s after the store was silent for a quarter of a second.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout 110 target/review/standin2 drain --dir review/6 --program target/sassafrastray --trouble="$trouble"
status=$?
[ "$status" = 124 ] && status=2
exit "$status"
