"""The proof at load: no file that is taken lets anything break the rules on repeats, final answers or time.

Pure. Each check yields all that it finds, so that a file's author sees everything at once. `CHECKS` lists
them; the tests show that each is needed by leaving it out.

The rules, as the reasons name them:

- *one final answer*: all that is taken gets exactly one, before the client gives up;
- *no effect doubled*: nothing that may have run is sent again but as its class allows;
- *limits of the site*: what the platform's settings and the process's own limits allow.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from rosechute.load_balancing.interface import RequestClass
from rosechute.proxy.core.flow import PROGRAM_MB, SLACK
from rosechute.proxy.core.shares import MARGIN_NS, descriptors
from rosechute.sidecar.operator_configuration.effective import (
    HARMLESS,
    Effective,
    Site,
    allowed_causes,
    classes_of,
    effective,
    first_part,
    match_of,
)
from rosechute.sidecar.operator_configuration.problems import FileError, Problem, brief, nearest
from rosechute.sidecar.operator_configuration.reading import line_of
from rosechute.sidecar.operator_configuration.spec import GROUPS, REPEATS, File
from rosechute.sidecar.operator_configuration.units import LONGEST_NS, shown
from rosechute.sidecar.route_matching.table import Match, Table, ambiguous

LEAST_NS = 2 * MARGIN_NS  # a shorter time leaves a server nothing
OPEN_BYTES = 16 * 1024  # memory of one open request with its connection
LANE_BYTES = 1024  # and of one lane
MOST_LANES = 65_536
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FRAMING = frozenset({"content-length", "transfer-encoding", "connection", "host", "x-request-id", "x-timeout"})


class Proven(NamedTuple):
    """A file that may be taken: what holds, ready to be used."""

    file: File
    classes: Mapping[str, RequestClass]
    routes: tuple[Effective, ...]

    def table(self) -> Table[Effective]:
        """The look-up."""
        return Table((route.match, route) for route in self.routes)


class Case(NamedTuple):
    """What the checks look at: everything that could be made sense of."""

    file: File
    site: Site
    classes: Mapping[str, RequestClass]
    matches: Mapping[int, Match]
    """By place in the file; routes whose path is none are not among them."""
    routes: tuple[Effective, ...]


Check = Callable[[Case], Iterator[Problem]]


def prove(
    file: File, site: Site, lines: Mapping[str, int] | None = None, checks: tuple[Check, ...] | None = None
) -> Proven:
    """Check a file whole; raise FileError with every problem, in the order of the file."""
    classes = classes_of(file, site)
    matches: dict[int, Match] = {}
    problems: list[Problem] = []
    for i, route in enumerate(file.route):
        try:
            matches[i] = match_of(route)
        except ValueError as error:
            problems.append(Problem(f"route[{i}].path", route.path, str(error)))
    routes = tuple(
        found
        for i, match in matches.items()
        if (found := effective(i, file.route[i], match, classes, site)) is not None
    )
    case = Case(file, site, classes, matches, routes)
    for check in CHECKS if checks is None else checks:
        problems += check(case)
    if problems:
        told = [p._replace(line=line_of(p.path, dict(lines or {}))) for p in problems]
        raise FileError(sorted(told, key=lambda p: (p.line, p.path)))
    return Proven(file, classes, routes)


def most_lanes(memory_mb: int) -> int:
    """How many lanes a process of this size may keep."""
    return min(MOST_LANES, max(1024, (memory_mb - PROGRAM_MB) * (1 << 20) // 8 // LANE_BYTES))


# --- classes


def check_class_names(case: Case) -> Iterator[Problem]:
    """Each class once, and only classes that there are."""
    seen: dict[str, int] = {}
    for i, told in enumerate(case.file.class_):
        at = f"class[{i}].name"
        if told.name in seen:
            yield Problem(at, told.name, f"class[{seen[told.name]}] has the same name")
        seen.setdefault(told.name, i)
        if case.site.at_hand and told.name not in case.site.classes:
            yield Problem(
                at, told.name, f"the platform's settings have no such class{nearest(told.name, case.site.classes)}"
            )


def check_class_whole(case: Case) -> Iterator[Problem]:
    """Where no platform settings are at hand, a class must say all that matters itself."""
    if case.site.at_hand:
        return
    for i, told in enumerate(case.file.class_):
        for key in ("repeat", "deadline"):
            if getattr(told, key) is None:
                yield Problem(
                    f"class[{i}].{key}", None, "it is missing, and no platform settings are at hand to take it from"
                )
        if told.repeat == "guarded" and told.window is None:
            yield Problem(
                f"class[{i}].window",
                None,
                "a guarded class needs to say for how long its key holds (no effect doubled)",
            )
        if told.aim is not None and told.deadline is not None and told.aim > told.deadline:
            yield Problem(f"class[{i}].aim", told.aim, f"it is after the deadline of {told.deadline}")


def check_class_stricter(case: Case) -> Iterator[Problem]:
    """A class may only be stricter than the platform's."""
    for i, told in enumerate(case.file.class_):
        known = case.site.classes.get(told.name)
        if known is None:
            continue
        at = f"class[{i}]"
        if told.repeat is not None and told.repeat != known.repeat:
            if REPEATS.index(told.repeat) < REPEATS.index(known.repeat):
                yield Problem(
                    f"{at}.repeat",
                    told.repeat,
                    f"the platform has it as {known.repeat}, and a file may only be stricter (no effect doubled)",
                )
            elif told.repeat == "guarded":
                yield Problem(
                    f"{at}.repeat",
                    told.repeat,
                    "requests of this class carry no key that could guard a repeat (no effect doubled)",
                )
        for key, mine, theirs, rule in (
            ("deadline", told.deadline, known.deadline_ns, "the client's give-up time: one final answer"),
            ("aim", told.aim, known.aim_ns, "limits of the site"),
            ("window", told.window, known.window_ns, "no effect doubled"),
        ):
            if mine is not None and mine > theirs:
                yield Problem(
                    f"{at}.{key}", mine, f"the platform has {shown(theirs)}, and a file may only be stricter ({rule})"
                )
        if (
            told.group is not None
            and known.repeat == "guarded"
            and GROUPS.index(told.group) < GROUPS.index(known.group)
        ):
            yield Problem(
                f"{at}.group",
                told.group,
                f"the platform has {known.group}: a key is known there and nowhere else (no effect doubled)",
            )
        deadline = told.deadline or known.deadline_ns
        if told.aim is not None and told.aim > deadline:
            yield Problem(f"{at}.aim", told.aim, f"it is after the deadline of {shown(deadline)}")


# --- which requests


def check_route_names(case: Case) -> Iterator[Problem]:
    """Each route once."""
    seen: dict[str, int] = {}
    for i, route in enumerate(case.file.route):
        if route.name in seen:
            yield Problem(f"route[{i}].name", route.name, f"route[{seen[route.name]}] has the same name")
        seen.setdefault(route.name, i)


def check_route_class(case: Case) -> Iterator[Problem]:
    """The class of a route is known, and is the one that the path itself names."""
    for i, match in case.matches.items():
        route = case.file.route[i]
        first = first_part(match.pattern)
        if route.class_ is None:
            if first not in case.classes:
                yield Problem(
                    f"route[{i}].path",
                    route.path,
                    f"it can never match: its first part names no class{nearest(first, case.classes)}",
                )
        elif route.class_ not in case.classes:
            yield Problem(
                f"route[{i}].class", route.class_, f"there is no such class{nearest(route.class_, case.classes)}"
            )


def check_path_class(case: Case) -> Iterator[Problem]:
    """A path whose first part names a class keeps that class: else `hold-desk` could pass for a class that
    may run twice."""
    for i, match in case.matches.items():
        route = case.file.route[i]
        first = first_part(match.pattern)
        if route.class_ is not None and first in case.classes and first != route.class_:
            yield Problem(
                f"route[{i}].class",
                route.class_,
                f"requests below /{first} are of the class "
                f"{first!r}, and no route can give them another (no effect doubled)",
            )


def check_reachable(case: Case) -> Iterator[Problem]:
    """A route that no usable request can match is a mistake."""
    for found in case.routes:
        route, at = found.route, f"route[{found.index}]"
        if first_part(found.match.pattern) == "-":
            yield Problem(f"{at}.path", route.path, "it can never match: /-/ is the sidecar's own")
        form = case.site.classes.get(found.cls.name, found.cls)
        method = "GET" if form.repeat == "free" else "POST"
        if route.method is not None and route.method != method:
            yield Problem(
                f"{at}.method",
                route.method,
                f"it can never match: requests of the class "
                f"{form.name!r}, which is {form.repeat}, are sent with {method}",
            )


def check_ambiguous(case: Case) -> Iterator[Problem]:
    """Of two routes that match the same request, one is the more specific."""
    places = list(case.matches)
    for one, two in ambiguous([case.matches[i] for i in places]):
        first, second = places[one], places[two]
        name = case.file.route[first].name
        yield Problem(
            f"route[{second}]",
            case.file.route[second].name,
            f"a request could match both this and route[{first}] ({name!r}), and neither is the more "
            "specific; name a method, a tenant or one more header in one of them",
        )


def check_headers(case: Case) -> Iterator[Problem]:
    """Header conditions can be met."""
    for i, route in enumerate(case.file.route):
        seen: set[str] = set()
        for name, value in route.headers.items():
            at = f"route[{i}].headers.{name}"
            if TOKEN.fullmatch(name) is None:
                yield Problem(at, value, "this is no header's name")
            elif name.lower() in FRAMING:
                yield Problem(at, value, "routes can't look at this header: it speaks of one request alone")
            elif name.lower() in seen:
                yield Problem(at, value, "the same header stands there twice")
            if not value.isascii() or not value.isprintable() or value != value.strip():
                yield Problem(
                    at, value, "it can never match: a header's value is printable ASCII without spaces around it"
                )
            seen.add(name.lower())


def check_tenants(case: Case) -> Iterator[Problem]:
    """Tenants are those that the settings name."""
    tenants = case.site.tenants
    if tenants is None:
        return
    for i, route in enumerate(case.file.route):
        if route.tenant is not None and route.tenant not in tenants:
            yield Problem(
                f"route[{i}].tenant",
                route.tenant,
                f"the settings have no such tenant{nearest(route.tenant, tenants)}",
            )
        if route.limit_by == "tenant" and not tenants:
            yield Problem(f"route[{i}].limit_by", "tenant", "the settings name no tenants")


# --- time


def check_timeout(case: Case) -> Iterator[Problem]:
    """A time-out ends before the client gives up, and leaves a server some time."""
    for found in case.routes:
        told, at = found.route.timeout, f"route[{found.index}].timeout"
        if told is None:
            continue
        known = case.site.classes.get(found.cls.name)
        if known is not None and told > known.deadline_ns:
            yield Problem(
                at,
                told,
                f"clients of the class {known.name!r} give up after {shown(known.deadline_ns)} (one final answer)",
            )
        elif told > found.cls.deadline_ns:
            yield Problem(
                at,
                told,
                f"the deadline of the class {found.cls.name!r} is {shown(found.cls.deadline_ns)} (one final answer)",
            )
        if told < LEAST_NS:
            yield Problem(
                at,
                told,
                f"it leaves a server no time: {shown(MARGIN_NS)} of it are kept for the "
                f"answer's way back, and {shown(LEAST_NS)} is the least",
            )


def check_try_timeout(case: Case) -> Iterator[Problem]:
    """One attempt is no longer than the request."""
    for found in case.routes:
        told = found.route.try_timeout
        if told is not None and told > found.timeout_ns.value:
            yield Problem(
                f"route[{found.index}].try_timeout",
                told,
                f"one attempt can't take longer than the request, which has "
                f"{shown(found.timeout_ns.value)} by {found.timeout_ns.source}",
            )


# --- repeats


def check_attempts(case: Case) -> Iterator[Problem]:
    """No more attempts than the site allows; and what is set for further ones has some to act on."""
    most = case.site.max_attempts
    for found in case.routes:
        route, at = found.route, f"route[{found.index}]"
        if most is not None and route.attempts is not None and route.attempts > most:
            yield Problem(f"{at}.attempts", route.attempts, f"the settings allow {most} in all (limits of the site)")
        if route.attempts == 1:
            for key in ("second_copy_after", "retry_on", "retry_budget"):
                if getattr(route, key) is not None:
                    yield Problem(
                        f"{at}.{key}",
                        getattr(route, key) if key != "retry_budget" else None,
                        "attempts = 1 leaves it nothing to act on",
                    )


def check_causes(case: Case) -> Iterator[Problem]:
    """What may have run and must not run twice is not sent again."""
    for found in case.routes:
        told = found.route.retry_on
        wrong = [cause for cause in told or () if cause not in allowed_causes(found.cls)]
        if wrong:
            yield Problem(
                f"route[{found.index}].retry_on",
                list(told or ()),
                f"after {' or '.join(wrong)} a request of the class {found.cls.name!r} may have run, "
                f"and single_shot must never run twice; only {' and '.join(HARMLESS)} prove that it "
                "has not (no effect doubled)",
            )


def check_copies(case: Case) -> Iterator[Problem]:
    """Second copies only of what may run beside itself."""
    for found in case.routes:
        route, cls, at = found.route, found.cls, f"route[{found.index}].second_copy_after"
        told = route.second_copy_after
        if told is None:
            continue
        if cls.repeat == "single_shot":
            yield Problem(
                at,
                told,
                f"a second copy of the class {cls.name!r} could run beside the first, and "
                "single_shot must never run twice (no effect doubled)",
            )
        elif case.site.second_copies is False:
            yield Problem(at, told, "the settings allow no second copies (limits of the site)")
        limit = min(int(found.try_ns.value or LONGEST_NS), int(found.timeout_ns.value))
        if told >= limit:
            yield Problem(at, told, f"there would never be one: an attempt is over after {shown(limit)}")


def check_window(case: Case) -> Iterator[Problem]:
    """The last repeat of a guarded request goes out while its key still holds."""
    connect = case.site.connect_timeout_ns
    for found in case.routes:
        cls = found.cls
        latest = found.latest_repeat_ns(connect)
        if cls.repeat != "guarded" or latest <= cls.window_ns:
            continue
        route, at = found.route, f"route[{found.index}]"
        key, value = next(
            (
                (key, told)
                for key, told in (
                    ("try_timeout", route.try_timeout),
                    ("attempts", route.attempts),
                    ("timeout", route.timeout),
                )
                if told is not None
            ),
            ("name", route.name),
        )
        yield Problem(
            f"{at}.{key}",
            value,
            f"attempt {found.attempts} could be sent {shown(latest)} after the first, connecting "
            f"included, {shown(latest - cls.window_ns)} past the window of {shown(cls.window_ns)} in "
            f"which the key of {cls.name!r} holds (no effect doubled)",
        )


# --- limits


def check_limits(case: Case) -> Iterator[Problem]:
    """Limits that act, and that the process's own limits can hold."""
    sockets, memory = case.site.sockets, case.site.memory_mb
    for i, route in enumerate(case.file.route):
        at = f"route[{i}]"
        flight, waiting = route.max_in_flight or 0, route.max_waiting or 0
        if waiting and not flight:
            yield Problem(f"{at}.max_waiting", waiting, "without max_in_flight nothing ever waits")
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
            room = max(0, memory - PROGRAM_MB) * (1 << 20) // SLACK
            need = (flight + waiting) * OPEN_BYTES
            if need > room:
                yield Problem(
                    f"{at}.{'max_waiting' if waiting else 'max_in_flight'}",
                    waiting or flight,
                    f"so many open requests take about {need >> 20} MB, and of {memory} MB "
                    f"{room >> 20} are there for them (limits of the site)",
                )


def check_rates(case: Case) -> Iterator[Problem]:
    """Rates that a bucket can keep."""
    for i, route in enumerate(case.file.route):
        rate = route.rate
        if rate is None:
            continue
        per_day = (rate.per_s or 0) * 86_400 + (rate.per_min or 0) * 1440 + (rate.per_h or 0) * 24
        if per_day * 366 < rate.burst or per_day < 1:
            yield Problem(
                f"route[{i}].rate",
                brief(
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
                "a bucket that slow would not fill again: one call a day, and a full bucket in a year, are the least",
            )


CHECKS: tuple[Check, ...] = (
    check_class_names,
    check_class_whole,
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
