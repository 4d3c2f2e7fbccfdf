#!/usr/bin/env python3
"""Offers more load than the engines can serve and shows what happens to the requests that are answered and refused."""

import argparse
import sys

import scenario
from scenario import CARTLINE


def run(options, rate):
    """Returns the report of one load."""
    with scenario.create(CARTLINE, build=options.build) as deployment:
        scenario.start(deployment, CARTLINE, engine_options=("--queue-limit", options.engine_queue))
        with scenario.EngineCounters(deployment) as counters:
            load, report_path = deployment.load(
                accounts=scenario.load_accounts(CARTLINE), model=CARTLINE.model, rate=rate,
                duration=options.seconds, streaming_share=1, seed=options.seed)
            report = deployment.finish_load(load, report_path, options.seconds + 90)
            overrun = counters.total("overrun_ms")
        return report, overrun


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--rates", type=float, nargs="+", default=(15, 30, 60))
    parser.add_argument("--engine-queue", type=int, default=16, help="streams that wait inside an engine")
    parser.add_argument("--seed", type=int, default=7)
    options = parser.parse_args()
    print("| requests/s | requests | whole | refused | lost | tokens/s | retries | p50 first token of the admitted "
          "try, ms | p95 | p99 | p95 first token with refused tries, ms | engine overrun, ms |")
    print("|" + "---|" * 12, flush=True)
    for rate in options.rates:
        report, overrun = run(options, rate)
        first = report["admitted_first_token_ms"]
        print(f"| {rate:.0f} | {report['requests']} | {report['whole']} | {report['refused']} | {report['lost']} | "
              f"{report['tokens'] / options.seconds:.0f} | {report['retried']} | {first['p50']:.0f} | "
              f"{first['p95']:.0f} | {first['p99']:.0f} | {report['first_token_ms']['p95']:.0f} | {overrun:.0f} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
