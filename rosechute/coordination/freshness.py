"""Bound on the staleness of this machine's knowledge of the newest committed configuration.

Heartbeats echo the stamps of earlier heartbeats of this machine. Once a majority of the acceptors and the tail have
echoed a stamp, all in one epoch that none of them has sealed, nothing newer than the tail's state had been committed
at the time of the stamp: no later view had been decided, and the tail commits all writes of this one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from rosechute.coordination.context import Context
from rosechute.coordination.failure_detector import NEVER


class FreshnessBound(NamedTuple):
    """Upper bound on the sequence that had been committed at a time in the past.

    Attributes:
        sequence: highest sequence that may have been committed at that time.
        age_s: seconds since that time.
    """

    sequence: int
    age_s: float


@dataclass(slots=True)
class Freshness:
    """Tracker of the newest freshness bound.

    Attributes:
        context: what the parts of the replica share.
        sequence: highest sequence that may have been committed at `as_of`.
        as_of: time of the bound, in seconds of the machine's steady clock; None before the first majority of echoes.
    """

    context: Context
    sequence: int = 0
    as_of: float | None = None

    def update(self) -> None:
        """Advance the bound by the heartbeats received so far."""
        context = self.context
        view = context.replica_state.view
        if not view.chain or not context.is_epoch_adopted:
            return
        stamps = [self._echoed_stamp(acceptor.id) for acceptor in view.acceptors]
        known = sorted((stamp for stamp in stamps if stamp is not None), reverse=True)
        tail_stamp = self._echoed_stamp(view.chain[-1])
        if tail_stamp is None or len(known) < view.majority:
            return
        as_of = min(tail_stamp, known[view.majority - 1])
        if as_of == NEVER:
            return
        if self.as_of is None or as_of >= self.as_of:
            self.as_of = as_of
            self.sequence = max(self.sequence, self._sequence_of(view.chain[-1]))

    def bound(self, now: float) -> FreshnessBound | None:
        """Return the newest bound and its age, or None before the first one."""
        return None if self.as_of is None else FreshnessBound(self.sequence, now - self.as_of)

    def _echoed_stamp(self, machine_id: str) -> float | None:
        """Return the newest stamp that a machine has echoed in this epoch, unless it has sealed the epoch."""
        context = self.context
        if machine_id == context.own.id:
            return context.now
        peer = context.failure_detector.peers.get(machine_id)
        if peer is None or peer.heartbeat.sealed or peer.heartbeat.epoch != context.replica_state.view.epoch:
            return None
        return peer.echoed_stamp

    def _sequence_of(self, machine_id: str) -> int:
        context = self.context
        if machine_id == context.own.id:
            return context.replica_state.committed.sequence
        return context.failure_detector.peers[machine_id].heartbeat.sequence
