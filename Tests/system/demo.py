#!/usr/bin/env python3
"""Shows the main job on loopback: mixed load while the engines of one failure domain are reclaimed."""

import argparse
import json
import signal
import sys
import time

import scenario
from scenario import CARTLINE


def row(name, *values):
    print(f"{name:<34}" + "".join(f"{each:>12}" for each in values))


def print_table(report, recomputed, cost_cents):
    row("requests", report["requests"])
    row("whole answers", report["whole"])
    row("refused", report["refused"])
    row("lost", report["lost"])
    row("wrong", report["wrong"])
    row("non-idempotent calls", report["calls"])
    row("doubled", report["doubled"])
    row("not_run but ran", report["false_not_run"])
    row("done but did not run", report["false_done"])
    row("tokens", report["tokens"])
    row("tokens recomputed", recomputed)
    row("cost in cents", f"{cost_cents:.4f}")
    row("latency in ms", "p50", "p95", "p99")
    for name, key in (("first token", "first_token_ms"), ("between tokens", "between_tokens_ms")):
        row(name, *(f"{report[key][each]:.1f}" for each in ("p50", "p95", "p99")))


def serve(deployment):
    """Prints where the processes listen and waits until the user interrupts."""
    print(f"platform 127.0.0.1:{deployment.platform_port}")
    for name, entry in deployment.entries.items():
        print(f"{name} callers 127.0.0.1:{entry['ports'][0]} admin 127.0.0.1:{entry['ports'][2]}")
    print("interrupt (Ctrl-C) to stop", flush=True)
    # A shell starts background jobs with SIGINT ignored, so both signals are handled here.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    try:
        signal.pause()
    except KeyboardInterrupt:
        pass
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="build directory")
    parser.add_argument("--seconds", type=int, default=20, help="duration of the load")
    parser.add_argument("--rate", type=float, default=12, help="requests a second")
    parser.add_argument("--serve", action="store_true",
                        help="send no load; serve on loopback until interrupted, for trying requests by hand")
    options = parser.parse_args()
    with scenario.create(CARTLINE, build=options.build) as deployment:
        print("starting: platform, 6 engines, 3 service replicas, 9 entry processes in 3 failure domains",
              flush=True)
        scenario.start(deployment, CARTLINE, engines=2, services=1, entries=3)
        if options.serve:
            return serve(deployment)
        with scenario.EngineCounters(deployment) as counters:
            print(f"load: {options.seconds} s at {options.rate} requests/s", flush=True)
            load, report_path = deployment.load(
                accounts=scenario.load_accounts(CARTLINE), model=CARTLINE.model, service=CARTLINE.service,
                call_path=CARTLINE.call_path, executions=scenario.execution_targets(deployment),
                rate=options.rate, duration=options.seconds, call_share=0.25, streaming_share=0.7)
            time.sleep(options.seconds / 2)
            leaving = scenario.engines_of(deployment, "ocho")
            print(f"reclaim: {', '.join(leaving)} leave in {scenario.NOTICE_MS} ms", flush=True)
            deployment.reclaim(leaving, scenario.NOTICE_MS)
            output, errors = load.communicate(timeout=options.seconds + 90)
            recomputed = counters.total("recomputed_tokens") + counters.total("retried_tokens")
        if not report_path.exists() or not report_path.read_text():
            print(f"the load generator wrote no report:\n{output}{errors}", file=sys.stderr)
            return 1
        report = json.loads(report_path.read_text())
        print_table(report, recomputed, deployment.cost_cents())
    failed = load.returncode != 0 or report["lost"] != 0 or report["doubled"] != 0
    print("FAILED: a guarantee was violated" if failed else "OK: nothing lost, nothing doubled")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
