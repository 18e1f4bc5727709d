"""Freshness of a core machine's configuration: the newest acknowledged sequence, and as of which time."""

from __future__ import annotations

import math

from rosechute.messages import distribution_pb2 as pb

LARGEST_AGE_MS = 2**32 - 1  # maximum of the uint32 field in the message


class ConfigurationFreshness:
    """The newest acknowledged configuration as of the latest known time."""

    def __init__(self) -> None:
        self._sequence = 0
        self._as_of = -math.inf

    def update(self, now: float, sequence: int, age_s: float) -> None:
        """Record that `age_s` ago the newest acknowledged configuration had at most this sequence."""
        as_of = now - age_s
        if as_of >= self._as_of:
            self._as_of = as_of
            self._sequence = sequence

    def report(self, now: float, held_sequence: int, answer: pb.Renewed) -> None:
        """Write the newest acknowledged sequence and the age of that knowledge into an answer.

        Args:
            now: The time of the answer.
            held_sequence: Sequence of the committed configuration held here, which may be newer.
            answer: The answer to complete.
        """
        answer.config_sequence = max(self._sequence, held_sequence)
        if math.isfinite(self._as_of):
            answer.config_known = True
            answer.config_age_ms = min(math.ceil(max(0.0, now - self._as_of) * 1000.0), LARGEST_AGE_MS)
