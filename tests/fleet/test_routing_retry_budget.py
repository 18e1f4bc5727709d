"""Tests of the retry budget: no window contains more retries than the limit of this edge."""

from __future__ import annotations

import random
import unittest

from rosechute.routing.retry_budget import RATIO_MARGIN, SLACK_MARGIN, RetryBudget


class RetryBudgetTest(unittest.TestCase):
    def test_slack_alone(self) -> None:
        budget = RetryBudget(0.2, 10.0, 60.0, 6)
        used = 0
        while budget.allows_retry(1.0):
            budget.on_retry(1.0)
            used += 1
        self.assertEqual(used, int(SLACK_MARGIN * 60 / 6))
        self.assertFalse(budget.allows_retry(10.9))
        self.assertTrue(budget.allows_retry(11.6))

    def test_requests_allow_retries(self) -> None:
        budget = RetryBudget(0.2, 10.0, 0.0, 6)
        self.assertFalse(budget.allows_retry(0.0))
        for number in range(100):
            budget.on_request(number * 0.01)
        self.assertTrue(budget.allows_retry(1.0))
        self.assertAlmostEqual(budget.allowed(1.0), RATIO_MARGIN * 0.2 * 100)
        self.assertEqual(budget.allowed(11.5), 0.0)

    def test_no_window_exceeds_the_limit(self) -> None:
        for seed in range(60):
            rng = random.Random(seed)
            slack, edges = rng.choice([0.0, 12.0, 90.0]), rng.randrange(1, 7)
            budget = RetryBudget(0.2, 10.0, slack, edges)
            requests: list[float] = []
            retries: list[float] = []
            now = 0.0
            for _ in range(600):
                now += rng.expovariate(rng.choice([5.0, 30.0]))
                if rng.random() < 0.6:
                    budget.on_request(now)
                    requests.append(now)
                elif budget.allows_retry(now):
                    budget.on_retry(now)
                    retries.append(now)
            for sent_at in retries:
                request_count = sum(sent_at - 10.0 < time <= sent_at for time in requests)
                retry_count = sum(sent_at - 10.0 < time <= sent_at for time in retries)
                self.assertLessEqual(retry_count, RATIO_MARGIN * 0.2 * request_count + SLACK_MARGIN * slack / edges)

    def test_the_operators_limit_holds_in_every_window(self) -> None:
        """Check the limit as the operator counts it, with bursts of requests, which are the worst case.

        The retries of a window are compared with the largest number of requests in that window, the one half a window
        earlier and the one a whole window earlier.
        """
        for seed in range(60):
            rng = random.Random(seed)
            budget = RetryBudget(0.2, 10.0, 30.0, 1)
            requests: list[float] = []
            retries: list[float] = []
            now = 0.0
            for _ in range(900):
                now += rng.expovariate(40.0 if int(now) % 8 < 2 else 3.0)
                if int(now) % 8 < 2 or rng.random() < 0.3:
                    budget.on_request(now)
                    requests.append(now)
                elif budget.allows_retry(now):
                    budget.on_retry(now)
                    retries.append(now)
            for sent_at in retries:
                for end in (sent_at, sent_at + 2.5, sent_at + 5.0, sent_at + 9.9):
                    retry_count = sum(end - 10.0 < time <= end for time in retries)
                    max_requests = max(
                        sum(end - offset_s - 10.0 < time <= end - offset_s for time in requests)
                        for offset_s in (0.0, 5.0, 10.0)
                    )
                    self.assertLessEqual(retry_count, 0.2 * max_requests + 30.0)


if __name__ == "__main__":
    unittest.main()
