"""Admission control of one service at one edge: how long a request may be queued at a server.

Implements the exception "urgency" of docs/design-fleet.md, which applies where the selected server is expected to
queue a request for a large part of its latency target. Less urgent requests are then held back first: the allowed
queue delay of a request falls with the share of recent demand that is more urgent. A route whose dispatch rate is far
below that of all routes counts as urgent, so that none starves. If responses are late nevertheless, the allowed delay
of all requests falls by multiplicative decrease, and rises again by additive increase (AIMD).
"""

from __future__ import annotations

import math

from rosechute.routing.pool import Pool
from rosechute.routing.server import Server

DEMAND_DECAY_S = 5.0  # time constant of the exponential decay of demand counters
MAX_DELAY_SHARE = 0.8  # share of its target for which the most urgent request may be queued at a server
MIN_DELAY_SHARE = 0.4  # the same for the least urgent request
SHORTER_TARGET_RATIO = 1.5  # a target is much shorter than another one that is more than this many times as long
STARVATION_RATIO = 0.6  # a route is starved below this multiple of the dispatch rate of all routes
MIN_ARRIVALS = 4.0  # decayed count of arrivals below which a dispatch rate is not significant
LATE_SHARE = 0.5  # a response is late if its request was queued for more than this share of its target
DELAY_FACTOR_DECREASE = 0.93  # multiplies the delay factor after a late response
DELAY_FACTOR_INCREASE = 0.02  # added to the delay factor after any other response
MIN_DELAY_FACTOR = 0.1
BASE_DECREASE_WEIGHT = 0.2  # weight of a sample below the base latency, which is a slowly rising minimum
BASE_INCREASE_WEIGHT = 0.002  # weight of a sample above the base latency
SERVICE_TIME_WEIGHT = 0.1  # weight of a sample in the mean service time


class DecayingCounter:
    """An event counter with exponential decay, whose time constant is `DEMAND_DECAY_S`."""

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
    """Limits of the queue delay at the servers of one service, from recent demand and from the delay of responses.

    All times are seconds of the steady clock.

    Args:
        prefill_tokens_per_s: Prompt tokens that a server prefills per second.
    """

    def __init__(self, prefill_tokens_per_s: float) -> None:
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._pending_prefill_tokens = 0  # of requests that this edge has sent to servers
        self._in_flight = 0  # requests that this edge has at servers
        self._mean_service_time_s = 0.0  # duration of an attempt at a server
        self._delay_factor = 1.0  # scales the allowed delay; adjusted by AIMD
        self._base_latency_s = math.inf  # time to a response head without queueing and prefill
        self._demand: dict[int, DecayingCounter] = {}  # arrivals by priority
        self._targets: dict[tuple[int, str], float] = {}  # target of the newest request, by priority and route
        self._shortest_target_s = math.inf  # of all requests so far
        self._arrivals: dict[str, DecayingCounter] = {}  # by route
        self._dispatches: dict[str, DecayingCounter] = {}  # by route
        self._all_arrivals, self._all_dispatches = DecayingCounter(), DecayingCounter()

    # --- events

    def on_arrival(self, now: float, route: str, priority: int, target_s: float) -> None:
        """Record the arrival of a request."""
        self._demand.setdefault(priority, DecayingCounter()).add(now)
        self._targets[priority, route] = target_s
        self._shortest_target_s = min(target_s, self._shortest_target_s)
        self._arrivals.setdefault(route, DecayingCounter()).add(now)
        self._all_arrivals.add(now)

    def on_first_attempt(self, now: float, route: str) -> None:
        """Record the first attempt of a request."""
        self._dispatches.setdefault(route, DecayingCounter()).add(now)
        self._all_dispatches.add(now)

    def on_attempt_started(self, tokens: int) -> None:
        """Record an attempt for which the server has to prefill `tokens` prompt tokens."""
        self._pending_prefill_tokens += tokens
        self._in_flight += 1

    def on_response_head(self, took_s: float, tokens: int, tokens_before: int, target_s: float) -> float:
        """Record the arrival of a response head, and adjust the base latency and the delay factor.

        Args:
            took_s: Time since the request was sent.
            tokens: Prompt tokens that the server had to prefill for the request.
            tokens_before: Those tokens plus the pending ones of earlier requests of this edge.
            target_s: Latency target of the request.

        Returns:
            The excess latency in seconds: the delay that the requests of this edge do not explain.
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
        """Record the end of an attempt; the server has left `unprefilled_tokens` of its prompt without prefill."""
        self._pending_prefill_tokens -= unprefilled_tokens
        self._in_flight -= 1
        if not unprefilled_tokens:
            weight = SERVICE_TIME_WEIGHT if self._mean_service_time_s else 1.0
            self._mean_service_time_s += (took_s - self._mean_service_time_s) * weight

    # --- estimates and limits

    def drain_time_s(self, queued: int) -> float:
        """Return how long it takes to dispatch `queued` requests at the current service rate."""
        return queued * self._mean_service_time_s / max(1, self._in_flight)

    def estimated_queue_delay_s(self, now: float, server: Server, pool: Pool) -> float:
        """Return how long a request that is sent to a server now would be queued there.

        The load by other edges is the mean of two estimates: the excess latency of the server's response heads, which
        is outdated, and the pending tokens of this edge times the number of other edges, which is imprecise.
        """
        others_s = (
            self._pending_prefill_tokens
            * (pool.edges - 1)
            / (self._prefill_tokens_per_s * max(1, pool.available_count))
        )
        return server.pending_prefill_s(now) + 0.5 * (server.excess_latency_s(now) + others_s)

    def is_uncongested(self, now: float, delay_s: float, priority: int, target_s: float) -> bool:
        """Return whether a request may be queued for `delay_s` whatever its urgency."""
        if delay_s <= self._delay_factor * MIN_DELAY_SHARE * min(target_s, self._shortest_target_s):
            return True
        return delay_s <= self._delay_factor * MIN_DELAY_SHARE * self._bounding_target_s(now, priority, target_s)

    def max_queue_delay_s(self, now: float, route: str, priority: int, target_s: float) -> float:
        """Return the longest time that a request may be queued at a server."""
        target_s = self._bounding_target_s(now, priority, target_s)
        if self._is_starved(now, route):
            return self._delay_factor * MAX_DELAY_SHARE * target_s
        more_urgent = self._more_urgent_share(now, priority)
        return self._delay_factor * (MAX_DELAY_SHARE - (MAX_DELAY_SHARE - MIN_DELAY_SHARE) * more_urgent) * target_s

    def _bounding_target_s(self, now: float, priority: int, target_s: float) -> float:
        """Return the target of a request, or the shortest target of active, more urgent routes if it is much shorter.

        Without this bound, requests with a long target would keep the servers so full that more urgent ones with a
        short target are held back.
        """
        shorter = [
            other_s
            for (other, route), other_s in self._targets.items()
            if other < priority and SHORTER_TARGET_RATIO * other_s < target_s and self._is_active(now, other, route)
        ]
        return min(shorter, default=target_s)

    def _is_active(self, now: float, priority: int, route: str) -> bool:
        """Return whether requests of this priority and route arrive steadily, not only occasionally."""
        return min(self._demand[priority].count(now), self._arrivals[route].count(now)) >= MIN_ARRIVALS

    def _more_urgent_share(self, now: float, priority: int) -> float:
        """Return the share of recent demand that is more urgent than `priority`."""
        counts = [(other, counter.count(now)) for other, counter in self._demand.items()]
        total = sum(count for _, count in counts)
        return sum(count for other, count in counts if other < priority) / total if total else 0.0

    def _is_starved(self, now: float, route: str) -> bool:
        """Return whether the dispatch rate of a route is far below that of all routes together."""
        arrivals, all_arrivals = self._arrivals.get(route), self._all_arrivals.count(now)
        if arrivals is None or arrivals.count(now) < MIN_ARRIVALS or not all_arrivals:
            return False
        dispatches = self._dispatches.get(route)
        rate = dispatches.count(now) / arrivals.count(now) if dispatches is not None else 0.0
        return rate < STARVATION_RATIO * self._all_dispatches.count(now) / all_arrivals
