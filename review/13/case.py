"""A route's split changes while streams run; then their gateway is killed."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness_3 as h  # noqa: E402

STREAMS = 32
NEW_STREAMS = 32
BACKGROUND = 76
SLOTS = 48


def configuration(version, first, second):
    """@param first,second The shares of the two services in the route."""
    made = h.route("ruling", "/ruling/", "lm-a")
    del made["service"]
    made["traffic-split"] = [{"service": "lm-a", "weight": first},
                     {"service": "lm-b", "weight": second}]
    return h.configuration(version, [made], [
        h.engine_service("lm-a", SLOTS), h.engine_service("lm-b", SLOTS)])


def begun_at(stream):
    return stream.events[0][1] if stream.events else ""


async def play(case):
    record = case.record
    store = await case.start_store()
    store.put_json("op", "config", configuration(7, 90, 10))
    make = lambda name, version, stage, service: case.add(h.Replica(
        "127.0.0.2", name, store, record, version=version, stage=stage,
        service=service, events=17, gap=0.25, slots=SLOTS))
    for i in range(2):
        await make("i-a-decode-%d" % i, "v1", "decode", "lm-a")
        await make("i-a-prefill-%d" % i, "v1", "prefill", "lm-a")
    await make("i-b-decode", "v1", "decode", "lm-b")
    for i in range(2):
        await make("i-b-prefill-%d" % i, "v1", "prefill", "lm-b")
    gateways = case.make_gateways(8, store, ["a", "b", "c"])
    await case.start_gateways()
    await asyncio.sleep(15)  # Until the gateways know each other.
    load = []
    for i in range(200):
        load.append(asyncio.ensure_future(h.Stream(
            "load%d" % i, "/ruling/short", record).run(gateways[i % 3:][:1])))
        await asyncio.sleep(0.05)
    await asyncio.gather(*load)

    began = record.now()
    at = lambda s: asyncio.sleep(max(0, began + s - record.now()))
    others = [h.Stream("other%d" % i, "/ruling/1", record)
              for i in range(BACKGROUND)]
    tasks = [asyncio.ensure_future(stream.run([gateways[1 + i % 7]]))
             for i, stream in enumerate(others)]
    await at(0.3)
    # A release: replicas of another software version come to the service.
    for i in range(2):
        await make("i-a-new-decode-%d" % i, "v2", "decode", "lm-a")
        await make("i-a-new-prefill-%d" % i, "v2", "prefill", "lm-a")
    await at(1.5)
    streams = [h.Stream("s%d" % i, "/ruling/1", record) for i in range(STREAMS)]
    others_of = lambda i, count: [gateways[1 + (i + 3 * k) % 7]
                                  for k in range(count)]
    for i, stream in enumerate(streams):
        tasks.append(asyncio.ensure_future(
            stream.run(gateways[:1] + others_of(i, 5))))
    await at(2.3)
    if h.trouble():
        store.put_json("op", "config", configuration(9, 10, 90))
        record.add("the operator's version 9 is acknowledged")
    await at(3.5)
    gateways[0].signal(signal.SIGKILL)
    record.add("front-a-1 is killed")
    had = {stream.name: len(stream.events) for stream in streams}
    new = [h.Stream("n%d" % i, "/ruling/1", record) for i in range(NEW_STREAMS)]
    for i, stream in enumerate(new):
        tasks.append(asyncio.ensure_future(stream.run(others_of(i, 2))))
    await asyncio.gather(*tasks)
    taken_up = [s for s in streams if s.attempts > 1 and had[s.name]]
    for stream in streams + new:
        record.add("%s: %s, %d attempts, %s" % (
            stream.name, stream.shown(), stream.attempts,
            "complete" if stream.complete else "cut"))
    record.add("new streams: %d, begun %d" % (
        len(new), sum(1 for s in new if s.events)))
    begun = sum(1 for s in new if s.events) / len(new)
    for version in ("v1", "v2"):
        mine = [s for s in taken_up if begun_at(s) == version]
        on = [s for s in mine if len(s.events) > had[s.name]]
        record.add("streams of %s that were taken up: %d, of which go on: %d" % (
            version, len(mine), len(on)))
    on = [s for s in taken_up if len(s.events) > had[s.name]]
    record.add("all that were taken up: %d, of which go on: %d" % (
        len(taken_up), len(on)))
    if len(taken_up) < 12:
        raise h.CannotRun("too few streams were taken up")
    share = len(on) / len(taken_up)
    return h.BROKEN if share < begun / 2 else h.HELD


h.main(FOLDER, play)
