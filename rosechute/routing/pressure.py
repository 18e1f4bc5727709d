"""Exception "urgency": which requests may still go to servers that others wait at.

Condition: the server that a request would go to lets it wait for a good part of its target, as far as this edge can tell.
Then less urgent requests are held back first. How long a request may have to wait there depends on how much of the recent
demand is more urgent than it. A route that is served far less often than all are counts as urgent, so that none starves.
"""

from __future__ import annotations

import math

MEMORY_S = 5.0  # demand and service are counted over about so long
MOST = 0.8  # of its target that the most urgent request may wait at a server
LEAST = 0.4  # of its target that the least urgent one may
STARVED = 0.6  # of the rate at which all are served below which a route counts as urgent
LEAST_ASKED = 4.0  # requests of a route below which its rate says nothing
BASE_DOWN = 0.2  # weight of a sample below the base time
BASE_UP = 0.002  # and of one above it


class Fading:
    """A count of events; older ones count for less."""

    __slots__ = ("_count", "_at")

    def __init__(self) -> None:
        self._count, self._at = 0.0, 0.0

    def add(self, now: float) -> None:
        """One more."""
        self._count, self._at = self.count(now) + 1.0, now

    def count(self, now: float) -> float:
        """What is left of them."""
        return self._count * math.exp(min(0.0, self._at - now) / MEMORY_S)


class Pressure:
    """Recent demand for one service, by priority and by route, and the time that its answers take at the least."""

    def __init__(self) -> None:
        self._demand: dict[int, Fading] = {}
        self._asked: dict[str, Fading] = {}
        self._served: dict[str, Fading] = {}
        self._all_asked, self._all_served = Fading(), Fading()
        self.base_s = math.inf  # from a request to the head of its answer, without waiting and reading

    def asked(self, now: float, route: str, priority: int) -> None:
        """A request has come."""
        self._demand.setdefault(priority, Fading()).add(now)
        self._asked.setdefault(route, Fading()).add(now)
        self._all_asked.add(now)

    def served(self, now: float, route: str) -> None:
        """A request has been sent to a server for the first time."""
        self._served.setdefault(route, Fading()).add(now)
        self._all_served.add(now)

    def timed(self, beyond_reading_s: float) -> float:
        """Note a time to the head of an answer, less the reading; by how much it was above the base."""
        if beyond_reading_s < self.base_s:
            known = self.base_s if self.base_s < math.inf else beyond_reading_s
            self.base_s = known + (beyond_reading_s - known) * BASE_DOWN
        else:
            self.base_s += (beyond_reading_s - self.base_s) * BASE_UP
        return max(0.0, beyond_reading_s - self.base_s)

    def wait_s(self, now: float, ahead: int) -> float:
        """How long it takes until so many requests are sent to servers, as fast as of late."""
        sent = self._all_served.count(now) / MEMORY_S
        return ahead / sent if sent else 0.0

    def bearable_s(self, now: float, route: str, priority: int, target_s: float) -> float:
        """How long a request may have to wait at a server."""
        if self._starves(now, route):
            return MOST * target_s
        return (MOST - (MOST - LEAST) * self._more_urgent(now, priority)) * target_s

    def _more_urgent(self, now: float, priority: int) -> float:
        """The share of recent demand that is more urgent."""
        counts = [(other, fading.count(now)) for other, fading in self._demand.items()]
        everything = sum(count for _, count in counts)
        return sum(count for other, count in counts if other < priority) / everything if everything else 0.0

    def _starves(self, now: float, route: str) -> bool:
        asked, all_asked = self._asked.get(route), self._all_asked.count(now)
        if asked is None or asked.count(now) < LEAST_ASKED or not all_asked:
            return False
        served = self._served.get(route)
        rate = served.count(now) / asked.count(now) if served is not None else 0.0
        return rate < STARVED * self._all_served.count(now) / all_asked
