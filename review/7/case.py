"""An instance that has just been added begins streams without a record at a
former base version that has come back."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from platform_2 import (Gateway, Replica, Store, CannotRun, call, configuration,  # noqa: E402
                        run_case, stream_headers)

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
    await store.put("op", "config", configuration())
    first = [Replica(store, record, f"i-a{n}", "v1", STAGES[n]) for n in range(8)]
    for replica in first:
        await replica.start()
    gateways = [Gateway(record, scratch, store, f"front-{n}") for n in (1, 2)]
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
    removed_at = time.monotonic()
    record("the last replica of v1 is gone")

    await asyncio.sleep(8)
    added = Gateway(record, scratch, store, "front-3")
    started.append(added)
    added.start()
    await added.await_ready()
    while b"v2" not in (store.value("cranberryhill", "service-version/lm") or b""):
        if time.monotonic() > removed_at + 19:
            raise CannotRun("the base version has not changed")
        await asyncio.sleep(0.05)
    record("the base version is v2")

    await asyncio.sleep(1)
    record("rollback to v1 begins")
    back = asyncio.create_task(
        replace(store, record, second, "v1", [f"i-c{n}" for n in range(8)]))
    await asyncio.sleep(2.6)
    results, callers = [], []
    for number in range(10):
        callers.append(asyncio.create_task(ask([added, gateways[1]], record, results, number)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    if trouble:
        added.signal(signal.SIGKILL)
    await asyncio.gather(*callers)
    await back
    mixed = sum(len(versions) > 1 for versions in results)
    record(f"{len(results)} streams, {mixed} with events of two software versions "
           "(more than 2 break ORDER)")
    return mixed <= 2


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
