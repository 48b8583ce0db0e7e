#!/usr/bin/env bash
# Installs every Debian 12 package that the build, the checks and the demo need.
set -euo pipefail

packages=(
  cmake ninja-build g++ clang-format clang-tidy clang libclang-rt-14-dev ccache
  curl python3 git
  libspdlog-dev libcxxtools-dev libnghttp2-dev prometheus-cpp-dev libabsl-dev libfmt-dev
  libboost1.81-dev libboost-test1.81-dev librapidcheck-dev
  nlohmann-json3-dev libxxhash-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]} > 0)); then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
