# Functions that start and stop the system of examples/demo on loopback, for
# scripts that experiment with it. To be sourced from the root of the
# repository with `base` set: the system uses 127.0.BASE.x to 127.0.(BASE+3).x.

bin=build/programs
standins=build/standins
if ((base % 10 != 0 || base < 10 || base > 240)); then
  echo "--base must be a multiple of 10 from 10 to 240" >&2
  exit 2
fi

work=$(mktemp -d)
platform=127.0.$base.1:7000
# Apart from the ports of other runs, also of ones that listen on 0.0.0.0.
engine_port=$((9000 + base))
zone_a=$((base + 1))
zone_b=$((base + 2))
zone_c=$((base + 3))
targets=127.0.$zone_a.1:8081,127.0.$zone_b.1:8081,127.0.$zone_c.1:8081
services=127.0.$zone_a.21:9100,127.0.$zone_b.21:9100,127.0.$zone_c.21:9100

# The ids of running processes are files, so that faults in subshells can
# replace a process.
start() {  # start NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>>"$work/$name.log" &
  echo $! >"$work/pids/$name"
  disown  # The shell would report each process that a case kills.
}

pid_of() { cat "$work/pids/$1" 2>/dev/null; }

kill_hard() {  # kill_hard NAME
  local pid
  pid=$(pid_of "$1")
  rm -f "$work/pids/$1"
  kill -KILL "$pid" 2>/dev/null || true
}

stop_system() {
  local file pid tries
  for file in "$work"/pids/*; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for file in "$work"/pids/*; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    for tries in $(seq 20); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    rm -f "$file"
  done
  wait 2>/dev/null || true
}

stop_all() {
  stop_system
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

engine_address() {  # engine_address a1
  local zone=$((base + $(printf '%d' "'${1:0:1}") - 96))
  echo "127.0.$zone.1${1:1:1}:$engine_port"
}

start_engine() {  # start_engine a1
  start "engine-$1" "$standins/fake_engine" --model=parts:1 --role=mixed \
    --listen="$(engine_address "$1")"
}

start_entry() {  # start_entry a
  start "entry-$1" "$bin/cranberryhilld" --settings="$work/entry-$1.json"
}

ctl() {
  "$bin/cranberryhillctl" --platform="$platform" --environment=demo \
    --author="${author:-faults}" "$@"
}

engine_post() {  # engine_post a1 PATH JSON
  curl -sS -m 5 --http2-prior-knowledge "http://$(engine_address "$1")$2" \
    -d "$3" >/dev/null
}

engine_status() {  # engine_status a1 FIELD
  curl -sS -m 5 --http2-prior-knowledge \
    "http://$(engine_address "$1")/v1/status" |
    python3 -c 'import json,sys; print(json.load(sys.stdin)[sys.argv[1]])' "$2"
}

platform_faults() { curl -sS -m 5 "http://$platform/faults" -d "$1" >/dev/null; }

entry_status() {  # entry_status a
  curl -s -m 2 "http://127.0.$((base + $(printf '%d' "'$1") - 96)).1:8080/operator/status" || true
}

# Waits until the page of entry instance $1 shows $2, for $3 tenths of seconds.
wait_for_entry() {
  local tries
  for tries in $(seq "$3"); do
    grep -q "$2" <<<"$(entry_status "$1")" && return 0
    sleep 0.1
  done
  return 1
}

engines="a1 a2 b1 b2 c1 c2"

start_system() {
  local name tries
  rm -rf "$work"/*
  mkdir -p "$work/pids"
  local change="s/127\.0\.4\([0-3]\)\./127.0.$((base / 10))\1./g
    s/:9000\"/:$engine_port\"/"
  for name in entry-a entry-b entry-c environment; do
    sed "$change" "examples/demo/$name.json" >"$work/$name.json"
  done
  start platform "$standins/fake_platform" --listen="$platform"
  for name in $engines; do start_engine "$name"; done
  for name in a b c; do
    start "desk-$name" "$standins/fake_service" --port=9100 \
      --ip="127.0.$((base + $(printf '%d' "'$name") - 96)).21"
    start_entry "$name"
  done
  # With an address in use the load would meet processes of somebody else.
  sleep 0.5
  for name in "$work"/pids/*; do
    kill -0 "$(cat "$name")" 2>/dev/null || {
      echo "${name##*/} did not start" >&2
      tail -n 2 "$work/${name##*/}.log" >&2
      exit 1
    }
  done
  for tries in $(seq 100); do
    ctl status >/dev/null 2>&1 && break
    sleep 0.1
  done
  ctl apply "$work/environment.json" >/dev/null
  ctl promote >/dev/null
  for name in a b c; do
    wait_for_entry "$name" '"generation":1' 200 &&
      wait_for_entry "$name" '"may_start":true' 200 || {
      echo "entry-$name did not start" >&2
      tail -n 5 "$work"/*.log >&2
      exit 1
    }
  done
}
