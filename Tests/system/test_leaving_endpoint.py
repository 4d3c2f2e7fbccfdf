"""P5: a leaving endpoint receives no new work later than 2 s after the first sign."""

import json
import signal
import threading
import unittest

import callers
import scenario
from deployment import http
from scenario import CARTLINE
from system_test import KEY, SystemTest


class LeavingEndpoint(SystemTest):
    def received(self, deployment, engines):
        """Streams that the engines admitted or refused."""
        stats = [json.loads(http("GET", deployment.endpoints[name], "/stats")[1]) for name in engines]
        return [(each["admitted"], each["refused"]) for each in stats]

    def assert_no_new_work(self, deployment, leaving, entries):
        before = self.received(deployment, leaving)
        for index, entry in enumerate(list(entries) * 4):
            status, body = callers.post(self.port(deployment, entry), "/v1/chat/completions",
                                        callers.chat_body(CARTLINE.model, f"hello {index}", 2), KEY)
            self.assertEqual(status, 200, body)
        self.assertEqual(self.received(deployment, leaving), before)

    def reclaim(self, deployment):
        """Announces a reclaim and returns the engines when P5 must hold."""
        leaving = scenario.engines_of(deployment, "kingston")
        # The notice is long, so that the engines can still be asked what they received.
        deployment.reclaim(leaving, 60000)
        # The instance list of the stand-in lags by 1 s; the 2 s of P5 count from when the sign is visible.
        threading.Event().wait(3)
        return leaving

    def test_no_new_work(self):
        """P5: guards against entry processes that go on trying a leaving endpoint."""
        deployment = self.deploy(engines=2)
        self.assert_no_new_work(deployment, self.reclaim(deployment), deployment.entries)

    def test_one_process_cut_from_platform(self):
        """P5: guards against a process that only learns of a reclaim from the platform."""
        deployment = self.deploy(engines=2, entries=2)
        cut = next(each for each in scenario.entries_of(deployment, "kingston")
                   if each != scenario.lease_holder(deployment, "kingston"))
        self.faults(deployment, reject_sources=[cut])
        self.assert_no_new_work(deployment, self.reclaim(deployment), scenario.entries_of(deployment, "kingston"))

    def test_failure_domain_cut_from_peers(self):
        """P5: guards against a process that learns of a reclaim only from the lease holder."""
        deployment = self.deploy(engines=2, entries=2, relay=True)
        entries = scenario.entries_of(deployment, "kingston")
        deployment.relay.isolate(entries)
        self.assert_no_new_work(deployment, self.reclaim(deployment), entries)

    def lose_holder(self, loss):
        """Loses the lease holder, then reclaims. Returns the deployment, the holder and the leaving engines."""
        deployment = self.deploy(engines=2, entries=2)
        holder = scenario.lease_holder(deployment, "kingston")
        deployment.processes[holder].signal(loss)
        leaving = self.reclaim(deployment)
        self.assert_no_new_work(deployment, leaving, [each for each in deployment.entries if each != holder])
        return deployment, holder, leaving

    def test_lease_holder_killed(self):
        """P5: guards against a failure domain in which only the lease holder learns of a reclaim."""
        self.lose_holder(signal.SIGKILL)

    def test_lease_holder_frozen(self):
        """P5: as above; the frozen process has 2 s from when it runs again."""
        deployment, holder, leaving = self.lose_holder(signal.SIGSTOP)
        deployment.processes[holder].signal(signal.SIGCONT)
        threading.Event().wait(2)
        self.assert_no_new_work(deployment, leaving, [holder])

    def test_failure_domain_cut_from_platform(self):
        """P5: guards against a refusal by the endpoint that only the process that met it acts on."""
        deployment = self.deploy(engines=2, entries=3)
        entries = scenario.entries_of(deployment, "kingston")
        self.faults(deployment, reject_sources=entries)
        leaving = scenario.engines_of(deployment, "kingston")[:1]
        http("POST", deployment.endpoints[leaving[0]], "/faults", {"leave_in_ms": 60000})
        before = self.received(deployment, leaving)
        for index in range(40):
            callers.post(self.port(deployment, entries[0]), "/v1/chat/completions",
                         callers.chat_body(CARTLINE.model, f"search {index}", 2), KEY)
            if self.received(deployment, leaving) != before:
                break
        self.assertNotEqual(self.received(deployment, leaving), before, "the endpoint was never tried")
        threading.Event().wait(2)
        self.assert_no_new_work(deployment, leaving, entries)


if __name__ == "__main__":
    unittest.main()
