"""Entry processes cut from the platform serve what they can and get the newest sheet from peers."""

import time
import unittest

import scenario
from deployment import wait_until
from system_test import SystemTest

REGION = "kingston"


class CutFromPlatform(SystemTest):
    def assert_sheet_spreads(self, deployment):
        """P7: an accepted sheet is in force at every entry process within 5 s."""
        result = deployment.submit(self.changed_sheet(deployment, 5))
        accepted = time.monotonic()
        self.assertEqual(result.returncode, 0, result)
        wait_until(lambda: set(self.versions(deployment)) == {2}, 5, "version 2 is in force everywhere")
        print(f"{self.id()}: in force everywhere after {time.monotonic() - accepted:.2f} s")

    def assert_serves_without_platform(self, deployment, cut):
        """P1, P2: streams are served whole. P3: what is refused as `not_run` does not run."""
        self.assert_whole(self.start_streams(deployment, cut, 2 * len(cut)))
        for entry in cut:
            status, body = self.order(deployment, entry, f"cut-{entry}")
            self.assertEqual(body["error"]["outcome"], "not_run", f"{status} {body}")
        time.sleep(1)
        for entry in cut:
            self.assertEqual(self.executions(deployment, f"cut-{entry}"), 0)

    def test_one_process_of_each_failure_domain(self):
        """Guards against a process that does not ask the peers of its failure domain."""
        deployment = self.deploy(entries=3)
        cut = [scenario.entries_of(deployment, region)[0] for region in deployment.regions]
        self.faults(deployment, reject_sources=cut)
        self.assert_serves_without_platform(deployment, cut)
        self.assert_sheet_spreads(deployment)

    def test_failure_domain(self):
        """Guards against a failure domain that stays with its sheet while other domains have a newer one."""
        deployment = self.deploy(entries=3)
        cut = scenario.entries_of(deployment, REGION)
        self.faults(deployment, reject_sources=cut)
        self.assert_serves_without_platform(deployment, cut)
        self.assert_sheet_spreads(deployment)


if __name__ == "__main__":
    unittest.main()
