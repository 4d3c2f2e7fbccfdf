"""Submits a sheet with a new model version under load and counts what callers see of the change.

    Tests/system/version_change.py --build build
"""

import argparse
import json
import pathlib
import threading
import time

import callers
import scenario
from deployment import http
from scenario import CARTLINE

KEY = "key-bakehouse"
NEW_VERSION = "v4"
STREAM_TOKENS = 60
ENGINE_OPTIONS = ("--decode-ms-per-token", 40, "--load-model-ms", 2000, "--load-adapter-ms", 200)
LONGEST_CHANGE_S = 120


class Load:
    """Callers that send one request after another through each entry process until they are stopped."""

    def __init__(self, deployment, stream_tokens, streams=3, requests=2):
        self.stream_tokens = stream_tokens
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.done = 0
        self.refused = []
        self.cut = []
        self.threads = []
        for entry in deployment.entries:
            port = deployment.entries[entry]["ports"][0]
            self.threads += [threading.Thread(target=self.run_streams, args=(port, f"{entry} {index}"))
                             for index in range(streams)]
            self.threads += [threading.Thread(target=self.run_requests, args=(port, f"{entry} {index}"))
                             for index in range(requests)]
        for each in self.threads:
            each.start()

    def note(self, failures=None, what=None):
        with self.lock:
            if failures is None:
                self.done += 1
            else:
                failures.append(what)

    def run_streams(self, port, name):
        number = 0
        while not self.stopped.is_set():
            number += 1
            content = f"stream {name} {number}"
            stream = callers.Stream(port, CARTLINE.model, KEY, content, self.stream_tokens)
            stream.join()
            if stream.done and stream.tokens == callers.expected_tokens(content, self.stream_tokens):
                self.note()
            elif stream.tokens:
                self.note(self.cut, f"{content}: {len(stream.tokens)} tokens, {stream.error}")
            else:
                self.note(self.refused, f"{content}: {stream.error}")
                time.sleep(0.1)

    def run_requests(self, port, name):
        number = 0
        while not self.stopped.is_set():
            number += 1
            try:
                status, body = callers.post(port, "/v1/chat/completions",
                                            callers.chat_body(CARTLINE.model, f"request {name} {number}", 4), KEY)
            except OSError as error:
                status, body = 0, repr(error)
            if status == 200:
                self.note()
            else:
                self.note(self.refused, f"request {name} {number}: {status} {body}")
            time.sleep(0.1)

    def stop(self):
        self.stopped.set()
        for each in self.threads:
            each.join()


def engines(deployment):
    return [name for name in deployment.endpoints if name.startswith("engine-")]


def loaded_version(deployment, engine):
    models = json.loads(http("GET", deployment.endpoints[engine], "/orders")[1])["models"]
    return models[0]["version"] if len(models) == 1 and models[0]["state"] == "loaded" else None


def submit_version(deployment, version=NEW_VERSION):
    """Submits the sheet of the example with another version of the model."""
    text = deployment.sheet.read_text().replace(f"model,{CARTLINE.model},,,{CARTLINE.version},",
                                                f"model,{CARTLINE.model},,,{version},")
    path = pathlib.Path(deployment.directory) / f"sheet-{version}.csv"
    path.write_text(text)
    result = deployment.submit(path)
    if result.returncode != 0:
        raise RuntimeError(result.stdout + result.stderr)


def change_version(deployment, stream_tokens=STREAM_TOKENS, load_time=2.0):
    """Changes the version under load. Returns what callers saw and when the last engine had the version."""
    load = Load(deployment, stream_tokens)
    try:
        time.sleep(load_time)
        submit_version(deployment)
        begun = time.monotonic()
        seconds = None
        while seconds is None and time.monotonic() - begun < LONGEST_CHANGE_S:
            if all(loaded_version(deployment, name) == NEW_VERSION for name in engines(deployment)):
                seconds = time.monotonic() - begun
            time.sleep(0.1)
        # What the last change does to callers shows within seconds.
        time.sleep(3)
    finally:
        load.stop()
    dropped = deployment.engine_stats().get("dropped_by_orders", 0)
    return {"answered": load.done, "dropped": dropped, "refused": load.refused, "cut": load.cut, "seconds": seconds}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--entries", type=int, default=1, help="entry processes in each failure domain")
    parser.add_argument("--stream-tokens", type=int, default=STREAM_TOKENS)
    arguments = parser.parse_args()
    with scenario.create(CARTLINE, build=arguments.build) as deployment:
        scenario.start(deployment, CARTLINE, engines=3, entries=arguments.entries, engine_options=ENGINE_OPTIONS)
        result = change_version(deployment, arguments.stream_tokens)
    print(json.dumps({"answered": result["answered"], "refused": len(result["refused"]),
                      "cut": len(result["cut"]), "dropped": result["dropped"], "seconds": result["seconds"],
                      "examples": (result["refused"][:3] + result["cut"][:3])}, indent=1))


if __name__ == "__main__":
    main()
