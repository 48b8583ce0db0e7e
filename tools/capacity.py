#!/usr/bin/env python3
"""Measures how one daemon's processor time, memory and traffic grow.

Runs daemons against stand-ins on loopback and prints one line per size:

  tools/capacity.py replicas 10 100 350 1000
  tools/capacity.py customers 100 1000 4600
  tools/capacity.py peers 4 37 100
  tools/capacity.py calls 50

One fake_engine listens on all loopback addresses and stands for all replicas,
each of which has an address of its own. Everything that was started is ended
by its process id.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

BIN = "build/programs"
STANDINS = "build/standins"
PLATFORM = "127.0.60.1:7000"
WARM_UP_S = 8
MEASURE_S = 20


class Processes:
    """Starts programs and ends them by process id."""

    def __init__(self):
        self.started = []
        self.directory = tempfile.mkdtemp()

    def start(self, name, *command):
        log = open(os.path.join(self.directory, name + ".log"), "w")
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self.started.append(process)
        return process

    def stop(self):
        for process in self.started:
            process.send_signal(signal.SIGKILL)
        for process in self.started:
            process.wait()


def get(url):
    with urllib.request.urlopen(url, timeout=5) as answer:
        return answer.read().decode()


def post(url, body):
    request = urllib.request.Request(url, json.dumps(body).encode())
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.loads(answer.read())


def usage(pid):
    """Returns CPU seconds, resident bytes, bytes read and bytes written."""
    # The run time of the scheduler is exact; utime and stime count whole ticks
    # and charge too much to a process that wakes up with them.
    cpu = 0.0
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/schedstat") as file:
            cpu += int(file.read().split()[0]) / 1e9
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
    io = {}
    with open(f"/proc/{pid}/io") as file:
        for line in file:
            key, value = line.split(":")
            io[key] = int(value)
    return cpu, resident, io["rchar"], io["wchar"]


def replica_address(index):
    return f"127.1.{index // 250}.{index % 250 + 1}:9700"


def document(replicas, customers, zones=("a",)):
    engines = [
        {
            "id": f"engine-{i}",
            "address": replica_address(i),
            "availability_zone": zones[i % len(zones)],
            "model": "parts",
            "checks_fencing": True,
        }
        for i in range(replicas)
    ]
    return {
        "environment": "size",
        "models": [{"name": "parts", "versions": ["1"], "adapters": []}],
        "roles": {
            "prefill": {"min_share": 0, "max_share": 0},
            "decode": {"min_share": 0, "max_share": 0},
            "mixed": {"min_share": 1, "max_share": 1},
        },
        "engines": engines,
        "customers": [
            {
                "name": f"customer-{i}",
                "weight": 1,
                "requests_per_s": 10,
                "tokens_per_s": 10000,
            }
            for i in range(customers)
        ],
        "services": [
            {
                "path_prefix": "/orders",
                "backend_servers": [
                    {
                        "id": "desk",
                        "address": "127.0.60.21:9100",
                        "availability_zone": "a",
                    }
                ],
                "methods": [
                    {
                        "name": "place",
                        "http_method": "POST",
                        "path": "/place",
                        "idempotent": False,
                    }
                ],
            }
        ],
        "limits": {"body_bytes": 1048576, "prompt_tokens": 65536},
    }


def entry_address(index):
    return f"127.2.{index // 250}.{index % 250 + 1}"


def write_settings(directory, index, count, zones):
    ip = entry_address(index)
    peers = [
        {
            "id": f"entry-{i}",
            "availability_zone": zones[i % len(zones)],
            "address": f"{entry_address(i)}:8082",
        }
        for i in range(count)
        if i != index
    ]
    settings = {
        "instance_id": f"entry-{index}",
        "availability_zone": zones[index % len(zones)],
        "environment": "size",
        "http1_address": f"{ip}:8080",
        "http2_address": f"{ip}:8081",
        "peer_address": f"{ip}:8082",
        "platform_address": PLATFORM,
        "peers": peers,
    }
    path = os.path.join(directory, f"entry-{index}.json")
    with open(path, "w") as file:
        json.dump(settings, file)
    return path


def ctl(*arguments):
    return subprocess.run(
        [
            f"{BIN}/cranberryhillctl",
            f"--platform={PLATFORM}",
            "--environment=size",
            "--author=capacity",
            *arguments,
        ],
        check=True,
        capture_output=True,
        text=True,
    ).stdout


def publish(processes, doc):
    path = os.path.join(processes.directory, "document.json")
    with open(path, "w") as file:
        json.dump(doc, file)
    ctl("apply", path)
    ctl("promote")


def generation_of(index):
    try:
        status = json.loads(get(f"http://{entry_address(index)}:8080/operator/status"))
        return status.get("generation", 0)
    except OSError:
        return 0


def wait_for_generation(count, generation, limit_s=60):
    """Returns the seconds until all daemons have the generation in force."""
    begin = time.monotonic()
    missing = set(range(count))
    while missing and time.monotonic() - begin < limit_s:
        missing = {i for i in missing if generation_of(i) < generation}
        time.sleep(0.02)
    if missing:
        sys.exit(f"{len(missing)} daemons do not have generation {generation}")
    return time.monotonic() - begin


def start_system(processes, daemons, zones):
    processes.start("platform", f"{STANDINS}/fake_platform", f"--listen={PLATFORM}")
    processes.start(
        "engine",
        f"{STANDINS}/fake_engine",
        "--listen=0.0.0.0:9700",
        "--model=parts:1",
        "--role=mixed",
    )
    time.sleep(0.5)
    entries = []
    for i in range(daemons):
        path = write_settings(processes.directory, i, daemons, zones)
        entries.append(
            processes.start(f"entry-{i}", f"{BIN}/cranberryhilld", f"--settings={path}")
        )
    time.sleep(1)
    return entries


def measure(pid, seconds=MEASURE_S):
    before = usage(pid)
    time.sleep(seconds)
    after = usage(pid)
    return {
        "cpu_percent": 100 * (after[0] - before[0]) / seconds,
        "resident_mb": after[1] / 1e6,
        "read_bytes_per_s": (after[2] - before[2]) / seconds,
        "written_bytes_per_s": (after[3] - before[3]) / seconds,
    }


def report(kind, size, values):
    texts = [f"{key}={value:.2f}" for key, value in values.items()]
    print(f"{kind}={size} " + " ".join(texts), flush=True)


def run_single(kind, size):
    replicas = size if kind == "replicas" else 12
    customers = size if kind == "customers" else 10
    processes = Processes()
    try:
        (entry,) = start_system(processes, 1, ("a",))
        publish(processes, document(replicas, customers))
        seconds = wait_for_generation(1, 1)
        time.sleep(WARM_UP_S)
        values = measure(entry.pid)
        values["in_force_s"] = seconds
        report(kind, size, values)
    finally:
        processes.stop()


def run_peers(size):
    zones = [f"z{i}" for i in range(min(11, max(1, size // 4)))]
    processes = Processes()
    try:
        entries = start_system(processes, size, zones)
        publish(processes, document(22, 10, zones))
        first = wait_for_generation(size, 1)
        time.sleep(WARM_UP_S)
        values = measure(entries[0].pid)
        begin = time.monotonic()
        publish(processes, document(22, 11, zones))
        written = time.monotonic() - begin
        values["first_in_force_s"] = first
        values["change_in_force_s"] = wait_for_generation(size, 2)
        values["ctl_s"] = written
        report("peers", size, values)
    finally:
        processes.stop()


def run_calls(count):
    processes = Processes()
    try:
        (entry,) = start_system(processes, 1, ("a",))
        processes.start(
            "desk", f"{STANDINS}/fake_service", "--ip=127.0.60.21", "--port=9100"
        )
        publish(processes, document(12, 10))
        wait_for_generation(1, 1)
        time.sleep(1)
        before = json.loads(get(f"http://{PLATFORM}/counts"))
        cpu = usage(entry.pid)[0]
        begin = time.monotonic()
        for i in range(count):
            request = urllib.request.Request(
                f"http://{entry_address(0)}:8080/orders/place",
                b"{}",
                {"x-customer": "customer-1", "Idempotency-Key": f"key-{i}"},
            )
            urllib.request.urlopen(request, timeout=10).read()
        seconds = time.monotonic() - begin
        after = json.loads(get(f"http://{PLATFORM}/counts"))

        def per_call(name):
            return (after.get(name, 0) - before.get(name, 0)) / count

        report(
            "calls",
            count,
            {
                "ms_per_call": 1000 * seconds / count,
                "cpu_ms_per_call": 1000 * (usage(entry.pid)[0] - cpu) / count,
                "commits_per_call": per_call("POST /v1/commit"),
                "reads_per_call": per_call("POST /v1/read"),
            },
        )
    finally:
        processes.stop()


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    kind = sys.argv[1]
    for size in map(int, sys.argv[2:]):
        if kind == "peers":
            run_peers(size)
        elif kind == "calls":
            run_calls(size)
        else:
            run_single(kind, size)


if __name__ == "__main__":
    main()
