#!/usr/bin/env bash
# Fuzzes one target with libFuzzer, the address and the undefined-behaviour
# sanitizer: tools/fuzz.sh TARGET [SECONDS]. New inputs and faults are written
# to build-fuzz/TARGET/, the committed corpus is only read.
set -euo pipefail
cd "$(dirname "$0")/.."
target=${1:?usage: tools/fuzz.sh TARGET [SECONDS]}
seconds=${2:-60}
sanitizers=address,undefined
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
  -DCMAKE_C_COMPILER=clang -DCRANBERRYHILL_LIBFUZZER=ON \
  -DCMAKE_CXX_FLAGS="-fsanitize=fuzzer-no-link,$sanitizers -fno-sanitize-recover=all" \
  -DCMAKE_EXE_LINKER_FLAGS="-fsanitize=$sanitizers" >build-fuzz.log 2>&1 ||
  { cat build-fuzz.log; exit 1; }
rm -f build-fuzz.log
cmake --build build-fuzz -j "${JOBS:-$(nproc)}" --target "${target}_fuzz"
mkdir -p "build-fuzz/$target"
"build-fuzz/fuzz/${target}_fuzz" -seed=1 -max_total_time="$seconds" \
  -max_len=4096 -timeout=10 -rss_limit_mb=2048 -print_final_stats=1 \
  -artifact_prefix="build-fuzz/$target-" \
  "build-fuzz/$target" "fuzz/corpus/$target"
