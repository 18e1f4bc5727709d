"""Certainty that an epoch was still the newest one after a question came.

A majority of the acceptors that answers "not sealed" shows that no later view had been decided when it was asked.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from rosechute.coordination.context import Context
from rosechute.coordination.types import MachineIdentity
from rosechute.messages import coordination_pb2 as pb

ROUND_BITS = 48


@dataclass(slots=True)
class _Question:
    epoch: int
    since: float
    sent: float
    done: Callable[[bool], None]
    yes: set[str] = field(default_factory=set)


class EpochConfirmer:
    """Questions of this machine, and its answers to others."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._questions: dict[int, _Question] = {}
        self._round = int(context.draw() * 2**ROUND_BITS)  # answers to an earlier process don't fit

    def confirm_epoch(self, done: Callable[[bool], None], since: float) -> None:
        """Ask about the current epoch; `done` is told once whether a majority confirmed it in time, counted from
        `since`."""
        context = self._context
        self._round += 1
        question = _Question(context.replica_state.view.epoch, since, context.now, done)
        self._questions[self._round] = question
        self._send(self._round, question)

    def on_confirm(self, sender: MachineIdentity, confirm: pb.Confirm) -> None:
        """Another machine asks."""
        context = self._context
        if confirm.epoch == context.replica_state.view.epoch and context.is_epoch_adopted and context.is_acceptor:
            confirmed = pb.Confirmed(epoch=confirm.epoch, round=confirm.round)
            context.outbox.send(sender, pb.CoreMessage(confirmed=confirmed))

    def on_confirmed(self, sender: MachineIdentity, confirmed: pb.Confirmed) -> None:
        """An acceptor confirms."""
        view = self._context.replica_state.view
        question = self._questions.get(confirmed.round)
        if question is None or confirmed.epoch != question.epoch or question.epoch != view.epoch:
            return
        if view.is_acceptor(sender.id):
            question.yes.add(sender.id)
        if len(question.yes) >= view.majority:
            del self._questions[confirmed.round]
            question.done(self._context.is_epoch_adopted and not self._late(question))

    def reject_all(self) -> None:
        """The epoch has changed: no question about the old one is confirmed."""
        questions, self._questions = self._questions, {}
        for question in questions.values():
            question.done(False)

    def tick(self) -> None:
        """Repeat questions; give up those that take too long."""
        timing, now = self._context.timing, self._context.now
        for number, question in list(self._questions.items()):
            if self._late(question):
                del self._questions[number]
                question.done(False)
            elif now - question.sent >= timing.resend:
                question.sent = now
                self._send(number, question)

    def _late(self, question: _Question) -> bool:
        """Whether whoever asked has moved on: after a freeze the answers may be there before the next tick."""
        return self._context.now - question.since >= self._context.timing.order_deadline

    def _send(self, number: int, question: _Question) -> None:
        for acceptor in self._context.replica_state.view.acceptors:
            if acceptor.id not in question.yes:
                confirm = pb.Confirm(epoch=question.epoch, round=number)
                self._context.outbox.send(acceptor, pb.CoreMessage(confirm=confirm))
