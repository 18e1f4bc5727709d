"""Route limiter, which admits, queues or rejects the requests of each route.

Limits apply to a route, or to each tenant or key on it (`limit_by`); the state of one such scope is a *lane*. A
request is admitted while its lane has fewer than `max_in_flight` requests in flight and a token in its bucket.
If only the former is exceeded, it joins the FIFO queue of the lane while that holds fewer than `max_waiting`
requests. Otherwise it is rejected at once, with the time after which the next request can be admitted.

The number of lanes is bounded, whatever the number of keys. A lane with a full bucket and no open requests is
equivalent to a new one and can be evicted. If no lane can be evicted, a new key is hashed onto one of a few
shared lanes, which is stricter than a lane of its own, never more lenient.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from rosechute.load_balancing.interface import Bounds
from rosechute.proxy.core.ports import GO, REFUSE, WAIT, LimitDecision, RequestInfo
from rosechute.sidecar.request_limits.budget import AttemptBudget, Share
from rosechute.sidecar.request_limits.rate import RateLimit

SHARED_LANES = 256  # shared lanes of a route for keys that come after the maximum number of lanes is reached
EVICTION_CANDIDATES = 4  # lanes examined for eviction each time a lane is created
MEAN_GAIN = 0.1  # weight of a new sample in the moving average of request durations
DEFAULT_SCOPE = ""  # scope of tenants that the settings do not define, and of requests without a key
Admitted = list[tuple[str, Bounds | None]]


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the requests of one route; implements the proxy's `Rule` protocol."""

    name: str
    cls: str = ""
    timeout_ns: int = 0
    bounds: Bounds | None = None
    share: Share | None = None
    rate: RateLimit | None = None
    max_in_flight: int = 0
    """0 for no limit."""
    max_waiting: int = 0
    limit_by: str = "route"

    @property
    def limited(self) -> bool:
        """Return whether any limit needs per-lane state."""
        return bool(self.rate or self.max_in_flight or self.share)


class Lane:
    """Limiter state of one scope: a route, or one tenant or key on it."""

    __slots__ = ("scope", "full_at", "in_flight", "waiting", "budget", "bounds", "used")

    def __init__(self, scope: str, limits: Limits, now: int) -> None:
        self.scope = scope
        self.full_at = now
        self.in_flight = 0
        self.waiting: OrderedDict[str, None] = OrderedDict()
        self.budget: AttemptBudget | None = None
        self.bounds: Bounds | None = None
        self.used = now
        self.adopt(limits, now)

    def adopt(self, limits: Limits, now: int) -> None:
        """Apply new limits and keep the current counts."""
        bounds = limits.bounds
        if limits.share is None:
            self.budget = None
        elif self.budget is None:
            self.budget = AttemptBudget(limits.share, now)
        else:
            self.budget.share = limits.share
        if self.budget is not None:
            base = bounds or Bounds()
            bounds = Bounds(base.attempts, base.try_ns, base.copy_after_ns, base.retry_on, self.budget)
        self.bounds = bounds

    def is_in_use(self, limits: Limits, now: int) -> bool:
        """Return whether the lane differs from a new one, and so cannot be evicted."""
        if (
            self.in_flight
            or self.waiting
            or (limits.rate and limits.rate.left(self.full_at, now) < limits.rate.burst)
        ):
            return True
        return limits.share is not None and now - self.used < 2 * limits.share.window_ns


@dataclass(slots=True)
class RouteCounters:
    """Counters of one route's requests since the process started."""

    taken: int = 0
    refused: dict[str, int] = field(
        default_factory=lambda: {
            "rate": 0,
            "in_flight": 0,
            "waited": 0,
            "module": 0,
        }
    )
    ends: dict[str, int] = field(default_factory=lambda: {"served": 0, "failed": 0, "gone": 0})


class RouteState:
    """Limiter state of one route: its limits, lanes and counters."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.lanes: OrderedDict[str, Lane] = OrderedDict()  # least recently used first
        self.counts = RouteCounters()
        self.mean_ns = 0.0  # moving average of the time that requests are in flight
        self.open = 0
        self.dropped = False  # removed from the file, but open requests are still counted

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(len(lane.waiting) for lane in self.lanes.values())


class OpenRequest:
    """An open request, with the route and lane that count it."""

    __slots__ = ("route", "lane", "since", "is_waiting")

    def __init__(self, route: RouteState, lane: Lane | None, since: int, is_waiting: bool) -> None:
        self.route, self.lane, self.since, self.is_waiting = route, lane, since, is_waiting


class RouteLimiter:
    """Limiter for all routes of a sidecar; implements the proxy's `Limiter` protocol."""

    def __init__(
        self,
        routes: Iterable[Limits],
        tenants: Iterable[str],
        max_lanes: int,
        max_hold_off_ns: int,
        seed: int = 0,
    ) -> None:
        self._routes: dict[str, RouteState] = {}
        self._open_requests: dict[str, OpenRequest] = {}
        self._lane_count = 0
        self._salt = seed & 0xFFFFFFFF
        self.adopt(routes, tenants, max_lanes, max_hold_off_ns, 0)

    # --- settings

    def adopt(
        self,
        routes: Iterable[Limits],
        tenants: Iterable[str],
        max_lanes: int,
        max_hold_off_ns: int,
        now: int,
    ) -> None:
        """Apply the limits of a new file.

        A route of the same name keeps its counters and lanes, unless its `limit_by` changed: then it gets new
        lanes. Requests that are open or queued on old lanes, or on removed routes, complete normally.
        """
        self._tenants = tuple(tenants)
        self.max_lanes, self._max_hold_off_ns = max_lanes, max_hold_off_ns
        by_name = {limits.name: limits for limits in routes}
        for name, route in list(self._routes.items()):
            limits = by_name.get(name)
            if limits is None:
                route.dropped = True
                route.limits = Limits(name, route.limits.cls)  # without limits, queued requests can be admitted
                for lane in route.lanes.values():
                    lane.adopt(route.limits, now)
                if not route.open:
                    self._forget(route)
            elif limits.limit_by != route.limits.limit_by:
                self._forget(route, keep_counts=True)
                route.limits, route.dropped = limits, False
            else:
                route.limits, route.dropped = limits, False
                for lane in route.lanes.values():
                    lane.adopt(limits, now)
        for name, limits in by_name.items():
            if name not in self._routes:
                self._routes[name] = RouteState(limits)

    def _forget(self, route: RouteState, keep_counts: bool = False) -> None:
        self._lane_count -= len(route.lanes)
        route.lanes = OrderedDict()
        if not keep_counts:
            self._routes.pop(route.limits.name, None)

    # --- requests

    def asks(self, now: int, tid: str, asked: RequestInfo) -> LimitDecision:
        """Admit, queue or reject a new request."""
        rule = asked.rule
        route = self._routes.get(rule.name) if isinstance(rule, Limits) else None
        if route is None:
            return LimitDecision(GO, 0, rule.bounds if rule is not None else None)
        limits = route.limits
        route.counts.taken += 1
        if not limits.limited:
            self._add_open(tid, OpenRequest(route, None, now, False))
            return LimitDecision(GO, 0, limits.bounds)
        lane = self._get_lane(now, route, self._scope(limits, asked))
        full = limits.max_in_flight and lane.in_flight >= limits.max_in_flight
        if full and len(lane.waiting) >= limits.max_waiting:
            route.counts.refused["in_flight"] += 1
            return LimitDecision(REFUSE, self._cap_hold_off(self._estimate_wait_ns(route, lane)))
        rate = limits.rate
        if rate is not None:
            ready_in = rate.ready_in(lane.full_at, now)
            if ready_in:
                route.counts.refused["rate"] += 1
                return LimitDecision(REFUSE, self._cap_hold_off(ready_in))
            lane.full_at = rate.taken(lane.full_at, now)
        if full or lane.waiting:  # requests are admitted in arrival order
            lane.waiting[tid] = None
            self._add_open(tid, OpenRequest(route, lane, now, True))
            return LimitDecision(WAIT)
        lane.in_flight += 1
        self._add_open(tid, OpenRequest(route, lane, now, False))
        if lane.budget is not None:
            lane.budget.first(now)
        return LimitDecision(GO, 0, lane.bounds)

    def ended(self, now: int, tid: str, ending: str = "gone") -> Admitted:
        """Record the end of a request and return the queued requests of its lane that are admitted now.

        `ending` is "served", "refused", "failed" or "gone".
        """
        request = self._open_requests.pop(tid, None)
        if request is None:
            return []
        route, lane = request.route, request.lane
        route.open -= 1
        if ending == "refused":
            route.counts.refused["waited" if request.is_waiting else "module"] += 1
        else:
            route.counts.ends[ending] += 1
        ready: Admitted = []
        if lane is not None:
            if request.is_waiting:
                lane.waiting.pop(tid, None)
            else:
                lane.in_flight -= 1
                route.mean_ns += (now - request.since - route.mean_ns) * (MEAN_GAIN if route.mean_ns else 1.0)
            ready = self._admit_queued(now, route, lane)
        if route.dropped and not route.open:
            self._forget(route)
        return ready

    def released(self, now: int) -> Admitted:
        """Return the queued requests that are admitted after limits were raised or routes removed."""
        ready: Admitted = []
        lanes = {
            id(request.lane): (request.route, request.lane)
            for request in self._open_requests.values()
            if request.is_waiting
        }
        for route, lane in lanes.values():
            if lane is not None:
                ready += self._admit_queued(now, route, lane)
        return ready

    def _add_open(self, tid: str, request: OpenRequest) -> None:
        self._open_requests[tid] = request
        request.route.open += 1

    def _admit_queued(self, now: int, route: RouteState, lane: Lane) -> Admitted:
        """Admit queued requests in FIFO order up to the concurrency limit."""
        ready: Admitted = []
        most = route.limits.max_in_flight
        while lane.waiting and (not most or lane.in_flight < most):
            tid, _ = lane.waiting.popitem(last=False)
            request = self._open_requests[tid]
            request.is_waiting, request.since = False, now
            lane.in_flight += 1
            if lane.budget is not None:
                lane.budget.first(now)
            ready.append((tid, lane.bounds))
        return ready

    # --- lanes

    def _scope(self, limits: Limits, asked: RequestInfo) -> str:
        if limits.limit_by == "tenant":
            return self._tenants[asked.tenant] if 0 <= asked.tenant < len(self._tenants) else DEFAULT_SCOPE
        return asked.key if limits.limit_by == "key" else DEFAULT_SCOPE

    def _get_lane(self, now: int, route: RouteState, scope: str) -> Lane:
        lane = route.lanes.get(scope)
        if lane is None:
            # Examining a few lanes per created lane is enough: more lanes are examined than created.
            for other in self._eviction_candidates(route):
                if not route.lanes[other].is_in_use(route.limits, now):
                    del route.lanes[other]
                    self._lane_count -= 1
            if self._lane_count >= self.max_lanes and route.limits.limit_by == "key":
                # The prefix cannot collide with a client's key: a cookie has no control characters.
                scope = f"\0{crc32(scope.encode('utf-8', 'replace'), self._salt) % SHARED_LANES}"
                lane = route.lanes.get(scope)
            if lane is None:
                lane = route.lanes[scope] = Lane(scope, route.limits, now)
                self._lane_count += 1
        route.lanes.move_to_end(scope)
        lane.used = now
        return lane

    @staticmethod
    def _eviction_candidates(route: RouteState) -> list[str]:
        found = []
        for scope in route.lanes:
            found.append(scope)
            if len(found) == EVICTION_CANDIDATES:
                break
        # Lanes with open requests move to the end, so that they do not block the eviction of those behind.
        for scope in found:
            if route.lanes[scope].in_flight or route.lanes[scope].waiting:
                route.lanes.move_to_end(scope)
        return found

    def _estimate_wait_ns(self, route: RouteState, lane: Lane) -> int:
        """Return the estimated nanoseconds until a full lane can admit one more request."""
        return int(route.mean_ns * (len(lane.waiting) + 1) / route.limits.max_in_flight)

    def _cap_hold_off(self, in_ns: int) -> int:
        return min(in_ns, self._max_hold_off_ns)

    # --- statistics

    def open_requests(self) -> int:
        """Return the number of requests in flight or queued."""
        return len(self._open_requests)

    def lanes(self) -> int:
        """Return the current number of lanes."""
        return self._lane_count

    def rows(self, now: int) -> Iterator[dict[str, Any]]:
        """Yield the statistics of each route as JSON-compatible data."""
        for name, route in self._routes.items():
            waiting = route.waiting
            budgets = [lane.budget for lane in route.lanes.values() if lane.budget is not None]
            rate = route.limits.rate
            yield {
                "route": name,
                "dropped": route.dropped,
                "taken": route.counts.taken,
                "in_flight": route.open - waiting,
                "waiting": waiting,
                "lanes": len(route.lanes),
                "refused": dict(route.counts.refused),
                "ended": dict(route.counts.ends),
                "budget_left": round(min((b.left(now) for b in budgets), default=0.0), 2) if budgets else None,
                "budget_denied": sum(b.denied for b in budgets) if budgets else None,
                "tokens_left": min(
                    (rate.left(lane.full_at, now) for lane in route.lanes.values()), default=rate.burst
                )
                if rate is not None
                else None,
                "mean_ms": round(route.mean_ns / 1e6, 3),
            }

    # --- state handed over to a successor process

    def told(self, now: int, most: int = 10_000) -> list[list[Any]]:
        """Return the state of the token buckets as plain data.

        Each entry holds the route, the scope and the nanoseconds until the bucket is full. At most `most`
        entries are returned.
        """
        found: list[list[Any]] = []
        for name, route in self._routes.items():
            for scope, lane in route.lanes.items():
                if route.limits.rate is not None and lane.full_at > now and len(found) < most:
                    found.append([name, scope, lane.full_at - now])
        return found

    def recall(self, now: int, state: Any) -> bool:
        """Restore the token buckets from the state of another process.

        Return False, without any change, if the state is malformed.
        """
        try:
            spent = [(str(name), str(scope), int(ahead)) for name, scope, ahead in state]
        except (TypeError, ValueError):
            return False
        for name, scope, ahead in spent:
            route = self._routes.get(name)
            if route is None or route.limits.rate is None or not ahead > 0:
                continue
            if scope in route.lanes or self._lane_count < self.max_lanes:
                lane = self._get_lane(now, route, scope)
                lane.full_at = max(lane.full_at, now + min(ahead, route.limits.rate.fill_ns))
        return True
