"""The compact capacity that failure domains tell each other."""

import unittest

from deployment import wait_until
from scenario import CARTLINE
from system_test import SystemTest


class DomainSummaries(SystemTest):
    def test_capacity_of_other_domains(self):
        """Guards against entry processes that exchange no summaries, or wrong ones."""
        deployment = self.deploy(engines=2)

        def known(entry):
            return {row["failure_domain"]: (row["model"], row["version"], row["healthy"], row["free_slots"])
                    for row in deployment.status(entry)["domain_summaries"]}

        expected = (CARTLINE.model, CARTLINE.version, 2, 32)
        others = {"montego-a": expected, "ocho-a": expected}
        wait_until(lambda: known("entry-kingston-1") == others, 60, "kingston knows the other failure domains")


if __name__ == "__main__":
    unittest.main()
