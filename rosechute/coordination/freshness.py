"""As of when this machine knows which configuration is the newest acknowledged one.

Heartbeats bring back the stamps of earlier ones. Once a majority of the acceptors and the tail, all in one epoch
that none of them has sealed, have answered a stamp, nothing newer than the tail's state had been acknowledged at the
time of the stamp.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosechute.coordination.context import Context
from rosechute.coordination.failure_detector import NEVER


@dataclass(slots=True)
class Freshness:
    """The newest such moment on the own clock, and the sequence as of then."""

    context: Context
    sequence: int = 0
    as_of: float | None = None

    def update(self) -> None:
        """Take the answers that are there into account."""
        context = self.context
        view = context.replica_state.view
        if not view.chain or not context.is_epoch_adopted:
            return
        times = [self._answered(each.id) for each in view.acceptors]
        known = sorted((each for each in times if each is not None), reverse=True)
        tail = self._answered(view.chain[-1])
        if tail is None or len(known) < view.majority:
            return
        as_of = min(tail, known[view.majority - 1])
        if as_of == NEVER:
            return
        if self.as_of is None or as_of >= self.as_of:
            self.as_of = as_of
            self.sequence = max(self.sequence, self._tail_sequence(view.chain[-1]))

    def read(self, now: float) -> tuple[int, float] | None:
        """Newest acknowledged sequence, and the age of that knowledge."""
        return None if self.as_of is None else (self.sequence, now - self.as_of)

    def _answered(self, machine_id: str) -> float | None:
        context = self.context
        if machine_id == context.own.id:
            return context.now
        peer = context.failure_detector.peers.get(machine_id)
        if peer is None or peer.heartbeat.sealed or peer.heartbeat.epoch != context.replica_state.view.epoch:
            return None
        return peer.echoed_stamp

    def _tail_sequence(self, machine_id: str) -> int:
        context = self.context
        if machine_id == context.own.id:
            return context.replica_state.committed.sequence
        return context.failure_detector.peers[machine_id].heartbeat.sequence
