"""The reserve of quota tokens that bridges the time without a leader."""

from __future__ import annotations

import random
import unittest

from rosechute.routing.quota_reserve import RESERVE_SHARE, QuotaReserve, ReserveTerms

TERMS = ReserveTerms(8.0, 0.1, 100_000.0, 6)
BEYOND = 0.1 * (80_000 * 8 + 80_000) + 100_000


def make(started: float = -100.0) -> QuotaReserve:
    reserve = QuotaReserve(started)
    reserve.apply_terms(TERMS)
    reserve.apply_limits({"t": (80_000.0, 80_000.0)})
    return reserve


class ReserveTest(unittest.TestCase):
    def test_part_of_an_edge(self) -> None:
        self.assertAlmostEqual(make().most("t"), RESERVE_SHARE * BEYOND / 6)

    def test_nothing_before_terms_and_for_tenants_without_a_limit(self) -> None:
        reserve = QuotaReserve(-100.0)
        reserve.apply_limits({"t": (80_000.0, 80_000.0)})
        self.assertFalse(reserve.spend(0.0, "t", 1))
        self.assertFalse(make().spend(0.0, "other", 1))

    def test_nothing_in_the_first_window_of_a_process(self) -> None:
        reserve = make(started=10.0)
        self.assertFalse(reserve.spend(17.9, "t", 1))
        self.assertTrue(reserve.spend(18.0, "t", 1))

    def test_it_is_back_after_a_window(self) -> None:
        reserve = make()
        self.assertTrue(reserve.spend(0.0, "t", int(reserve.most("t"))))
        self.assertFalse(reserve.spend(7.9, "t", 100))
        self.assertTrue(reserve.spend(8.0, "t", 100))

    def test_no_window_sees_more_than_the_part(self) -> None:
        total = 0
        for seed in range(60):
            draw = random.Random(seed)
            reserve, now = make(), 0.0
            spent: list[tuple[float, int]] = []
            for _ in range(300):
                now += draw.expovariate(10.0)
                tokens = draw.randrange(1, 6_000)
                if draw.random() < 0.02:
                    reserve.apply_limits({} if draw.random() < 0.5 else {"t": (80_000.0, 80_000.0)})
                if reserve.spend(now, "t", tokens):
                    spent.append((now, tokens))
            for at, _ in spent:
                within = sum(tokens for when, tokens in spent if at - 8.0 < when <= at)
                self.assertLessEqual(within, RESERVE_SHARE * BEYOND / 6)
            total += len(spent)
        self.assertGreater(total, 100)


if __name__ == "__main__":
    unittest.main()
