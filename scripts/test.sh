#!/usr/bin/env bash
# Sets up, builds and runs all tests. The preset is release, asan or tsan.
# Tests listed in KNOWN-RED.txt are run and printed but do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-asan}
jobs=${JOBS:-$(nproc)}
scripts/setup.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -j "$jobs"
ctest --preset "$preset" -j "$jobs"
