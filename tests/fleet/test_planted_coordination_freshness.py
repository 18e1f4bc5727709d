"""Freshness: as of when the newest acknowledged configuration is known."""

from __future__ import annotations

import unittest

from rosechute.coordination.freshness import Freshness
from rosechute.coordination.replica_config import Timing

from .coordination_parts import EPOCH, NOW, Parts, view

TIMING = Timing()


class FreshnessTest(unittest.TestCase):
    """As of when a machine knows the newest configuration: a majority and the tail, in one open epoch."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.freshness = Freshness(self.parts.context)

    def test_fresh_by_a_majority_and_the_tail(self) -> None:
        self.assertIsNone(self.freshness.bound(NOW))
        self.parts.receive_heartbeat("c", sequence=8)
        self.freshness.update()
        self.assertEqual(self.freshness.bound(NOW + 2.0), (8, 2.0))

    def test_as_of_the_oldest_echo_that_is_needed(self) -> None:
        self.parts.advance(0.4, heartbeats_of="b")
        self.freshness.update()
        self.assertEqual(self.freshness.bound(self.parts.now), (5, self.parts.now - NOW), "the tail answered earlier")
        self.parts.advance(0.4, heartbeats_of="c")
        self.freshness.update()
        self.assertEqual(self.freshness.as_of, self.parts.now, "own machine and tail are a majority")

    def test_three_of_five_are_needed(self) -> None:
        parts = Parts("e", "abcde")
        freshness = Freshness(parts.context)  # this machine is the tail
        parts.advance(0.4, heartbeats_of="ab")
        freshness.update()
        self.assertEqual(freshness.as_of, parts.now)
        parts.advance(0.4, heartbeats_of="a")
        freshness.update()
        self.assertEqual(freshness.as_of, NOW + 0.4)

    def test_no_freshness_without_contact_with_a_majority(self) -> None:
        for each in "ab":
            parts = Parts(each, chain="cab"[:2] + each if each != "a" else "bca")
            freshness = Freshness(parts.context)
            freshness.update()
            before = freshness.as_of
            self.assertEqual(before, NOW)
            parts.advance(9.0)
            freshness.update()
            self.assertEqual(freshness.as_of, NOW, "answers do not come any more")

    def test_none_without_heartbeats_of_the_others(self) -> None:
        parts = Parts("c")
        freshness = Freshness(parts.context)
        parts.detector.peers.clear()
        freshness.update()
        self.assertIsNone(freshness.as_of, "the tail alone is no majority")

    def test_echoes_of_another_or_a_sealed_epoch_are_ignored(self) -> None:
        for fields in ({"epoch": EPOCH - 1}, {"epoch": EPOCH + 1}, {"sealed": True}):
            self.setUp()
            self.parts.receive_heartbeat("c", **fields)
            self.freshness.update()
            self.assertIsNone(self.freshness.as_of, fields)

    def test_none_in_an_own_epoch_that_is_sealed(self) -> None:
        self.parts.seal()
        self.freshness.update()
        self.assertIsNone(self.freshness.as_of)

    def test_none_without_a_chain(self) -> None:
        self.parts.replica_state.view = view(chain="")
        self.freshness.update()
        self.assertIsNone(self.freshness.as_of)

    def test_none_before_the_first_echo(self) -> None:
        self.parts.receive_heartbeat("c", incarnation=9, echo_boot=0)
        self.freshness.update()
        self.assertIsNone(self.freshness.as_of)

    def test_never_goes_back(self) -> None:
        self.parts.receive_heartbeat("c", sequence=8)
        self.freshness.update()
        self.parts.receive_heartbeat("c", sequence=7)
        self.freshness.update()
        self.assertEqual(self.freshness.sequence, 8)
        self.freshness.as_of = NOW + 1
        self.parts.receive_heartbeat("c", sequence=9)
        self.freshness.update()
        self.assertEqual((self.freshness.sequence, self.freshness.as_of), (8, NOW + 1))

    def test_tail_uses_its_own_state(self) -> None:
        parts = Parts("c")
        freshness = Freshness(parts.context)
        freshness.update()
        self.assertEqual(freshness.bound(NOW), (5, 0.0))
