#!/usr/bin/env bash
# Runs the soak with gateways of two builds side by side: the present one in
# build/ and that of COMMIT, which is built in build/other-COMMIT. Each of the
# seeds FIRST to LAST is run once as an upgrade from COMMIT and once as a
# rollback to it, JOBS runs at a time (80 s each). Settings files and logs stay
# in DIRECTORY/SEED-upgrade and DIRECTORY/SEED-rollback. Fails when any run broke
# a promise.
#
#   tools/mixed_builds.sh COMMIT FIRST LAST [JOBS] [DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
usage="COMMIT FIRST LAST [JOBS] [DIRECTORY]"
commit=$(git rev-parse --short=7 "${1:?$usage}^{commit}")
first=${2:?$usage}
last=${3:?$usage}
jobs=${4:-2}
export SOAK_DIRECTORY=${5:-/tmp/gateway_soak_$commit}
mkdir -p "$SOAK_DIRECTORY"

tree=build/other-$commit
if [ ! -e "$tree/CMakeLists.txt" ]; then
  git worktree add --detach "$tree" "$commit"
fi
cmake -S "$tree" -B "$tree/build" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCRANBERRYHILL_GATEWAY_ONLY=ON >/dev/null
cmake --build "$tree/build" -j2 --target cranberryhill-gateway
export OTHER_GATEWAY=$tree/build/cranberryhill-gateway
cmake --build build -j2 --target cranberryhill-gateway gateway_soak

run_seed() {
  local flags=()
  [ "$2" = rollback ] && flags=(--rollback)
  build/programs/gateway_soak --gateway=build/programs/cranberryhill-gateway \
    --other_gateway="$OTHER_GATEWAY" "${flags[@]}" --seed="$1" \
    --directory="$SOAK_DIRECTORY/$1-$2" >"$SOAK_DIRECTORY/$1-$2.out" 2>&1
}
export -f run_seed

failed=0
for seed in $(seq "$first" "$last"); do
  printf '%s upgrade\n%s rollback\n' "$seed" "$seed"
done | xargs -P "$jobs" -L1 bash -c 'run_seed "$@"' run_seed || failed=1
for seed in $(seq "$first" "$last"); do
  for direction in upgrade rollback; do
    out=$SOAK_DIRECTORY/$seed-$direction.out
    grep -H BROKEN "$out" || true
    echo "$seed $direction: $(tail -1 "$out")"
  done
done
exit "$failed"
