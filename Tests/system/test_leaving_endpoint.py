"""P5: a leaving endpoint receives no new work later than 2 s after the first sign."""

import json
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

    def test_no_new_work(self):
        """P5: guards against entry processes that go on trying a leaving endpoint."""
        deployment = self.deploy(engines=2)
        leaving = scenario.engines_of(deployment, "kingston")
        # The notice is long, so that the engines can still be asked what they received.
        deployment.reclaim(leaving, 30000)
        # The instance list of the stand-in lags by 1 s; the 2 s of P5 count from when the sign is visible.
        threading.Event().wait(3)
        before = self.received(deployment, leaving)
        for index, entry in enumerate(list(deployment.entries) * 4):
            status, body = callers.post(self.port(deployment, entry), "/v1/chat/completions",
                                        callers.chat_body(CARTLINE.model, f"hello {index}", 2), KEY)
            self.assertEqual(status, 200, body)
        self.assertEqual(self.received(deployment, leaving), before)


if __name__ == "__main__":
    unittest.main()
