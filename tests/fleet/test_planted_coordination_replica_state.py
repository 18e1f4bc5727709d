"""ReplicaState: records, adoption of views and snapshots."""

from __future__ import annotations

import unittest

from rosechute.coordination.replica_state import ReplicaState, chain_write_message, load_replica_state
from rosechute.coordination.views import LeaderTerm, RegisterState, StateTag, View
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import DIGEST, EPOCH, ballot, identity, machine, proposal, state, term, view


def full_replica_state() -> ReplicaState:
    """Return a state in which each field has a value of its own."""
    replica_state = ReplicaState(machine=identity("a"), newcomer=True)
    replica_state.view = view(term=term(4), size=5, base_tag=StateTag(2, 4))
    replica_state.committed = state()
    replica_state.uncommitted = replica_state.committed.with_write(EPOCH, 51, b"written", b"W" * 32)
    replica_state.promised, replica_state.accepted = ballot(9), proposal(8, "c")
    replica_state.term = LeaderTerm(6, "b", 11)
    replica_state.grantee, replica_state.grantee_number = "c", 13
    return replica_state


class SnapshotTest(unittest.TestCase):
    """A snapshot keeps each durable field."""

    def setUp(self) -> None:
        self.replica_state = full_replica_state()
        self.found = load_replica_state([self.replica_state.snapshot_record().SerializeToString()])

    def test_snapshot_keeps_everything(self) -> None:
        self.assertEqual(self.found, self.replica_state)

    def test_snapshot_keeps_the_promised_ballot(self) -> None:
        self.assertEqual(self.found.promised, ballot(9))

    def test_snapshot_keeps_the_accepted_proposal(self) -> None:
        self.assertEqual(self.found.accepted, proposal(8, "c"))

    def test_snapshot_keeps_the_uncommitted_write(self) -> None:
        self.assertEqual(self.found.uncommitted, self.replica_state.uncommitted)
        self.assertEqual(self.found.committed, self.replica_state.committed)

    def test_snapshot_keeps_the_applied_writes(self) -> None:
        self.assertEqual(self.found.newest.applied_version(DIGEST), 50)
        self.assertEqual(self.found.newest.applied_version(b"W" * 32), 51)

    def test_snapshot_keeps_the_term_and_its_holder(self) -> None:
        self.assertEqual(self.found.term, LeaderTerm(6, "b", 11))

    def test_snapshot_keeps_the_grantee(self) -> None:
        self.assertEqual((self.found.grantee, self.found.grantee_number), ("c", 13))

    def test_snapshot_keeps_the_machine(self) -> None:
        self.assertEqual((self.found.machine, self.found.newcomer), (identity("a"), True))

    def test_snapshot_replaces_the_state(self) -> None:
        for empty in (
            ReplicaState(machine=identity("a")),
            ReplicaState(machine=identity("a"), view=view(), committed=state()),
        ):
            known = full_replica_state()
            known.apply(empty.snapshot_record())
            self.assertEqual(known, empty)

    def test_older_records_behind_a_snapshot_change_nothing(self) -> None:
        replica_state = self.replica_state
        replica_state.uncommitted = None
        replica_state.newcomer = False
        for record in (
            pb.Record(machine=pb.MachineRecord(machine=machine("a"), newcomer=True)),
            pb.Record(promise=pb.PromiseRecord(epoch=EPOCH, ballot=ballot(8).to_message())),
            pb.Record(promise=pb.PromiseRecord(epoch=EPOCH - 1, ballot=ballot(12).to_message())),
            pb.Record(promise=pb.PromiseRecord(epoch=EPOCH + 1, ballot=ballot(12).to_message())),
            pb.Record(accepted=proposal(8).to_message()),
            pb.Record(accepted=proposal(12, epoch=EPOCH).to_message()),
            pb.Record(accepted=proposal(12, epoch=EPOCH + 2).to_message()),
            pb.Record(learn=pb.LearnRecord(state=state(5).to_message())),
            pb.Record(learn=pb.LearnRecord(state=state(4).to_message())),
            pb.Record(learn=pb.LearnRecord(state=state(7, EPOCH - 1).to_message())),
            pb.Record(term=term(6, "c").to_message()),
            pb.Record(term=term(5).to_message()),
            pb.Record(grantee=pb.GranteeRecord(holder="b", number=13)),
            pb.Record(grantee=pb.GranteeRecord(holder="b", number=12)),
            pb.Record(adopt=pb.AdoptRecord(view=view("bcd").to_message(), state=state(9).to_message())),
            pb.Record(adopt=pb.AdoptRecord(accepted=ballot(7).to_message())),
            pb.Record(write=chain_write_message(state(5))),
            pb.Record(write=chain_write_message(state(7))),
            pb.Record(write=chain_write_message(state(6, EPOCH - 1))),
            pb.Record(probe=pb.ProbeRecord()),
        ):
            with self.subTest(record=str(record)[:40]):
                before = load_replica_state([replica_state.snapshot_record().SerializeToString()])
                replica_state.apply(record)
                self.assertEqual(replica_state, before)


class RecordsTest(unittest.TestCase):
    """Each record changes its own fields only."""

    def setUp(self) -> None:
        self.replica_state = ReplicaState(machine=identity("a"), view=view(), committed=state())

    def test_machine(self) -> None:
        replica_state = ReplicaState()
        replica_state.apply(pb.Record(machine=pb.MachineRecord(machine=machine("b"), newcomer=True)))
        self.assertEqual((replica_state.machine, replica_state.newcomer), (identity("b"), True))

    def test_promise_seals_the_epoch(self) -> None:
        self.assertFalse(self.replica_state.is_sealed)
        self.replica_state.apply(pb.Record(promise=pb.PromiseRecord(epoch=EPOCH, ballot=ballot(1).to_message())))
        self.assertEqual(self.replica_state.promised, ballot(1))
        self.assertTrue(self.replica_state.is_sealed)
        self.replica_state.apply(pb.Record(promise=pb.PromiseRecord(epoch=EPOCH, ballot=ballot(2).to_message())))
        self.assertEqual(self.replica_state.promised, ballot(2))

    def test_acceptance_promises_its_ballot_too(self) -> None:
        self.replica_state.apply(pb.Record(accepted=proposal(3).to_message()))
        self.assertEqual((self.replica_state.promised, self.replica_state.accepted), (ballot(3), proposal(3)))

    def test_acceptance_of_the_promised_ballot(self) -> None:
        self.replica_state.promised = ballot(3)
        self.replica_state.apply(pb.Record(accepted=proposal(3).to_message()))
        self.assertEqual(self.replica_state.accepted, proposal(3))

    def test_learned_state_is_committed(self) -> None:
        self.replica_state.uncommitted = self.replica_state.committed.with_write(EPOCH, 51, b"", b"")
        self.replica_state.apply(pb.Record(learn=pb.LearnRecord(state=state(8).to_message())))
        self.assertEqual((self.replica_state.committed, self.replica_state.uncommitted), (state(8), None))

    def test_learned_state_older_than_a_write(self) -> None:
        written = self.replica_state.uncommitted = self.replica_state.committed.with_write(EPOCH, 51, b"", b"")
        self.replica_state.apply(pb.Record(learn=pb.LearnRecord(state=state(6).to_message())))
        self.assertEqual((self.replica_state.committed, self.replica_state.uncommitted), (state(5), written))

    def test_write_commits_the_one_before(self) -> None:
        first = self.replica_state.committed.with_write(EPOCH, 51, b"1", b"1" * 32)
        second = first.with_write(EPOCH, 52, b"2", b"2" * 32)
        for each in (first, second):
            self.replica_state.apply(pb.Record(write=chain_write_message(each)))
        self.assertEqual((self.replica_state.committed, self.replica_state.uncommitted), (first, second))

    def test_term_goes_up_only(self) -> None:
        self.replica_state.apply(pb.Record(term=term(6, "c").to_message()))
        self.replica_state.apply(pb.Record(term=term(6, "b").to_message()))
        self.replica_state.apply(pb.Record(term=term(5, "b").to_message()))
        self.assertEqual(self.replica_state.term, term(6, "c"))

    def test_grantee_by_number(self) -> None:
        self.replica_state.apply(pb.Record(grantee=pb.GranteeRecord(holder="b", number=1)))
        self.replica_state.apply(pb.Record(grantee=pb.GranteeRecord(holder="c", number=2)))
        self.replica_state.apply(pb.Record(grantee=pb.GranteeRecord(holder="b", number=1)))
        self.assertEqual((self.replica_state.grantee, self.replica_state.grantee_number), ("c", 2))


class AdoptionTest(unittest.TestCase):
    """A decided view replaces the one before and unseals the epoch."""

    def setUp(self) -> None:
        self.replica_state = full_replica_state()

    def adopt(self, adopted: View, found: RegisterState) -> None:
        self.replica_state.apply(pb.Record(adopt=pb.AdoptRecord(view=adopted.to_message(), state=found.to_message())))

    def test_adopts_view_and_state_and_unseals(self) -> None:
        self.adopt(view(epoch=EPOCH + 1), state(9, EPOCH + 1))
        replica_state = self.replica_state
        self.assertEqual((replica_state.view, replica_state.committed), (view(epoch=EPOCH + 1), state(9, EPOCH + 1)))
        self.assertEqual(
            (replica_state.uncommitted, replica_state.promised, replica_state.accepted), (None, None, None)
        )
        self.assertFalse(replica_state.is_sealed)

    def test_adopts_the_accepted_proposal_of_the_ballot(self) -> None:
        self.replica_state.apply(pb.Record(adopt=pb.AdoptRecord(accepted=ballot(8, "c").to_message())))
        self.assertEqual(
            (self.replica_state.view, self.replica_state.committed), (proposal(8).view, proposal(8).state)
        )

    def test_not_without_the_proposal(self) -> None:
        self.replica_state.accepted = None
        self.replica_state.apply(pb.Record(adopt=pb.AdoptRecord(accepted=ballot(8, "c").to_message())))
        self.assertEqual(self.replica_state.view.epoch, EPOCH)

    def test_adopts_a_higher_term_only(self) -> None:
        self.adopt(view(epoch=EPOCH + 1, term=LeaderTerm(5, "c", 1)), state(9, EPOCH + 1))
        self.assertEqual(self.replica_state.term, LeaderTerm(6, "b", 11))
        self.adopt(view(epoch=EPOCH + 2, term=LeaderTerm(7, "c", 1)), state(9, EPOCH + 2))
        self.assertEqual(self.replica_state.term, LeaderTerm(7, "c", 1))

    def test_grantee_is_kept_by_an_acceptor_that_stays(self) -> None:
        self.adopt(view(epoch=EPOCH + 1), state(9, EPOCH + 1))
        self.assertEqual(self.replica_state.grantee, "c")

    def test_grantee_is_forgotten_by_an_acceptor_that_joins(self) -> None:
        self.replica_state.view = view("bcd")
        self.adopt(view(epoch=EPOCH + 1), state(9, EPOCH + 1))
        self.assertEqual(self.replica_state.grantee, "")

    def test_grantee_is_forgotten_over_a_missed_epoch(self) -> None:
        self.adopt(view(epoch=EPOCH + 2), state(9, EPOCH + 2))
        self.assertEqual(self.replica_state.grantee, "")

    def test_newcomer_until_it_is_an_acceptor(self) -> None:
        self.adopt(view("bcd", epoch=EPOCH + 1), state(9, EPOCH + 1))
        self.assertTrue(self.replica_state.newcomer)
        self.adopt(view("abcd", epoch=EPOCH + 2), state(9, EPOCH + 2))
        self.assertFalse(self.replica_state.newcomer)
        self.adopt(view("bcd", epoch=EPOCH + 3), state(9, EPOCH + 3))
        self.assertFalse(self.replica_state.newcomer)

    def test_machine_without_identity_joins(self) -> None:
        self.replica_state.machine = None
        self.assertTrue(self.replica_state.becomes_acceptor_in(view(epoch=EPOCH + 1)))
        self.adopt(view(epoch=EPOCH + 1), state(9, EPOCH + 1))
        self.assertTrue(self.replica_state.newcomer)
