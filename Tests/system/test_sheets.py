"""P7: exactly one operator wins, and the accepted sheet is in force everywhere within 5 s."""

import pathlib
import unittest
from concurrent.futures import ThreadPoolExecutor

from deployment import http, wait_until
from system_test import SystemTest


class Sheets(SystemTest):
    def changed_sheet(self, deployment, share):
        path = pathlib.Path(deployment.directory) / f"share-{share}.csv"
        path.write_text(deployment.sheet.read_text().replace(",4,,,,,", f",{share},,,,,"))
        return path

    def versions(self, deployment):
        return [deployment.status(name)["sheet_version"] for name in deployment.entries]

    def test_two_operators(self):
        """P7: guards against two accepted sheets of the same base, and against slow propagation."""
        deployment = self.deploy(entries=3)
        sheets = [self.changed_sheet(deployment, share) for share in (5, 6)]
        with ThreadPoolExecutor() as pool:
            results = list(pool.map(lambda path: deployment.submit(path, "--base", "1"), sheets))
        self.assertEqual(sorted(each.returncode for each in results), [0, 4], results)
        wait_until(lambda: set(self.versions(deployment)) == {2}, 5, "version 2 is in force everywhere")

    def test_older_version_in_the_table(self):
        """P7: guards against a process that follows the table back to an older sheet."""
        deployment = self.deploy()
        self.assertEqual(deployment.submit(self.changed_sheet(deployment, 5)).returncode, 0)
        wait_until(lambda: set(self.versions(deployment)) == {2}, 5, "version 2 is in force everywhere")
        row = http("GET", deployment.platform_port, "/table/row?key=sheet/current")
        self.assertEqual(row[0], 200, row[1])
        status, text = http("POST", deployment.platform_port, "/table/commit", {"writes": [
            {"key": "sheet/current", "value": "1", "require_version": 2}]})
        self.assertEqual(status, 200, text)
        # The poll period is 2 s with jitter; each process has polled at least once in 5 s.
        with self.assertRaises(Exception):
            wait_until(lambda: min(self.versions(deployment)) < 2, 5, "a process reverted")


if __name__ == "__main__":
    unittest.main()
