#!/usr/bin/env bash
# Runs one case of the review: run-case.sh PROGRAM FOLDER. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. Ends all
# processes of the case.
set -um
program=$(cd "$(dirname "$0")/../.." && pwd)/target/review-2/$1
limit_s=110
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
"$program" "$2/record.txt" &
case_pid=$!
(sleep "$limit_s"; kill -KILL -- "-$case_pid") 2>/dev/null &
guard_pid=$!
wait "$case_pid"
status=$?
kill -KILL -- "-$case_pid" 2>/dev/null
kill -KILL -- "-$guard_pid" 2>/dev/null
[ "$status" -le 2 ] || status=2
exit "$status"
