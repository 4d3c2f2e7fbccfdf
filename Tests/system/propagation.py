#!/usr/bin/env python3
"""Measures how long an accepted sheet takes to be in force at all entry processes while some are cut from the
platform. Times run from the start of `siskinwharf submit`, so they include the submission itself."""

import argparse
import datetime
import random
import re
import statistics
import sys
import time

import scenario
from deployment import http, wait_until
from scenario import CARTLINE

IN_FORCE = re.compile(r"^(\S+)Z I300 sheet_in_force version=(\d+) ", re.MULTILINE)


def times_in_force(deployment, name):
    """Version to time in seconds since the epoch, from the log of one process."""
    return {int(version): datetime.datetime.fromisoformat(text + "+00:00").timestamp()
            for text, version in IN_FORCE.findall(deployment.processes[name].output())}


def measure(deployment, cut, submissions):
    """Returns the delays of the processes that are not cut, and of those that are."""
    http("POST", deployment.platform_port, "/faults", {"reject_sources": cut})
    time.sleep(10)
    delays = {False: [], True: []}
    for number in range(submissions):
        version = 2 + number
        sheet = deployment.sheet.read_text().replace(",4,,,,,", f",{5 + number},,,,,")
        path = deployment.bin.parent / f"propagation-{deployment.platform_port}.csv"
        path.write_text(sheet)
        started = time.time()
        result = deployment.submit(path)
        path.unlink()
        if result.returncode != 0:
            raise SystemExit(f"submit: {result.stdout}{result.stderr}")
        wait_until(lambda wanted=version: all(wanted in times_in_force(deployment, each)
                                              for each in deployment.entries), 30, f"version {version} is in force")
        for name in deployment.entries:
            delays[name in cut].append(times_in_force(deployment, name)[version] - started)
    return delays


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--processes", type=int, nargs="+", default=[9, 60, 120])
    parser.add_argument("--cut-percent", type=float, default=20)
    parser.add_argument("--cut-domain", action="store_true", help="cut a whole failure domain instead")
    parser.add_argument("--submissions", type=int, default=5)
    parser.add_argument("--seed", type=int, default=7)
    options = parser.parse_args()
    print("| entry processes | group | processes | samples | median, s | 95%, s | highest, s |\n" + "|---" * 7 + "|")
    for count in options.processes:
        with scenario.create(CARTLINE, build=options.build) as deployment:
            scenario.start(deployment, CARTLINE, engines=1, services=0, entries=count // len(CARTLINE.regions))
            entries = list(deployment.entries)
            cut = random.Random(options.seed).sample(entries, round(count * options.cut_percent / 100))
            if options.cut_domain:
                cut = scenario.entries_of(deployment, CARTLINE.regions[0])
            delays = measure(deployment, cut, options.submissions)
        for is_cut, group in ((False, "reach the platform"), (True, "cut off")):
            values = sorted(delays[is_cut])
            print(f"| {count} | {group} | {len(cut) if is_cut else count - len(cut)} | {len(values)} | "
                  f"{statistics.median(values):.2f} | {values[int(0.95 * (len(values) - 1))]:.2f} | "
                  f"{values[-1]:.2f} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
