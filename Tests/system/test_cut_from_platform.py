"""P7 under faults. Entry processes cut from the platform serve what they can and get the newest sheet from peers."""

import signal
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

    def assert_serves_without_platform(self, deployment, cut, through_peers=False):
        """P1, P2: streams are served whole. P3, P4: what is refused as `not_run` does not run, and a call whose claim a
        peer has committed runs once."""
        self.assert_whole(self.start_streams(deployment, cut, 2 * len(cut)))
        runs = {}
        for entry in cut:
            status, body = self.order(deployment, entry, f"cut-{entry}")
            runs[entry] = 1 if through_peers and status == 200 else 0
            if runs[entry] == 0:
                self.assertEqual(body["error"]["outcome"], "not_run", f"{status} {body}")
        time.sleep(1)
        for entry in cut:
            self.assertEqual(self.executions(deployment, f"cut-{entry}"), runs[entry])

    def test_one_process_of_each_failure_domain(self):
        """Guards against a process that does not ask the peers of its failure domain."""
        deployment = self.deploy(entries=3)
        cut = [scenario.entries_of(deployment, region)[0] for region in deployment.regions]
        self.faults(deployment, reject_sources=cut)
        self.assert_serves_without_platform(deployment, cut, through_peers=True)
        self.assert_sheet_spreads(deployment)

    def test_cut_from_peers(self):
        """P7: guards against a process that gets new sheets from peers only."""
        deployment = self.deploy(relay=True, entries=2)
        deployment.relay.isolate(deployment.entries)
        self.assert_sheet_spreads(deployment)

    def test_process_killed_and_frozen(self):
        """P7: guards against processes that wait for a peer that does not answer. A frozen process is not reachable;
        it has the 5 s from when it runs again, and goes on from its older sheet."""
        deployment = self.deploy(entries=3)
        first, second, cut = scenario.entries_of(deployment, REGION)
        self.faults(deployment, reject_sources=[cut])
        deployment.processes[first].signal(signal.SIGKILL)
        deployment.processes[second].signal(signal.SIGSTOP)
        del deployment.entries[first]
        frozen = deployment.entries.pop(second)
        self.assert_sheet_spreads(deployment)
        deployment.entries[second] = frozen
        deployment.processes[second].signal(signal.SIGCONT)
        wait_until(lambda: set(self.versions(deployment)) == {2}, 5, "version 2 is in force at the frozen process")

    def test_failure_domain(self):
        """Guards against a failure domain that stays with its sheet while other domains have a newer one."""
        deployment = self.deploy(entries=3)
        cut = scenario.entries_of(deployment, REGION)
        self.faults(deployment, reject_sources=cut)
        self.assert_serves_without_platform(deployment, cut)
        self.assert_sheet_spreads(deployment)


if __name__ == "__main__":
    unittest.main()
