#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on them. The linter reads
# the compile commands of a folder of its own, without precompiled headers,
# which it cannot use.
#
# A file that had no findings is not read again while its content, all headers,
# the build files, the linter and its settings are the same: LINT_CACHE holds an
# empty file for each such state.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
export LINT_CACHE=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/peridotsail-lint}
mkdir -p "$LINT_CACHE"
git ls-files '*.h' '*.cc' | xargs clang-format --dry-run -Werror
cmake -S . -B build/lint -G Ninja -DCMAKE_BUILD_TYPE=Debug >/dev/null
LINT_BASE=$({ clang-tidy --version; git ls-files -z '*.h' '*CMakeLists.txt' .clang-tidy |
  xargs -0 sha256sum; } | sha256sum | cut -d' ' -f1)
export LINT_BASE
lint_file() {
  local key
  key=$({ echo "$LINT_BASE"; sha256sum "$1"; } | sha256sum | cut -d' ' -f1)
  [ -e "$LINT_CACHE/$key" ] && return
  clang-tidy --quiet -p build/lint "$1" 2>/dev/null
  touch "$LINT_CACHE/$key"
}
export -f lint_file
git ls-files '*.cc' | xargs -P "$jobs" -I{} bash -c 'set -e; lint_file "$1"' _ {}
echo "formatter and linter: no findings"
