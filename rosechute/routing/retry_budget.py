"""The budget of further attempts of one service at this edge, over a sliding window.

The rule sums the arrivals beyond the first of each request over all edges, in every window. Each edge keeps to the
ratio of its own requests, and to its part of the slack. Both are taken with a margin: requests fall out of the window
while the repeats that they allowed are still in it, and the number of edges is known late.
"""

from __future__ import annotations

from collections import deque

RATIO_MARGIN = 0.75
SLACK_MARGIN = 0.6
BUCKETS = 20  # of one window


class WindowCounter:
    """Counts of events in buckets of time."""

    __slots__ = ("_width", "_buckets")

    def __init__(self, width_s: float) -> None:
        self._width = width_s
        self._buckets: deque[list[float]] = deque()  # start, count

    def add(self, now: float) -> None:
        """One more event."""
        if not self._buckets or now >= self._buckets[-1][0] + self._width:
            self._buckets.append([now, 0.0])
        self._buckets[-1][1] += 1

    def forget(self, before: float) -> None:
        """Drop the buckets that ended before a time."""
        while self._buckets and self._buckets[0][0] + self._width <= before:
            self._buckets.popleft()

    def least(self, since: float) -> int:
        """Events that certainly came after `since`."""
        return int(sum(count for start, count in self._buckets if start > since))

    def most(self, since: float) -> int:
        """Events that may have come after `since`."""
        return int(sum(count for start, count in self._buckets if start + self._width > since))


class RetryBudget:
    """Further attempts that one service of this edge may be sent."""

    def __init__(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        self._requests = WindowCounter(window_s / BUCKETS)
        self._repeats = WindowCounter(window_s / BUCKETS)
        self._window = window_s
        self._ratio = ratio
        self._floor = SLACK_MARGIN * slack / max(1, edges)

    def bound(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        """Take over other figures. Counts start anew where the length of the window changes."""
        self._ratio = ratio
        self._floor = SLACK_MARGIN * slack / max(1, edges)
        if window_s != self._window:
            self._requests = WindowCounter(window_s / BUCKETS)
            self._repeats = WindowCounter(window_s / BUCKETS)
            self._window = window_s

    def request(self, now: float) -> None:
        """A client's request has come."""
        self._requests.forget(now - self._window)
        self._requests.add(now)

    def repeat(self, now: float) -> None:
        """An attempt beyond the first that reached a server is sent."""
        self._repeats.forget(now - self._window)
        self._repeats.add(now)

    def allowed(self, now: float) -> float:
        """Repeats that the window may hold now."""
        return RATIO_MARGIN * self._ratio * self._requests.least(now - self._window) + self._floor

    def affords(self, now: float) -> bool:
        """Whether one more repeat may be sent."""
        return self._repeats.most(now - self._window) + 1 <= self.allowed(now)

    def left(self, now: float) -> int:
        """How many more repeats may be sent now."""
        return max(0, int(self.allowed(now)) - self._repeats.most(now - self._window))
