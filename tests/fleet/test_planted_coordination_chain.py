"""Chain: writes at the head, replication and reads at the tail, one machine at a time."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from rosechute.coordination.chain import SILENT_HEARTBEATS, Chain
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.outcomes import (
    NoConfiguration,
    OutcomeUnknown,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
)
from rosechute.coordination.replica_config import Timing
from rosechute.coordination.replica_state import chain_write_message
from rosechute.coordination.views import MAX_APPLIED_WRITES, RegisterState

from .coordination_parts import EPOCH, NOW, Parts, identity, state, view, write_request

TIMING = Timing()


class FakeEpochConfirmer(EpochConfirmer):
    """Confirmation rounds wait until the test ends them."""

    def __init__(self, parts: Parts) -> None:
        super().__init__(parts.context)
        self.waiting: list[Any] = []

    def confirm_epoch(self, callback: Any, started_at: float) -> None:
        self.waiting.append((callback, started_at))

    def end_rounds(self, *, is_confirmed: bool = True) -> None:
        waiting, self.waiting = self.waiting, []
        for callback, _ in waiting:
            callback(is_confirmed=is_confirmed)


class ChainMember:
    """One machine of a chain: its part, with a fake confirmer."""

    def __init__(self, own: str = "a", members: str = "abc", chain: str | None = None) -> None:
        self.parts = Parts(own, members, chain)
        self.notified: list[int] = []
        self.confirmer = FakeEpochConfirmer(self.parts)
        self.chain = Chain(self.parts.context, self.confirmer, self._on_committed)
        if own == self.parts.replica_state.view.chain[0]:
            self.chain.activate()

    def _on_committed(self) -> None:
        self.notified.append(self.parts.replica_state.committed.sequence)

    def advance(self, seconds: float, heartbeats_of: str = "") -> None:
        self.parts.advance(seconds, heartbeats_of)
        self.chain.tick()

    def write(self, sequence: int = 6, sender: str = "a", epoch: int = EPOCH) -> None:
        written = state(sequence, epoch, 51)
        self.chain.on_chain_write(identity(sender), chain_write_message(written))


class HeadTest(unittest.TestCase):
    """The head: one write in flight, acknowledged once committed; a conflict only once the epoch is confirmed."""

    def setUp(self) -> None:
        self.member = ChainMember()
        self.parts, self.chain = self.member.parts, self.member.chain

    def test_write_is_forwarded_once_synced(self) -> None:
        self.chain.propose_write(write_request(1))
        self.assertEqual(self.parts.sent("chain_write"), [])
        self.parts.sync()
        ((to, write),) = self.parts.messages("chain_write")
        self.assertEqual((to, write.epoch, write.sequence), ("b", EPOCH, 6))
        self.assertEqual((write.configuration.version, write.configuration.body), (51, write_request(1).body))
        self.assertEqual(write.configuration.digest, write_request(1).digest)

    def test_acknowledged_once_the_tail_has_committed(self) -> None:
        self.chain.propose_write(write_request(1))
        self.parts.sync()
        self.assertEqual(self.parts.replies(), [])
        self.chain.on_committed(EPOCH, 5)
        self.chain.on_committed(EPOCH - 1, 6)
        self.assertEqual((self.parts.replies(), self.parts.replica_state.committed.sequence), ([], 5))
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.replies(), [(1, WriteAcknowledged(51))])
        self.assertEqual((self.parts.replica_state.committed.version, self.member.notified), (51, [6]))
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual((self.parts.replies(), self.member.notified), ([], [6]))

    def test_repeated_write_gets_the_same_outcome(self) -> None:
        self.chain.propose_write(write_request(1))
        self.chain.propose_write(write_request(2))
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.chain.propose_write(write_request(3))
        self.assertEqual(self.parts.replies(), [(each, WriteAcknowledged(51)) for each in (1, 2, 3)])
        self.assertEqual(self.parts.replica_state.committed.sequence, 6, "applied once")

    def test_repeated_queued_write_gets_the_same_outcome(self) -> None:
        self.chain.propose_write(write_request(1))
        self.chain.propose_write(write_request(2, 51, 52))
        self.chain.propose_write(write_request(3, 51, 52))
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.parts.sync()
        self.chain.on_committed(EPOCH, 7)
        self.assertEqual(
            self.parts.replies(), [(1, WriteAcknowledged(51)), (2, WriteAcknowledged(52)), (3, WriteAcknowledged(52))]
        )

    def test_one_write_at_a_time(self) -> None:
        self.chain.propose_write(write_request(1))
        self.chain.propose_write(write_request(2, 51, 52))
        self.parts.sync()
        self.assertEqual([each.sequence for each in self.parts.sent("chain_write")], [6])
        self.chain.on_committed(EPOCH, 6)
        self.parts.sync()
        self.assertEqual([each.sequence for each in self.parts.sent("chain_write")], [7])

    def test_another_write_of_the_same_version_conflicts(self) -> None:
        self.chain.propose_write(write_request(1))
        self.chain.propose_write(write_request(2, note=b" "))
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.replies(), [(1, WriteAcknowledged(51))])
        self.member.confirmer.end_rounds()
        self.assertEqual(self.parts.replies(), [(2, VersionConflict(51))])

    def test_conflict_only_once_the_epoch_is_confirmed(self) -> None:
        for base, version in ((49, 60), (50, 50), (50, 49)):
            self.setUp()
            self.chain.propose_write(write_request(1, base, version))
            self.assertEqual(self.parts.replies(), [])
            self.member.confirmer.end_rounds()
            self.assertEqual(self.parts.replies(), [(1, VersionConflict(50))], (base, version))
            self.assertEqual(self.parts.sync(), [])

    def test_write_waits_for_its_predecessor(self) -> None:
        self.chain.propose_write(write_request(1, 51, 52))
        self.chain.propose_write(write_request(2, 52, 53))
        self.assertEqual((self.member.confirmer.waiting, self.parts.sync()), ([], []))
        self.chain.propose_write(write_request(3))
        for sequence in (6, 7, 8):
            self.parts.sync()
            self.chain.on_committed(EPOCH, sequence)
        self.assertEqual(
            self.parts.replies(), [(3, WriteAcknowledged(51)), (1, WriteAcknowledged(52)), (2, WriteAcknowledged(53))]
        )

    def test_writes_without_predecessor_keep_their_order(self) -> None:
        self.chain.propose_write(write_request(1, 51, 60))
        self.chain.propose_write(write_request(2, 51, 52))
        self.chain.propose_write(write_request(3))
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.parts.sync()
        self.assertEqual(self.parts.replica_state.newest.version, 60)

    def test_write_that_may_be_evicted_has_no_conflict(self) -> None:
        applied_writes = b"".join(
            b"o" * 16 + (41 + number).to_bytes(8, "big") for number in range(MAX_APPLIED_WRITES)
        )
        self.parts.replica_state.committed = replace(
            self.parts.replica_state.committed, applied_writes=applied_writes
        )
        self.chain.propose_write(write_request(1, 39, 40))
        self.assertEqual((self.parts.replies(), self.member.confirmer.waiting), ([(1, OutcomeUnknown())], []))
        self.chain.propose_write(write_request(2, 39, 41))
        self.member.confirmer.end_rounds()
        self.assertEqual(self.parts.replies(), [(2, VersionConflict(50))])
        self.parts.replica_state.committed = replace(
            self.parts.replica_state.committed, applied_writes=applied_writes[24:]
        )
        self.chain.propose_write(write_request(3, 39, 40))
        self.member.confirmer.end_rounds()
        self.assertEqual(self.parts.replies(), [(3, VersionConflict(50))], "not so many were applied")

    def test_no_conflict_while_the_epoch_is_unconfirmed(self) -> None:
        self.chain.propose_write(write_request(1, 49, 60))
        self.member.confirmer.end_rounds(is_confirmed=False)
        self.assertEqual(self.parts.replies(), [])
        self.member.advance(0.1, heartbeats_of="bc")
        self.member.confirmer.end_rounds()
        self.assertEqual(self.parts.replies(), [(1, VersionConflict(50))], "confirmed in a second round")

    def test_unconfirmed_conflict_that_turns_out_committed(self) -> None:
        given = write_request(1, 49, 60)
        self.chain.propose_write(given)
        self.parts.replica_state.committed = self.parts.replica_state.committed.with_write(
            EPOCH, 60, given.body, given.digest
        )
        self.member.confirmer.end_rounds(is_confirmed=False)
        self.assertEqual(self.parts.replies(), [(1, WriteAcknowledged(60))])

    def test_repeated_write_with_an_unconfirmed_conflict(self) -> None:
        self.chain.propose_write(write_request(1, 49, 60))
        self.chain.propose_write(write_request(2, 49, 60))
        self.member.confirmer.end_rounds()
        self.assertEqual(self.parts.replies(), [(1, VersionConflict(50)), (2, VersionConflict(50))])

    def test_unconfirmed_conflicts_end_with_the_view(self) -> None:
        self.chain.propose_write(write_request(1, 49, 60))
        self.chain.on_view_change()
        self.member.confirmer.end_rounds()
        self.assertEqual(self.parts.replies(), [])

    def test_no_write_before_all_members_have_adopted(self) -> None:
        self.chain.is_active = False
        self.chain.propose_write(write_request(1))
        self.assertEqual(self.parts.sync(), [])
        self.parts.context.heartbeat_due = False
        self.chain.activate()
        self.assertEqual(len(self.parts.sync()), 1)
        self.assertTrue(self.parts.context.heartbeat_due)

    def test_no_write_at_the_head_in_a_sealed_epoch(self) -> None:
        self.parts.seal()
        self.chain.propose_write(write_request(1))
        self.assertEqual(self.parts.sync(), [])

    def test_no_next_write_in_an_epoch_sealed_meanwhile(self) -> None:
        self.chain.propose_write(write_request(1))
        self.chain.propose_write(write_request(2, 51, 52))
        self.parts.sync()
        self.parts.seal()
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.sync(), [])

    def test_nothing_is_forwarded_once_sealed(self) -> None:
        self.chain.propose_write(write_request(1))
        self.parts.seal()
        self.parts.sync()
        self.assertEqual(self.parts.sent("chain_write"), [])

    def test_nothing_is_forwarded_of_an_epoch_that_ended(self) -> None:
        self.chain.propose_write(write_request(1))
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.parts.context.adopted_epoch = EPOCH + 1
        self.parts.sync()
        self.assertEqual(self.parts.sent("chain_write"), [])

    def test_resends_a_write_with_backoff(self) -> None:
        self.chain.propose_write(write_request(1))
        self.parts.sync()
        self.parts.actions()
        resend, times = TIMING.resend_write_after_s, []
        for step in range(1, 80):
            self.member.advance(0.01, heartbeats_of="bc")
            times += [step / 100] * len(self.parts.sent("chain_write"))
        self.assertEqual(len(times), 2)
        self.assertAlmostEqual(times[0], resend, delta=0.02)
        self.assertAlmostEqual(times[1], 3 * resend, delta=0.03)

    def test_request_deadline_of_a_write(self) -> None:
        self.chain.propose_write(write_request(1))
        self.parts.sync()
        self.member.advance(0.5, heartbeats_of="bc")
        self.chain.propose_write(write_request(2))
        self.member.advance(TIMING.request_deadline_s - 0.5 - 0.01, heartbeats_of="bc")
        self.assertEqual(self.parts.replies(), [])
        self.member.advance(0.02, heartbeats_of="bc")
        self.assertEqual(self.parts.replies(), [(1, OutcomeUnknown())])
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.replies(), [(2, WriteAcknowledged(51))])

    def test_timed_out_queued_write_is_not_started_later(self) -> None:
        self.chain.is_active = False
        self.chain.propose_write(write_request(1))
        self.member.advance(TIMING.request_deadline_s, heartbeats_of="bc")
        self.assertEqual(self.parts.replies(), [(1, OutcomeUnknown())])
        self.chain.activate()
        self.assertEqual(self.parts.sync(), [])

    def test_partitioned_from_the_majority(self) -> None:
        self.chain.propose_write(write_request(1))
        self.member.advance(TIMING.suspect_after_s + TIMING.heartbeat_period_s - 0.01)
        self.assertEqual(self.parts.replies(), [])
        self.chain.propose_write(write_request(2, 51, 52))
        self.assertEqual(self.parts.replies(), [])
        self.member.advance(0.02)
        self.assertEqual(self.parts.replies(), [(1, OutcomeUnknown()), (2, OutcomeUnknown())])
        self.chain.propose_write(write_request(3, 51, 52))
        self.chain.read(4)
        self.assertEqual(self.parts.replies(), [(3, OutcomeUnknown()), (4, OutcomeUnknown())])

    def test_write_completed_while_partitioned_is_not_started_later(self) -> None:
        self.parts.advance(2.0)
        self.chain.propose_write(write_request(1))
        self.assertEqual(self.parts.replies(), [(1, OutcomeUnknown())])
        for each in "bc":
            self.parts.receive_heartbeat(each)
        self.chain.propose_write(write_request(2, 51, 52))
        self.assertEqual(self.parts.sync(), [])

    def test_not_partitioned_with_one_peer_of_three(self) -> None:
        self.member.advance(2.0, heartbeats_of="b")
        self.chain.propose_write(write_request(1))
        self.assertEqual(self.parts.replies(), [])

    def test_not_partitioned_right_after_the_start(self) -> None:
        self.parts.detector.started_at = NOW
        self.parts.detector.peers.clear()
        self.chain.propose_write(write_request(1))
        self.assertEqual(self.parts.replies(), [])
        self.parts.detector.started_at = NOW - TIMING.request_deadline_s - 0.01
        self.chain.propose_write(write_request(2))
        self.assertEqual(self.parts.replies(), [(1, OutcomeUnknown()), (2, OutcomeUnknown())])

    # Another view

    def test_view_change_completes_committed_writes(self) -> None:
        self.chain.propose_write(write_request(1))
        self.chain.propose_write(write_request(2, 51, 52))
        applied = self.parts.replica_state.uncommitted
        assert applied is not None
        self.parts.replica_state.committed, self.parts.replica_state.uncommitted = applied, None
        self.chain.on_view_change()
        self.assertEqual(self.parts.replies(), [(1, WriteAcknowledged(51))])
        self.assertFalse(self.chain.is_active)
        self.chain.activate()
        (record,) = self.parts.sync()[-1:]
        self.assertEqual(record.write.configuration.version, 52)

    def test_view_change_requeues_writes(self) -> None:
        self.chain.propose_write(write_request(1))
        self.parts.sync()
        self.parts.replica_state.uncommitted = None
        self.chain.on_view_change()
        self.assertEqual(self.parts.replies(), [])
        self.chain.activate()
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.replies(), [(1, WriteAcknowledged(51))])

    def test_view_change_requeues_each_write_once(self) -> None:
        self.chain.is_active = False
        self.chain.propose_write(write_request(1, 49, 60))
        self.chain.on_view_change()
        self.chain.activate()
        self.assertEqual(len(self.member.confirmer.waiting), 1)

    def test_view_change_drops_writes_without_requests(self) -> None:
        self.chain.propose_write(write_request(1))
        self.member.advance(TIMING.request_deadline_s, heartbeats_of="bc")
        self.parts.replica_state.uncommitted = None
        self.parts.sync()
        self.chain.on_view_change()
        self.chain.activate()
        self.assertEqual(self.parts.sync(), [])

    # Redirects

    def test_writes_are_redirected_to_the_head(self) -> None:
        member = ChainMember("b")
        member.chain.propose_write(write_request(1))
        self.assertEqual(member.parts.replies(), [(1, Redirect("a:8367"))])
        self.assertEqual(member.parts.sync(), [])

    def test_committed_writes_are_acknowledged_at_any_member(self) -> None:
        member = ChainMember("b")
        given = write_request(1, 49, 50)
        member.parts.replica_state.committed = member.parts.replica_state.committed.with_write(
            EPOCH, 50, given.body, given.digest
        )
        member.chain.propose_write(given)
        self.assertEqual(member.parts.replies(), [(1, WriteAcknowledged(50))])

    def test_queued_write_that_another_head_commits(self) -> None:
        member, given = ChainMember("b"), write_request(1)
        del member.parts.detector.peers["a"]
        member.parts.detector.started_at = NOW
        member.chain.propose_write(given)
        self.assertEqual(member.parts.replies(), [])
        member.parts.replica_state.committed = member.parts.replica_state.committed.with_write(
            EPOCH, 51, given.body, given.digest
        )
        member.advance(0.1, heartbeats_of="c")
        self.assertEqual(member.parts.replies(), [(1, WriteAcknowledged(51))])

    def test_no_redirect_to_a_silent_machine(self) -> None:
        for silence, there in ((2, True), (SILENT_HEARTBEATS - 0.1, True), (SILENT_HEARTBEATS + 0.1, False)):
            member = ChainMember("b")
            member.parts.advance(silence * TIMING.heartbeat_period_s, heartbeats_of="c")
            member.chain.propose_write(write_request(1))
            self.assertEqual(len(member.parts.replies()), int(there), silence)

    def test_no_redirect_to_an_unreachable_machine(self) -> None:
        member = ChainMember("b")
        member.parts.detector.peers["a"].last_answered_at = NOW - 2.0
        member.chain.propose_write(write_request(1))
        self.assertEqual(member.parts.replies(), [])

    def test_redirect_to_a_head_that_only_a_peer_reaches(self) -> None:
        for reached, there in ((["a"], True), ([], False)):
            member = ChainMember("b")
            member.parts.advance(TIMING.lease_s + 0.1)
            member.parts.receive_heartbeat("c", reached=reached)
            member.chain.propose_write(write_request(1))
            self.assertEqual(len(member.parts.replies()), int(there), reached)


class TailTest(unittest.TestCase):
    """Members store writes of their predecessor in order; the tail answers reads once its epoch is confirmed."""

    def test_member_stores_and_forwards(self) -> None:
        member = ChainMember("b")
        member.write()
        self.assertEqual(member.parts.sent("chain_write"), [])
        self.assertEqual(member.parts.replica_state.newest.sequence, 6)
        member.parts.sync()
        ((to, write),) = member.parts.messages("chain_write")
        self.assertEqual((to, write.sequence), ("c", 6))
        self.assertEqual(member.parts.replica_state.committed.sequence, 5, "it counts once the tail has it")

    def test_resent_write_is_forwarded_once_more(self) -> None:
        member = ChainMember("b")
        member.write()
        member.write()
        self.assertEqual(member.parts.sent("chain_write"), [], "after the sync only")
        self.assertEqual(len(member.parts.sync()), 1)
        self.assertEqual(len(member.parts.sent("chain_write")), 2)
        member.write()
        self.assertEqual(len(member.parts.sent("chain_write")), 1)

    def test_next_write_commits_the_one_before(self) -> None:
        member = ChainMember("b")
        member.write(6)
        self.assertEqual(member.notified, [])
        member.write(7)
        self.assertEqual((member.parts.replica_state.committed.sequence, member.notified), (6, [6]))

    def test_older_write_is_not_forwarded_for_a_newer_one(self) -> None:
        member = ChainMember("b")
        member.write(6)
        member.write(7)
        member.parts.sync()
        self.assertEqual([each.sequence for each in member.parts.sent("chain_write")], [7])

    def test_resent_write_is_not_forwarded_before_its_sync(self) -> None:
        member = ChainMember("b")
        member.write(6)
        first = member.parts.flush()
        for sequence in (8, 7, 8):
            member.write(sequence)
        assert first is not None
        member.parts.disk.on_persisted(member.parts.now, first.token)
        self.assertEqual(member.parts.sent("chain_write"), [])

    def test_ignored_chain_writes(self) -> None:
        member = ChainMember("b")
        member.write(sender="c")
        member.write(sender="z")
        member.write(sequence=7)
        member.write(sequence=4)
        member.write(epoch=EPOCH - 1)
        member.write(epoch=EPOCH + 1)
        self.assertEqual((member.parts.sync(), member.parts.sent("chain_write")), ([], []))
        self.assertEqual(member.parts.replica_state.newest.sequence, 5)

    def test_no_write_in_a_sealed_epoch(self) -> None:
        member = ChainMember("b")
        member.parts.seal()
        member.write()
        self.assertEqual(member.parts.sync(), [])

    def test_no_write_before_this_process_has_adopted_the_epoch(self) -> None:
        member = ChainMember("b")
        member.parts.context.joined_epoch = EPOCH - 1
        member.write()
        self.assertEqual(member.parts.sync(), [])

    def test_the_tail_commits_once_synced(self) -> None:
        member = ChainMember("c")
        member.parts.context.heartbeat_due = False
        member.write(sender="b")
        self.assertEqual(
            (member.parts.replica_state.committed.sequence, member.parts.context.heartbeat_due), (5, False)
        )
        self.assertEqual(member.chain.durable_sequence(), 5)
        member.parts.sync()
        self.assertEqual(
            (member.parts.replica_state.committed.sequence, member.parts.context.heartbeat_due), (6, True)
        )
        self.assertEqual((member.chain.durable_sequence(), member.notified), (6, [6]))
        self.assertEqual(member.parts.sent("chain_write"), [])

    def test_durable_only_once_synced(self) -> None:
        member = ChainMember("b")
        member.write()
        self.assertEqual(member.chain.durable_sequence(), 5)
        member.parts.sync()
        self.assertEqual(member.chain.durable_sequence(), 6)

    def test_reads_wait_for_the_majority(self) -> None:
        member = ChainMember("c")
        member.chain.read(1)
        self.assertEqual(member.parts.replies(), [])
        ((_, since),) = member.confirmer.waiting
        self.assertEqual(since, NOW)
        member.confirmer.end_rounds()
        ((request, outcome),) = member.parts.replies()
        self.assertEqual((request, outcome), (1, ReadResult(5, 50, b"body 50", state().digest)))

    def test_reads_return_committed_state_only(self) -> None:
        member = ChainMember("c")
        member.write(sender="b")
        member.chain.read(1)
        member.confirmer.end_rounds()
        ((_, outcome),) = member.parts.replies()
        assert isinstance(outcome, ReadResult)
        self.assertEqual(outcome.sequence, 5)

    def test_no_configuration_yet(self) -> None:
        member = ChainMember("c")
        member.parts.replica_state.committed = RegisterState(epoch=EPOCH)
        member.chain.read(1)
        member.confirmer.end_rounds()
        self.assertEqual(member.parts.replies(), [(1, NoConfiguration())])

    def test_unconfirmed_reads_are_repeated_until_their_deadline(self) -> None:
        member = ChainMember("c")
        member.chain.read(1)
        member.confirmer.end_rounds(is_confirmed=False)
        self.assertEqual(member.parts.replies(), [])
        member.advance(0.4, heartbeats_of="ab")
        ((_, since),) = member.confirmer.waiting
        self.assertEqual(since, NOW)
        member.confirmer.end_rounds(is_confirmed=False)
        member.advance(TIMING.request_deadline_s - 0.39, heartbeats_of="ab")
        self.assertEqual(member.parts.replies(), [(1, OutcomeUnknown())])
        member.confirmer.end_rounds()
        self.assertEqual(member.parts.replies(), [])

    def test_no_read_in_a_sealed_epoch(self) -> None:
        member = ChainMember("c")
        member.parts.seal()
        member.chain.read(1)
        self.assertEqual((member.confirmer.waiting, member.parts.replies()), ([], []))

    def test_reads_are_redirected_to_the_tail(self) -> None:
        for own in "ab":
            member = ChainMember(own)
            member.chain.read(1)
            self.assertEqual((member.parts.replies(), member.confirmer.waiting), ([(1, Redirect("c:8367"))], []))

    def test_reads_wait_for_a_silent_tail(self) -> None:
        member = ChainMember("a")
        member.parts.advance(0.6, heartbeats_of="b")
        member.chain.read(1)
        self.assertEqual(member.parts.replies(), [])

    def test_without_a_chain_requests_wait(self) -> None:
        member = ChainMember("b")
        member.parts.replica_state.view = view(chain="")
        member.chain.read(1)
        member.chain.propose_write(write_request(2))
        self.assertEqual(member.parts.replies(), [])
