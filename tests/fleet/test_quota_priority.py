"""Tokens of a quota that is short go to the most urgent requests first, and none starves."""

from __future__ import annotations

import random
import unittest

from rosechute.routing.token_cache import TokenCache
from rosechute.routing.token_cache_policy import LOW_PRIORITY_SHARE, MAX_WAIT_S
from rosechute.routing.token_exchange import TokenIssue, TokenRequest
from rosechute.routing.waiting_queue import Decision

URGENT, USUAL, LAST = 0, 1, 2


class TokenCacheTest(unittest.TestCase):
    """One edge; the leader's answers are given by hand."""

    def setUp(self) -> None:
        self.cache = TokenCache()
        self.served: list[str] = []
        self.refused: list[str] = []
        self.number = 0

    def carry_out(self, decisions: list[Decision]) -> None:
        for each in decisions:
            each.on_decision(each.allowed, each.retry_after_s)

    def spend(self, now: float, name: str, tokens: int, priority: int) -> None:
        def decided(allowed: bool, retry_s: float) -> None:
            (self.served if allowed else self.refused).append(name)

        self.carry_out(self.cache.acquire(now, "t", tokens, decided, priority))

    def request_tokens(self, now: float) -> list[TokenRequest]:
        self.number += 1
        return self.cache.next_token_requests(now, self.number)

    def issue(self, now: float, tokens: int) -> None:
        self.carry_out(self.cache.on_tokens_issued(now, self.number, [TokenIssue("t", tokens, 0.4, 0.0)]))

    def test_the_most_urgent_first_then_the_first_come(self) -> None:
        for name, priority in (("a", LAST), ("b", USUAL), ("c", URGENT), ("d", URGENT)):
            self.spend(0.0, name, 100, priority)
        self.request_tokens(0.0)
        self.issue(0.01, 300)
        self.assertEqual(self.served, ["c", "d", "b"])

    def test_the_leader_is_asked_for_what_is_served_next(self) -> None:
        self.spend(0.0, "large", 900, LAST)
        self.spend(0.0, "urgent", 200, URGENT)
        (ask,) = self.request_tokens(0.0)
        self.assertEqual((ask.minimum, ask.tokens >= 1_100), (200, True))

    def test_one_that_is_more_urgent_than_all_that_wait_takes_what_is_held(self) -> None:
        self.spend(0.0, "large", 900, USUAL)
        self.request_tokens(0.0)
        self.issue(0.01, 500)
        self.spend(0.02, "less", 100, LAST)
        self.spend(0.02, "same", 100, USUAL)
        self.spend(0.02, "more", 100, URGENT)
        self.assertEqual(self.served, ["more"])

    def test_each_waits_no_longer_than_before(self) -> None:
        for name, priority in (("last", LAST), ("urgent", URGENT)):
            self.spend(0.0, name, 100, priority)
        self.request_tokens(0.0)
        self.issue(0.001, 0)
        self.carry_out(self.cache.tick(MAX_WAIT_S + 0.01, None))
        self.assertEqual(sorted(self.refused), ["last", "urgent"])

    def test_what_would_come_too_late_behind_more_urgent_ones_is_refused_at_once(self) -> None:
        self.spend(0.0, "urgent", 500, URGENT)
        self.request_tokens(0.0)
        self.carry_out(self.cache.on_tokens_issued(0.001, self.number, [TokenIssue("t", 0, 0.4, 5.0)]))
        self.assertEqual(self.refused, ["urgent"])
        self.spend(0.002, "last", 500, LAST)
        self.assertEqual(self.refused, ["urgent", "last"])

    def test_none_starves_while_more_urgent_ones_press(self) -> None:
        draw, now, asked = random.Random(5), 0.0, {URGENT: 0, LAST: 0}
        served = {URGENT: 0, LAST: 0}

        def arrive(priority: int, tokens: int) -> None:
            asked[priority] += tokens

            def decided(allowed: bool, retry_s: float) -> None:
                served[priority] += tokens * allowed

            self.carry_out(self.cache.acquire(now, "t", tokens, decided, priority))

        for _ in range(3_000):
            now += 0.01
            arrive(URGENT, draw.choice((100, 300)))
            arrive(LAST, draw.choice((100, 300)))
            if self.request_tokens(now):
                self.issue(now, 100)
            self.carry_out(self.cache.tick(now, None))
        self.assertGreater(served[URGENT], 4 * served[LAST])
        self.assertGreater(served[LAST], 0.5 * LOW_PRIORITY_SHARE * served[URGENT])

    def test_plenty_is_spent_in_the_order_of_coming(self) -> None:
        self.spend(0.0, "a", 10, LAST)
        self.request_tokens(0.0)
        self.issue(0.01, 1_000)
        for name, priority in (("b", LAST), ("c", URGENT), ("d", USUAL)):
            self.spend(0.02, name, 10, priority)
        self.assertEqual(self.served, ["a", "b", "c", "d"])


if __name__ == "__main__":
    unittest.main()
