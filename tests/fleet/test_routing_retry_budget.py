"""The budget of further attempts: no window holds more than the rule leaves to this edge."""

from __future__ import annotations

import random
import unittest

from rosechute.routing.retry_budget import RATIO_MARGIN, SLACK_MARGIN, RetryBudget


class RetryBudgetTest(unittest.TestCase):
    def test_slack_alone(self) -> None:
        budget = RetryBudget(0.2, 10.0, 60.0, 6)
        spent = 0
        while budget.allows_retry(1.0):
            budget.on_retry(1.0)
            spent += 1
        self.assertEqual(spent, int(SLACK_MARGIN * 60 / 6))
        self.assertFalse(budget.allows_retry(10.9))
        self.assertTrue(budget.allows_retry(11.6))

    def test_requests_allow_repeats(self) -> None:
        budget = RetryBudget(0.2, 10.0, 0.0, 6)
        self.assertFalse(budget.allows_retry(0.0))
        for number in range(100):
            budget.on_request(number * 0.01)
        self.assertTrue(budget.allows_retry(1.0))
        self.assertAlmostEqual(budget.allowed(1.0), RATIO_MARGIN * 0.2 * 100)
        self.assertEqual(budget.allowed(11.5), 0.0)

    def test_no_window_holds_more(self) -> None:
        for seed in range(60):
            draw = random.Random(seed)
            slack, edges = draw.choice([0.0, 12.0, 90.0]), draw.randrange(1, 7)
            budget = RetryBudget(0.2, 10.0, slack, edges)
            requests: list[float] = []
            repeats: list[float] = []
            now = 0.0
            for _ in range(600):
                now += draw.expovariate(draw.choice([5.0, 30.0]))
                if draw.random() < 0.6:
                    budget.on_request(now)
                    requests.append(now)
                elif budget.allows_retry(now):
                    budget.on_retry(now)
                    repeats.append(now)
            for at in repeats:
                asked = sum(at - 10.0 < when <= at for when in requests)
                sent = sum(at - 10.0 < when <= at for when in repeats)
                self.assertLessEqual(sent, RATIO_MARGIN * 0.2 * asked + SLACK_MARGIN * slack / edges)

    def test_the_rule_holds_in_every_window(self) -> None:
        """As the rule counts: a window's repeats against the requests of the best of it, the one before it and the
        one half a window before it; here for bursts of requests, which are the worst case."""
        for seed in range(60):
            draw = random.Random(seed)
            budget = RetryBudget(0.2, 10.0, 30.0, 1)
            requests: list[float] = []
            repeats: list[float] = []
            now = 0.0
            for _ in range(900):
                now += draw.expovariate(40.0 if int(now) % 8 < 2 else 3.0)
                if int(now) % 8 < 2 or draw.random() < 0.3:
                    budget.on_request(now)
                    requests.append(now)
                elif budget.allows_retry(now):
                    budget.on_retry(now)
                    repeats.append(now)
            for at in repeats:
                for end in (at, at + 2.5, at + 5.0, at + 9.9):
                    sent = sum(end - 10.0 < when <= end for when in repeats)
                    best = max(
                        sum(end - back - 10.0 < when <= end - back for when in requests) for back in (0.0, 5.0, 10.0)
                    )
                    self.assertLessEqual(sent, 0.2 * best + 30.0)


if __name__ == "__main__":
    unittest.main()
