"""Stand-ins for the users' platform, written for the review's scripts.

Holds the platform's store (tables op, servers and the system's own), replicas,
callers over raw sockets, and the start and end of gateway processes. All
addresses are loopback addresses. A case imports this module, defines its
replicas and callers, and exits through finish().
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
GATEWAY = ROOT / "target" / "cranberryhill-gateway"
HOST = "desk.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_COULD_NOT_RUN = 2


# Below the ports that the system gives to outgoing connections.
next_port = random.randrange(10000, 30000)


def free_ports(count):
    """Returns ports of 127.0.0.1 that are free for TCP and UDP."""
    global next_port
    ports = []
    while len(ports) < count:
        port = next_port
        next_port = port + 1 if port < 32000 else 10000
        with socket.socket() as tcp, socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Head:
    """The first line and the headers of a message."""

    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the next head, or None if the connection has ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(raw)


async def read_body(reader, head):
    length = int(head.get("Content-Length", "0"))
    return await reader.readexactly(length) if length else b""


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store with the calls that the gateway makes."""

    def __init__(self):
        self.version = 100
        self.rows = {}
        self.changes = []
        self.changed = asyncio.Condition()
        self.port = 0
        # Times of the last calls of each caller that has a port of its own, by
        # (caller, path, table).
        self.calls = {}

    async def start(self, port):
        self.port = port
        await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def listen_for(self, caller, port):
        """Opens another port, whose calls are recorded as those of `caller`."""

        async def serve(reader, writer):
            await self.serve(reader, writer, caller)

        await asyncio.start_server(serve, "127.0.0.1", port)

    async def put(self, table, key, value):
        """Writes a row as the operator or a replica; None removes it."""
        self.version += 1
        self.apply(table, key, value)
        async with self.changed:
            self.changed.notify_all()

    def apply(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.changes = [c for c in self.changes if c[1:3] != (table, key)]
        self.changes.append((self.version, table, key, value))

    def encode(self, table, key, value, version):
        row = {"table": table, "part": "", "key": key, "row-version": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value.encode()).decode()
        return row

    def page(self, rows):
        return {
            "rows": rows,
            "has-more": False,
            "row-version": self.version,
            "now-ms": int(time.monotonic() * 1000),
        }

    async def serve(self, reader, writer, caller=None):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ")
                if caller is not None:
                    parts = urlsplit(target)
                    table = parse_qs(parts.query).get("table", [""])[0]
                    self.calls[caller, parts.path, table] = time.monotonic()
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(
                    message(
                        f"HTTP/1.1 {status} X",
                        [
                            ("Content-Type", "application/json"),
                            ("Store-Era", "0"),
                            ("Content-Length", len(data)),
                        ],
                        data,
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/cranberryhill/rows-get":
            start = query.get("from", "")
            rows = [
                self.encode(t, k, value, version)
                for (t, k), (value, version) in sorted(self.rows.items())
                if t == query["table"] and k >= start
            ]
            return 200, self.page(rows)
        if parts.path == "/cranberryhill/rows-feed":
            return await self.feed(query)
        if parts.path == "/cranberryhill/rows-tx" and method == "POST":
            return await self.transact(json.loads(body))
        return 404, {}

    async def feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000

        def newer():
            return [
                self.encode(t, k, value, version)
                for version, t, k, value in self.changes
                if t == query["table"] and version > after
            ]

        while not newer() and time.monotonic() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait(), until - time.monotonic()
                    )
                except asyncio.TimeoutError:
                    break
        return 200, self.page(newer())

    async def transact(self, call):
        def current(row):
            return self.rows.get((row["table"], row["key"]), (None, 0))

        wrong = [
            row
            for row in call["expected-revision"]
            if current(row)[1] != row["row-version"]
        ]
        if wrong:
            rows = [
                self.encode(row["table"], row["key"], *current(row))
                for row in wrong
                if current(row)[0] is not None
            ]
            return 412, self.page(rows)
        self.version += 1
        for row in call["writes"]:
            value = base64.b64decode(row["value"]).decode()
            self.apply(row["table"], row["key"], value)
        async with self.changed:
            self.changed.notify_all()
        return 200, {"row-version": self.version, "now-ms": 0}


class Replica:
    """A replica. A case overrides handle()."""

    def __init__(
        self, store, record, name, service, slots=6, zone="zone-a", stage=None
    ):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.zone = zone
        self.stage = stage
        self.port = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0

    async def start(self, port):
        self.port = port
        await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=256)
        await self.beat()
        asyncio.ensure_future(self.beats())

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def beat(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "born": self.born,
            "sequence": self.sequence,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        await self.store.put("servers", self.name, json.dumps(entry))

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                expected = head.get("X-Expected-Instance")
                if expected and expected != self.name:
                    writer.write(
                        message(
                            "HTTP/1.1 421 Misdirected Request",
                            [("X-Replica-Id", self.name), ("Content-Length", 0)],
                        )
                    )
                    await writer.drain()
                    continue
                if not await self.handle(head, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, head, body, reader, writer):
        """Answers one request; False ends the connection."""
        raise NotImplementedError

    def answer_headers(self, head):
        attempt = head.get("X-Request-Attempt-Id")
        return [
            ("X-Request-Attempt-Id", attempt),
            ("X-Response-Seal", f"seal.{self.name}.{attempt}"),
            ("X-Replica-Load", f"{self.running},0,{self.slots}"),
            ("Keep-Alive", "timeout=15"),
        ]


def event(number):
    return f"id: {number}\ndata: token {number}\n\n".encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"


class Gateway:
    """One gateway process, started as the deploy file does."""

    def __init__(self, record, folder, name, store_port, zone="zone-a"):
        self.record = record
        self.name = name
        ports = free_ports(4)
        self.port, self.ready_port, metrics_port, peer_port = ports
        self.log = open(Path(folder) / f"{name}.log", "w", encoding="utf-8")
        self.settings = Path(folder) / f"{name}.json"
        self.settings.write_text(
            json.dumps(
                {
                    "instance_id": name,
                    "availability_zone": zone,
                    "callers_address": f"127.0.0.1:{self.port}",
                    "readiness_address": f"127.0.0.1:{self.ready_port}",
                    "metrics_address": f"127.0.0.1:{metrics_port}",
                    "peer_address": f"127.0.0.1:{peer_port}",
                    "store_address": f"127.0.0.1:{store_port}",
                    "shutdown_s": 8,
                    "lease_ms": 3000,
                    "retry_ratio": 0.2,
                    "retry_slack": 52,
                    "retry_window_s": 10,
                }
            ),
            encoding="utf-8",
        )
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            str(GATEWAY),
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "CRANBERRYHILL_BOOT": str(self.settings),
            },
        )
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if await self.is_ready():
                self.record.write(f"{self.name} ready, pid {self.process.pid}")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not become ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready_port
            )
        except OSError:
            return False
        try:
            writer.write(
                message(
                    "GET /cranberryhill/readiness HTTP/1.1",
                    [("Host", "ready"), ("Connection", "close")],
                )
            )
            head = await read_head(reader)
            return head is not None and " 200" in head.first
        except ConnectionError:
            return False
        finally:
            writer.close()

    def signal(self, number):
        self.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


def route(name, service, kind, **more):
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 6000,
        "target-latency-ms": 800,
        "priority": 1,
        "service": service,
        "attempts": 1,
    }
    fields.update(more)
    return fields


ENGINE = {
    "slots": 128,
    "kv-capacity-tokens": 1180745,
    "kv-token-bytes": 18432,
    "link-mbps": 550000.0,
    "handle-ttl-s": 5.0,
    "switch-s": 3.0,
    "models": [{"name": "m"}],
}


def service(name, max_connections=110, engine=None):
    fields = {
        "name": name,
        "health-path": "/health",
        "max-connections": max_connections,
        "protocol": "h1",
        "tls": False,
    }
    if engine:
        fields["engine"] = engine
    return fields


def configuration(version, routes, services):
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
    )


class Answer:
    """What a caller got: status 0 if the connection ended before a head."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.complete = False
        self.sealed = False


async def read_answer(reader, on_head=None):
    """Reads one answer with a length or in chunks."""
    answer = Answer()
    head = await read_head(reader)
    if head is None:
        return answer
    answer.head = head
    answer.status = int(head.first.split(" ")[1])
    answer.sealed = bool(head.get("X-Response-Seal"))
    if on_head:
        on_head(answer)
    try:
        if head.get("Transfer-Encoding").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    answer.complete = True
                    return answer
                answer.body += data[:-2]
        answer.body = await reader.readexactly(int(head.get("Content-Length", "0")))
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return answer


def request(method, path, attempt, budget_ms, body=b"", more=()):
    headers = [
        ("Host", HOST),
        ("X-Request-Attempt-Id", attempt),
        ("X-Deadline-Remaining-Ms", budget_ms),
        *more,
    ]
    if body or method == "POST":
        headers.append(("Content-Length", len(body)))
    return message(f"{method} {path} HTTP/1.1", headers, body)


def run_case(case_file, scenario):
    """Runs scenario(record, folder, gateways) and exits with its verdict.

    The scenario appends the gateways that it starts to `gateways` and returns
    the list of breaches of the rule.
    """
    record = Record(Path(case_file).resolve().parent)
    if not GATEWAY.exists():
        record.write("the gateway is not built")
        sys.exit(EXIT_COULD_NOT_RUN)
    gateways = []

    async def main():
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            try:
                return await asyncio.wait_for(
                    scenario(record, folder, gateways), 110
                )
            finally:
                for gateway in gateways:
                    gateway.kill()
                for gateway in gateways:
                    if gateway.process is not None:
                        await gateway.process.wait()

    try:
        breaches = asyncio.run(main())
    except Exception as error:  # Any failure of the stand-ins ends the run.
        record.write(f"could not run: {error!r}")
        sys.exit(EXIT_COULD_NOT_RUN)
    for breach in breaches:
        record.write(f"BROKEN {breach}")
    record.write(f"trouble={int(TROUBLE)} breaches={len(breaches)}")
    print(f"trouble={int(TROUBLE)} breaches={len(breaches)}")
    sys.exit(EXIT_BROKEN if breaches else EXIT_HELD)
