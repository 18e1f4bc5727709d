"""Prefixes, rendezvous order and the picks that go by them."""

from __future__ import annotations

import random
import sys
import unittest
from collections import Counter

from rosechute.routing.model import AttemptResult, PromptPart, RoutingRequest, Send, ServerEntry
from rosechute.routing.prefixes import MAX_SERVERS_PER_PREFIX, PrefixTable, prefixes_of
from rosechute.routing.rendezvous import MAX_FULLY_RANKED, Rendezvous
from rosechute.routing.router import Router
from rosechute.routing.server import Server
from rosechute.routing.tuning import RouterTuning

TUNING = RouterTuning(zone="east")


def server(number: int) -> Server:
    entry = ServerEntry(f"i-{number:x}", f"10.0.0.{number}:80", "east", 64, True)
    return Server(entry, TUNING, random.random, random.Random(number).getrandbits(64))


def parts(subject: str, own: str, shared_tokens: int = 4_000) -> tuple[PromptPart, ...]:
    return (PromptPart("preamble", 2_000), PromptPart(subject, shared_tokens), PromptPart(own, 1_000))


class PrefixTableTest(unittest.TestCase):
    def test_prefixes_depend_on_all_before(self) -> None:
        one = prefixes_of("svc", "m", parts("a", "x"))
        other = prefixes_of("svc", "m", (PromptPart("else", 2_000), *parts("a", "x")[1:]))
        self.assertEqual([prefix.tokens for prefix in one], [2_000, 6_000, 7_000])
        self.assertFalse({prefix.key for prefix in one} & {prefix.key for prefix in other})
        self.assertNotEqual(one[0].key, prefixes_of("svc", "other", parts("a", "x"))[0].key)

    def test_kept_counts_the_known_levels_and_fades(self) -> None:
        table, first = PrefixTable(100, 100, 60.0), server(1)
        table.record(0.0, prefixes_of("svc", "m", parts("a", "x")), first)
        same_subject = prefixes_of("svc", "m", parts("a", "y"))
        self.assertAlmostEqual(table.expected_cached_tokens(0.0, same_subject, first), 6_000)
        self.assertAlmostEqual(
            table.expected_cached_tokens(0.0, prefixes_of("svc", "m", parts("b", "y")), first), 2_000
        )
        self.assertEqual(table.expected_cached_tokens(0.0, same_subject, server(2)), 0.0)
        self.assertLess(table.expected_cached_tokens(20.0, same_subject, first), 3_000)
        self.assertEqual(list(table.servers_with(same_subject)), [first])

    def test_a_server_that_is_gone_is_forgotten(self) -> None:
        table, first = PrefixTable(100, 100, 60.0), server(1)
        prefixes = prefixes_of("svc", "m", parts("a", "x"))
        table.record(0.0, prefixes, first)
        first.listed = False
        self.assertEqual(list(table.servers_with(prefixes)), [])

    def test_bounded(self) -> None:
        table = PrefixTable(500, 100, 60.0)
        servers = [server(number) for number in range(30)]
        for number in range(5_000):
            prefixes = prefixes_of("svc", "m", parts(f"s{number}", f"o{number}"))
            table.record(number * 0.001, prefixes, servers[number % 30])
        self.assertLessEqual(len(table), 600)
        holders = table._shared.get(prefixes_of("svc", "m", parts("s4999", "x"))[0].key)
        assert holders is not None
        self.assertLessEqual(len(holders.servers), MAX_SERVERS_PER_PREFIX)

    def test_what_is_not_used_is_forgotten(self) -> None:
        table, first = PrefixTable(10_000, 10_000, 60.0), server(1)
        for number in range(100):
            table.record(0.0, prefixes_of("svc", "m", parts(f"s{number}", f"o{number}")), first)
        for number in range(100):
            table.record(100.0, prefixes_of("svc", "m", parts(f"t{number}", f"p{number}")), first)
        self.assertLessEqual(len(table), 202)

    def test_memory_of_a_prefix_is_small(self) -> None:
        table = PrefixTable(11_000, 10, 60.0)
        first = server(1)
        table.record(0.0, prefixes_of("svc", "m", parts("a", "x")), first)
        holders = table._shared.get(prefixes_of("svc", "m", parts("a", "x"))[1].key)
        assert holders is not None
        size = sys.getsizeof(holders) + sys.getsizeof(holders.servers) + sys.getsizeof(holders.times) + 24 + 32
        self.assertLess(size, 500)


class RendezvousTest(unittest.TestCase):
    def order(self, servers: list[Server]) -> Rendezvous:
        rendezvous = Rendezvous()
        for each in servers:
            rendezvous.set(each, True)
        return rendezvous

    def check(self, count: int, moved_most: float, spread_most: float) -> None:
        servers = [server(number) for number in range(count)]
        keys = [random.Random(key).getrandbits(64) for key in range(4_000)]
        rendezvous = self.order(servers)
        before = {key: rendezvous.first_two(key) for key in keys}
        shuffled = servers[:]
        random.Random(1).shuffle(shuffled)
        other_edge = self.order(shuffled)
        self.assertTrue(all(other_edge.first_two(key) == before[key] for key in keys))
        counts = Counter(first.id for first, _ in before.values())
        self.assertLess(max(counts.values()), spread_most * max(1.0, len(keys) / count))
        gone = servers[count // 2]
        rendezvous.set(gone, False)
        for key in keys:  # who loses the first one goes to the second one
            first, second = before[key]
            if first is gone and count <= MAX_FULLY_RANKED:
                self.assertIs(rendezvous.first_two(key)[0], second)
        moved = sum(rendezvous.first_two(key)[0] is not before[key][0] for key in keys)
        self.assertLessEqual(moved, moved_most * len(keys))
        rendezvous.set(gone, True)
        self.assertTrue(all(rendezvous.first_two(key) == before[key] for key in keys))

    def test_few_servers(self) -> None:
        self.check(9, 0.16, 1.3)

    def test_many_servers(self) -> None:
        self.check(400, 0.03, 5.0)

    def test_one_and_none(self) -> None:
        self.assertEqual(Rendezvous().first_two(1), [])
        only = server(1)
        self.assertEqual(self.order([only]).first_two(1), [only])


class StickyTest(unittest.TestCase):
    """Requests of one subject meet at one server, at every edge; a busy one hands them on."""

    def edge(self, seed: int, count: int = 9, edges: int = 6) -> Router:
        router = Router(random.Random(seed).random, TUNING)
        entries = [ServerEntry(f"i-{number:x}", f"10.0.0.{number}:80", "east", 64, True) for number in range(count)]
        router.apply_servers(0.0, "svc", entries)
        router.apply_limits(0.0, "svc", 60 * edges, edges)
        return router

    def ask(self, router: Router, now: float, ticket: int, subject: str, shared_tokens: int = 4_000) -> str:
        prompt = parts(subject, f"own{ticket}", shared_tokens)
        request = RoutingRequest(
            ticket,
            "svc",
            "r",
            1,
            now + 5.0,
            0.6,
            now,
            2,
            True,
            True,
            "m",
            prompt,
            sum(part.tokens for part in prompt),
            50,
        )
        actions = router.route(now, request)
        assert isinstance(actions[0], Send), actions
        return actions[0].server_id

    def finish(self, router: Router, now: float, ticket: int, name: str) -> None:
        router.report(now, ticket, name, AttemptResult.HEAD, False)
        router.report(now, ticket, name, AttemptResult.DONE, False)

    def test_edges_agree_without_a_message(self) -> None:
        edges = [self.edge(seed) for seed in range(6)]
        for number in range(40):
            names = {self.ask(edge, float(number), number, f"subject{number}") for edge in edges}
            self.assertEqual(len(names), 1)
            for edge in edges:
                self.finish(edge, number + 0.1, number, next(iter(names)))

    def test_a_subject_stays_at_its_server(self) -> None:
        router = self.edge(1)
        names = set()
        for number in range(30):
            name = self.ask(router, number * 0.5, number, "subject")
            names.add(name)
            self.finish(router, number * 0.5 + 0.1, number, name)
        self.assertEqual(len(names), 1)

    def test_a_hot_subject_spills_over(self) -> None:
        router = self.edge(1, edges=1)
        names = Counter(self.ask(router, 0.001 * number, number, "subject") for number in range(40))
        self.assertGreater(len(names), 2)
        self.assertGreater(names.most_common(1)[0][1], 2)

    def test_holders_come_before_the_order_once_servers_change(self) -> None:
        router = self.edge(1)
        name = self.ask(router, 0.0, 1, "subject")
        self.finish(router, 0.1, 1, name)
        entries = [ServerEntry(f"i-{number:x}", f"10.0.0.{number}:80", "east", 64, True) for number in range(40)]
        router.apply_servers(1.0, "svc", entries)
        self.assertEqual(self.ask(router, 1.0, 2, "subject"), name)

    def test_a_server_that_fails_is_left(self) -> None:
        router = self.edge(1)
        name = self.ask(router, 0.0, 1, "subject")
        again = router.report(0.01, 1, name, AttemptResult.CONNECT_FAILED, True)
        assert isinstance(again[0], Send)
        self.assertNotEqual(again[0].server_id, name)
        self.finish(router, 0.011, 1, again[0].server_id)
        self.assertEqual(self.ask(router, 0.011, 2, "subject"), again[0].server_id)


if __name__ == "__main__":
    unittest.main()
