#!/usr/bin/env bash
# Builds the gateway program in build-release/ as the deploy file does. The
# optimizer reports warnings that the build in build/ does not.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
cmake -S . -B build-release -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCRANBERRYHILL_GATEWAY_ONLY=ON >"$log" 2>&1 || { cat "$log"; exit 1; }
cmake --build build-release -j "${JOBS:-$(nproc)}"
