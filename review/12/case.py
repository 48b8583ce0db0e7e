"""All decode engines of a service are down; prefill engines can be reached."""

import asyncio
import json
import os
import resource
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness_3 as h  # noqa: E402

DECODE = 6
PREFILL = 24
STAGES = (["decode@" + "abc"[i % 3] for i in range(DECODE)] +
          ["prefill@" + "abc"[i % 3] for i in range(PREFILL)])
SILENT = "i-prefill-%d" % DECODE
DOWN = ["i-decode-%d" % i for i in range(DECODE)]
DOWN_S = 2.0
LEAVING_S = 4.0
LEAVE_AFTER_S = 0.075  # Half of the booking's target latency.
SILENT_S = 1.0
A_FEW = 5
FDS = 4200  # As the site's machines have.


class Booking(h.Replica):
    """A replica of the service without a model."""

    async def handle(self, request, reader, writer):
        target = request.first.split(" ")[1]
        if target != "/health":
            self.seen.append((request.get("X-Request-Attempt-Id"),
                              self.record.now()))
            await asyncio.sleep(0.03)
        headers = {"X-Request-Attempt-Id": request.get("X-Request-Attempt-Id"),
                   "X-Replica-Id": self.name, "X-Replica-Load": self.load(),
                   "X-Response-Seal": "seal." + os.urandom(4).hex()}
        return await self.reply(writer, 200, headers, b"booked")


class Measure:
    """What a gateway's process takes."""

    def __init__(self, gateway, record):
        self.gateway = gateway
        self.record = record
        self.most_mb = 0
        self.most_files = 0
        self.cpu = 0.0

    def take(self):
        folder = "/proc/%d" % self.gateway.process.pid
        try:
            with open(folder + "/status") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        mb = int(line.split()[1]) / 1024
            files = len(os.listdir(folder + "/fd"))
            with open(folder + "/stat") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            cpu = (int(fields[11]) + int(fields[12])) / 100.0
        except (OSError, UnboundLocalError):
            return
        self.most_mb = max(self.most_mb, mb)
        self.most_files = max(self.most_files, files)
        self.record.add("%s: %.0f MB, %d open files, %.2f s of processor time"
                        % (self.gateway.name, mb, files, cpu - self.cpu))
        self.cpu = cpu


class Engines:
    """The processes of the model replicas."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.children = {}
        self.listening = []

    async def start(self):
        for i, stage in enumerate(STAGES):
            stage, zone = stage.split("@")
            name = "i-%s-%d" % (stage, i)
            child = subprocess.Popen(
                [sys.executable, os.path.join(FOLDER, "engine.py"), name, stage,
                 zone], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
            self.children[name] = child
            reader = asyncio.StreamReader(limit=1 << 20)
            await asyncio.get_running_loop().connect_read_pipe(
                lambda r=reader: asyncio.StreamReaderProtocol(r), child.stdout)
            self.listening.append(asyncio.ensure_future(self._listen(reader)))

    async def _listen(self, reader):
        while True:
            line = await reader.readline()
            if not line:
                return
            said = json.loads(line)
            if "table" in said:
                self.store.put_json(said["table"], said["key"], said["value"])
            else:
                self.record.add("engine: " + line.decode().strip())

    def tell(self, word, *names):
        self.record.add("engines: %s %s" % (word, " ".join(names)))
        for name in names:
            self.children[name].stdin.write((word + "\n").encode())
            self.children[name].stdin.flush()

    async def end(self):
        self.tell("end", *self.children)
        await asyncio.wait_for(asyncio.gather(*self.listening), 10)

    def stop(self):
        for child in self.children.values():
            child.kill()
            child.wait()


async def play(case):
    record = case.record
    store = await case.start_store()
    store.put_json("op", "config", h.configuration(
        7, [h.route("ruling", "/ruling/", "lm"),
            h.route("book", "/book/", "booking", kind="idempotent",
                    **{"timeout-ms": 1200, "target-latency-ms": 150})],
        [h.engine_service("lm", 128), h.plain_service("booking")]))
    bookings = [await case.add(Booking("127.0.0.3", "i-book-" + z, store, record,
                                       service="booking", stage="", zone=z,
                                       slots=60)) for z in "abc"]
    engines = Engines(store, record)
    case.servers.append(engines)
    await engines.start()
    tell = engines.tell
    gateways = case.make_gateways(3, store, ["a", "b", "c"])
    # The site's machines have `fds = 4100`.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (FDS, hard))
    for gateway in gateways:
        gateway.start()
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    for gateway in gateways:
        await gateway.await_ready()
    await asyncio.sleep(15)
    measures = [Measure(g, record) for g in gateways]
    began = record.now()
    at = lambda s: asyncio.sleep(max(0, began + s - record.now()))
    outcomes = []
    tasks = []
    running = [True]

    left = {}
    gone = []

    async def plain(gateway, i):
        sent = record.now()
        name = "b%d-%s" % (i, os.urandom(4).hex())
        leaves = 4.1 < sent - began < 4.1 + LEAVING_S and i % 10 < 3
        try:
            answer = await h.call(gateway.ip, gateway.ports["front"], "GET",
                                  "/book/1", {
                "X-Request-Attempt-Id": name,
                "X-Deadline-Remaining-Ms": "2500"}, b"", LEAVE_AFTER_S if leaves else 3)
            what = str(answer.status) if answer.complete else answer.error
        except (OSError, asyncio.TimeoutError) as error:
            what = "no connection"
        if leaves and what.startswith("no whole"):
            left[name] = record.now()
            record.add("%s leaves %s" % (name, gateway.name))
            return
        outcomes.append((sent, record.now() - sent, what, gateway.name))
        record.add("booking at %s: %s after %.3f s" % (
            gateway.name, what, record.now() - sent))

    async def traffic():
        i = 0
        while running[0]:
            for gateway in gateways:
                i += 1
                tasks.append(asyncio.ensure_future(plain(gateway, i)))
                if i % 8 == 0:
                    tasks.append(asyncio.ensure_future(h.Stream(
                        "s%d" % i, "/ruling/1", record, budget=5.0,
                        tokens="3720,12").run([gateway])))
            await asyncio.sleep(0.0125)

    async def measure():
        while running[0]:
            for m in measures:
                m.take()
            await asyncio.sleep(0.25)

    tasks.append(asyncio.ensure_future(traffic()))
    tasks.append(asyncio.ensure_future(measure()))
    await at(4)
    tell("silent", SILENT)
    await at(4.1)
    if h.trouble():
        tell("crash", *DOWN)
    await at(4 + SILENT_S)
    tell("on", SILENT)
    await at(4.1 + DOWN_S)
    if h.trouble():
        tell("return", *DOWN)
    await at(10)
    running[0] = False
    await asyncio.gather(*tasks)
    await engines.end()
    for m in measures:
        record.add("%s: at most %.0f MB and %d open files" % (
            m.gateway.name, m.most_mb, m.most_files))
    for booking in bookings:
        for name, at_s in booking.seen:
            if name in left and at_s > left[name]:
                late = at_s - left[name]
                gone.append(late)
                record.add("%s reached %s %.3f s after its requester had left" % (
                    name, booking.name, late))
    late = [o for o in outcomes if o[1] > 1.7]
    bad = [o for o in outcomes if o[2] != "200"]
    record.add("bookings: %d, without success %d, later than 1.7 s %d" % (
        len(outcomes), len(bad), len(late)))
    too_late = [late_s for late_s in gone if late_s > 0.5]
    record.add("requesters that left: %d; their requests that reached a replica "
               "over half a second later: %d" % (len(left), len(too_late)))
    return h.BROKEN if len(too_late) > A_FEW else h.HELD


h.main(FOLDER, play)
