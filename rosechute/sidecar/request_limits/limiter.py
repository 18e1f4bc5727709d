"""The limiter: who of a route's requests goes on to the module, who waits for that, and who is refused.

Each route has its own figures for itself as a whole, for each tenant or for each key (`limit_by`): one *lane*
each. A request goes while its lane has fewer than `max_in_flight` under way and a token in its bucket; where
only the first is wanting it waits in the lane, in order, while fewer than `max_waiting` do; else it is refused
at once, and told when the bucket will let the next one through.

The number of lanes is bounded, however many keys there are. A lane that has filled up again and has nothing
under way is as good as a new one, and is forgotten. Where none can be, a new key shares one of a few lanes
with others, drawn by its hash: that is stricter than a lane of its own, never more lenient.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from rosechute.load_balancing.interface import Bounds
from rosechute.proxy.core.ports import GO, REFUSE, WAIT, Asked, Verdict
from rosechute.sidecar.request_limits.budget import AttemptBudget, Share
from rosechute.sidecar.request_limits.rate import RateLimit

SHARED = 256  # lanes of a route that keys share once there is no room for more
LOOKS = 4  # lanes looked at for one that can be forgotten, each time one is made
MEAN_GAIN = 0.1  # weight of one more holding time in the mean
UNKNOWN = ""  # the lane of tenants that the settings do not name, and of requests without a key
Ready = list[tuple[str, Bounds | None]]


@dataclass(frozen=True, slots=True)
class Limits:
    """What holds for the requests of one route. Hollyport's `Rule`."""

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
        """Whether anything has to be counted lane by lane."""
        return bool(self.rate or self.max_in_flight or self.share)


class Lane:
    """What is counted together: one route's requests, or those of one tenant or key."""

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
        """Go by these limits from now on; what has been counted stays."""
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

    def spent(self, limits: Limits, now: int) -> bool:
        """Whether it differs from a new one."""
        if (
            self.in_flight
            or self.waiting
            or (limits.rate and limits.rate.left(self.full_at, now) < limits.rate.burst)
        ):
            return True
        return limits.share is not None and now - self.used < 2 * limits.share.window_ns


@dataclass(slots=True)
class Counts:
    """What became of one route's requests, since the process started."""

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


class Path:
    """One route at work: its limits, its lanes and its counts."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.lanes: OrderedDict[str, Lane] = OrderedDict()  # the one used longest ago first
        self.counts = Counts()
        self.mean_ns = 0.0  # how long a request is under way
        self.open = 0
        self.dropped = False  # no longer in the file; its open requests are still counted

    @property
    def waiting(self) -> int:
        return sum(len(lane.waiting) for lane in self.lanes.values())


class Held:
    """One open request: where it is counted."""

    __slots__ = ("path", "lane", "since", "waits")

    def __init__(self, path: Path, lane: Lane | None, since: int, waits: bool) -> None:
        self.path, self.lane, self.since, self.waits = path, lane, since, waits


class RouteLimiter:
    """All routes of one sidecar. Hollyport's `Limiter`."""

    def __init__(
        self,
        routes: Iterable[Limits],
        tenants: Iterable[str],
        most_lanes: int,
        longest_hold_off_ns: int,
        seed: int = 0,
    ) -> None:
        self._paths: dict[str, Path] = {}
        self._held: dict[str, Held] = {}
        self._lanes = 0
        self._salt = seed & 0xFFFFFFFF
        self.adopt(routes, tenants, most_lanes, longest_hold_off_ns, 0)

    # --- settings

    def adopt(
        self,
        routes: Iterable[Limits],
        tenants: Iterable[str],
        most_lanes: int,
        longest_hold_off_ns: int,
        now: int,
    ) -> None:
        """Go by another file from now on. A route keeps its counts and lanes by its name; one that is counted
        by something else from now on starts its lanes anew, and so does one that is gone: what is open or
        waits there ends as it would have."""
        self._tenants = tuple(tenants)
        self.most_lanes, self._longest = most_lanes, longest_hold_off_ns
        told = {limits.name: limits for limits in routes}
        for name, path in list(self._paths.items()):
            limits = told.get(name)
            if limits is None:
                path.dropped = True
                path.limits = Limits(name, path.limits.cls)  # no limits: those that wait may go
                for lane in path.lanes.values():
                    lane.adopt(path.limits, now)
                if not path.open:
                    self._forget(path)
            elif limits.limit_by != path.limits.limit_by:
                self._forget(path, keep_counts=True)
                path.limits, path.dropped = limits, False
            else:
                path.limits, path.dropped = limits, False
                for lane in path.lanes.values():
                    lane.adopt(limits, now)
        for name, limits in told.items():
            if name not in self._paths:
                self._paths[name] = Path(limits)

    def _forget(self, path: Path, keep_counts: bool = False) -> None:
        self._lanes -= len(path.lanes)
        path.lanes = OrderedDict()
        if not keep_counts:
            self._paths.pop(path.limits.name, None)

    # --- requests

    def asks(self, now: int, tid: str, asked: Asked) -> Verdict:
        """A request has come: it goes, waits or is refused."""
        rule = asked.rule
        path = self._paths.get(rule.name) if isinstance(rule, Limits) else None
        if path is None:
            return Verdict(GO, 0, rule.bounds if rule is not None else None)
        limits = path.limits
        path.counts.taken += 1
        if not limits.limited:
            self._hold(tid, Held(path, None, now, False))
            return Verdict(GO, 0, limits.bounds)
        lane = self._lane(now, path, self._scope(limits, asked))
        full = limits.max_in_flight and lane.in_flight >= limits.max_in_flight
        if full and len(lane.waiting) >= limits.max_waiting:
            path.counts.refused["in_flight"] += 1
            return Verdict(REFUSE, self._hold_off(self._next_place(path, lane)))
        rate = limits.rate
        if rate is not None:
            ready_in = rate.ready_in(lane.full_at, now)
            if ready_in:
                path.counts.refused["rate"] += 1
                return Verdict(REFUSE, self._hold_off(ready_in))
            lane.full_at = rate.taken(lane.full_at, now)
        if full or lane.waiting:  # nobody overtakes one that waits
            lane.waiting[tid] = None
            self._hold(tid, Held(path, lane, now, True))
            return Verdict(WAIT)
        lane.in_flight += 1
        self._hold(tid, Held(path, lane, now, False))
        if lane.budget is not None:
            lane.budget.first(now)
        return Verdict(GO, 0, lane.bounds)

    def ended(self, now: int, tid: str, ending: str = "gone") -> Ready:
        """A request has ended with "served", "refused", "failed" or "gone"; who of its lane may go now."""
        held = self._held.pop(tid, None)
        if held is None:
            return []
        path, lane = held.path, held.lane
        path.open -= 1
        if ending == "refused":
            path.counts.refused["waited" if held.waits else "module"] += 1
        else:
            path.counts.ends[ending] += 1
        ready: Ready = []
        if lane is not None:
            if held.waits:
                lane.waiting.pop(tid, None)
            else:
                lane.in_flight -= 1
                path.mean_ns += (now - held.since - path.mean_ns) * (MEAN_GAIN if path.mean_ns else 1.0)
            ready = self._let(now, path, lane)
        if path.dropped and not path.open:
            self._forget(path)
        return ready

    def released(self, now: int) -> Ready:
        """Who may go after limits were raised or routes dropped."""
        ready: Ready = []
        lanes = {id(held.lane): (held.path, held.lane) for held in self._held.values() if held.waits}
        for path, lane in lanes.values():
            if lane is not None:
                ready += self._let(now, path, lane)
        return ready

    def _hold(self, tid: str, held: Held) -> None:
        self._held[tid] = held
        held.path.open += 1

    def _let(self, now: int, path: Path, lane: Lane) -> Ready:
        """Let those that wait go, in order, as far as there are places."""
        ready: Ready = []
        most = path.limits.max_in_flight
        while lane.waiting and (not most or lane.in_flight < most):
            tid, _ = lane.waiting.popitem(last=False)
            held = self._held[tid]
            held.waits, held.since = False, now
            lane.in_flight += 1
            if lane.budget is not None:
                lane.budget.first(now)
            ready.append((tid, lane.bounds))
        return ready

    # --- lanes

    def _scope(self, limits: Limits, asked: Asked) -> str:
        if limits.limit_by == "tenant":
            return self._tenants[asked.tenant] if 0 <= asked.tenant < len(self._tenants) else UNKNOWN
        return asked.key if limits.limit_by == "key" else UNKNOWN

    def _lane(self, now: int, path: Path, scope: str) -> Lane:
        lane = path.lanes.get(scope)
        if lane is None:
            # A few looks each time are enough: as many lanes are looked at as are made, and more.
            for other in self._oldest(path):
                if not path.lanes[other].spent(path.limits, now):
                    del path.lanes[other]
                    self._lanes -= 1
            if self._lanes >= self.most_lanes and path.limits.limit_by == "key":
                # Not a key that can come in: a cookie has no control characters.
                scope = f"\0{crc32(scope.encode('utf-8', 'replace'), self._salt) % SHARED}"
                lane = path.lanes.get(scope)
            if lane is None:
                lane = path.lanes[scope] = Lane(scope, path.limits, now)
                self._lanes += 1
        path.lanes.move_to_end(scope)
        lane.used = now
        return lane

    @staticmethod
    def _oldest(path: Path) -> list[str]:
        found = []
        for scope in path.lanes:
            found.append(scope)
            if len(found) == LOOKS:
                break
        # One that can't be forgotten yet must not hide those behind it for good.
        for scope in found:
            if path.lanes[scope].in_flight or path.lanes[scope].waiting:
                path.lanes.move_to_end(scope)
        return found

    def _next_place(self, path: Path, lane: Lane) -> int:
        """About how long until a place is free in a lane that is full."""
        return int(path.mean_ns * (len(lane.waiting) + 1) / path.limits.max_in_flight)

    def _hold_off(self, in_ns: int) -> int:
        return min(in_ns, self._longest)

    # --- what shows

    def open_requests(self) -> int:
        """Requests that are counted now, under way or waiting."""
        return len(self._held)

    def lanes(self) -> int:
        """Lanes that are kept now."""
        return self._lanes

    def rows(self, now: int) -> Iterator[dict[str, Any]]:
        """Each route's figures, as plain data."""
        for name, path in self._paths.items():
            waiting = path.waiting
            budgets = [lane.budget for lane in path.lanes.values() if lane.budget is not None]
            rate = path.limits.rate
            yield {
                "route": name,
                "dropped": path.dropped,
                "taken": path.counts.taken,
                "in_flight": path.open - waiting,
                "waiting": waiting,
                "lanes": len(path.lanes),
                "refused": dict(path.counts.refused),
                "ended": dict(path.counts.ends),
                "budget_left": round(min((b.left(now) for b in budgets), default=0.0), 2) if budgets else None,
                "budget_denied": sum(b.denied for b in budgets) if budgets else None,
                "tokens_left": min((rate.left(lane.full_at, now) for lane in path.lanes.values()), default=rate.burst)
                if rate is not None
                else None,
                "mean_ms": round(path.mean_ns / 1e6, 3),
            }

    # --- for the process that takes over

    def told(self, now: int, most: int = 10_000) -> list[list[Any]]:
        """What lanes have spent, as plain data: route, lane, and for how long until its bucket is full."""
        found: list[list[Any]] = []
        for name, path in self._paths.items():
            for scope, lane in path.lanes.items():
                if path.limits.rate is not None and lane.full_at > now and len(found) < most:
                    found.append([name, scope, lane.full_at - now])
        return found

    def recall(self, now: int, state: Any) -> bool:
        """Take over what another process has told; False, and nothing is taken, where it can't be used."""
        try:
            spent = [(str(name), str(scope), int(ahead)) for name, scope, ahead in state]
        except (TypeError, ValueError):
            return False
        for name, scope, ahead in spent:
            path = self._paths.get(name)
            if path is None or path.limits.rate is None or not ahead > 0:
                continue
            if scope in path.lanes or self._lanes < self.most_lanes:
                lane = self._lane(now, path, scope)
                lane.full_at = max(lane.full_at, now + min(ahead, path.limits.rate.fill_ns))
        return True
