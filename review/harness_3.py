"""Stand-ins for the scripts of the third review: the platform's store, model
replicas and requesters, on loopback addresses and the real clock. The gateways
are the program that the deploy file builds, as processes of their own.

Needs Python 3.9 or later and its standard library only.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import unquote

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.path.join(ROOT, "target", "cranberryhill-gateway")
HOST = "ficu95.example"

HELD = 0
BROKEN = 1
CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be played."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip):
    """A port that is free for TCP and UDP at this address."""
    for _ in range(200):
        with socket.socket() as tcp, socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as udp:
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((ip, port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port at " + ip)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


class Message:
    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """@return The first line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_message(reader):
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.get("Content-Length", "0") or "0")
    if length:
        try:
            message.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return None
    return message


def encode_answer(status, headers, body=b""):
    lines = ["HTTP/1.1 %d Answer" % status]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves one request after the other on each connection."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Resets all connections and refuses new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: rows, pages, feeds and transactions.

    `on_transaction`, if set, gets the body of each transaction and may return
    the seconds after which it is performed; it is not answered then, and its
    connection delivers nothing further.
    """

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = 0
        self.began = time.monotonic()
        self.on_transaction = None
        self.waiting = []
        self.transactions = 0
        self.tasks = []

    def headers(self):
        return {"Content-Type": "application/json", "Store-Era": str(self.era)}

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 50000

    def put(self, table, part, key, value):
        """@param value Bytes; None drops the row."""
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        waiting, self.waiting = self.waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    def put_json(self, table, key, value):
        self.put(table, "", key, json.dumps(value).encode())

    def find(self, table, part, key):
        value, version = self.rows.get((table, part, key), (None, 0))
        return (value, version) if value is not None else (None, 0)

    def entry(self, place):
        table, part, key = place
        value, version = self.rows[place]
        entry = {"table": table, "part": part, "key": key, "row-version": version}
        if value is None:
            entry["tombstone"] = True
        else:
            entry["value"] = base64.b64encode(value).decode()
        return entry

    def page(self, rows, has_more=None):
        page = {"rows": rows, "row-version": self.version, "now-ms": self.now_ms()}
        if has_more is not None:
            page["has-more"] = has_more
        return json.dumps(page).encode()

    def perform(self, body):
        """@return The answer to a transaction."""
        call = json.loads(body)
        current = []
        holds = True
        for condition in call.get("expected-revision", []):
            place = (condition["table"], condition["part"], condition["key"])
            value, version = self.find(*place)
            holds = holds and version == condition["row-version"]
            if value is not None:
                current.append(self.entry(place))
        if not holds:
            return 412, self.page(current)
        for row in call.get("writes", []):
            self.put(row["table"], row["part"], row["key"],
                     base64.b64decode(row["value"]))
        for row in call.get("remove", []):
            if self.find(row["table"], row["part"], row["key"])[0] is not None:
                self.put(row["table"], row["part"], row["key"], None)
        return 200, json.dumps(
            {"row-version": self.version, "now-ms": self.now_ms()}).encode()

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ", 2)
        path, _, query = target.partition("?")
        fields = dict(
            (name, unquote(value)) for name, _, value in
            (item.partition("=") for item in query.split("&") if item))
        if path.endswith("/rows-tx"):
            self.transactions += 1
            late = None
            if self.on_transaction is not None:
                late = self.on_transaction(json.loads(request.body))
            if late is not None:
                self.tasks.append(
                    asyncio.ensure_future(self._perform_late(request.body, late)))
                await reader.read()  # Until the caller gives the connection up.
                return False
            await asyncio.sleep(0.004)
            status, body = self.perform(request.body)
        elif path.endswith("/rows-get"):
            await asyncio.sleep(0.004)
            places = sorted(
                place for place, row in self.rows.items()
                if place[0] == fields.get("table") and row[0] is not None
                and place[1] == fields.get("part", "")
                and place[2] >= fields.get("from", "")
                and ("to" not in fields or place[2] < fields["to"]))
            limit = min(500, int(fields.get("limit", "500")))
            status = 200
            body = self.page([self.entry(p) for p in places[:limit]],
                             len(places) > limit)
        elif path.endswith("/rows-feed"):
            status, body = await self._feed(fields)
        else:
            status, body = 404, b""
        writer.write(encode_answer(status, self.headers(), body))
        await writer.drain()
        return True

    async def _perform_late(self, body, delay):
        await asyncio.sleep(delay)
        status, _ = self.perform(body)
        self.record.add("store: the unanswered transaction is performed now "
                        "(%d): %s" % (status, describe(json.loads(body))))

    async def _feed(self, fields):
        after = int(fields["after"])
        until = time.monotonic() + int(fields.get("wait-ms", "0")) / 1000.0
        if after > self.version:
            return 410, b""
        while True:
            places = [
                place for place, row in self.rows.items()
                if place[0] == fields["table"] and row[1] > after]
            left = until - time.monotonic()
            if places or left <= 0:
                places.sort(key=lambda place: self.rows[place][1])
                return 200, self.page([self.entry(p) for p in places])
            future = asyncio.get_running_loop().create_future()
            self.waiting.append(future)
            await asyncio.wait([future], timeout=left)


def describe(call):
    """@return The rows that a transaction writes and removes."""
    texts = []
    for row in call.get("writes", []):
        value = base64.b64decode(row["value"]).decode("utf-8", "replace")
        texts.append("%s/%s=%s" % (row["table"], row["key"], value))
    for row in call.get("remove", []):
        texts.append("remove %s/%s" % (row["table"], row["key"]))
    return ", ".join(texts)


class Replica(HttpServer):
    """A model replica. Streams have the events 1 to N; the data of each event
    names the software version of its writer, which only the test reads."""

    def __init__(self, ip, name, store, record, service="lm", version="v1",
                 stage="decode", zone="a", slots=16, events=12, gap=0.05,
                 first=0.05):
        super().__init__(ip)
        self.name = name
        self.store = store
        self.record = record
        self.service = service
        self.version = version
        self.stage = stage
        self.zone = zone
        self.slots = slots
        self.events = events
        self.gap = gap
        self.first = first
        self.running = 0
        self.sequence = 0
        self.orders = 0
        self.handles = 0
        self.born = int(time.time() * 1000)
        self.silent = asyncio.Event()
        self.silent.set()  # Cleared while the replica is silent.
        self.seen = []
        self.beat_task = None

    def row(self):
        self.sequence += 1
        row = {"service": self.service, "address": self.address,
               "zone": self.zone, "version": self.version, "slots": self.slots,
               "state": "ready", "cold-remaining-ms": 0,
               "sequence": self.sequence, "born": self.born}
        if self.stage:
            row["stage"] = self.stage
            row["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return row

    async def start(self):
        await super().start()
        self.store.put_json("servers", self.name, self.row())
        self.beat_task = asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.store.put_json("servers", self.name, self.row())

    def load(self):
        return "%d,0,%d,100" % (self.running, self.slots)

    def answer_headers(self, request):
        return {"X-Request-Attempt-Id": request.get("X-Request-Attempt-Id"),
                "X-Replica-Id": self.name, "X-Replica-Load": self.load(),
                "X-Weight-Versions": "1"}

    async def reply(self, writer, status, headers, body=b""):
        await self.silent.wait()
        writer.write(encode_answer(status, headers, body))
        await writer.drain()
        return True

    async def handle(self, request, reader, writer):
        await self.silent.wait()
        method, target, _ = request.first.split(" ", 2)
        if target == "/cranberryhill/report":
            report = {"stage": self.stage, "models": [], "busy": False,
                      "sequence": self.orders, "waiting": 0,
                      "running": self.running, "kv-used": 0,
                      "kv-total": 1180745, "handles": 0, "born": self.born}
            return await self.reply(writer, 200,
                                    {"Content-Type": "application/json"},
                                    json.dumps(report).encode())
        if target == "/cranberryhill/order":
            return await self.order(request, writer)
        if method == "DELETE":
            return await self.reply(writer, 200, {})
        if target == "/health":
            return await self.reply(writer, 200, {"X-Replica-Id": self.name,
                                                  "X-Replica-Load": self.load()})
        headers = self.answer_headers(request)
        expected = request.get("X-Expected-Instance")
        if expected and expected != self.name:
            return await self.reply(writer, 421, headers)
        prefill = request.get("X-Serving-Stage") == "prefill"
        self.seen.append(request)
        self.record.add("%s (%s) gets %s%s%s" % (
            self.name, self.version, request.get("X-Request-Attempt-Id"),
            " to prefill" if prefill else "",
            " after event " + request.get("Last-Event-Id")
            if request.get("Last-Event-Id") else ""))
        if prefill != (self.stage == "prefill"):
            return await self.reply(writer, 421, headers)
        if prefill:
            await asyncio.sleep(0.01)
            self.handles += 1
            headers["Content-Type"] = "application/json"
            return await self.reply(writer, 200, headers, json.dumps(
                {"transfer-handle": "%s%08x" % (os.urandom(4).hex(), self.handles),
                 "tokens": 1460, "version": 1}).encode())
        if self.running >= self.slots:
            headers["X-Not-Executed"] = "1"
            return await self.reply(writer, 503, headers)
        self.running += 1
        try:
            return await self.stream(request, target, headers, reader, writer)
        finally:
            self.running -= 1

    async def order(self, request, writer):
        call = json.loads(request.body)
        self.record.add("%s gets the order %s" % (self.name, call))
        self.orders += 1
        await self.reply(writer, 202, {})
        await asyncio.sleep(1)
        self.stage = call["stage"]
        self.store.put_json("servers", self.name, self.row())
        return True

    async def stream(self, request, target, headers, reader, writer):
        await asyncio.sleep(self.first)
        await self.silent.wait()
        if reader.at_eof() or writer.is_closing():
            return False
        headers["X-Response-Seal"] = "seal." + os.urandom(4).hex()
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % i for i in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        last = int(request.get("Last-Event-Id", "0") or "0")
        events = 2 if target.endswith("/short") else self.events
        for number in range(last + 1, events + 1):
            await self.silent.wait()
            if reader.at_eof() or writer.is_closing():
                return False
            data = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if number < events:
                await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Gateway:
    """A process of the program under review."""

    def __init__(self, ip, name, zone, ports, store, folder, more=None):
        self.name = name
        self.ip = ip
        self.ports = ports
        self.process = None
        self.log = os.path.join(folder, name + ".log")
        self.path = os.path.join(folder, name + ".json")
        settings = {
            "instance_id": name, "availability_zone": zone,
            "callers_address": "%s:%d" % (ip, ports["front"]),
            "readiness_address": "%s:%d" % (ip, ports["ready"]),
            "metrics_address": "%s:%d" % (ip, ports["metrics"]),
            "peer_address": "%s:%d" % (ip, ports["peer"]),
            "store_address": store.address, "shutdown_s": 8, "lease_ms": 3000,
            "drain_ms": 2000, "retry_ratio": 0.2, "retry_slack": 56,
            "retry_window_s": 10, "memory_mb": 260}
        settings.update(more or {})
        with open(self.path, "w") as file:
            json.dump(settings, file)

    def start(self):
        if not os.access(GATEWAY, os.X_OK):
            raise CannotRun("target/cranberryhill-gateway is not built")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [GATEWAY], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "CRANBERRYHILL_BOOT": self.path})

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    async def await_ready(self, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(self.name + " has ended")
            try:
                answer = await call(self.ip, self.ports["ready"], "GET",
                                    "/cranberryhill/readiness", {}, timeout=1)
                if answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(self.name + " is not ready")

    def log_lines(self, event):
        with open(self.log, errors="replace") as file:
            return [line for line in file if '"event":"%s"' % event in line]


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""


async def call(ip, port, method, target, headers, body=b"", timeout=10,
               on_part=None):
    """Sends a request on a new connection and reads the whole answer.

    @param on_part Called with each part of the body as it comes.
    """
    answer = Answer()
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(ip, port, limit=1 << 22), 1)
    try:
        lines = ["%s %s HTTP/1.1" % (method, target)]
        all_headers = {"Host": HOST}
        all_headers.update(headers)
        lines += ["%s: %s" % item for item in all_headers.items()]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(_read_answer(reader, answer, on_part), timeout)
    except asyncio.TimeoutError:
        answer.error = "no whole answer in time"
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        answer.error = answer.error or "broken: " + type(error).__name__
    finally:
        writer.transport.abort()
    return answer


async def _read_answer(reader, answer, on_part):
    head = await read_head(reader)
    if head is None:
        answer.error = "closed without an answer"
        return
    answer.status = int(head.first.split(" ")[1])
    answer.headers = head.headers

    def add(data):
        answer.body += data
        if on_part is not None:
            on_part(data)

    if head.get("Transfer-Encoding").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                break
            add(await reader.readexactly(size))
            await reader.readexactly(2)
    elif "content-length" in head.headers:
        add(await reader.readexactly(int(head.get("Content-Length"))))
    else:
        while True:
            data = await reader.read(65536)
            if not data:
                break
            add(data)
    answer.complete = True


EVENT = re.compile(r"id: (\d+)\ndata: ([^\n]*)\n\n")


class Stream:
    """A requester's stream over all of its attempts."""

    def __init__(self, name, path, record, budget=6.0, parts=None, tokens=""):
        self.name = name
        self.path = path
        self.record = record
        self.budget = budget
        self.parts = parts or "5c1e07a2:800,%s:410" % os.urandom(4).hex()
        self.tokens = tokens or "1210,24"
        self.events = []  # Pairs of an id and its data.
        self.first_attempt = ""
        self.attempts = 0
        self.complete = False

    async def run(self, gateways):
        """@param gateways Tried one after the other."""
        began = time.monotonic()
        for gateway in gateways:
            left = self.budget - (time.monotonic() - began)
            if left <= 0.1 or self.complete:
                return
            if not await self.attempt(gateway, left):
                return

    async def attempt(self, gateway, left):
        """@return True if the requester may try again."""
        self.attempts += 1
        attempt = "%s-%d-%s" % (self.name, self.attempts, os.urandom(3).hex())
        headers = {
            "X-Request-Attempt-Id": attempt, "X-Model": "m",
            "X-Token-Counts": self.tokens, "X-Prompt-Prefix": self.parts,
            "X-Deadline-Remaining-Ms": str(int(left * 1000))}
        if self.events:
            headers["Last-Event-Id"] = self.events[-1][0]
            headers["Resumes"] = self.first_attempt
        pending = [""]

        def on_part(data):
            pending[0] += data.decode()
            while True:
                found = EVENT.search(pending[0])
                if not found:
                    return
                if not self.events:
                    self.first_attempt = attempt
                self.events.append((found.group(1), found.group(2)))
                pending[0] = pending[0][found.end():]

        self.record.add("%s: attempt %s at %s%s" % (
            self.name, attempt, gateway.name,
            " resumes %s after event %s" % (self.first_attempt, self.events[-1][0])
            if self.events else ""))
        try:
            answer = await call(gateway.ip, gateway.ports["front"], "POST",
                                self.path, headers, b"", left, on_part)
        except (OSError, asyncio.TimeoutError):
            answer = Answer()
            answer.error = "no connection"
        self.complete = answer.status == 200 and answer.complete
        self.record.add("%s: attempt %s ends: %d %s, events %s" % (
            self.name, attempt, answer.status,
            "complete" if answer.complete else answer.error, self.shown()))
        if self.complete:
            return False
        wait = float(answer.headers.get("retry-after", "0") or "0")
        await asyncio.sleep(min(wait, left / 3))
        return True

    def shown(self):
        return " ".join("%s@%s" % event for event in self.events)

    def versions(self):
        return sorted(set(data for _, data in self.events))


class Case:
    """Runs a case and turns its outcome into an exit code."""

    def __init__(self, folder):
        self.folder = os.path.abspath(folder)
        self.record = Record(self.folder)
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.gateways = []
        self.servers = []

    async def start_store(self):
        store = Store("127.0.0.1", self.record)
        store.port = free_port("127.0.0.1")
        await store.start()
        self.servers.append(store)
        return store

    async def add(self, server):
        server.port = server.port or free_port(server.ip)
        await server.start()
        self.servers.append(server)
        return server

    def make_gateways(self, count, store, zones, more=None):
        """Ports are the same on all machines of a deployment."""
        ips = ["127.0.0.%d" % (11 + i) for i in range(count)]
        ports = {}
        for name in ("front", "ready", "metrics", "peer"):
            ports[name] = free_port(ips[0])
        for i, ip in enumerate(ips):
            zone = zones[i % len(zones)]
            self.gateways.append(Gateway(
                ip, "front-%s-%d" % (zone, i + 1), zone, ports, store,
                self.temporary, more))
        return self.gateways

    async def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.await_ready()

    def close(self):
        for gateway in self.gateways:
            gateway.end()
        for server in self.servers:
            server.stop()
        if os.environ.get("KEEP"):
            print("kept", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder, play, limit=115):
    """@param play Takes the case; returns HELD, BROKEN or CANNOT_RUN."""
    case = Case(folder)

    async def run():
        try:
            return await asyncio.wait_for(play(case), limit)
        except CannotRun as error:
            case.record.add("cannot run: %s" % error)
            return CANNOT_RUN
        except asyncio.TimeoutError:
            case.record.add("cannot run: it takes too long")
            return CANNOT_RUN
        except Exception as error:  # An error of the script shows no fault.
            case.record.add("cannot run: %r" % error)
            return CANNOT_RUN
        finally:
            case.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        result = asyncio.run(run())
    finally:
        case.close()
    case.record.add("result: %s" % {HELD: "the rule held",
                                    BROKEN: "the rule was broken",
                                    CANNOT_RUN: "could not run"}[result])
    sys.exit(result)


def route(name, prefix, service, kind="streaming", **more):
    made = {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
            "timeout-ms": 6000, "target-latency-ms": 400, "priority": 2,
            "service": service, "attempts": 2}
    if kind == "streaming":
        made.update({"sticky-sessions": True, "resumable": True,
                     "target-gap-ms": 250})
    made.update(more)
    return made


def engine_service(name, slots=16, connections=620):
    return {"name": name, "health-path": "/health",
            "max-connections": connections, "protocol": "h1", "tls": False,
            "engine": {"slots": slots, "kv-capacity-tokens": 1180745,
                       "kv-token-bytes": 18432, "link-mbps": 550000.0,
                       "handle-ttl-s": 5.0, "switch-s": 3.0,
                       "models": [{"name": "m"}]}}


def plain_service(name, connections=110):
    return {"name": name, "health-path": "/health",
            "max-connections": connections, "protocol": "h1", "tls": False}


def configuration(version, routes, services, **more):
    made = {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
    made.update(more)
    return made
