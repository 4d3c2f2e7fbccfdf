#!/usr/bin/env python3
"""Measures the control work of entry processes of one failure domain beside a platform with many records.

All records of endpoints name real addresses: those of the own failure domain one engine stand-in, the others
ports that nobody asks. Bytes between the process and the platform and between the process and its engines are
counted by a relay, without IP and TCP headers; those between entry processes are the process's own counters,
where it has them. Processor time and memory are those of /proc."""

import argparse
import json
import os
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "system"))

from deployment import Deployment, free_ports, http, wait_until  # noqa: E402  pylint: disable=wrong-import-position

DOMAINS = 26
ENTRIES = 370
REPLICAS = 2300
MODEL, VERSION = "dough-7b", "v3"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Relay:
    """Passes TCP connections on to a port and counts the bytes of both directions."""

    def __init__(self, target):
        self.target = target
        self.sent = 0
        self.received = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            try:
                far = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                near.close()
                continue
            for each in (near, far):
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.copy, args=(near, far, "sent"), daemon=True).start()
            threading.Thread(target=self.copy, args=(far, near, "received"), daemon=True).start()

    def copy(self, source, target, counter):
        try:
            while data := source.recv(1 << 18):
                setattr(self, counter, getattr(self, counter) + len(data))
                target.sendall(data)
        except OSError:
            pass
        for each in (source, target):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_megabytes(pid, field="VmRSS"):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) / 1024
    return 0.0


def register_records(deployment, records, engine_port, own_engines):
    """Registers `records` instances in 26 failure domains, entry processes and engines as at full size. Those of
    the first failure domain that are entry processes are left out: the real ones take their place."""
    entries = round(records * ENTRIES / (ENTRIES + REPLICAS))
    for index in range(records):
        domain = f"region-{index % DOMAINS:02}"
        common = {"failure_domain": f"{domain}-a", "region": domain, "price_microcents_per_second": 60000,
                  "reclaimable": index % 5 < 3}
        if index < entries:
            if index % DOMAINS != 0:
                deployment.register(f"entry-{domain}-{index:04}", {
                    "kind": "entry", "port": 1, "peer_port": 1, "class": "cpu-small", **common})
            continue
        own = index % DOMAINS == 0
        if own:
            own_engines.append(f"engine-{domain}-{index:04}")
        deployment.register(f"engine-{domain}-{index:04}", {
            "kind": "engine", "port": engine_port if own else 1, "serves": {"model": MODEL, "version": VERSION},
            "capacity": 16, "class": "gpu-small", **common})


class Member:
    """One entry process with a relay to the platform of its own."""

    def __init__(self, deployment, name):
        self.name = name
        self.relay = Relay(deployment.platform_port)
        actual = deployment.platform_port
        deployment.platform_port = self.relay.port
        try:
            deployment.start_entry(name, "region-00", register=False)
        finally:
            deployment.platform_port = actual
        ports = deployment.entries[name]["ports"]
        deployment.register(name, {"kind": "entry", "port": ports[0], "peer_port": ports[1],
                                   "failure_domain": "region-00-a", "region": "region-00"})
        self.pid = deployment.processes[name].handle.pid
        self.deployment = deployment

    def sample(self):
        peer = self.deployment.status(self.name).get("peer_bytes", {})
        return {"platform sent": self.relay.sent, "platform received": self.relay.received,
                "peers sent": peer.get("sent", 0), "peers received": peer.get("received", 0),
                "cpu": cpu_seconds(self.pid)}


def change_records(deployment, own_engines, seconds, period):
    """Replaces the record of one engine of another failure domain each period."""
    end = time.monotonic() + seconds
    count = 0
    while time.monotonic() < end:
        time.sleep(min(period, max(0.0, end - time.monotonic())) if period else end - time.monotonic())
        if period and time.monotonic() < end:
            count += 1
            deployment.register(f"engine-changed-{count % 8}", {
                "kind": "engine", "port": 1, "serves": {"model": MODEL, "version": VERSION}, "capacity": 16,
                "class": "gpu-small", "failure_domain": "region-07-a", "region": "region-07"})
    return count


def run(options, records):
    with Deployment(build=options.build, sheet=options.sheet, regions=("region-00",)) as deployment:
        if options.binary:
            deployment.bin = pathlib.Path(options.binary).resolve()
        tools = pathlib.Path(options.build).resolve() / "bin"
        bin_of_entry, deployment.bin = deployment.bin, tools
        platform_arguments = ["--list-lag-ms", "0"] + (["--entity-tags", "0"] if options.no_etag else [])
        deployment.start_platform(*platform_arguments)
        engine = deployment.spawn("engine", tools / "engine_standin", "--model", MODEL, "--version", VERSION,
                                  "--endpoint-id", "engine")
        engines = Relay(engine.listening_port())
        own_engines = []
        register_records(deployment, records, engines.port, own_engines)
        submitted = deployment.submit()
        if submitted.returncode != 0:
            raise SystemExit(submitted.stdout + submitted.stderr)
        deployment.bin = bin_of_entry
        members = [Member(deployment, f"entry-region-00-{index}") for index in range(options.members)]
        for member in members:
            wait_until(lambda each=member: deployment.ready(each.name), 60, f"{member.name} is ready")
        time.sleep(options.settle)
        first = [member.sample() for member in members]
        engine_first = (engines.sent, engines.received)
        started = time.monotonic()
        changes = change_records(deployment, own_engines, options.seconds, options.change_period)
        last = [member.sample() for member in members]
        seconds = time.monotonic() - started
        polled = ((engines.sent - engine_first[0]) / seconds, (engines.received - engine_first[1]) / seconds)
        for member, before, after in zip(members, first, last):
            rates = {key: (after[key] - before[key]) / seconds for key in before}
            print(f"| {records} | {options.members} | {member.name} | " + " | ".join(
                f"{rates[key]:.0f}" for key in ("platform sent", "platform received", "peers sent", "peers received"))
                + f" | {rates['cpu'] * 100:.2f}% | {memory_megabytes(member.pid):.1f}"
                  f" | {memory_megabytes(member.pid, 'VmHWM'):.1f} |", flush=True)
        print(f"  {len(own_engines)} engines polled by {options.members}: {polled[0]:.0f} B/s sent, {polled[1]:.0f} "
              f"B/s received by all together; {changes} records changed in {seconds:.1f} s; platform: "
              + http("GET", deployment.platform_port, "/stats")[1], flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--binary", help="directory with another siskinwharfd")
    parser.add_argument("--sheet", default="examples/cartline.csv")
    parser.add_argument("--members", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--settle", type=float, default=8)
    parser.add_argument("--change-period", type=float, default=0, help="seconds between changes of a record")
    parser.add_argument("--no-etag", action="store_true", help="the platform knows no conditional requests")
    parser.add_argument("records", type=int, nargs="*", default=[2670])
    options = parser.parse_args()
    print("| records | members | process | platform sent, B/s | received, B/s | peers sent, B/s | received, B/s | CPU "
          "| memory, MB | peak, MB |\n" + "|---" * 10 + "|", flush=True)
    for records in options.records:
        run(options, records)
    return 0


if __name__ == "__main__":
    sys.exit(main())
