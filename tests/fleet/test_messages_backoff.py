"""Unit tests of `messages.backoff`."""

from __future__ import annotations

import unittest

from rosechute.messages.backoff import ExponentialBackoff


class ExponentialBackoffTest(unittest.TestCase):
    def test_delays_double_up_to_the_limit(self) -> None:
        backoff = ExponentialBackoff()
        delays = [backoff.next_delay_s() for _ in range(6)]
        self.assertEqual(delays, [0.05, 0.1, 0.2, 0.4, 0.5, 0.5])

    def test_reset_begins_with_the_shortest_delay(self) -> None:
        backoff = ExponentialBackoff()
        for _ in range(3):
            backoff.next_delay_s()
        backoff.reset()
        self.assertEqual([backoff.next_delay_s(), backoff.next_delay_s()], [0.05, 0.1])


if __name__ == "__main__":
    unittest.main()
