"""A change right after the instances that poll the store have restarted."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness as h  # noqa: E402

# As in kd-spares-grown: 61 machines, config-apply-ms 3000.
GATEWAYS = 61
BOUND_S = 3.0
TRIALS = 6
RESTART_S = 0.3
PROBE_GAP_S = 0.03
FEED = "/cranberryhill/rows-feed"
READ = "/cranberryhill/rows-get"


class Desk(h.Replica):
    async def handle(self, head, body, reader, writer):
        writer.write(
            h.message(
                "HTTP/1.1 200 OK",
                self.answer_headers(head) + [("Content-Length", 2)],
                b"ok",
            )
        )
        await writer.drain()
        return True


async def scenario(record, folder, gateways):
    store = h.Store()
    await store.start(h.free_ports(1)[0])

    def routes(newest):
        names = ["look"] + [f"new{i}" for i in range(1, newest + 1)]
        return h.configuration(
            7 + newest,
            [h.route(name, "desk", "idempotent") for name in names],
            [h.service("desk", 430)],
        )

    await store.put("op", "config", routes(0))
    for index in range(2):
        replica = Desk(store, record, f"r{index}", "desk")
        await replica.start(h.free_ports(1)[0])
    for index in range(GATEWAYS):
        name = f"gw{index}"
        port = h.free_ports(1)[0]
        await store.listen_for(name, port)
        gateways.append(
            h.Gateway(record, folder, name, port, f"zone-{'abcd'[index % 4]}")
        )
    await asyncio.gather(*(gateway.start() for gateway in gateways))
    breaches = []

    def pollers():
        since = time.monotonic() - 1.6
        return [
            gateway
            for gateway in gateways
            if store.calls.get((gateway.name, FEED, "op"), 0) > since
        ]

    async def restart(stopped):
        """Kills processes; returns when they have read the configuration."""
        for gateway in stopped:
            gateway.signal(signal.SIGKILL)
        for gateway in stopped:
            await gateway.process.wait()
        await asyncio.sleep(RESTART_S)
        since = time.monotonic()
        await asyncio.gather(*(gateway.start() for gateway in stopped))
        for gateway in stopped:
            while store.calls.get((gateway.name, READ, "op"), 0) < since:
                await asyncio.sleep(0.005)

    async def ask(gateway, path, attempt):
        """Returns (time of sending, status), or None without a connection."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.port
            )
        except OSError:
            return None
        sent = record.now()
        writer.write(h.request("GET", path, attempt, 1000))
        answer = await h.read_answer(reader)
        writer.close()
        return sent, answer.status

    async def probe_route(gateway, path, acked):
        """Asks for a route that is in force by now, until it is there."""
        await asyncio.sleep(max(0, acked + BOUND_S + 0.005 - record.now()))
        number = 0
        while record.now() < acked + BOUND_S + 2:
            number += 1
            attempt = f"{path[1:-2]}-{gateway.name}-{number}"
            result = await ask(gateway, path, attempt)
            if result is None or result[1] != 404:
                return
            breaches.append(
                f"CONFIG {attempt}: 404 at {gateway.name} for a request sent "
                f"{result[0] - acked:.3f} s after the ack"
            )
            await asyncio.sleep(PROBE_GAP_S)

    for trial in range(1, TRIALS + 1):
        await asyncio.sleep(6)
        stopped = pollers()
        record.write(f"polling the store: {[g.name for g in stopped]}")
        if h.TROUBLE:
            await restart(stopped)
        await store.put("op", "config", routes(trial))
        acked = record.now()
        record.write(f"configuration with route new{trial} acknowledged")
        calm = [gateway for gateway in gateways if gateway not in stopped]
        await asyncio.gather(
            *(probe_route(gateway, f"/new{trial}/x", acked) for gateway in calm)
        )
    return breaches


if __name__ == "__main__":
    h.run_case(__file__, scenario)
