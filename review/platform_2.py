"""Stand-ins for the users' platform, used by the scripts of review/6 to review/10.

The store, the replicas and the callers speak what PROTOCOL.md says, as far as
the gateway uses it, and behave like sound ones unless a case says otherwise.
Everything runs on 127.0.0.1 and on the real clock.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.path.join(ROOT, "target", "cranberryhill-gateway")
HOST = "127.0.0.1"
SERVICE = "lm"
APP_SERVICE = "ledger"
ROUTE_HOST = "calls.example"


class CannotRun(Exception):
    """The case could not be set up; the script ends with 2."""


def free_ports(count):
    """Returns ports that are free for TCP and UDP, below those that the system hands
    out to connections, which could take them before a gateway does."""
    held, ports = [], []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        pair = [socket.socket(socket.AF_INET, kind)
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)]
        held += pair
        try:
            for one in pair:
                one.bind((HOST, port))
        except OSError:
            continue
        ports.append(port)
    for one in held:
        one.close()
    return ports


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the start line and the headers (lower case), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", 0)))


def whole(status, headers, body=b""):
    text = f"HTTP/1.1 {status} X\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                await self.handle(method, target, head[1], body, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """Ends the process: its connections are reset, its port refuses."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows = {}
        self.changes = []
        self.version = 100
        self.changed = asyncio.Condition()
        self.began = time.monotonic()
        self.refuses = lambda writer: False
        self.away = False
        self.era = 1
        self.copy = None

    async def listen_for(self, machine):
        """Opens an address of its own for one machine, which can be turned away."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        self.record(f"store: {machine} calls it at port {port}")
        return port

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def _apply(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "row-version": self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            row["tombstone"] = True
        else:
            row["value"] = value
            self.rows[(table, part, key)] = row
        self.changes.append(row)

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def save_copy(self):
        self.copy = (dict(self.rows), self.version)

    async def drill(self, away_s, write_again):
        """Is away for a moment and comes back from the copy; what the operator and
        the replicas have written since is written again."""
        self.away = True
        self.record("store: away")
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.rows, self.version = dict(self.copy[0]), self.copy[1]
        self.changes = [row for row in self.changes if row["row-version"] <= self.version]
        self.era += 1
        self.away = False
        await write_again()
        self.record(f"store: back from the copy, era {self.era}")

    async def put(self, table, key, value):
        """Writes a row as the operator or a replica does; None removes it."""
        if self.away:
            return
        self.version += 1
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply(table, "", key, text)
        await self._notify()

    def value(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row["value"])

    async def handle(self, method, target, headers, body, reader, writer):
        if self.away:
            return writer.transport.abort()
        if self.refuses(writer):
            writer.write(whole(503, {"Store-Era": self.era}))
            return
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.002)
        status, answer = 404, {}
        if url.path == "/cranberryhill/rows-get":
            status, answer = 200, self._get(query)
        elif url.path == "/cranberryhill/rows-feed":
            if int(query["after"]) > self.version:
                status = 410
            else:
                status, answer = 200, await self._feed(query)
        elif url.path == "/cranberryhill/rows-tx":
            status, answer = await self._transact(json.loads(body))
        writer.write(whole(status, {"Content-Type": "application/json", "Store-Era": self.era},
                           json.dumps(answer).encode()))

    def _get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted((key, row) for (table, part, key), row in self.rows.items()
                       if table == query["table"] and part == query.get("part", "")
                       and key >= query.get("from", "")
                       and ("to" not in query or key < query["to"]))
        return {"rows": [row for _, row in found[:limit]],
                "has-more": len(found) > limit,
                "row-version": self.version, "now-ms": self.now_ms()}

    async def _feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1000

        def changed_rows():
            newest = {}
            for row in self.changes:
                if row["table"] == query["table"] and row["row-version"] > after:
                    newest[(row["part"], row["key"])] = row
            return sorted(newest.values(), key=lambda row: row["row-version"])

        while not changed_rows() and time.monotonic() < end:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
        return {"rows": changed_rows(), "row-version": self.version,
                "now-ms": self.now_ms()}

    async def _transact(self, call):
        def name(row):
            return (row["table"], row.get("part", ""), row["key"])

        current = []
        for row in call["expected-revision"]:
            known = self.rows.get(name(row))
            if (known["row-version"] if known else 0) != row["row-version"]:
                current.append(known or dict(table=row["table"], part=row.get("part", ""),
                                             key=row["key"], **{"row-version": 0}))
        times = {"row-version": self.version, "now-ms": self.now_ms()}
        if current:
            return 412, {"rows": current, **times}
        self.version += 1
        for row in call["writes"]:
            self._apply(*name(row), row["value"])
            self.record(f"store: {row['table']}/{row['key']} = "
                        f"{base64.b64decode(row['value'])[:120]!r}")
        for row in call["remove"]:
            self._apply(*name(row), None)
        await self._notify()
        return 200, {"row-version": self.version, "now-ms": self.now_ms()}


class Replica(HttpServer):
    """A model replica, or with stage None one of a plain service."""

    def __init__(self, store, record, name, version, stage, service=SERVICE, zone="za",
                 events=24, gap_s=0.15):
        super().__init__()
        self.store, self.record = store, record
        self.name, self.version, self.stage = name, version, stage
        self.service, self.zone = service, zone
        self.events, self.gap_s = events, gap_s
        self.slots = 12 if stage else 6
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.orders = 0
        self.busy = False
        self.running = 0
        self.handles = 0
        self.runs = []
        self.beat = None

    def entry(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": self.version, "slots": self.slots,
                 "state": self.state, "cold-remaining-ms": 0, "sequence": self.sequence,
                 "born": self.born}
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def start(self):
        await self.listen(self.port)
        self.record(f"replica {self.name}: starts, version {self.version}, "
                    f"stage {self.stage}")
        await self.store.put("servers", self.name, self.entry())
        self.beat = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.store.put("servers", self.name, self.entry())

    async def leave(self, drain_s=2.0):
        """A planned stop: reports that it drains, serves on, exits."""
        self.state = "draining"
        self.record(f"replica {self.name}: draining")
        await self.store.put("servers", self.name, self.entry())
        await asyncio.sleep(drain_s + 0.5)
        while self.running > 0:
            await asyncio.sleep(0.05)
        self.beat.cancel()
        await self.close()
        await self.store.put("servers", self.name, None)
        self.record(f"replica {self.name}: gone")

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/cranberryhill/report":
            return writer.write(whole(200, {"Content-Type": "application/json"}, json.dumps({
                "stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": self.busy, "sequence": self.orders, "waiting": 0,
                "running": self.running, "kv-used": 0, "kv-total": 1180745,
                "handles": 0, "born": self.born}).encode()))
        if target.startswith("/cranberryhill/kv-handle/"):
            return writer.write(whole(200, {}))
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.name:
            return writer.write(whole(421, {"X-Replica-Id": self.name}))
        if target == "/cranberryhill/order":
            return self._order(json.loads(body), writer)
        attempt = headers.get("x-request-attempt-id", "")
        proof = {"X-Request-Attempt-Id": attempt,
                 "X-Response-Seal": f"{self.name}.{self.version}.{attempt[:8]}",
                 "X-Replica-Load": f"{self.running},0,{self.slots}"}
        if self.busy:
            return writer.write(whole(503, {"X-Not-Executed": "1", **proof}))
        if self.stage is None:
            return await self.run_plain(attempt, headers, body, proof, reader, writer)
        prefills = headers.get("x-serving-stage") == "prefill"
        if prefills != (self.stage == "prefill"):
            return writer.write(whole(421, {"X-Replica-Id": self.name}))
        if prefills:
            await asyncio.sleep(0.02)
            self.handles += 1
            return writer.write(whole(200, {"Content-Type": "application/json", **proof},
                                      json.dumps({"transfer-handle": f"h{self.handles}",
                                                  "tokens": 100, "version": 1}).encode()))
        await self.run_stream(attempt, headers, proof, reader, writer)

    def _order(self, order, writer):
        if self.busy or order.get("expected-revision", self.orders) != self.orders:
            return writer.write(whole(409, {}))
        if order["stage"] == self.stage:
            return writer.write(whole(200, {}))
        self.orders += 1
        self.busy = True
        self.record(f"replica {self.name}: order {order}")
        asyncio.create_task(self._switch(order["stage"]))
        writer.write(whole(202, {}))

    async def _switch(self, stage):
        while self.running > 0:
            await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)
        self.stage, self.busy = stage, False
        await self.store.put("servers", self.name, self.entry())

    async def run_plain(self, attempt, headers, body, proof, reader, writer):
        self.running += 1
        self.runs.append(attempt)
        self.record(f"replica {self.name}: runs {attempt}")
        await asyncio.sleep(0.03)
        self.running -= 1
        writer.write(whole(200, proof, b"done " + attempt.encode()))

    async def run_stream(self, attempt, headers, proof, reader, writer):
        first = int(headers.get("last-event-id", 0)) + 1
        self.running += 1
        self.runs.append(attempt)
        self.record(f"replica {self.name} ({self.version}): runs {attempt} from event {first}")
        try:
            lines = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                     "X-Weight-Versions": "1", **proof}
            writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n").encode())
            for number in range(first, self.events + 1):
                await asyncio.sleep(0.03 if number == first else self.gap_s)
                event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if writer.transport.is_closing():
                    raise ConnectionResetError
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Gateway:
    """One entry instance, started with the command of the deploy file."""

    def __init__(self, record, folder, store, name, zone="za", settings=None):
        self.record, self.name = record, name
        ports = free_ports(4)
        self.port, self.ready_port = ports[0], ports[1]
        self.metrics_port = ports[2]
        self.settings = {
            "instance_id": name, "availability_zone": zone,
            "callers_address": f"{HOST}:{ports[0]}", "readiness_address": f"{HOST}:{ports[1]}",
            "metrics_address": f"{HOST}:{ports[2]}", "peer_address": f"{HOST}:{ports[3]}",
            "store_address": store.address, "shutdown_s": 8, "lease_ms": 3000,
            "drain_ms": 2000, "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10,
            "memory_mb": 260, **(settings or {})}
        self.path = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.record(f"gateway {self.name}: starts")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       "LANG": "C", "CRANBERRYHILL_BOOT": self.path}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([GATEWAY], cwd=ROOT, env=environment, stdout=log,
                                            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.record(f"gateway {self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def await_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"gateway {self.name} ended")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.ready_port)
                writer.write(b"GET /cranberryhill/readiness HTTP/1.1\r\nHost: x\r\n"
                             b"Connection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head is not None and " 200 " in head[0]:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway {self.name} is not ready")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Answer:
    """What a caller got in one attempt."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.events = []  # (id, data)
        self.complete = False
        self.reason = ""


async def call(port, method, path, headers, body=b"", limit_s=7.0):
    """Sends one request on a connection of its own."""
    answer = Answer()

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = {"Host": ROUTE_HOST, **headers}
            if body or method == "POST":
                lines["Content-Length"] = str(len(body))
            writer.write((f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n").encode()
                + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                answer.reason = "closed without an answer"
                return
            answer.status = int(head[0].split(" ")[1])
            answer.headers = head[1]
            if head[1].get("transfer-encoding") == "chunked":
                await read_chunks(reader, answer)
            else:
                answer.body = await read_body(reader, head[1])
                answer.complete = True
        finally:
            writer.transport.abort()

    try:
        await asyncio.wait_for(exchange(), limit_s)
    except asyncio.TimeoutError:
        answer.reason = "the caller's time is over"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.reason = f"broken: {type(error).__name__}"
    return answer


async def read_chunks(reader, answer):
    text = b""
    while True:
        size = int((await reader.readline()).strip() or b"-1", 16)
        if size < 0:
            raise ConnectionResetError
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            answer.complete = True
            return
        answer.body += data
        text += data
        while b"\n\n" in text:
            event, text = text.split(b"\n\n", 1)
            fields = dict(line.split(": ", 1) for line in event.decode().split("\n")
                          if ": " in line)
            answer.events.append((int(fields["id"]), fields["data"]))


def stream_headers(attempt, number, deadline_ms=6000):
    """Headers of a streaming request; each has a part of its own."""
    return {"X-Request-Attempt-Id": attempt, "X-Model": "m", "X-Token-Counts": "1460,24",
            "X-Prompt-Prefix": f"5c1e07a2:210,91bd3f06:140,{0xa0000000 + number:x}:1110",
            "X-Deadline-Remaining-Ms": str(deadline_ms)}


def configuration(version=7):
    """Routes and services like those of the small deployments."""
    return {
        "version": version,
        "routes": [
            {"name": "r-stream", "host": ROUTE_HOST, "prefix": "/notice/", "kind": "streaming",
             "timeout-ms": 6000, "target-latency-ms": 800, "priority": 0, "service": SERVICE,
             "attempts": 2, "sticky-sessions": True, "resumable": True, "target-gap-ms": 250},
            {"name": "r-once", "host": ROUTE_HOST, "prefix": "/order/", "kind": "streaming",
             "timeout-ms": 3000, "target-latency-ms": 600, "priority": 1, "service": SERVICE,
             "attempts": 1, "sticky-sessions": True, "resumable": False, "target-gap-ms": 250},
            {"name": "r-hold", "host": ROUTE_HOST, "prefix": "/hold/", "kind": "non_idempotent",
             "timeout-ms": 1200, "target-latency-ms": 150, "priority": 2,
             "service": APP_SERVICE, "attempts": 1},
            {"name": "r-view", "host": ROUTE_HOST, "prefix": "/view/", "kind": "idempotent",
             "timeout-ms": 1200, "target-latency-ms": 150, "priority": 2,
             "service": APP_SERVICE, "attempts": 2}],
        "services": [
            {"name": SERVICE, "health-path": "/health", "max-connections": 620,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 12, "kv-capacity-tokens": 1180745, "kv-token-bytes": 18432,
                        "link-mbps": 550000.0, "moves": True, "backups": True, "stride": 10,
                        "most": 12, "handle-ttl-s": 5.0, "switch-s": 3.0, "pin-ms": 4000.0,
                        "hold-ms": 2000.0, "models": [{"name": "m"}]}},
            {"name": APP_SERVICE, "health-path": "/health", "max-connections": 110,
             "protocol": "h1", "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def run_case(folder, case):
    """Runs `case`, which returns True if the rule held, and ends the process."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"TROUBLE={int(trouble)}")
    gateways = []
    scratch = tempfile.mkdtemp(prefix="review-")

    def end(code):
        for gateway in gateways:
            gateway.end()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(scratch, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(scratch, ignore_errors=True)
        record(f"result {code}")
        print(f"{os.path.basename(folder)}: {['held', 'broken', 'could not run'][code]}",
              flush=True)
        # Connections of the stand-ins may still be open; nothing waits for them.
        os._exit(code)

    def on_alarm(*_):
        record("could not run: out of time")
        end(2)

    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, on_alarm)
    signal.alarm(115)
    code = 2
    try:
        if not os.path.exists(GATEWAY):
            raise CannotRun("the gateway is not built")
        loop = asyncio.new_event_loop()
        code = 0 if loop.run_until_complete(case(record, scratch, trouble, gateways)) else 1
    except (CannotRun, OSError) as error:
        record(f"could not run: {error!r}")
    end(code)
