#!/usr/bin/env python3
"""Compares the routing policies under the same load, with a reclaim of one failure domain in the middle."""

import argparse
import sys
import time

import scenario

POLICIES = ("prefix_affinity", "round_robin", "least_in_flight")


def run(described, policy, options):
    """Returns the columns of one row of the table."""
    with scenario.create(described, build=options.build, policy=policy) as deployment:
        scenario.start(deployment, described, engines=2, services=1, entries=1)
        with scenario.EngineCounters(deployment) as counters:
            load, report_path = deployment.load(
                accounts=scenario.load_accounts(described), model=described.model, rate=options.rate,
                duration=options.seconds, streaming_share=1, prefixes=6, prefix_words=400, seed=options.seed)
            time.sleep(options.seconds / 2)
            region = described.regions[-1]
            leaving = scenario.engines_of(deployment, region) + [f"service-{region}-1"]
            deployment.reclaim(leaving, scenario.NOTICE_MS)
            report = deployment.finish_load(load, report_path, options.seconds + 90)
            parts = {name: counters.total(name)
                     for name in ("recomputed_tokens", "retried_tokens", "prefilled_tokens", "overrun_ms")}
        cost = deployment.cost_cents() / max(report["tokens"], 1) * 1e6
        return (report["requests"], f"{report['first_token_ms']['p95']:.0f}",
                f"{report['between_tokens_ms']['p95']:.1f}", f"{cost:.2f}", parts["recomputed_tokens"],
                parts["retried_tokens"], parts["prefilled_tokens"], report["refused"], report["lost"],
                f"{parts['overrun_ms']:.0f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--rate", type=float, default=12)
    parser.add_argument("--seed", type=int, default=7)
    options = parser.parse_args()
    print("| deployment | policy | requests | p95 first token, ms | p95 between tokens, ms | cents per million "
          "tokens | recomputed | retried | prefilled | refused | lost | engine overrun, ms |")
    print("|" + "---|" * 12, flush=True)
    for name, described in (("cartline", scenario.CARTLINE), ("hollowreed", scenario.HOLLOWREED)):
        for policy in POLICIES:
            print("| " + " | ".join(str(each) for each in (name, policy, *run(described, policy, options))) + " |",
                  flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
