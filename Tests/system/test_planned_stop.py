"""P6: a planned stop of an entry process interrupts no request."""

import signal
import unittest

from system_test import SystemTest


class PlannedStop(SystemTest):
    def test_stop_during_streams(self):
        """P6: guards against a stop that cuts answers or never ends."""
        deployment = self.deploy()
        streams = self.start_streams(deployment, ["entry-kingston-1"], 6)
        process = deployment.processes["entry-kingston-1"]
        process.signal(signal.SIGTERM)
        self.assert_whole(streams)
        self.assertEqual(process.handle.wait(30), 0)


if __name__ == "__main__":
    unittest.main()
