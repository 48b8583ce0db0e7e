#!/usr/bin/env bash
# Starts three entry instances in three availability zones on loopback, with
# engines, order desks and a platform stand-in, applies a document, sends real
# requests, prints the answers, and stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=build/programs
standins=build/standins
[ -x "$bin/cranberryhilld" ] || { tools/install_deps.sh && tools/build.sh; }

work=$(mktemp -d)
pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

start() {  # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

fail() {
  echo "demo failed: $*" >&2
  tail -n 20 "$work"/*.log >&2
  exit 1
}

# wait_for URL TEXT waits until the page contains the text, 20 s at most.
wait_for() {
  local tries
  for tries in $(seq 200); do
    curl -s -m 2 "$1" 2>/dev/null | grep -q "$2" && return 0
    sleep 0.1
  done
  fail "$1 does not show $2"
}

ask() {  # ask CURL_ARGUMENTS... prints the body, fails on an HTTP error
  curl -sS -m 30 --fail-with-body -H 'x-customer: dealer-7' \
    -H 'content-type: application/json' "$@" || fail "curl $*"
}

start platform "$standins/fake_platform" --listen=127.0.40.1:7000
zone=1
for name in a b c; do
  for n in 1 2; do
    start "engine-$name$n" "$standins/fake_engine" --model=parts:1 \
      --listen="127.0.4$zone.1$n:9000" --role=mixed
  done
  start "desk-$name" "$standins/fake_service" --ip="127.0.4$zone.21" --port=9100
  start "entry-$name" "$bin/cranberryhilld" \
    --settings="examples/demo/entry-$name.json"
  zone=$((zone + 1))
done

ctl() {
  "$bin/cranberryhillctl" --platform=127.0.40.1:7000 --environment=demo \
    --author=demo "$@"
}
for tries in $(seq 100); do
  ctl status >/dev/null 2>&1 && break
  sleep 0.1
done
echo "== apply and promote the document"
ctl apply examples/demo/environment.json || fail "apply"
ctl promote || fail "promote"
for zone in 1 2 3; do
  wait_for "http://127.0.4$zone.1:8080/operator/status" '"generation":1'
  wait_for "http://127.0.4$zone.1:8080/operator/status" '"may_start":true'
done

echo "== a chat completion, whole, over HTTP/1.1"
ask http://127.0.41.1:8080/v1/chat/completions -d \
  '{"model":"parts","max_tokens":8,"messages":[{"role":"user","content":"Which hinge fits frame 4?"}]}'
echo
echo "== a chat completion, streamed, over HTTP/2"
ask --http2-prior-knowledge -N http://127.0.42.1:8081/v1/chat/completions -d \
  '{"model":"parts","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"Does clamp 12 fit?"}]}' |
  tee "$work/stream"
grep -q '^data: \[DONE\]' "$work/stream" || fail "the stream has no end"
echo "== a stock lookup (idempotent)"
ask http://127.0.43.1:8080/orders/stock?part=hinge-4
echo
echo "== a spares order, sent twice under one key through two instances"
first=$(ask http://127.0.41.1:8080/orders/place -H 'Idempotency-Key: order-1' \
  -d '{"part":"hinge-4","count":1}')
second=$(ask http://127.0.43.1:8080/orders/place -H 'Idempotency-Key: order-1' \
  -d '{"part":"hinge-4","count":1}')
echo "$first"
echo "$second"
[ "$first" = "$second" ] || fail "the repeat got another answer"
runs=0
for zone in 1 2 3; do
  calls=$(curl -s -m 5 "http://127.0.4$zone.21:9100/calls")
  echo "calls at 127.0.4$zone.21: $calls"
  runs=$((runs + $(grep -o '"order-1":[0-9]*' <<<"$calls" | cut -d: -f2 || echo 0)))
done
[ "$runs" = 1 ] || fail "the order ran $runs times"

echo "== graceful shutdown of one instance while a stream runs"
ask --http2-prior-knowledge -N http://127.0.41.1:8081/v1/chat/completions -d \
  '{"model":"parts","max_tokens":100,"stream":true,"messages":[{"role":"user","content":"A long answer"}]}' \
  >"$work/long" &
stream=$!
sleep 0.5
kill -TERM "$pid_entry_a"
wait_for http://127.0.41.1:8080/health leaving
wait "$stream" || fail "the stream was cut by the shutdown"
grep -q '^data: \[DONE\]' "$work/long" || fail "the stream was cut short"
ask http://127.0.42.1:8080/v1/chat/completions -d \
  '{"model":"parts","max_tokens":2,"messages":[{"role":"user","content":"Still there?"}]}' \
  >/dev/null
echo "the stream ended in full and another instance goes on"
ctl audit
echo "demo passed"
