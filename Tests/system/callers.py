"""Callers for the system tests. They keep one connection, so that a cut answer is seen as cut."""

import http.client
import json
import threading
import time

MASK = (1 << 64) - 1


def expected_tokens(content, count):
    """Tokens of the engine stand-in for a chat with one user message; docs/standins.md states the rule."""
    def hash64(data):
        value = 0xCBF29CE484222325
        for byte in data.encode():
            value = ((value ^ byte) * 0x100000001B3) & MASK
        value = (value + 0x9E3779B97F4A7C15) & MASK
        value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
        value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
        return value ^ (value >> 31)
    return [f"t{hash64(f'user: {content}{chr(10)}#{index}') % 100000}" for index in range(count)]


def post(port, path, body, key, headers=None, timeout=30):
    """Sends one request; returns the status and the decoded JSON body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json",
                                                            "Authorization": f"Bearer {key}", **(headers or {})})
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    finally:
        connection.close()


def chat_body(model, content, tokens, stream=False):
    return {"model": model, "messages": [{"role": "user", "content": content}], "max_tokens": tokens,
            "stream": stream}


def read_events(answer, tokens):
    """Appends the tokens of an event stream as they arrive. Returns whether the answer is complete; raises
    RuntimeError if it ends with an error event."""
    done = False
    for line in answer:
        if not line.startswith(b"data: "):
            continue
        if line.strip() == b"data: [DONE]":
            done = True
            continue
        event = json.loads(line[len(b"data: "):])
        if "error" in event:
            raise RuntimeError(line.decode())
        content = event["choices"][0]["delta"].get("content")
        if content is not None:
            tokens.append(content.strip())
    return done


def fetch(ports, key, request_id, offset, seconds=30):
    """Fetches an answer from an offset on, as a caller does who lost the connection: it tries the entry processes in
    turn and continues after what it has. Returns the tokens; raises TimeoutError if the answer stays incomplete."""
    tokens, failure = [], None
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for port in ports:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
            try:
                connection.request("GET", f"/v1/requests/{request_id}?offset={offset + len(tokens)}",
                                   headers={"Authorization": f"Bearer {key}"})
                answer = connection.getresponse()
                if answer.status != 200:
                    failure = answer.read().decode()
                elif read_events(answer, tokens):
                    return tokens
            except (OSError, http.client.HTTPException) as error:
                failure = repr(error)
            finally:
                connection.close()
        time.sleep(0.2)
    raise TimeoutError(f"{request_id}: {len(tokens)} tokens from offset {offset} in {seconds} s; last: {failure}")


class Stream(threading.Thread):
    """Reads one streamed answer to its end."""

    def __init__(self, port, model, key, content, tokens):
        super().__init__(daemon=True)
        self.port, self.model, self.key, self.content, self.count = port, model, key, content, tokens
        self.tokens = []
        self.request_id = None
        self.done = False
        self.error = None
        self.start()

    def run(self):
        try:
            self.read()
        except (OSError, http.client.HTTPException, RuntimeError) as error:
            self.error = repr(error)

    def read(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=90)
        connection.request("POST", "/v1/chat/completions",
                           json.dumps(chat_body(self.model, self.content, self.count, True)),
                           {"Content-Type": "application/json", "Authorization": f"Bearer {self.key}"})
        answer = connection.getresponse()
        if answer.status != 200:
            self.error = answer.read().decode()
            return
        self.request_id = answer.headers["Siskinwharf-Request-Id"]
        self.done = read_events(answer, self.tokens)
        connection.close()
