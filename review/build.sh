#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the packages of
# the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
shared=(Net Record Store Server Host Rig Machines Fleet)
objects=()
compile() {
  g++ -std=c++17 -O1 -Wall -Wextra -Wshadow -pthread -c "review/stand/$1.cc" -o "$out/$1.o"
}
pids=()
for name in "${shared[@]}"; do
  compile "$name" &
  pids+=($!)
  objects+=("$out/$name.o")
done
for program in review/stand/*Case.cc; do
  compile "$(basename "$program" .cc)" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for program in review/stand/*Case.cc; do
  name=$(basename "$program" .cc)
  g++ -pthread "$out/$name.o" "${objects[@]}" -o "$out/$name"
done
