"""What other edges tell of their loads, and how the router goes by it."""

from __future__ import annotations

import random
import unittest

from rosechute.routing.load_book import FORGET_S, LoadBook, ServerLoad
from rosechute.routing.model import AttemptResult, PromptPart, RoutingRequest, Send, ServerEntry
from rosechute.routing.router import Router
from rosechute.routing.tuning import RouterTuning

A, B = "edge-a", "edge-b"
NOW = 100.0


class LoadBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = LoadBook()

    def test_nothing_is_known_at_first(self) -> None:
        self.assertEqual(self.book.at(NOW, 1), (0, 0))

    def test_edges_are_summed(self) -> None:
        self.book.take(NOW, A, [ServerLoad(1, 300, 2), ServerLoad(2, 50, 1)])
        self.book.take(NOW, B, [ServerLoad(1, 20, 1)])
        self.assertEqual(self.book.at(NOW, 1), (320, 3))
        self.assertEqual(self.book.at(NOW, 2), (50, 1))

    def test_a_report_replaces_the_one_before(self) -> None:
        self.book.take(NOW, A, [ServerLoad(1, 300, 2), ServerLoad(2, 50, 1)])
        self.book.take(NOW, A, [ServerLoad(2, 70, 1)])
        self.assertEqual(self.book.at(NOW, 1), (0, 0))
        self.assertEqual(self.book.at(NOW, 2), (70, 1))

    def test_what_is_not_told_again_is_forgotten(self) -> None:
        self.book.take(NOW, A, [ServerLoad(1, 300, 2)])
        self.assertEqual(self.book.at(NOW + FORGET_S, 1), (300, 2))
        self.assertEqual(self.book.at(NOW + FORGET_S + 0.01, 1), (0, 0))

    def test_edges_that_tell_no_more_are_dropped(self) -> None:
        self.book.take(NOW, A, [ServerLoad(1, 300, 2)])
        self.book.take(NOW, B, [ServerLoad(1, 20, 1)])
        self.book.keep({B})
        self.assertEqual((self.book.telling, self.book.at(NOW, 1)), (1, (20, 1)))


class RouterTest(unittest.TestCase):
    """Two servers that this edge has sent nothing to."""

    def setUp(self) -> None:
        self.changes = 0
        self.router = Router(random.Random(3).random, RouterTuning(zone="z"), self.changed)
        entries = [ServerEntry(name, f"{name}:80", "z", 8, True) for name in ("s1", "s2")]
        self.router.apply_limits(NOW, "llm", 100, 2)
        self.router.apply_servers(NOW, "llm", entries)
        self.seeds = {server.id: server.seed for server in self.router.services["llm"].pool.servers.values()}

    def changed(self) -> None:
        self.changes += 1

    def submit(self, ticket: int, tokens: int = 4_000, target_s: float = 0.5) -> Send:
        request = RoutingRequest(
            ticket, "llm", "r", 0, NOW + 5.0, target_s, NOW, 1, False, True, "m",
            (PromptPart(f"p{ticket}", 10), PromptPart(f"o{ticket}", tokens - 10)), tokens, 10,
        )
        (action,) = self.router.submit(NOW, request)
        assert isinstance(action, Send)
        return action

    def test_a_server_where_others_wait_is_passed_over(self) -> None:
        self.router.apply_telling_edges({A})
        self.router.take_loads(NOW, A, [ServerLoad(self.seeds["s1"], 30_000, 3)])
        self.assertEqual({self.submit(ticket).server_id for ticket in range(4)}, {"s2"})

    def test_own_loads_are_told_until_the_head_has_come(self) -> None:
        sent = self.submit(1)
        (load,) = self.router.own_loads()
        self.assertEqual((load.server, load.unread_tokens, load.calls), (self.seeds[sent.server_id], 4_000, 1))
        self.assertEqual(self.changes, 1)
        self.router.report(NOW + 0.1, 1, sent.server_id, AttemptResult.HEAD, False)
        self.assertEqual([(each.unread_tokens, each.calls) for each in self.router.own_loads()], [(0, 1)])
        self.assertEqual(self.changes, 2)
        self.router.report(NOW + 0.2, 1, sent.server_id, AttemptResult.DONE, False)
        self.assertEqual((self.router.own_loads(), self.changes), ([], 2))

    def test_a_request_that_ends_without_a_head_is_a_change(self) -> None:
        sent = self.submit(1)
        self.router.report(NOW + 0.1, 1, sent.server_id, AttemptResult.RESET, False)
        self.assertEqual(self.changes, 2)

    def test_the_fullest_servers_are_told_first(self) -> None:
        self.submit(1, 1_000)
        self.submit(2, 9_000)
        unread = [load.unread_tokens for load in self.router.own_loads()]
        self.assertEqual(unread, sorted(unread, reverse=True))

    def test_edges_that_tell_are_not_guessed_at(self) -> None:
        pool = self.router.services["llm"].pool
        self.assertEqual(pool.silent_edges, 1)
        self.router.apply_telling_edges({A})
        self.assertEqual(pool.silent_edges, 0)


if __name__ == "__main__":
    unittest.main()
