#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/standins
if [[ ! -x $program ]]; then
    echo "review/build-2.sh has not been run" >&2
    exit 2
fi
exec "$program" stopped review/6
