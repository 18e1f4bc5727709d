"""What holds in the end for each class and route, and where each value comes from. Pure."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from rosechute.load_balancing.interface import Bounds, How, RequestClass, Settings
from rosechute.sidecar.operator_configuration.spec import CAUSES, Budget, Class, File, Rate, Route
from rosechute.sidecar.operator_configuration.units import SECOND_NS, shown
from rosechute.sidecar.request_limits.budget import Share
from rosechute.sidecar.request_limits.limiter import Limits
from rosechute.sidecar.request_limits.rate import RateLimit, per_second
from rosechute.sidecar.route_matching.pattern import Pattern, parse
from rosechute.sidecar.route_matching.table import Match

HOWS = {
    "connect-failed": How.CONNECT_FAILED,
    "full": How.FULL,
    "reset": How.RESET,
    "error": How.ERROR,
    "timeout": How.TIMEOUT,
}
HARMLESS = ("connect-failed", "full")  # causes that prove that an attempt had no effect
CONNECT_NS = SECOND_NS // 4  # what a connect may take where nothing else is known


@dataclass(frozen=True, slots=True)
class Site:
    """What is known of the installation that a file is for. None where it is not known: a file that is
    checked by itself is checked as far as it goes."""

    classes: Mapping[str, RequestClass]
    tenants: tuple[str, ...] | None = None
    max_attempts: int | None = None
    second_copies: bool | None = None
    connect_timeout_ns: int = CONNECT_NS
    sockets: int | None = None
    memory_mb: int | None = None
    at_hand: bool = False
    """Whether these are platform settings, and not just defaults."""

    @classmethod
    def of(cls, settings: Settings, sockets: int | None = None, memory_mb: int | None = None) -> Site:
        """What platform settings tell."""
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


BARE = Site({})


@dataclass(frozen=True, slots=True)
class Value:
    """One value and where it comes from."""

    value: Any
    source: str

    def __str__(self) -> str:
        return "none" if self.value is None else str(self.value)


@dataclass(frozen=True, slots=True)
class Effective:
    """One route with all its values."""

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
        return self.route.name

    def limits(self) -> Limits:
        """The same for the limiter and the module."""
        route = self.route
        bounds = None
        if route.attempts or route.try_timeout or route.second_copy_after or route.retry_on is not None:
            bounds = Bounds(
                route.attempts or 0,
                int(route.try_timeout or 0),
                int(route.second_copy_after or 0),
                None if route.retry_on is None else frozenset(HOWS[cause] for cause in route.retry_on),
            )
        budget = route.retry_budget
        return Limits(
            route.name,
            self.cls.name,
            int(route.timeout or 0),
            bounds,
            None if budget is None else Share(budget.ratio, budget.min_per_s),
            None if route.rate is None else rate_of(route.rate),
            route.max_in_flight or 0,
            route.max_waiting or 0,
            route.limit_by,
        )

    def latest_repeat_ns(self, connect_ns: int) -> int:
        """How long after the first attempt the last one could be sent, at the worst.

        An attempt is over once its own time or the request's is up, connecting included; the next one is
        decided on at that moment, without a pause, and goes out once it has a connection. A second copy only
        brings attempts forward. Nothing is sent once the request's time is up.
        """
        attempts, timeout = int(self.attempts.value), int(self.timeout_ns.value)
        if attempts < 2:
            return 0
        one = min(int(self.try_ns.value or timeout), timeout)
        return min(timeout, (attempts - 1) * one + connect_ns)

    def rows(self) -> Iterator[tuple[str, str, str]]:
        """Key, value and source of all that holds."""
        cls = self.cls
        yield "class", cls.name, self.class_source
        window = f", key holds for {shown(cls.window_ns)}" if cls.repeat == "guarded" else ""
        yield "repeat", f"{cls.repeat}{window}", f"class {cls.name}"
        yield "deadline", shown(cls.deadline_ns), f"class {cls.name}"
        for key, value in (("timeout", self.timeout_ns), ("try_timeout", self.try_ns)):
            yield key, "none" if value.value is None else shown(value.value), value.source
        yield "attempts", str(self.attempts), self.attempts.source
        copy = self.copy_ns
        yield "second_copy_after", "none" if copy.value is None else shown(copy.value), copy.source
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
            "none" if rate is None else f"one in {shown(rate.interval_ns)}, {rate.burst} at once",
            self.rate.source,
        )
        yield "max_in_flight", str(self.max_in_flight), self.max_in_flight.source
        yield "max_waiting", str(self.max_waiting), self.max_waiting.source
        yield "limit_by", str(self.limit_by), self.limit_by.source


def rate_of(rate: Rate) -> RateLimit:
    """A rate as the limiter takes it."""
    if rate.per_s is not None:
        return per_second(rate.per_s, rate.burst)
    if rate.per_min is not None:
        return per_second(rate.per_min / 60, rate.burst)
    return per_second((rate.per_h or 0.0) / 3600, rate.burst)


def allowed_causes(cls: RequestClass) -> tuple[str, ...]:
    """After what a request of this class may be sent again."""
    return HARMLESS if cls.repeat == "single_shot" else CAUSES


def classes_of(file: File, site: Site) -> dict[str, RequestClass]:
    """The classes that hold: the platform's, made stricter where the file says so; the file's own where no
    platform settings are at hand. What can't be built from what is told is left out; the proof says why."""
    found = dict(site.classes)
    for told in file.class_:
        known = site.classes.get(told.name)
        if known is not None:
            found[told.name] = _stricter(known, told)
        elif not site.at_hand and told.deadline is not None and told.repeat is not None:
            deadline = int(told.deadline)
            found[told.name] = RequestClass(
                told.name,
                int(told.aim or deadline),
                deadline,
                repeat=told.repeat,
                group=told.group or "cell",
                window_ns=int(told.window or 0),
            )
    return found


def _stricter(known: RequestClass, told: Class) -> RequestClass:
    deadline = int(told.deadline or known.deadline_ns)
    return replace(
        known,
        repeat=told.repeat or known.repeat,
        deadline_ns=deadline,
        aim_ns=min(int(told.aim or known.aim_ns), deadline),
        group=told.group or known.group,
        window_ns=int(told.window or known.window_ns),
    )


def first_part(pattern: Pattern) -> str:
    """The first part of a path, which on the platform names the class."""
    part = pattern.parts[0] if pattern.parts else None
    return (part or b"").decode("latin-1")


def match_of(route: Route) -> Match:
    """Which requests a route is for; ValueError where its path is none."""
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


def effective(
    index: int, route: Route, match: Match, classes: Mapping[str, RequestClass], site: Site
) -> Effective | None:
    """One route with all its values; None where its class is not known."""
    name = route.class_ or first_part(match.pattern)
    cls = classes.get(name)
    if cls is None:
        return None
    at = f"route {route.name}"

    def own(key: str, value: Any, default: Any = None, source: str = "default") -> Value:
        return Value(value, f"{at}: {key}") if value is not None else Value(default, source)

    timeout = own("timeout", route.timeout, cls.deadline_ns, f"class {cls.name}: deadline")
    if timeout.value > cls.deadline_ns:
        timeout = Value(cls.deadline_ns, f"class {cls.name}: deadline")
    most = site.max_attempts if site.max_attempts is not None else 1
    source = "settings: limits.maxAttempts" if site.max_attempts is not None else "default, without settings"
    return Effective(
        index,
        route,
        match,
        cls,
        f"{at}: class" if route.class_ else "the path's first part",
        timeout,
        own("try_timeout", route.try_timeout),
        own("attempts", route.attempts, most, source),
        own("second_copy_after", route.second_copy_after),
        own("retry_on", route.retry_on, allowed_causes(cls), f"class {cls.name}: all it allows"),
        own("retry_budget", route.retry_budget),
        own("rate", None if route.rate is None else rate_of(route.rate)),
        own("max_in_flight", route.max_in_flight),
        own("max_waiting", route.max_waiting, 0),
        own("limit_by", None if route.limit_by == "route" else route.limit_by, "route"),
    )
