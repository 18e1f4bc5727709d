"""Retry budget: a ratio of retries to recent first attempts, and a minimum rate for times of low traffic.

The algorithm follows the retry budgets of Finagle (RetryBudget): under failure, the number of attempts grows at
most by the ratio. The sliding window is approximated with two counters: the weight of the previous window
decreases as the current one progresses. A budget therefore needs only a few numbers, so that each of many keys
can have its own.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000
WINDOW_NS = 10 * SECOND


@dataclass(frozen=True, slots=True)
class Share:
    """Parameters of a budget: `ratio` retries per first attempt plus `min_per_s` a second, over `window_ns`."""

    ratio: float
    min_per_s: float = 0.0
    window_ns: int = WINDOW_NS

    @property
    def floor(self) -> float:
        """Return the number of retries allowed in a window without any first attempts."""
        return self.min_per_s * self.window_ns / SECOND


class Counter:
    """A sliding-window counter made of the counts of the current and the previous window."""

    __slots__ = ("start", "current", "previous")

    def __init__(self, start: int) -> None:
        self.start, self.current, self.previous = start, 0, 0

    def roll(self, now: int, window_ns: int) -> None:
        """Advance to the window that contains `now`; restart the current window if the clock stepped back."""
        elapsed = now - self.start
        if 0 <= elapsed < window_ns:
            return
        self.previous = self.current if 0 <= elapsed < 2 * window_ns else 0
        self.current = 0
        self.start = now if elapsed < 0 or elapsed >= 2 * window_ns else self.start + window_ns

    def sum(self, now: int, window_ns: int) -> float:
        """Return the estimated events of the last `window_ns`, assuming an even rate in the previous window."""
        self.roll(now, window_ns)
        return self.current + self.previous * (1.0 - (now - self.start) / window_ns)


class AttemptBudget:
    """The retry budget of one lane; implements the load balancer's `RetryBudget` protocol."""

    __slots__ = ("share", "first_attempts", "retries", "denied")

    def __init__(self, share: Share, now: int) -> None:
        self.share = share
        self.first_attempts, self.retries = Counter(now), Counter(now)
        self.denied = 0

    def first(self, now: int) -> None:
        """Count the first attempt of a request."""
        self.first_attempts.roll(now, self.share.window_ns)
        self.first_attempts.current += 1

    def left(self, now: int) -> float:
        """Return the number of retries available now."""
        share, window = self.share, self.share.window_ns
        allowed = share.floor + share.ratio * self.first_attempts.sum(now, window)
        return max(0.0, allowed - self.retries.sum(now, window))

    def spend(self, now: int) -> bool:
        """Take one retry from the budget; return False if none is available."""
        # The tolerance absorbs rounding errors in the sum of fractions.
        if self.left(now) < 1.0 - 1e-9:
            self.denied += 1
            return False
        self.retries.current += 1
        return True
