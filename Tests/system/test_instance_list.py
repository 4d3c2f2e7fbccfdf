"""The instance list that one process of a failure domain reads for the others."""

import signal
import unittest

import scenario
from deployment import http, wait_until
from system_test import SystemTest


class InstanceList(SystemTest):
    def readers(self, deployment, entries):
        return [name for name in entries if deployment.status(name)["reads_instance_list"]]

    def deploy_with_reader(self):
        """Three entry processes in each failure domain. Returns the reader of kingston and the others there."""
        deployment = self.deploy(engines=2, entries=3)
        entries = [name for name in deployment.entries if "kingston" in name]
        wait_until(lambda: len(self.readers(deployment, entries)) == 1, 30, "one process reads the list")
        reader = self.readers(deployment, entries)[0]
        return deployment, reader, [name for name in entries if name != reader]

    def check_without_reader(self, fault):
        deployment, reader, others = self.deploy_with_reader()
        leaving = scenario.engines_of(deployment, "kingston")[0]
        deployment.processes[reader].signal(fault)
        # Only the instance list shows it: no notice of the cloud API, no refusal of the endpoint.
        status, text = http("POST", deployment.platform_port, f"/instances/{leaving}/leave", {"in_ms": 60000})
        self.assertEqual(status, 200, text)
        for name in others:
            output = deployment.processes[name].output
            wait_until(lambda each=output: f"endpoint_leaving endpoint={leaving}" in each(), 20,
                       f"{name} knows that {leaving} leaves")
            # The others must not have waited for the verdict about the reader, which takes over 6 s.
            before = output().split(f"endpoint_leaving endpoint={leaving}")[0]
            self.assertNotIn(f"peer_dead peer={reader}", before)
        return deployment, reader, leaving

    def test_reader_killed(self):
        """P5: guards against processes that hear of no leaving endpoint while nobody reads the list."""
        self.check_without_reader(signal.SIGKILL)

    def test_reader_frozen(self):
        """P5: as above, with a reader that stays a member; it learns the change when it runs again."""
        deployment, reader, leaving = self.check_without_reader(signal.SIGSTOP)
        deployment.processes[reader].signal(signal.SIGCONT)
        output = deployment.processes[reader].output
        wait_until(lambda: f"endpoint_leaving endpoint={leaving}" in output(), 20, "the reader knows it too")


if __name__ == "__main__":
    unittest.main()
