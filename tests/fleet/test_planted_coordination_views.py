"""Agreement on views, part by part: what an acceptor promises, what a proposer proposes, what a member adopts."""

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
from rosechute.coordination.proposer import BACKOFF_MIN_S, BACKOFF_SPREAD_S, Phase, Proposer
from rosechute.coordination.types import WriteAcknowledged, WriteRequest
from rosechute.coordination.views import Ballot, LeaderTerm, Proposal, RegisterState, View
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import EPOCH, NOW, OWN_INCARNATION, Parts, ballot, identity, proposal, state, term, view


class AcceptorTest(unittest.TestCase):
    """The acceptor of Paxos: a ballot below the promised one gets nothing, and nothing is said before its sync."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.acceptor = Acceptor(self.parts.context)

    def prepare(self, round: int, sender: str = "b", epoch: int = EPOCH, known: tuple[int, int] = (EPOCH, 5)) -> None:
        message = pb.Prepare(
            epoch=epoch, ballot=ballot(round, sender).to_message(), state_epoch=known[0], state_sequence=known[1]
        )
        self.acceptor.on_prepare(identity(sender), message)

    def accept(self, value: Proposal, sender: str = "b", epoch: int = EPOCH) -> None:
        self.acceptor.on_accept(identity(sender), pb.Accept(epoch=epoch, proposal=value.to_message()))

    def test_promise_is_sent_once_synced(self) -> None:
        self.prepare(1)
        self.assertEqual(self.parts.replica_state.promised, ballot(1))
        self.assertEqual(self.parts.sent("promise"), [])
        (record,) = self.parts.sync()
        self.assertEqual((record.promise.epoch, Ballot.from_message(record.promise.ballot)), (EPOCH, ballot(1)))
        (promise,) = self.parts.sent("promise")
        self.assertEqual((promise.epoch, Ballot.from_message(promise.ballot)), (EPOCH, ballot(1)))
        self.assertFalse(promise.HasField("accepted") or promise.HasField("state"))

    def test_promise_goes_to_the_proposer(self) -> None:
        self.prepare(1, "c")
        self.parts.sync()
        self.assertEqual(self.parts.sent_to("promise"), ["c"])

    def test_promise_is_repeated_without_another_record(self) -> None:
        self.prepare(1)
        self.parts.sync()
        self.parts.actions()
        self.prepare(1)
        self.assertEqual(len(self.parts.sent("promise")), 1)
        self.assertEqual(self.parts.sync(), [])

    def test_repeated_promise_waits_for_the_first_sync(self) -> None:
        self.prepare(1)
        self.prepare(1)
        self.assertEqual(self.parts.sent("promise"), [])
        self.assertEqual(len(self.parts.sync()), 1)
        self.assertEqual(len(self.parts.sent("promise")), 2)

    def test_lower_ballot_is_refused(self) -> None:
        self.prepare(2)
        self.parts.sync()
        self.parts.actions()
        self.prepare(1, "c")
        self.parts.sync()
        (refused,) = self.parts.sent("refused")
        self.assertEqual(self.parts.replica_state.promised, ballot(2))
        self.assertEqual(Ballot.from_message(refused.ballot), ballot(1, "c"))
        self.assertEqual((refused.epoch, Ballot.from_message(refused.promised)), (EPOCH, ballot(2)))

    def test_refusal_is_all_that_a_lower_ballot_gets(self) -> None:
        self.prepare(2)
        self.parts.sync()
        self.parts.actions()
        self.prepare(1, "c")
        self.accept(proposal(1, "c"), "c")
        self.assertEqual(self.parts.sync(), [])
        self.assertEqual(self.parts.sent_to("refused") + self.parts.sent_to("promise"), ["c", "c"])
        self.assertIsNone(self.parts.replica_state.accepted)

    def test_no_promise_of_a_ballot_that_was_overtaken_before_its_sync(self) -> None:
        self.prepare(1)
        self.prepare(2, "c")
        self.parts.sync()
        self.assertEqual(self.parts.sent_to("promise"), ["c"])

    def test_no_acceptance_that_was_overtaken_before_its_sync(self) -> None:
        self.accept(proposal(1))
        self.accept(proposal(2, "c"), "c")
        self.parts.sync()
        self.assertEqual(self.parts.sent_to("accepted"), ["c"])

    def test_promise_brings_what_was_accepted(self) -> None:
        self.accept(proposal(1))
        self.parts.sync()
        self.parts.actions()
        self.prepare(2, "c")
        self.parts.sync()
        (promise,) = self.parts.sent("promise")
        self.assertEqual(Proposal.from_message(promise.accepted), proposal(1))

    def test_promise_brings_a_newer_state_and_the_term(self) -> None:
        self.parts.replica_state.written = self.parts.replica_state.committed.with_write(EPOCH, 51, b"w", b"W" * 32)
        self.parts.replica_state.term = term(4)
        self.prepare(1, known=(EPOCH, 5))
        self.parts.sync()
        (promise,) = self.parts.sent("promise")
        self.assertEqual(RegisterState.from_message(promise.state), self.parts.replica_state.written)
        self.assertEqual((promise.term.number, promise.term.holder, promise.term.boot), (4, "b", 8))

    def test_acceptance_is_sent_once_synced(self) -> None:
        self.prepare(1)
        self.parts.sync()
        self.parts.actions()
        self.accept(proposal(1))
        self.assertEqual(self.parts.sent("accepted"), [])
        (record,) = self.parts.sync()
        self.assertEqual(Proposal.from_message(record.accepted), proposal(1))
        (accepted,) = self.parts.sent("accepted")
        self.assertEqual((accepted.epoch, Ballot.from_message(accepted.ballot)), (EPOCH, ballot(1)))

    def test_acceptance_is_repeated_without_another_record(self) -> None:
        self.accept(proposal(1))
        self.parts.sync()
        self.parts.actions()
        self.accept(proposal(1))
        self.assertEqual(self.parts.sent_to("accepted"), ["b"])
        self.assertEqual(self.parts.sync(), [])

    def test_higher_ballot_is_accepted_after_another(self) -> None:
        self.accept(proposal(1))
        self.accept(proposal(2, "c"), "c")
        self.assertEqual(self.parts.replica_state.accepted, proposal(2, "c"))

    def test_another_epoch_gets_nothing(self) -> None:
        for epoch in (EPOCH - 1, EPOCH + 1):
            self.prepare(1, epoch=epoch)
            self.accept(proposal(1), epoch=epoch)
        self.assertEqual((self.parts.replica_state.promised, self.parts.sync(), self.parts.actions()), (None, [], []))

    def test_nothing_of_an_epoch_that_ended_before_the_sync(self) -> None:
        self.prepare(1)
        self.accept(proposal(1))
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.parts.sync()
        self.assertEqual(self.parts.actions(), [])

    def test_only_acceptors_of_the_view_take_part(self) -> None:
        self.parts.hear("z")
        self.prepare(1, "z")
        self.accept(proposal(1, "z"), "z")
        self.assertEqual((self.parts.replica_state.promised, self.parts.sync()), (None, []))
        outside = Parts("z", "abc")
        acceptor = Acceptor(outside.context)
        acceptor.on_prepare(identity("b"), pb.Prepare(epoch=EPOCH, ballot=ballot(1).to_message()))
        self.assertEqual((outside.replica_state.promised, outside.sync()), (None, []))

    def test_a_proposer_that_hears_no_answer_seals_nothing(self) -> None:
        self.parts.pass_time(2.0, hearing="c")
        self.prepare(1, "b")
        self.accept(proposal(1, "b"), "b")
        self.assertFalse(self.parts.replica_state.sealed)
        self.prepare(1, "c")
        self.assertTrue(self.parts.replica_state.sealed)

    def test_sealed_since_the_newest(self) -> None:
        self.parts.pass_time(1.0, hearing="bc")
        self.prepare(1)
        self.assertEqual(self.acceptor.sealed_since, NOW + 1.0)
        self.parts.pass_time(1.0, hearing="bc")
        self.prepare(1)
        self.assertEqual(self.acceptor.sealed_since, NOW + 1.0)
        self.accept(proposal(1))
        self.assertEqual(self.acceptor.sealed_since, NOW + 2.0)


class ProposerTest(unittest.TestCase):
    """The proposer of Paxos: a majority of promises, the value that may be decided already, the newest state."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.decided: list[Proposal] = []
        self.chosen = view("abc", EPOCH + 1, "ab")
        self.asked: list[set[str]] = []
        self.proposer = Proposer(self.parts.context, self.choose, self.decided.append)

    def choose(self, answering: set[str]) -> View:
        self.asked.append(answering)
        return self.chosen

    def begin(self) -> Ballot:
        self.parts.actions()
        self.proposer.begin()
        (message, *_) = self.parts.sent("prepare")
        return Ballot.from_message(message.ballot)

    def promise(self, sender: str, to: Ballot, epoch: int = EPOCH, **fields: Any) -> None:
        fields.setdefault("term", LeaderTerm().to_message())
        message = pb.Promise(epoch=epoch, ballot=to.to_message(), **fields)
        self.proposer.on_promise(identity(sender), message)

    def accepted(self, sender: str, to: Ballot, epoch: int = EPOCH) -> None:
        self.proposer.on_accepted(identity(sender), pb.Accepted(epoch=epoch, ballot=to.to_message()))

    def proposed(self) -> Proposal:
        (message, *_) = self.parts.sent("accept")
        self.assertEqual(message.epoch, EPOCH)
        return Proposal.from_message(message.proposal)

    def test_asks_all_acceptors(self) -> None:
        self.proposer.begin()
        self.assertEqual(self.proposer.phase, Phase.PREPARING)
        self.assertEqual(sorted(self.parts.sent_to("prepare")), ["a", "b", "c"])

    def test_tells_the_state_that_it_has(self) -> None:
        self.parts.replica_state.written = self.parts.replica_state.committed.with_write(EPOCH, 51, b"w", b"W" * 32)
        self.proposer.begin()
        for each in self.parts.sent("prepare"):
            self.assertEqual((each.epoch, each.state_epoch, each.state_sequence), (EPOCH, EPOCH, 6))

    def test_ballot_is_its_own_and_above_all_seen(self) -> None:
        self.parts.replica_state.promised = ballot(4)
        first = self.begin()
        self.assertEqual(first, Ballot(5, "a", OWN_INCARNATION))
        self.proposer.on_refused(
            pb.Refused(epoch=EPOCH, ballot=first.to_message(), promised=ballot(9, "c").to_message())
        )
        self.assertEqual(self.proposer.phase, Phase.IDLE)
        for wait in (0.0, 0.14):  # of a twentieth to a fourth of a second, here in the middle
            self.parts.pass_time(wait)
            self.proposer.begin()
            self.assertEqual(self.proposer.phase, Phase.IDLE, "not at once again")
        self.parts.pass_time(0.02)
        self.assertEqual(self.begin().round, 10)

    def test_lower_refusal_keeps_the_highest_round(self) -> None:
        first = self.begin()
        for promised in (9, 2):
            message = pb.Refused(epoch=EPOCH, ballot=first.to_message(), promised=ballot(promised, "c").to_message())
            self.proposer.on_refused(message)
        self.parts.pass_time(1.0)
        self.assertEqual(self.begin().round, 10)

    def test_refusal_of_another_ballot_or_epoch_ends_nothing(self) -> None:
        first = self.begin()
        higher = ballot(9, "c").to_message()
        self.proposer.on_refused(pb.Refused(epoch=EPOCH, ballot=ballot(1, "c").to_message(), promised=higher))
        self.proposer.on_refused(pb.Refused(epoch=EPOCH - 1, ballot=first.to_message(), promised=higher))
        self.assertEqual(self.proposer.phase, Phase.PREPARING)

    def test_one_proposal_at_a_time(self) -> None:
        self.begin()
        self.proposer.begin()
        self.assertEqual(self.parts.sent("prepare"), [])

    def test_majority_of_promises(self) -> None:
        own = self.begin()
        self.promise("b", own)
        self.promise("b", own)
        self.assertEqual(self.parts.sent("accept"), [])
        self.promise("c", own)
        self.assertEqual(sorted(self.parts.sent_to("accept")), ["a", "b", "c"])
        self.assertEqual((self.proposer.phase, self.asked), (Phase.ACCEPTING, [{"b", "c"}]))

    def test_promises_that_do_not_count(self) -> None:
        own = self.begin()
        self.parts.hear("z")
        self.promise("z", own)
        self.promise("b", ballot(own.round, "a", OWN_INCARNATION + 1))
        self.promise("b", ballot(own.round + 1, "a", OWN_INCARNATION))
        self.promise("b", own, epoch=EPOCH - 1)
        self.promise("c", own)
        self.assertEqual(self.parts.sent("accept"), [])
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.promise("b", own)
        self.promise("b", own, epoch=EPOCH + 1)
        self.assertEqual(self.parts.sent("accept"), [])

    def test_new_value_from_the_newest_promised_state(self) -> None:
        newest = state(6, EPOCH, 51)
        own = self.begin()
        self.promise("b", own, state=newest.to_message(), term=term(4, "b").to_message())
        self.promise("c", own, term=term(5, "c").to_message())
        value = self.proposed()
        self.assertEqual(value.ballot, own)
        self.assertEqual(value.state, newest.with_epoch(EPOCH + 1))
        self.assertEqual((value.view.chain, value.view.base_tag), (("a", "b"), (EPOCH, 6)))
        self.assertEqual(value.view.term, term(5, "c"))

    def test_newest_state_by_epoch_first(self) -> None:
        own = self.begin()
        self.promise("b", own, state=state(9, EPOCH - 1).to_message())
        self.promise("c", own)
        self.assertEqual(self.proposed().state, state(5, EPOCH + 1))

    def test_own_state_where_the_promise_brings_none(self) -> None:
        own = self.begin()
        self.promise("b", own)
        self.promise("c", own)
        self.assertEqual(self.proposed().state, state(5, EPOCH + 1))

    def test_newest_term_whoever_answers_first(self) -> None:
        own = self.begin()
        self.promise("b", own, term=term(5, "c").to_message())
        self.promise("c", own, term=term(4, "b").to_message())
        self.assertEqual(self.proposed().view.term, term(5, "c"))

    def test_term_of_two_holders_is_nobodys(self) -> None:
        own = self.begin()
        self.promise("b", own, term=term(5, "b").to_message())
        self.promise("c", own, term=term(5, "c").to_message())
        self.assertEqual(self.proposed().view.term, LeaderTerm(5))

    def test_term_of_one_holder(self) -> None:
        own = self.begin()
        self.promise("b", own, term=term(5, "b").to_message())
        self.promise("c", own, term=term(5, "b").to_message())
        self.assertEqual(self.proposed().view.term, term(5, "b"))

    def test_value_accepted_under_the_highest_ballot_is_proposed_again(self) -> None:
        own = self.begin()
        high, low = proposal(9, "c", sequence=8), proposal(8, "b", sequence=7)
        self.promise("c", own, accepted=high.to_message())
        self.promise("b", own, accepted=low.to_message(), state=state(99).to_message())
        value = self.proposed()
        self.assertEqual((value.ballot, value.view, value.state), (own, high.view, high.state))
        self.assertEqual(self.asked, [])

    def test_later_promises_do_not_change_the_value(self) -> None:
        own = self.begin()
        self.promise("a", own)
        self.promise("b", own)
        self.parts.actions()
        self.promise("c", own, accepted=proposal(9, "c").to_message())
        self.assertEqual(self.parts.sent("accept"), [])

    def decide(self) -> Proposal:
        own = self.begin()
        self.promise("a", own)
        self.promise("b", own)
        value = self.proposed()
        self.accepted("a", own)
        self.accepted("a", own)
        self.assertEqual(self.decided, [])
        self.accepted("b", own)
        return value

    def test_majority_of_acceptances_decides(self) -> None:
        value = self.decide()
        self.assertEqual(self.decided, [value])
        self.assertEqual(self.proposer.phase, Phase.IDLE)

    def test_decision_is_told_to_all_acceptors_of_both_views(self) -> None:
        self.chosen = view("abd", EPOCH + 1)
        value = self.decide()
        ((target, chosen),) = self.parts.messages("chosen")
        self.assertEqual((target, chosen.epoch, Ballot.from_message(chosen.ballot)), ("b", EPOCH, value.ballot))

    def test_decision_goes_whole_to_those_that_have_not_accepted(self) -> None:
        self.chosen = view("abd", EPOCH + 1)
        value = self.decide()
        decided = dict(self.parts.messages("decided"))
        self.assertEqual(sorted(decided), ["c", "d"])
        for each in decided.values():
            self.assertEqual((each.view, each.state), (value.view.to_message(), value.state.to_message()))

    def test_acceptances_that_do_not_count(self) -> None:
        own = self.begin()
        self.accepted("b", own)
        self.accepted("c", own)
        self.promise("a", own)
        self.promise("b", own)
        self.accepted("a", own)
        self.accepted("z", own)
        self.accepted("b", ballot(own.round, "c"))
        self.accepted("b", own, epoch=EPOCH - 1)
        self.assertEqual(self.decided, [])
        self.accepted("b", own)
        self.assertEqual(len(self.decided), 1)

    def test_what_was_not_answered_is_repeated(self) -> None:
        own = self.begin()
        self.promise("b", own)
        self.parts.actions()
        self.proposer.tick()
        self.assertEqual(self.parts.sent_to("prepare"), [])
        self.parts.pass_time(self.parts.timing.resend)
        self.proposer.tick()
        self.proposer.tick()
        self.assertEqual(sorted(self.parts.sent_to("prepare")), ["a", "c"])
        self.parts.pass_time(0.1)
        self.promise("a", own)
        self.accepted("a", own)
        self.parts.actions()
        self.parts.pass_time(0.05)
        self.proposer.tick()
        self.assertEqual(self.parts.sent_to("accept"), [])
        self.parts.pass_time(self.parts.timing.resend)
        self.proposer.tick()
        self.proposer.tick()
        self.assertEqual(sorted(self.parts.sent_to("accept")), ["b", "c"])

    def test_given_up_after_its_time(self) -> None:
        self.begin()
        self.parts.pass_time(self.parts.timing.proposal_timeout)
        self.proposer.tick()
        self.assertEqual(self.proposer.phase, Phase.PREPARING)
        self.parts.pass_time(0.01)
        self.proposer.tick()
        self.assertEqual(self.proposer.phase, Phase.IDLE)
        self.assertEqual(self.proposer.next_attempt_at, self.parts.now + BACKOFF_MIN_S + 0.5 * BACKOFF_SPREAD_S)
        self.parts.pass_time(1.0)
        self.assertEqual(self.begin().round, 2)

    def test_ended_by_another_epoch(self) -> None:
        self.begin()
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.proposer.tick()
        self.assertEqual(self.proposer.phase, Phase.IDLE)

    def test_stop(self) -> None:
        self.begin()
        self.proposer.stop()
        self.assertEqual(self.proposer.phase, Phase.IDLE)
        self.assertEqual(self.begin().round, 2, "no ballot of a process names two proposals, in whatever epoch")


class Member:
    """A machine with all the parts that its membership needs."""

    def __init__(self, own: str = "a", members: str = "abc", chain: str | None = None) -> None:
        self.parts = parts = Parts(own, members, chain)
        self.told: list[int] = []
        self.acceptor = Acceptor(parts.context)
        self.confirmer = EpochConfirmer(parts.context)
        self.chain = Chain(parts.context, self.confirmer, self._tell)
        self.grantor = LeaseGrantor(parts.context, NOW - 1.0)
        self.holder = LeaderLease(parts.context, self.grantor)
        self.membership = Membership(
            parts.context, self.acceptor, self.chain, self.confirmer, self.grantor, self.holder, self._tell
        )

    def _tell(self) -> None:
        self.told.append(self.parts.replica_state.committed.sequence)

    def lead(self) -> None:
        """It holds the leader lease, granted by all acceptors."""
        holder, parts = self.holder, self.parts
        holder.tick()
        for each in parts.replica_state.view.acceptors:
            grant = pb.LeaseGrant(
                epoch=parts.replica_state.view.epoch, term=holder.term, stamp=parts.now, boot=OWN_INCARNATION
            )
            holder.on_grant(each, grant)
        assert holder.is_held(parts.now)
        parts.actions()

    def tick(self) -> list[str]:
        """To whom a proposer sends after a tick."""
        self.membership.tick()
        return self.parts.sent_to("prepare")


class MembershipTest(unittest.TestCase):
    """Views are adopted in order, synced before they are told, and nothing of the old epoch goes on."""

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
        self.assertEqual(self.member.told, [9])

    def test_sync_of_an_epoch_that_is_over_adopts_nothing(self) -> None:
        self.decided(EPOCH + 1)
        first = self.parts.flush()
        self.decided(EPOCH + 2)
        assert first is not None
        self.parts.disk.on_persisted(self.parts.now, first.token)
        self.assertEqual(self.parts.context.adopted_epoch, EPOCH)
        self.parts.sync()
        self.assertEqual(self.parts.context.adopted_epoch, EPOCH + 2)

    def test_older_views_change_nothing(self) -> None:
        for epoch in (EPOCH, EPOCH - 1):
            self.decided(epoch)
        self.assertEqual((self.parts.sync(), self.parts.replica_state.committed), ([], state()))

    def test_view_by_its_ballot(self) -> None:
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

    def test_chosen_without_the_proposal(self) -> None:
        self.membership.on_chosen(pb.Chosen(epoch=EPOCH, ballot=ballot(2).to_message()))
        self.assertEqual(self.parts.replica_state.view.epoch, EPOCH)

    def test_the_old_epochs_questions_and_proposals_end(self) -> None:
        answers: list[bool] = []
        self.member.confirmer.confirm_epoch(answers.append, NOW)
        self.membership.proposer.begin()
        self.decided(EPOCH + 1)
        self.assertEqual(answers, [False])
        self.assertEqual(self.membership.proposer.phase, Phase.IDLE)

    def test_the_head_of_the_old_epoch_is_inactive(self) -> None:
        self.membership.activate_chain_if_ready()
        self.assertTrue(self.member.chain.is_active)
        self.decided(EPOCH + 1)
        self.assertFalse(self.member.chain.is_active)

    def test_an_order_under_way_is_carried_over(self) -> None:
        self.membership.activate_chain_if_ready()
        self.member.chain.propose_write(WriteRequest(4, 50, 51, b"new", b"N" * 32))
        taken = state(9, EPOCH + 1).applied_writes + b"N" * 16 + (51).to_bytes(8, "big")
        decided = RegisterState(EPOCH + 1, 6, 51, b"new", b"N" * 32, taken)
        self.parts.actions()
        self.membership.on_decided(pb.Decided(view=view(epoch=EPOCH + 1).to_message(), state=decided.to_message()))
        self.assertEqual(self.parts.answers(), [(4, WriteAcknowledged(51))])

    def test_a_machine_that_joins_the_acceptors_grants_nothing_for_a_lease(self) -> None:
        member = Member("a", "bcd")
        member.membership.on_decided(
            pb.Decided(view=view("abc", EPOCH + 1).to_message(), state=state(9, EPOCH + 1).to_message())
        )
        self.assertEqual(member.grantor.abstain_until, NOW + member.parts.timing.lease)
        self.decided(EPOCH + 1)
        self.assertLess(self.member.grantor.abstain_until, NOW, "one that stays may grant")
        self.decided(EPOCH + 3)
        self.assertEqual(self.member.grantor.abstain_until, NOW + self.parts.timing.lease, "it missed an epoch")

    def test_active_once_all_members_have_adopted(self) -> None:
        for fields in ({"joined": False}, {"epoch": EPOCH - 1}):
            self.parts.hear("c", **fields)
            self.membership.activate_chain_if_ready()
            self.assertFalse(self.member.chain.is_active)
        self.parts.hear("c")
        self.membership.activate_chain_if_ready()
        self.assertTrue(self.member.chain.is_active)

    def test_not_active_without_word_of_a_member(self) -> None:
        del self.parts.detector.peers["c"]
        self.membership.activate_chain_if_ready()
        self.assertFalse(self.member.chain.is_active)

    def test_not_active_while_sealed_or_not_joined(self) -> None:
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

    def test_a_machine_outside_of_the_chain_is_never_active(self) -> None:
        for chain in ("ab", ""):
            member = Member("c", chain=chain)
            member.membership.activate_chain_if_ready()
            self.assertFalse(member.chain.is_active)

    def test_active_by_the_sync_of_its_own_adoption(self) -> None:
        self.decided(EPOCH + 1)
        for each in "bc":
            self.parts.hear(each, epoch=EPOCH + 1)
        self.assertFalse(self.member.chain.is_active)
        self.parts.sync()
        self.assertTrue(self.member.chain.is_active)

    # Catching up

    def test_learns_a_newer_state_outside_of_the_chain(self) -> None:
        member = Member("c", chain="ab")
        member.membership.on_decided(pb.Decided(view=view(chain="ab").to_message(), state=state(9).to_message()))
        self.assertEqual((member.parts.replica_state.committed.sequence, member.told), (9, [9]))
        (record,) = member.parts.sync()
        self.assertEqual(RegisterState.from_message(record.learn.state), state(9))
        member.membership.on_decided(pb.Decided(view=view(chain="ab").to_message(), state=state(9).to_message()))
        self.assertEqual((member.parts.sync(), member.told), ([], [9]))

    def test_members_of_the_chain_learn_through_the_chain_only(self) -> None:
        self.decided(EPOCH, 9)
        self.assertEqual((self.parts.replica_state.committed.sequence, self.parts.sync()), (5, []))

    def fetched(self, member: Member, **fields: Any) -> list[Any]:
        member.parts.pass_time(FETCH_INTERVAL_S)
        beat = pb.Heartbeat(**({"epoch": EPOCH, "committed": 5} | fields))
        member.membership.fetch_if_behind(identity("b"), beat)
        return member.parts.sent("fetch")

    def test_fetches_what_it_lacks(self) -> None:
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
        beat = pb.Heartbeat(epoch=EPOCH + 1)
        for _ in range(2):
            self.membership.fetch_if_behind(identity("b"), beat)
        self.assertEqual(self.parts.sent_to("fetch"), ["b"])
        self.parts.pass_time(FETCH_INTERVAL_S)
        self.membership.fetch_if_behind(identity("c"), beat)
        self.assertEqual(self.parts.sent_to("fetch"), ["c"])

    def test_answers_a_fetch_with_what_counts_only(self) -> None:
        self.parts.replica_state.written = self.parts.replica_state.committed.with_write(EPOCH, 51, b"w", b"W" * 32)
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

    def test_the_leader_proposes_when_a_member_is_silent(self) -> None:
        self.member.lead()
        self.assertEqual(self.member.tick(), [])
        self.parts.hear("c", healthy=False)
        self.assertEqual(sorted(self.member.tick()), ["a", "b", "c"])

    def test_nobody_else_proposes_for_an_open_epoch(self) -> None:
        self.parts.pass_time(9.0, hearing="b")
        self.parts.hear("c", healthy=False)
        self.assertEqual(self.member.tick(), [])

    def test_an_unhealthy_leader_does_not_propose(self) -> None:
        self.member.lead()
        self.parts.hear("c", healthy=False)
        self.parts.context.is_leaving = True
        self.assertEqual(self.member.tick(), [])

    def test_the_leader_proposes_for_a_sealed_epoch_at_once(self) -> None:
        self.member.lead()
        self.parts.seal()
        self.assertEqual(len(self.member.tick()), 3)

    def test_any_acceptor_proposes_for_an_epoch_that_stays_sealed(self) -> None:
        member = Member("c")
        member.parts.seal()
        member.acceptor.sealed_since = NOW
        timing = member.parts.timing
        wait = timing.recover_sealed + 2 * timing.heartbeat  # third in the chain
        member.parts.pass_time(wait - 0.01, hearing="ab")
        self.assertEqual(member.tick(), [])
        member.parts.pass_time(0.02)
        self.assertEqual(len(member.tick()), 3)
        self.assertEqual(member.tick(), [], "one proposal at a time")

    def test_a_machine_outside_does_not_propose(self) -> None:
        member = Member("z", "abc")
        member.parts.seal()
        member.parts.pass_time(9.0, hearing="abc")
        self.assertEqual(member.tick(), [])

    def proposed_view(self, member: Member, answering: str) -> View:
        return member.membership._choose_view(set(answering))

    def test_the_view_leaves_out_an_unhealthy_member(self) -> None:
        self.parts.hear("b", healthy=False)
        found = self.proposed_view(self.member, "abc")
        self.assertEqual((found.epoch, found.chain, len(found.acceptors)), (EPOCH + 1, ("a", "c"), 3))
        self.assertEqual(self.parts.detector.peers["b"].removals, [NOW])
        self.assertEqual(self.parts.detector.peers["c"].removals, [])

    def test_only_a_sick_machine_that_is_left_out_counts_as_removed(self) -> None:
        self.parts.detector._unreachable_since[("b", "c")] = NOW - 9.0
        self.assertEqual(self.proposed_view(self.member, "abc").chain, ("a", "b"))
        self.assertEqual(self.parts.detector.peers["c"].removals, [], "healthy, its path to b is cut")
        for each in "bc":
            self.parts.hear(each, healthy=False)
        self.assertEqual(self.proposed_view(self.member, "abc").chain, ("a", "b", "c"))
        self.assertEqual(self.parts.detector.peers["c"].removals, [], "it stays")

    def test_the_view_has_its_own_newest_addresses(self) -> None:
        moved = replace(identity("a"), control_address="moved:8367")
        self.parts.context.own = moved
        self.assertEqual(self.proposed_view(self.member, "abc").acceptors[0], moved)

    def test_a_member_that_comes_back_waits(self) -> None:
        member = Member(chain="ab")
        self.assertEqual(self.proposed_view(member, "abc").chain, ("a", "b"))
        member.parts.pass_time(member.parts.timing.readmit + 0.01, hearing="bc")
        self.assertEqual(self.proposed_view(member, "abc").chain, ("a", "b", "c"))

    def test_a_surplus_machine_that_leaves_is_no_acceptor_of_the_next_view(self) -> None:
        for reached, members in ((True, "abc"), (False, "abcd")):
            member = Member(members="abcd")
            member.parts.replica_state.view = view("abcd", size=3)
            answer = NOW if reached else NOW - 5.0
            member.parts.hear("d", healthy=False, leaving=True)
            member.parts.detector.peers["d"].last_answered_at = answer
            found = self.proposed_view(member, "abc")
            self.assertEqual("".join(each.id for each in found.acceptors), members)

    def test_a_member_that_just_came_back_is_taken_where_the_chain_lacks_a_majority(self) -> None:
        member = Member(members="abcd", chain="abc")
        member.parts.hear("c", healthy=False)
        self.assertEqual(self.proposed_view(member, "abc").chain, ("a", "b", "d"))

    def test_a_stranger_replaces_the_wiped_machine_at_its_address(self) -> None:
        self.parts.hear("c", healthy=False)
        stranger = pb.Heartbeat(stamp=NOW, healthy=True, echo=NOW, echo_boot=OWN_INCARNATION, reached=["a", "b"])
        wiped = identity("c")
        new = type(wiped)("n", wiped.name, wiped.zone, wiped.control_address, wiped.peer_address)
        self.parts.detector.on_heartbeat(NOW, new, 1, stranger)
        self.parts.pass_time(self.parts.timing.readmit + 0.01, hearing="b")
        found = self.proposed_view(self.member, "ab")
        self.assertEqual([each.id for each in found.acceptors], ["a", "b", "n"])
        self.assertEqual(found.chain, ("a", "b", "n"))

    def test_a_member_that_restarted_needs_a_view(self) -> None:
        self.member.lead()
        self.parts.hear("b", joined=False)
        self.assertEqual(len(self.member.tick()), 3)

    def test_its_own_restart_needs_a_view(self) -> None:
        self.member.lead()
        self.parts.context.joined_epoch = 0
        self.assertEqual(len(self.member.tick()), 3)

    def test_its_own_adoption_that_is_under_way_needs_no_view(self) -> None:
        self.member.lead()
        self.parts.context.adopted_epoch = self.parts.context.joined_epoch = EPOCH - 1
        self.assertEqual(self.member.tick(), [])

    def test_a_member_of_an_older_epoch_is_not_restarted(self) -> None:
        self.member.lead()
        self.parts.hear("b", joined=False, epoch=EPOCH - 1)
        self.assertEqual(self.member.tick(), [])

    def test_members_not_heard_yet_are_kept_at_first(self) -> None:
        self.member.lead()
        detector = self.parts.detector
        detector.started_at = NOW - self.parts.timing.suspect + 0.01
        del detector.peers["c"]
        self.assertEqual(self.member.tick(), [])
        detector.started_at = NOW - self.parts.timing.suspect
        self.assertEqual(len(self.member.tick()), 3)

    def test_decision_of_its_own_proposal_is_adopted(self) -> None:
        value = proposal(1, "a", sequence=6)
        self.membership._on_decision(value)
        self.assertEqual(
            (self.parts.replica_state.view, self.parts.replica_state.committed), (value.view, value.state)
        )
        (record,) = self.parts.sync()
        self.assertTrue(record.adopt.HasField("view"), "it has not accepted the proposal itself")

    def test_decision_that_it_has_accepted_is_written_by_its_ballot(self) -> None:
        value = proposal(1, "a", sequence=6)
        self.parts.replica_state.promised, self.parts.replica_state.accepted = value.ballot, value
        self.membership._on_decision(value)
        (record,) = self.parts.sync()
        self.assertTrue(record.adopt.HasField("accepted"))
        self.assertEqual(self.parts.replica_state.view, value.view)
