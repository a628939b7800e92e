#!/usr/bin/env bash
# Installs the build's packages. Does nothing when all of them are present.
set -euo pipefail
packages=(g++ cmake ninja-build libboost1.81-dev libwebsocketpp-dev libdocopt-dev
  libspdlog-dev catch2 nlohmann-json3-dev libssl-dev)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${packages[@]}"
fi
