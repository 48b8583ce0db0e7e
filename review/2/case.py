"""A second copy of a refusal arrives when the same replica gets the request again."""

import asyncio
import itertools
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness as h  # noqa: E402

RUN_S = 72
REQUESTS_PER_S = 60
EVENTS = 5
EVENT_GAP_S = 0.02
PREFILL_S = 0.03
BUDGET_MS = 3000
# Windows of disruption: WINDOW_S of every PERIOD_S. The largest doses in the
# site file are `handle_short` with share 0.35 for 4 s and `garble` "extra late"
# with share 0.6 and x 0.03 for 5 s.
PERIOD_S = 8.0
WINDOW_S = 4.0
COPIED_ANSWERS = 0.03
PREFILL_ENGINES = 4
DECODE_ENGINES = 2  # Both send copies: 2 of 6 engines.
SHORT_HANDLES = 2  # Engines whose handles lapse at once: 2 of 6.


class Engine(h.Replica):
    short_handles = False
    sends_copies = False

    def __init__(self, shared, *arguments, **more):
        super().__init__(*arguments, **more)
        self.shared = shared
        self.numbers = itertools.count(1)

    def in_window(self):
        since = self.record.now() - self.shared.began
        return h.TROUBLE and since >= 0 and since % PERIOD_S < WINDOW_S

    async def serve(self, reader, writer):
        writer.copy = None
        await super().serve(reader, writer)

    async def reply(self, writer, status, headers, body=b""):
        data = h.message(
            f"HTTP/1.1 {status}",
            [*headers, ("Content-Length", len(body))],
            body,
        )
        writer.write(data)
        await writer.drain()
        if (
            self.sends_copies
            and self.in_window()
            and self.shared.luck.random() < COPIED_ANSWERS
        ):
            writer.copy = data

    async def handle(self, head, body, reader, writer):
        method, path, _ = head.first.split(" ")
        if path == "/cranberryhill/report":
            report = {
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "waiting": 0,
                "running": self.running,
                "kv-used": 0,
                "kv-total": 1180745,
                "handles": 0,
            }
            await self.reply(writer, "200 OK", [], json.dumps(report).encode())
            return True
        if path == "/cranberryhill/order":
            self.record.write(f"{self.name} gets an order: {body.decode()}")
            await self.reply(writer, "409 Conflict", [])
            return True
        if path.startswith("/cranberryhill/kv-handle/"):
            self.shared.handles.discard(path.rsplit("/", 1)[1])
            await self.reply(writer, "200 OK", [])
            return True
        return await self.work(head, writer)

    async def work(self, head, writer):
        attempt = head.get("X-Request-Attempt-Id")
        if writer.copy is not None:
            # The extra answer, late, where the next one is expected.
            first = writer.copy.split(b"\r\n")[0].decode()
            self.record.write(
                f'{self.name} sends a second copy of "{first}" of '
                f"{h.Head(writer.copy).get('X-Request-Attempt-Id')} before the "
                f"answer to {attempt}"
            )
            writer.write(writer.copy)
            writer.copy = None
        stage = head.get("X-Serving-Stage")
        if stage == "prefill":
            if self.stage != "prefill":
                await self.reply(writer, "421 Misdirected Request", [])
                return True
            await asyncio.sleep(PREFILL_S)
            handle = f"{self.name}{next(self.numbers):x}"
            if not (self.short_handles and self.in_window()):
                self.shared.handles.add(handle)
            answer = {"transfer-handle": handle, "tokens": 1460, "version": 1}
            await self.reply(
                writer,
                "200 OK",
                self.answer_headers(head),
                json.dumps(answer).encode(),
            )
            return True
        if self.stage != "decode":
            await self.reply(writer, "421 Misdirected Request", [])
            return True
        source = head.get("X-Kv-Source")
        if source:
            handle = source.rsplit("/", 1)[1]
            if handle not in self.shared.handles:
                self.record.write(f"{self.name} cannot fetch for {attempt}")
                await self.reply(
                    writer,
                    "503 Service Unavailable",
                    [("X-Not-Executed", 1), *self.answer_headers(head)],
                )
                return True
            self.shared.handles.discard(handle)
        await self.stream(attempt, head, writer)
        return True

    async def stream(self, attempt, head, writer):
        self.shared.runs.setdefault(attempt, []).append(self.name)
        self.record.write(f"{self.name} runs {attempt}")
        self.running += 1
        try:
            writer.write(
                h.message(
                    "HTTP/1.1 200 OK",
                    self.answer_headers(head)
                    + [
                        ("Content-Type", "text/event-stream"),
                        ("Transfer-Encoding", "chunked"),
                    ],
                )
            )
            for number in range(1, EVENTS + 1):
                writer.write(h.chunk(h.event(number)))
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(h.LAST_CHUNK)
            await writer.drain()
        finally:
            self.running -= 1


class Shared:
    def __init__(self):
        self.luck = random.Random(11)
        self.handles = set()
        self.runs = {}
        self.began = float("inf")


async def scenario(record, folder, gateways):
    shared = Shared()
    store = h.Store()
    count = PREFILL_ENGINES + DECODE_ENGINES
    ports = h.free_ports(1 + count)
    await store.start(ports[0])
    await store.put(
        "op",
        "config",
        h.configuration(
            7,
            [
                h.route(
                    "yard",
                    "lm",
                    "streaming",
                    attempts=1,
                    **{
                        "timeout-ms": 3000,
                        "target-latency-ms": 600,
                        "sticky-sessions": True,
                        "resumable": False,
                        "target-gap-ms": 250,
                    },
                )
            ],
            [h.service("lm", 620, h.ENGINE)],
        ),
    )
    for index in range(count):
        stage = "prefill" if index < PREFILL_ENGINES else "decode"
        engine = Engine(
            shared,
            store,
            record,
            f"{stage[0]}{index}",
            "lm",
            slots=128,
            zone=f"zone-{'ab'[index % 2]}",
            stage=stage,
        )
        engine.short_handles = index < SHORT_HANDLES
        engine.sends_copies = stage == "decode"
        await engine.start(ports[1 + index])
    for index in range(2):
        gateway = h.Gateway(
            record, folder, f"gw{index}", store.port, f"zone-{'ab'[index]}"
        )
        gateways.append(gateway)
        await gateway.start()
    await asyncio.sleep(2)
    shared.began = record.now()
    statuses = {}

    async def ask(number):
        attempt = f"yard-{number}"
        gateway = shared.luck.choice(gateways)
        part = shared.luck.randrange(200)
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.port
            )
            writer.write(
                h.request(
                    "POST",
                    "/yard/x",
                    attempt,
                    BUDGET_MS,
                    f'{{"question": {number}}}'.encode(),
                    [
                        ("X-Model", "m"),
                        ("X-Token-Counts", "2890,5"),
                        (
                            "X-Prompt-Prefix",
                            f"{part + 1:x}:1000,{number + 4096:x}:1890",
                        ),
                    ],
                )
            )
            answer = await h.read_answer(reader)
            statuses[attempt] = answer.status
            record.write(
                f"caller {attempt} at {gateway.name} got {answer.status} "
                f"complete={answer.complete}"
            )
            writer.close()
        except ConnectionError:
            record.write(f"caller {attempt} lost its connection")

    requests = []
    for number in range(RUN_S * REQUESTS_PER_S):
        requests.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(shared.luck.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*requests)
    await asyncio.sleep(1)
    breaches = []
    for attempt, names in shared.runs.items():
        if len(names) > 1:
            breaches.append(f"TWICE {attempt}: run by {', '.join(names)}")
        if statuses.get(attempt) in (408, 421, 429, 503):
            breaches.append(
                f"REFUSED {attempt}: answered {statuses[attempt]}, run by "
                f"{', '.join(names)}"
            )
    counts = {}
    for status in statuses.values():
        counts[status] = counts.get(status, 0) + 1
    record.write(f"answers {counts}")
    return breaches


if __name__ == "__main__":
    h.run_case(__file__, scenario)
