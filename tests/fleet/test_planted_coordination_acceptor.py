"""Acceptor: promises, acceptances and nacks, each after its sync."""

from __future__ import annotations

import unittest

from rosechute.coordination.acceptor import Acceptor
from rosechute.coordination.views import Ballot, Proposal, RegisterState
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import EPOCH, NOW, Parts, ballot, identity, proposal, term, view


class AcceptorTest(unittest.TestCase):
    """The acceptor of Paxos: a ballot below the promised one gets a nack, and nothing is sent before its sync."""

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

    def test_promise_is_sent_to_the_proposer(self) -> None:
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

    def test_lower_ballot_gets_a_nack(self) -> None:
        self.prepare(2)
        self.parts.sync()
        self.parts.actions()
        self.prepare(1, "c")
        self.parts.sync()
        (refused,) = self.parts.sent("refused")
        self.assertEqual(self.parts.replica_state.promised, ballot(2))
        self.assertEqual(Ballot.from_message(refused.ballot), ballot(1, "c"))
        self.assertEqual((refused.epoch, Ballot.from_message(refused.promised)), (EPOCH, ballot(2)))

    def test_lower_ballot_gets_nothing_but_a_nack(self) -> None:
        self.prepare(2)
        self.parts.sync()
        self.parts.actions()
        self.prepare(1, "c")
        self.accept(proposal(1, "c"), "c")
        self.assertEqual(self.parts.sync(), [])
        self.assertEqual(self.parts.sent_to("refused") + self.parts.sent_to("promise"), ["c", "c"])
        self.assertIsNone(self.parts.replica_state.accepted)

    def test_no_promise_for_a_ballot_superseded_before_its_sync(self) -> None:
        self.prepare(1)
        self.prepare(2, "c")
        self.parts.sync()
        self.assertEqual(self.parts.sent_to("promise"), ["c"])

    def test_no_acceptance_superseded_before_its_sync(self) -> None:
        self.accept(proposal(1))
        self.accept(proposal(2, "c"), "c")
        self.parts.sync()
        self.assertEqual(self.parts.sent_to("accepted"), ["c"])

    def test_promise_carries_the_accepted_proposal(self) -> None:
        self.accept(proposal(1))
        self.parts.sync()
        self.parts.actions()
        self.prepare(2, "c")
        self.parts.sync()
        (promise,) = self.parts.sent("promise")
        self.assertEqual(Proposal.from_message(promise.accepted), proposal(1))

    def test_promise_carries_a_newer_state_and_the_term(self) -> None:
        self.parts.replica_state.uncommitted = self.parts.replica_state.committed.with_write(
            EPOCH, 51, b"w", b"W" * 32
        )
        self.parts.replica_state.term = term(4)
        self.prepare(1, known=(EPOCH, 5))
        self.parts.sync()
        (promise,) = self.parts.sent("promise")
        self.assertEqual(RegisterState.from_message(promise.state), self.parts.replica_state.uncommitted)
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

    def test_other_epochs_get_no_answer(self) -> None:
        for epoch in (EPOCH - 1, EPOCH + 1):
            self.prepare(1, epoch=epoch)
            self.accept(proposal(1), epoch=epoch)
        self.assertEqual((self.parts.replica_state.promised, self.parts.sync(), self.parts.actions()), (None, [], []))

    def test_no_answer_for_an_epoch_that_ended_before_the_sync(self) -> None:
        self.prepare(1)
        self.accept(proposal(1))
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.parts.sync()
        self.assertEqual(self.parts.actions(), [])

    def test_only_acceptors_of_the_view_take_part(self) -> None:
        self.parts.receive_heartbeat("z")
        self.prepare(1, "z")
        self.accept(proposal(1, "z"), "z")
        self.assertEqual((self.parts.replica_state.promised, self.parts.sync()), (None, []))
        outside = Parts("z", "abc")
        acceptor = Acceptor(outside.context)
        acceptor.on_prepare(identity("b"), pb.Prepare(epoch=EPOCH, ballot=ballot(1).to_message()))
        self.assertEqual((outside.replica_state.promised, outside.sync()), (None, []))

    def test_unreachable_proposer_does_not_seal_the_epoch(self) -> None:
        self.parts.advance(2.0, heartbeats_of="c")
        self.prepare(1, "b")
        self.accept(proposal(1, "b"), "b")
        self.assertFalse(self.parts.replica_state.is_sealed)
        self.prepare(1, "c")
        self.assertTrue(self.parts.replica_state.is_sealed)

    def test_sealed_since_the_newest_record(self) -> None:
        self.parts.advance(1.0, heartbeats_of="bc")
        self.prepare(1)
        self.assertEqual(self.acceptor.sealed_since, NOW + 1.0)
        self.parts.advance(1.0, heartbeats_of="bc")
        self.prepare(1)
        self.assertEqual(self.acceptor.sealed_since, NOW + 1.0)
        self.accept(proposal(1))
        self.assertEqual(self.acceptor.sealed_since, NOW + 2.0)
