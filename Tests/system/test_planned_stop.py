"""P6: a planned stop of an entry process interrupts no request."""

import signal
import unittest

from deployment import http, wait_until
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

    def test_lease_released(self):
        """Guards against a stop that ends before the release of the lease is written; orders then pause until the
        lease has run out."""
        deployment = self.deploy()
        process = deployment.processes["entry-kingston-1"]
        wait_until(lambda: "lease_acquired" in process.output(), 30, "the process holds the lease")
        process.signal(signal.SIGTERM)
        self.assertEqual(process.handle.wait(30), 0)
        status, text = http("GET", deployment.platform_port, "/table/row?key=lease%2Fkingston-a")
        self.assertEqual(status, 200, text)
        self.assertNotIn("entry-kingston-1", text)


if __name__ == "__main__":
    unittest.main()
