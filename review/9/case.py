"""An instance that the store turns away begins streams without a record because
no replica of the base version is left; the base version comes back."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from platform_2 import (HOST, Gateway, Replica, Store, CannotRun, call,  # noqa: E402
                        configuration, run_case, stream_headers)

STAGES = ["decode", "prefill"] * 4


async def replace(store, record, old, version, names):
    """Replaces replicas one after the other; the new one starts first."""
    new, leaving = [], []
    for name, stage, former in zip(names, STAGES, old):
        replica = Replica(store, record, name, version, stage)
        await replica.start()
        new.append(replica)
        leaving.append(asyncio.create_task(former.leave()))
        await asyncio.sleep(1.0)
    return new, leaving


async def ask(gateways, record, results, number):
    """One caller: a stream, taken up once at another instance if it breaks off."""
    attempt = f"{0xc000000000 + number:016x}"
    answer = await call(gateways[0].port, "POST", "/notice/x",
                        stream_headers(attempt, number))
    record(f"caller {attempt}: {answer.status} {answer.reason} "
           f"events {[data for _, data in answer.events]}")
    events = list(answer.events)
    if not answer.complete and events:
        again = f"{0xd000000000 + number:016x}"
        headers = stream_headers(again, number, 4000)
        headers["Last-Event-Id"] = str(events[-1][0])
        headers["Resumes"] = attempt
        second = await call(gateways[1].port, "POST", "/notice/x", headers)
        record(f"caller {attempt}: takes up as {again}: {second.status} {second.reason} "
               f"events {[data for _, data in second.events]}")
        events += second.events
    results.append({data.split(" ")[0] for _, data in events})


async def case(record, scratch, trouble, started):
    store = Store(record)
    await store.listen()
    port = await store.listen_for("front-1")
    await store.put("op", "config", configuration())
    first = [Replica(store, record, f"i-a{n}", "v1", STAGES[n]) for n in range(8)]
    for replica in first:
        await replica.start()
    gateways = [Gateway(record, scratch, store, "front-1",
                        settings={"store_address": f"{HOST}:{port}"}),
                Gateway(record, scratch, store, "front-2")]
    started += gateways
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.await_ready()
    await asyncio.sleep(5)
    if b"v1" not in (store.value("cranberryhill", "service-version/lm") or b""):
        raise CannotRun("no row names the base version")

    record("release to v2 begins")
    second, leaving = await replace(store, record, first, "v2", [f"i-b{n}" for n in range(8)])
    await asyncio.gather(*leaving)
    record("the last replica of v1 is gone")

    await asyncio.sleep(4)
    refused_from = time.monotonic()
    if trouble:
        store.refuses = lambda writer: writer.get_extra_info("sockname")[1] == port
        record("store: turns front-1 away with 503")
    await asyncio.sleep(1)
    results, callers = [], []
    for number in range(10):
        callers.append(asyncio.create_task(ask(gateways, record, results, number)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    record("rollback to v1 begins")
    back = asyncio.create_task(
        replace(store, record, second, "v1", [f"i-c{n}" for n in range(8)]))
    await asyncio.sleep(1.2)
    if trouble:
        gateways[0].signal(signal.SIGKILL)
    await asyncio.sleep(1)
    store.refuses = lambda writer: False
    record(f"store: serves all again, after {time.monotonic() - refused_from:.1f} s")
    await asyncio.gather(*callers)
    await back
    mixed = sum(len(versions) > 1 for versions in results)
    record(f"{len(results)} streams, {mixed} with events of two software versions "
           "(more than 2 break ORDER)")
    return mixed <= 2


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
