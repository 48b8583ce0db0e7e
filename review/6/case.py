"""A replica in trouble sends an event without end, line by line; the gateway
searches all of it again with each line and answers nobody meanwhile."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from platform_2 import (APP_SERVICE, Gateway, Replica, Store, call,  # noqa: E402
                        configuration, run_case, stream_headers)

TIMEOUT_S = 1.2  # `timeout-ms` of the route /view/.


class Troubled(Replica):
    """Begins a stream and goes on with lines until the caller closes."""

    in_trouble = None  # The first replica that runs a stream.

    async def run_stream(self, attempt, headers, proof, reader, writer):
        if self.trouble and Troubled.in_trouble is None:
            Troubled.in_trouble = self
        if Troubled.in_trouble is not self:
            return await super().run_stream(attempt, headers, proof, reader, writer)
        self.record(f"replica {self.name}: bytes without end for {attempt}")
        lines = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **proof}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n").encode())
        sent = 0
        try:
            while not writer.transport.is_closing():
                writer.write(b"2\r\n~\n\r\n" * 1000)
                sent += 2000
                await writer.drain()
        finally:
            self.record(f"replica {self.name}: {attempt} closed after {sent} bytes")


async def view(gateway, record, times, number):
    attempt = f"{0xe000000000 + number:016x}"
    began = time.monotonic()
    answer = await call(gateway.port, "GET", "/view/x", {
        "X-Request-Attempt-Id": attempt, "X-Deadline-Remaining-Ms": "2500"}, limit_s=2.5)
    took = time.monotonic() - began
    record(f"caller {attempt}: {answer.status} {answer.reason} after {took * 1000:.0f} ms")
    times.append(took)


async def case(record, scratch, trouble, started):
    store = Store(record)
    await store.listen()
    await store.put("op", "config", configuration())
    replicas = [Troubled(store, record, f"i-{n}", "v1", ["decode", "prefill"][n % 2])
                for n in range(8)]
    replicas += [Replica(store, record, f"a-{n}", "v1", None, service=APP_SERVICE)
                 for n in range(3)]
    for replica in replicas:
        replica.trouble = trouble
        await replica.start()
    gateway = Gateway(record, scratch, store, "front-1")
    started.append(gateway)
    gateway.start()
    await gateway.await_ready()
    await asyncio.sleep(4)

    times, tasks = [], []

    async def stream(number):
        answer = await call(gateway.port, "POST", "/notice/x",
                            stream_headers(f"{0xc000000000 + number:016x}", number))
        record(f"stream {number}: {answer.status} {answer.reason} {len(answer.events)} events")

    for number in range(100):
        if number % 2 == 0:
            tasks.append(asyncio.create_task(stream(number)))
        tasks.append(asyncio.create_task(view(gateway, record, times, number)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    late = sum(took > TIMEOUT_S for took in times)
    unanswered = sum(took > TIMEOUT_S + 0.5 for took in times)
    record(f"{len(times)} requests of the route /view/: {late} last longer than its timeout, "
           f"{unanswered} of them have no answer 0.5 s after it (8 or more and over a "
           "quarter, or more than half, break CONFIG)")
    return unanswered < 8 or unanswered * 4 <= late


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
