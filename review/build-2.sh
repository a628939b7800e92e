#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build
# of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
cmake --build target --target ps_process_group -j8 >/dev/null
flags=(-std=c++17 -O1 -Wall -Wextra -I. -Isrc
  -DPERIDOTSAIL_BIN_DIR="\"$PWD/target/bin\""
  -DSPDLOG_SHARED_LIB -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL
  -DBOOST_ASIO_DISABLE_CONCEPTS)
libraries=(target/src/testing/libps_process_group.a target/src/http/libps_http.a
  target/src/base/libps_base.a -lspdlog -lfmt -lcrypto -lz -lpthread)
common=(platform/testing/PlatformFixture.cc
  platform/testing/FakePlatformStore.cc platform/testing/ScriptedInstance.cc)
jobs=()
for source in "${common[@]}" review/stand-2/*.cc; do
  object=$out/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
objects=("$out/ReviewCase.o" "$out/EntryHost.o")
for source in "${common[@]}"; do
  objects+=("$out/$(basename "$source" .cc).o")
done
for source in review/stand-2/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = ReviewCase ] || [ "$name" = EntryHost ] && continue
  g++ -o "$out/$name" "$out/$name.o" "${objects[@]}" "${libraries[@]}"
done
