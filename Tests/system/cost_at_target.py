#!/usr/bin/env python3
"""Finds, for each routing policy, the highest load at which a fixed fleet keeps the latency targets, and its cost."""

import argparse
import sys

import scenario

POLICIES = ("prefix_affinity", "round_robin", "least_in_flight")
FIRST_TOKEN_MS = 840
BETWEEN_TOKENS_MS = 72
CENTS_PER_HOUR = 60


def run(described, policy, rate, options):
    """Returns the report of one load, with the cost of the fleet for a million tokens."""
    price = CENTS_PER_HOUR * 1_000_000 // 3600
    engine_options = ("--queue-limit", 0, "--cache-blocks", options.cache_blocks)
    with scenario.create(described, build=options.build, policy=policy) as deployment:
        scenario.start(deployment, described, engines=options.engines, price=price, engine_options=engine_options)
        with scenario.EngineCounters(deployment) as counters:
            load, report_path = deployment.load(
                accounts=scenario.load_accounts(described), model=described.model, rate=rate,
                duration=options.seconds, streaming_share=1, prefixes=options.prefixes,
                prefix_words=options.prefix_words, seed=options.seed)
            report = deployment.finish_load(load, report_path, options.seconds + 90)
            prefilled, overrun = counters.total("prefilled_tokens"), counters.total("overrun_ms")
    fleet_cents = CENTS_PER_HOUR / 3600 * options.engines * len(described.regions) * options.seconds
    report.update(cents=fleet_cents / max(report["tokens"], 1) * 1e6, prefilled=prefilled, overrun=overrun)
    return report


def keeps_target(report):
    """Whether 95 in 100 requests met the targets, with the time of all refused tries."""
    return (report["first_token_ms"]["p95"] <= FIRST_TOKEN_MS and report["refused"] == 0 and report["lost"] == 0
            and report["between_tokens_ms"]["p95"] <= BETWEEN_TOKENS_MS)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--deployments", nargs="+", choices=("cartline", "hollowreed"),
                        default=("cartline", "hollowreed"))
    parser.add_argument("--engines", type=int, default=2, help="in each failure domain")
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--rates", type=float, nargs="+", default=(10, 15, 20, 25, 30, 35, 40, 45, 50))
    parser.add_argument("--prefixes", type=int, default=6)
    parser.add_argument("--prefix-words", type=int, default=1500)
    parser.add_argument("--cache-blocks", type=int, default=1024)
    parser.add_argument("--seed", type=int, default=7)
    options = parser.parse_args()
    described = {"cartline": scenario.CARTLINE, "hollowreed": scenario.HOLLOWREED}
    print("| deployment | policy | requests/s | requests | p95 first token, ms | p95 between tokens, ms | "
          "prefilled tokens | cents per million tokens | keeps the target | engine overrun, ms |")
    print("|" + "---|" * 10, flush=True)
    for name in options.deployments:
        for policy in POLICIES:
            for rate in options.rates:
                report = run(described[name], policy, rate, options)
                kept = keeps_target(report)
                print(f"| {name} | {policy} | {rate:.0f} | {report['requests']} | "
                      f"{report['first_token_ms']['p95']:.0f} | {report['between_tokens_ms']['p95']:.1f} | "
                      f"{report['prefilled']} | {report['cents']:.2f} | {'yes' if kept else 'no'} | "
                      f"{report['overrun']:.0f} |", flush=True)
                if not kept:
                    break
    return 0


if __name__ == "__main__":
    sys.exit(main())
