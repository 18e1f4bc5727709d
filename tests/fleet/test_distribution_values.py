"""Equivalence of two entries of the endpoint list."""

from __future__ import annotations

import unittest
from dataclasses import fields, replace

from rosechute.distribution.values import COLD_TOLERANCE_S, ListedServer

NOW = 1000.0
OTHER = {"id": "i-2", "service": "other", "address": "10.0.0.2:8080", "zone": "west", "slots": 9, "ready": False}
SERVER = ListedServer("i-1", "model", "10.0.0.1:8080", "east", 8, True)


class EquivalentServersTest(unittest.TestCase):
    """`ListedServer.is_equivalent_to`."""

    def test_entries_that_differ_in_any_field_are_not_the_same(self) -> None:
        compared = [field.name for field in fields(ListedServer) if field.name != "cold_until"]
        self.assertEqual(sorted(compared), sorted(OTHER), "a field was added: it has to be compared")
        for name in compared:
            with self.subTest(field=name):
                self.assertFalse(SERVER.is_equivalent_to(replace(SERVER, **{name: OTHER[name]}), NOW))

    def test_an_equal_entry_is_the_same(self) -> None:
        self.assertTrue(SERVER.is_equivalent_to(replace(SERVER), NOW))

    def test_cold_times_that_are_over_are_the_same(self) -> None:
        self.assertTrue(replace(SERVER, cold_until=NOW - 3.0).is_equivalent_to(replace(SERVER, cold_until=NOW), NOW))

    def test_cold_times_count_from_the_tolerance_on(self) -> None:
        cold = replace(SERVER, cold_until=NOW + 2.0)
        self.assertTrue(cold.is_equivalent_to(replace(cold, cold_until=NOW + 2.0 + COLD_TOLERANCE_S / 2), NOW))
        self.assertFalse(cold.is_equivalent_to(replace(cold, cold_until=NOW + 2.0 + COLD_TOLERANCE_S), NOW))
        self.assertFalse(cold.is_equivalent_to(SERVER, NOW))
