"""Retry budget of one service at one edge, over a sliding window.

The operator limits the retries of the fleet in every window to a ratio of the requests plus a slack. Each edge
applies the ratio to its own requests and takes its share of the slack. Both are reduced by a margin, because requests
leave the window before the retries that they allowed, and because each edge learns late of a change in the number of
live edges.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

RATIO_MARGIN = 0.75  # share of the ratio that an edge uses
SLACK_MARGIN = 0.6  # part that an edge uses of its share of the slack
BUCKETS_PER_WINDOW = 20


@dataclass(slots=True)
class Bucket:
    """The number of events in the interval that begins at `start`, in steady seconds."""

    start: float
    count: int = 0


class WindowCounter:
    """A counter of recent events in time buckets.

    Args:
        width_s: Width of a bucket in seconds.
    """

    __slots__ = ("_width_s", "_buckets")

    def __init__(self, width_s: float) -> None:
        self._width_s = width_s
        self._buckets: deque[Bucket] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        if not self._buckets or now >= self._buckets[-1].start + self._width_s:
            self._buckets.append(Bucket(now))
        self._buckets[-1].count += 1

    def expire(self, before: float) -> None:
        """Drop the buckets that ended at or before a time."""
        while self._buckets and self._buckets[0].start + self._width_s <= before:
            self._buckets.popleft()

    def count_at_least(self, since: float) -> int:
        """Return a lower bound of the events after `since`."""
        return sum(bucket.count for bucket in self._buckets if bucket.start > since)

    def count_at_most(self, since: float) -> int:
        """Return an upper bound of the events after `since`."""
        return sum(bucket.count for bucket in self._buckets if bucket.start + self._width_s > since)


class RetryBudget:
    """Limit of the retries that one edge sends to the servers of one service.

    Args:
        ratio: Retries that are allowed per request in a window.
        window_s: Length of the window in seconds.
        slack: Retries per window that the fleet may send beyond the ratio.
        edges: The number of live edges, which share the slack.
    """

    def __init__(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        self._requests = WindowCounter(window_s / BUCKETS_PER_WINDOW)
        self._retries = WindowCounter(window_s / BUCKETS_PER_WINDOW)
        self._window_s = window_s
        self._ratio = ratio
        self._slack_share = SLACK_MARGIN * slack / max(1, edges)

    def configure(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        """Change the settings. A change of the window length resets the counters."""
        self._ratio = ratio
        self._slack_share = SLACK_MARGIN * slack / max(1, edges)
        if window_s != self._window_s:
            self._requests = WindowCounter(window_s / BUCKETS_PER_WINDOW)
            self._retries = WindowCounter(window_s / BUCKETS_PER_WINDOW)
            self._window_s = window_s

    def on_request(self, now: float) -> None:
        """Record a request of a client."""
        self._requests.expire(now - self._window_s)
        self._requests.add(now)

    def on_retry(self, now: float) -> None:
        """Record a retry: an attempt after one that may have reached a server."""
        self._retries.expire(now - self._window_s)
        self._retries.add(now)

    def allowed(self, now: float) -> float:
        """Return the number of retries that are allowed in the current window."""
        return RATIO_MARGIN * self._ratio * self._requests.count_at_least(now - self._window_s) + self._slack_share

    def allows_retry(self, now: float) -> bool:
        """Return whether another retry is allowed now."""
        return self._retries.count_at_most(now - self._window_s) + 1 <= self.allowed(now)

    def remaining(self, now: float) -> int:
        """Return how many more retries are allowed now."""
        return max(0, int(self.allowed(now)) - self._retries.count_at_most(now - self._window_s))
