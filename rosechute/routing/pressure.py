"""Exception "urgency": which requests may still go to servers that others wait at.

Condition: the server that a request would go to lets it wait for a good part of its target, as far as this edge can
tell. Then less urgent requests are held back first. How long a request may have to wait there depends on how much of
the recent demand is more urgent than it. A route that is served far less often than all are counts as urgent, so that
none starves. Where answers come late all the same, what may be borne falls for all, and rises again slowly.
"""

from __future__ import annotations

import math

from rosechute.routing.pool import Pool
from rosechute.routing.server import Server

MEMORY_S = 5.0  # demand and service are counted over about so long
MOST = 0.8  # of its target that the most urgent request may wait at a server
LEAST = 0.4  # of its target that the least urgent one may
MUCH_SHORTER = 1.5  # a target is, than one that is so many times as long
STARVED = 0.6  # of the rate at which all are served below which a route counts as urgent
LEAST_ASKED = 4.0  # requests of a route below which its rate says nothing
LATE = 0.5  # of its target that a request has waited from which it counts as late
LEVEL_DOWN = 0.93  # factor of the level after a late head
LEVEL_UP = 0.02  # what each other head adds to the level
LEVEL_LEAST = 0.1
BASE_DOWN = 0.2  # weight of a sample below the base time
BASE_UP = 0.002  # and of one above it
HOLDING_GAIN = 0.1  # weight of one more holding time


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
    """Recent demand for one service, by priority and by route, and how late its answers come.

    Args:
        prefill_tokens_per_s: Prompt tokens that a server reads in a second.
    """

    def __init__(self, prefill_tokens_per_s: float) -> None:
        self._rate = prefill_tokens_per_s
        self._unread = 0  # tokens of own requests that servers are to read
        self._out = 0  # own requests at servers
        self._holding_s = 0.0  # mean time that a request is at a server
        self._level = 1.0  # part of what may be borne in easy times
        self._base_s = math.inf  # time to the head of an answer without waiting and reading
        self._demand: dict[int, Fading] = {}
        self._targets: dict[tuple[int, str], float] = {}  # of the newest request, by priority and route
        self._shortest_s = math.inf  # there has been
        self._asked: dict[str, Fading] = {}
        self._served: dict[str, Fading] = {}
        self._all_asked, self._all_served = Fading(), Fading()

    # --- what happens

    def asked(self, now: float, route: str, priority: int, target_s: float) -> None:
        """A request has come."""
        self._demand.setdefault(priority, Fading()).add(now)
        self._targets[priority, route] = target_s
        self._shortest_s = min(target_s, self._shortest_s)
        self._asked.setdefault(route, Fading()).add(now)
        self._all_asked.add(now)

    def served(self, now: float, route: str) -> None:
        """A request is sent to a server for the first time."""
        self._served.setdefault(route, Fading()).add(now)
        self._all_served.add(now)

    def sent(self, tokens: int) -> None:
        """A server is to read so many tokens."""
        self._unread += tokens
        self._out += 1

    def headed(self, took_s: float, tokens: int, tokens_before: int, target_s: float) -> float:
        """The head of an answer has come; by how much later than own requests explain.

        Args:
            took_s: Since the request was sent.
            tokens: That the server had to read of it.
            tokens_before: The same, with what it had to read of earlier requests from here.
            target_s: In which the answer was wanted.
        """
        self._unread -= tokens
        beyond_s = took_s - tokens_before / self._rate
        self._note_base(beyond_s)
        late = took_s - tokens / self._rate - self._base_s > LATE * target_s
        self._level = max(LEVEL_LEAST, self._level * LEVEL_DOWN) if late else min(1.0, self._level + LEVEL_UP)
        return max(0.0, beyond_s - self._base_s)

    def _note_base(self, beyond_s: float) -> None:
        if beyond_s < self._base_s:
            known = self._base_s if self._base_s < math.inf else beyond_s
            self._base_s = known + (beyond_s - known) * BASE_DOWN
        else:
            self._base_s += (beyond_s - self._base_s) * BASE_UP

    def ended(self, took_s: float, unread: int) -> None:
        """A request is no longer at its server; so many tokens of it have not been read."""
        self._unread -= unread
        self._out -= 1
        if not unread:
            self._holding_s += (took_s - self._holding_s) * (HOLDING_GAIN if self._holding_s else 1.0)

    # --- what follows

    def clears_in_s(self, ahead: int) -> float:
        """How long it takes until so many waiting requests are sent, at the pace of those that are at servers."""
        return ahead * self._holding_s / max(1, self._out)

    def wait_at_s(self, now: float, server: Server, pool: Pool) -> float:
        """How long a request sent to a server now would wait there. What others have sent follows from how late its
        heads came, which is old, and from what servers are to read of own requests, which is vague: the mean of
        both."""
        others_s = self._unread * (pool.edges - 1) / (self._rate * max(1, pool.up))
        return server.owed_s(now) + 0.5 * (server.late_s(now) + others_s)

    def easy(self, now: float, wait_s: float, priority: int, target_s: float) -> bool:
        """Whether any request may wait so long at a server."""
        if wait_s <= self._level * LEAST * min(target_s, self._shortest_s):
            return True
        return wait_s <= self._level * LEAST * self._bounding_target_s(now, priority, target_s)

    def bearable_s(self, now: float, route: str, priority: int, target_s: float) -> float:
        """How long a request may have to wait at a server."""
        target_s = self._bounding_target_s(now, priority, target_s)
        if self._starves(now, route):
            return self._level * MOST * target_s
        return self._level * (MOST - (MOST - LEAST) * self._more_urgent(now, priority)) * target_s

    def _bounding_target_s(self, now: float, priority: int, target_s: float) -> float:
        """A request's target, or the much shorter one of more urgent requests that come at present.

        Without that bound, requests with a long target fill the servers to where more urgent ones, with a short one,
        are held back.
        """
        shorter = [
            other_s
            for (other, route), other_s in self._targets.items()
            if other < priority and MUCH_SHORTER * other_s < target_s and self._comes(now, other, route)
        ]
        return min(shorter, default=target_s)

    def _comes(self, now: float, priority: int, route: str) -> bool:
        """Whether requests of this priority and route come at present, and not just one now and then."""
        return min(self._demand[priority].count(now), self._asked[route].count(now)) >= LEAST_ASKED

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
