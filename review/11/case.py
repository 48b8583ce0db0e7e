"""A record of a stream's software version that the store performs late replaces
a newer one."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness_3 as h  # noqa: E402

STREAMS = 24
BACKGROUND = 33
SLOTS = 48
# "platform_lost": writes are done and not answered; "late": 1 to 6 s later.
LATE_S = 2.5
KILL_S = 3.4


async def play(case):
    record = case.record
    store = await case.start_store()
    store.put_json("op", "config", h.configuration(
        7, [h.route("ruling", "/ruling/", "lm", **{"target-latency-ms": 400})],
        [h.engine_service("lm", SLOTS)]))
    make = lambda name, version, stage: case.add(h.Replica(
        "127.0.0.2", name, store, record, version=version, stage=stage,
        events=17, gap=0.25, slots=SLOTS))
    old = await make("i-old-decode", "v1", "decode")
    await make("i-old-prefill", "v1", "prefill")
    gateways = case.make_gateways(8, store, ["a", "b", "c"])
    await case.start_gateways()
    await asyncio.sleep(15)  # Until the gateways know each other.
    # The usual load, from which the gateway earns retries.
    load = []
    for i in range(200):
        load.append(asyncio.ensure_future(h.Stream(
            "load%d" % i, "/ruling/short", record).run(gateways[:1])))
        await asyncio.sleep(0.05)
    await asyncio.gather(*load)

    began = record.now()
    at = lambda s: asyncio.sleep(max(0, began + s - record.now()))
    # The peak: streams take four fifths of the replica's places.
    others = [h.Stream("other%d" % i, "/ruling/1", record)
              for i in range(BACKGROUND)]
    tasks = [asyncio.ensure_future(stream.run([gateways[1]]))
             for stream in others]
    await at(0.3)
    # A release: replicas of another software version come to the service.
    new = await make("i-new-decode", "v2", "decode")
    await make("i-new-prefill", "v2", "prefill")
    await at(1.5)
    began = record.now()

    writes = {"all": 0, "lost": 0}

    def lose_some(call):
        if not any(row["table"] == "cranberryhill-streams"
                   for row in call["writes"]):
            return None
        writes["all"] += 1
        record.add("store: gets " + h.describe(call))
        if writes["all"] % 3 != 2 or not h.trouble():
            return None
        writes["lost"] += 1
        record.add("store: loses the answer; performs the write %.1f s later"
                   % LATE_S)
        return LATE_S

    store.on_transaction = lose_some
    new.first = 0.3
    streams = [h.Stream("s%d" % i, "/ruling/1", record) for i in range(STREAMS)]
    tries = [gateways[0], gateways[1], gateways[2], gateways[1]]
    for stream in streams:
        tasks.append(asyncio.ensure_future(stream.run(tries)))
    # A sound replica may fall silent for a second or so.
    await at(0.15)
    new.silent.clear()
    record.add("i-new-decode falls silent")
    await at(1.4)
    new.silent.set()
    record.add("i-new-decode goes on")
    await at(KILL_S)
    if h.trouble():
        gateways[0].signal(signal.SIGKILL)
        record.add("front-a-1 is killed")
    await asyncio.gather(*tasks)
    mixed = [s for s in streams + others if len(s.versions()) > 1]
    record.add("writes of records: %d, %d of them lost" % (
        writes["all"], writes["lost"]))
    for stream in streams:
        record.add("%s: %s, %s" % (stream.name, stream.shown(),
                                   "complete" if stream.complete else "cut"))
    record.add("streams with events of two software versions: %d" % len(mixed))
    if h.trouble() and writes["lost"] == 0:
        raise h.CannotRun("no version was recorded")
    return h.BROKEN if len(mixed) > 2 else h.HELD


h.main(FOLDER, play)
