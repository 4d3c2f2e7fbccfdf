#!/usr/bin/env python3
"""Randomized fault soak of forwarding processes: real programs on loopback, stand-ins around them, faults from outside.

Callers keep using their connections while processes are killed, paused, stopped and restarted, the store fails in
several ways for some processes or all, endpoints crash, leave and break answers off, and configurations change. The
promises are checked from what callers and endpoints see. A seed repeats the plan of faults and requests; the
operating system's timing still differs between runs. Usage: soak.py [--seeds 7,8] [--seconds 20] [--build build]
"""

import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from endpoint_standin import DRAIN_S, EVENTS, Endpoint, Runs, expected_body, signature_of
from http_text import Broken, message, read_body, read_chunk, read_head
from platform_standin import Platform, StoreFault

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"kingston-a": "kingston", "montego-a": "montego"}
PROCESSES = ["kingston-a"] * 5 + ["montego-a"] * 2
KEY = "key-of-the-bakery"
CONTACT_S = 4.0    # A process that was left alone for this long is bound by the times below.
DOWNGRADE_S = 0.25 # Of answers by an older version after one by a newer version.
CONFIG_S = 3.0     # From the store's answer until a configuration is in force.
GRACE_S = 8.0      # From the request to stop until the process is killed.
RECOVERY_S = 12.0  # From the end of the last fault until callers are served.
SLACK_S = 0.5      # For the scheduling of the machine that runs the soak.


class Violations:
    """Broken promises by kind, with the first few texts of each."""

    def __init__(self):
        self.found = collections.defaultdict(list)

    def add(self, kind, text):
        self.found[kind].append(text)


class Process:
    """One forwarding process and what was done to it."""

    def __init__(self, soak, number, zone):
        self.name, self.zone = f"entry-{number}", zone
        self.ip = f"127.{20 + os.getpid() % 200}.{soak.run}.{number + 1}"
        self.fault = StoreFault()
        self.handle = None
        self.incarnation = 0
        self.disturbed_until = 0.0
        self.seen_version, self.seen_at = 0, 0.0

    def start(self, soak):
        path = soak.directory / f"{self.name}.toml"
        path.write_text(soak.settings_of(self))
        self.incarnation += 1
        self.seen_version, self.seen_at = 0, 0.0
        with open(soak.directory / f"{self.name}.log", "ab") as log:
            self.handle = subprocess.Popen([soak.program, "--forward"], stdout=log, stderr=log, cwd=soak.directory,
                                           env={"SISKINWHARF_SETTINGS": str(path), "PATH": os.environ["PATH"]})

    def disturb(self, seconds=0.0):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def is_in_touch(self, since):
        return self.disturbed_until + CONTACT_S < since

    def end(self, number=signal.SIGKILL):
        if self.handle.poll() is None:
            self.handle.send_signal(signal.SIGCONT)
            self.handle.send_signal(number)


class Soak:
    def __init__(self, seed, run, arguments):
        self.seed, self.run, self.seconds = seed, run, arguments.seconds
        self.random = random.Random(seed)
        self.program = str((ROOT / arguments.build / "bin" / "siskinwharfd").resolve())
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="siskinwharf-soak-"))
        self.violations = Violations()
        self.platform = Platform(self.violations)
        self.runs = Runs()
        self.processes = [Process(self, number, zone) for number, zone in enumerate(PROCESSES)]
        self.endpoints = []
        self.number = 0
        self.version = 0
        self.acknowledged = {}
        self.outcomes = collections.Counter()
        self.late_outcomes = collections.Counter()
        self.refused = []
        self.non_idempotent = set()
        self.recovered_at = None
        self.store_disturbed_until = 0.0
        self.tasks = set()

    def settings_of(self, process):
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        seeds = json.dumps([f"{each.ip}:8229" for each in self.processes[:3]])
        return f"""nodeName = "{process.name}"
ip = "{process.ip}"
zone = "{process.zone}"
region = "{ZONES[process.zone]}"
portRange = [7600, 7615]
seeds = {seeds}
[zones]
{zones}
[listen]
frontend = "{process.ip}:8221"
readiness = "{process.ip}:8224"
controlPlane = "{process.ip}:8229"
[bounds]
graceS = {GRACE_S:.0f}
leaseMs = 3000
reportWindowS = 5
retrySlack = 100
[platform]
address = "127.0.0.1:{process.store_port}"
[cloud]
address = "127.0.0.1:{self.duty_port}"
duties = ["usage_report"]
"""

    def write_configuration(self):
        """Each version has a route of its own and lacks that of the version before the last one."""
        self.version += 1
        routes = [("/order/", "non_idempotent", False), ("/read/", "idempotent", False), ("/stream/", "streaming", False),
                  ("/stream/resumable/", "streaming", True), (f"/v{self.version}/", "idempotent", False)]
        listed = [{"name": prefix, "host": "a.example", "pathPrefix": prefix, "type": kind, "timeoutMs": 4000,
                   "latencyTargetMs": 1000, "maxAttempts": 2, "priority": 1, "service": "desk", "resumable": resumable}
                  for prefix, kind, resumable in routes]
        text = json.dumps({"version": self.version, "routeList": listed, "services": [{"name": "desk"}],
                           "tenants": [{"name": "bakery", "apiKeys": [KEY]}], "limits": {"idleTimeoutMs": 20000}})
        self.platform.put("op", "config", text.encode())
        self.acknowledged[self.version] = time.monotonic()

    async def add_endpoint(self):
        self.number += 1
        endpoint = Endpoint(self.platform, self.runs, self.random, self.random.choice(list(ZONES)), self.number)
        await endpoint.start()
        self.endpoints.append(endpoint)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # What callers do and see.

    async def caller(self, number):
        connection = None
        rng = random.Random(self.seed * 1000 + number)
        while time.monotonic() < self.ends_at:
            process = rng.choice(self.processes)
            path = rng.choice(["/order/", "/read/", "/stream/", "/stream/resumable/", "version"])
            if connection is None or rng.random() < 0.1:
                if connection:
                    connection[1].close()
                connection = await self.connect(process)
            if connection is None:
                await asyncio.sleep(0.1)
                continue
            if not await self.request(connection, path, f"{number}-{rng.getrandbits(48):x}"):
                connection[1].close()
                connection = None
            await asyncio.sleep(rng.uniform(0, 0.1))
        if connection:
            connection[1].close()

    async def connect(self, process):
        try:
            return *await asyncio.wait_for(asyncio.open_connection(process.ip, 8221), 1), process, process.incarnation
        except (OSError, asyncio.TimeoutError):
            return None

    async def request(self, connection, path, request_id):
        """Sends one request; returns whether the connection can be used again."""
        reader, writer, process, incarnation = connection
        version = max(self.version - self.random.choice([0, 1]), 1) if path == "version" else None
        if version is not None:
            path = f"/v{version}/"
        sent = time.monotonic()
        method = "GET" if path == "/read/" or version is not None else "POST"
        headers = {"Host": "a.example", "Siskinwharf-Attempt-Id": request_id, "Siskinwharf-Credential": KEY,
                   "Siskinwharf-Deadline-Ms": "4000"}
        if path in ("/order/", "/stream/"):
            self.non_idempotent.add(request_id)
        answer_headers = {}
        try:
            writer.write(message(f"{method} {path}{request_id} HTTP/1.1", headers))
            (_, status, _), answer_headers = await asyncio.wait_for(read_head(reader), 6)
            outcome = await asyncio.wait_for(
                self.read_answer(int(status), answer_headers, reader, path, request_id), 6)
        except (Broken, OSError, asyncio.TimeoutError):
            outcome = "broken"
        if version is not None:
            self.check_version(process, incarnation, version, outcome, sent)
        else:
            self.outcomes[outcome] += 1
            if self.recovered_at and sent > self.recovered_at:
                self.late_outcomes[outcome] += 1
        return outcome != "broken" and answer_headers.get("connection", "").lower() != "close"

    async def read_answer(self, status, headers, reader, path, request_id):
        if status == 200 and path.startswith("/stream/"):
            return await self.read_stream(headers, reader, request_id)
        body = await read_body(reader, headers)
        signature = headers.get("siskinwharf-response-signature", "")
        if status == 200:
            instance = signature.rpartition(".")[2]
            if signature != signature_of(request_id, instance) or body != expected_body(request_id, instance):
                self.violations.add("mixed", f"{request_id}: an answer that is not its own and whole")
            return "served"
        if status in (408, 421, 429, 503):
            self.refused.append(request_id)
        return str(status)

    async def read_stream(self, headers, reader, request_id):
        if not headers.get("siskinwharf-response-signature", "").startswith(request_id + "."):
            self.violations.add("mixed", f"{request_id}: a stream of another request")
        text = b""
        while chunk := await read_chunk(reader):
            text += chunk
        ids = [line[4:] for line in text.decode().split("\n") if line.startswith("id: ")]
        if ids != [str(each) for each in range(1, EVENTS + 1)]:
            self.violations.add("order", f"{request_id}: a complete stream with the events {','.join(ids)}")
        return "served"

    def check_version(self, process, incarnation, version, outcome, sent):
        """A process neither goes back to an older version nor takes longer than it may."""
        if incarnation != process.incarnation or outcome == "broken":
            return
        has_route = outcome != "404"
        if outcome == "served" and version > process.seen_version:
            process.seen_version, process.seen_at = version, time.monotonic()
        is_older = (version < process.seen_version and outcome == "served") or \
            (version == process.seen_version == self.version and not has_route)
        if is_older and sent > process.seen_at + DOWNGRADE_S + SLACK_S:
            self.violations.add("config", f"{process.name}: went back from version {process.seen_version}")
        changed = self.acknowledged.get(version if version == self.version else version + 1)
        is_bound = process.is_in_touch(changed) and process.is_in_touch(sent) and \
            self.store_disturbed_until + CONTACT_S < changed and sent > changed + CONFIG_S + SLACK_S
        if is_bound and has_route != (version == self.version) and outcome in ("served", "404"):
            self.violations.add("config", f"{process.name}: version {version} answered {outcome}, {self.version} is in "
                                          f"force for {sent - changed:.1f} s")

    # What is done to the system.

    async def faults(self):
        actions = [self.kill, self.pause, self.stop, self.kill_all, self.fail_store, self.fail_store_for_all,
                   self.forget, self.crash_endpoint, self.drain_endpoint, self.fail_endpoint, self.reconfigure,
                   self.reconfigure]
        while time.monotonic() < self.faults_end_at:
            action = self.random.choice(actions)
            print(f"  {time.monotonic() - self.began:5.1f} s {action.__name__}", flush=True)
            self.spawn(action())
            await asyncio.sleep(self.random.uniform(0.1, 2.0))

    async def kill(self):
        process = self.random.choice(self.processes)
        process.end()
        process.handle.wait()
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        self.restart(process)

    def restart(self, process):
        if process.handle.poll() is not None:
            process.start(self)
        process.disturb(1.0)

    async def kill_all(self):
        for process in self.processes:
            process.end()
        for process in self.processes:
            process.handle.wait()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        for process in self.processes:
            self.restart(process)

    async def pause(self):
        process = self.random.choice(self.processes)
        seconds = self.random.uniform(0.5, 6.0)
        process.disturb(seconds + 1.0)
        handle = process.handle
        handle.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if handle.poll() is None:
            handle.send_signal(signal.SIGCONT)

    async def stop(self):
        process = self.random.choice(self.processes)
        handle = process.handle
        process.disturb(GRACE_S + 1.0)
        process.end(signal.SIGTERM)
        for _ in range(int(GRACE_S * 20)):
            if handle.poll() is not None:
                break
            await asyncio.sleep(0.05)
        if handle.poll() is None:
            handle.kill()
            handle.wait()
        self.restart(process)

    async def fail_store(self, processes=None):
        chosen = processes or self.random.sample(self.processes, self.random.randint(1, 3))
        kind = self.random.choice(["busy", "reset", "silent", "slow", "lost"])
        seconds = self.random.uniform(1.0, 5.0)
        for process in chosen:
            process.fault.kind = kind
            process.disturb(seconds)
        if len(chosen) == len(self.processes):
            self.store_disturbed_until = max(self.store_disturbed_until, time.monotonic() + seconds)
        await asyncio.sleep(seconds)
        for process in chosen:
            process.fault.kind = "none"

    async def fail_store_for_all(self):
        await self.fail_store(self.processes)

    async def forget(self):
        self.platform.forget_history()

    async def crash_endpoint(self):
        endpoint = self.random.choice(self.endpoints)
        if endpoint.leaving_since is None:
            self.endpoints.remove(endpoint)
            endpoint.crash()
            await self.add_endpoint()

    async def drain_endpoint(self):
        endpoint = self.random.choice(self.endpoints)
        if endpoint.leaving_since is None:
            self.endpoints.remove(endpoint)
            await self.add_endpoint()
            await endpoint.leave()

    async def fail_endpoint(self):
        endpoint = self.random.choice(self.endpoints)
        endpoint.fault = self.random.choice(["shed", "lost", "cut", "slow"])
        await asyncio.sleep(self.random.uniform(1.0, 4.0))
        endpoint.fault = "none"

    async def reconfigure(self):
        self.write_configuration()

    # A run.

    def check_end(self):
        for request_id, count in self.runs.counts.items():
            if count > 1 and request_id in self.non_idempotent:
                self.violations.add("twice", f"{request_id} ran {count} times")
        for request_id in self.refused:
            if self.runs.count(request_id):
                self.violations.add("refused", f"{request_id} was called not run and ran")
        disturbed = max(process.disturbed_until for process in self.processes)
        for arrived, leaving_since, request_id in self.runs.arrivals:
            is_late = leaving_since is not None and arrived > leaving_since + DRAIN_S + SLACK_S
            if is_late and leaving_since > max(disturbed, self.store_disturbed_until) + CONTACT_S:
                self.violations.add("drain", f"{request_id} reached an endpoint {arrived - leaving_since:.1f} s after its notice")
        served, total = self.late_outcomes["served"], sum(self.late_outcomes.values())
        if total < 20 or served < 0.9 * total:
            self.violations.add("recovery", f"{served} of {total} served after all faults: {dict(self.late_outcomes)}")

    async def play(self):
        for process in self.processes:
            process.store_port = await self.platform.listen_store(process.fault)
        self.duty_port = await self.platform.listen_duties()
        self.write_configuration()
        for _ in range(4):
            await self.add_endpoint()
        for process in self.processes:
            process.start(self)
        await asyncio.sleep(2)
        self.began = time.monotonic()
        self.faults_end_at = self.began + self.seconds
        self.ends_at = self.faults_end_at + GRACE_S + RECOVERY_S + 4
        callers = [asyncio.ensure_future(self.caller(number)) for number in range(12)]
        await self.faults()
        while self.tasks:
            await asyncio.sleep(0.1)
        self.recovered_at = time.monotonic() + RECOVERY_S
        await asyncio.sleep(RECOVERY_S / 2)
        self.write_configuration()
        await self.drain_endpoint()
        self.ends_at = min(self.ends_at, max(time.monotonic(), self.recovered_at) + 4)
        await asyncio.gather(*callers)
        self.check_end()

    def clean_up(self):
        for process in self.processes:
            if process.handle and process.handle.poll() is None:
                process.end()
                process.handle.wait()
        for server in self.platform.servers:
            server.close()
        if not self.violations.found:
            shutil.rmtree(self.directory)


def play(seed, run, arguments):
    """Plays one seed and returns whether all promises were kept."""
    print(f"seed {seed}", flush=True)

    async def whole():
        soak = Soak(seed, run, arguments)
        try:
            await soak.play()
        finally:
            soak.clean_up()
        return soak

    soak = asyncio.run(whole())
    print(f"seed {seed}: {dict(soak.outcomes)}, {len(soak.runs.counts)} run, {soak.version} configurations")
    for kind, texts in soak.violations.found.items():
        print(f"seed {seed}: BROKEN {kind}, {len(texts)} times: {'; '.join(texts[:3])} (logs in {soak.directory})")
    return not soak.violations.found


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seeds", default="1", help="comma-separated, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20, help="time in which faults begin")
    parser.add_argument("--build", default="build")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last) + 1) if last else [int(each) for each in arguments.seeds.split(",")]
    failed = [seed for run, seed in enumerate(seeds) if not play(seed, run % 250, arguments)]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed" + (f": {failed}" if failed else ""))
    sys.exit(bool(failed))


main()
