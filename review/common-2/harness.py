"""Stand-ins and processes for the scripts of the second review: the platform's store and its duty calls, replicas of a
plain service, clients, and the project's program under the command of the deploy file. Loopback addresses and the real
clock only. Needs nothing but the standard library of Python."""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = REPOSITORY / "target" / "bin" / "siskinwharfd"
ZONES = {"north-a": "north", "south-a": "south", "west-a": "west"}
CONTACT_S = 4.0
LEASE_S = 3.0
KEY = "key-of-the-only-tenant"


class Broken(Exception):
    """The other side closed the connection or sent no HTTP."""


class CannotRun(Exception):
    """The case says nothing, because what it needs did not come about."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line, split, and the headers with names in lower case."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Broken(str(error)) from error
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def read_body(reader, headers):
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += part[:-2]
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise Broken(str(error)) from error


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Accepts connections and answers their requests one after another with `handle`, which returns the bytes of the
    answer, or nothing if the connection is to end without one."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, ip, port)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                (method, target, _), headers = await read_head(reader)
                body = await read_body(reader, headers)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Ends as a process that is killed: its connections are reset and new ones refused."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()


class Store:
    """The platform's store: rows in tables, one history, transactions under conditions."""

    def __init__(self):
        self.rows, self.history, self.version = {}, [], 0
        self.changed = asyncio.Event()
        self.server = Server(self._handle)
        self.port = None

    async def start(self):
        self.port = await self.server.listen()

    def put(self, table, key, data):
        self.version += 1
        self.rows[table, key] = (data, self.version)
        self._note(table, key)

    def remove(self, table, key):
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self._note(table, key)

    def _note(self, table, key):
        self.history.append((self.version, self._row(table, key)))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _row(self, table, key):
        row = {"table": table, "part": "", "key": key}
        if (table, key) not in self.rows:
            return {**row, "deleted": True, "rowVersion": self.version}
        data, version = self.rows[table, key]
        return {**row, "data": base64.b64encode(data).decode(), "rowVersion": version}

    async def _handle(self, method, target, _, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/rows-get":
            status, answer = 200, self._get(query)
        elif path == "/rows-feed":
            status, answer = 200, await self._feed(query)
        elif path == "/rows-tx" and method == "POST":
            status, answer = self._transact(json.loads(body))
        else:
            status, answer = 404, {}
        answer = {"rowVersion": self.version, "nowMs": int(time.monotonic() * 1000), **answer}
        return message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, json.dumps(answer).encode())

    def _get(self, query):
        low, high = query.get("from", "").encode(), query.get("target", "").encode()
        keys = sorted(key for table, key in self.rows if table == query["table"] and key.encode() >= low
                      and (not high or key.encode() < high))
        size = min(int(query.get("pageSize", "500")), 500)
        return {"rows": [self._row(query["table"], key) for key in keys[:size]], "hasMore": len(keys) > size}

    async def _feed(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            rows = [row for version, row in self.history if version > after and row["table"] == query["table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, "rowVersion": self.version}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        for wanted in body["expectedRevision"]:
            _, version = self.rows.get((wanted["table"], wanted["key"]), (None, 0))
            if version != wanted["rowVersion"]:
                return 412, {"rows": [self._row(each["table"], each["key"]) for each in body["expectedRevision"]]}
        for row in body["write"]:
            self.put(row["table"], row["key"], base64.b64decode(row["data"]))
        for row in body["remove"]:
            self.remove(row["table"], row["key"])
        return 200, {}


class Cloud:
    """Takes the calls that are a duty of one process at a time. Does not check the fence."""

    def __init__(self, record):
        self.record = record
        self.calls = [] # Of (time, holder, token, path, body).
        self.server = Server(self._handle)
        self.port = None
        self.on_call = None

    async def start(self):
        self.port = await self.server.listen()

    async def _handle(self, _, target, headers, body):
        holder, token = headers["siskinwharf-duty-holder"], int(headers["siskinwharf-fencing-token"])
        self.calls.append((time.monotonic(), holder, token, target, json.loads(body)))
        self.record.add("duty", target, "holder", holder, "token", token, body.decode())
        if self.on_call:
            self.on_call(self.calls[-1])
        return message("HTTP/1.1 200 OK", {})


class Node:
    """A process of the system on an address of its own, over its restarts."""

    def __init__(self, deployment, number, zone):
        self.deployment, self.name, self.zone = deployment, f"frontend-{zone}-{number}", zone
        self.ip = f"127.{deployment.net[0]}.{deployment.net[1]}.{number}"
        self.handle = None
        self.starts = 0

    def start(self, is_first=False):
        self.starts += 1
        folder = self.deployment.folder
        path = folder / f"{self.name}.toml"
        path.write_text(self.deployment.settings_of(self, is_first), encoding="utf-8")
        with open(folder / f"{self.name}.{self.starts}.log", "wb") as log:
            self.handle = subprocess.Popen([PROGRAM, "--forward"], cwd=REPOSITORY, stdout=log, stderr=log,
                                           env={"SISKINWHARF_SETTINGS": str(path), "PATH": os.environ["PATH"]})
        self.deployment.record.add("start", self.name, self.ip)

    def signal(self, number):
        if self.handle and self.handle.poll() is None:
            self.deployment.record.add("signal", signal.Signals(number).name, self.name)
            self.handle.send_signal(number)

    def end(self):
        if self.handle and self.handle.poll() is None:
            self.handle.kill()
        if self.handle:
            self.handle.wait()


class Deployment:
    """Processes in three zones, the platform, and a service with its replicas."""

    def __init__(self, record, nodes, zones=tuple(ZONES)):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="siskinwharf-review-"))
        self.net = (60 + os.getpid() % 150, 1 + os.getpid() // 150 % 250)
        self.store, self.cloud = Store(), Cloud(record)
        self.nodes = [Node(self, number + 1, zones[number % len(zones)]) for number in range(nodes)]
        self.replicas = []

    def settings_of(self, node, is_first):
        seeds = ", ".join(f'"{each.ip}:8229"' for each in self.nodes[:3])
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        return f"""nodeName = "{node.name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "{node.ip}"
zone = "{node.zone}"
region = "{ZONES[node.zone]}"
portRange = [7600, 7615]
seeds = [{seeds}]
bootstrap = {"true" if is_first else "false"}
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"]
[zones]
{zones}
[listen]
frontend = "{node.ip}:8221"
readiness = "{node.ip}:8224"
controlPlane = "{node.ip}:8229"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 58
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 140000
fencingEnforced = false
leaseMs = 3000
thawMs = 300
reportWindowS = 5
usageDelayS = 10
recoveryS = 12
[platform]
address = "127.0.0.1:{self.store.port}"
form = "table"
writesPerS = 400
readsPerS = 2000
[cloud]
address = "127.0.0.1:{self.cloud.port}"
ratePerS = 50.0
duties = ["usage_report", "autoscale"]
dutyRateS = 50.0
"""

    async def start(self, routes, replicas=()):
        """Writes the configuration and the replicas, starts all processes and waits until they are ready."""
        await self.store.start()
        await self.cloud.start()
        for replica in replicas:
            self.replicas.append(replica)
            await replica.start()
        configuration = {
            "version": 1, "routeList": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConns": 310, "protocol": "h1", "tls": False}
                         for name in sorted({each["service"] for each in routes})],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "cart", "apiKeys": [KEY], "priority": 1}]}
        self.store.put("op", "config", json.dumps(configuration).encode())
        for node in self.nodes:
            node.start(is_first=True)
        end = time.monotonic() + 15
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > end:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.add("all processes are ready")

    @staticmethod
    async def is_ready(node):
        try:
            return (await call(node.ip, 8224, "GET", "/readyz", {}, timeout=1))[0] == 200
        except (Broken, OSError, asyncio.TimeoutError):
            return False

    def end(self):
        for node in self.nodes:
            node.end()
        for replica in self.replicas:
            replica.server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, public=False, attempts=2, timeout_ms=2000):
    return {"name": name, "host": "a.example", "pathPrefix": prefix, "type": kind, "timeoutMs": timeout_ms,
            "latencyTargetMs": 300, "priority": 1, "service": "desk", "maxAttempts": attempts, "public": public,
            "sticky": False, "resumable": False}


async def call(ip, port, method, target, headers, body=b"", timeout=5.0):
    """One request on a connection of its own. Returns the status, the headers and the body of its answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(message(f"{method} {target} HTTP/1.1", {"Host": "a.example", **headers}, body))
            await writer.drain()
            (_, status, *_), answered = await read_head(reader)
            return int(status), answered, await read_body(reader, answered)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def run_case(folder, case):
    """Runs the coroutine `case(record, with_trouble)`, which returns whether the rule held, and ends with the exit code
    of the issue: 0 if it held, 1 if it was broken, 2 if the case could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    if not PROGRAM.exists():
        record.add("cannot run: the program has not been built")
        sys.exit(2)
    try:
        held = asyncio.run(asyncio.wait_for(case(record, with_trouble), 110))
    except (CannotRun, asyncio.TimeoutError) as error:
        record.add("cannot run:", repr(error))
        sys.exit(2)
    record.add("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
