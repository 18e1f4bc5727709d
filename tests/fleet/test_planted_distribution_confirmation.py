"""The confirmed time of the configuration in force."""

from __future__ import annotations

import math
import unittest

from rosechute.distribution.confirmation import PENDING_LIMIT, Confirmation
from tests.fleet.distribution_builders import NOW


class ConfirmationTest(unittest.TestCase):
    """Confirmed is only what the configuration in force covers, as of the older of two moments."""

    def setUp(self) -> None:
        self.confirmation = Confirmation()

    def test_as_of_the_sending_less_the_age(self) -> None:
        self.assertEqual(self.confirmation.confirmed_at, -math.inf)
        self.confirmation.on_answer(NOW, 0, 0.25)
        self.assertEqual(self.confirmation.confirmed_at, NOW - 0.25)

    def test_never_goes_back(self) -> None:
        self.confirmation.on_answer(NOW, 0, 0.0)
        self.confirmation.on_answer(NOW, 0, 5.0)
        self.assertEqual(self.confirmation.confirmed_at, NOW)

    def test_a_newer_configuration_has_to_be_applied_first(self) -> None:
        self.confirmation.on_answer(NOW, 2, 0.0)
        self.confirmation.on_answer(NOW + 1, 2, 0.0)
        self.confirmation.on_answer(NOW + 1, 2, 9.0)
        self.confirmation.on_answer(NOW + 2, 3, 0.0)
        self.assertEqual(self.confirmation.confirmed_at, -math.inf)
        self.confirmation.on_configuration_applied(2)
        self.assertEqual(self.confirmation.confirmed_at, NOW + 1)
        self.confirmation.on_configuration_applied(1)
        self.confirmation.on_answer(NOW + 1.5, 2, 0.0)
        self.assertEqual(self.confirmation.confirmed_at, NOW + 1.5)
        self.confirmation.on_answer(NOW - 5, 4, 0.0)
        self.confirmation.on_configuration_applied(4)
        self.assertEqual(self.confirmation.confirmed_at, NOW + 2)
        self.assertEqual(self.confirmation._pending, {})

    def test_the_newest_pending_sequences_are_kept(self) -> None:
        for sequence in range(1, PENDING_LIMIT + 3):
            self.confirmation.on_answer(NOW + sequence, sequence, 0.0)
        self.assertEqual(len(self.confirmation._pending), PENDING_LIMIT)
        self.confirmation.on_configuration_applied(2)
        self.assertEqual(self.confirmation.confirmed_at, -math.inf)
        self.confirmation.on_configuration_applied(3)
        self.assertEqual(self.confirmation.confirmed_at, NOW + 3)


if __name__ == "__main__":
    unittest.main()
