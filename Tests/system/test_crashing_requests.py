"""P8: a request that crashes engines is stopped in its whole failure domain, and its neighbours are whole."""

import dataclasses
import signal
import time
import unittest

import callers
import scenario
from deployment import wait_until
from scenario import CARTLINE
from system_test import BUILD, KEY, SLOW_ENGINE, SystemTest

# The engine stand-in aborts on this word.
POISON = "please POISON the engine"
# A refusal that needs no engine takes milliseconds; a retry on another engine takes longer than this.
AT_ONCE_SECONDS = 1.0
ENTRIES = ["entry-kingston-1", "entry-kingston-2", "entry-kingston-3"]


class CrashingRequests(SystemTest):
    def deploy(self, **options):
        """One failure domain, so that every engine that dies is one of its engines."""
        kingston = dataclasses.replace(CARTLINE, regions=("kingston",))
        deployment = scenario.create(kingston, build=BUILD)
        self.addCleanup(deployment.__exit__)
        scenario.start(deployment, kingston, engines=6, entries=3, engine_options=SLOW_ENGINE, **options)
        # Readiness does not promise this: the instance list that names the peers lags.
        for entry in ENTRIES:
            wait_until(lambda each=entry: self.knows_peers(deployment, each), 20, f"{entry} knows its peers")
        return deployment

    def knows_peers(self, deployment, entry):
        output = deployment.processes[entry].output()
        return all(f"peer_alive peer={peer}" in output for peer in ENTRIES if peer != entry)

    def deaths(self, deployment):
        return [name for name in scenario.engines_of(deployment, "kingston")
                if not deployment.processes[name].running()]

    def send_poison(self, deployment, entry, content=POISON, timeout=30):
        """Returns the status, the error and the seconds until the answer."""
        start = time.monotonic()
        status, body = callers.post(self.port(deployment, entry), "/v1/chat/completions",
                                    callers.chat_body(CARTLINE.model, content, 8), KEY, timeout=timeout)
        return status, body.get("error", {}), time.monotonic() - start

    def assert_refused_at_once(self, deployment, entry):
        status, error, seconds = self.send_poison(deployment, entry)
        self.assertEqual((status, error.get("type"), error.get("outcome")), (422, "quarantined", "not_run"), entry)
        self.assertLess(seconds, AT_ONCE_SECONDS, entry)

    def test_resend_through_other_entries(self):
        """Guards against entry processes that each lose two engines to one request."""
        deployment = self.deploy()
        status, error, _ = self.send_poison(deployment, ENTRIES[0])
        self.assertEqual((status, error.get("type")), (422, "quarantined"))
        for entry in (ENTRIES[1], ENTRIES[2], ENTRIES[0]):
            self.assert_refused_at_once(deployment, entry)
        self.assertEqual(len(self.deaths(deployment)), 2, self.deaths(deployment))

    def test_neighbours(self):
        """Guards against streams that are cut, or quarantined themselves, because they ran beside the request:
        a neighbour that another entry process runs next to the isolated request would be hit twice."""
        deployment = self.deploy()
        streams = self.start_streams(deployment, count=18)
        status, error, _ = self.send_poison(deployment, ENTRIES[0])
        self.assertEqual((status, error.get("type")), (422, "quarantined"))
        for entry in (ENTRIES[1], ENTRIES[2], ENTRIES[0]):
            self.assert_refused_at_once(deployment, entry)
        self.assert_whole(streams)
        self.assertEqual(len(self.deaths(deployment)), 2, self.deaths(deployment))

    def test_restarted_entries(self):
        """Guards against a quarantine that ends when the process that found it, or any other, restarts."""
        deployment = self.deploy()
        status, error, _ = self.send_poison(deployment, ENTRIES[0])
        self.assertEqual((status, error.get("type")), (422, "quarantined"))
        for entry in ENTRIES:
            process = deployment.processes[entry]
            process.signal(signal.SIGKILL)
            process.stop()
            deployment.start_entry(entry, "kingston")
            wait_until(lambda each=entry: deployment.ready(each), 20, f"{entry} is ready again")
            self.assert_refused_at_once(deployment, entry)
        self.assertEqual(len(self.deaths(deployment)), 2, self.deaths(deployment))


if __name__ == "__main__":
    unittest.main()
