"""Stand-ins for the review's scripts: the platform's store, the duty calls, replicas and clients, on loopback addresses.

They do what the users' pages say and nothing else. The program under test is started as the deploy file says,
`target/bin/siskinwharfd --forward`, with its settings in SISKINWHARF_SETTINGS."""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "siskinwharfd"
FRONT, READY, CONTROL, PEERS = 8221, 8224, 8229, 7600
MEMORY_MB = 260  # Of a process, from the site file.


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Closed(Exception):
    """The other side closed or reset the connection, or sent something that is not HTTP."""


async def read_head(reader):
    """The first line and the headers, with lower-case names, of a message."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Closed(str(error)) from error
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = (await reader.readexactly(size + 2))[:-2]
                if not part:
                    return b"".join(parts)
                parts.append(part)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise Closed(str(error)) from error


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if body or not first.startswith("GET"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
        self.file.flush()


class Store:
    """The platform's store of rows: /rows-get, /rows-feed, /rows-tx, linearizable and without loss."""

    def __init__(self):
        self.rows, self.history, self.version = {}, [], 0
        self.changed = asyncio.Event()

    def put(self, table, key, data):
        self.version += 1
        self.rows[(table, key)] = (data, self.version)
        self._note(table, key, data)

    def remove(self, table, key):
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self._note(table, key, None)

    def _note(self, table, key, data):
        self.history.append((self.version, table, key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _row(table, key, data, version):
        row = {"table": table, "part": "", "key": key, "rowVersion": version}
        return {**row, "deleted": True} if data is None else {**row, "data": base64.b64encode(data).decode()}

    def _stamp(self, answer):
        return {**answer, "rowVersion": self.version, "nowMs": int(time.monotonic() * 1000)}

    def _get(self, query):
        low, high = query.get("from", ""), query.get("target")
        rows = [self._row(table, key, *value) for (table, key), value in sorted(self.rows.items())
                if table == query["table"] and low <= key and (high is None or key < high)]
        return 200, self._stamp({"rows": rows, "hasMore": False})

    async def _feed(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = [self._row(table, key, data, version) for version, table, key, data in self.history
                    if version > after and table == query["table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self._stamp({"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        def known(row):
            return self.rows.get((row["table"], row["key"]), (None, 0))

        expected = body.get("expectedRevision", [])
        if any(known(row)[1] != row["rowVersion"] for row in expected):
            return 412, self._stamp({"rows": [self._row(row["table"], row["key"], *known(row)) for row in expected]})
        for row in body.get("write", []):
            self.put(row["table"], row["key"], base64.b64decode(row["data"]))
        for row in body.get("remove", []):
            self.remove(row["table"], row["key"])
        return 200, self._stamp({})

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                path, _, text = first.split(" ")[1].partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                if path == "/rows-get":
                    status, answer = self._get(query)
                elif path == "/rows-feed":
                    status, answer = await self._feed(query)
                elif path == "/rows-tx":
                    status, answer = self._transact(json.loads(body))
                else:
                    status, answer = 404, {}
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            writer.close()


async def serve_duties(reader, writer):
    """The cloud: accepts every duty call."""
    try:
        while True:
            _, headers = await read_head(reader)
            await read_body(reader, headers)
            writer.write(message("HTTP/1.1 200 OK", {}))
            await writer.drain()
    except (Closed, OSError):
        pass
    finally:
        writer.close()


class Replica:
    """A sound replica of a plain service. `ran` has the headers of each request that it ran."""

    def __init__(self, deployment, service, number, work_s=0.03):
        self.deployment, self.service, self.work_s = deployment, service, work_s
        self.id = f"i-{number:04d}"
        self.ran = []

    async def start(self, zone):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.deployment.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]
        self.deployment.store.put("servers", self.id, json.dumps(
            {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": zone, "version": "v1", "slots": 48,
             "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": int(time.time() * 1000)}).encode())

    async def work(self):
        await asyncio.sleep(self.work_s)

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = headers.get("siskinwharf-attempt-id", "")
                common = {"Siskinwharf-Attempt-Id": request}
                if headers.get("siskinwharf-expected-instance", self.id) != self.id:
                    writer.write(message("HTTP/1.1 421 X", {**common, "Siskinwharf-Not-Executed": "1"}))
                    continue
                self.ran.append((first, headers, body))
                self.deployment.record(f"{self.id} runs {request}: {first}, tenant "
                                       f"{headers.get('siskinwharf-tenant', 'none')}")
                await self.work()
                writer.write(message("HTTP/1.1 200 OK", {**common, "Siskinwharf-Response-Signature": f"{request}.{self.id}"},
                                     f"{request} by {self.id}".encode()))
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            writer.close()


class Entry:
    """One entry process."""

    def __init__(self, deployment, number, zone, region):
        self.deployment, self.name, self.zone, self.region = deployment, f"frontend-{zone}-{number}", zone, region
        self.ip = f"127.{40 + os.getpid() % 180}.{os.getpid() // 180 % 250}.{number + 1}"
        self.handle = None
        self.starts = 0

    def start(self):
        deployment = self.deployment
        path = deployment.folder / f"{self.name}.toml"
        path.write_text(deployment.settings_of(self))
        self.starts += 1
        with open(deployment.folder / f"{self.name}.{self.starts}.log", "wb") as log:
            self.handle = subprocess.Popen([str(PROGRAM), "--forward"], stdout=log, stderr=log, cwd=ROOT,
                                           env={"SISKINWHARF_SETTINGS": str(path), "PATH": os.environ["PATH"]})

    def send_signal(self, number):
        if self.handle is not None and self.handle.poll() is None:
            self.handle.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await ask(self.ip, READY, message("GET /readyz HTTP/1.1", {"Host": self.name}), 1)
            return status == 200
        except (Closed, OSError, asyncio.TimeoutError):
            return False


async def ask(ip, port, data, timeout_s):
    """Sends one request on a connection of its own; returns status, headers and body."""

    async def whole():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(data)
            first, headers = await read_head(reader)
            return int(first.split(" ")[1]), headers, await read_body(reader, headers)
        finally:
            writer.close()

    return await asyncio.wait_for(whole(), timeout_s)


class Deployment:
    """A small deployment: entry processes in zones, a store, the duties and replicas."""

    def __init__(self, folder, zones):
        """`zones` lists (zone, region, number of entry processes)."""
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.relative_to(ROOT)} is not built")
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="siskinwharf-review-"))
        self.zones = {zone: region for zone, region, _ in zones}
        self.store, self.servers, self.replicas = Store(), [], []
        self.entries = []
        for zone, region, count in zones:
            for _ in range(count):
                self.entries.append(Entry(self, len(self.entries), zone, region))

    def settings_of(self, entry):
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in self.zones.items())
        return f"""nodeName = "{entry.name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "{entry.ip}"
zone = "{entry.zone}"
region = "{entry.region}"
portRange = [{PEERS},{PEERS + 15}]
seeds = []
bootstrap = false
[zones]
{zones}
[listen]
frontend = "{entry.ip}:{FRONT}"
readiness = "{entry.ip}:{READY}"
controlPlane = "{entry.ip}:{CONTROL}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
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
leaseMs = 3000
thawMs = 300
reportWindowS = 5
usageDelayS = 10
[platform]
address = "127.0.0.1:{self.store_port}"
form = "table"
[cloud]
address = "127.0.0.1:{self.duty_port}"
duties = ["usage_report"]
"""

    async def listen(self, handler):
        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def add_replica(self, service, zone, replica=None):
        replica = replica or Replica(self, service, len(self.replicas) + 1)
        self.replicas.append(replica)
        await replica.start(zone)
        return replica

    def put_config(self, config):
        self.store.put("op", "config", json.dumps(config).encode())
        self.record(f"the store acknowledges version {config['version']}")

    async def start(self):
        self.store_port = await self.listen(self.store.serve)
        self.duty_port = await self.listen(serve_duties)

    async def start_entries(self, limit_s=15):
        for entry in self.entries:
            entry.start()
        end = time.monotonic() + limit_s
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{entry.name} did not get ready")
                await asyncio.sleep(0.1)

    def end(self):
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            entry.send_signal(signal.SIGKILL)
            if entry.handle is not None:
                entry.handle.wait()
        for server in self.servers:
            server.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case):
    """Runs `case(trouble)`, which returns whether the rule was broken, and exits as the review asks."""
    # Ends the processes that were started also if the script itself is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(os.environ.get("TROUBLE", "1") != "0"), 110))
    except Exception as error:  # A fault of the script is no fault of the program.
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("BROKEN" if broken else "held")
    sys.exit(1 if broken else 0)
