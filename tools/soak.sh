#!/usr/bin/env bash
# Runs the fault soak of the gateway: first the seeds that ever failed, then
# the seeds FIRST to LAST, JOBS at a time (75 s each). Settings files and logs
# stay in DIRECTORY/SEED. Fails when any seed broke a promise.
#
#   tools/soak.sh FIRST LAST [JOBS] [DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:?FIRST LAST [JOBS] [DIRECTORY]}
last=${2:?FIRST LAST [JOBS] [DIRECTORY]}
jobs=${3:-8}
export SOAK_DIRECTORY=${4:-/tmp/gateway_soak}
mkdir -p "$SOAK_DIRECTORY"

run_seed() {
  build/programs/gateway_soak --gateway=build/programs/cranberryhill-gateway \
    --directory="$SOAK_DIRECTORY/$1" --seed="$1" >"$SOAK_DIRECTORY/$1.out" 2>&1
}
export -f run_seed

failed=0
{
  grep -v '^#' soak/regression_seeds.txt | cut -d' ' -f1
  seq "$first" "$last"
} | sort -nu | xargs -P "$jobs" -I{} bash -c 'run_seed {}' || failed=1
grep -H BROKEN "$SOAK_DIRECTORY"/*.out || true
echo "$(ls "$SOAK_DIRECTORY"/*.out | wc -l) seeds," \
  "$(grep -l 'broken=0' "$SOAK_DIRECTORY"/*.out | wc -l) without a broken promise"
exit "$failed"
