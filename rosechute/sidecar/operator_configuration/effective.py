"""Effective values of each class and route, with the source of each value. Pure functions, no I/O."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from rosechute.load_balancing.interface import Bounds, How, RequestClass, Settings
from rosechute.sidecar.operator_configuration.spec import CAUSES, Budget, Class, File, Rate, Route
from rosechute.sidecar.operator_configuration.units import SECOND_NS, format_duration
from rosechute.sidecar.request_limits.budget import Share
from rosechute.sidecar.request_limits.limiter import Limits
from rosechute.sidecar.request_limits.rate import RateLimit, per_second
from rosechute.sidecar.route_matching.pattern import Pattern, parse
from rosechute.sidecar.route_matching.table import Match

OUTCOME_BY_CAUSE = {
    "connect-failed": How.CONNECT_FAILED,
    "full": How.FULL,
    "reset": How.RESET,
    "error": How.ERROR,
    "timeout": How.TIMEOUT,
}
SAFE_CAUSES = ("connect-failed", "full")  # failures after which the server cannot have executed the request
DEFAULT_CONNECT_TIMEOUT_NS = SECOND_NS // 4  # connect timeout assumed without platform settings


@dataclass(frozen=True, slots=True)
class Site:
    """Known properties of the installation that a file is checked against.

    A field is None where the property is unknown; checks that need it are then skipped.
    """

    classes: Mapping[str, RequestClass]
    tenants: tuple[str, ...] | None = None
    max_attempts: int | None = None
    second_copies: bool | None = None
    connect_timeout_ns: int = DEFAULT_CONNECT_TIMEOUT_NS
    sockets: int | None = None
    memory_mb: int | None = None
    has_platform_settings: bool = False
    """Whether the values come from platform settings rather than defaults."""

    @classmethod
    def from_settings(cls, settings: Settings, sockets: int | None = None, memory_mb: int | None = None) -> Site:
        """Return the site described by platform settings."""
        limits = settings.limits
        return cls(
            {c.name: c for c in settings.classes},
            tuple(t.name for t in settings.tenants),
            limits.max_attempts,
            limits.second_copies,
            limits.connect_timeout_ns,
            sockets,
            memory_mb,
            True,
        )


UNKNOWN_SITE = Site({})


@dataclass(frozen=True, slots=True)
class Value:
    """A value with a description of its source."""

    value: Any
    source: str

    def __str__(self) -> str:
        return "none" if self.value is None else str(self.value)


@dataclass(frozen=True, slots=True)
class Effective:
    """A route with all its effective values."""

    index: int
    route: Route
    match: Match
    cls: RequestClass
    class_source: str
    timeout_ns: Value
    try_ns: Value
    attempts: Value
    copy_ns: Value
    retry_on: Value
    budget: Value
    rate: Value
    max_in_flight: Value
    max_waiting: Value
    limit_by: Value

    @property
    def name(self) -> str:
        """Return the name of the route."""
        return self.route.name

    def limits(self) -> Limits:
        """Return the limits that the route limiter and the load balancer apply to this route."""
        route = self.route
        bounds = None
        if route.attempts or route.try_timeout or route.second_copy_after or route.retry_on is not None:
            bounds = Bounds(
                route.attempts or 0,
                int(route.try_timeout or 0),
                int(route.second_copy_after or 0),
                None if route.retry_on is None else frozenset(OUTCOME_BY_CAUSE[cause] for cause in route.retry_on),
            )
        budget = route.retry_budget
        return Limits(
            route.name,
            self.cls.name,
            int(route.timeout or 0),
            bounds,
            None if budget is None else Share(budget.ratio, budget.min_per_s),
            None if route.rate is None else token_bucket(route.rate),
            route.max_in_flight or 0,
            route.max_waiting or 0,
            route.limit_by,
        )

    def latest_retry_ns(self, connect_ns: int) -> int:
        """Return the longest possible time in nanoseconds from sending the first attempt to sending the last one.

        An attempt ends when its own timeout or that of the request expires, connecting included. The next
        attempt starts at once, without a backoff, and is sent when its connection is established. A second
        copy only makes attempts start earlier. Nothing is sent after the request's timeout.
        """
        attempts, timeout = int(self.attempts.value), int(self.timeout_ns.value)
        if attempts < 2:
            return 0
        one = min(int(self.try_ns.value or timeout), timeout)
        return min(timeout, (attempts - 1) * one + connect_ns)

    def rows(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, formatted value and source of each effective value."""
        cls = self.cls
        yield "class", cls.name, self.class_source
        window = f", key holds for {format_duration(cls.window_ns)}" if cls.repeat == "guarded" else ""
        yield "repeat", f"{cls.repeat}{window}", f"class {cls.name}"
        yield "deadline", format_duration(cls.deadline_ns), f"class {cls.name}"
        for key, value in (("timeout", self.timeout_ns), ("try_timeout", self.try_ns)):
            yield key, "none" if value.value is None else format_duration(value.value), value.source
        yield "attempts", str(self.attempts), self.attempts.source
        copy = self.copy_ns
        yield "second_copy_after", "none" if copy.value is None else format_duration(copy.value), copy.source
        yield "retry_on", ", ".join(self.retry_on.value) or "none", self.retry_on.source
        budget: Budget | None = self.budget.value
        yield (
            "retry_budget",
            "none" if budget is None else f"{budget.ratio:g} of first attempts, and {budget.min_per_s:g} a second",
            self.budget.source,
        )
        rate: RateLimit | None = self.rate.value
        yield (
            "rate",
            "none" if rate is None else f"one in {format_duration(rate.interval_ns)}, {rate.burst} at once",
            self.rate.source,
        )
        yield "max_in_flight", str(self.max_in_flight), self.max_in_flight.source
        yield "max_waiting", str(self.max_waiting), self.max_waiting.source
        yield "limit_by", str(self.limit_by), self.limit_by.source


def token_bucket(rate: Rate) -> RateLimit:
    """Return the token bucket for a configured rate."""
    if rate.per_s is not None:
        return per_second(rate.per_s, rate.burst)
    if rate.per_min is not None:
        return per_second(rate.per_min / 60, rate.burst)
    return per_second((rate.per_h or 0.0) / 3600, rate.burst)


def allowed_causes(cls: RequestClass) -> tuple[str, ...]:
    """Return the failure causes after which a request of this class may be retried."""
    return SAFE_CAUSES if cls.repeat == "single_shot" else CAUSES


def effective_classes(file: File, site: Site) -> dict[str, RequestClass]:
    """Return the effective request classes by name.

    These are the platform's classes with the stricter values of the file, or the file's own classes where no
    platform settings are available. Incomplete classes are left out; `check_class_complete` reports them.
    """
    found = dict(site.classes)
    for configured in file.class_:
        known = site.classes.get(configured.name)
        if known is not None:
            found[configured.name] = _stricter(known, configured)
        elif not site.has_platform_settings and configured.deadline is not None and configured.repeat is not None:
            deadline = int(configured.deadline)
            found[configured.name] = RequestClass(
                configured.name,
                int(configured.aim or deadline),
                deadline,
                repeat=configured.repeat,
                group=configured.group or "cell",
                window_ns=int(configured.window or 0),
            )
    return found


def _stricter(known: RequestClass, configured: Class) -> RequestClass:
    deadline = int(configured.deadline or known.deadline_ns)
    return replace(
        known,
        repeat=configured.repeat or known.repeat,
        deadline_ns=deadline,
        aim_ns=min(int(configured.aim or known.aim_ns), deadline),
        group=configured.group or known.group,
        window_ns=int(configured.window or known.window_ns),
    )


def first_segment(pattern: Pattern) -> str:
    """Return the first segment of a path, which on the platform names the request class."""
    part = pattern.parts[0] if pattern.parts else None
    return (part or b"").decode("latin-1")


def match_condition(route: Route) -> Match:
    """Return the match condition of a route; raise ValueError if its path is invalid."""
    headers = tuple(
        sorted(
            (name.lower().encode("latin-1", "replace"), value.encode("latin-1", "replace"))
            for name, value in route.headers.items()
        )
    )
    return Match(
        parse(route.path),
        route.method.encode() if route.method else None,
        route.tenant.encode("utf-8", "replace") if route.tenant is not None else None,
        headers,
    )


def resolve_route(
    index: int, route: Route, match: Match, classes: Mapping[str, RequestClass], site: Site
) -> Effective | None:
    """Return a route with all its effective values, or None if its class is unknown."""
    name = route.class_ or first_segment(match.pattern)
    cls = classes.get(name)
    if cls is None:
        return None
    at = f"route {route.name}"

    def value_or_default(key: str, value: Any, default: Any = None, source: str = "default") -> Value:
        return Value(value, f"{at}: {key}") if value is not None else Value(default, source)

    timeout = value_or_default("timeout", route.timeout, cls.deadline_ns, f"class {cls.name}: deadline")
    if timeout.value > cls.deadline_ns:
        timeout = Value(cls.deadline_ns, f"class {cls.name}: deadline")
    attempts_limit = site.max_attempts if site.max_attempts is not None else 1
    source = "settings: limits.maxAttempts" if site.max_attempts is not None else "default, without settings"
    return Effective(
        index,
        route,
        match,
        cls,
        f"{at}: class" if route.class_ else "the path's first part",
        timeout,
        value_or_default("try_timeout", route.try_timeout),
        value_or_default("attempts", route.attempts, attempts_limit, source),
        value_or_default("second_copy_after", route.second_copy_after),
        value_or_default("retry_on", route.retry_on, allowed_causes(cls), f"class {cls.name}: all it allows"),
        value_or_default("retry_budget", route.retry_budget),
        value_or_default("rate", None if route.rate is None else token_bucket(route.rate)),
        value_or_default("max_in_flight", route.max_in_flight),
        value_or_default("max_waiting", route.max_waiting, 0),
        value_or_default("limit_by", None if route.limit_by == "route" else route.limit_by, "route"),
    )
