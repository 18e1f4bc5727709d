"""Agreed values: views, register states and their messages."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.replica_state import ReplicaState, chain_write_message
from rosechute.coordination.views import (
    APPLIED_WRITE_BYTES,
    MAX_APPLIED_WRITES,
    LeaderTerm,
    Proposal,
    RegisterState,
    StateTag,
    View,
    bootstrap_id,
    bootstrap_view,
    identity_from_message,
    identity_to_message,
    random_id,
)
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import DIGEST, EPOCH, identity, proposal, state, term, view


class MessagesTest(unittest.TestCase):
    """Values go through their messages unchanged."""

    def test_view(self) -> None:
        value = view(term=term(4), size=5, base_tag=StateTag(2, 4))
        self.assertEqual(View.from_message(pb.View.FromString(value.to_message().SerializeToString())), value)

    def test_state(self) -> None:
        value = RegisterState(3, 4, 5, b"body", DIGEST, b"t" * APPLIED_WRITE_BYTES)
        self.assertEqual(
            RegisterState.from_message(pb.State.FromString(value.to_message().SerializeToString())), value
        )

    def test_term(self) -> None:
        value = LeaderTerm(4, "b", 11)
        self.assertEqual(LeaderTerm.from_message(value.to_message()), value)

    def test_proposal(self) -> None:
        value = proposal(9)
        self.assertEqual(Proposal.from_message(value.to_message()), value)

    def test_identity(self) -> None:
        value = MachineIdentity("id", "name", "zone", "control", "peer")
        self.assertEqual(identity_from_message(identity_to_message(value)), value)

    def test_chain_write(self) -> None:
        written = state().with_write(EPOCH, 51, b"new", b"W" * 32)
        replica_state = ReplicaState(view=view(), committed=state())
        replica_state.apply(pb.Record(write=chain_write_message(written)))
        self.assertEqual(replica_state.uncommitted, written)


class AppliedWritesTest(unittest.TestCase):
    def test_each_is_found_by_its_digest(self) -> None:
        found = RegisterState()
        for version in range(1, 20):
            found = found.with_write(1, version, b"", bytes([version]) * 32)
        self.assertEqual([found.applied_version(bytes([each]) * 32) for each in range(1, 20)], list(range(1, 20)))
        self.assertIsNone(found.applied_version(b"z" * 32))

    def test_a_digest_across_two_entries_is_none(self) -> None:
        # The second half of one digest with its version, and the first bytes of the next entry.
        found = RegisterState().with_write(1, 1, b"", b"A" * 16).with_write(1, 2, b"", b"B" * 16)
        across = found.applied_writes[12:28]
        self.assertIsNone(found.applied_version(across))
        third = found.with_write(1, 3, b"", across)
        self.assertEqual(third.applied_version(across), 3)

    def test_the_newest_are_kept(self) -> None:
        found = RegisterState()
        for version in range(1, MAX_APPLIED_WRITES + 2):
            found = found.with_write(1, version, b"", version.to_bytes(16, "big"))
        self.assertEqual(len(found.applied_writes), MAX_APPLIED_WRITES * APPLIED_WRITE_BYTES)
        self.assertIsNone(found.applied_version((1).to_bytes(16, "big")))
        self.assertEqual(found.applied_version((2).to_bytes(16, "big")), 2)
        self.assertEqual(found.applied_version((MAX_APPLIED_WRITES + 1).to_bytes(16, "big")), MAX_APPLIED_WRITES + 1)

    def test_sequence_and_epoch(self) -> None:
        found = state().with_write(EPOCH + 1, 51, b"new", b"N" * 32)
        self.assertEqual((found.tag, found.version, found.body), ((EPOCH + 1, 6), 51, b"new"))
        self.assertEqual(found.digest, b"N" * 32)
        self.assertEqual(found.with_epoch(9), replace(found, epoch=9))

    def test_no_configuration_before_the_first_write(self) -> None:
        self.assertIsNone(RegisterState(epoch=1).committed_configuration())
        told = state().committed_configuration()
        assert told is not None
        self.assertEqual((told.sequence, told.version, told.body, told.digest), (5, 50, b"body 50", DIGEST))


class ViewsTest(unittest.TestCase):
    def test_majority(self) -> None:
        self.assertEqual([view("abcdefgh"[:size]).majority for size in range(1, 9)], [1, 2, 2, 3, 3, 4, 4, 5])

    def test_neighbours_in_the_chain(self) -> None:
        found = view()
        self.assertEqual((found.head(), found.tail()), (identity("a"), identity("c")))
        self.assertEqual((found.successor("a"), found.successor("c")), (identity("b"), None))
        self.assertEqual([found.predecessor(each) for each in "abcz"], [None, "a", "b", None])
        self.assertEqual((View().head(), View().tail()), (None, None))

    def test_bootstrap_view_is_the_same_for_seeds_in_any_order(self) -> None:
        seeds = [("b:1", "b:2"), ("a:1", "a:2"), ("b:1", "b:2")]
        found = bootstrap_view(seeds)
        self.assertEqual(found, bootstrap_view(seeds[::-1]))
        self.assertEqual((found.epoch, found.target_size, found.base_tag), (1, 2, (1, 0)))
        self.assertEqual(found.chain, (bootstrap_id("a:1"), bootstrap_id("b:1")))
        self.assertEqual([each.peer_address for each in found.acceptors], ["a:2", "b:2"])

    def test_ids(self) -> None:
        draws = iter([0.25, 0.5])
        self.assertEqual(random_id(lambda: next(draws)), "4000000080000000")
