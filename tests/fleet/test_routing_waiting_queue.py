"""Tests of the priority queue of requests that wait for tokens, and of its deficit counter."""

from __future__ import annotations

import unittest

from rosechute.routing.token_cache_policy import LOW_PRIORITY_SHARE, MAX_DEFICIT_REQUESTS
from rosechute.routing.waiting_queue import WaitingQueue

HIGH, MIDDLE, LOW = 0, 1, 2


def ignore(allowed: bool, retry_after_s: float) -> None:
    """Callback of requests whose decisions do not matter."""


class WaitingQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = WaitingQueue()

    def add(self, *requests: tuple[int, int]) -> None:
        """Add requests of (tokens, priority) in this order."""
        for tokens, priority in requests:
            self.queue.add(tokens, 0.0, ignore, priority)

    def waiting(self) -> list[int]:
        return [request.tokens for request in self.queue]

    def test_by_priority_and_then_by_arrival(self) -> None:
        self.add((1, LOW), (2, HIGH), (3, MIDDLE), (4, HIGH))
        self.assertEqual(self.waiting(), [2, 4, 3, 1])
        self.assertEqual((self.queue.next_request().tokens, self.queue.oldest().tokens), (2, 1))

    def test_tokens_ahead_are_those_of_the_same_and_of_higher_priorities(self) -> None:
        self.add((1, LOW), (20, HIGH), (300, MIDDLE))
        ahead = [self.queue.tokens_ahead_of(priority) for priority in (HIGH, MIDDLE, LOW)]
        self.assertEqual(ahead, [20, 320, 321])

    def test_the_oldest_of_lower_priorities_is_served_before_its_turn_once_the_credit_covers_it(self) -> None:
        self.add((50, LOW), (10, MIDDLE), (40, HIGH))
        self.queue.on_tokens_used(499, HIGH)
        self.assertEqual(self.queue.next_request().tokens, 40)
        self.queue.on_tokens_used(1, HIGH)
        self.assertEqual(self.queue.next_request().tokens, 50)
        self.assertEqual(self.queue.tokens_ahead_of(HIGH), 90)

    def test_a_request_served_before_its_turn_is_debited(self) -> None:
        self.add((50, LOW), (50, LOW), (40, HIGH))
        self.queue.on_tokens_used(500, HIGH)
        self.queue.serve(self.queue.next_request())
        self.assertEqual((self.waiting(), self.queue.next_request().tokens), ([40, 50], 40))

    def test_a_request_served_in_its_turn_is_not_debited_and_credits_others(self) -> None:
        self.add((50, LOW), (500, HIGH), (40, HIGH))
        self.queue.serve(self.queue.next_request())
        self.assertEqual(self.queue.next_request().tokens, 50)

    def test_a_cancelled_request_neither_debits_nor_credits(self) -> None:
        self.add((50, LOW), (50, LOW), (40, HIGH))
        self.queue.on_tokens_used(500, HIGH)
        self.queue.cancel(self.queue.next_request())
        self.assertEqual((self.waiting(), self.queue.next_request().tokens), ([40, 50], 50))

    def test_without_waiting_requests_of_lower_priority_nothing_is_credited(self) -> None:
        self.queue.on_tokens_used(10_000, HIGH)
        self.add((50, MIDDLE))
        self.queue.on_tokens_used(10_000, MIDDLE)
        self.queue.on_tokens_used(10_000, LOW)
        self.add((1, LOW))
        self.assertEqual(self.queue.tokens_ahead_of(MIDDLE), 50)

    def test_the_credit_is_bounded_by_the_largest_request(self) -> None:
        self.add((200, LOW), (100, LOW), (100, LOW), (100, LOW), (1, HIGH))
        self.queue.on_tokens_used(round(1_000_000 / LOW_PRIORITY_SHARE), HIGH)
        served = 0
        while self.queue.next_request().priority == LOW:
            served += self.queue.next_request().tokens
            self.queue.serve(self.queue.next_request())
        self.assertEqual(served, MAX_DEFICIT_REQUESTS * 200)

    def test_credit_is_not_for_requests_of_the_same_priority(self) -> None:
        self.add((10, HIGH), (50, LOW), (40, HIGH))
        self.queue.on_tokens_used(500, HIGH)
        self.assertEqual(self.queue.next_request().tokens, 50)

    def test_retained_requests_wait_on(self) -> None:
        self.add((1, LOW), (2, HIGH), (3, MIDDLE))
        self.queue.retain([request for request in self.queue if request.tokens != 3])
        self.assertEqual((self.waiting(), len(self.queue)), ([2, 1], 2))

    def test_decisions(self) -> None:
        self.add((1, LOW))
        admitted, rejected = self.queue.oldest().admitted(), self.queue.oldest().rejected(0.5)
        self.assertEqual((admitted.allowed, admitted.retry_after_s), (True, 0.0))
        self.assertEqual((rejected.allowed, rejected.retry_after_s), (False, 0.5))
        self.assertIs(admitted.on_decision, ignore)
        self.assertIs(rejected.on_decision, ignore)


if __name__ == "__main__":
    unittest.main()
