"""Safety checks of a configuration file at load time.

An accepted file cannot break the rules on retries, final answers or deadlines. The checks are pure functions;
each yields all its problems, so that the author of the file sees them at once. `CHECKS` lists the checks; the
tests show that each one is needed by leaving it out.

The rules, under the names that problem reports use:

- *one final answer*: each accepted request gets exactly one answer, before its client times out;
- *no effect doubled*: a request that may have been executed is only retried as its class allows;
- *limits of the site*: the platform settings and the limits of the process are respected.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from rosechute.load_balancing.interface import RequestClass
from rosechute.proxy.core.flow import MEMORY_OVERHEAD, PROGRAM_MB
from rosechute.proxy.core.shares import MARGIN_NS, descriptors
from rosechute.sidecar.operator_configuration.effective import (
    SAFE_CAUSES,
    Effective,
    Site,
    allowed_causes,
    effective_classes,
    first_segment,
    match_condition,
    resolve_route,
)
from rosechute.sidecar.operator_configuration.problems import FileError, Problem, format_value, nearest
from rosechute.sidecar.operator_configuration.reading import line_of
from rosechute.sidecar.operator_configuration.spec import GROUPS, REPEATS, File
from rosechute.sidecar.operator_configuration.units import MAX_DURATION_NS, format_duration
from rosechute.sidecar.route_matching.table import Match, Table, ambiguous

MIN_TIMEOUT_NS = (
    2 * MARGIN_NS
)  # half is reserved for returning the answer; a shorter timeout leaves the server no time
OPEN_REQUEST_BYTES = 16 * 1024  # memory of one open request and its connection
LANE_BYTES = 1024  # memory of one lane of the route limiter
MAX_LANES = 65_536
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
UNMATCHABLE_HEADERS = frozenset(
    {"content-length", "transfer-encoding", "connection", "host", "x-request-id", "x-timeout"}
)


class CheckedFile(NamedTuple):
    """An accepted file with its effective classes and routes."""

    file: File
    classes: Mapping[str, RequestClass]
    routes: tuple[Effective, ...]

    def table(self) -> Table[Effective]:
        """Return the routing table."""
        return Table((route.match, route) for route in self.routes)


class CheckContext(NamedTuple):
    """The input of the checks: the parsed file and the values resolved from it."""

    file: File
    site: Site
    classes: Mapping[str, RequestClass]
    matches: Mapping[int, Match]
    """Match conditions by index of the route in the file; routes with an invalid path are left out."""
    routes: tuple[Effective, ...]


Check = Callable[[CheckContext], Iterator[Problem]]


def prove(
    file: File, site: Site, lines: Mapping[str, int] | None = None, checks: tuple[Check, ...] | None = None
) -> CheckedFile:
    """Run all checks on a file.

    Raise FileError with every problem, in the order of the file.
    """
    classes = effective_classes(file, site)
    matches: dict[int, Match] = {}
    problems: list[Problem] = []
    for i, route in enumerate(file.route):
        try:
            matches[i] = match_condition(route)
        except ValueError as error:
            problems.append(Problem(f"route[{i}].path", route.path, str(error)))
    routes = tuple(
        found
        for i, match in matches.items()
        if (found := resolve_route(i, file.route[i], match, classes, site)) is not None
    )
    context = CheckContext(file, site, classes, matches, routes)
    for check in CHECKS if checks is None else checks:
        problems += check(context)
    if problems:
        configured = [p._replace(line=line_of(p.path, dict(lines or {}))) for p in problems]
        raise FileError(sorted(configured, key=lambda p: (p.line, p.path)))
    return CheckedFile(file, classes, routes)


def max_lanes(memory_mb: int) -> int:
    """Return the maximum number of limiter lanes for a process with this memory limit in MB."""
    return min(MAX_LANES, max(1024, (memory_mb - PROGRAM_MB) * (1 << 20) // 8 // LANE_BYTES))


# --- classes


def check_class_names(context: CheckContext) -> Iterator[Problem]:
    """Check that class names are unique and known to the platform."""
    seen: dict[str, int] = {}
    for i, configured in enumerate(context.file.class_):
        at = f"class[{i}].name"
        if configured.name in seen:
            yield Problem(at, configured.name, f"class[{seen[configured.name]}] has the same name")
        seen.setdefault(configured.name, i)
        if context.site.has_platform_settings and configured.name not in context.site.classes:
            yield Problem(
                at,
                configured.name,
                f"the platform's settings define no such class{nearest(configured.name, context.site.classes)}",
            )


def check_class_complete(context: CheckContext) -> Iterator[Problem]:
    """Check that classes are fully specified where no platform settings are available."""
    if context.site.has_platform_settings:
        return
    for i, configured in enumerate(context.file.class_):
        for key in ("repeat", "deadline"):
            if getattr(configured, key) is None:
                yield Problem(
                    f"class[{i}].{key}", None, "it is missing, and there are no platform settings to take it from"
                )
        if configured.repeat == "guarded" and configured.window is None:
            yield Problem(
                f"class[{i}].window",
                None,
                "a guarded class must set how long its key is valid (no effect doubled)",
            )
        if configured.aim is not None and configured.deadline is not None and configured.aim > configured.deadline:
            yield Problem(f"class[{i}].aim", configured.aim, f"it is after the deadline of {configured.deadline}")


def check_class_stricter(context: CheckContext) -> Iterator[Problem]:
    """Check that no class is less strict than the platform's class of the same name."""
    for i, configured in enumerate(context.file.class_):
        known = context.site.classes.get(configured.name)
        if known is None:
            continue
        at = f"class[{i}]"
        if configured.repeat is not None and configured.repeat != known.repeat:
            if REPEATS.index(configured.repeat) < REPEATS.index(known.repeat):
                yield Problem(
                    f"{at}.repeat",
                    configured.repeat,
                    f"the platform sets {known.repeat}, and a file may only be stricter (no effect doubled)",
                )
            elif configured.repeat == "guarded":
                yield Problem(
                    f"{at}.repeat",
                    configured.repeat,
                    "requests of this class carry no idempotency key (no effect doubled)",
                )
        for key, mine, theirs, rule in (
            ("deadline", configured.deadline, known.deadline_ns, "the client's timeout: one final answer"),
            ("aim", configured.aim, known.aim_ns, "limits of the site"),
            ("window", configured.window, known.window_ns, "no effect doubled"),
        ):
            if mine is not None and mine > theirs:
                yield Problem(
                    f"{at}.{key}",
                    mine,
                    f"the platform sets {format_duration(theirs)}, and a file may only be stricter ({rule})",
                )
        if (
            configured.group is not None
            and known.repeat == "guarded"
            and GROUPS.index(configured.group) < GROUPS.index(known.group)
        ):
            yield Problem(
                f"{at}.group",
                configured.group,
                f"the platform sets {known.group}: a key is not known outside it (no effect doubled)",
            )
        deadline = configured.deadline or known.deadline_ns
        if configured.aim is not None and configured.aim > deadline:
            yield Problem(f"{at}.aim", configured.aim, f"it is after the deadline of {format_duration(deadline)}")


# --- matching


def check_route_names(context: CheckContext) -> Iterator[Problem]:
    """Check that route names are unique."""
    seen: dict[str, int] = {}
    for i, route in enumerate(context.file.route):
        if route.name in seen:
            yield Problem(f"route[{i}].name", route.name, f"route[{seen[route.name]}] has the same name")
        seen.setdefault(route.name, i)


def check_route_class(context: CheckContext) -> Iterator[Problem]:
    """Check that the class of each route is known, whether set explicitly or taken from the path."""
    for i, match in context.matches.items():
        route = context.file.route[i]
        first = first_segment(match.pattern)
        if route.class_ is None:
            if first not in context.classes:
                yield Problem(
                    f"route[{i}].path",
                    route.path,
                    f"it can never match: its first segment names no class{nearest(first, context.classes)}",
                )
        elif route.class_ not in context.classes:
            yield Problem(
                f"route[{i}].class", route.class_, f"there is no such class{nearest(route.class_, context.classes)}"
            )


def check_path_class(context: CheckContext) -> Iterator[Problem]:
    """Check that a path whose first segment names a class keeps that class.

    Otherwise a route could give single-shot requests, such as `hold-desk`, a class that allows repeats.
    """
    for i, match in context.matches.items():
        route = context.file.route[i]
        first = first_segment(match.pattern)
        if route.class_ is not None and first in context.classes and first != route.class_:
            yield Problem(
                f"route[{i}].class",
                route.class_,
                f"requests below /{first} are of the class "
                f"{first!r}, and no route can give them another (no effect doubled)",
            )


def check_reachable(context: CheckContext) -> Iterator[Problem]:
    """Check that some valid request can match each route."""
    for found in context.routes:
        route, at = found.route, f"route[{found.index}]"
        if first_segment(found.match.pattern) == "-":
            yield Problem(f"{at}.path", route.path, "it can never match: /-/ is reserved for the sidecar")
        form = context.site.classes.get(found.cls.name, found.cls)
        method = "GET" if form.repeat == "free" else "POST"
        if route.method is not None and route.method != method:
            yield Problem(
                f"{at}.method",
                route.method,
                f"it can never match: requests of the class "
                f"{form.name!r}, which is {form.repeat}, are sent with {method}",
            )


def check_ambiguous(context: CheckContext) -> Iterator[Problem]:
    """Check that of two routes that match the same request one is more specific."""
    places = list(context.matches)
    for one, two in ambiguous([context.matches[i] for i in places]):
        first, second = places[one], places[two]
        name = context.file.route[first].name
        yield Problem(
            f"route[{second}]",
            context.file.route[second].name,
            f"a request could match both this and route[{first}] ({name!r}), and neither is the more "
            "specific; name a method, a tenant or one more header in one of them",
        )


def check_headers(context: CheckContext) -> Iterator[Problem]:
    """Check that header conditions can be met."""
    for i, route in enumerate(context.file.route):
        seen: set[str] = set()
        for name, value in route.headers.items():
            at = f"route[{i}].headers.{name}"
            if HEADER_NAME.fullmatch(name) is None:
                yield Problem(at, value, "this is not a valid header name")
            elif name.lower() in UNMATCHABLE_HEADERS:
                yield Problem(at, value, "routes cannot match on this header: it is specific to a single request")
            elif name.lower() in seen:
                yield Problem(at, value, "the same header is listed twice")
            if not value.isascii() or not value.isprintable() or value != value.strip():
                yield Problem(
                    at,
                    value,
                    "it can never match: a header's value is printable ASCII without leading or trailing spaces",
                )
            seen.add(name.lower())


def check_tenants(context: CheckContext) -> Iterator[Problem]:
    """Check that the settings define all named tenants."""
    tenants = context.site.tenants
    if tenants is None:
        return
    for i, route in enumerate(context.file.route):
        if route.tenant is not None and route.tenant not in tenants:
            yield Problem(
                f"route[{i}].tenant",
                route.tenant,
                f"the settings define no such tenant{nearest(route.tenant, tenants)}",
            )
        if route.limit_by == "tenant" and not tenants:
            yield Problem(f"route[{i}].limit_by", "tenant", "the settings define no tenants")


# --- time


def check_timeout(context: CheckContext) -> Iterator[Problem]:
    """Check that timeouts expire before the client's deadline and leave the server enough time."""
    for found in context.routes:
        configured, at = found.route.timeout, f"route[{found.index}].timeout"
        if configured is None:
            continue
        known = context.site.classes.get(found.cls.name)
        if known is not None and configured > known.deadline_ns:
            yield Problem(
                at,
                configured,
                f"clients of the class {known.name!r} give up after {format_duration(known.deadline_ns)} "
                "(one final answer)",
            )
        elif configured > found.cls.deadline_ns:
            yield Problem(
                at,
                configured,
                f"the deadline of the class {found.cls.name!r} is {format_duration(found.cls.deadline_ns)} "
                "(one final answer)",
            )
        if configured < MIN_TIMEOUT_NS:
            yield Problem(
                at,
                configured,
                f"it leaves the server no time: {format_duration(MARGIN_NS)} of it are reserved for returning "
                f"the answer, and the minimum is {format_duration(MIN_TIMEOUT_NS)}",
            )


def check_try_timeout(context: CheckContext) -> Iterator[Problem]:
    """Check that the timeout of an attempt does not exceed that of the request."""
    for found in context.routes:
        configured = found.route.try_timeout
        if configured is not None and configured > found.timeout_ns.value:
            yield Problem(
                f"route[{found.index}].try_timeout",
                configured,
                f"one attempt cannot take longer than the request, which has "
                f"{format_duration(found.timeout_ns.value)} by {found.timeout_ns.source}",
            )


# --- retries


def check_attempts(context: CheckContext) -> Iterator[Problem]:
    """Check the number of attempts, and that no retry option is set for a route without retries."""
    most = context.site.max_attempts
    for found in context.routes:
        route, at = found.route, f"route[{found.index}]"
        if most is not None and route.attempts is not None and route.attempts > most:
            yield Problem(
                f"{at}.attempts", route.attempts, f"the settings allow {most} in total (limits of the site)"
            )
        if route.attempts == 1:
            for key in ("second_copy_after", "retry_on", "retry_budget"):
                if getattr(route, key) is not None:
                    yield Problem(
                        f"{at}.{key}",
                        getattr(route, key) if key != "retry_budget" else None,
                        "it has no effect with attempts = 1",
                    )


def check_causes(context: CheckContext) -> Iterator[Problem]:
    """Check that single-shot requests are only retried after failures without any effect."""
    for found in context.routes:
        configured = found.route.retry_on
        wrong = [cause for cause in configured or () if cause not in allowed_causes(found.cls)]
        if wrong:
            yield Problem(
                f"route[{found.index}].retry_on",
                list(configured or ()),
                f"after {' or '.join(wrong)} a request of the class {found.cls.name!r} may have run, "
                f"and single_shot must never run twice; only {' and '.join(SAFE_CAUSES)} prove that it "
                "has not (no effect doubled)",
            )


def check_copies(context: CheckContext) -> Iterator[Problem]:
    """Check that second copies are only set where the class allows concurrent execution."""
    for found in context.routes:
        route, cls, at = found.route, found.cls, f"route[{found.index}].second_copy_after"
        configured = route.second_copy_after
        if configured is None:
            continue
        if cls.repeat == "single_shot":
            yield Problem(
                at,
                configured,
                f"a second copy of the class {cls.name!r} could run beside the first, and "
                "single_shot must never run twice (no effect doubled)",
            )
        elif context.site.second_copies is False:
            yield Problem(at, configured, "the settings allow no second copies (limits of the site)")
        limit = min(int(found.try_ns.value or MAX_DURATION_NS), int(found.timeout_ns.value))
        if configured >= limit:
            yield Problem(
                at, configured, f"there would never be a second copy: an attempt ends after {format_duration(limit)}"
            )


def check_window(context: CheckContext) -> Iterator[Problem]:
    """Check that the last retry of a guarded request is sent while its key is still valid."""
    connect = context.site.connect_timeout_ns
    for found in context.routes:
        cls = found.cls
        latest = found.latest_retry_ns(connect)
        if cls.repeat != "guarded" or latest <= cls.window_ns:
            continue
        route, at = found.route, f"route[{found.index}]"
        key, value = next(
            (
                (key, configured)
                for key, configured in (
                    ("try_timeout", route.try_timeout),
                    ("attempts", route.attempts),
                    ("timeout", route.timeout),
                )
                if configured is not None
            ),
            ("name", route.name),
        )
        yield Problem(
            f"{at}.{key}",
            value,
            f"attempt {found.attempts} could be sent {format_duration(latest)} after the first, connecting "
            f"included, {format_duration(latest - cls.window_ns)} past the window of "
            f"{format_duration(cls.window_ns)} in which the key of {cls.name!r} is valid (no effect doubled)",
        )


# --- limits


def check_limits(context: CheckContext) -> Iterator[Problem]:
    """Check that concurrency limits have an effect and fit the process's descriptors and memory."""
    sockets, memory = context.site.sockets, context.site.memory_mb
    for i, route in enumerate(context.file.route):
        at = f"route[{i}]"
        flight, waiting = route.max_in_flight or 0, route.max_waiting or 0
        if waiting and not flight:
            yield Problem(f"{at}.max_waiting", waiting, "without max_in_flight no request ever waits")
        if sockets is not None and flight:
            clients, servers = descriptors(sockets)
            if flight > servers:
                yield Problem(
                    f"{at}.max_in_flight",
                    flight,
                    f"of {sockets} descriptors {servers} are for "
                    "connections to servers: it could never be reached (limits of the site)",
                )
            elif flight + waiting > clients:
                yield Problem(
                    f"{at}.max_waiting",
                    waiting,
                    f"of {sockets} descriptors {clients} are for "
                    f"clients: {flight} in flight and {waiting} waiting do not fit (limits of the "
                    "site)",
                )
        if memory is not None and flight:
            room = max(0, memory - PROGRAM_MB) * (1 << 20) // MEMORY_OVERHEAD
            need = (flight + waiting) * OPEN_REQUEST_BYTES
            if need > room:
                yield Problem(
                    f"{at}.{'max_waiting' if waiting else 'max_in_flight'}",
                    waiting or flight,
                    f"so many open requests take about {need >> 20} MB, and of {memory} MB "
                    f"{room >> 20} are there for them (limits of the site)",
                )


def check_rates(context: CheckContext) -> Iterator[Problem]:
    """Check that a token bucket refills within a year and lets at least one request a day through."""
    for i, route in enumerate(context.file.route):
        rate = route.rate
        if rate is None:
            continue
        per_day = (rate.per_s or 0) * 86_400 + (rate.per_min or 0) * 1440 + (rate.per_h or 0) * 24
        if per_day * 366 < rate.burst or per_day < 1:
            yield Problem(
                f"route[{i}].rate",
                format_value(
                    {
                        k: v
                        for k, v in (
                            ("per_s", rate.per_s),
                            ("per_min", rate.per_min),
                            ("per_h", rate.per_h),
                            ("burst", rate.burst),
                        )
                        if v is not None
                    }
                ),
                "the bucket would refill too slowly: the minimum is one request a day and a full bucket in a year",
            )


CHECKS: tuple[Check, ...] = (
    check_class_names,
    check_class_complete,
    check_class_stricter,
    check_route_names,
    check_route_class,
    check_path_class,
    check_reachable,
    check_ambiguous,
    check_headers,
    check_tenants,
    check_timeout,
    check_try_timeout,
    check_attempts,
    check_causes,
    check_copies,
    check_window,
    check_limits,
    check_rates,
)
