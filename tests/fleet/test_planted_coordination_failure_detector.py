"""FailureDetector: reachability, health, readmission and pairs that do not reach each other."""

from __future__ import annotations

import unittest

from rosechute.coordination.failure_detector import FORGET_UNKNOWN_AFTER_S, NEVER, FailureDetector
from rosechute.coordination.replica_config import Timing
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import NOW, OWN_INCARNATION, Parts, identity

TIMING = Timing()


class FailureDetectorTest(unittest.TestCase):
    """A machine is healthy while it echoes recent heartbeats; outdated ones are ignored."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.detector = self.parts.detector

    def test_healthy_while_heartbeats_are_echoed(self) -> None:
        limit = TIMING.suspect_after_s + TIMING.heartbeat_period_s
        self.parts.advance(limit - 0.01)
        self.detector.tick(self.parts.now, "abc", is_planning=False)
        self.assertTrue(self.detector.is_healthy("b"))
        self.assertEqual(sorted(self.detector.reachable_ids(self.parts.now)), ["b", "c"])
        self.parts.advance(0.02, heartbeats_of="c")
        self.detector.tick(self.parts.now, "abc", is_planning=False)
        self.assertEqual([self.detector.is_healthy(each) for each in "bcz"], [False, True, False])
        self.assertEqual(self.detector.reachable_ids(self.parts.now), ["c"])
        self.assertTrue(self.detector.is_reachable(self.parts.now, "a"))
        self.assertFalse(self.detector.is_reachable(self.parts.now, "z"))

    def test_heartbeats_without_a_recent_echo_do_not_count(self) -> None:
        self.parts.advance(1.0)
        for fields in ({"echo_boot": OWN_INCARNATION + 1}, {"echo": self.parts.now + 5.0}, {"echo": NOW}):
            self.parts.receive_heartbeat("b", **fields)
            self.assertFalse(self.detector.is_healthy("b"), fields)
            self.assertFalse(self.detector.is_reachable(self.parts.now, "b"), fields)

    def test_peer_that_reports_itself_unhealthy(self) -> None:
        self.parts.receive_heartbeat("b", healthy=False)
        self.assertFalse(self.detector.is_healthy("b"))
        self.assertTrue(self.detector.is_reachable(NOW, "b"))

    def test_outdated_heartbeats_are_ignored(self) -> None:
        self.parts.receive_heartbeat("b", incarnation=9, sequence=7)
        peer = self.detector.peers["b"]
        self.parts.receive_heartbeat("b", incarnation=8, sequence=9, stamp=NOW + 1)
        self.parts.receive_heartbeat("b", incarnation=9, sequence=9, stamp=NOW - 1)
        self.assertEqual((peer.incarnation, peer.heartbeat.sequence), (9, 7))

    def test_past_incarnation_is_accepted_after_the_silence_of_its_successor(self) -> None:
        silence = self.parts.context.timing.suspect_after_s + self.parts.context.timing.heartbeat_period_s
        self.parts.receive_heartbeat("b", incarnation=9)
        self.parts.advance(silence - 0.01)
        self.parts.receive_heartbeat("b", incarnation=8, stamp=NOW + 1)
        self.assertEqual(self.detector.peers["b"].incarnation, 9)
        self.parts.advance(0.02)
        self.parts.receive_heartbeat("b", incarnation=8, stamp=NOW + 2)
        peer = self.detector.peers["b"]
        self.assertEqual((peer.incarnation, peer.past_incarnations, peer.last_received_at), (8, {9}, self.parts.now))

    def test_new_incarnation_starts_without_echoes(self) -> None:
        self.parts.advance(0.1)
        self.parts.receive_heartbeat("b", incarnation=9, echo_boot=0, echo=0.0, stamp=1.0)
        peer = self.detector.peers["b"]
        self.assertEqual(
            (peer.incarnation, peer.echoed_stamp, peer.last_answered_at, peer.is_healthy), (9, NEVER, NEVER, False)
        )
        self.assertEqual(peer.past_incarnations, {8})
        self.assertEqual((peer.heartbeat.stamp, peer.last_received_at), (1.0, self.parts.now))

    def test_new_incarnation_restarts_healthy_since(self) -> None:
        self.parts.advance(0.1)
        self.parts.receive_heartbeat("b", incarnation=9)
        self.assertEqual(self.detector.peers["b"].healthy_since, self.parts.now)
        self.parts.advance(0.1)
        self.parts.receive_heartbeat("b", incarnation=9)
        self.assertEqual(self.detector.peers["b"].healthy_since, NOW + 0.1)

    def test_echoed_stamp_never_goes_back(self) -> None:
        self.parts.receive_heartbeat("b", echo=NOW - 5.0)
        peer = self.detector.peers["b"]
        self.assertEqual((peer.echoed_stamp, peer.last_answered_at), (NOW, NOW))

    def test_identity_is_updated(self) -> None:
        new = type(identity("b"))("b", "other", "z", "other:8367", "other:7500")
        self.detector.on_heartbeat(NOW, new, 8, pb.Heartbeat(stamp=NOW + 1))
        self.assertEqual(self.detector.peers["b"].identity, new)

    def test_own_pause_does_not_count_as_silence(self) -> None:
        self.parts.advance(5.0)
        self.detector._unreachable_since[("b", "c")] = NOW
        self.detector.compensate_pause(5.0)
        self.assertEqual(self.detector.silence_s(self.parts.now, "b"), 0.0)
        self.assertTrue(self.detector.is_reachable(self.parts.now, "b"))
        peer = self.detector.peers["b"]
        self.assertEqual((peer.healthy_since, peer.echoed_stamp), (NOW + 5.0, NOW), "an answer is as old as it is")
        self.assertEqual(self.detector.unreachable_pairs(self.parts.now + 9), set())

    def test_silent_machines_outside_of_the_view_are_forgotten(self) -> None:
        self.parts.receive_heartbeat("z")
        self.parts.advance(FORGET_UNKNOWN_AFTER_S - 0.01)
        self.detector.tick(self.parts.now, "abc", is_planning=False)
        self.assertIn("z", self.detector.peers)
        self.parts.advance(0.02)
        self.detector.tick(self.parts.now, "abc", is_planning=False)
        self.assertEqual(sorted(self.detector.peers), ["b", "c"])

    def test_reachable_from_another(self) -> None:
        self.parts.receive_heartbeat("c", reached=["b"])
        self.assertTrue(self.detector.is_reachable_from_another(NOW, "b"))
        self.parts.receive_heartbeat("c", reached=["a"])
        self.parts.receive_heartbeat("b", reached=["a"])
        self.assertFalse(self.detector.is_reachable_from_another(NOW, "b"))
        self.parts.receive_heartbeat("c", reached=["b"])
        self.assertFalse(self.detector.is_reachable_from_another(NOW + 2.0, "b"), "c itself is not reached")

    def settles_after(self, removals: int) -> float:
        """How long a machine has to be healthy before it may come back."""
        peer = self.detector.peers["b"]
        peer.removals = [NOW - 1.0] * removals
        for tenths in range(1, 80):
            if self.detector.is_readmittable(NOW + tenths / 10 + 0.001, "b"):
                return tenths / 10
        return 8.0

    def test_readmission_delay_doubles_with_removals(self) -> None:
        waits = [self.settles_after(removals) for removals in (0, 1, 2, 3, 4, 5, 9)]
        self.assertEqual(waits, [0.3, 0.3, 0.6, 1.2, 2.4, 4.8, 5.0])
        self.assertFalse(self.detector.is_readmittable(NOW + 9, "z"))
        self.detector.peers["b"].is_healthy = False
        self.assertFalse(self.detector.is_readmittable(NOW + 9, "b"))

    def test_old_removals_are_forgotten(self) -> None:
        peer = self.detector.peers["b"]
        peer.removals = [NOW - TIMING.removal_memory_s - 1.0] * 5
        self.assertTrue(self.detector.is_readmittable(NOW + 0.31, "b"))
        self.detector.record_removal(NOW, "b")
        self.assertEqual(peer.removals, [NOW])
        self.detector.record_removal(NOW, "b")
        self.detector.record_removal(NOW, "z")
        self.assertEqual(peer.removals, [NOW, NOW])

    def test_silence(self) -> None:
        self.assertEqual(self.detector.silence_s(NOW + 1, "a"), 0.0)
        self.assertEqual(self.detector.silence_s(NOW + 1, "b"), 1.0)
        self.assertEqual(self.detector.silence_s(NOW, "z"), 60.0)

    def conflicts(self, now: float) -> set[tuple[str, str]]:
        self.detector.tick(now, "abc", is_planning=True)
        return self.detector.unreachable_pairs(now)

    def test_unreachable_pairs_count_after_a_delay(self) -> None:
        for reached in ({"b": ["a"], "c": ["a", "b"]}, {"b": ["a", "c"], "c": ["a"]}):
            self.setUp()
            for each, seen in reached.items():
                self.parts.receive_heartbeat(each, reached=seen)
            self.assertEqual(self.conflicts(NOW), set())
            self.assertEqual(self.conflicts(NOW + TIMING.conflict_after_s - 0.01), set())
            self.assertEqual(self.conflicts(NOW + TIMING.conflict_after_s), {("b", "c")})

    def test_unreachable_pairs_end(self) -> None:
        self.parts.receive_heartbeat("b", reached=["a"])
        self.conflicts(NOW)
        self.parts.receive_heartbeat("b")
        self.conflicts(NOW + 0.1)
        self.parts.receive_heartbeat("b", reached=["a"])
        self.assertEqual(self.conflicts(NOW + TIMING.conflict_after_s), set())

    def test_unreachable_pairs_are_tracked_while_planning_only(self) -> None:
        self.parts.receive_heartbeat("b", reached=["a"])
        self.conflicts(NOW)
        self.detector.tick(NOW + 0.3, "abc", is_planning=False)
        self.assertEqual(self.conflicts(NOW + 0.6), set())

    def test_unhealthy_machines_form_no_unreachable_pairs(self) -> None:
        self.parts.receive_heartbeat("b", reached=["a"], healthy=False)
        self.conflicts(NOW)
        self.assertEqual(self.conflicts(NOW + TIMING.conflict_after_s), set())

    def test_unreachable_pairs_are_sorted(self) -> None:
        detector = FailureDetector(identity("a"), OWN_INCARNATION, TIMING, NOW)
        for each in "cb":
            detector.on_heartbeat(
                NOW, identity(each), 1, pb.Heartbeat(stamp=NOW, healthy=True, echo=NOW, echo_boot=OWN_INCARNATION)
            )
        detector.tick(NOW, "abc", is_planning=True)
        self.assertEqual(list(detector._unreachable_since), [("b", "c")])
