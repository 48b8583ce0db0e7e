"""A model replica of this case, in a process of its own so that nothing else
waits for it. Reads commands from its input, writes rows and what it saw
as lines of JSON."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import harness_3 as h  # noqa: E402

SLOTS = 128


def say(**what):
    sys.stdout.write(json.dumps(what) + "\n")
    sys.stdout.flush()


class Rows:
    """Sends rows to the store of the other process."""

    def put_json(self, table, key, value):
        say(table=table, key=key, value=value)


class Saying:
    def add(self, text):
        pass


class Engine(h.Replica):
    """Counts the connections that it gets."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.connections = {}

    async def _serve(self, reader, writer):
        tenth = int(time.monotonic() * 10)
        self.connections[tenth] = self.connections.get(tenth, 0) + 1
        await super()._serve(reader, writer)


async def play(name, stage, zone):
    engine = Engine("127.0.0.2", name, Rows(), Saying(), stage=stage, zone=zone,
                    slots=SLOTS, events=6, gap=0.03)
    await engine.start()
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while True:
        word = (await reader.readline()).decode().strip()
        if word == "crash":
            engine.beat_task.cancel()
            engine.stop()
        elif word == "return":
            engine.born = int(time.time() * 1000)
            await engine.start()
        elif word == "silent":
            engine.silent.clear()
        elif word == "on":
            engine.silent.set()
        else:
            break
    counts = sorted(engine.connections.values())
    say(engine=engine.name, connections=sum(counts),
        most_in_a_tenth=counts[-1] if counts else 0)


asyncio.run(play(*sys.argv[1:]))
