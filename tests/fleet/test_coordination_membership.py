"""Random days of losses, repairs and planned ends, one right after the other; see `simulation/membership.py`."""

from __future__ import annotations

import unittest

from tests.fleet.simulation.membership import MembershipDay

SEEDS = 20


class MembershipDays(unittest.TestCase):
    def test_days(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                MembershipDay(seed).play()


if __name__ == "__main__":
    unittest.main()
