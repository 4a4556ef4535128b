#!/usr/bin/env bash
# Runs the script of one case: run-case.sh CASE FOLDER. Used by the run.sh of each case.
#
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/.."
program=target/review/review-standin
if [ ! -x "$program" ] || [ ! -x target/release/borageladder-gateway ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
export TMPDIR="$folder" REVIEW_PROCESSES="$folder/processes"
touch "$REVIEW_PROCESSES"
clean() {
    # Only processes that the case has started, by their identifiers.
    while read -r process; do
        case $(cat "/proc/$process/comm" 2> /dev/null) in
            borageladder-ga* | review-standin) kill -s KILL "$process" 2> /dev/null ;;
        esac
    done < "$REVIEW_PROCESSES"
    rm -rf "$folder"
}
trap clean EXIT
trap 'exit 2' INT TERM
timeout --signal=KILL 118 "$program" "$1" "$2/record.txt"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
