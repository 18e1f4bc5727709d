"""The fake server list of the platform, and the entry's choice of an edge."""

from __future__ import annotations

import unittest

from rosechute.fakes.fleet.entry import MAX_MISSED_PROBES, EdgeEndpoint, Entry
from rosechute.fakes.fleet.platform import Instance, PlatformList


def make_list(count: int) -> PlatformList:
    """Return a list of `count` servers in two zones, with three servers per page."""
    platform = PlatformList(rate_per_s=5.0, page_entries=3)
    for number in range(count):
        platform.put(
            Instance(id=f"i-{number}", service="s", address=f"127.0.0.1:{number + 1}", zone="ab"[number % 2], slots=4)
        )
    return platform


def page_ids(platform: PlatformList, zone: str = "") -> list[list[str]]:
    """Return the ids on each page."""
    pages, token = [], ""
    while True:
        page, next_token = platform.page(zone, token)
        pages.append([instance.id for instance in page])
        if next_token is None:
            return pages
        token = next_token


class PlatformListTest(unittest.TestCase):
    """Paging, states and the rate limit of the list."""

    def test_pages(self) -> None:
        self.assertEqual(page_ids(make_list(0)), [[]])
        self.assertEqual(page_ids(make_list(3)), [["i-0", "i-1", "i-2"]])
        self.assertEqual(page_ids(make_list(7)), [["i-0", "i-1", "i-2"], ["i-3", "i-4", "i-5"], ["i-6"]])

    def test_one_zone(self) -> None:
        self.assertEqual(page_ids(make_list(7), "a"), [["i-0", "i-2", "i-4"], ["i-6"]])

    def test_removal_between_pages_skips_no_server(self) -> None:
        platform = make_list(7)
        _, token = platform.page("", "")
        platform.remove("i-0")
        self.assertEqual([instance.id for instance in platform.page("", token or "")[0]], ["i-3", "i-4", "i-5"])

    def test_states(self) -> None:
        platform = make_list(1)
        platform.drain("i-0")
        self.assertEqual(platform.page("", "")[0][0].state, "draining")

    def test_rate(self) -> None:
        platform = make_list(1)
        now = 100.0
        platform.clock = lambda: now
        platform._refilled_at = now
        self.assertEqual([platform._take_token() for _ in range(6)], [True] * 5 + [False])
        now += 0.4
        self.assertEqual([platform._take_token() for _ in range(3)], [True, True, False])


class EdgeChoiceTest(unittest.TestCase):
    """The edges to which clients are assigned."""

    def setUp(self) -> None:
        self.edges = [
            EdgeEndpoint(f"{zone}{number}", zone, f"{zone}{number}", "", 0) for zone in "ab" for number in range(3)
        ]
        self.entry = Entry(self.edges)

    def fronts(self, zone: str) -> set[str]:
        return {self.entry.front(zone, f"client-{number}", 0) for number in range(100)}

    def test_own_zone(self) -> None:
        self.assertEqual(self.fronts("a"), {"a0", "a1", "a2"})

    def test_edge_with_missed_probes_is_not_chosen(self) -> None:
        self.edges[0].missed_probes = MAX_MISSED_PROBES
        self.assertEqual(self.fronts("a"), {"a1", "a2"})

    def test_all_edges_of_zone_if_fewer_than_half_ready(self) -> None:
        self.edges[0].missed_probes = self.edges[1].missed_probes = MAX_MISSED_PROBES
        self.assertEqual(self.fronts("a"), {"a0", "a1", "a2"})

    def test_other_zone_if_none_ready(self) -> None:
        for edge in self.edges[:3]:
            edge.missed_probes = MAX_MISSED_PROBES
        self.assertEqual(self.fronts("a"), {"b0", "b1", "b2"})

    def test_retry_goes_to_another_edge(self) -> None:
        self.assertNotEqual(self.entry.front("a", "client", 0), self.entry.front("a", "client", 1))
