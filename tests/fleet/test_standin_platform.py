"""The stand-in for the platform's list, and the entry's choice of an edge."""

from __future__ import annotations

import unittest

from rosechute.fakes.fleet.entry import MISSES, Entry, Gate
from rosechute.fakes.fleet.platform import Instance, PlatformList


def listed(count: int) -> PlatformList:
    """A list of so many servers in two zones, three on a page."""
    platform = PlatformList(rate_per_s=5.0, page_entries=3)
    for number in range(count):
        platform.put(
            Instance(id=f"i-{number}", service="s", address=f"127.0.0.1:{number + 1}", zone="ab"[number % 2], slots=4)
        )
    return platform


def ids(platform: PlatformList, zone: str = "") -> list[list[str]]:
    """The ids of all pages."""
    pages, token = [], ""
    while True:
        page, following = platform.page(zone, token)
        pages.append([instance.id for instance in page])
        if following is None:
            return pages
        token = following


class Pages(unittest.TestCase):
    """Pages cover the list once."""

    def test_pages(self) -> None:
        self.assertEqual(ids(listed(0)), [[]])
        self.assertEqual(ids(listed(3)), [["i-0", "i-1", "i-2"]])
        self.assertEqual(ids(listed(7)), [["i-0", "i-1", "i-2"], ["i-3", "i-4", "i-5"], ["i-6"]])

    def test_one_zone(self) -> None:
        self.assertEqual(ids(listed(7), "a"), [["i-0", "i-2", "i-4"], ["i-6"]])

    def test_a_removal_between_pages_hides_nobody(self) -> None:
        platform = listed(7)
        _, token = platform.page("", "")
        platform.remove("i-0")
        self.assertEqual([instance.id for instance in platform.page("", token or "")[0]], ["i-3", "i-4", "i-5"])

    def test_states(self) -> None:
        platform = listed(1)
        platform.drain("i-0")
        self.assertEqual(platform.page("", "")[0][0].state, "draining")

    def test_rate(self) -> None:
        platform = listed(1)
        now = 100.0
        platform.clock = lambda: now
        platform._filled = now
        self.assertEqual([platform._granted() for _ in range(6)], [True] * 5 + [False])
        now += 0.4
        self.assertEqual([platform._granted() for _ in range(3)], [True, True, False])


class Choice(unittest.TestCase):
    """Which edge a client is sent to."""

    def setUp(self) -> None:
        self.gates = [Gate(f"{zone}{number}", zone, f"{zone}{number}", "", 0) for zone in "ab" for number in range(3)]
        self.entry = Entry(self.gates)

    def fronts(self, zone: str) -> set[str]:
        return {self.entry.front(zone, f"client-{number}", 0) for number in range(100)}

    def test_own_zone(self) -> None:
        self.assertEqual(self.fronts("a"), {"a0", "a1", "a2"})

    def test_one_that_missed_twice_gets_none(self) -> None:
        self.gates[0].misses = MISSES
        self.assertEqual(self.fronts("a"), {"a1", "a2"})

    def test_less_than_half_ready(self) -> None:
        self.gates[0].misses = self.gates[1].misses = MISSES
        self.assertEqual(self.fronts("a"), {"a0", "a1", "a2"})

    def test_none_ready(self) -> None:
        for gate in self.gates[:3]:
            gate.misses = MISSES
        self.assertEqual(self.fronts("a"), {"b0", "b1", "b2"})

    def test_a_retry_goes_elsewhere(self) -> None:
        self.assertNotEqual(self.entry.front("a", "client", 0), self.entry.front("a", "client", 1))
