"""A token bucket in one number: the generic cell rate algorithm (ITU-T I.371, annex A, virtual scheduling).

The number is when the bucket is full again. A call is let through while that lies no further ahead than the
burst allows, and moves it on by one interval.
"""

from __future__ import annotations

from typing import NamedTuple

SECOND = 1_000_000_000


class RateLimit(NamedTuple):
    """`interval_ns` between calls at the rate, and how many may come at once."""

    interval_ns: int
    burst: int

    @property
    def fill_ns(self) -> int:
        """How long an empty bucket takes to fill."""
        return self.interval_ns * self.burst

    def ready_in(self, full_at: int, now: int) -> int:
        """Nanoseconds until the next call would be let through; 0 for at once."""
        # A clock that stepped back must not lock anybody out for longer than an empty bucket would.
        ahead = min(full_at - now, self.fill_ns)
        return max(0, ahead + self.interval_ns - self.fill_ns)

    def taken(self, full_at: int, now: int) -> int:
        """When the bucket is full again after one more call."""
        return max(min(full_at, now + self.fill_ns), now) + self.interval_ns

    def left(self, full_at: int, now: int) -> int:
        """How many calls would be let through at once."""
        ahead = max(0, min(full_at - now, self.fill_ns))
        return (self.fill_ns - ahead) // self.interval_ns


def per_second(rate: float, burst: int) -> RateLimit:
    """A limit of so many calls a second; less than one is fine."""
    return RateLimit(max(1, round(SECOND / rate)), burst)
