"""Admission control of one service at one edge: how long a request may be queued at a server.

This is the exception "urgency" of docs/design-fleet.md. It applies where the server that a request would go to is
expected to queue it for a good part of its latency target. Less urgent requests are then held back first: the allowed
queue delay of a request falls with the share of recent demand that is more urgent. A route that is dispatched far
less often than all routes counts as urgent, so that none starves. Where responses are late all the same, the allowed
delay falls for all requests by multiplicative decrease, and rises again by additive increase (AIMD).
"""

from __future__ import annotations

import math

from rosechute.routing.pool import Pool
from rosechute.routing.server import Server

DEMAND_DECAY_S = 5.0  # counts of demand fall to 1/e in this time
MAX_DELAY_SHARE = 0.8  # of its target that the most urgent request may be queued at a server
MIN_DELAY_SHARE = 0.4  # of its target that the least urgent one may
SHORTER_TARGET_RATIO = 1.5  # a target is much shorter than one that is this many times as long
STARVATION_RATIO = 0.6  # of the dispatch rate of all routes, below which a route is starved
MIN_ARRIVALS = 4.0  # of a route, below which its dispatch rate means nothing
LATE_SHARE = 0.5  # of its target: a response whose request was queued for longer is late
DELAY_FACTOR_DECREASE = 0.93  # factor of the allowed delay after a late response
DELAY_FACTOR_INCREASE = 0.02  # added to that factor after each other response
MIN_DELAY_FACTOR = 0.1
BASE_DECREASE_WEIGHT = 0.2  # of a sample below the base latency, which is a slowly rising minimum
BASE_INCREASE_WEIGHT = 0.002  # of a sample above it
SERVICE_TIME_WEIGHT = 0.1  # of a sample in the mean service time


class DecayingCounter:
    """A count of events that falls to 1/e in `DEMAND_DECAY_S`."""

    __slots__ = ("_count", "_at")

    def __init__(self) -> None:
        self._count, self._at = 0.0, 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._count, self._at = self.count(now) + 1.0, now

    def count(self, now: float) -> float:
        """Return the decayed count."""
        return self._count * math.exp(min(0.0, self._at - now) / DEMAND_DECAY_S)


class AdmissionController:
    """Recent demand for one service by priority and route, and how late its responses are.

    All times are seconds of the steady clock.

    Args:
        prefill_tokens_per_s: Prompt tokens that a server prefills in a second.
    """

    def __init__(self, prefill_tokens_per_s: float) -> None:
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._pending_prefill_tokens = 0  # of own requests at servers
        self._in_flight = 0  # own requests at servers
        self._mean_service_time_s = 0.0  # that a request is at a server
        self._delay_factor = 1.0  # of the allowed delay, by AIMD
        self._base_latency_s = math.inf  # to the head of a response, without queueing and prefill
        self._demand: dict[int, DecayingCounter] = {}  # arrivals by priority
        self._targets: dict[tuple[int, str], float] = {}  # of the newest request, by priority and route
        self._shortest_target_s = math.inf  # there has been
        self._arrivals: dict[str, DecayingCounter] = {}  # by route
        self._dispatches: dict[str, DecayingCounter] = {}  # by route
        self._all_arrivals, self._all_dispatches = DecayingCounter(), DecayingCounter()

    # --- events

    def on_arrival(self, now: float, route: str, priority: int, target_s: float) -> None:
        """Count a request that has arrived."""
        self._demand.setdefault(priority, DecayingCounter()).add(now)
        self._targets[priority, route] = target_s
        self._shortest_target_s = min(target_s, self._shortest_target_s)
        self._arrivals.setdefault(route, DecayingCounter()).add(now)
        self._all_arrivals.add(now)

    def on_first_attempt(self, now: float, route: str) -> None:
        """Count a request that is sent to a server for the first time."""
        self._dispatches.setdefault(route, DecayingCounter()).add(now)
        self._all_dispatches.add(now)

    def on_attempt_started(self, tokens: int) -> None:
        """Count a request that is sent to a server, which has to prefill so many tokens."""
        self._pending_prefill_tokens += tokens
        self._in_flight += 1

    def on_response_head(self, took_s: float, tokens: int, tokens_before: int, target_s: float) -> float:
        """Take the time to the head of a response.

        Args:
            took_s: Since the request was sent.
            tokens: That the server had to prefill for it.
            tokens_before: The same, together with what it had to prefill for earlier requests of this edge.
            target_s: Latency target of the request.

        Returns:
            By how much the head came later than the requests of this edge explain.
        """
        self._pending_prefill_tokens -= tokens
        without_prefill_s = took_s - tokens_before / self._prefill_tokens_per_s
        self._update_base_latency(without_prefill_s)
        queued_s = took_s - tokens / self._prefill_tokens_per_s - self._base_latency_s
        if queued_s > LATE_SHARE * target_s:
            self._delay_factor = max(MIN_DELAY_FACTOR, self._delay_factor * DELAY_FACTOR_DECREASE)
        else:
            self._delay_factor = min(1.0, self._delay_factor + DELAY_FACTOR_INCREASE)
        return max(0.0, without_prefill_s - self._base_latency_s)

    def _update_base_latency(self, sample_s: float) -> None:
        if sample_s < self._base_latency_s:
            known_s = self._base_latency_s if self._base_latency_s < math.inf else sample_s
            self._base_latency_s = known_s + (sample_s - known_s) * BASE_DECREASE_WEIGHT
        else:
            self._base_latency_s += (sample_s - self._base_latency_s) * BASE_INCREASE_WEIGHT

    def on_attempt_finished(self, took_s: float, unprefilled_tokens: int) -> None:
        """Count a request that is no longer at its server, which has not prefilled so many of its tokens."""
        self._pending_prefill_tokens -= unprefilled_tokens
        self._in_flight -= 1
        if not unprefilled_tokens:
            weight = SERVICE_TIME_WEIGHT if self._mean_service_time_s else 1.0
            self._mean_service_time_s += (took_s - self._mean_service_time_s) * weight

    # --- estimates and limits

    def drain_time_s(self, queued: int) -> float:
        """Return how long it takes to dispatch so many queued requests at the pace of those at servers."""
        return queued * self._mean_service_time_s / max(1, self._in_flight)

    def estimated_queue_delay_s(self, now: float, server: Server, pool: Pool) -> float:
        """Return how long a request sent to a server now would be queued there.

        The load by other edges has two estimates: how late the server's response heads were, which is old, and what
        this edge itself has pending, times the other edges, which is vague. Their mean is used.
        """
        others_s = (
            self._pending_prefill_tokens
            * (pool.edges - 1)
            / (self._prefill_tokens_per_s * max(1, pool.available_count))
        )
        return server.pending_prefill_s(now) + 0.5 * (server.excess_latency_s(now) + others_s)

    def is_uncongested(self, now: float, delay_s: float, priority: int, target_s: float) -> bool:
        """Return whether any request may be queued at a server for so long."""
        if delay_s <= self._delay_factor * MIN_DELAY_SHARE * min(target_s, self._shortest_target_s):
            return True
        return delay_s <= self._delay_factor * MIN_DELAY_SHARE * self._bounding_target_s(now, priority, target_s)

    def max_queue_delay_s(self, now: float, route: str, priority: int, target_s: float) -> float:
        """Return for how long a request may be queued at a server."""
        target_s = self._bounding_target_s(now, priority, target_s)
        if self._is_starved(now, route):
            return self._delay_factor * MAX_DELAY_SHARE * target_s
        more_urgent = self._more_urgent_share(now, priority)
        return self._delay_factor * (MAX_DELAY_SHARE - (MAX_DELAY_SHARE - MIN_DELAY_SHARE) * more_urgent) * target_s

    def _bounding_target_s(self, now: float, priority: int, target_s: float) -> float:
        """Return a request's target, or the much shorter one of more urgent requests that are active.

        Without that bound, requests with a long target would fill the servers up to where more urgent ones with a
        short target are held back.
        """
        shorter = [
            other_s
            for (other, route), other_s in self._targets.items()
            if other < priority and SHORTER_TARGET_RATIO * other_s < target_s and self._is_active(now, other, route)
        ]
        return min(shorter, default=target_s)

    def _is_active(self, now: float, priority: int, route: str) -> bool:
        """Return whether requests of this priority and route arrive now, and not just one now and then."""
        return min(self._demand[priority].count(now), self._arrivals[route].count(now)) >= MIN_ARRIVALS

    def _more_urgent_share(self, now: float, priority: int) -> float:
        """Return the share of recent demand that is more urgent."""
        counts = [(other, counter.count(now)) for other, counter in self._demand.items()]
        everything = sum(count for _, count in counts)
        return sum(count for other, count in counts if other < priority) / everything if everything else 0.0

    def _is_starved(self, now: float, route: str) -> bool:
        """Return whether a route is dispatched far less often than all routes."""
        arrivals, all_arrivals = self._arrivals.get(route), self._all_arrivals.count(now)
        if arrivals is None or arrivals.count(now) < MIN_ARRIVALS or not all_arrivals:
            return False
        dispatches = self._dispatches.get(route)
        rate = dispatches.count(now) / arrivals.count(now) if dispatches is not None else 0.0
        return rate < STARVATION_RATIO * self._all_dispatches.count(now) / all_arrivals
