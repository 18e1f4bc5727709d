"""The exchange of loads between edges: when they are told, which reports count, and who takes part."""

from __future__ import annotations

import asyncio
import math
import random
import unittest
from typing import Any
from unittest import IsolatedAsyncioTestCase

from rosechute.distribution.load_exchange import AGAIN_S, LEAST_PAUSE_S, MOST_SERVERS, PAUSE_PER_EDGE_S, LoadExchange
from rosechute.distribution.membership import ALL_TOLD_MOST, SETTLE_S, EdgeIdentity, Membership
from rosechute.distribution.telling_edges import TellingEdges
from rosechute.messages import distribution_pb2 as pb
from rosechute.processes.load_link import LoadLink
from rosechute.routing.load_book import FORGET_S, ServerLoad
from rosechute.routing.router import Router
from rosechute.routing.tuning import RouterTuning

NOW = 50.0
LOADS = [ServerLoad(11, 4_000, 2), ServerLoad(2**64 - 1, 0, 1)]


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.own, self.other = LoadExchange("a", 1), LoadExchange("b", 2)
        self.own.set_peers({"b": "10.0.0.2:7500"})
        self.other.set_peers({"a": "10.0.0.1:7500"})

    def tell(self, now: float = NOW, loads: list[ServerLoad] | None = None) -> bytes:
        self.own.changed(now)
        data = self.own.report(now, LOADS if loads is None else loads)
        assert data is not None
        return data

    def test_a_report_comes_as_it_was_told(self) -> None:
        told = self.other.received(self.tell())
        assert told is not None
        self.assertEqual((told[0], list(told[1])), ("a", LOADS))

    def test_nothing_is_due_without_a_change(self) -> None:
        self.assertEqual(self.own.due_at, math.inf)
        self.assertIsNone(self.own.report(NOW, LOADS))

    def test_a_pause_lies_between_two_reports(self) -> None:
        self.tell()
        self.own.changed(NOW + 0.001)
        self.assertEqual(self.own.due_at, NOW + LEAST_PAUSE_S)
        self.assertIsNone(self.own.report(NOW + 0.002, LOADS))

    def test_the_pause_grows_with_the_edges(self) -> None:
        self.own.set_peers({f"e{number}": f"10.0.0.{number}:1" for number in range(50)})
        self.tell()
        self.own.changed(NOW)
        self.assertAlmostEqual(self.own.due_at, NOW + 50 * PAUSE_PER_EDGE_S)

    def test_told_again_before_others_forget(self) -> None:
        self.tell()
        self.assertEqual(self.own.due_at, NOW + AGAIN_S)
        self.assertLess(2 * AGAIN_S, FORGET_S)
        self.assertIsNotNone(self.own.report(NOW + AGAIN_S, LOADS))

    def test_an_idle_edge_tells_it_once(self) -> None:
        told = self.other.received(self.tell(loads=[]))
        assert told is not None
        self.assertEqual((list(told[1]), self.own.due_at), ([], math.inf))

    def test_nobody_to_tell(self) -> None:
        self.own.set_peers({})
        self.own.changed(NOW)
        self.assertIsNone(self.own.report(NOW, LOADS))

    def test_an_overtaken_report_and_a_repeated_one_are_dropped(self) -> None:
        first, second = self.tell(NOW), self.tell(NOW + 1.0)
        self.assertIsNotNone(self.other.received(second))
        self.assertIsNone(self.other.received(first))
        self.assertIsNone(self.other.received(second))

    def test_a_new_process_is_heard(self) -> None:
        self.other.received(self.tell())
        self.own = LoadExchange("a", 9)
        self.own.set_peers({"b": "10.0.0.2:7500"})
        self.assertIsNotNone(self.other.received(self.tell()))

    def test_strangers_and_broken_datagrams_are_dropped(self) -> None:
        self.other.set_peers({})
        self.assertIsNone(self.other.received(self.tell()))
        self.other.set_peers({"a": "10.0.0.1:7500"})
        self.assertIsNone(self.other.received(b"\xff\xff\xff"))
        uneven = pb.LoadReport(edge="a", number=9, servers=[1, 2], unread_tokens=[3], calls=[1, 1])
        self.assertIsNone(self.other.received(uneven.SerializeToString()))

    def test_a_report_fits_a_packet(self) -> None:
        loads = [ServerLoad(2**64 - 1 - number, 10**6, 200) for number in range(3 * MOST_SERVERS)]
        data = self.tell(loads=loads)
        self.assertLess(len(data), 1_400)
        told = self.other.received(data)
        assert told is not None
        self.assertEqual(list(told[1]), loads[:MOST_SERVERS])


class WhoTellsTest(unittest.TestCase):
    """In a small fleet all edges exchange loads, in a large one those of a zone."""

    def members(self, count: int) -> Membership:
        members = Membership(NOW)
        for number in range(count):
            members.renew(NOW, EdgeIdentity(f"e{number}", f"z{number % 3}", f"10.0.0.{number}:1"), 1, False)
        return members

    def test_small(self) -> None:
        revision, others = self.members(6).other_edges(NOW + SETTLE_S, "z0")
        self.assertTrue(revision)
        self.assertEqual({edge.name for edge in others}, {"e1", "e2", "e4", "e5"})

    def test_large(self) -> None:
        self.assertEqual(self.members(ALL_TOLD_MOST + 1).other_edges(NOW + SETTLE_S, "z0"), (0, []))

    def test_not_known_yet(self) -> None:
        self.assertEqual(self.members(6).other_edges(NOW, "z0"), (0, []))

    def test_a_change_in_any_zone_is_another_revision(self) -> None:
        members = self.members(6)
        before, _ = members.other_edges(NOW + SETTLE_S, "z0")
        members.renew(NOW, EdgeIdentity("e9", "z1", "10.0.0.9:1"), 1, False)
        self.assertNotEqual(members.other_edges(NOW + SETTLE_S, "z0")[0], before)

    def test_the_edges_side(self) -> None:
        telling = TellingEdges("a")
        zone = [pb.Edge(name=name, zone="z", address=f"{name}:1") for name in "ab"]
        others = [pb.Edge(name="c", zone="y", address="c:1")]
        self.assertFalse(telling.told(pb.Renewed(members_term=1)), "a new leader that knows nobody yet")
        first = pb.Renewed(members_revision=1, zone_edges=zone, others_revision=3, other_edges=others)
        self.assertTrue(telling.told(first))
        self.assertEqual((telling.addresses(), telling.revision), ({"b": "b:1", "c": "c:1"}, 3))
        self.assertFalse(telling.told(pb.Renewed(members_revision=1, others_revision=3)))
        self.assertFalse(telling.told(pb.Renewed(members_term=2)))
        self.assertTrue(telling.told(pb.Renewed(members_revision=1)), "the fleet has grown")
        self.assertEqual(telling.addresses(), {"b": "b:1"})


class Transport:
    """Keeps the datagrams."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        self.closed = False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address))

    def close(self) -> None:
        self.closed = True


class LinkTest(IsolatedAsyncioTestCase):
    """The socket's side, without a socket."""

    async def asyncSetUp(self) -> None:
        self.loop: Any = asyncio.get_running_loop()
        self.router = Router(random.random, RouterTuning())
        self.link = LoadLink(self.loop, "10.0.0.1:7500", LoadExchange("a", 1))
        self.transport: Any = Transport()
        self.link._router = self.router
        self.link.connection_made(self.transport)
        self.link.set_peers({"b": "10.0.0.2:7500", "c": "10.0.0.3:7501"})

    async def test_changes_are_told_to_all(self) -> None:
        self.link.changed()
        self.link._tell()
        self.assertEqual([to for _, to in self.transport.sent], [("10.0.0.2", 7500), ("10.0.0.3", 7501)])

    async def test_what_others_tell_reaches_the_router(self) -> None:
        other = LoadExchange("b", 2)
        other.set_peers({"a": "10.0.0.1:7500"})
        other.changed(self.loop.time())
        data = other.report(self.loop.time(), LOADS)
        assert data is not None
        self.link.datagram_received(data, ("10.0.0.2", 7500))
        self.assertEqual(self.router._loads.at(self.loop.time(), 11), (4_000, 2))
        self.link.datagram_received(b"\xff", ("10.0.0.2", 7500))

    async def test_nothing_is_told_after_the_end(self) -> None:
        self.link.changed()
        self.link.close()
        self.link._tell()
        self.link.changed()
        self.assertEqual((self.transport.sent, self.transport.closed), ([], True))

    async def test_an_address_that_is_taken_costs_the_exchange_only(self) -> None:
        link = LoadLink(self.loop, "203.0.113.1:1", LoadExchange("a", 1))
        await link.start(self.router)
        link.changed()


if __name__ == "__main__":
    unittest.main()
