#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on them.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-asan}
jobs=${JOBS:-$(nproc)}
git ls-files '*.h' '*.cc' | xargs clang-format --dry-run -Werror
cmake --preset "$preset" >/dev/null
git ls-files '*.cc' | xargs -P "$jobs" -n 1 clang-tidy --quiet -p "build/$preset" 2>/dev/null
echo "formatter and linter: no findings"
