#!/usr/bin/env python3
"""Measures the processor time that one entry process spends on each relayed token.

Processor time is read from /proc, so other work on the machine changes the figure little."""

import argparse
import os
import pathlib
import sys

import scenario
from scenario import CARTLINE

REGION = CARTLINE.regions[0]
# Fast engines: the entry process and not the model is to be the part that works most.
ENGINE_OPTIONS = ("--decode-ms-per-token", 2, "--batch-slowdown", 0, "--prefill-tokens-per-second", 1_000_000)


def processor_seconds(pid):
    """User and system time of a process, all threads."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run(options, output_tokens):
    """Returns requests, tokens and processor seconds of one load."""
    with scenario.create(CARTLINE, build=options.build) as deployment:
        deployment.start_platform()
        for number in range(options.engines):
            deployment.start_engine(f"engine-{number}", REGION, CARTLINE.model, CARTLINE.version, capacity=64,
                                    extra=ENGINE_OPTIONS)
        deployment.submit()
        deployment.start_entry("entry", REGION)
        deployment.wait_ready()
        scenario.wait_endpoints_known(deployment)
        pid = deployment.processes["entry"].handle.pid
        before = processor_seconds(pid)
        load, report_path = deployment.load(
            accounts=scenario.load_accounts(CARTLINE), model=CARTLINE.model,
            rate=options.tokens_per_second / output_tokens, duration=options.seconds, streaming_share=1, output_tokens=output_tokens, seed=options.seed)
        report = deployment.finish_load(load, report_path, options.seconds + 90)
        used = processor_seconds(pid) - before
        if report["whole"] != report["requests"]:
            raise SystemExit(f"not all answers are whole: {report}")
        return report["requests"], report["tokens"], used


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--tokens-per-second", type=float, default=20_000)
    parser.add_argument("--repetitions", type=int, default=3)
    parser.add_argument("--seed", type=int, default=7)
    options = parser.parse_args()
    print("| tokens of an answer | requests | tokens | processor seconds | microseconds a token | tokens/s on one core |")
    print("|" + "---|" * 6, flush=True)
    for output_tokens in (100, 400, 1600):
        rows = sorted((run(options, output_tokens) for _ in range(options.repetitions)),
                      key=lambda row: row[2] / row[1])
        requests, tokens, used = rows[len(rows) // 2]
        print(f"| {output_tokens} | {requests} | {tokens} | {used:.2f} | {used / tokens * 1e6:.2f} | "
              f"{tokens / used:.0f} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
