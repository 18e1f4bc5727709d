"""A budget of further attempts: a share of the first ones of late, and a floor for quiet times.

The idea is that of retry budgets in Finagle (RetryBudget): under failure, attempts grow by the share and no
further. The window slides by weighting: the count of the window before fades as the present one goes on, so
that a budget is a handful of numbers and can be had for each of many keys.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000
WINDOW_NS = 10 * SECOND


@dataclass(frozen=True, slots=True)
class Share:
    """`ratio` further attempts for each first one, and `min_per_s` besides, over `window_ns`."""

    ratio: float
    min_per_s: float = 0.0
    window_ns: int = WINDOW_NS

    @property
    def floor(self) -> float:
        """Further attempts in a window without any first ones."""
        return self.min_per_s * self.window_ns / SECOND


class Counter:
    """Events over a sliding window: those of the present one, and what is left of the one before."""

    __slots__ = ("start", "now", "before")

    def __init__(self, start: int) -> None:
        self.start, self.now, self.before = start, 0, 0

    def roll(self, now: int, window_ns: int) -> None:
        """Move on to the window that `now` is in. A clock that steps back starts the present one anew."""
        gone = now - self.start
        if 0 <= gone < window_ns:
            return
        self.before = self.now if 0 <= gone < 2 * window_ns else 0
        self.now = 0
        self.start = now if gone < 0 or gone >= 2 * window_ns else self.start + window_ns

    def sum(self, now: int, window_ns: int) -> float:
        """Events of the last window, supposing that those of the one before came evenly."""
        self.roll(now, window_ns)
        return self.now + self.before * (1.0 - (now - self.start) / window_ns)


class AttemptBudget:
    """One route's, or one tenant's on it. The module's `RetryBudget`."""

    __slots__ = ("share", "firsts", "further", "denied")

    def __init__(self, share: Share, now: int) -> None:
        self.share = share
        self.firsts, self.further = Counter(now), Counter(now)
        self.denied = 0

    def first(self, now: int) -> None:
        """A request has been let through to its first attempt."""
        self.firsts.roll(now, self.share.window_ns)
        self.firsts.now += 1

    def left(self, now: int) -> float:
        """How many further attempts could be had at once."""
        share, window = self.share, self.share.window_ns
        allowed = share.floor + share.ratio * self.firsts.sum(now, window)
        return max(0.0, allowed - self.further.sum(now, window))

    def spend(self, now: int) -> bool:
        """Take one; False, and nothing is taken, where there is none."""
        # Sums of fractions: a hair below one is one.
        if self.left(now) < 1.0 - 1e-9:
            self.denied += 1
            return False
        self.further.now += 1
        return True
