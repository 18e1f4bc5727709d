"""The parts of the publisher by themselves: core machines, freshness, endpoint lists, fetches in flight."""

from __future__ import annotations

import unittest

from rosechute.distribution.core_directory import CoreAddress, CoreDirectory
from rosechute.distribution.endpoint_lists import EndpointLists
from rosechute.distribution.freshness import LARGEST_AGE_MS, ConfigurationFreshness
from rosechute.distribution.recent_fetches import REPEAT_AFTER_S, RecentFetches
from rosechute.distribution.store import TopicStore
from rosechute.distribution.topics import CONFIG_TOPIC, Position, list_topic
from rosechute.distribution.values import Configuration
from rosechute.messages import distribution_pb2 as pb
from tests.fleet.distribution_builders import NOW, TOPIC, server


class CoreDirectoryTest(unittest.TestCase):
    """Edges that send the digest of the current machines need no copy of them."""

    def test_machines_are_unknown_to_another_digest(self) -> None:
        directory = CoreDirectory()
        self.assertEqual((directory.digest, directory.unknown_to(0)), (0, ()))
        directory.set_machines([CoreAddress("x", "x:1", "x:2")])
        first = directory.digest
        self.assertEqual(directory.unknown_to(first), ())
        self.assertEqual(directory.unknown_to(0), (pb.CoreMachine(id="x", address="x:1", control="x:2"),))
        directory.set_machines([CoreAddress("x", "x:1", "x:3")])
        self.assertNotEqual(directory.digest, first)
        self.assertEqual(len(directory.unknown_to(first)), 1)


class ConfigurationFreshnessTest(unittest.TestCase):
    """The newest knowledge counts, by the time as of which it holds."""

    def report(self, freshness: ConfigurationFreshness, now: float, held: int = 0) -> pb.Renewed:
        answer = pb.Renewed()
        freshness.report(now, held, answer)
        return answer

    def test_nothing_is_known_at_first(self) -> None:
        answer = self.report(ConfigurationFreshness(), NOW, held=3)
        self.assertEqual((answer.config_known, answer.config_sequence, answer.config_age_ms), (False, 3, 0))

    def test_the_age_grows_and_older_knowledge_is_ignored(self) -> None:
        freshness = ConfigurationFreshness()
        freshness.update(NOW, 4, 0.25)
        freshness.update(NOW, 9, 0.5)
        answer = self.report(freshness, NOW + 1.0)
        self.assertEqual((answer.config_known, answer.config_sequence, answer.config_age_ms), (True, 4, 1250))
        freshness.update(NOW, 9, 0.25)
        self.assertEqual(self.report(freshness, NOW).config_sequence, 9)

    def test_the_age_fits_its_field(self) -> None:
        freshness = ConfigurationFreshness()
        freshness.update(NOW, 1, 0.0)
        self.assertEqual(self.report(freshness, NOW + 1e9).config_age_ms, LARGEST_AGE_MS)


class EndpointListsTest(unittest.TestCase):
    """Readings of one term become revisions; lists of other terms are fenced."""

    def setUp(self) -> None:
        self.store = TopicStore()
        self.lists = EndpointLists(self.store)
        self.lists.begin_term(3)

    def test_only_changes_make_a_revision(self) -> None:
        self.assertEqual(self.lists.apply_reading(NOW, [server(1)]), [TOPIC])
        self.assertEqual(self.lists.apply_reading(NOW, [server(1)]), [])
        self.assertEqual(self.lists.apply_reading(NOW, []), [TOPIC])
        self.assertEqual(self.store.position(TOPIC), Position(3, 2))

    def test_unlisted_services_are_emptied_once_a_list_was_read(self) -> None:
        self.assertEqual(self.lists.empty_unlisted(NOW, ["gone"]), [])
        self.lists.apply_reading(NOW, [server(1)])
        self.assertEqual(self.lists.empty_unlisted(NOW, ["svc", "gone", "gone"]), [list_topic("gone")])
        self.lists.begin_term(4)
        self.assertEqual(self.lists.empty_unlisted(NOW, ["gone"]), [])

    def test_lists_are_sendable_by_the_leader_in_their_own_term(self) -> None:
        self.lists.apply_reading(NOW, [server(1)])
        self.assertIsNotNone(self.lists.sendable(TOPIC, is_leader=True))
        self.assertIsNone(self.lists.sendable(TOPIC, is_leader=False))
        self.assertEqual([value.topic for value in self.lists.of_this_term()], [TOPIC])
        self.lists.begin_term(4)
        self.assertIsNone(self.lists.sendable(TOPIC, is_leader=True))
        self.assertEqual(self.lists.of_this_term(), [])

    def test_the_configuration_is_always_sendable(self) -> None:
        self.assertIsNone(self.lists.sendable(CONFIG_TOPIC, is_leader=False))
        self.store.put(Configuration.from_body(1, 1, b"{}"))
        self.assertIsNotNone(self.lists.sendable(CONFIG_TOPIC, is_leader=False))


class RecentFetchesTest(unittest.TestCase):
    """A snapshot in flight is the same position, on the same connection, sent just now."""

    def setUp(self) -> None:
        self.fetches = RecentFetches()
        self.fetches.record(NOW, "c1", TOPIC, Position(3, 1))

    def test_in_flight_for_a_while(self) -> None:
        self.assertTrue(self.fetches.is_in_flight(NOW + REPEAT_AFTER_S - 0.1, "c1", TOPIC, Position(3, 1)))
        self.assertFalse(self.fetches.is_in_flight(NOW + REPEAT_AFTER_S, "c1", TOPIC, Position(3, 1)))

    def test_other_connections_topics_and_positions_are_not(self) -> None:
        self.assertFalse(self.fetches.is_in_flight(NOW, "c2", TOPIC, Position(3, 1)))
        self.assertFalse(self.fetches.is_in_flight(NOW, "c1", CONFIG_TOPIC, Position(3, 1)))
        self.assertFalse(self.fetches.is_in_flight(NOW, "c1", TOPIC, Position(3, 2)))

    def test_forgotten_with_the_connection_or_the_time(self) -> None:
        self.fetches.record(NOW + 1.0, "c2", TOPIC, Position(3, 1))
        self.fetches.expire(NOW + REPEAT_AFTER_S)
        self.assertEqual(list(self.fetches._sent), [("c2", TOPIC)])
        self.fetches.connection_closed("c2")
        self.assertEqual(self.fetches._sent, {})


if __name__ == "__main__":
    unittest.main()
