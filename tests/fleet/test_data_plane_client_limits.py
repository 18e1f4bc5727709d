"""Changes of client limits: wider ones apply at once, narrower ones when the previous ones have expired."""

from __future__ import annotations

import unittest

from rosechute.configuration.operator import Limits
from rosechute.data_plane.client_limits import IDLE_TIMEOUT_MARGIN_S, UNCONFIGURED, ClientLimits

WIDE = Limits(max_header_bytes=8192, max_body_bytes=1000, header_timeout_ms=3000, idle_timeout_ms=20000)
NARROW = Limits(max_header_bytes=4096, max_body_bytes=500, header_timeout_ms=1000, idle_timeout_ms=5000)
MIXED = Limits(max_header_bytes=16384, max_body_bytes=100, header_timeout_ms=3000, idle_timeout_ms=5000)


class ClientLimitsTest(unittest.TestCase):
    def test_first_configuration_replaces_default_limits(self) -> None:
        limits = ClientLimits()
        self.assertEqual(limits.widest(0.0), UNCONFIGURED)
        self.assertEqual(limits.change(NARROW, 1.0), 0.0)
        self.assertEqual(limits.widest(1.0), NARROW)

    def test_wider_limits_apply_immediately(self) -> None:
        limits = ClientLimits()
        limits.change(NARROW, 0.0)
        limits.change(WIDE, 1.0)
        self.assertEqual(limits.widest(1.0), WIDE)

    def test_narrower_limits_apply_after_idle_timeout_of_previous_ones(self) -> None:
        limits = ClientLimits()
        limits.change(WIDE, 0.0)
        self.assertEqual(limits.change(NARROW, 1.0), 20.0 + IDLE_TIMEOUT_MARGIN_S)
        self.assertEqual(limits.widest(21.9), WIDE)
        self.assertEqual(limits.widest(22.1), NARROW)

    def test_each_limit_is_the_widest_in_effect(self) -> None:
        limits = ClientLimits()
        limits.change(NARROW, 0.0)
        limits.change(MIXED, 1.0)
        self.assertEqual(
            limits.widest(2.0),
            Limits(
                max_header_bytes=16384,
                max_body_bytes=500,
                header_timeout_ms=3000,
                idle_timeout_ms=5000,
            ),
        )

    def test_applying_the_same_limits_again_changes_nothing(self) -> None:
        limits = ClientLimits()
        limits.change(WIDE, 0.0)
        limits.change(NARROW, 1.0)
        limits.change(WIDE, 2.0)
        self.assertEqual(limits.change(WIDE, 3.0), 2.0 + 6.0 - 3.0)
        self.assertEqual(limits.widest(100.0), WIDE)
