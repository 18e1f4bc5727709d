"""Tests of the prefix table, rendezvous hashing and prefix affinity."""

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


def make_server(number: int) -> Server:
    entry = ServerEntry(f"i-{number:x}", f"10.0.0.{number}:80", "east", 64, True)
    return Server(entry, TUNING, random.random, random.Random(number).getrandbits(64))


def make_parts(topic: str, unique: str, shared_tokens: int = 4_000) -> tuple[PromptPart, ...]:
    return (PromptPart("preamble", 2_000), PromptPart(topic, shared_tokens), PromptPart(unique, 1_000))


class PrefixTableTest(unittest.TestCase):
    def test_a_prefix_depends_on_the_model_and_all_earlier_parts(self) -> None:
        one = prefixes_of("svc", "m", make_parts("a", "x"))
        other = prefixes_of("svc", "m", (PromptPart("else", 2_000), *make_parts("a", "x")[1:]))
        self.assertEqual([prefix.tokens for prefix in one], [2_000, 6_000, 7_000])
        self.assertFalse({prefix.key for prefix in one} & {prefix.key for prefix in other})
        self.assertNotEqual(one[0].key, prefixes_of("svc", "other", make_parts("a", "x"))[0].key)

    def test_expected_cached_tokens_count_matching_parts_and_decay(self) -> None:
        table, first = PrefixTable(100, 100, 60.0), make_server(1)
        table.record(0.0, prefixes_of("svc", "m", make_parts("a", "x")), first)
        same_subject = prefixes_of("svc", "m", make_parts("a", "y"))
        self.assertAlmostEqual(table.expected_cached_tokens(0.0, same_subject, first), 6_000)
        self.assertAlmostEqual(
            table.expected_cached_tokens(0.0, prefixes_of("svc", "m", make_parts("b", "y")), first), 2_000
        )
        self.assertEqual(table.expected_cached_tokens(0.0, same_subject, make_server(2)), 0.0)
        self.assertLess(table.expected_cached_tokens(20.0, same_subject, first), 3_000)
        self.assertEqual(list(table.servers_with(same_subject)), [first])

    def test_a_server_that_left_the_list_is_removed(self) -> None:
        table, first = PrefixTable(100, 100, 60.0), make_server(1)
        prefixes = prefixes_of("svc", "m", make_parts("a", "x"))
        table.record(0.0, prefixes, first)
        first.listed = False
        self.assertEqual(list(table.servers_with(prefixes)), [])

    def test_the_number_of_entries_is_bounded(self) -> None:
        table = PrefixTable(500, 100, 60.0)
        servers = [make_server(number) for number in range(30)]
        for number in range(5_000):
            prefixes = prefixes_of("svc", "m", make_parts(f"s{number}", f"o{number}"))
            table.record(number * 0.001, prefixes, servers[number % 30])
        self.assertLessEqual(len(table), 600)
        prefix_servers = table._shared.get(prefixes_of("svc", "m", make_parts("s4999", "x"))[0].key)
        assert prefix_servers is not None
        self.assertLessEqual(len(prefix_servers.servers), MAX_SERVERS_PER_PREFIX)

    def test_unused_entries_expire(self) -> None:
        table, first = PrefixTable(10_000, 10_000, 60.0), make_server(1)
        for number in range(100):
            table.record(0.0, prefixes_of("svc", "m", make_parts(f"s{number}", f"o{number}")), first)
        for number in range(100):
            table.record(100.0, prefixes_of("svc", "m", make_parts(f"t{number}", f"p{number}")), first)
        self.assertLessEqual(len(table), 202)

    def test_memory_of_a_prefix_is_small(self) -> None:
        table = PrefixTable(11_000, 10, 60.0)
        first = make_server(1)
        table.record(0.0, prefixes_of("svc", "m", make_parts("a", "x")), first)
        prefix_servers = table._shared.get(prefixes_of("svc", "m", make_parts("a", "x"))[1].key)
        assert prefix_servers is not None
        size = (
            sys.getsizeof(prefix_servers)
            + sys.getsizeof(prefix_servers.servers)
            + sys.getsizeof(prefix_servers.times)
            + 24
            + 32
        )
        self.assertLess(size, 500)


class RendezvousTest(unittest.TestCase):
    def rendezvous_of(self, servers: list[Server]) -> Rendezvous:
        rendezvous = Rendezvous()
        for each in servers:
            rendezvous.set(each, True)
        return rendezvous

    def check(self, count: int, max_moved: float, max_imbalance: float) -> None:
        servers = [make_server(number) for number in range(count)]
        keys = [random.Random(key).getrandbits(64) for key in range(4_000)]
        rendezvous = self.rendezvous_of(servers)
        before = {key: rendezvous.first_two(key) for key in keys}
        shuffled = servers[:]
        random.Random(1).shuffle(shuffled)
        other_edge = self.rendezvous_of(shuffled)
        self.assertTrue(all(other_edge.first_two(key) == before[key] for key in keys))
        counts = Counter(first.id for first, _ in before.values())
        self.assertLess(max(counts.values()), max_imbalance * max(1.0, len(keys) / count))
        removed = servers[count // 2]
        rendezvous.set(removed, False)
        for key in keys:  # keys of the removed server move to their second one
            first, second = before[key]
            if first is removed and count <= MAX_FULLY_RANKED:
                self.assertIs(rendezvous.first_two(key)[0], second)
        moved = sum(rendezvous.first_two(key)[0] is not before[key][0] for key in keys)
        self.assertLessEqual(moved, max_moved * len(keys))
        rendezvous.set(removed, True)
        self.assertTrue(all(rendezvous.first_two(key) == before[key] for key in keys))

    def test_few_servers(self) -> None:
        self.check(9, 0.16, 1.3)

    def test_many_servers(self) -> None:
        self.check(400, 0.03, 5.0)

    def test_one_server_and_none(self) -> None:
        self.assertEqual(Rendezvous().first_two(1), [])
        only = make_server(1)
        self.assertEqual(self.rendezvous_of([only]).first_two(1), [only])


class PrefixAffinityTest(unittest.TestCase):
    """Requests with a shared prefix go to the same server from every edge, unless that server is busy."""

    def make_router(self, seed: int, count: int = 9, edges: int = 6) -> Router:
        router = Router(random.Random(seed).random, TUNING)
        entries = [ServerEntry(f"i-{number:x}", f"10.0.0.{number}:80", "east", 64, True) for number in range(count)]
        router.apply_servers(0.0, "svc", entries)
        router.apply_limits(0.0, "svc", 60 * edges, edges)
        return router

    def send(self, router: Router, now: float, ticket: int, topic: str, shared_tokens: int = 4_000) -> str:
        prompt = make_parts(topic, f"own{ticket}", shared_tokens)
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

    def test_edges_select_the_same_server_without_communication(self) -> None:
        edges = [self.make_router(seed) for seed in range(6)]
        for number in range(40):
            names = {self.send(router_of_edge, float(number), number, f"subject{number}") for router_of_edge in edges}
            self.assertEqual(len(names), 1)
            for router_of_edge in edges:
                self.finish(router_of_edge, number + 0.1, number, next(iter(names)))

    def test_requests_with_a_shared_prefix_stay_at_one_server(self) -> None:
        router = self.make_router(1)
        names = set()
        for number in range(30):
            name = self.send(router, number * 0.5, number, "subject")
            names.add(name)
            self.finish(router, number * 0.5 + 0.1, number, name)
        self.assertEqual(len(names), 1)

    def test_a_hot_prefix_spreads_to_other_servers(self) -> None:
        router = self.make_router(1, edges=1)
        names = Counter(self.send(router, 0.001 * number, number, "subject") for number in range(40))
        self.assertGreater(len(names), 2)
        self.assertGreater(names.most_common(1)[0][1], 2)

    def test_a_server_with_the_prefix_is_preferred_over_a_new_rendezvous_order(self) -> None:
        router = self.make_router(1)
        name = self.send(router, 0.0, 1, "subject")
        self.finish(router, 0.1, 1, name)
        entries = [ServerEntry(f"i-{number:x}", f"10.0.0.{number}:80", "east", 64, True) for number in range(40)]
        router.apply_servers(1.0, "svc", entries)
        self.assertEqual(self.send(router, 1.0, 2, "subject"), name)

    def test_a_server_that_fails_loses_its_prefixes(self) -> None:
        router = self.make_router(1)
        name = self.send(router, 0.0, 1, "subject")
        again = router.report(0.01, 1, name, AttemptResult.CONNECT_FAILED, True)
        assert isinstance(again[0], Send)
        self.assertNotEqual(again[0].server_id, name)
        self.finish(router, 0.011, 1, again[0].server_id)
        self.assertEqual(self.send(router, 0.011, 2, "subject"), again[0].server_id)


if __name__ == "__main__":
    unittest.main()
