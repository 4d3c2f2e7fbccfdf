"""A new model version in the sheet is rolled out without an outage."""

import dataclasses
import signal
import unittest

import callers
import scenario
import version_change
from deployment import wait_until
from scenario import CARTLINE
from system_test import BUILD, KEY, SystemTest


class VersionChange(SystemTest):
    def test_change_under_load(self):
        """P6, P2: guards against a change that loads all engines at once, which refuses and cuts requests."""
        deployment = scenario.create(CARTLINE, build=BUILD)
        self.addCleanup(deployment.__exit__)
        scenario.start(deployment, CARTLINE, engines=3, entries=1, engine_options=version_change.ENGINE_OPTIONS)
        result = version_change.change_version(deployment)
        self.assertEqual(result["refused"], [])
        self.assertEqual(result["cut"], [])
        # Streams that an order has dropped are recomputed elsewhere; the drain is to prevent this.
        self.assertEqual(result["dropped"], 0)
        self.assertIsNotNone(result["seconds"], "an engine never got the new version")
        self.assertGreater(result["answered"], 0)
        for entry in deployment.entries:
            status, body = callers.post(self.port(deployment, entry), "/v1/chat/completions",
                                        callers.chat_body(CARTLINE.model, "after the change", 2), KEY)
            self.assertEqual(status, 200, body)

    def test_holder_dies(self):
        """Guards against an endpoint that stays drained, and a rollout that stops, when its holder dies."""
        one_domain = dataclasses.replace(CARTLINE, regions=("kingston",))
        deployment = scenario.create(one_domain, build=BUILD)
        self.addCleanup(deployment.__exit__)
        scenario.start(deployment, one_domain, engines=3, entries=2, engine_options=version_change.ENGINE_OPTIONS)

        def log(entry):
            return deployment.processes[entry].output()

        def holder():
            return next((entry for entry in deployment.entries if "lease_acquired" in log(entry)), None)

        def drained(entry):
            return "drained=yes" in log(entry)

        wait_until(holder, 30, "an entry process holds the lease")
        version_change.submit_version(deployment)
        wait_until(lambda: all(drained(entry) for entry in deployment.entries), 30, "an endpoint is drained")
        dead = holder()
        deployment.processes[dead].signal(signal.SIGKILL)
        left = next(entry for entry in deployment.entries if entry != dead)
        wait_until(lambda: log(left).rfind("drained=no") > log(left).rfind("drained=yes"), 15,
                   "the drain ends without its holder")
        wait_until(lambda: all(version_change.loaded_version(deployment, name) == version_change.NEW_VERSION
                               for name in version_change.engines(deployment)), 90, "all engines are changed")
        status, body = callers.post(self.port(deployment, left), "/v1/chat/completions",
                                    callers.chat_body(CARTLINE.model, "after the change", 2), KEY)
        self.assertEqual(status, 200, body)


if __name__ == "__main__":
    unittest.main()
