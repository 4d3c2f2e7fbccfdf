"""The deployments of the examples, as the demonstration, the tests and the experiment start them."""

import dataclasses
import json
import re
import threading

from deployment import Deployment, DeploymentError, http, wait_until

NOTICE_MS = 3000


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What one example sheet describes."""

    sheet: str
    regions: tuple
    accounts: tuple
    model: str
    version: str
    service: str
    call_path: str
    recomputed_token_weight: float


CARTLINE = Scenario("examples/cartline.csv", ("kingston", "montego", "ocho"),
                    (("bakehouse", 4), ("harbour-deli", 4), ("island-grocer", 2), ("night-market", 1),
                     ("spice-lane", 1)),
                    "dough-7b", "v3", "orders", "/orders", 0.3)
HOLLOWREED = Scenario("examples/hollowreed.csv", ("piedmont", "delta", "gulf-coast"),
                      (("cardhouse", 2), ("coin-cellar", 2), ("reel-archive", 1), ("stamp-vault", 1),
                       ("vinyl-post", 1)),
                      "appraiser-13b", "v1", "ledger", "/swaps", 0.8)


def load_accounts(scenario):
    """API keys with their shares, as `siskinwharf load` takes them. docs/sheet.md states the keys."""
    return ",".join(f"key-{name}:{share}" for name, share in scenario.accounts)


def create(scenario, **options):
    options.setdefault("recomputed_token_weight", scenario.recomputed_token_weight)
    return Deployment(sheet=scenario.sheet, regions=scenario.regions, **options)


def start(deployment, scenario, engines=1, services=1, entries=1, engine_options=(), service_options=(),
          price=1000, platform_options=()):
    """Starts this many processes of each kind in each failure domain and waits until all are ready."""
    deployment.start_platform(*platform_options)
    for region in scenario.regions:
        for number in range(1, engines + 1):
            deployment.start_engine(f"engine-{region}-{number}", region, scenario.model, scenario.version,
                                    price=price, extra=engine_options)
        for number in range(1, services + 1):
            deployment.start_service(f"service-{region}-{number}", region, scenario.service, service_options)
    result = deployment.submit()
    if result.returncode != 0:
        raise DeploymentError(f"submit: {result.returncode} {result.stdout}{result.stderr}")
    for region in scenario.regions:
        for number in range(1, entries + 1):
            deployment.start_entry(f"entry-{region}-{number}", region)
    deployment.wait_ready()
    wait_endpoints_known(deployment)


def wait_endpoints_known(deployment, seconds=20):
    """Waits until each entry process has logged each endpoint. Readiness does not promise this: the list lags."""
    def known(entry):
        output = deployment.processes[entry].output()
        return all(f"endpoint_added endpoint={name} " in output for name in deployment.endpoints)

    for entry in deployment.entries:
        wait_until(lambda each=entry: known(each), seconds, f"{entry} knows all endpoints")


def engines_of(deployment, region):
    return [name for name in deployment.endpoints if name.startswith(f"engine-{region}-")]


def services(deployment):
    return [name for name in deployment.endpoints if name.startswith("service-")]


def execution_targets(deployment):
    return ",".join(f"127.0.0.1:{deployment.endpoints[name]}" for name in services(deployment))


def entries_of(deployment, region):
    return [name for name, entry in deployment.entries.items() if entry["region"] == region]


def lease_tokens(deployment, entry):
    """Fencing tokens with which the process has held the lease of its failure domain, in order."""
    return [int(each) for each in re.findall(r"lease_acquired domain=\S+ fencing=(\d+)",
                                             deployment.processes[entry].output())]


def lease_holder(deployment, region):
    """The process that acquired the lease last; waits until there is one."""
    entries = entries_of(deployment, region)
    wait_until(lambda: any(lease_tokens(deployment, each) for each in entries), 30, f"{region} has a lease holder")
    return max(entries, key=lambda each: max(lease_tokens(deployment, each), default=0))


class EngineCounters:
    """Counters of the engines, with those of engines that have ended as they were read last."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.seen = {}
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.poll, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        self.thread.join()

    def read(self):
        for name, port in list(self.deployment.endpoints.items()):
            if not name.startswith("engine-") or not self.deployment.processes[name].running():
                continue
            try:
                self.seen[name] = json.loads(http("GET", port, "/stats", timeout=2)[1])
            except (OSError, ValueError):
                continue

    def poll(self):
        while not self.ended.wait(0.2):
            self.read()

    def total(self, counter):
        self.read()
        return sum(each.get(counter, 0) for each in self.seen.values())
