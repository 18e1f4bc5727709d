"""The chain, the planning of views and the calls of a replica, part by part."""

from __future__ import annotations

import unittest
from collections.abc import Collection
from dataclasses import replace
from typing import Any

from rosechute.coordination import Replica, ReplicaConfig
from rosechute.coordination.actions import ConfigurationCommitted, LeadershipLost, PersistRecords, SendMessage
from rosechute.coordination.chain import SILENT_HEARTBEATS, Chain
from rosechute.coordination.cluster_status import ClusterStatus, JoinCandidate
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.outcomes import (
    NoConfiguration,
    OutcomeUnknown,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
)
from rosechute.coordination.planning import next_view_if_needed, next_view_of_sealed_epoch
from rosechute.coordination.replica_config import MachineIdentity, Timing
from rosechute.coordination.replica_state import chain_write_message, load_replica_state
from rosechute.coordination.views import (
    MAX_APPLIED_WRITES,
    RegisterState,
    View,
    bootstrap_id,
    identity_from_message,
    identity_to_message,
)
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import EPOCH, NOW, Parts, identity, order, state, term, view

TIMING = Timing()


class Confirmations(EpochConfirmer):
    """Questions wait for the test to answer them."""

    def __init__(self, parts: Parts) -> None:
        super().__init__(parts.context)
        self.waiting: list[Any] = []

    def confirm_epoch(self, callback: Any, started_at: float) -> None:
        self.waiting.append((callback, started_at))

    def confirm(self, certain: bool = True) -> None:
        waiting, self.waiting = self.waiting, []
        for callback, _ in waiting:
            callback(is_confirmed=certain)


class Link:
    """One machine of a chain."""

    def __init__(self, own: str = "a", members: str = "abc", chain: str | None = None) -> None:
        self.parts = Parts(own, members, chain)
        self.told: list[int] = []
        self.confirmer = Confirmations(self.parts)
        self.chain = Chain(self.parts.context, self.confirmer, self._tell)
        if own == self.parts.replica_state.view.chain[0]:
            self.chain.activate()

    def _tell(self) -> None:
        self.told.append(self.parts.replica_state.committed.sequence)

    def pass_time(self, seconds: float, hearing: str = "") -> None:
        self.parts.pass_time(seconds, hearing)
        self.chain.tick()

    def write(self, sequence: int = 6, sender: str = "a", epoch: int = EPOCH) -> None:
        written = state(sequence, epoch, 51)
        self.chain.on_chain_write(identity(sender), chain_write_message(written))


class HeadTest(unittest.TestCase):
    """The head: one write at a time, an acknowledgement once the tail has it, a refusal once that is certain."""

    def setUp(self) -> None:
        self.link = Link()
        self.parts, self.chain = self.link.parts, self.link.chain

    def test_order_goes_down_the_chain_once_synced(self) -> None:
        self.chain.propose_write(order(1))
        self.assertEqual(self.parts.sent("chain_write"), [])
        self.parts.sync()
        ((to, write),) = self.parts.messages("chain_write")
        self.assertEqual((to, write.epoch, write.sequence), ("b", EPOCH, 6))
        self.assertEqual((write.configuration.version, write.configuration.body), (51, order(1).body))
        self.assertEqual(write.configuration.digest, order(1).digest)

    def test_acknowledged_once_the_tail_has_stored_it(self) -> None:
        self.chain.propose_write(order(1))
        self.parts.sync()
        self.assertEqual(self.parts.answers(), [])
        self.chain.on_committed(EPOCH, 5)
        self.chain.on_committed(EPOCH - 1, 6)
        self.assertEqual((self.parts.answers(), self.parts.replica_state.committed.sequence), ([], 5))
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.answers(), [(1, WriteAcknowledged(51))])
        self.assertEqual((self.parts.replica_state.committed.version, self.link.told), (51, [6]))
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual((self.parts.answers(), self.link.told), ([], [6]))

    def test_a_repeated_order_gets_the_same_answer(self) -> None:
        self.chain.propose_write(order(1))
        self.chain.propose_write(order(2))
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.chain.propose_write(order(3))
        self.assertEqual(self.parts.answers(), [(each, WriteAcknowledged(51)) for each in (1, 2, 3)])
        self.assertEqual(self.parts.replica_state.committed.sequence, 6, "taken once")

    def test_a_repeated_order_that_waits_gets_the_same_answer(self) -> None:
        self.chain.propose_write(order(1))
        self.chain.propose_write(order(2, 51, 52))
        self.chain.propose_write(order(3, 51, 52))
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.parts.sync()
        self.chain.on_committed(EPOCH, 7)
        self.assertEqual(
            self.parts.answers(), [(1, WriteAcknowledged(51)), (2, WriteAcknowledged(52)), (3, WriteAcknowledged(52))]
        )

    def test_one_write_at_a_time(self) -> None:
        self.chain.propose_write(order(1))
        self.chain.propose_write(order(2, 51, 52))
        self.parts.sync()
        self.assertEqual([each.sequence for each in self.parts.sent("chain_write")], [6])
        self.chain.on_committed(EPOCH, 6)
        self.parts.sync()
        self.assertEqual([each.sequence for each in self.parts.sent("chain_write")], [7])

    def test_another_order_under_the_same_number_is_refused(self) -> None:
        self.chain.propose_write(order(1))
        self.chain.propose_write(order(2, note=b" "))
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.answers(), [(1, WriteAcknowledged(51))])
        self.link.confirmer.confirm()
        self.assertEqual(self.parts.answers(), [(2, VersionConflict(51))])

    def test_refused_only_with_certainty(self) -> None:
        for base, version in ((49, 60), (50, 50), (50, 49)):
            self.setUp()
            self.chain.propose_write(order(1, base, version))
            self.assertEqual(self.parts.answers(), [])
            self.link.confirmer.confirm()
            self.assertEqual(self.parts.answers(), [(1, VersionConflict(50))], (base, version))
            self.assertEqual(self.parts.sync(), [])

    def test_an_order_that_came_before_the_one_it_builds_on_waits_for_it(self) -> None:
        self.chain.propose_write(order(1, 51, 52))
        self.chain.propose_write(order(2, 52, 53))
        self.assertEqual((self.link.confirmer.waiting, self.parts.sync()), ([], []))
        self.chain.propose_write(order(3))
        for sequence in (6, 7, 8):
            self.parts.sync()
            self.chain.on_committed(EPOCH, sequence)
        self.assertEqual(
            self.parts.answers(), [(3, WriteAcknowledged(51)), (1, WriteAcknowledged(52)), (2, WriteAcknowledged(53))]
        )

    def test_orders_that_came_too_early_keep_their_order(self) -> None:
        self.chain.propose_write(order(1, 51, 60))
        self.chain.propose_write(order(2, 51, 52))
        self.chain.propose_write(order(3))
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.parts.sync()
        self.assertEqual(self.parts.replica_state.newest.version, 60)

    def test_an_order_that_may_be_forgotten_is_not_refused(self) -> None:
        taken = b"".join(b"o" * 16 + (41 + number).to_bytes(8, "big") for number in range(MAX_APPLIED_WRITES))
        self.parts.replica_state.committed = replace(self.parts.replica_state.committed, applied_writes=taken)
        self.chain.propose_write(order(1, 39, 40))
        self.assertEqual((self.parts.answers(), self.link.confirmer.waiting), ([(1, OutcomeUnknown())], []))
        self.chain.propose_write(order(2, 39, 41))
        self.link.confirmer.confirm()
        self.assertEqual(self.parts.answers(), [(2, VersionConflict(50))])
        self.parts.replica_state.committed = replace(self.parts.replica_state.committed, applied_writes=taken[24:])
        self.chain.propose_write(order(3, 39, 40))
        self.link.confirmer.confirm()
        self.assertEqual(self.parts.answers(), [(3, VersionConflict(50))], "not so many were taken")

    def test_not_refused_without_certainty(self) -> None:
        self.chain.propose_write(order(1, 49, 60))
        self.link.confirmer.confirm(False)
        self.assertEqual(self.parts.answers(), [])
        self.link.pass_time(0.1, hearing="bc")
        self.link.confirmer.confirm()
        self.assertEqual(self.parts.answers(), [(1, VersionConflict(50))], "asked again")

    def test_a_refusal_that_turns_out_to_be_taken(self) -> None:
        given = order(1, 49, 60)
        self.chain.propose_write(given)
        self.parts.replica_state.committed = self.parts.replica_state.committed.with_write(
            EPOCH, 60, given.body, given.digest
        )
        self.link.confirmer.confirm(False)
        self.assertEqual(self.parts.answers(), [(1, WriteAcknowledged(60))])

    def test_a_repeated_order_that_waits_for_its_refusal(self) -> None:
        self.chain.propose_write(order(1, 49, 60))
        self.chain.propose_write(order(2, 49, 60))
        self.link.confirmer.confirm()
        self.assertEqual(self.parts.answers(), [(1, VersionConflict(50)), (2, VersionConflict(50))])

    def test_refusals_end_with_the_view(self) -> None:
        self.chain.propose_write(order(1, 49, 60))
        self.chain.on_view_change()
        self.link.confirmer.confirm()
        self.assertEqual(self.parts.answers(), [])

    def test_no_order_before_all_members_have_adopted(self) -> None:
        self.chain.is_active = False
        self.chain.propose_write(order(1))
        self.assertEqual(self.parts.sync(), [])
        self.parts.context.heartbeat_due = False
        self.chain.activate()
        self.assertEqual(len(self.parts.sync()), 1)
        self.assertTrue(self.parts.context.heartbeat_due)

    def test_no_order_in_a_sealed_epoch(self) -> None:
        self.parts.seal()
        self.chain.propose_write(order(1))
        self.assertEqual(self.parts.sync(), [])

    def test_no_next_order_in_an_epoch_that_was_sealed_meanwhile(self) -> None:
        self.chain.propose_write(order(1))
        self.chain.propose_write(order(2, 51, 52))
        self.parts.sync()
        self.parts.seal()
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.sync(), [])

    def test_nothing_is_passed_on_once_sealed(self) -> None:
        self.chain.propose_write(order(1))
        self.parts.seal()
        self.parts.sync()
        self.assertEqual(self.parts.sent("chain_write"), [])

    def test_nothing_is_passed_on_of_an_epoch_that_ended(self) -> None:
        self.chain.propose_write(order(1))
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.parts.context.adopted_epoch = EPOCH + 1
        self.parts.sync()
        self.assertEqual(self.parts.sent("chain_write"), [])

    def test_repeats_a_write_ever_more_rarely(self) -> None:
        self.chain.propose_write(order(1))
        self.parts.sync()
        self.parts.actions()
        resend, times = TIMING.resend_write, []
        for step in range(1, 80):
            self.link.pass_time(0.01, hearing="bc")
            times += [step / 100] * len(self.parts.sent("chain_write"))
        self.assertEqual(len(times), 2)
        self.assertAlmostEqual(times[0], resend, delta=0.02)
        self.assertAlmostEqual(times[1], 3 * resend, delta=0.03)

    def test_an_operator_is_answered_in_time(self) -> None:
        self.chain.propose_write(order(1))
        self.parts.sync()
        self.link.pass_time(0.5, hearing="bc")
        self.chain.propose_write(order(2))
        self.link.pass_time(TIMING.order_deadline - 0.5 - 0.01, hearing="bc")
        self.assertEqual(self.parts.answers(), [])
        self.link.pass_time(0.02, hearing="bc")
        self.assertEqual(self.parts.answers(), [(1, OutcomeUnknown())])
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.answers(), [(2, WriteAcknowledged(51))])

    def test_an_order_whose_operator_was_answered_is_not_taken_later(self) -> None:
        self.chain.is_active = False
        self.chain.propose_write(order(1))
        self.link.pass_time(TIMING.order_deadline, hearing="bc")
        self.assertEqual(self.parts.answers(), [(1, OutcomeUnknown())])
        self.chain.activate()
        self.assertEqual(self.parts.sync(), [])

    def test_cut_off_from_the_majority(self) -> None:
        self.chain.propose_write(order(1))
        self.link.pass_time(TIMING.suspect + TIMING.heartbeat - 0.01)
        self.assertEqual(self.parts.answers(), [])
        self.chain.propose_write(order(2, 51, 52))
        self.assertEqual(self.parts.answers(), [])
        self.link.pass_time(0.02)
        self.assertEqual(self.parts.answers(), [(1, OutcomeUnknown()), (2, OutcomeUnknown())])
        self.chain.propose_write(order(3, 51, 52))
        self.chain.read(4)
        self.assertEqual(self.parts.answers(), [(3, OutcomeUnknown()), (4, OutcomeUnknown())])

    def test_an_order_answered_while_cut_off_is_not_taken_once_the_others_are_back(self) -> None:
        self.parts.pass_time(2.0)
        self.chain.propose_write(order(1))
        self.assertEqual(self.parts.answers(), [(1, OutcomeUnknown())])
        for each in "bc":
            self.parts.hear(each)
        self.chain.propose_write(order(2, 51, 52))
        self.assertEqual(self.parts.sync(), [])

    def test_one_other_machine_is_enough_of_three(self) -> None:
        self.link.pass_time(2.0, hearing="b")
        self.chain.propose_write(order(1))
        self.assertEqual(self.parts.answers(), [])

    def test_not_cut_off_right_after_the_start(self) -> None:
        self.parts.detector.started_at = NOW
        self.parts.detector.peers.clear()
        self.chain.propose_write(order(1))
        self.assertEqual(self.parts.answers(), [])
        self.parts.detector.started_at = NOW - TIMING.order_deadline - 0.01
        self.chain.propose_write(order(2))
        self.assertEqual(self.parts.answers(), [(1, OutcomeUnknown()), (2, OutcomeUnknown())])

    # Another view

    def test_what_was_under_way_is_settled_by_the_new_state(self) -> None:
        self.chain.propose_write(order(1))
        self.chain.propose_write(order(2, 51, 52))
        taken = self.parts.replica_state.uncommitted
        assert taken is not None
        self.parts.replica_state.committed, self.parts.replica_state.uncommitted = taken, None
        self.chain.on_view_change()
        self.assertEqual(self.parts.answers(), [(1, WriteAcknowledged(51))])
        self.assertFalse(self.chain.is_active)
        self.chain.activate()
        (record,) = self.parts.sync()[-1:]
        self.assertEqual(record.write.configuration.version, 52)

    def test_what_was_not_taken_is_tried_again(self) -> None:
        self.chain.propose_write(order(1))
        self.parts.sync()
        self.parts.replica_state.uncommitted = None
        self.chain.on_view_change()
        self.assertEqual(self.parts.answers(), [])
        self.chain.activate()
        self.parts.sync()
        self.chain.on_committed(EPOCH, 6)
        self.assertEqual(self.parts.answers(), [(1, WriteAcknowledged(51))])

    def test_what_waited_is_tried_again_once(self) -> None:
        self.chain.is_active = False
        self.chain.propose_write(order(1, 49, 60))
        self.chain.on_view_change()
        self.chain.activate()
        self.assertEqual(len(self.link.confirmer.waiting), 1)

    def test_what_nobody_waits_for_is_not_tried_again(self) -> None:
        self.chain.propose_write(order(1))
        self.link.pass_time(TIMING.order_deadline, hearing="bc")
        self.parts.replica_state.uncommitted = None
        self.parts.sync()
        self.chain.on_view_change()
        self.chain.activate()
        self.assertEqual(self.parts.sync(), [])

    # Redirects

    def test_orders_go_to_the_head(self) -> None:
        link = Link("b")
        link.chain.propose_write(order(1))
        self.assertEqual(link.parts.answers(), [(1, Redirect("a:8367"))])
        self.assertEqual(link.parts.sync(), [])

    def test_known_orders_are_answered_anywhere(self) -> None:
        link = Link("b")
        given = order(1, 49, 50)
        link.parts.replica_state.committed = link.parts.replica_state.committed.with_write(
            EPOCH, 50, given.body, given.digest
        )
        link.chain.propose_write(given)
        self.assertEqual(link.parts.answers(), [(1, WriteAcknowledged(50))])

    def test_an_order_that_waits_for_the_head_and_comes_into_force(self) -> None:
        link, given = Link("b"), order(1)
        del link.parts.detector.peers["a"]
        link.parts.detector.started_at = NOW
        link.chain.propose_write(given)
        self.assertEqual(link.parts.answers(), [])
        link.parts.replica_state.committed = link.parts.replica_state.committed.with_write(
            EPOCH, 51, given.body, given.digest
        )
        link.pass_time(0.1, hearing="c")
        self.assertEqual(link.parts.answers(), [(1, WriteAcknowledged(51))])

    def test_nobody_is_sent_to_a_silent_machine(self) -> None:
        for silence, there in ((2, True), (SILENT_HEARTBEATS - 0.1, True), (SILENT_HEARTBEATS + 0.1, False)):
            link = Link("b")
            link.parts.pass_time(silence * TIMING.heartbeat, hearing="c")
            link.chain.propose_write(order(1))
            self.assertEqual(len(link.parts.answers()), int(there), silence)

    def test_nobody_is_sent_to_a_machine_that_answers_nothing(self) -> None:
        link = Link("b")
        link.parts.detector.peers["a"].last_answered_at = NOW - 2.0
        link.chain.propose_write(order(1))
        self.assertEqual(link.parts.answers(), [])

    def test_a_head_that_only_another_machine_reaches(self) -> None:
        for reached, there in ((["a"], True), ([], False)):
            link = Link("b")
            link.parts.pass_time(TIMING.lease + 0.1)
            link.parts.hear("c", reached=reached)
            link.chain.propose_write(order(1))
            self.assertEqual(len(link.parts.answers()), int(there), reached)


class TailTest(unittest.TestCase):
    """Members store writes of their predecessor in order; the tail answers reads once its epoch is confirmed."""

    def test_a_member_stores_and_passes_on(self) -> None:
        link = Link("b")
        link.write()
        self.assertEqual(link.parts.sent("chain_write"), [])
        self.assertEqual(link.parts.replica_state.newest.sequence, 6)
        link.parts.sync()
        ((to, write),) = link.parts.messages("chain_write")
        self.assertEqual((to, write.sequence), ("c", 6))
        self.assertEqual(link.parts.replica_state.committed.sequence, 5, "it counts once the tail has it")

    def test_a_repeated_write_is_passed_on_again(self) -> None:
        link = Link("b")
        link.write()
        link.write()
        self.assertEqual(link.parts.sent("chain_write"), [], "after the sync only")
        self.assertEqual(len(link.parts.sync()), 1)
        self.assertEqual(len(link.parts.sent("chain_write")), 2)
        link.write()
        self.assertEqual(len(link.parts.sent("chain_write")), 1)

    def test_the_next_write_shows_that_the_one_before_counts(self) -> None:
        link = Link("b")
        link.write(6)
        self.assertEqual(link.told, [])
        link.write(7)
        self.assertEqual((link.parts.replica_state.committed.sequence, link.told), (6, [6]))

    def test_an_older_write_is_not_passed_on_for_a_newer_one(self) -> None:
        link = Link("b")
        link.write(6)
        link.write(7)
        link.parts.sync()
        self.assertEqual([each.sequence for each in link.parts.sent("chain_write")], [7])

    def test_a_write_that_came_too_early_is_not_passed_on_before_its_sync(self) -> None:
        link = Link("b")
        link.write(6)
        first = link.parts.flush()
        for sequence in (8, 7, 8):
            link.write(sequence)
        assert first is not None
        link.parts.disk.on_persisted(link.parts.now, first.token)
        self.assertEqual(link.parts.sent("chain_write"), [])

    def test_writes_that_are_not_taken(self) -> None:
        link = Link("b")
        link.write(sender="c")
        link.write(sender="z")
        link.write(sequence=7)
        link.write(sequence=4)
        link.write(epoch=EPOCH - 1)
        link.write(epoch=EPOCH + 1)
        self.assertEqual((link.parts.sync(), link.parts.sent("chain_write")), ([], []))
        self.assertEqual(link.parts.replica_state.newest.sequence, 5)

    def test_no_write_in_a_sealed_epoch(self) -> None:
        link = Link("b")
        link.parts.seal()
        link.write()
        self.assertEqual(link.parts.sync(), [])

    def test_no_write_before_this_process_has_adopted_the_epoch(self) -> None:
        link = Link("b")
        link.parts.context.joined_epoch = EPOCH - 1
        link.write()
        self.assertEqual(link.parts.sync(), [])

    def test_the_tail_commits_once_synced(self) -> None:
        link = Link("c")
        link.parts.context.heartbeat_due = False
        link.write(sender="b")
        self.assertEqual((link.parts.replica_state.committed.sequence, link.parts.context.heartbeat_due), (5, False))
        self.assertEqual(link.chain.durable_sequence(), 5)
        link.parts.sync()
        self.assertEqual((link.parts.replica_state.committed.sequence, link.parts.context.heartbeat_due), (6, True))
        self.assertEqual((link.chain.durable_sequence(), link.told), (6, [6]))
        self.assertEqual(link.parts.sent("chain_write"), [])

    def test_durable_only_once_synced(self) -> None:
        link = Link("b")
        link.write()
        self.assertEqual(link.chain.durable_sequence(), 5)
        link.parts.sync()
        self.assertEqual(link.chain.durable_sequence(), 6)

    def test_reads_wait_for_the_majority(self) -> None:
        link = Link("c")
        link.chain.read(1)
        self.assertEqual(link.parts.answers(), [])
        ((_, since),) = link.confirmer.waiting
        self.assertEqual(since, NOW)
        link.confirmer.confirm()
        ((request, outcome),) = link.parts.answers()
        self.assertEqual((request, outcome), (1, ReadResult(5, 50, b"body 50", state().digest)))

    def test_reads_give_what_counts_only(self) -> None:
        link = Link("c")
        link.write(sender="b")
        link.chain.read(1)
        link.confirmer.confirm()
        ((_, outcome),) = link.parts.answers()
        assert isinstance(outcome, ReadResult)
        self.assertEqual(outcome.sequence, 5)

    def test_no_configuration_yet(self) -> None:
        link = Link("c")
        link.parts.replica_state.committed = RegisterState(epoch=EPOCH)
        link.chain.read(1)
        link.confirmer.confirm()
        self.assertEqual(link.parts.answers(), [(1, NoConfiguration())])

    def test_reads_that_are_not_confirmed_are_asked_again_and_end_in_time(self) -> None:
        link = Link("c")
        link.chain.read(1)
        link.confirmer.confirm(False)
        self.assertEqual(link.parts.answers(), [])
        link.pass_time(0.4, hearing="ab")
        ((_, since),) = link.confirmer.waiting
        self.assertEqual(since, NOW)
        link.confirmer.confirm(False)
        link.pass_time(TIMING.order_deadline - 0.39, hearing="ab")
        self.assertEqual(link.parts.answers(), [(1, OutcomeUnknown())])
        link.confirmer.confirm()
        self.assertEqual(link.parts.answers(), [])

    def test_no_read_in_a_sealed_epoch(self) -> None:
        link = Link("c")
        link.parts.seal()
        link.chain.read(1)
        self.assertEqual((link.confirmer.waiting, link.parts.answers()), ([], []))

    def test_reads_go_to_the_tail(self) -> None:
        for own in "ab":
            link = Link(own)
            link.chain.read(1)
            self.assertEqual((link.parts.answers(), link.confirmer.waiting), ([(1, Redirect("c:8367"))], []))

    def test_reads_wait_for_a_silent_tail(self) -> None:
        link = Link("a")
        link.parts.pass_time(0.6, hearing="b")
        link.chain.read(1)
        self.assertEqual(link.parts.answers(), [])

    def test_without_a_chain_nothing_is_answered_at_once(self) -> None:
        link = Link("b")
        link.parts.replica_state.view = view(chain="")
        link.chain.read(1)
        link.chain.propose_write(order(2))
        self.assertEqual(link.parts.answers(), [])


class PlanningTest(unittest.TestCase):
    """One change of the acceptors at a time; a copy on a majority at each step."""

    def situation(
        self,
        usable: str = "abc",
        restarted: str = "",
        joiners: Collection[JoinCandidate] = (),
        silent: dict[str, float] | None = None,
        conflicts: Collection[tuple[str, str]] = (),
        granting: int = 9,
        own: str = "a",
        leaving: str = "",
        returning: str = "",
    ) -> ClusterStatus:
        times = silent or {}
        return ClusterStatus(
            own_id=own,
            chain_eligible_ids=usable,
            restarted_ids=restarted,
            join_candidates=tuple(joiners),
            newest_identity=lambda name: identity(name) if name in "abcdefgn" else None,
            leaving_ids=leaving,
            recovering_ids=returning,
            silence_s=lambda name: times.get(name, 0.0),
            remove_after_s=1.0,
            suspect_after_s=0.7,
            unreachable_pairs=conflicts,
            granting_acceptors=granting,
        )

    def needed(self, members: str = "abc", chain: str | None = None, size: int = 3, **fields: Any) -> Any:
        found = next_view_if_needed(view(members, chain=chain, size=size), self.situation(**fields))
        if found is None:
            return None
        self.assertEqual(found.epoch, EPOCH + 1)
        return "".join(each.id for each in found.acceptors), "".join(found.chain)

    def stranger(
        self, name: str = "n", address: str = "n:8367", known_as: str = "", newcomer: bool = False
    ) -> JoinCandidate:
        return JoinCandidate(MachineIdentity(name, known_as or f"name-{name}", "z", address, "n:7500"), newcomer)

    def test_nothing_where_all_is_right(self) -> None:
        self.assertIsNone(self.needed())

    def test_leaves_out_and_takes_back_members(self) -> None:
        self.assertEqual(self.needed(usable="ab"), ("abc", "ab"))
        self.assertEqual(self.needed(chain="ab"), ("abc", "abc"))
        self.assertEqual(self.needed(chain="bc"), ("abc", "bca"), "who comes back stands behind")

    def test_no_chain_without_a_majority(self) -> None:
        self.assertIsNone(self.needed(usable="a"))
        self.assertIsNone(self.needed("abcd", size=4, usable="ab"))
        self.assertEqual(self.needed("abcd", size=4, usable="abc"), ("abcd", "abc"))

    def test_restarted_members_adopt_anew(self) -> None:
        self.assertEqual(self.needed(restarted="b"), ("abc", "abc"))
        self.assertIsNone(self.needed(restarted="z"))
        self.assertEqual(self.needed(chain="ab", usable="ab", restarted="c"), None)

    def test_new_details_of_an_acceptor(self) -> None:
        old = view()
        moved = MachineIdentity("c", "c", "z", "elsewhere:8367", "elsewhere:7500")
        situation = self.situation()
        object.__setattr__(situation, "newest_identity", lambda name: moved if name == "c" else None)
        found = next_view_if_needed(old, situation)
        assert found is not None
        self.assertEqual(found.acceptors, (*old.acceptors[:2], moved))

    def test_a_wiped_machine_is_replaced_at_its_address(self) -> None:
        joiner = self.stranger(address="c:8367")
        self.assertEqual(self.needed(usable="abn", joiners=[joiner]), ("abn", "abn"))
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner]), ("abn", "abn"), "even if it is still heard")

    def test_a_name_at_a_new_address_replaces_the_silent_machine(self) -> None:
        joiner = self.stranger(known_as="name-c")
        self.assertEqual(self.needed(usable="abn", joiners=[joiner], silent={"c": 0.7}), ("abn", "abn"))
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner], silent={"c": 0.69}), ("abcn", "abcn"))

    def test_machines_without_a_name_are_not_the_same(self) -> None:
        nameless = MachineIdentity("c", "", "z", "c:8367", "c:7500")
        situation = self.situation(
            "abn", joiners=[JoinCandidate(MachineIdentity("n", "", "z", "n:8367", "n:7500"), False)]
        )
        object.__setattr__(situation, "silence_s", lambda name: 0.8 if name == "c" else 0.0)
        object.__setattr__(situation, "newest_identity", lambda name: nameless if name == "c" else identity(name))
        found = next_view_if_needed(view(), situation)
        assert found is not None
        self.assertEqual([each.id for each in found.acceptors], ["a", "b", "c", "n"])

    def test_a_stranger_replaces_the_longest_silent_machine(self) -> None:
        silent = {"b": 1.0, "c": 2.0}
        joiner = self.stranger()
        self.assertEqual(self.needed(usable="abn", joiners=[joiner], silent=silent), ("abn", "abn"))
        silent = {"b": 2.0, "c": 1.0}
        self.assertEqual(self.needed(usable="acn", joiners=[joiner], silent=silent), ("anc", "acn"))
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner], silent={"c": 0.99}), ("abcn", "abcn"))

    def test_one_change_at_a_time(self) -> None:
        joiners = [self.stranger("n", "c:8367"), self.stranger("m", "b:8367")]
        found = self.needed(usable="anm", joiners=joiners)
        self.assertEqual(found, ("amc", "am"), "by their addresses")

    def test_no_change_of_the_acceptors_that_leaves_no_majority_in_the_chain(self) -> None:
        joiner = self.stranger("n", "c:8367")
        self.assertIsNone(self.needed("abcd", size=4, usable="an", joiners=[joiner]))

    def test_grows_by_a_newcomer(self) -> None:
        joiner = self.stranger(newcomer=True)
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner]), ("abcn", "abcn"))
        found = next_view_if_needed(view(), self.situation("abcn", joiners=[joiner]))
        assert found is not None
        self.assertEqual(found.target_size, 4)
        self.assertEqual(self.needed("abcd", usable="abcdn", joiners=[joiner]), ("abcdn", "abcdn"))

    def test_a_newcomer_replaces_nobody(self) -> None:
        joiner = self.stranger(newcomer=True)
        self.assertEqual(self.needed(usable="abn", joiners=[joiner], silent={"c": 9.0}), ("abcn", "abn"))

    def test_grows_beyond_its_size_by_one_at_most(self) -> None:
        joiner = self.stranger()
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner]), ("abcn", "abcn"))
        found = next_view_if_needed(view(), self.situation("abcn", joiners=[joiner]))
        assert found is not None
        self.assertEqual(found.target_size, 3)
        self.assertIsNone(self.needed("abcd", usable="abcdn", joiners=[joiner]))

    def test_does_not_grow_where_the_leader_would_lose_its_lease(self) -> None:
        joiner = self.stranger(newcomer=True)
        self.assertIsNone(self.needed(usable="abcn", joiners=[joiner], granting=2))
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner], granting=3), ("abcn", "abcn"))

    def test_a_surplus_machine_is_removed_once_silent(self) -> None:
        self.assertIsNone(self.needed("abcd", usable="abcd", silent={"d": 0.99}))
        self.assertEqual(self.needed("abcd", usable="acd", silent={"b": 2.0, "d": 1.0}), ("acd", "acd"))
        self.assertEqual(self.needed("abcd", usable="abc", silent={"b": 1.0, "d": 2.0}), ("abc", "abc"))
        self.assertEqual(self.needed("abcd", usable="abc", silent={"d": 0.9}), ("abcd", "abc"))

    def test_a_surplus_machine_that_leaves_is_removed_at_once(self) -> None:
        self.assertEqual(self.needed("abcd", usable="acd", leaving="b", silent={"d": 9.0}), ("acd", "acd"))
        self.assertEqual(self.needed("abcd", usable="acd", leaving="z"), ("abcd", "acd"))
        self.assertEqual(self.needed(usable="ab", leaving="c"), ("abc", "ab"), "of a view of its size nobody is")

    def test_a_machine_that_just_came_back_counts_where_the_chain_lacks_a_majority(self) -> None:
        self.assertEqual(self.needed("abcd", size=4, chain="abc", usable="ab", returning="d"), ("abcd", "abd"))
        self.assertEqual(self.needed(chain="abc", usable="ab", returning="c"), ("abc", "ab"))
        conflicts = [("b", "d")]
        found = self.needed("abcd", size=4, chain="abd", usable="ab", returning="cd", conflicts=conflicts)
        self.assertEqual(found, ("abcd", "abc"))

    def test_nobody_is_removed_from_a_view_of_its_size(self) -> None:
        self.assertEqual(self.needed(usable="ab", silent={"c": 9.0}), ("abc", "ab"))

    def test_machines_that_do_not_reach_each_other_do_not_share_the_chain(self) -> None:
        self.assertEqual(self.needed(conflicts=[("b", "c")]), ("abc", "ab"))
        self.assertEqual(self.needed(conflicts=[("c", "b")]), ("abc", "ab"))
        self.assertEqual(
            self.needed("abcde", size=5, usable="abcde", conflicts=[("b", "c"), ("b", "d")]), ("abcde", "acde")
        )

    def test_the_proposer_itself_stays(self) -> None:
        self.assertEqual(self.needed(conflicts=[("b", "c")], own="c"), ("abc", "ac"))

    def test_any_view_for_a_sealed_epoch(self) -> None:
        found = next_view_of_sealed_epoch(view(), self.situation("ab"), "abc")
        self.assertEqual(found.chain, ("a", "b"))
        found = next_view_of_sealed_epoch(view(), self.situation("a"), "bc")
        self.assertEqual((found.epoch, found.chain), (EPOCH + 1, ("b", "c")))
        found = next_view_of_sealed_epoch(view(chain="ca"), self.situation("a"), "abc")
        self.assertEqual(found.chain, ("c", "a", "b"))
        found = next_view_of_sealed_epoch(view("abcd", size=4, chain="ab"), self.situation("a"), "bcd")
        self.assertEqual(found.chain, ("b", "c", "d"))


SEEDS = (("a:8367", "a:7500"), ("b:8367", "b:7500"), ("c:8367", "c:7500"))


def config(bootstrap: bool = True, seeds: tuple[tuple[str, str], ...] = SEEDS) -> ReplicaConfig:
    return ReplicaConfig("name", "zone", "a:8367", "a:7500", bootstrap, seeds)


class ReplicaTest(unittest.TestCase):
    """Calls of a replica: nothing before the identity is synced, the lease's end before anything else."""

    def start(self, saved: list[bytes] | None = None, **fields: Any) -> Replica:
        self.replica = Replica(config(**fields), saved or [], NOW, lambda: 0.25)
        self.actions = self.replica.start(NOW)
        return self.replica

    def sync(self, now: float = NOW) -> list[Any]:
        (persist,) = [each for each in self.actions if isinstance(each, PersistRecords)]
        self.actions = self.replica.on_persisted(now, persist.token)
        return self.actions

    def saved(self, own: str = "a", **fields: Any) -> list[bytes]:
        """What a machine's disk holds in the middle of its life."""
        parts = Parts(own)
        for name, value in fields.items():
            setattr(parts.replica_state, name, value)
        return [parts.replica_state.snapshot_record().SerializeToString()]

    def handle(self, kind: str, body: Any, sender: str = "b", boot: int = 8, now: float = NOW) -> list[Any]:
        message = pb.CoreMessage(**{kind: body}, boot=boot, sender=identity_to_message(identity(sender)))
        return self.replica.receive(now, message)

    def test_first_start_of_the_system(self) -> None:
        replica = self.start()
        (persist,) = self.actions
        assert isinstance(persist, PersistRecords)
        self.assertTrue(persist.replaces)
        replica_state = load_replica_state(persist.records)
        self.assertEqual(replica_state.machine, replica.identity)
        self.assertEqual((replica.identity.id, replica_state.view.epoch), (bootstrap_id("a:8367"), 1))
        self.assertEqual(replica_state.committed, RegisterState(epoch=1))
        sent = [each for each in self.sync() if isinstance(each, SendMessage)]
        self.assertEqual({each.address for each in sent}, {"b:7500", "c:7500"})
        self.assertEqual(sent[0].message.heartbeat.epoch, 1)
        self.assertEqual(identity_from_message(sent[0].message.sender), replica.identity)
        self.assertEqual(sent[0].message.boot, 2**51 + 1)

    def test_a_machine_outside_of_the_seeds_is_a_newcomer_or_not(self) -> None:
        for bootstrap in (True, False):
            self.start(bootstrap=bootstrap, seeds=(("x:8367", "x:7500"),))
            (persist,) = [each for each in self.actions if isinstance(each, PersistRecords)]
            self.assertEqual(load_replica_state(persist.records).newcomer, bootstrap)

    def test_a_later_machine_knows_no_view(self) -> None:
        replica = self.start(bootstrap=False)
        self.assertEqual((replica.view.epoch, len(replica.identity.id)), (0, 16))
        self.assertNotEqual(replica.identity.id, bootstrap_id("a:8367"))
        self.start(seeds=())
        self.assertEqual(self.replica.view.epoch, 0)

    def test_nothing_is_said_before_the_identity_is_synced(self) -> None:
        self.start(bootstrap=False)
        self.assertEqual(self.hear("b"), [])
        self.assertEqual(self.replica.tick(NOW + 1.0), [])
        self.assertEqual(self.replica.resign(NOW + 1.0), [])
        self.assertTrue(self.sync(NOW + 1.0))

    def test_a_message_of_a_later_kind(self) -> None:
        self.start(self.saved())
        message = pb.CoreMessage(boot=8, sender=identity_to_message(identity("b")))
        self.assertEqual(self.replica.receive(NOW, message), [])

    def test_a_restart_keeps_what_was_known(self) -> None:
        replica = self.start(self.saved(term=term(6), grantee="b"))
        self.assertEqual((replica.identity.id, replica.view.epoch, replica.term), ("a", EPOCH, 6))
        self.assertEqual(replica.identity.control_address, "a:8367")
        self.assertEqual([each for each in self.actions if isinstance(each, PersistRecords)], [])
        beat = next(each.message.heartbeat for each in self.actions if isinstance(each, SendMessage))
        self.assertEqual((beat.epoch, beat.joined, beat.sequence), (EPOCH, False, 5))
        self.assertEqual((beat.lease_free, beat.lease_kept_for), (False, "b"))
        self.assertEqual(
            [each.configuration.sequence for each in self.actions if isinstance(each, ConfigurationCommitted)], [5]
        )

    def test_a_restarted_tail_knows_that_its_write_counts(self) -> None:
        written = state().with_write(EPOCH, 51, b"w", b"W" * 32)
        for own, sequence in (("c", 6), ("a", 5), ("b", 5)):
            replica = self.start(self.saved(own, uncommitted=written))
            committed = replica.committed
            assert committed is not None
            self.assertEqual(committed.sequence, sequence, own)

    def test_after_a_restart_others_get_the_lease_a_lease_later(self) -> None:
        self.start(self.saved(grantee="b"))
        for now, granted in ((NOW + 0.1, 0), (NOW + TIMING.lease - 0.1, 0), (NOW + TIMING.lease + 0.1, 1)):
            self.hear("c", now)
            request = pb.LeaseRequest(epoch=EPOCH, term=3, stamp=1.0)
            actions = self.handle("lease_request", request, "c", now=now)
            for each in [each for each in actions if isinstance(each, PersistRecords)]:
                actions = self.replica.on_persisted(now, each.token)
            grants = [
                each for each in actions if isinstance(each, SendMessage) and each.message.HasField("lease_grant")
            ]
            self.assertEqual(len(grants), granted, now)

    def hear(self, sender: str, now: float = NOW, **fields: Any) -> list[Any]:
        known: dict[str, Any] = {"stamp": now, "epoch": EPOCH, "sequence": 5, "joined": True, "healthy": True}
        answer = {"echo": now, "echo_boot": 2**51 + 1, "lease_free": True, "reached": list("abc")}
        return self.handle("heartbeat", pb.Heartbeat(**(known | answer | fields)), sender, now=now)

    def lead(self) -> int:
        """It gains the lease, by its own grant and that of b; the term."""
        self.start(self.saved(grantee="a"))
        for each in "bc":
            self.hear(each)
        actions = self.replica.tick(NOW + 0.01)
        for persist in [each for each in actions if isinstance(each, PersistRecords)]:
            self.replica.on_persisted(NOW + 0.01, persist.token)
        grant = pb.LeaseGrant(epoch=EPOCH, term=1, stamp=NOW + 0.01, boot=2**51 + 1)
        self.handle("lease_grant", grant, now=NOW + 0.02)
        self.assertTrue(self.replica.is_leader(NOW + 0.02))
        return 1

    def test_the_end_of_the_lease_comes_before_anything_else(self) -> None:
        self.lead()
        self.assertEqual(self.replica.leader_hint(), self.replica.identity)
        actions = self.hear("b", NOW + 5.0)
        self.assertIsInstance(actions[0], LeadershipLost)
        self.assertFalse(self.replica.is_leader(NOW + 5.0))

    def test_resigns(self) -> None:
        self.lead()
        actions = self.replica.resign(NOW + 0.1)
        self.assertIsInstance(actions[0], LeadershipLost)
        kinds = [(each.address, each.message.WhichOneof("body")) for each in actions if isinstance(each, SendMessage)]
        self.assertIn(("b:7500", "lease_release"), kinds)
        beats = [
            each.message.heartbeat
            for each in actions
            if isinstance(each, SendMessage) and each.message.HasField("heartbeat")
        ]
        self.assertEqual([(each.healthy, each.leads) for each in beats], [(False, False)] * 2)

    def test_resigns_as_a_follower(self) -> None:
        self.start(self.saved())
        beats = self.beats(self.replica.resign(NOW + 0.01))
        self.assertEqual([each.message.heartbeat.healthy for each in beats], [False, False])

    def test_a_restart_without_a_view(self) -> None:
        self.start(self.saved(view=View(), committed=RegisterState()))
        self.assertEqual(self.replica.view.epoch, 0)

    def test_handed_over_once_nobody_counts_on_it(self) -> None:
        for members, chain, size, over in (
            ("abc", "abc", 3, False),
            ("abc", "bc", 3, True),
            ("abcd", "bcd", 3, False),
            ("bcd", "bcd", 3, True),
            ("bcde", "bcde", 3, True),
        ):
            self.start(self.saved(view=view(members, chain=chain, size=size)))
            self.assertEqual(self.replica.is_handed_over, over, (members, chain))

    def test_term_while_it_leads(self) -> None:
        self.lead()
        self.replica._context.replica_state.term = term(9)  # another one has asked meanwhile
        self.assertEqual(self.replica.term, 1)

    def test_who_leads_as_far_as_it_knows(self) -> None:
        self.start(self.saved())
        self.assertIsNone(self.replica.leader_hint())
        self.hear("b", leads=True, term=3)
        self.hear("c", leads=True, term=4)
        hint = self.replica.leader_hint()
        assert hint is not None
        self.assertEqual(hint.id, "c")
        self.hear("b", NOW + 0.05, leads=True, term=5)
        hint = self.replica.leader_hint()
        assert hint is not None
        self.assertEqual(hint.id, "b")
        self.hear("c", NOW + 0.1, leads=False, term=4)
        hint = self.replica.leader_hint()
        assert hint is not None
        self.assertEqual(hint.id, "b")
        for step in range(1, 6):
            self.replica.tick(NOW + 0.3 * step)
        self.assertIsNone(self.replica.leader_hint())

    def test_a_freeze_of_its_own_is_nobodys_silence(self) -> None:
        for gap, silent in ((TIMING.blind - 0.05, True), (TIMING.blind + 0.05, False)):
            self.start(self.saved())
            self.hear("b")
            self.replica.tick(NOW + gap)
            heard = self.replica._context.failure_detector.silence_s(NOW + gap, "b")
            self.assertEqual(heard > 0.1, silent, gap)

    def test_time_does_not_go_back(self) -> None:
        self.start(self.saved())
        self.replica.tick(NOW + 1.0)
        self.replica.tick(NOW + 0.5)
        self.assertEqual(self.replica._context.now, NOW + 1.0)

    def test_heartbeats_have_their_period(self) -> None:
        self.start(self.saved())
        times = [step / 100 for step in range(1, 46) if self.beats(self.replica.tick(NOW + step / 100))]
        self.assertEqual(len(times), 3)

    def beats(self, actions: list[Any]) -> list[Any]:
        return [each for each in actions if isinstance(each, SendMessage) and each.message.HasField("heartbeat")]

    def test_committed_is_told_once_and_never_an_older_one(self) -> None:
        self.start(self.saved("c"))
        told = []
        for later, sequence in enumerate((6, 6, 5, 7), 1):
            decided = pb.Decided(view=view(epoch=EPOCH + later).to_message(), state=state(sequence).to_message())
            actions = self.handle("decided", decided)
            told += [each.configuration.sequence for each in actions if isinstance(each, ConfigurationCommitted)]
        self.assertEqual(told, [6, 7])

    def test_snapshot_stands_for_everything(self) -> None:
        self.start(self.saved(term=term(6), grantee="b"))
        self.assertEqual(load_replica_state(self.replica.snapshot()), self.replica._context.replica_state)

    def test_machines_of_the_core(self) -> None:
        self.start(self.saved())
        self.hear("z")
        self.assertEqual(sorted(each.id for each in self.replica.core_machines()), ["a", "b", "c", "z"])
        self.assertEqual((self.replica.head(), self.replica.tail()), (identity("a"), identity("c")))
        replica = self.start(bootstrap=False)
        self.assertEqual(replica.core_machines(), [replica.identity])

    def test_other_seeds_of_the_settings(self) -> None:
        self.start(bootstrap=False)
        self.replica.update_seeds([("x:8367", "x:7500")])
        self.assertEqual([each.address for each in self.sync() if isinstance(each, SendMessage)], ["x:7500"])

    def test_a_refused_write_is_taken_into_account(self) -> None:
        self.start(self.saved())
        self.hear("b")
        actions = self.handle("prepare", pb.Prepare(epoch=EPOCH, ballot=pb.Ballot(round=1, proposer="b", boot=8)))
        (persist,) = [each for each in actions if isinstance(each, PersistRecords)]
        self.replica.on_persist_failed(NOW, persist.token)
        self.assertFalse(self.replica._context.is_healthy)

    def test_answers_to_a_behind_machine_bring_it_forward(self) -> None:
        self.start(self.saved())
        actions = self.hear("b", epoch=EPOCH + 1)
        sent = [each.message for each in actions if isinstance(each, SendMessage)]
        self.assertEqual([each.fetch.epoch for each in sent if each.HasField("fetch")], [EPOCH])
        actions = self.handle("fetch", pb.Fetch(epoch=EPOCH - 1))
        ((address, decided),) = [
            (each.address, each.message.decided) for each in actions if isinstance(each, SendMessage)
        ]
        self.assertEqual((address, View.from_message(decided.view).epoch), ("b:7500", EPOCH))

    def test_freshness_by_heartbeats(self) -> None:
        self.start(self.saved())
        self.assertIsNone(self.replica.freshness(NOW))
        for each in "bc":
            self.hear(each)
        self.assertEqual(self.replica.freshness(NOW + 1.0), (5, 1.0))
