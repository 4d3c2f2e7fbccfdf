"""Readiness of an entry process."""

import time
import unittest

from deployment import Deployment, http, wait_until
from scenario import CARTLINE
from system_test import BUILD


class Readiness(unittest.TestCase):
    def test_process_without_endpoints_is_not_ready(self):
        """Guards against a process that the balancer uses although it would refuse every request: a sheet is in
        force, but the instance list has not been read."""
        with Deployment(build=BUILD, regions=("kingston",)) as deployment:
            deployment.start_platform()
            deployment.start_engine("engine-kingston-1", "kingston", CARTLINE.model, CARTLINE.version)
            self.assertEqual(deployment.submit().returncode, 0)
            http("POST", deployment.platform_port, "/faults", {"instances": "down"})
            deployment.start_entry("entry-kingston-1", "kingston", register=False)
            entry = deployment.processes["entry-kingston-1"]
            wait_until(lambda: "sheet_in_force" in entry.output(), 20, "the sheet is in force")
            # Several polls of the instance list fail in this time; the verdict does not depend on how many.
            end = time.monotonic() + 2
            while time.monotonic() < end:
                self.assertFalse(deployment.ready("entry-kingston-1"))
                time.sleep(0.1)
            http("POST", deployment.platform_port, "/faults", {"instances": "up"})
            wait_until(lambda: deployment.ready("entry-kingston-1"), 20, "the process is ready")

    def test_start_without_platform(self):
        """Guards against a process that cannot join while the platform is away, although a peer has all it needs:
        the seed of its settings gives it the members, the sheet and the instance list."""
        with Deployment(build=BUILD, regions=("kingston",)) as deployment:
            deployment.start_platform()
            deployment.start_engine("engine-kingston-1", "kingston", CARTLINE.model, CARTLINE.version)
            self.assertEqual(deployment.submit().returncode, 0)
            deployment.start_entry("entry-kingston-1", "kingston")
            wait_until(lambda: deployment.ready("entry-kingston-1"), 20, "the first process is ready")
            http("POST", deployment.platform_port, "/faults", {"instances": "down", "table": "down"})
            seed = f"127.0.0.1:{deployment.entries['entry-kingston-1']['ports'][1]}"
            deployment.start_entry("entry-kingston-2", "kingston", register=False, seeds=[seed])
            wait_until(lambda: deployment.ready("entry-kingston-2"), 30, "the second process is ready")


if __name__ == "__main__":
    unittest.main()
