#!/usr/bin/env bash
# Runs the program of a case for the run.sh in the case's folder:
#
#   run-case.sh <program in target/review> <folder of the case>
#
# TROUBLE=0 leaves out the disruption. Exits with 0 if the rule held, 1 if it
# was broken and 2 if the case could not run.
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/target/review/$1
folder=$(cd "$2" && pwd)
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/peridotsail" ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 115 "$program" "$folder" "$temporary" "$root/target/bin/peridotsail" "${TROUBLE:-1}"
code=$?
grep -E 'rule (held|broken)|could not run' "$folder/record.txt"
if [ "$code" -gt 1 ]; then
  exit 2
fi
exit "$code"
