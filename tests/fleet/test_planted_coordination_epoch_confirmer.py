"""EpochConfirmer: read quorums on the epoch."""

from __future__ import annotations

import unittest
from typing import Any

from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.replica_config import Timing
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import EPOCH, NOW, Parts, identity, view

TIMING = Timing()


class EpochConfirmerTest(unittest.TestCase):
    """Contact with a majority before serving: a majority that was asked after the question came."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.confirmer = EpochConfirmer(self.parts.context)
        self.results: list[bool] = []

    def on_result(self, *, is_confirmed: bool) -> None:
        self.results.append(is_confirmed)

    def ask(self, since: float = NOW) -> int:
        self.confirmer.confirm_epoch(self.on_result, since)
        (question, *_) = self.parts.sent("confirm")
        self.assertEqual(question.epoch, EPOCH)
        return int(question.round)

    def confirm(self, sender: str, number: int, epoch: int = EPOCH) -> None:
        self.confirmer.on_confirmed(identity(sender), pb.Confirmed(epoch=epoch, round=number))

    def test_prepare_is_sent_to_all_acceptors(self) -> None:
        self.confirmer.confirm_epoch(self.on_result, NOW)
        self.assertEqual(sorted(self.parts.sent_to("confirm")), ["a", "b", "c"])

    def test_majority_confirms_once(self) -> None:
        number = self.ask()
        self.confirm("b", number)
        self.confirm("b", number)
        self.assertEqual(self.results, [])
        self.confirm("c", number)
        self.confirm("a", number)
        self.assertEqual(self.results, [True])

    def test_confirmations_that_do_not_count(self) -> None:
        number = self.ask()
        self.confirm("a", number)
        self.confirm("z", number)
        self.confirm("b", number - 1)
        self.confirm("b", number, EPOCH - 1)
        self.confirm("b", number, EPOCH + 1)
        self.assertEqual(self.results, [])

    def test_each_question_has_its_own_confirmations(self) -> None:
        first, second = self.ask(), self.ask()
        self.assertNotEqual(first, second)
        self.confirm("a", first)
        self.confirm("b", second)
        self.assertEqual(self.results, [])

    def test_questions_of_an_earlier_process_have_other_numbers(self) -> None:
        self.assertEqual(self.ask(), 2**47 + 1)

    def test_not_confirmed_in_an_epoch_that_is_sealed_here(self) -> None:
        number = self.ask()
        self.parts.seal()
        self.confirm("b", number)
        self.confirm("c", number)
        self.assertEqual(self.results, [False])

    def test_not_confirmed_in_another_epoch(self) -> None:
        number = self.ask()
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.confirm("b", number)
        self.confirm("c", number)
        self.assertEqual(self.results, [])
        self.confirmer.reject_all()
        self.assertEqual(self.results, [False])
        self.confirmer.reject_all()
        self.assertEqual(self.results, [False])

    def test_too_late(self) -> None:
        self.ask(NOW - 0.5)
        self.parts.advance(TIMING.request_deadline_s - 0.5 - 0.01)
        self.confirmer.tick()
        self.assertEqual(self.results, [])
        self.parts.advance(0.02)
        self.confirmer.tick()
        self.confirmer.tick()
        self.assertEqual(self.results, [False])

    def test_too_late_by_answers_that_came_while_this_process_stood_still(self) -> None:
        number = self.ask()
        self.confirm("b", number)
        self.parts.advance(TIMING.request_deadline_s + 0.01)
        self.confirm("c", number)
        self.assertEqual(self.results, [False])

    def test_asks_those_again_that_have_not_answered(self) -> None:
        number = self.ask()
        self.confirm("b", number)
        self.confirmer.tick()
        self.assertEqual(self.parts.sent("confirm"), [])
        self.parts.advance(TIMING.resend_after_s)
        self.confirmer.tick()
        self.confirmer.tick()
        again = self.parts.messages("confirm")
        self.assertEqual([to for to, _ in again], ["c", "a"])
        self.assertEqual({each.round for _, each in again}, {number})

    def confirmed(self, parts: Parts, epoch: int = EPOCH) -> list[Any]:
        EpochConfirmer(parts.context).on_confirm(identity("b"), pb.Confirm(epoch=epoch, round=6))
        return parts.messages("confirmed")

    def test_an_acceptor_confirms_its_open_epoch_only(self) -> None:
        ((to, answer),) = self.confirmed(self.parts)
        self.assertEqual((to, answer.epoch, answer.round), ("b", EPOCH, 6))
        self.assertEqual(self.confirmed(self.parts, EPOCH - 1), [])
        self.assertEqual(self.confirmed(self.parts, EPOCH + 1), [])
        self.parts.seal()
        self.assertEqual(self.confirmed(self.parts), [])
        self.assertEqual(self.confirmed(Parts("z", "abc")), [])

    def test_an_epoch_whose_adoption_is_not_synced_is_not_confirmed(self) -> None:
        self.parts.context.adopted_epoch = EPOCH - 1
        self.assertEqual(self.confirmed(self.parts), [])
