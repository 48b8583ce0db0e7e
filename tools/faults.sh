#!/usr/bin/env bash
# Provokes faults in a system of daemons and stand-ins on loopback while
# cranberryhill-load sends requests, and prints one line a case and a table.
# Exits with 1 when a request was lost, doubled, cut, wrong or wrongly refused,
# or when a check of a case failed. Stops everything that it started.
#
#   tools/faults.sh --list
#   tools/faults.sh                            all cases and pairs, one by one
#   tools/faults.sh --case=engine_killed,table_outage
#   tools/faults.sh --case=engine_killed+table_outage     both at a time
#   tools/faults.sh --seed=7 --steps=6         random faults in one system
#   --base=50 uses 127.0.50.x to 127.0.53.x (a multiple of 10, default 40)
#   --load_seed=1 --rate=20 --service_rate=4 --mix=mixed
#   --keep=DIR keeps reports (JSON, HTML) and logs of each case in DIR
set -euo pipefail
cd "$(dirname "$0")/.."

base=40
cases=""
seed=""
steps=6
load_seed=1
rate=20
service_rate=4
mix=mixed
keep=""

# Seconds of load before the fault.
readonly fault_at=4

# NAME SECONDS RESETS EXPECTED: length of the load; whether connections of
# callers may be lost; refusal codes that the design prescribes, or "-".
case_table="
none 10 no -
entry_killed 16 yes -
entry_paused 24 yes -
engine_killed 16 no -
engine_slowed 18 no -
engine_silent 16 no -
crash_prompt 20 no -
table_outage 32 no table_unavailable
table_slow 18 no -
table_lost_answers 14 no -
object_outage 20 no table_unavailable
operators_racing 16 no -
engine_leaving 18 no -
role_change 40 no -
entry_restarted_without_table 32 no table_unavailable
"
pairs="engine_killed+table_outage entry_killed+engine_killed
entry_paused+engine_slowed engine_silent+table_lost_answers
engine_killed+engine_slowed"

for argument in "$@"; do
  case $argument in
    --list)
      awk 'NF { print $1 }' <<<"$case_table"
      tr -s ' \n' '\n' <<<"$pairs"
      exit 0
      ;;
    --case=*) cases=${argument#*=} ;;
    --seed=*) seed=${argument#*=} ;;
    --steps=*) steps=${argument#*=} ;;
    --base=*) base=${argument#*=} ;;
    --load_seed=*) load_seed=${argument#*=} ;;
    --rate=*) rate=${argument#*=} ;;
    --service_rate=*) service_rate=${argument#*=} ;;
    --mix=*) mix=${argument#*=} ;;
    --keep=*) keep=${argument#*=} ;;
    *)
      echo "unknown argument: $argument" >&2
      exit 2
      ;;
  esac
done
. tools/demo_system.sh
[ -z "$keep" ] || mkdir -p "$keep"

# A failed check of the running case; faults run in subshells.
problem() { echo "$*" >>"$work/problems"; }

# --- faults; each returns when its effect is over or only needs time ---

fault_none() { :; }

fault_entry_killed() {
  kill_hard entry-b
  sleep 3
  start_entry b
}

# Beyond the lease of 6 s.
fault_entry_paused() {
  kill -STOP "$(pid_of entry-b)"
  sleep 9
  kill -CONT "$(pid_of entry-b)"
}

fault_engine_killed() {
  kill_hard engine-a1
  sleep 3
  start_engine a1
}

fault_engine_slowed() {
  engine_post b1 /faults '{"slow_factor":5}'
  sleep 7
  engine_post b1 /faults '{"slow_factor":1}'
}

fault_engine_silent() { engine_post a2 /faults '{"silent":true}'; }

# One caller sends a prompt that crashes engines, and sends it again through
# the same instance.
fault_crash_prompt() {
  local name crashes=0 try answer
  for name in $engines; do
    engine_post "$name" /faults '{"crash_on_prompt":"poison-7"}'
  done
  for try in 1 2 3; do
    answer=$(curl -s -m 20 "http://127.0.$zone_a.1:8080/v1/chat/completions" \
      -H 'x-customer: dealer-7' -H 'content-type: application/json' \
      -d '{"model":"parts","max_tokens":4,"messages":[{"role":"user","content":"poison-7"}]}' || true)
  done
  for name in $engines; do
    if ! kill -0 "$(pid_of "engine-$name")" 2>/dev/null; then
      crashes=$((crashes + 1))
      start_engine "$name"
    fi
  done
  note "$crashes engines crashed"
  grep -q '"crashes_engines"' <<<"$answer" ||
    problem "the third repeat was answered with: $answer"
  # One request crashes at most 2 engines through one instance.
  ((crashes <= 2)) || problem "one request crashed $crashes engines"
}

fault_table_outage() {
  platform_faults '{"outage_ms":20000}'
  sleep 20
}

fault_table_slow() {
  platform_faults '{"slow_ms":500}'
  sleep 8
  platform_faults '{}'
}

fault_table_lost_answers() { platform_faults '{"lose_answers":10}'; }

# The stand-in serves both stores, so the table is down as well.
fault_object_outage() {
  platform_faults '{"outage_ms":8000}'
  sleep 8
}

# Two operators apply and promote different documents at the same time, five
# rounds. Each command must win (0) or lose the race (3); a promotion that
# starts after the other one has ended finds nothing to promote (2).
fault_operators_racing() {
  local round operator before after wins=0 code name tries
  for operator in 1 2; do
    sed "s/\"weight\": 1/\"weight\": $((operator + 1))/" \
      "$work/environment.json" >"$work/operator-$operator.json"
  done
  before=$(ctl --output=json history | grep -o '"version":' | wc -l)
  for round in 1 2 3 4 5; do
    for operator in 1 2; do
      (
        code=0
        author="operator-$operator" ctl apply \
          "$work/operator-$operator.json" >>"$work/ctl.log" 2>&1 || code=$?
        echo "$code" >"$work/apply-$operator"
        code=0
        author="operator-$operator" ctl promote \
          >"$work/promote-$operator.log" 2>&1 || code=$?
        echo "$code" >"$work/promote-$operator"
      ) &
    done
    for tries in $(seq 100); do
      [ -s "$work/promote-1" ] && [ -s "$work/promote-2" ] && break
      sleep 0.1
    done
    for name in apply-1 apply-2 promote-1 promote-2; do
      code=$(cat "$work/$name" 2>/dev/null || echo none)
      case $name-$code in
        apply-*-0) wins=$((wins + 1)) ;;
        *-0 | *-3) ;;
        promote-*-2)
          grep -q 'is in production already' "$work/$name.log" ||
            problem "round $round: $name: $(cat "$work/$name.log")"
          ;;
        *) problem "round $round: $name ended with $code" ;;
      esac
      rm -f "$work/$name"
    done
  done
  after=$(ctl --output=json history | grep -o '"version":' | wc -l)
  note "$wins of 10 applied"
  ((after - before == wins)) ||
    problem "$wins applies succeeded, the history grew by $((after - before))"
}

# No new work 5 s after the mark; the longest answers of the mix take 1 s.
fault_engine_leaving() {
  local i running
  engine_post c1 /faults '{"leaving":true}'
  sleep 7
  for i in $(seq 10); do
    running=$(engine_status c1 running)
    [ "$running" = 0 ] ||
      problem "the leaving engine ran $running streams after 7 s"
    sleep 0.3
  done
}

fault_role_change() {
  local name changed=0
  sed -e 's|"prefill": {"min_share": 0, "max_share": 0}|"prefill": {"min_share": 0.5, "max_share": 0.5}|' \
    -e 's|"decode": {"min_share": 0, "max_share": 0}|"decode": {"min_share": 0.5, "max_share": 0.5}|' \
    -e 's|"mixed": {"min_share": 1, "max_share": 1}|"mixed": {"min_share": 0, "max_share": 0.5}|' \
    "$work/environment.json" >"$work/roles.json"
  ctl apply "$work/roles.json" >>"$work/ctl.log" 2>&1 &&
    ctl promote >>"$work/ctl.log" 2>&1 || problem "the document was refused"
  local limit=$((SECONDS + 30))
  while ((SECONDS < limit)); do
    changed=0
    for name in $engines; do
      [ "$(engine_status "$name" role)" = mixed ] || changed=$((changed + 1))
    done
    ((changed == 6)) && break
    sleep 0.5
  done
  note "$changed of 6 engines changed their role"
  ((changed == 6)) || problem "only $changed of 6 engines changed their role"
}

fault_entry_restarted_without_table() {
  local pid tries
  platform_faults '{"outage_ms":20000}'
  pid=$(pid_of entry-b)
  rm -f "$work/pids/entry-b"
  kill -TERM "$pid"
  # A graceful shutdown has no stated limit; the outage ends the wait.
  for tries in $(seq 150); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  note "stopped after $((tries / 10)).$((tries % 10)) s"
  if kill -0 "$pid" 2>/dev/null; then
    problem "entry-b did not stop within 15 s of SIGTERM"
    kill -KILL "$pid"
  fi
  start_entry b
  # 3 s for a poll of the table and 3 s for the peers.
  wait_for_entry b '"generation":1' 60 ||
    problem "no configuration from peers within 6 s"
  curl -s -m 10 "http://127.0.$zone_b.1:8080/v1/chat/completions" \
    -H 'x-customer: dealer-7' -H 'content-type: application/json' \
    -d '{"model":"parts","max_tokens":2,"messages":[{"role":"user","content":"restarted?"}]}' |
    grep -q '"finish_reason"' || problem "no chat during the table outage"
}

note() { echo "$*" >>"$work/notes"; }

# --- cases ---

case_field() {  # case_field NAME COLUMN
  awk -v name="$1" -v column="$2" '$1 == name { print $column }' \
    <<<"$case_table"
}

# Longest length, resets when any part allows them, all expected codes.
case_settings() {  # case_settings NAME[+NAME] sets seconds, resets, expected
  local part codes
  seconds=0
  resets=no
  expected=""
  for part in ${1//+/ }; do
    [ -n "$(case_field "$part" 1)" ] || {
      echo "unknown case: $part" >&2
      exit 2
    }
    ((seconds >= $(case_field "$part" 2))) || seconds=$(case_field "$part" 2)
    [ "$(case_field "$part" 3)" = no ] || resets=yes
    codes=$(case_field "$part" 4)
    [ "$codes" = - ] || expected=${expected:+$expected,}$codes
  done
}

start_load() {  # Writes load.json.
  "$bin/cranberryhill-load" --targets="$targets" --services="$services" \
    --rate="$rate" --service_rate="$service_rate" --mix="$mix" --verify \
    --seed="$load_seed" --duration="${seconds}s" --fault_at="${fault_at}s" \
    --chat_timeout=30s --expected_refusals="$expected" --output=json \
    --report="$work/load.html" >"$work/load.json" 2>"$work/load.log" &
  load=$!
  echo "$load" >"$work/pids/load"
}

# The verdict comes from the report, so the exit code does not matter.
finish_load() {
  wait "$load" || true
  rm -f "$work/pids/load"
}

# Prints the line of a case and appends it to the table.
report_case() {  # report_case NAME
  local name=$1 engine interrupted
  for engine in $engines; do
    interrupted=$(engine_status "$engine" interrupted 2>/dev/null || echo 0)
    [ "$interrupted" = 0 ] ||
      problem "a change interrupted $interrupted streams on engine-$engine"
  done
  python3 - "$work" "$name" "$resets" <<'PYTHON' | tee -a "$table"
import json, os, sys
work, name, resets_allowed = sys.argv[1:]
def lines(file):
    path = os.path.join(work, file)
    return open(path).read().split("\n")[:-1] if os.path.exists(path) else []
problems, notes = lines("problems"), lines("notes")
try:
    report = json.load(open(os.path.join(work, "load.json")))
except ValueError:
    print(f"{name} FAILED: the load tool gave no report")
    sys.exit(0)
chats, calls, audit = report["chats"], report["calls"], report["audit"]
both = lambda field: chats[field] + calls[field]
if audit["error"]:
    problems.append("calls were not compared: " + audit["error"])
counts = {
    "requests": both("started"),
    "lost": both("lost") + audit["lost"],
    "doubled": audit["doubled"],
    "cut": both("cut"),
    "wrong": both("wrong"),
    "wrongly_refused": both("unexpected_refusals") + audit["wrong_not_run"],
    "refused": both("refused"),
    "unknown": audit["unknown"],
    "late": both("late"),
    "resets": both("resets"),
}
if resets_allowed == "no" and counts["resets"]:
    problems.append(f"{counts['resets']} connections of callers were lost")
for field in ("lost", "doubled", "cut", "wrong", "wrongly_refused"):
    if counts[field]:
        problems.insert(0, f"{field} {counts[field]}")
text = " ".join(f"{key}={value}" for key, value in counts.items())
text += f" normal_after={report['normal_after_s']:.1f}s"
for kind, group in (("chats", chats), ("calls", calls)):
    for reason, count in group["reasons"].items():
        notes.append(f"{kind} {reason} x{count}")
if notes:
    text += " (" + "; ".join(notes) + ")"
print(name, text, "FAILED: " + "; ".join(problems) if problems else "ok")
PYTHON
  if [ -n "$keep" ]; then
    for name in a b c; do
      curl -s -m 2 "http://127.0.$((base + $(printf '%d' "'$name") - 96)).1:8080/metrics" \
        >"$work/metrics-$name.txt" || true
    done
    name=$1
    mkdir -p "$keep/$name"
    cp "$work"/*.json "$work"/*.html "$work"/*.log "$work"/*.txt "$keep/$name/" 2>/dev/null ||
      true
  fi
}

run_case() {  # run_case NAME[+NAME]
  local part
  case_settings "$1"
  start_system
  start_load
  sleep "$fault_at"
  for part in ${1//+/ }; do
    "fault_$part" &
    echo $! >"$work/pids/fault-$part"
  done
  for part in ${1//+/ }; do
    wait "$(pid_of "fault-$part")" || problem "a step of $part failed"
    rm -f "$work/pids/fault-$part"
  done
  finish_load
  report_case "$1"
  stop_system
}

# Random faults one after the other in one system, with pauses in between.
run_random() {
  local step name order=() all
  RANDOM=$seed
  mapfile -t all < <(awk 'NF && $1 != "none" && $1 != "engine_leaving" \
    && $1 != "role_change" && $1 != "entry_restarted_without_table" \
    { print $1 }' <<<"$case_table")
  seconds=$((fault_at + 4))
  resets=yes
  expected=table_unavailable
  for step in $(seq "$steps"); do
    name=${all[RANDOM % ${#all[@]}]}
    order+=("$name")
    seconds=$((seconds + $(case_field "$name" 2) - 4))
  done
  echo "seed $seed: ${order[*]} (${seconds} s)"
  start_system
  start_load
  sleep "$fault_at"
  for name in "${order[@]}"; do
    "fault_$name"
    sleep $((1 + RANDOM % 4))
  done
  finish_load
  report_case "random-$seed"
  stop_system
}

table=$(mktemp)
trap 'stop_all; rm -f "$table"' EXIT
if [ -n "$seed" ]; then
  run_random
else
  [ -n "$cases" ] || cases="$(awk 'NF { print $1 }' <<<"$case_table") $pairs"
  for name in ${cases//,/ }; do run_case "$name"; done
fi

echo
awk 'BEGIN {
  format = "%-38s %8s %5s %7s %4s %5s %8s %7s %7s %5s %6s %8s %s\n"
  printf format, "case", "requests", "lost", "doubled", "cut", "wrong",
    "wr.refus", "refused", "unknown", "late", "resets", "normal", "result"
}
{
  for (i = 2; i <= NF; ++i)
    if ($i ~ /=[0-9]/) { split($i, pair, "="); value[pair[1]] = pair[2] }
  printf format, $1, value["requests"], value["lost"], value["doubled"],
    value["cut"], value["wrong"], value["wrongly_refused"], value["refused"],
    value["unknown"], value["late"], value["resets"], value["normal_after"],
    ($0 ~ / FAILED: / ? "FAILED" : "ok")
}' "$table"
! grep -q ' FAILED: ' "$table"
