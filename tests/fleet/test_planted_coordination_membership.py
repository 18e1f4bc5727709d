"""Membership: adoption of views, catching up, and when the next view is proposed."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from rosechute.coordination.acceptor import Acceptor
from rosechute.coordination.chain import Chain
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.leader_lease import LeaderLease
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.membership import FETCH_INTERVAL_S, Membership
from rosechute.coordination.outcomes import WriteAcknowledged, WriteRequest
from rosechute.coordination.proposer import Phase
from rosechute.coordination.views import Ballot, RegisterState, View
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import EPOCH, NOW, OWN_INCARNATION, Parts, ballot, identity, proposal, state, view


class Member:
    """A machine with all the parts that its membership needs."""

    def __init__(self, own: str = "a", members: str = "abc", chain: str | None = None) -> None:
        self.parts = parts = Parts(own, members, chain)
        self.committed_sequences: list[int] = []
        self.acceptor = Acceptor(parts.context)
        self.confirmer = EpochConfirmer(parts.context)
        self.chain = Chain(parts.context, self.confirmer, self._on_committed)
        self.lease_grantor = LeaseGrantor(parts.context, NOW - 1.0)
        self.leader_lease = LeaderLease(parts.context, self.lease_grantor)
        self.membership = Membership(
            parts.context,
            self.acceptor,
            self.chain,
            self.confirmer,
            self.lease_grantor,
            self.leader_lease,
            self._on_committed,
        )

    def _on_committed(self) -> None:
        self.committed_sequences.append(self.parts.replica_state.committed.sequence)

    def lead(self) -> None:
        """It holds the leader lease, granted by all acceptors."""
        lease, parts = self.leader_lease, self.parts
        lease.tick()
        for each in parts.replica_state.view.acceptors:
            grant = pb.LeaseGrant(
                epoch=parts.replica_state.view.epoch, term=lease.term, stamp=parts.now, boot=OWN_INCARNATION
            )
            lease.on_grant(each, grant)
        assert lease.is_held(parts.now)
        parts.actions()

    def tick(self) -> list[str]:
        """To whom a proposer sends after a tick."""
        self.membership.tick()
        return self.parts.sent_to("prepare")


class MembershipTest(unittest.TestCase):
    """Views are adopted in order and synced before they are reported; nothing of the old epoch goes on."""

    def setUp(self) -> None:
        self.member = Member()
        self.parts = self.member.parts
        self.membership = self.member.membership

    def decided(self, epoch: int, sequence: int = 9, members: str = "abc", chain: str | None = None) -> None:
        message = pb.Decided(view=view(members, epoch, chain).to_message(), state=state(sequence, epoch).to_message())
        self.membership.on_decided(message)

    def test_adopted_once_synced(self) -> None:
        self.decided(EPOCH + 1)
        context = self.parts.context
        self.assertEqual(self.parts.replica_state.view.epoch, EPOCH + 1)
        self.assertEqual(
            (context.adopted_epoch, context.joined_epoch, context.is_epoch_adopted), (EPOCH, EPOCH, False)
        )
        (record,) = self.parts.sync()
        self.assertEqual(record.adopt.view.epoch, EPOCH + 1)
        self.assertEqual(RegisterState.from_message(record.adopt.state), state(9, EPOCH + 1))
        self.assertEqual(
            (context.adopted_epoch, context.joined_epoch, context.is_epoch_adopted), (EPOCH + 1, EPOCH + 1, True)
        )
        self.assertTrue(context.heartbeat_due)
        self.assertEqual(self.member.committed_sequences, [9])

    def test_late_sync_of_an_earlier_epoch_is_ignored(self) -> None:
        self.decided(EPOCH + 1)
        first = self.parts.flush()
        self.decided(EPOCH + 2)
        assert first is not None
        self.parts.disk.on_persisted(self.parts.now, first.token)
        self.assertEqual(self.parts.context.adopted_epoch, EPOCH)
        self.parts.sync()
        self.assertEqual(self.parts.context.adopted_epoch, EPOCH + 2)

    def test_older_views_are_ignored(self) -> None:
        for epoch in (EPOCH, EPOCH - 1):
            self.decided(epoch)
        self.assertEqual((self.parts.sync(), self.parts.replica_state.committed), ([], state()))

    def test_chosen_adopts_the_accepted_proposal(self) -> None:
        value = proposal(2, sequence=8)
        self.parts.replica_state.promised, self.parts.replica_state.accepted = ballot(2), value
        self.membership.on_chosen(pb.Chosen(epoch=EPOCH, ballot=ballot(1).to_message()))
        self.membership.on_chosen(pb.Chosen(epoch=EPOCH + 1, ballot=ballot(2).to_message()))
        self.membership.on_chosen(pb.Chosen(epoch=EPOCH - 1, ballot=ballot(2).to_message()))
        self.assertEqual(self.parts.replica_state.view.epoch, EPOCH)
        self.membership.on_chosen(pb.Chosen(epoch=EPOCH, ballot=ballot(2).to_message()))
        self.assertEqual(
            (self.parts.replica_state.view, self.parts.replica_state.committed), (value.view, value.state)
        )
        (record,) = self.parts.sync()
        self.assertEqual(Ballot.from_message(record.adopt.accepted), ballot(2))
        self.membership.on_chosen(pb.Chosen(epoch=EPOCH + 1, ballot=ballot(2).to_message()))
        self.assertEqual(self.parts.replica_state.view.epoch, EPOCH + 1)

    def test_chosen_without_the_accepted_proposal_is_ignored(self) -> None:
        self.membership.on_chosen(pb.Chosen(epoch=EPOCH, ballot=ballot(2).to_message()))
        self.assertEqual(self.parts.replica_state.view.epoch, EPOCH)

    def test_adoption_ends_confirmations_and_attempts(self) -> None:
        answers: list[bool] = []

        def on_result(*, is_confirmed: bool) -> None:
            answers.append(is_confirmed)

        self.member.confirmer.confirm_epoch(on_result, NOW)
        self.membership.proposer.begin()
        self.decided(EPOCH + 1)
        self.assertEqual(answers, [False])
        self.assertEqual(self.membership.proposer.phase, Phase.IDLE)

    def test_adoption_deactivates_the_head(self) -> None:
        self.membership.activate_chain_if_ready()
        self.assertTrue(self.member.chain.is_active)
        self.decided(EPOCH + 1)
        self.assertFalse(self.member.chain.is_active)

    def test_in_flight_write_is_carried_over(self) -> None:
        self.membership.activate_chain_if_ready()
        self.member.chain.propose_write(WriteRequest(4, 50, 51, b"new", b"N" * 32))
        taken = state(9, EPOCH + 1).applied_writes + b"N" * 16 + (51).to_bytes(8, "big")
        decided = RegisterState(EPOCH + 1, 6, 51, b"new", b"N" * 32, taken)
        self.parts.actions()
        self.membership.on_decided(pb.Decided(view=view(epoch=EPOCH + 1).to_message(), state=decided.to_message()))
        self.assertEqual(self.parts.replies(), [(4, WriteAcknowledged(51))])

    def test_joining_acceptor_abstains_for_one_lease(self) -> None:
        member = Member("a", "bcd")
        member.membership.on_decided(
            pb.Decided(view=view("abc", EPOCH + 1).to_message(), state=state(9, EPOCH + 1).to_message())
        )
        self.assertEqual(member.lease_grantor.abstain_until, NOW + member.parts.timing.lease_s)
        self.decided(EPOCH + 1)
        self.assertLess(self.member.lease_grantor.abstain_until, NOW, "one that stays may grant")
        self.decided(EPOCH + 3)
        self.assertEqual(
            self.member.lease_grantor.abstain_until, NOW + self.parts.timing.lease_s, "it missed an epoch"
        )

    def test_chain_is_active_once_all_members_have_adopted(self) -> None:
        for fields in ({"joined": False}, {"epoch": EPOCH - 1}):
            self.parts.receive_heartbeat("c", **fields)
            self.membership.activate_chain_if_ready()
            self.assertFalse(self.member.chain.is_active)
        self.parts.receive_heartbeat("c")
        self.membership.activate_chain_if_ready()
        self.assertTrue(self.member.chain.is_active)

    def test_chain_is_not_active_without_a_heartbeat_of_a_member(self) -> None:
        del self.parts.detector.peers["c"]
        self.membership.activate_chain_if_ready()
        self.assertFalse(self.member.chain.is_active)

    def test_chain_is_not_active_while_sealed_or_not_joined(self) -> None:
        context = self.parts.context
        context.joined_epoch = 0
        self.membership.activate_chain_if_ready()
        self.assertFalse(self.member.chain.is_active)
        context.joined_epoch = EPOCH
        self.parts.seal()
        self.membership.activate_chain_if_ready()
        self.assertFalse(self.member.chain.is_active)

    def test_only_the_head_is_active(self) -> None:
        member = Member("b")
        member.membership.activate_chain_if_ready()
        self.assertFalse(member.chain.is_active)

    def test_machine_outside_of_the_chain_is_never_active(self) -> None:
        for chain in ("ab", ""):
            member = Member("c", chain=chain)
            member.membership.activate_chain_if_ready()
            self.assertFalse(member.chain.is_active)

    def test_chain_is_active_with_the_sync_of_the_own_adoption(self) -> None:
        self.decided(EPOCH + 1)
        for each in "bc":
            self.parts.receive_heartbeat(each, epoch=EPOCH + 1)
        self.assertFalse(self.member.chain.is_active)
        self.parts.sync()
        self.assertTrue(self.member.chain.is_active)

    # Catching up

    def test_stores_a_newer_state_outside_of_the_chain(self) -> None:
        member = Member("c", chain="ab")
        member.membership.on_decided(pb.Decided(view=view(chain="ab").to_message(), state=state(9).to_message()))
        self.assertEqual((member.parts.replica_state.committed.sequence, member.committed_sequences), (9, [9]))
        (record,) = member.parts.sync()
        self.assertEqual(RegisterState.from_message(record.learn.state), state(9))
        member.membership.on_decided(pb.Decided(view=view(chain="ab").to_message(), state=state(9).to_message()))
        self.assertEqual((member.parts.sync(), member.committed_sequences), ([], [9]))

    def test_members_of_the_chain_receive_states_through_the_chain_only(self) -> None:
        self.decided(EPOCH, 9)
        self.assertEqual((self.parts.replica_state.committed.sequence, self.parts.sync()), (5, []))

    def fetched(self, member: Member, **fields: Any) -> list[Any]:
        member.parts.advance(FETCH_INTERVAL_S)
        heartbeat = pb.Heartbeat(**({"epoch": EPOCH, "committed": 5} | fields))
        member.membership.fetch_if_behind(identity("b"), heartbeat)
        return member.parts.sent("fetch")

    def test_fetches_when_behind(self) -> None:
        self.assertEqual(self.fetched(self.member, epoch=EPOCH - 1, committed=9), [])
        self.assertEqual(self.fetched(self.member), [])
        self.assertEqual(self.fetched(self.member, committed=9), [], "members get writes through the chain")
        (fetch,) = self.fetched(self.member, epoch=EPOCH + 1)
        self.assertEqual((fetch.epoch, fetch.sequence), (EPOCH, 5))
        outside = Member("c", chain="ab")
        self.assertEqual(self.fetched(outside), [])
        self.assertEqual(self.fetched(outside, epoch=EPOCH - 1, committed=9), [])
        (fetch,) = self.fetched(outside, committed=6)
        self.assertEqual((fetch.epoch, fetch.sequence), (EPOCH, 5))

    def test_fetches_are_spaced(self) -> None:
        heartbeat = pb.Heartbeat(epoch=EPOCH + 1)
        for _ in range(2):
            self.membership.fetch_if_behind(identity("b"), heartbeat)
        self.assertEqual(self.parts.sent_to("fetch"), ["b"])
        self.parts.advance(FETCH_INTERVAL_S)
        self.membership.fetch_if_behind(identity("c"), heartbeat)
        self.assertEqual(self.parts.sent_to("fetch"), ["c"])

    def test_answers_a_fetch_with_committed_state_only(self) -> None:
        self.parts.replica_state.uncommitted = self.parts.replica_state.committed.with_write(
            EPOCH, 51, b"w", b"W" * 32
        )
        for epoch, sequence in ((EPOCH, 5), (EPOCH, 6), (EPOCH + 1, 0)):
            self.membership.on_fetch(identity("b"), pb.Fetch(epoch=epoch, sequence=sequence))
        self.assertEqual(self.parts.sent("decided"), [])
        self.membership.on_fetch(identity("b"), pb.Fetch(epoch=EPOCH, sequence=4))
        (decided,) = self.parts.sent("decided")
        self.assertEqual(RegisterState.from_message(decided.state), state())
        self.assertEqual(decided.view, view().to_message())
        self.membership.on_fetch(identity("b"), pb.Fetch(epoch=EPOCH - 1, sequence=9))
        self.assertEqual(self.parts.sent_to("decided"), ["b"])

    # Proposing

    def test_leader_proposes_when_a_member_is_unhealthy(self) -> None:
        self.member.lead()
        self.assertEqual(self.member.tick(), [])
        self.parts.receive_heartbeat("c", healthy=False)
        self.assertEqual(sorted(self.member.tick()), ["a", "b", "c"])

    def test_followers_do_not_propose_for_an_open_epoch(self) -> None:
        self.parts.advance(9.0, heartbeats_of="b")
        self.parts.receive_heartbeat("c", healthy=False)
        self.assertEqual(self.member.tick(), [])

    def test_unhealthy_leader_does_not_propose(self) -> None:
        self.member.lead()
        self.parts.receive_heartbeat("c", healthy=False)
        self.parts.context.is_leaving = True
        self.assertEqual(self.member.tick(), [])

    def test_leader_proposes_for_a_sealed_epoch_at_once(self) -> None:
        self.member.lead()
        self.parts.seal()
        self.assertEqual(len(self.member.tick()), 3)

    def test_any_acceptor_proposes_for_an_epoch_that_stays_sealed(self) -> None:
        member = Member("c")
        member.parts.seal()
        member.acceptor.sealed_since = NOW
        timing = member.parts.timing
        wait = timing.sealed_recovery_s + 2 * timing.heartbeat_period_s  # third in the chain
        member.parts.advance(wait - 0.01, heartbeats_of="ab")
        self.assertEqual(member.tick(), [])
        member.parts.advance(0.02)
        self.assertEqual(len(member.tick()), 3)
        self.assertEqual(member.tick(), [], "one proposal at a time")

    def test_machine_outside_of_the_view_does_not_propose(self) -> None:
        member = Member("z", "abc")
        member.parts.seal()
        member.parts.advance(9.0, heartbeats_of="abc")
        self.assertEqual(member.tick(), [])

    def proposed_view(self, member: Member, answering: str) -> View:
        return member.membership._choose_view(set(answering))

    def test_next_view_omits_an_unhealthy_member(self) -> None:
        self.parts.receive_heartbeat("b", healthy=False)
        found = self.proposed_view(self.member, "abc")
        self.assertEqual((found.epoch, found.chain, len(found.acceptors)), (EPOCH + 1, ("a", "c"), 3))
        self.assertEqual(self.parts.detector.peers["b"].removals, [NOW])
        self.assertEqual(self.parts.detector.peers["c"].removals, [])

    def test_only_an_omitted_unhealthy_member_counts_as_removed(self) -> None:
        self.parts.detector._unreachable_since[("b", "c")] = NOW - 9.0
        self.assertEqual(self.proposed_view(self.member, "abc").chain, ("a", "b"))
        self.assertEqual(self.parts.detector.peers["c"].removals, [], "healthy, its path to b is cut")
        for each in "bc":
            self.parts.receive_heartbeat(each, healthy=False)
        self.assertEqual(self.proposed_view(self.member, "abc").chain, ("a", "b", "c"))
        self.assertEqual(self.parts.detector.peers["c"].removals, [], "it stays")

    def test_next_view_has_the_own_newest_addresses(self) -> None:
        moved = replace(identity("a"), control_address="moved:8367")
        self.parts.context.own = moved
        self.assertEqual(self.proposed_view(self.member, "abc").acceptors[0], moved)

    def test_readmission_waits(self) -> None:
        member = Member(chain="ab")
        self.assertEqual(self.proposed_view(member, "abc").chain, ("a", "b"))
        member.parts.advance(member.parts.timing.readmit_after_s + 0.01, heartbeats_of="bc")
        self.assertEqual(self.proposed_view(member, "abc").chain, ("a", "b", "c"))

    def test_leaving_surplus_acceptor_is_removed(self) -> None:
        for reached, members in ((True, "abc"), (False, "abcd")):
            member = Member(members="abcd")
            member.parts.replica_state.view = view("abcd", size=3)
            answer = NOW if reached else NOW - 5.0
            member.parts.receive_heartbeat("d", healthy=False, leaving=True)
            member.parts.detector.peers["d"].last_answered_at = answer
            found = self.proposed_view(member, "abc")
            self.assertEqual("".join(each.id for each in found.acceptors), members)

    def test_recovering_member_is_readmitted_where_the_chain_lacks_a_majority(self) -> None:
        member = Member(members="abcd", chain="abc")
        member.parts.receive_heartbeat("c", healthy=False)
        self.assertEqual(self.proposed_view(member, "abc").chain, ("a", "b", "d"))

    def test_joining_machine_replaces_the_wiped_one_at_its_address(self) -> None:
        self.parts.receive_heartbeat("c", healthy=False)
        stranger = pb.Heartbeat(stamp=NOW, healthy=True, echo=NOW, echo_boot=OWN_INCARNATION, reached=["a", "b"])
        wiped = identity("c")
        new = type(wiped)("n", wiped.name, wiped.zone, wiped.control_address, wiped.peer_address)
        self.parts.detector.on_heartbeat(NOW, new, 1, stranger)
        found = self.proposed_view(self.member, "ab")
        self.assertEqual([each.id for each in found.acceptors], ["a", "b", "c"], "it waits to be readmittable")
        self.parts.advance(self.parts.timing.readmit_after_s + 0.01, heartbeats_of="b")
        found = self.proposed_view(self.member, "ab")
        self.assertEqual([each.id for each in found.acceptors], ["a", "b", "n"])
        self.assertEqual(found.chain, ("a", "b", "n"))

    def test_restarted_member_needs_a_view(self) -> None:
        self.member.lead()
        self.parts.receive_heartbeat("b", joined=False)
        self.assertEqual(len(self.member.tick()), 3)

    def test_own_restart_needs_a_view(self) -> None:
        self.member.lead()
        self.parts.context.joined_epoch = 0
        self.assertEqual(len(self.member.tick()), 3)

    def test_own_pending_adoption_needs_no_view(self) -> None:
        self.member.lead()
        self.parts.context.adopted_epoch = self.parts.context.joined_epoch = EPOCH - 1
        self.assertEqual(self.member.tick(), [])

    def test_member_of_an_older_epoch_is_not_restarted(self) -> None:
        self.member.lead()
        self.parts.receive_heartbeat("b", joined=False, epoch=EPOCH - 1)
        self.assertEqual(self.member.tick(), [])

    def test_members_not_heard_from_are_kept_after_a_start(self) -> None:
        self.member.lead()
        detector = self.parts.detector
        detector.started_at = NOW - self.parts.timing.suspect_after_s + 0.01
        del detector.peers["c"]
        self.assertEqual(self.member.tick(), [])
        detector.started_at = NOW - self.parts.timing.suspect_after_s
        self.assertEqual(len(self.member.tick()), 3)

    def test_decision_of_the_own_proposal_is_adopted(self) -> None:
        value = proposal(1, "a", sequence=6)
        self.membership._on_decision(value)
        self.assertEqual(
            (self.parts.replica_state.view, self.parts.replica_state.committed), (value.view, value.state)
        )
        (record,) = self.parts.sync()
        self.assertTrue(record.adopt.HasField("view"), "it has not accepted the proposal itself")

    def test_accepted_decision_is_recorded_by_its_ballot(self) -> None:
        value = proposal(1, "a", sequence=6)
        self.parts.replica_state.promised, self.parts.replica_state.accepted = value.ballot, value
        self.membership._on_decision(value)
        (record,) = self.parts.sync()
        self.assertTrue(record.adopt.HasField("accepted"))
        self.assertEqual(self.parts.replica_state.view, value.view)
