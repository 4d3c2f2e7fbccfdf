"""P1, P2: streams outlive the loss of the engine that runs them."""

import signal
import unittest

import scenario
from system_test import SystemTest


class EndpointLoss(SystemTest):
    def assert_was_hit(self, deployment):
        """The fault must have met running streams; otherwise the test shows nothing."""
        logs = "".join(deployment.processes[entry].output() for entry in deployment.entries)
        moved = [line for line in logs.splitlines()
                 if ("request_moved" in line or "attempt_failed" in line) and "endpoint=engine-kingston" in line]
        self.assertTrue(moved, "no stream ran on an engine of kingston")

    def test_announced_reclaim(self):
        """P1: guards against answers that end when the instance leaves."""
        deployment = self.deploy(engines=2)
        streams = self.start_streams(deployment)
        deployment.reclaim(scenario.engines_of(deployment, "kingston"), 1500)
        self.assert_whole(streams)
        self.assert_was_hit(deployment)

    def test_killed_engine(self):
        """P2: guards against lost or repeated tokens after a crash without notice."""
        deployment = self.deploy(engines=2)
        streams = self.start_streams(deployment)
        deployment.processes["engine-kingston-1"].signal(signal.SIGKILL)
        deployment.processes["engine-kingston-2"].signal(signal.SIGKILL)
        self.assert_whole(streams)
        self.assert_was_hit(deployment)

    def test_frozen_engine(self):
        """P2: guards against lost or repeated tokens when a stalled engine answers late."""
        deployment = self.deploy(engines=2)
        streams = self.start_streams(deployment)
        engine = deployment.processes["engine-kingston-1"]
        engine.signal(signal.SIGSTOP)
        streams[0].join(5)
        engine.signal(signal.SIGCONT)
        self.assert_whole(streams)


if __name__ == "__main__":
    unittest.main()
