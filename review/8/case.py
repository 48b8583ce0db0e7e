"""A part of prompts crashes engines; the gateways take the sound first part, which
all requests of the route share, for the cause and refuse them all."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from platform_2 import (Gateway, Replica, Store, CannotRun, call, configuration,  # noqa: E402
                        run_case)

FIRST = "12a7:6300"  # The part that all requests share.
BAD = "dead:410"  # Crashes each engine that begins an answer on it.
DOWN_S = 3.0
STABLE_S = 3.0  # `stable-window-ms`


class Engine(Replica):
    """Writes the head of an answer at once and its first event 0.2 s later."""

    crashes = []

    async def run_stream(self, attempt, headers, proof, reader, writer):
        prompt = headers["x-prompt-prefix"]
        self.record(f"replica {self.name}: begins {attempt} on {prompt}")
        lines = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **proof}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n").encode())
        await writer.drain()
        if BAD in prompt and self.trouble:
            await asyncio.sleep(0.03)
            asyncio.create_task(self.crash())
            return
        self.running += 1
        try:
            for number in range(1, 5):
                await asyncio.sleep(0.2)
                event = f"id: {number}\ndata: {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if writer.transport.is_closing():
                    raise ConnectionResetError
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1

    async def crash(self):
        Engine.crashes.append(time.monotonic())
        self.record(f"replica {self.name}: crashes")
        self.beat.cancel()
        await self.close()
        await asyncio.sleep(DOWN_S)
        again = Engine(self.store, self.record, self.name, self.version, self.stage)
        again.trouble, again.port = self.trouble, self.port
        await again.start()


class Callers:
    def __init__(self, record, gateways):
        self.record, self.gateways = record, gateways
        self.number = 0
        self.results = []  # Of sound requests: when they were sent, whether they began.

    async def ask(self, gateway, bad=False):
        self.number += 1
        number = self.number
        attempt = f"{0xc000000000 + number:016x}"
        second = BAD if bad else f"{0xb000 + number % 40:x}:410"
        began = time.monotonic()
        answer = await call(self.gateways[gateway].port, "POST", f"/notice/{number}", {
            "X-Request-Attempt-Id": attempt, "X-Model": "m", "X-Token-Counts": "7000,4",
            "X-Prompt-Prefix": f"{FIRST},{second},{0xa0000000 + number:x}:290",
            "X-Deadline-Remaining-Ms": "6000"})
        self.record(f"caller {attempt} ({'bad' if bad else 'sound'}, front-{gateway + 1}): "
                    f"{answer.status} {answer.reason} {len(answer.events)} events")
        if not bad:
            self.results.append((began, bool(answer.events)))

    def share(self, begin, end):
        chosen = [ok for at, ok in self.results if begin <= at < end]
        return sum(chosen) / max(1, len(chosen)), len(chosen)


async def case(record, scratch, trouble, started):
    store = Store(record)
    await store.listen()
    await store.put("op", "config", configuration())
    engines = [Engine(store, record, f"i-{n}", "v1", ["decode", "prefill"][n % 2])
               for n in range(6)]
    for engine in engines:
        engine.trouble = trouble
        await engine.start()
    gateways = [Gateway(record, scratch, store, f"front-{n}") for n in (1, 2)]
    started += gateways

    async def start():
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.await_ready()
        await asyncio.sleep(STABLE_S + 1)

    await start()
    callers = Callers(record, gateways)
    calm_from = time.monotonic()
    tasks = []
    for number in range(40):
        tasks.append(asyncio.create_task(callers.ask(number % 2)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    calm_to = time.monotonic()

    record("planned stop and start of both gateways")
    for gateway in gateways:
        gateway.signal(signal.SIGTERM)
    while any(gateway.process.poll() is None for gateway in gateways):
        await asyncio.sleep(0.05)
    await start()

    record("requests with the bad part come")
    first = asyncio.create_task(callers.ask(0, bad=True))
    await asyncio.sleep(0.6)
    tasks = [first]
    for _ in range(3):
        tasks.append(asyncio.create_task(callers.ask(0)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.03)
    tasks.append(asyncio.create_task(callers.ask(1, bad=True)))
    await asyncio.sleep(1)
    last_crash = max(Engine.crashes, default=time.monotonic())
    record(f"{len(Engine.crashes)} crashes")
    while time.monotonic() < last_crash + 2 * STABLE_S + 0.5:
        tasks.append(asyncio.create_task(callers.ask(0, bad=True)))
        await asyncio.sleep(1)
    from_then = time.monotonic()
    for number in range(60):
        tasks.append(asyncio.create_task(callers.ask(number % 2)))
        if number % 10 == 0:
            tasks.append(asyncio.create_task(callers.ask(1, bad=True)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)

    before, asked_before = callers.share(calm_from, calm_to)
    after, asked_after = callers.share(from_then, time.monotonic())
    record(f"sound requests that begin: {before:.2f} of {asked_before} before, {after:.2f} of "
           f"{asked_after} later than {2 * STABLE_S:.0f} s after the last crash (less than "
           "half as often breaks LOST)")
    return after >= before / 2


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
