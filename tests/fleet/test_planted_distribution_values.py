"""Values and their updates as messages: snapshots and deltas are decoded to what was encoded."""

from __future__ import annotations

import unittest
import zlib
from dataclasses import replace

from rosechute.distribution.topics import (
    CONFIG_TOPIC,
    NO_POSITION,
    Position,
    list_position,
    reported_positions,
    service_of,
    topic_position,
)
from rosechute.distribution.values import Configuration, decode_configuration, decode_servers
from rosechute.messages import distribution_pb2 as pb
from tests.fleet.distribution_builders import NOW, TOPIC, listed, server


class ValuesTest(unittest.TestCase):
    """Values go over links unchanged, whole or as their changes."""

    def test_configuration(self) -> None:
        value = Configuration.from_body(4, 7, b"body" * 50)
        update = value.update_message(NO_POSITION, NOW).config
        self.assertEqual((update.sequence, update.version), (4, 7))
        self.assertEqual(decode_configuration(update), value)
        self.assertEqual((value.topic, value.position), (CONFIG_TOPIC, (0, 4)))

    def test_a_body_that_is_cut_or_broken(self) -> None:
        whole = zlib.compress(b"body" * 50)
        for body in (whole[:-3], b"nonsense", b""):
            self.assertIsNone(decode_configuration(pb.ConfigUpdate(sequence=1, version=1, body=body)))

    def test_servers(self) -> None:
        cold = server(1, cold_until=NOW + 2.5, zone="y", slots=9, ready=False)
        value = listed(cold, server(2))
        update = value.update_message(NO_POSITION, NOW).list
        self.assertEqual((update.position, update.whole), (list_position("svc", Position(3, 1)), True))
        self.assertEqual(decode_servers(update, NOW), [cold, server(2)])
        self.assertEqual(decode_servers(update, NOW + 1.0)[0].cold_until, NOW + 3.5, "by the clock of the receiver")
        self.assertEqual(value.update_message(NO_POSITION, NOW + 9.0).list.servers[0].cold_remaining_ms, 0)

    def test_a_delta_against_the_base_only(self) -> None:
        old = listed(server(1), server(2))
        value = listed(server(2), server(3), position=(3, 2), old=old)
        self.assertEqual((value.base, value.changed, value.removed), ((3, 1), (server(3),), ("i-1",)))
        delta = value.update_message(Position(3, 1), NOW).list
        self.assertEqual((delta.whole, delta.base_revision), (False, 1))
        self.assertEqual(([each.id for each in delta.servers], list(delta.removed)), (["i-3"], ["i-1"]))
        for held in (NO_POSITION, Position(2, 1), Position(3, 0)):
            whole = value.update_message(held, NOW).list
            self.assertEqual((whole.whole, whole.base_revision, len(whole.servers)), (True, 0, 2), held)
            self.assertEqual(list(whole.removed), [])

    def test_no_changes_across_terms(self) -> None:
        value = listed(server(1), position=(4, 1), old=listed(server(1)))
        self.assertEqual(value.base, NO_POSITION)
        self.assertTrue(value.update_message(Position(3, 1), NOW).list.whole)

    def test_servers_that_are_the_same_keep_their_entry(self) -> None:
        first = server(1, cold_until=NOW + 2.0)
        old = listed(first)
        value = listed(replace(first, cold_until=NOW + 2.1), position=(3, 2), old=old)
        self.assertIs(value.servers["i-1"], first)
        self.assertTrue(value.is_unchanged)
        self.assertFalse(listed(position=(3, 2), old=old).is_unchanged)
        self.assertFalse(listed(server(1), server(2), position=(3, 2), old=old).is_unchanged)

    def test_a_message_is_encoded_once_for_a_moment(self) -> None:
        value = listed(server(1, cold_until=NOW + 2.0))
        self.assertIs(value.update_message(NO_POSITION, NOW), value.update_message(NO_POSITION, NOW))
        self.assertEqual(value.update_message(NO_POSITION, NOW + 1.0).list.servers[0].cold_remaining_ms, 1000)

    def test_positions_in_messages(self) -> None:
        renew = pb.Renew(config_sequence=4, lists=[list_position("svc", Position(3, 2))])
        self.assertEqual(reported_positions(renew), {CONFIG_TOPIC: (0, 4), TOPIC: (3, 2)})
        self.assertEqual(topic_position(pb.Subscribe(topic=CONFIG_TOPIC, config_sequence=4)), (0, 4))
        subscribe = pb.Subscribe(topic=TOPIC, list=list_position("svc", Position(3, 2)))
        self.assertEqual(topic_position(subscribe), (3, 2))
        self.assertEqual(service_of(TOPIC), "svc")


if __name__ == "__main__":
    unittest.main()
