"""Starts siskinwharfd as separate processes beside stand-ins on loopback, for the scripts of this review.

The store and the duties are the stand-in of Tests/soak; replicas are small servers of each script."""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Tests" / "soak"))

from answers import Violations  # noqa: E402
from http_text import Broken, message, read_body, read_head  # noqa: E402
from platform_standin import Platform, StoreFault  # noqa: E402

PROGRAM = ROOT / "target" / "bin" / "siskinwharfd"
ZONES = {"kingston-a": "kingston", "montego-a": "montego", "ocho-a": "ocho"}
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the small deployments.
CONTACT_S, APPLY_S, DRAIN_S, GRACE_S = 4.0, 3.0, 3.0, 8.0


class Process:
    """One entry process; `start` may be called again after its end."""

    def __init__(self, owner, number, zone, ip):
        self.owner, self.zone, self.ip = owner, zone, ip
        self.name = f"frontend-{zone}-{number}"
        self.fault = StoreFault()
        self.store_port = None
        self.handle = None
        self.starts = 0

    def start(self):
        path = self.owner.directory / f"{self.name}.toml"
        path.write_text(self.owner.settings(self))
        self.starts += 1
        with open(self.owner.directory / f"{self.name}.{self.starts}.log", "wb") as log:
            self.handle = subprocess.Popen([str(PROGRAM), "--forward"], stdout=log, stderr=log, cwd=ROOT,
                                           env={"SISKINWHARF_SETTINGS": str(path), "PATH": os.environ["PATH"]})

    def signal(self, number):
        if self.handle and self.handle.poll() is None:
            self.handle.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.handle:
            self.handle.wait()

    @property
    def callers(self):
        return (self.ip, 8221)


class Deployment:
    def __init__(self, folder, processes=3, bounds=None, zones=None):
        self.record_file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="siskinwharf-review-"))
        self.began = time.monotonic()
        self.platform = Platform(Violations())
        self.bounds = {"contactMs": 4000, "drainMs": 3000, "graceS": 8, "configApplyMs": 3000, "retryRatio": 0.2,
                       "retryWindowS": 10, "retrySlack": 58, "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 140000,
                       "leaseMs": 3000, "reportWindowS": 5, "usageDelayS": 10, **(bounds or {})}
        names = zones or list(ZONES)
        net = self._free_net(processes)
        self.processes = [Process(self, number, names[number % len(names)], f"{net}.{number + 1}")
                          for number in range(processes)]
        self.duty_port = None

    @staticmethod
    def _free_net(processes):
        """The first three numbers of loopback addresses whose ports are free."""
        while True:
            net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for number in range(processes):
                    for port in (8221, 8224, 7600, 7601, 7602):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{number + 1}", port))
                return net
            except OSError:
                continue

    def note(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def settings(self, process):
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        bounds = "\n".join(f"{name} = {value}" for name, value in self.bounds.items())
        return f"""nodeName = "{process.name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "{process.ip}"
zone = "{process.zone}"
region = "{ZONES[process.zone]}"
portRange = [7600, 7615]
seeds = []
bootstrap = {"true" if process.starts == 0 else "false"}
[zones]
{zones}
[listen]
frontend = "{process.ip}:8221"
readiness = "{process.ip}:8224"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
{bounds}
[platform]
address = "127.0.0.1:{process.store_port}"
form = "table"
writesPerS = 400
readsPerS = 2000
[cloud]
address = "127.0.0.1:{self.duty_port}"
duties = ["usage_report"]
dutyRateS = 50.0
"""

    def configure(self, version, routes, services, tenants=None, limits=None):
        content = {"version": version, "routeList": routes, "services": services,
                   "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                              "idleTimeoutMs": 15000, **(limits or {})}}
        if tenants is not None:
            content["tenants"] = tenants
        self.platform.put("op", "config", json.dumps(content).encode())
        self.note(f"the store acknowledges configuration {version}")

    async def start(self, rewrites=None):
        """`rewrites` says for a process what it reads in place of a row's data."""
        if not PROGRAM.exists():
            raise FileNotFoundError(PROGRAM)
        self.duty_port = await self.platform.listen_duties()
        for process in self.processes:
            process.store_port = await self.platform.listen_store(process.fault, (rewrites or {}).get(process))
        for process in self.processes:
            process.start()

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        for process in self.processes:
            while True:
                try:
                    answer = await call((process.ip, 8224), "GET", "/readyz", {}, timeout=1)
                    if answer.status == 200:
                        break
                except (OSError, Broken, asyncio.TimeoutError):
                    pass
                if time.monotonic() > end:
                    raise TimeoutError(f"{process.name} is not ready")
                await asyncio.sleep(0.1)
        # The processes hear of each other within a few rounds.
        await asyncio.sleep(3)

    def end(self, keep=False):
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.kill()
        for server in self.platform.servers:
            server.close()
        self.record_file.close()
        if keep:
            print(f"logs: {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def request_bytes(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader):
    (_, status, *_), headers = await read_head(reader)
    return Answer(int(status), headers, await read_body(reader, headers))


async def call(address, method, target, headers, body=b"", timeout=10.0):
    """One request on a new connection. Raises Broken, OSError or asyncio.TimeoutError if there is no whole answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), timeout)
    try:
        writer.write(request_bytes(method, target, headers, body))
        return await asyncio.wait_for(read_answer(reader), timeout)
    finally:
        writer.close()


class Replica:
    """A sound replica: one request at a time on a connection, echoes the id, signs what it ran.

    `run(replica, request)` is a coroutine that returns the body, or None to break off."""

    def __init__(self, deployment, identifier, service, zone, run, slots=6):
        self.deployment, self.id, self.service, self.zone, self.run = deployment, identifier, service, zone, run
        self.slots, self.server, self.writers, self.sequence = slots, None, set(), 0
        self.port, self.born = 0, 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.register()

    def register(self, state="ready"):
        self.sequence += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}
        self.deployment.platform.put("servers", self.id, json.dumps(entry).encode())

    def crash(self):
        """The process of the replica ends: its port refuses connections, and its connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                (method, target, _), headers = await read_head(reader)
                body = await read_body(reader, headers)
                common = {"Siskinwharf-Attempt-Id": headers.get("siskinwharf-attempt-id", "")}
                if headers.get("siskinwharf-expected-instance", self.id) != self.id:
                    writer.write(message("HTTP/1.1 421 Misdirected Request", {**common, "Siskinwharf-Not-Executed": "1"}))
                    continue
                request = Request(method, target, headers, body, reader, writer)
                result = await self.run(self, request)
                if result is None:
                    writer.transport.abort()
                    return
                if result is True:
                    continue
                signed = {**common, "Siskinwharf-Response-Signature": f"{request.id}.{self.id}"}
                writer.write(message("HTTP/1.1 200 OK", signed, result))
                await writer.drain()
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Request:
    def __init__(self, method, target, headers, body, reader, writer):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.reader, self.writer = reader, writer

    @property
    def id(self):
        return self.headers.get("siskinwharf-attempt-id", "")


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, folder):
    """Runs the coroutine `play(folder)` and exits with what it returns."""
    try:
        result = asyncio.run(asyncio.wait_for(play(folder), 115))
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}", file=sys.stderr)
        result = NOT_RUN
    sys.exit(result)
