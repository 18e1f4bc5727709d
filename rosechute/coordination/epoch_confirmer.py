"""Confirmation that an epoch was current: no later view had been decided when the request was sent.

To decide on a new view, a proposer needs promises of a majority of the acceptors, and a promise seals the epoch. So
once a majority of the acceptors answers that they have not sealed the epoch, no later view had been decided when the
request was sent (a quorum read). The tail needs this before it serves a read, the head before it rejects a write.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from rosechute.coordination.context import Context
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.messages import coordination_pb2 as pb

ROUND_BITS = 48  # size of the random number at which a process starts to number its rounds


class ConfirmationCallback(Protocol):
    """Receives the result of a confirmation round."""

    def __call__(self, *, is_confirmed: bool) -> None:
        """Handle the result.

        Args:
            is_confirmed: whether a majority confirmed the epoch before the deadline.
        """


@dataclass(slots=True)
class _Round:
    """A confirmation round: one request to all acceptors.

    Attributes:
        epoch: the epoch to confirm.
        started_at: start of its deadline, in seconds of the machine's steady clock.
        sent_at: when it was last sent.
        callback: called once with the result.
        confirmed_by: ids of the acceptors that have confirmed.
    """

    epoch: int
    started_at: float
    sent_at: float
    callback: ConfirmationCallback
    confirmed_by: set[str] = field(default_factory=set)


class EpochConfirmer:
    """Confirmation rounds of this machine, and its answers to the rounds of others."""

    def __init__(self, context: Context) -> None:
        """Number rounds from a random number, so that answers to an earlier process match no round of this one."""
        self._context = context
        self._rounds: dict[int, _Round] = {}
        self._round_number = int(context.draw() * 2**ROUND_BITS)

    def confirm_epoch(self, callback: ConfirmationCallback, started_at: float) -> None:
        """Ask the acceptors whether the current epoch is sealed.

        Args:
            callback: called once with the result.
            started_at: start of the deadline (`Timing.request_deadline_s`), in seconds of the machine's steady clock.
        """
        context = self._context
        self._round_number += 1
        confirmation = _Round(context.replica_state.view.epoch, started_at, context.now, callback)
        self._rounds[self._round_number] = confirmation
        self._send(self._round_number, confirmation)

    def on_confirm(self, sender: MachineIdentity, confirm: pb.Confirm) -> None:
        """Confirm an epoch to another machine, if this acceptor has adopted it and not sealed it."""
        context = self._context
        if confirm.epoch == context.replica_state.view.epoch and context.is_epoch_adopted and context.is_acceptor:
            confirmed = pb.Confirmed(epoch=confirm.epoch, round=confirm.round)
            context.outbox.send(sender, pb.CoreMessage(confirmed=confirmed))

    def on_confirmed(self, sender: MachineIdentity, confirmed: pb.Confirmed) -> None:
        """Count the confirmation of an acceptor; end the round at a majority."""
        view = self._context.replica_state.view
        confirmation = self._rounds.get(confirmed.round)
        if confirmation is None or confirmed.epoch != confirmation.epoch or confirmation.epoch != view.epoch:
            return
        if view.is_acceptor(sender.id):
            confirmation.confirmed_by.add(sender.id)
        if len(confirmation.confirmed_by) >= view.majority:
            del self._rounds[confirmed.round]
            confirmation.callback(is_confirmed=self._context.is_epoch_adopted and not self._is_late(confirmation))

    def reject_all(self) -> None:
        """End all rounds without a confirmation: the epoch has changed."""
        rounds, self._rounds = self._rounds, {}
        for confirmation in rounds.values():
            confirmation.callback(is_confirmed=False)

    def tick(self) -> None:
        """Resend rounds to acceptors that have not answered; end those past their deadline."""
        timing, now = self._context.timing, self._context.now
        for number, confirmation in list(self._rounds.items()):
            if self._is_late(confirmation):
                del self._rounds[number]
                confirmation.callback(is_confirmed=False)
            elif now - confirmation.sent_at >= timing.resend_after_s:
                confirmation.sent_at = now
                self._send(number, confirmation)

    def _is_late(self, confirmation: _Round) -> bool:
        """Return whether the round is past its deadline.

        Also checked when a confirmation arrives: after a freeze of this machine it may be handled before a tick.
        """
        return self._context.now - confirmation.started_at >= self._context.timing.request_deadline_s

    def _send(self, number: int, confirmation: _Round) -> None:
        for acceptor in self._context.replica_state.view.acceptors:
            if acceptor.id not in confirmation.confirmed_by:
                confirm = pb.Confirm(epoch=confirmation.epoch, round=number)
                self._context.outbox.send(acceptor, pb.CoreMessage(confirm=confirm))
