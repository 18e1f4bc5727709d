"""How many connections one sidecar keeps to one server: in step with its calls, and never more than it must. Pure.

A call keeps its connection for as long as the server takes, and for the time after the answer in which nothing else
may use it. By Little's law their rate times that is how many are not free in the mean; by Erlang's loss formula, how
often a call finds none that is free among so many. One more is opened ahead where that would spare calls a wait often
enough to be worth a connection at the server: thin traffic opens none, and neither does a burst, as the rate is a
mean over seconds. What is no longer needed ages, as the connection used last is taken first.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

MEMORY_S = 1.0  # over how long the rate of calls is a mean
LEAST_S = 0.5  # and at least, where there has been less: a burst at the start is no rate
BUSY_GAIN = 1.0 / 16.0  # weight of one call's time against what was known
FEW = 3.0
LAPSE = 4.0  # after so many times that without a call the mean begins anew
PAUSE_S = 4.0  # for how long none is opened ahead after one that failed: its table may be full


class Terms(NamedTuple):
    """When one connection more is worth it."""

    most: int  # connections to one server that are opened ahead; those that calls can't do without are not bounded
    first_s: float  # waits a second that the first one ahead must spare: most servers are called seldom
    waits_s: float  # and each further one
    share: float  # share of the calls that would wait without it

    @classmethod
    def of(cls, prices: Mapping[str, float]) -> Terms:
        """By the deployment's prices: where connections or handshakes cost, a wait of milliseconds is the cheaper."""
        if prices.get("connection", 0.0) > 0.0 or prices.get("handshake", 0.0) > 0.0:
            return cls(8, 2.0, 2.0, 0.2)
        return cls(32, 0.2, 0.01, 0.0001)


class Demand:
    """What one process of a server is asked of late, and how many connections that needs."""

    __slots__ = ("_sum", "_at", "_begun", "_busy_s", "_shut_until")

    def __init__(self) -> None:
        self._sum = 0.0  # calls, each counting for less as it gets old, as of `_at`
        self._at = -math.inf
        self._begun = 0.0  # when calls began to come
        self._busy_s = 0.0  # how long a call keeps its connection until the answer, in the mean
        self._shut_until = 0.0

    def called(self, now: float) -> None:
        """A call takes a connection, at `now` seconds."""
        gap = now - self._at
        if gap > LAPSE * MEMORY_S:
            self._sum, self._begun = 0.0, now
        elif gap > 0.0:
            self._sum *= math.exp(-gap / MEMORY_S)
        self._sum += 1.0
        self._at = now

    def answered(self, busy_s: float) -> None:
        """A call has kept its connection for so long."""
        self._busy_s += (busy_s - self._busy_s) * BUSY_GAIN

    def failed(self, now: float) -> None:
        """A new connection did not come up, or ended or was turned away before its first answer: the server may
        hold as many as it may."""
        self._shut_until = now + PAUSE_S

    def rate(self, now: float) -> float:
        """Calls a second; 0 for a few, as two or three in a row are no rate."""
        late = self._sum * math.exp(min(0.0, self._at - now) / MEMORY_S) if self._sum else 0.0
        if late <= FEW:
            return 0.0
        return late / (MEMORY_S * (1.0 - math.exp(-max(now - self._begun, LEAST_S) / MEMORY_S)))

    def wanted(self, now: float, rest_s: float, terms: Terms) -> int:
        """Connections that this rate of calls is worth, where each is left alone for `rest_s` after an answer;
        at least 1, and `terms.most` at most."""
        rate = self.rate(now)
        load = rate * (self._busy_s + rest_s)
        lost, count = 1.0, 0  # part of the calls that find none free among `count`
        while count < terms.most:
            spares = terms.first_s if count == 1 else terms.waits_s
            if count and (lost * rate <= spares or lost <= terms.share):
                break
            count += 1
            lost = load * lost / (count + load * lost)
        return max(1, count)

    def opens(self, now: float, up: bool, held: int, rest_s: float, terms: Terms) -> bool:
        """Whether one more is opened ahead, with `held` that are open or coming up."""
        return up and now >= self._shut_until and held < terms.most and held < self.wanted(now, rest_s, terms)
