"""What callers check of an answer: that it is whole, their own, and in order."""

import collections
import itertools

from endpoint_standin import EVENTS, expected_body, signature_of
from http_text import read_body, read_chunk


class Violations:
    """Broken promises by kind, with the first few texts of each."""

    def __init__(self):
        self.found = collections.defaultdict(list)

    def add(self, kind, text):
        self.found[kind].append(text)


class Answers:
    """Reads and checks answers, and keeps which requests were refused."""

    def __init__(self, violations):
        self.violations = violations
        self.refused = []

    async def read(self, status, headers, reader, request_id, events=0):
        """Reads the whole answer; `events` is the number of events of a stream. Returns the outcome."""
        if status == 200 and events:
            return await self._read_stream(headers, reader, request_id, events)
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

    async def _read_stream(self, headers, reader, request_id, events):
        if not headers.get("siskinwharf-response-signature", "").startswith(request_id + "."):
            self.violations.add("mixed", f"{request_id}: a stream of another request")
        text = b""
        while chunk := await read_chunk(reader):
            text += chunk
        ids = [line[4:] for line in text.decode().split("\n") if line.startswith("id: ")]
        if ids != [str(each) for each in range(1, events + 1)]:
            self.violations.add("order", f"{request_id}: a complete stream with the events {','.join(ids)}")
        return "served"


def events_of(path):
    """The number of events of the stream that a path asks for; 0 if it asks for none."""
    if path.startswith("/stream/"):
        return EVENTS
    if path.startswith("/long/"):
        return int("".join(itertools.takewhile(str.isdigit, path[len("/long/"):])))
    return 0
