"""The store of topics: positions never go back, and deltas apply to their base only."""

from __future__ import annotations

import unittest
from typing import Any

from rosechute.distribution.store import TopicStore, UpdateResult
from rosechute.distribution.topics import NO_POSITION
from rosechute.distribution.values import Configuration, ListedServer
from rosechute.messages import distribution_pb2 as pb
from tests.fleet.distribution_builders import NOW, TOPIC, listed, server


class StoreTest(unittest.TestCase):
    """Nothing that is held ever goes back."""

    def setUp(self) -> None:
        self.store = TopicStore()

    def take(
        self, position: tuple[int, int], *servers: ListedServer, base: int = 0, removed: Any = ()
    ) -> UpdateResult:
        whole = not base
        message = listed(*servers, position=position).update_message(NO_POSITION, NOW).list
        message.whole, message.base_revision = whole, base
        message.removed.extend(removed)
        return self.store.apply_list(message, NOW)

    def held(self) -> list[str]:
        found = self.store.service_list("svc")
        assert found is not None
        return sorted(found.servers)

    def test_newer_configurations_only(self) -> None:
        for sequence, taken in (
            (2, UpdateResult.APPLIED),
            (2, UpdateResult.STALE),
            (1, UpdateResult.STALE),
            (3, UpdateResult.APPLIED),
        ):
            update = (
                Configuration.from_body(sequence, sequence, b"body %d" % sequence)
                .update_message(NO_POSITION, NOW)
                .config
            )
            self.assertIs(self.store.apply_configuration(update), taken)
        found = self.store.configuration()
        assert found is not None
        self.assertEqual((found.sequence, found.body), (3, b"body 3"))

    def test_a_broken_configuration(self) -> None:
        self.assertIs(self.store.apply_configuration(pb.ConfigUpdate(sequence=9, body=b"x")), UpdateResult.INVALID)
        self.assertIsNone(self.store.configuration())

    def test_newer_lists_only_by_term_first(self) -> None:
        cases = (
            ((3, 5), UpdateResult.APPLIED),
            ((3, 5), UpdateResult.STALE),
            ((3, 4), UpdateResult.STALE),
            ((2, 9), UpdateResult.STALE),
        )
        for position, taken in (*cases, ((4, 1), UpdateResult.APPLIED)):
            self.assertIs(self.take(position, server(position[1])), taken, position)
        self.assertEqual((self.held(), self.store.position(TOPIC)), (["i-1"], (4, 1)))

    def test_a_delta_against_the_position_held(self) -> None:
        self.take((3, 1), server(1), server(2), server(3))
        self.assertIs(self.take((3, 2), server(2, slots=9), server(4), base=1, removed=["i-1"]), UpdateResult.APPLIED)
        found = self.store.service_list("svc")
        assert found is not None
        self.assertEqual(sorted(found.servers), ["i-2", "i-3", "i-4"])
        self.assertEqual(found.servers["i-2"].slots, 9)

    def test_a_stale_delta_is_no_gap(self) -> None:
        self.take((3, 3), server(1))
        self.assertIs(self.take((3, 2), server(2), base=1), UpdateResult.STALE)

    def test_a_delta_against_another_base_is_a_gap(self) -> None:
        self.assertIs(self.take((3, 2), server(1), base=1), UpdateResult.GAP)
        self.take((3, 1), server(1))
        self.assertIs(self.take((3, 3), server(2), base=2), UpdateResult.GAP)
        self.assertIs(self.take((4, 2), server(2), base=1), UpdateResult.GAP)
        self.assertEqual(self.held(), ["i-1"])

    def test_a_list_without_a_service_is_invalid(self) -> None:
        self.assertIs(self.store.apply_list(pb.ListUpdate(whole=True), NOW), UpdateResult.INVALID)

    def test_values(self) -> None:
        value = listed(server(1))
        self.assertIs(self.store.put(value), UpdateResult.APPLIED)
        self.assertIs(self.store.put(listed(position=(2, 9))), UpdateResult.STALE)
        self.assertEqual((self.store.lists(), self.store.topics()), ([value], [TOPIC]))
        self.assertEqual(self.store.position("list/other"), NO_POSITION)


if __name__ == "__main__":
    unittest.main()
