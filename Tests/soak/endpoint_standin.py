"""Stand-ins of the replicas for the soak. They count what they run and can crash, leave, shed, hang and break off."""

import asyncio
import json
import time

from http_text import Broken, message, read_body, read_head, reset

DRAIN_S = 3.0


class Runs:
    """What all endpoints together have run, by the id of the caller's attempt."""

    def __init__(self):
        self.counts = {}
        self.arrivals = []

    def count(self, request):
        return self.counts.get(request, 0)


def expected_body(request, instance):
    """The body of a whole answer; what a caller gets has to be equal to it."""
    return f"{request} answered by {instance}. ".encode() * 8


def signature_of(request, instance):
    return f"{request}.{instance}"


class Endpoint:
    """One incarnation of a replica."""

    def __init__(self, platform, runs, random, zone, number):
        self.platform, self.runs, self.random, self.zone = platform, runs, random, zone
        self.id = f"i-{number:04d}"
        self.fault = "none"
        self.leaving_since = None
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.register("ready")

    def register(self, state):
        record = {"service": "desk", "address": "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1],
                  "zone": self.zone, "version": 1, "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": 1,
                  "born": int(time.time() * 1000)}
        self.platform.put("servers", self.id, json.dumps(record).encode())

    def crash(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.platform.remove("servers", self.id)

    async def leave(self):
        """Announces the end, serves on for the time that is promised and a little longer, and ends."""
        self.register("draining")
        self.leaving_since = time.monotonic()
        await asyncio.sleep(DRAIN_S + 3)
        self.crash()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                (method, target, _), headers = await read_head(reader)
                await read_body(reader, headers)
                if not await self._answer(method, target, headers, writer):
                    return
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, headers, writer):
        request = headers["siskinwharf-attempt-id"]
        common = {"Siskinwharf-Attempt-Id": request}
        if headers.get("siskinwharf-expected-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 X", {**common, "Siskinwharf-Not-Executed": "1"}))
            return True
        self.runs.arrivals.append((time.monotonic(), self.leaving_since, request))
        if self.fault == "shed" and self.random.random() < 0.5:
            writer.write(message("HTTP/1.1 503 X", {**common, "Siskinwharf-Not-Executed": "1"}))
            return True
        self.runs.counts[request] = self.runs.count(request) + 1
        if self.fault == "lost" and self.random.random() < 0.3:
            reset(writer)
            return False
        await asyncio.sleep(self.random.uniform(0.002, 0.04) if self.fault != "slow" else 0.4)
        signed = {**common, "Siskinwharf-Response-Signature": signature_of(request, self.id)}
        if target.startswith("/stream/"):
            return await self._stream(signed, headers, writer)
        body = expected_body(request, self.id)
        whole = message("HTTP/1.1 200 OK", signed, body)
        if self.fault == "cut" and self.random.random() < 0.3:
            writer.write(whole[:-len(body) // 2])
            await writer.drain()
            reset(writer)
            return False
        writer.write(whole)
        await writer.drain()
        return True

    async def _stream(self, signed, headers, writer):
        lines = [f"{name}: {value}" for name, value in signed.items()]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for event in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            text = f"id: {event}\ndata: {'end' if event == EVENTS else 'part'}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(0.03)
            if self.fault == "cut" and self.random.random() < 0.02:
                reset(writer)
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


EVENTS = 20
