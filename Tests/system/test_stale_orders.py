"""A lease holder that is frozen past its lease comes back, and an order of it arrives late."""

import json
import signal
import time
import unittest

import scenario
from deployment import http, wait_until
from scenario import CARTLINE
from system_test import SystemTest

REGION = "kingston"
NEW_VERSION = "v4"


class StaleOrders(SystemTest):
    def loaded(self, deployment, engine):
        state = json.loads(http("GET", deployment.endpoints[engine], "/orders")[1])
        return [each["version"] for each in state["models"]]

    def all_have_new_version(self, deployment):
        return all(self.loaded(deployment, each) == [NEW_VERSION] for each in scenario.engines_of(deployment, REGION))

    def run_case(self, fencing):
        deployment = self.deploy(lease_ms=3000, engines=2, entries=2, engine_options=("--fencing", fencing),
                                 sheet_edit=(",checked,", f",{fencing},"))
        holder = scenario.lease_holder(deployment, REGION)
        token = scenario.lease_tokens(deployment, holder)[-1]
        deployment.processes[holder].signal(signal.SIGSTOP)
        wait_until(lambda: scenario.lease_holder(deployment, REGION) != holder, 40, "the lease is taken over")
        self.assertEqual(deployment.submit(self.edited_sheet(deployment, ",v3,", f",{NEW_VERSION},")).returncode, 0)
        wait_until(lambda: self.all_have_new_version(deployment), 20, "the successor's orders are in force")
        noted = len(deployment.processes[holder].output())
        deployment.processes[holder].signal(signal.SIGCONT)
        late = {"fencing": token, "wanted": {"models": [{"model": CARTLINE.model, "version": CARTLINE.version,
                                                         "adapters": ["recipes"]}], "role": "both"}}
        for engine in scenario.engines_of(deployment, REGION):
            status, text = http("POST", deployment.endpoints[engine], "/orders", late)
            self.assertEqual(status, 409 if fencing == "checked" else 200, text)
        wait_until(lambda: self.all_have_new_version(deployment), 30, "the late order is corrected")
        end = time.monotonic() + 3
        while time.monotonic() < end:
            self.assertTrue(self.all_have_new_version(deployment))
            time.sleep(0.1)
        self.assertNotIn(f"fencing={token}\n", deployment.processes[holder].output()[noted:].replace(
            f"lease_lost domain={REGION}-a fencing={token}\n", ""))

    def test_engine_checks_tokens(self):
        """Guards against an engine that goes back to the order of an earlier holder."""
        self.run_case("checked")

    def test_engine_ignores_tokens(self):
        """Guards against a late order that stays in force at an engine that takes it."""
        self.run_case("ignored")


if __name__ == "__main__":
    unittest.main()
