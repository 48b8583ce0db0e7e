"""A planned stop while callers use their open connections."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness as h  # noqa: E402

EVENTS = 24
EVENT_GAP_S = 0.2  # The route allows pauses of 0.25 s.
BUDGET_MS = 6000
CALLERS = 8
GRACE_S = 8
TERM_AT_S = 6.5
# A request that was sent up to here may be cut in the last sixth of the grace
# time.
LATE_AFTER_S = 3.0


class StreamReplica(h.Replica):
    async def handle(self, head, body, reader, writer):
        attempt = head.get("X-Request-Attempt-Id")
        self.record.write(f"{self.name} runs {attempt}")
        self.ran.add(attempt)
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
            self.record.write(f"{self.name} completed {attempt}")
        finally:
            self.running -= 1
        return True


async def scenario(record, folder, gateways):
    store = h.Store()
    ports = h.free_ports(4)
    await store.start(ports[0])
    await store.put(
        "op",
        "config",
        h.configuration(
            7,
            [h.route("chat", "lm", "streaming", **{"target-gap-ms": 250})],
            [h.service("lm")],
        ),
    )
    ran = set()
    for index in range(3):
        replica = StreamReplica(store, record, f"r{index}", "lm", slots=16)
        replica.ran = ran
        await replica.start(ports[1 + index])
    for index in range(2):
        gateway = h.Gateway(record, folder, f"gw{index}", store.port)
        gateways.append(gateway)
        await gateway.start()
    await asyncio.sleep(2)

    begin = record.now()
    term_at = begin + TERM_AT_S
    breaches = []

    async def caller(index):
        """Sends chat after chat on one connection for as long as it may."""
        await asyncio.sleep(index * EVENTS * EVENT_GAP_S / CALLERS)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", gateways[0].port
        )
        for turn in range(3):
            attempt = f"c{index}-{turn}"
            try:
                writer.write(
                    h.request("POST", "/chat/x", attempt, BUDGET_MS, b"{}")
                )
                await writer.drain()
            except ConnectionError:
                record.write(f"caller {attempt} not sent, connection closed")
                break
            sent = record.now()
            record.write(f"caller {attempt} sent")
            answer = await h.read_answer(reader)
            took = record.now() - sent
            record.write(
                f"caller {attempt} got status={answer.status} "
                f"complete={answer.complete} bytes={len(answer.body)} "
                f"took={took:.3f}"
            )
            since_term = sent - term_at
            cut = not answer.complete and attempt in ran
            if cut and took < BUDGET_MS / 1000:
                if LATE_AFTER_S < since_term < GRACE_S + 1 or not h.TROUBLE:
                    breaches.append(
                        f"LOST {attempt}: sent {since_term:.2f} s after "
                        f"SIGTERM, passed on, cut after {took:.2f} s"
                    )
            if not answer.complete:
                break
            if answer.head.get("Connection").lower() == "close":
                break
        writer.close()

    async def stop():
        if h.TROUBLE:
            await asyncio.sleep(TERM_AT_S)
            gateways[0].signal(signal.SIGTERM)
            code = await gateways[0].process.wait()
            record.write(f"gw0 ended with {code}")

    await asyncio.gather(stop(), *(caller(i) for i in range(CALLERS)))
    return breaches


if __name__ == "__main__":
    h.run_case(__file__, scenario)
