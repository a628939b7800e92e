#!/usr/bin/env bash
# Measures the slopes and writes the tables of docs/CAPACITY.md anew, between
# its two markers.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release -j "${JOBS:-$(nproc)}" --target capacity_report
tables=$(mktemp)
build/release/bin/capacity_report >"$tables"
page=docs/CAPACITY.md
awk -v tables="$tables" '
  /^<!-- tables begin -->/ { print; while ((getline line < tables) > 0) print line; skip = 1 }
  /^<!-- tables end -->/ { skip = 0 }
  !skip && !/^<!-- tables begin -->/ { print }
' "$page" >"$page.new"
mv "$page.new" "$page"
