#!/usr/bin/env bash
# Measures a daemon of the demo system: memory and CPU at rest, then the times
# of chats through it as a ratio to the same engine without it.
#
#   tools/measure_daemon.sh --base=50 --seed=1
set -euo pipefail
cd "$(dirname "$0")/.."

base=40
seed=1
rest_seconds=30
for argument in "$@"; do
  case $argument in
    --base=*) base=${argument#*=} ;;
    --seed=*) seed=${argument#*=} ;;
    *)
      echo "unknown argument: $argument" >&2
      exit 2
      ;;
  esac
done
. tools/demo_system.sh

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$(pid_of "$1")/stat"; }
memory_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$(pid_of "$1")/status"; }

start_system
sleep 5
declare -A before
for name in a b c; do before[$name]=$(cpu_ticks "entry-$name"); done
sleep "$rest_seconds"
for name in a b c; do
  echo "entry-$name at rest: $(memory_kb "entry-$name") kB resident," \
    "$(($(cpu_ticks "entry-$name") - before[$name])) ticks of" \
    "1/$(getconf CLK_TCK) s in $rest_seconds s"
done

# With one engine in the document, both ways lead to the same engine.
sed -e '/"engine-\(a2\|b1\|b2\|c1\|c2\)"/d' -e '/"engine-a1"/s/,$//' \
  "$work/environment.json" >"$work/one_engine.json"
ctl apply "$work/one_engine.json" >/dev/null
ctl promote >/dev/null
wait_for_entry a '"generation":2' 200
"$bin/cranberryhill-load" --targets="127.0.$zone_a.1:8081" \
  --direct="$(engine_address a1)" --mix=short_questions --rate=10 \
  --duration=30s --seed="$seed" --verify
