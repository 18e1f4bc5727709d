"""The time as of which an edge's configuration is confirmed to have been the newest acknowledged one."""

from __future__ import annotations

import math

PENDING_LIMIT = 8  # maximum number of awaited sequences; more means that updates don't get through


class Confirmation:
    """Derives the confirmed time from answers to renewals, for the configuration in force only.

    An answer with age a and sequence s to a renewal sent at t states that at t - a nothing newer than s was
    acknowledged. The answering side measures the age no earlier than t, so t - a is never too late, even if the
    answer is delayed.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self._applied_sequence = 0
        self._pending: dict[int, float] = {}  # confirmed time by sequence, for sequences that are not in force yet

    def on_answer(self, sent_at: float, sequence: int, age_s: float) -> None:
        """Process an answer to a renewal.

        Args:
            sent_at: When the renewal was sent, in steady time of this process.
            sequence: The newest acknowledged sequence, or a newer one.
            age_s: Age of that knowledge when the answer was made.
        """
        as_of = sent_at - age_s
        if sequence <= self._applied_sequence:
            self.confirmed_at = max(self.confirmed_at, as_of)
            return
        self._pending[sequence] = max(as_of, self._pending.get(sequence, -math.inf))
        while len(self._pending) > PENDING_LIMIT:
            del self._pending[min(self._pending)]

    def on_configuration_applied(self, sequence: int) -> None:
        """Record that the configuration of this sequence is in force; the sequence never goes back."""
        self._applied_sequence = max(self._applied_sequence, sequence)
        for pending in [pending for pending in self._pending if pending <= self._applied_sequence]:
            self.confirmed_at = max(self.confirmed_at, self._pending.pop(pending))
