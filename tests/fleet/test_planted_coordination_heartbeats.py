"""Heartbeats: what is reported, to whom, and what is taken from those of others."""

from __future__ import annotations

import unittest
from typing import Any

from rosechute.coordination.actions import SendMessage
from rosechute.coordination.chain import Chain
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.heartbeats import Heartbeats
from rosechute.coordination.leader_lease import LeaderLease, LeaseRole
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.replica_config import Timing
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import EPOCH, NOW, Parts, identity, term, view

TIMING = Timing()


class HeartbeatsTest(unittest.TestCase):
    """Content and targets of heartbeats, and the effect of received ones."""

    def setUp(self) -> None:
        self.make(Parts())

    def make(self, parts: Parts) -> None:
        self.parts = parts
        self.lease_grantor = LeaseGrantor(parts.context, NOW - 1.0)
        self.leader_lease = LeaderLease(parts.context, self.lease_grantor)
        self.commits: list[int] = []
        self.chain = Chain(parts.context, EpochConfirmer(parts.context), lambda: self.commits.append(1))
        seeds = [("s:8367", "s:7500"), ("b:8367", "b:7500")]
        self.heartbeats = Heartbeats(parts.context, self.chain, self.lease_grantor, self.leader_lease, seeds)

    def sent_heartbeats(self) -> dict[str, Any]:
        self.heartbeats.send()
        return {
            each.address: each.message.heartbeat for each in self.parts.actions() if isinstance(each, SendMessage)
        }

    def test_reported_state(self) -> None:
        self.parts.replica_state.newcomer = True
        self.parts.replica_state.term = term(4)
        heartbeat = self.sent_heartbeats()["b:7500"]
        self.assertEqual(
            (heartbeat.stamp, heartbeat.epoch, heartbeat.sequence, heartbeat.committed), (NOW, EPOCH, 5, 5)
        )
        self.assertEqual(
            (heartbeat.sealed, heartbeat.joined, heartbeat.active, heartbeat.healthy), (False, True, False, True)
        )
        self.assertFalse(heartbeat.leaving)
        self.assertEqual((list(heartbeat.reached), heartbeat.term, heartbeat.leads), (["b", "c"], 4, False))
        self.assertEqual((heartbeat.lease_free, heartbeat.lease_kept_for, heartbeat.newcomer), (True, "", True))
        self.assertEqual((heartbeat.echo, heartbeat.echo_boot), (NOW, 8))

    def test_reported_state_in_other_conditions(self) -> None:
        self.parts.seal()
        self.parts.context.is_leaving = True
        self.parts.context.joined_epoch = 0
        self.chain.is_active = True
        self.parts.replica_state.uncommitted = self.parts.replica_state.committed.with_write(EPOCH, 51, b"", b"")
        heartbeat = self.sent_heartbeats()["b:7500"]
        self.assertEqual(
            (heartbeat.sealed, heartbeat.joined, heartbeat.active, heartbeat.healthy), (True, False, True, False)
        )
        self.assertTrue(heartbeat.leaving)
        self.assertEqual(
            (heartbeat.sequence, heartbeat.committed, heartbeat.lease_free, heartbeat.newcomer), (6, 5, False, False)
        )

    def test_not_joined_before_the_first_epoch(self) -> None:
        self.parts.context.joined_epoch = self.parts.context.adopted_epoch = 0
        self.assertFalse(self.sent_heartbeats()["b:7500"].joined)

    def test_reported_epoch_is_the_synced_one(self) -> None:
        self.parts.context.adopted_epoch = EPOCH - 1
        heartbeat = self.sent_heartbeats()["b:7500"]
        self.assertEqual((heartbeat.epoch, heartbeat.sealed, heartbeat.joined), (EPOCH - 1, True, False))

    def test_leader_reports_its_term(self) -> None:
        self.parts.replica_state.term = term(4)
        self.leader_lease.role, self.leader_lease.term, self.leader_lease.valid_until = LeaseRole.LEADER, 9, NOW + 1.0
        heartbeat = self.sent_heartbeats()["b:7500"]
        self.assertEqual((heartbeat.term, heartbeat.leads), (9, True))
        self.leader_lease.valid_until = NOW
        heartbeat = self.sent_heartbeats()["b:7500"]
        self.assertEqual((heartbeat.term, heartbeat.leads), (4, False))

    def test_reports_for_whom_the_lease_is_reserved(self) -> None:
        self.lease_grantor.granted_until, self.lease_grantor.granted_term = NOW + 1.0, term(1, "c")
        heartbeat = self.sent_heartbeats()["b:7500"]
        self.assertEqual((heartbeat.lease_free, heartbeat.lease_kept_for), (False, "c"))

    def test_targets_are_acceptors_and_known_peers(self) -> None:
        self.parts.receive_heartbeat("z")
        self.assertEqual(sorted(self.sent_heartbeats()), ["b:7500", "c:7500", "z:7500"])
        self.assertEqual(self.heartbeats.next_at, NOW + TIMING.heartbeat_period_s)

    def test_seeds_are_targets_while_isolated_only(self) -> None:
        self.assertNotIn("s:7500", self.sent_heartbeats())
        self.parts.advance(2.0, heartbeats_of="b")
        self.assertIn("s:7500", self.sent_heartbeats())
        self.make(Parts("z", "abc"))
        self.assertIn("s:7500", self.sent_heartbeats(), "outside of the view")

    def test_heartbeat_to_a_seed_echoes_nothing(self) -> None:
        self.parts.advance(2.0)
        heartbeat = self.sent_heartbeats()["s:7500"]
        self.assertEqual((heartbeat.stamp, heartbeat.echo, heartbeat.echo_boot), (NOW + 2.0, 0.0, 0))

    def test_each_target_is_sent_one_heartbeat(self) -> None:
        self.parts.advance(2.0)
        self.heartbeats.send()
        addresses = [each.address for each in self.parts.actions() if isinstance(each, SendMessage)]
        self.assertEqual(sorted(addresses), ["b:7500", "c:7500", "s:7500"])

    def test_send_clears_the_due_heartbeat(self) -> None:
        self.parts.context.heartbeat_due = True
        self.sent_heartbeats()
        self.assertFalse(self.parts.context.heartbeat_due)

    def receive(self, name: str, boot: int = 8, **fields: Any) -> Any:
        known: dict[str, Any] = {"stamp": self.parts.now, "epoch": EPOCH, "sequence": 6, "healthy": True}
        return self.heartbeats.receive(identity(name), boot, pb.Heartbeat(**(known | fields)))

    def test_outdated_and_own_heartbeats_are_ignored(self) -> None:
        self.parts.receive_heartbeat("b", incarnation=9)
        self.assertIsNone(self.receive("b", 8))
        self.assertIsNone(self.receive("b", 9, stamp=NOW - 1))
        self.assertIsNone(self.receive("a"))
        self.assertIs(self.receive("b", 9), self.parts.detector.peers["b"])
        self.assertNotIn("a", self.parts.detector.peers)

    def test_heartbeat_of_the_tail_commits_writes(self) -> None:
        written = self.parts.replica_state.uncommitted = self.parts.replica_state.committed.with_write(
            EPOCH, 51, b"", b""
        )
        for name, fields in (("b", {}), ("c", {"sealed": True}), ("c", {"epoch": EPOCH - 1}), ("c", {"sequence": 5})):
            self.receive(name, **fields)
            self.assertEqual(self.parts.replica_state.uncommitted, written, (name, fields))
        self.receive("c")
        self.assertEqual(self.parts.replica_state.committed, written)

    def test_machine_without_a_view_receives_heartbeats(self) -> None:
        self.parts.replica_state.view = view(chain="")
        self.assertIsNotNone(self.receive("c"))
