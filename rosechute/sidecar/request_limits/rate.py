"""Token bucket after the generic cell rate algorithm (ITU-T I.371, annex A, virtual scheduling).

The state is one number: the time at which the bucket is full again. A request is admitted while that time is
no further ahead than the burst allows, and advances it by one interval.
"""

from __future__ import annotations

from typing import NamedTuple

SECOND = 1_000_000_000


class RateLimit(NamedTuple):
    """A rate limit: the interval between requests in nanoseconds, and the burst size."""

    interval_ns: int
    burst: int

    @property
    def fill_ns(self) -> int:
        """Return the time in nanoseconds in which an empty bucket fills up."""
        return self.interval_ns * self.burst

    def ready_in(self, full_at: int, now: int) -> int:
        """Return the nanoseconds until the next request is admitted; 0 if it is admitted now."""
        # A clock that stepped back must not block clients for longer than an empty bucket would.
        ahead = min(full_at - now, self.fill_ns)
        return max(0, ahead + self.interval_ns - self.fill_ns)

    def taken(self, full_at: int, now: int) -> int:
        """Return the time at which the bucket is full again after one more request."""
        return max(min(full_at, now + self.fill_ns), now) + self.interval_ns

    def left(self, full_at: int, now: int) -> int:
        """Return the number of requests that would be admitted now."""
        ahead = max(0, min(full_at - now, self.fill_ns))
        return (self.fill_ns - ahead) // self.interval_ns


def per_second(rate: float, burst: int) -> RateLimit:
    """Return a limit of `rate` requests a second, which may be below 1."""
    return RateLimit(max(1, round(SECOND / rate)), burst)
