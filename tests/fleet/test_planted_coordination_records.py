"""The durable knowledge of a core machine: what snapshot and log keep, and when something counts as synced."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rosechute.coordination.record_writer import RecordWriter
from rosechute.coordination.replica_config import MachineIdentity, Timing
from rosechute.coordination.replica_state import ReplicaState, chain_write_message, load_replica_state
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

from .coordination_parts import DIGEST, EPOCH, Parts, ballot, identity, machine, proposal, state, term, view


def full_memory() -> ReplicaState:
    """Every field has a value of its own."""
    replica_state = ReplicaState(machine=identity("a"), newcomer=True)
    replica_state.view = view(term=term(4), size=5, base_tag=StateTag(2, 4))
    replica_state.committed = state()
    replica_state.uncommitted = replica_state.committed.with_write(EPOCH, 51, b"written", b"W" * 32)
    replica_state.promised, replica_state.accepted = ballot(9), proposal(8, "c")
    replica_state.term = LeaderTerm(6, "b", 11)
    replica_state.grantee, replica_state.grantee_number = "c", 13
    return replica_state


class Messages(unittest.TestCase):
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


class Snapshot(unittest.TestCase):
    """A record of everything keeps each durable field."""

    def setUp(self) -> None:
        self.replica_state = full_memory()
        self.found = load_replica_state([self.replica_state.snapshot_record().SerializeToString()])

    def test_snapshot_keeps_everything(self) -> None:
        self.assertEqual(self.found, self.replica_state)

    def test_snapshot_keeps_the_promised_ballot(self) -> None:
        self.assertEqual(self.found.promised, ballot(9))

    def test_snapshot_keeps_the_accepted_proposal(self) -> None:
        self.assertEqual(self.found.accepted, proposal(8, "c"))

    def test_snapshot_keeps_the_write_that_does_not_count_yet(self) -> None:
        self.assertEqual(self.found.uncommitted, self.replica_state.uncommitted)
        self.assertEqual(self.found.committed, self.replica_state.committed)

    def test_snapshot_keeps_the_taken_orders(self) -> None:
        self.assertEqual(self.found.newest.applied_version(DIGEST), 50)
        self.assertEqual(self.found.newest.applied_version(b"W" * 32), 51)

    def test_snapshot_keeps_the_term_and_its_holder(self) -> None:
        self.assertEqual(self.found.term, LeaderTerm(6, "b", 11))

    def test_snapshot_keeps_the_grantee(self) -> None:
        self.assertEqual((self.found.grantee, self.found.grantee_number), ("c", 13))

    def test_snapshot_keeps_the_machine(self) -> None:
        self.assertEqual((self.found.machine, self.found.newcomer), (identity("a"), True))

    def test_snapshot_replaces_what_was_known(self) -> None:
        for empty in (
            ReplicaState(machine=identity("a")),
            ReplicaState(machine=identity("a"), view=view(), committed=state()),
        ):
            known = full_memory()
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


class Records(unittest.TestCase):
    """One record changes what it is there for."""

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

    def test_learned_state_counts(self) -> None:
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


class Adoption(unittest.TestCase):
    """A decided view replaces the one before, and its seal."""

    def setUp(self) -> None:
        self.replica_state = full_memory()

    def adopt(self, adopted: View, found: RegisterState) -> None:
        self.replica_state.apply(pb.Record(adopt=pb.AdoptRecord(view=adopted.to_message(), state=found.to_message())))

    def test_takes_view_and_state_and_opens_the_epoch(self) -> None:
        self.adopt(view(epoch=EPOCH + 1), state(9, EPOCH + 1))
        replica_state = self.replica_state
        self.assertEqual((replica_state.view, replica_state.committed), (view(epoch=EPOCH + 1), state(9, EPOCH + 1)))
        self.assertEqual(
            (replica_state.uncommitted, replica_state.promised, replica_state.accepted), (None, None, None)
        )
        self.assertFalse(replica_state.is_sealed)

    def test_takes_the_accepted_proposal_of_the_ballot(self) -> None:
        self.replica_state.apply(pb.Record(adopt=pb.AdoptRecord(accepted=ballot(8, "c").to_message())))
        self.assertEqual(
            (self.replica_state.view, self.replica_state.committed), (proposal(8).view, proposal(8).state)
        )

    def test_not_without_the_proposal(self) -> None:
        self.replica_state.accepted = None
        self.replica_state.apply(pb.Record(adopt=pb.AdoptRecord(accepted=ballot(8, "c").to_message())))
        self.assertEqual(self.replica_state.view.epoch, EPOCH)

    def test_takes_a_higher_term_only(self) -> None:
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


class TakenOrders(unittest.TestCase):
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

    def test_no_configuration_before_the_first_order(self) -> None:
        self.assertIsNone(RegisterState(epoch=1).committed_configuration())
        told = state().committed_configuration()
        assert told is not None
        self.assertEqual((told.sequence, told.version, told.body, told.digest), (5, 50, b"body 50", DIGEST))


class Views(unittest.TestCase):
    def test_majority(self) -> None:
        self.assertEqual([view("abcdefgh"[:size]).majority for size in range(1, 9)], [1, 2, 2, 3, 3, 4, 4, 5])

    def test_places_in_the_chain(self) -> None:
        found = view()
        self.assertEqual((found.head(), found.tail()), (identity("a"), identity("c")))
        self.assertEqual((found.successor("a"), found.successor("c")), (identity("b"), None))
        self.assertEqual([found.predecessor(each) for each in "abcz"], [None, "a", "b", None])
        self.assertEqual((View().head(), View().tail()), (None, None))

    def test_first_view_is_the_same_from_seeds_in_any_order(self) -> None:
        seeds = [("b:1", "b:2"), ("a:1", "a:2"), ("b:1", "b:2")]
        found = bootstrap_view(seeds)
        self.assertEqual(found, bootstrap_view(seeds[::-1]))
        self.assertEqual((found.epoch, found.target_size, found.base_tag), (1, 2, (1, 0)))
        self.assertEqual(found.chain, (bootstrap_id("a:1"), bootstrap_id("b:1")))
        self.assertEqual([each.peer_address for each in found.acceptors], ["a:2", "b:2"])

    def test_ids(self) -> None:
        draws = iter([0.25, 0.5])
        self.assertEqual(random_id(lambda: next(draws)), "4000000080000000")


class DiskTest(unittest.TestCase):
    """Nothing counts before its sync; after a refusal nothing does until the whole state is written."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.disk = self.parts.disk
        self.done: list[str] = []

    def write(self, name: str, number: int = 1) -> None:
        record = pb.Record(grantee=pb.GranteeRecord(holder=name, number=number))
        self.disk.write(record, lambda: self.done.append(name))

    def test_completion_waits_for_the_sync(self) -> None:
        self.write("x")
        self.assertEqual(self.parts.replica_state.grantee, "x")
        persist = self.parts.flush()
        assert persist is not None
        self.assertFalse(persist.replaces)
        self.assertEqual(self.done, [])
        self.disk.on_persisted(self.parts.now, persist.token)
        self.assertEqual(self.done, ["x"])
        self.assertIsNone(self.parts.flush())

    def test_after_waits_for_its_number_and_in_order(self) -> None:
        self.write("x")
        self.disk.call_when_synced(1, lambda: self.done.append("after x"))
        first = self.parts.flush()
        self.write("y", 2)
        second = self.parts.flush()
        assert first is not None and second is not None
        self.disk.call_when_synced(1, lambda: self.done.append("after x, behind y"))
        self.disk.on_persisted(self.parts.now, first.token)
        self.assertEqual(self.done, ["x", "after x"])
        self.disk.call_when_synced(1, lambda: self.done.append("at once"))
        self.disk.on_persisted(self.parts.now, second.token)
        self.assertEqual(self.done, ["x", "after x", "at once", "y", "after x, behind y"])

    def test_one_report_stands_for_all_before(self) -> None:
        self.write("x")
        self.parts.flush()
        self.write("y", 2)
        second = self.parts.flush()
        assert second is not None
        self.disk.on_persisted(self.parts.now, second.token)
        self.assertEqual(self.done, ["x", "y"])
        self.assertEqual(self.disk.oldest_write_age_s(self.parts.now + 9), 0.0)

    def test_report_of_an_unknown_batch(self) -> None:
        self.write("x")
        self.parts.flush()
        self.disk.on_persisted(self.parts.now, 0)
        self.disk.on_persist_failed(self.parts.now, 9)
        self.assertEqual((self.done, self.disk.is_healthy()), ([], True))

    def test_refusal_counts_nothing_until_the_whole_state_is_written(self) -> None:
        self.write("x")
        first = self.parts.flush()
        self.write("y", 2)
        second = self.parts.flush()
        assert first is not None and second is not None
        self.disk.on_persist_failed(self.parts.now, first.token)
        self.assertFalse(self.disk.is_healthy())
        self.disk.on_persisted(self.parts.now, second.token)  # was on its way: nothing is known of it
        self.assertEqual(self.done, [])
        self.write("z", 3)
        self.assertIsNone(self.parts.flush(), "nothing is appended to a log that failed")
        self.parts.pass_time(self.parts.timing.disk_retry - 0.01)
        self.disk.tick(self.parts.now)
        self.assertIsNone(self.parts.flush())
        self.parts.pass_time(0.02)
        self.disk.tick(self.parts.now)
        whole = self.parts.flush()
        assert whole is not None
        self.assertTrue(whole.replaces)
        self.assertEqual(load_replica_state(whole.records), self.parts.replica_state)
        self.assertEqual(self.done, [])
        self.disk.on_persisted(self.parts.now, whole.token)
        self.assertEqual(self.done, ["x", "y", "z"])
        self.write("later", 4)
        later = self.parts.flush()
        assert later is not None
        self.assertFalse(later.replaces)

    def test_after_a_refusal_the_disk_is_trusted_after_a_probe_only(self) -> None:
        self.write("x")
        first = self.parts.flush()
        assert first is not None
        self.disk.on_persist_failed(self.parts.now, first.token)
        self.parts.pass_time(self.parts.timing.disk_retry)
        self.disk.tick(self.parts.now)
        whole = self.parts.flush()
        assert whole is not None
        self.assertFalse(self.disk.is_healthy())
        self.disk.on_persisted(self.parts.now, whole.token)
        self.assertFalse(self.disk.is_healthy())
        self.disk.tick(self.parts.now)
        self.assertIsNone(self.parts.flush(), "not at once")
        self.parts.pass_time(self.parts.timing.disk_retry)
        self.disk.tick(self.parts.now)
        probe = self.parts.flush()
        assert probe is not None
        self.disk.on_persisted(self.parts.now, probe.token)
        self.assertTrue(self.disk.is_healthy())

    def test_other_records_are_no_probe(self) -> None:
        self.disk.is_suspect = True
        self.disk.tick(self.parts.now)
        probe = self.parts.flush()
        assert probe is not None
        self.parts.pass_time(self.parts.timing.disk_healthy + 0.01)
        self.disk.on_persisted(self.parts.now, probe.token)
        self.write("x")
        self.parts.sync()
        self.assertFalse(self.disk.is_healthy())

    def test_unwritten_records_do_not_follow_a_refusal(self) -> None:
        self.write("x")
        first = self.parts.flush()
        assert first is not None
        self.write("y", 2)
        self.disk.on_persist_failed(self.parts.now, first.token)
        self.assertIsNone(self.parts.flush())

    def test_disk_is_trusted_again_after_a_quick_probe(self) -> None:
        timing = self.parts.timing
        self.write("x")
        batch = self.parts.flush()
        assert batch is not None
        self.parts.pass_time(timing.suspect - 0.01)
        self.disk.tick(self.parts.now)
        self.assertTrue(self.disk.is_healthy())
        self.parts.pass_time(0.02)
        self.disk.tick(self.parts.now)
        self.assertFalse(self.disk.is_healthy())
        self.assertIsNone(self.parts.flush(), "no probe while a batch is under way")
        self.disk.on_persisted(self.parts.now, batch.token)
        self.assertEqual((self.done, self.disk.is_healthy()), (["x"], False))
        for slow in (True, False):
            self.parts.pass_time(timing.disk_retry)
            self.disk.tick(self.parts.now)
            probe = self.parts.flush()
            assert probe is not None
            self.assertFalse(probe.replaces)
            self.assertEqual(pb.Record.FromString(probe.records[0]).WhichOneof("body"), "probe")
            self.parts.pass_time(timing.disk_healthy + (0.01 if slow else -0.01))
            self.disk.on_persisted(self.parts.now, probe.token)
            self.assertEqual(self.disk.is_healthy(), not slow)
        self.disk.tick(self.parts.now + 9)
        self.assertIsNone(self.parts.flush())

    def test_probes_are_spaced(self) -> None:
        self.disk.is_suspect = True
        self.disk.tick(self.parts.now)
        probe = self.parts.flush()
        assert probe is not None
        self.parts.pass_time(self.parts.timing.disk_healthy + 0.01)
        self.disk.on_persisted(self.parts.now, probe.token)
        self.disk.tick(self.parts.now)
        self.assertIsNone(self.parts.flush())

    def test_deferred_record_goes_beside_the_next(self) -> None:
        deferred = pb.Record(grantee=pb.GranteeRecord(holder="deferred", number=2))
        self.disk.defer(deferred)
        self.assertIsNone(self.parts.flush())
        self.write("x")
        persist = self.parts.flush()
        assert persist is not None
        self.assertEqual(pb.Record.FromString(persist.records[-1]), deferred)
        self.assertEqual(self.parts.replica_state.grantee, "deferred")
        self.disk.on_persisted(self.parts.now, persist.token)
        self.assertEqual(self.disk.synced_number, 2)
        self.write("y", 3)
        again = self.parts.flush()
        assert again is not None
        self.assertEqual(len(again.records), 1)

    def test_first_batch_of_an_empty_disk_replaces(self) -> None:
        disk = RecordWriter(Timing(), ReplicaState(), replace_next=True)
        flags = []
        for number in (1, 2):
            disk.write(pb.Record(grantee=pb.GranteeRecord(holder="x", number=number)))
            persist = disk.flush(0.0)
            assert persist is not None
            flags.append(persist.replaces)
        self.assertEqual(flags, [True, False])

    def test_age_of_the_oldest(self) -> None:
        self.assertEqual(self.disk.oldest_write_age_s(self.parts.now), 0.0)
        self.write("x")
        self.parts.flush()
        self.assertEqual(self.disk.oldest_write_age_s(self.parts.now + 2), 2.0)
