"""Invalid operator files: each is rejected with the key and the reason, and all problems are reported at once."""

import pytest
from samples import file, proven, route, site

from rosechute.sidecar.operator_configuration.effective import UNKNOWN_SITE
from rosechute.sidecar.operator_configuration.problems import FileError


def cls(**keys):
    return "[[class]]\n" + "\n".join(f"{key} = {value}" for key, value in keys.items()) + "\n"


HOLD, CONFIRM = '"/hold-desk/{id}"', '"/confirm-booking/{id}"'
CASES = {
    # safety rules
    "a second copy of hold-desk": (
        route(path=HOLD, second_copy_after='"300ms"'),
        "route[0].second_copy_after",
        "single_shot must never run twice",
    ),
    "hold-desk again after a time-out": (
        route(path=HOLD, attempts=2, retry_on='["timeout"]'),
        "route[0].retry_on",
        "after timeout a request of the class 'hold-desk' may have run",
    ),
    "hold-desk again after a reset": (
        route(path=HOLD, attempts=2, retry_on='["full", "reset"]'),
        "route[0].retry_on",
        "may have run",
    ),
    "hold-desk again after an error": (
        route(path=HOLD, attempts=2, retry_on='["error"]'),
        "route[0].retry_on",
        "no effect doubled",
    ),
    "hold-desk declared free": (
        cls(name='"hold-desk"', repeat='"free"'),
        "class[0].repeat",
        "the platform sets single_shot",
    ),
    "hold-desk declared guarded": (
        cls(name='"hold-desk"', repeat='"guarded"'),
        "class[0].repeat",
        "may only be stricter",
    ),
    "hold-desk under another class": (
        route(path=HOLD, class_='"list-rooms"'),
        "route[0].class",
        "no route can give them another",
    ),
    "confirm-booking under a free class": (
        route(path='"/confirm-booking/*"', class_='"list-rooms"'),
        "route[0].class",
        "are of the class 'confirm-booking'",
    ),
    "a timeout longer than that of the client": (
        route(path=HOLD, timeout='"1.3s"'),
        "route[0].timeout",
        "give up after 1.2s",
    ),
    "a time-out over the file's own deadline": (
        cls(name='"hold-desk"', deadline='"500ms"', aim='"400ms"') + route(path=HOLD, timeout='"600ms"'),
        "route[0].timeout",
        "the deadline of the class 'hold-desk' is 500ms",
    ),
    "a guarded retry 1 ms past the window": (
        cls(name='"confirm-booking"', window='"749ms"')
        + route(path=CONFIRM, attempts=2, try_timeout='"500ms"', timeout='"2s"'),
        "route[0].try_timeout",
        "1ms past the window of 749ms",
    ),
    "guarded attempts without a time-out each": (
        cls(name='"confirm-booking"', window='"1s"') + route(path=CONFIRM, attempts=3, timeout='"2s"'),
        "route[0].attempts",
        "could be sent 2s after the first",
    ),
    "guarded attempts by default": (
        cls(name='"confirm-booking"', window='"1s"') + route(path=CONFIRM),
        "route[0].name",
        "no effect doubled",
    ),
    "a longer window": (cls(name='"confirm-booking"', window='"6s"'), "class[0].window", "the platform sets 5s"),
    "a wider group": (cls(name='"confirm-booking"', group='"all"'), "class[0].group", "the platform sets cell"),
    "a longer deadline": (cls(name='"list-rooms"', deadline='"2s"'), "class[0].deadline", "client's timeout"),
    "a longer aim": (cls(name='"list-rooms"', aim='"1s"'), "class[0].aim", "the platform sets 300ms"),
    "an aim after the deadline": (
        cls(name='"list-rooms"', aim='"300ms"', deadline='"200ms"'),
        "class[0].aim",
        "after the deadline of 200ms",
    ),
    "a key that requests don't carry": (
        cls(name='"list-rooms"', repeat='"guarded"'),
        "class[0].repeat",
        "carry no idempotency key",
    ),
    # limits of the site
    "more attempts than the settings": (route(attempts=6), "route[0].attempts", "the settings allow 5"),
    "an attempt longer than the request": (
        route(timeout='"400ms"', try_timeout='"401ms"'),
        "route[0].try_timeout",
        "has 400ms by route r: timeout",
    ),
    "an attempt longer than the class": (
        route(try_timeout='"1.6s"'),
        "route[0].try_timeout",
        "has 1.5s by class list-rooms",
    ),
    "a second copy that is never sent": (
        route(try_timeout='"100ms"', second_copy_after='"100ms"', attempts=2),
        "route[0].second_copy_after",
        "there would never be a second copy",
    ),
    "more in flight than descriptors": (route(max_in_flight=400), "route[0].max_in_flight", "of 1024 descriptors"),
    "more waiting than descriptors": (
        route(max_in_flight=300, max_waiting=400),
        "route[0].max_waiting",
        "do not fit",
    ),
    "a timeout that leaves no time": (route(timeout='"15ms"'), "route[0].timeout", "the minimum is 20ms"),
    "a queue without a concurrency limit": (route(max_waiting=5), "route[0].max_waiting", "no request ever waits"),
    "one attempt and causes for more": (
        route(attempts=1, retry_on='["full"]'),
        "route[0].retry_on",
        "no effect with attempts = 1",
    ),
    "one attempt and a second copy": (
        route(attempts=1, second_copy_after='"50ms"'),
        "route[0].second_copy_after",
        "no effect with attempts = 1",
    ),
    "one attempt and a budget": (
        route(attempts=1, retry_budget="{ ratio = 0.1 }"),
        "route[0].retry_budget",
        "no effect with attempts = 1",
    ),
    "a rate that never fills": (route(rate="{ per_h = 0.001 }"), "route[0].rate", "would refill too slowly"),
    # names
    "an unknown class": (
        route(path='"/rooms/*"', class_='"list-room"'),
        "route[0].class",
        "did you mean 'list-rooms'?",
    ),
    "a class unknown to the platform": (
        cls(name='"list-room"', deadline='"1s"'),
        "class[0].name",
        "did you mean 'list-rooms'?",
    ),
    "an unknown tenant": (route(tenant='"charity-partner"'), "route[0].tenant", "did you mean 'charity-partners'?"),
    "an unknown key": (route(time_out='"1s"'), "route[0].time_out", "did you mean 'timeout'?"),
    "an unknown key of a class": (
        cls(name='"hold-desk"', dead_line='"1s"'),
        "class[0].dead_line",
        "did you mean 'deadline'?",
    ),
    "an unknown table": ("[routes]\nx = 1\n", "routes", "did you mean 'route'?"),
    "an unknown cause": (route(attempts=2, retry_on='["resett"]'), "route[0].retry_on", "did you mean 'reset'?"),
    "an unknown scope": (route(limit_by='"tennant"'), "route[0].limit_by", "did you mean 'tenant'?"),
    "an unknown repeat": (cls(name='"hold-desk"', repeat='"once"'), "class[0].repeat", "is not one of free"),
    "an unknown method": (route(method='"PATCH"'), "route[0].method", "is not one of GET, POST"),
    "an unknown log format": ('[log]\nformat = "xml"\n', "log.format", "is not one of console, json"),
    # units and numbers
    "a time without a unit": (route(timeout='"500"'), "route[0].timeout", "the unit is missing"),
    "a time as a number": (route(timeout="500"), "route[0].timeout", 'such as "250ms"; 500 has none'),
    "an unknown unit": (route(timeout='"5 days"'), "route[0].timeout", "is not one of us, ms, s, m, h"),
    "a negative time": (route(timeout='"-1s"'), "route[0].timeout", "never negative"),
    "a duration of zero": (route(timeout='"0s"'), "route[0].timeout", "above 0"),
    "a time too long": (route(timeout='"25h"'), "route[0].timeout", "longer than 24h"),
    "a time that overflows": (route(timeout='"999999999999999999h"'), "route[0].timeout", "longer than 24h"),
    "a time too fine": (route(timeout='"0.0001us"'), "route[0].timeout", "finer than a nanosecond"),
    "negative attempts": (route(attempts=-1), "route[0].attempts", "must be 1 or more"),
    "no attempts": (route(attempts=0), "route[0].attempts", "must be 1 or more"),
    "half an attempt": (route(attempts=1.5), "route[0].attempts", "must be a whole number"),
    "attempts as text": (route(attempts='"two"'), "route[0].attempts", "must be a number"),
    "attempts that overflow": (route(attempts=2**62), "route[0].attempts", "must be 1000000 or less"),
    "attempts past 64 bits": (route(attempts=2**70), "route[0].attempts", ""),
    "a rate that is not a number": (route(rate="{ per_s = nan }"), "route[0].rate.per_s", "finite"),
    "an infinite rate": (route(rate="{ per_s = inf }"), "route[0].rate.per_s", "finite"),
    "a negative rate": (route(rate="{ per_s = -1.0 }"), "route[0].rate.per_s", "must be above 0"),
    "a rate of zero": (route(rate="{ per_s = 0 }"), "route[0].rate.per_s", "must be above 0"),
    "two rates": (route(rate="{ per_s = 1, per_h = 5 }"), "route[0].rate", "exactly one of"),
    "a burst without a rate": (route(rate="{ burst = 5 }"), "route[0].rate", "exactly one of"),
    "no burst": (route(rate="{ per_s = 1, burst = 0 }"), "route[0].rate.burst", "must be 1 or more"),
    "a rate that is not a table": (route(rate="5"), "route[0].rate", "must be a table"),
    "an unknown key of a rate": (route(rate="{ per_s = 1, bursts = 2 }"), "route[0].rate.bursts", "'burst'"),
    "a negative budget": (route(retry_budget="{ ratio = -0.1 }"), "route[0].retry_budget.ratio", "must be 0 or more"),
    "a budget without a ratio": (
        route(retry_budget="{ min_per_s = 1 }"),
        "route[0].retry_budget.ratio",
        "it is missing",
    ),
    # duplicates and routes that cannot match
    "two routes of one name": (route() + route(path='"/list-rooms/x"'), "route[1].name", "has the same name"),
    "two classes of one name": (cls(name='"hold-desk"') * 2, "class[1].name", "has the same name"),
    "a cause twice": (route(attempts=2, retry_on='["full", "full"]'), "route[0].retry_on", "twice"),
    "two routes for the same requests": (route() + route(name='"s"'), "route[1]", "neither is the more specific"),
    "templates with different names": (
        route(path='"/list-rooms/{a}"') + route(name='"s"', path='"/list-rooms/{b}"'),
        "route[1]",
        "neither is the more specific",
    ),
    "headers that can both be met": (
        route(headers='{ "X-A" = "1" }') + route(name='"s"', headers='{ "X-B" = "1" }'),
        "route[1]",
        "name a method, a tenant or one more header",
    ),
    "a method that the class never has": (route(method='"POST"'), "route[0].method", "it can never match"),
    "a path that names no class": (route(path='"/rooms"'), "route[0].path", "it can never match"),
    "the sidecar's own paths": (
        route(path='"/-/x"', class_='"list-rooms"'),
        "route[0].path",
        "reserved for the sidecar",
    ),
    "a header of its own for each request": (
        route(headers='{ "X-Request-ID" = "7" }'),
        "route[0].headers.X-Request-ID",
        "specific to a single request",
    ),
    "an invalid header name": (route(headers='{ "X Y" = "7" }'), "route[0].headers.X Y", "not a valid header name"),
    "an invalid header value": (route(headers='{ "X-Y" = " 7" }'), "route[0].headers.X-Y", "never match"),
    "a header twice": (route(headers='{ "X-Y" = "7", "x-y" = "8" }'), "route[0].headers.x-y", "twice"),
    # paths
    "a path without its slash": (route(path='"list-rooms"'), "route[0].path", "begins with /"),
    "a path with a query": (route(path='"/list-rooms?x=1"'), "route[0].path", "no query"),
    "a path that matches everything": (route(path='"/*"'), "route[0].path", "match every request"),
    "a template first": (route(path='"/{class}/x"'), "route[0].path", "must be a literal, not a template"),
    "half a template": (route(path='"/list-rooms/a{id}"'), "route[0].path", "is not a template"),
    "a template twice": (route(path='"/list-rooms/{id}/{id}"'), "route[0].path", "appears twice"),
    "a star in the middle": (route(path='"/list-rooms/*/x"'), "route[0].path", "whole last segment"),
    "an empty part": (route(path='"/list-rooms//x"'), "route[0].path", "empty segment"),
    "a parent directory segment": (route(path='"/list-rooms/../hold-desk"'), "route[0].path", "never reach a route"),
    "a non-ASCII path": (route(path='"/list-rooms/ö"'), "route[0].path", "percent-encoded"),
    # the file as a whole
    "no version": ("", "version", "it is missing"),
    "another version": ("version = 2\n", "version", "reads version = 1"),
    "a version that is true": ("version = true\n", "version", "reads version = 1"),
    "a route that is not a list": ("[route]\nname = 'x'\n", "route", "[[route]]"),
    "a route without a name": ('[[route]]\npath = "/list-rooms"\n', "route[0].name", "it is missing"),
    "a route without a path": ('[[route]]\nname = "x"\n', "route[0].path", "it is missing"),
    "an invalid name": (route(name='"a b"'), "route[0].name", "letters, digits"),
    "no TOML": ("version = = 1\n", "", "not TOML"),
    "a file cut short": ('version = 1\n[[route]]\nname = "r"\npath = "/list', "", "not TOML"),
}


@pytest.mark.parametrize("name", CASES)
def test_invalid_file_is_rejected(name):
    text, path, reason = CASES[name]
    document = (
        text
        if name in ("no version", "another version", "a version that is true", "no TOML", "a file cut short")
        else file(text)
    )
    with pytest.raises(FileError) as caught:
        proven(document)
    matching = [p for p in caught.value.problems if p.path == path and reason in p.reason]
    assert matching, [str(p) for p in caught.value.problems]
    assert not path or name == "no version" or matching[0].line > 0


def test_at_least_60_cases():
    assert len(CASES) >= 60


BARE_CASES = {
    "a class without its repeat": (cls(name='"x"', deadline='"1s"'), "class[0].repeat", "no platform settings"),
    "a class without its deadline": (cls(name='"x"', repeat='"free"'), "class[0].deadline", "no platform settings"),
    "a guarded class without a window": (
        cls(name='"x"', repeat='"guarded"', deadline='"1s"'),
        "class[0].window",
        "how long its key is valid",
    ),
    "an aim after the deadline": (
        cls(name='"x"', repeat='"free"', deadline='"1s"', aim='"2s"'),
        "class[0].aim",
        "after the deadline",
    ),
    "a route of no class": (route(), "route[0].path", "names no class"),
}


@pytest.mark.parametrize("name", BARE_CASES)
def test_invalid_file_is_rejected_without_platform_settings(name):
    text, path, reason = BARE_CASES[name]
    with pytest.raises(FileError) as caught:
        proven(file(text), UNKNOWN_SITE)
    assert any(p.path == path and reason in p.reason for p in caught.value.problems)


def test_all_problems_are_reported_at_once_in_file_order():
    text = file(route(timeout='"9"', attempts=0, speed=1), route(name='"s"', rate="{ per_s = nan }"))
    with pytest.raises(FileError) as caught:
        proven(text)
    assert {p.path for p in caught.value.problems} == {
        "route[0].timeout",
        "route[0].attempts",
        "route[0].speed",
        "route[1].rate.per_s",
    }
    text = file(route(path=HOLD, second_copy_after='"1s"', attempts=9, timeout='"2s"', tenant='"x"'))
    with pytest.raises(FileError) as caught:
        proven(text)
    assert [p.line for p in caught.value.problems] == sorted(p.line for p in caught.value.problems)
    assert len(caught.value.problems) >= 4


def test_values_forbidden_by_the_settings_are_rejected():
    for changes, text, path in (
        (
            {"limits": {"secondCopies": False}},
            route(second_copy_after='"50ms"', attempts=2),
            "route[0].second_copy_after",
        ),
        ({"projects": []}, route(limit_by='"tenant"'), "route[0].limit_by"),
        ({"limits": {"connectTimeoutNs": 2 * 10**9}}, route(path=CONFIRM, attempts=5, try_timeout='"1s"'), None),
    ):
        if path is None:
            proven(file(text), site(**changes))  # the class's window is longer than its deadline
            continue
        with pytest.raises(FileError) as caught:
            proven(file(text), site(**changes))
        assert [p.path for p in caught.value.problems] == [path]


def test_invalid_utf8_and_oversized_files_are_rejected():
    from rosechute.sidecar.operator_configuration.reading import MAX_BYTES, read

    for raw, reason in ((b"\xff\xfe", "UTF-8"), (b"#" * (MAX_BYTES + 1), "the maximum is")):
        with pytest.raises(FileError, match=reason):
            read(raw)
