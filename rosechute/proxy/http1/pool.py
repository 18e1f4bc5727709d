"""Number of connections that one sidecar keeps to one server. Pure: no I/O, no clock.

A call occupies its connection while the server handles it, and for a quiet time after the response. By Little's law,
the rate of calls times this duration is the mean number of occupied connections. Erlang's loss formula (Erlang B)
then gives the share of calls that find none of `n` connections free. One more connection is opened ahead of calls if
it would save enough of them from waiting to be worth a connection at the server. Low traffic opens none, and neither
does a burst, because the rate is a mean over seconds. Connections that are no longer needed become idle and are
closed, as the most recently used one is taken first.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

RATE_TIME_CONSTANT_S = 1.0  # time constant of the exponential mean of the call rate
MIN_RATE_PERIOD_S = 0.5  # shortest period over which the rate is computed: a burst at the start is no rate
BUSY_GAIN = 1.0 / 16.0  # weight of one call's duration in its moving average
NEGLIGIBLE_CALLS = 3.0  # weighted number of recent calls up to which the rate counts as 0
LAPSE_FACTOR = 4.0  # the mean starts afresh after this multiple of RATE_TIME_CONSTANT_S without a call
FAILURE_PAUSE_S = 4.0  # no connection is opened ahead for this time after one failed: the server may be at its limit


class PreconnectTerms(NamedTuple):
    """Conditions for opening a connection ahead of calls."""

    max_ahead: int  # connections to one server up to which some are opened ahead; calls that need one may exceed this
    first_saves_per_s: float  # waits per second that the first one must save; most servers are called rarely
    further_saves_per_s: float  # waits per second that each further one must save
    waiting_share: float  # share of calls that must otherwise wait

    @classmethod
    def of(cls, prices: Mapping[str, float]) -> PreconnectTerms:
        """Return the conditions for a deployment's prices.

        Where connections or handshakes have a price, a wait of milliseconds is cheaper than a connection.
        """
        if prices.get("connection", 0.0) > 0.0 or prices.get("handshake", 0.0) > 0.0:
            return cls(8, 2.0, 2.0, 0.2)
        return cls(32, 0.2, 0.01, 0.0001)


class Demand:
    """Recent calls to one process of a server, and the number of connections that they need."""

    __slots__ = ("_decayed_calls", "_last_at", "_first_at", "_mean_duration_s", "_blocked_until")

    def __init__(self) -> None:
        self._decayed_calls = 0.0  # number of calls, weighted by an exponential decay, at `_last_at`
        self._last_at = -math.inf  # time of the last call
        self._first_at = 0.0  # time of the first call since the last lapse
        self._mean_duration_s = 0.0  # moving average of the time from a request to its response
        self._blocked_until = 0.0  # no connection is opened ahead before this time

    def record_call(self, now: float) -> None:
        """Record that a call takes a connection, at `now` in seconds."""
        gap = now - self._last_at
        if gap > LAPSE_FACTOR * RATE_TIME_CONSTANT_S:
            self._decayed_calls, self._first_at = 0.0, now
        elif gap > 0.0:
            self._decayed_calls *= math.exp(-gap / RATE_TIME_CONSTANT_S)
        self._decayed_calls += 1.0
        self._last_at = now

    def record_duration(self, duration_s: float) -> None:
        """Record how long a call occupied its connection until the response."""
        self._mean_duration_s += (duration_s - self._mean_duration_s) * BUSY_GAIN

    def record_failure(self, now: float) -> None:
        """Record that a new connection failed.

        It could not be opened, or was closed or rejected before its first response: the server may be at its
        connection limit.
        """
        self._blocked_until = now + FAILURE_PAUSE_S

    def rate(self, now: float) -> float:
        """Return the rate in calls per second; 0 for few calls, as two or three in a row are no rate."""
        calls = (
            self._decayed_calls * math.exp(min(0.0, self._last_at - now) / RATE_TIME_CONSTANT_S)
            if self._decayed_calls
            else 0.0
        )
        if calls <= NEGLIGIBLE_CALLS:
            return 0.0
        return calls / (
            RATE_TIME_CONSTANT_S
            * (1.0 - math.exp(-max(now - self._first_at, MIN_RATE_PERIOD_S) / RATE_TIME_CONSTANT_S))
        )

    def wanted_connections(self, now: float, quiet_s: float, terms: PreconnectTerms) -> int:
        """Return the number of connections that the rate of calls justifies, from 1 to `terms.max_ahead`.

        Args:
            now: Current time in seconds.
            quiet_s: Quiet time of a connection after a response, in seconds.
            terms: Conditions for opening a connection ahead.
        """
        rate = self.rate(now)
        load = rate * (self._mean_duration_s + quiet_s)
        blocked_share, count = 1.0, 0  # share of calls that find none of `count` connections free
        while count < terms.max_ahead:
            needed_saves = terms.first_saves_per_s if count == 1 else terms.further_saves_per_s
            if count and (blocked_share * rate <= needed_saves or blocked_share <= terms.waiting_share):
                break
            count += 1
            blocked_share = load * blocked_share / (count + load * blocked_share)
        return max(1, count)

    def should_open(self, now: float, up: bool, open_count: int, quiet_s: float, terms: PreconnectTerms) -> bool:
        """Return whether to open one more connection ahead, given `open_count` that are open or being opened."""
        return (
            up
            and now >= self._blocked_until
            and open_count < terms.max_ahead
            and open_count < self.wanted_connections(now, quiet_s, terms)
        )
