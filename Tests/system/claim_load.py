#!/usr/bin/env python3
"""Measures non-idempotent calls through 9 entry processes, 3 in each failure domain, at a limited table.

Prints one row for each run: table transactions for each finished call, latency, and outcomes."""

import argparse
import json
import os
import sys

import scenario
from deployment import http
from scenario import CARTLINE


def stats(deployment):
    return json.loads(http("GET", deployment.platform_port, "/stats")[1])


def run(options, rate, repetition):
    with scenario.create(CARTLINE, build=options.build) as deployment:
        scenario.start(deployment, CARTLINE, entries=3,
                       platform_options=("--writes-per-second", options.writes_per_second))
        before = stats(deployment)
        load, path = deployment.load(
            accounts=scenario.load_accounts(CARTLINE), model=CARTLINE.model, service=CARTLINE.service,
            call_path=CARTLINE.call_path, executions=scenario.execution_targets(deployment), rate=rate,
            duration=options.duration, call_share=1, seed=repetition)
        report = deployment.finish_load(load, path, 300)
        after = stats(deployment)
        if options.verbose:
            print(report, before, after, file=sys.stderr)
    taken = {name: value - before.get(name, 0) for name, value in after.items() if isinstance(value, int)}
    return report, taken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--writes-per-second", type=int, default=100)
    parser.add_argument("--rates", default="50,100,200", help="calls a second, separated by commas")
    parser.add_argument("--duration", type=int, default=10)
    parser.add_argument("--repetitions", type=int, default=3)
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    print("| calls/s | run | calls | done | not_run | unknown | resent | commits | throttled | commits for each call "
          "| p50, ms | p95, ms | p99, ms | doubled | false not_run | load average |")
    print("|" + "---|" * 16)
    for rate in (int(each) for each in options.rates.split(",")):
        for repetition in range(1, options.repetitions + 1):
            report, taken = run(options, rate, repetition)
            commits = taken.get("commits", 0)
            call = report["call_ms"]
            print(f"| {rate} | {repetition} | {report['calls']} | {report['calls_done']} | {report['calls_not_run']} "
                  f"| {report['calls_unknown']} | {report['retried']} | {commits} | {taken.get('writes_throttled', 0)} "
                  f"| {commits / max(report['calls_done'], 1):.2f} | {call['p50']:.0f} | {call['p95']:.0f} "
                  f"| {call['p99']:.0f} | {report['doubled']} | {report['false_not_run']} "
                  f"| {os.getloadavg()[0]:.1f} |", flush=True)


if __name__ == "__main__":
    main()
