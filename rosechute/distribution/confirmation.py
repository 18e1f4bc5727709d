"""As of when an edge knows that its configuration was the newest acknowledged one."""

from __future__ import annotations

import math

PENDING_LIMIT = 8


class Confirmation:
    """Collects what answers tell, and confirms only what the configuration in force covers.

    An answer to a renewal sent at t, with age a and sequence s, says: at t - a nothing newer than s was acknowledged.
    The answering side counts its age at a time not before t, so t - a is never too late, however late the answer is.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self._held = 0
        self._pending: dict[int, float] = {}  # by sequence that is not held yet

    def told(self, sent_at: float, sequence: int, age_s: float) -> None:
        """An answer to a renewal that was sent at this time."""
        as_of = sent_at - age_s
        if sequence <= self._held:
            self.confirmed_at = max(self.confirmed_at, as_of)
            return
        self._pending[sequence] = max(as_of, self._pending.get(sequence, -math.inf))
        while len(self._pending) > PENDING_LIMIT:
            del self._pending[min(self._pending)]

    def held(self, sequence: int) -> None:
        """The configuration of this sequence is in force now; it never goes back."""
        self._held = max(self._held, sequence)
        for pending in [pending for pending in self._pending if pending <= self._held]:
            self.confirmed_at = max(self.confirmed_at, self._pending.pop(pending))
