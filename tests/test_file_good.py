"""Valid operator files: their values take effect, and defaults come from the right source."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from samples import MS, file, proven, route, settings, site

from rosechute.load_balancing import How
from rosechute.sidecar.operator_configuration.effective import UNKNOWN_SITE, Site
from rosechute.sidecar.operator_configuration.units import MAX_DURATION_NS, UNITS, format_duration, parse_duration
from rosechute.sidecar.request_limits.rate import RateLimit

CLASS = """[[class]]
name = "confirm-booking"
repeat = "guarded"
deadline = "2.5s"
aim = "600ms"
window = "1.5s"
"""
ROUTE = """[[route]]
name = "confirm"
method = "POST"
path = "/confirm-booking/{id}"
tenant = "charity-partners"
class = "confirm-booking"
timeout = "2s"
try_timeout = "500ms"
attempts = 2
second_copy_after = "300ms"
retry_on = ["connect-failed", "full", "reset", "error", "timeout"]
retry_budget = { ratio = 0.2, min_per_s = 3 }
max_in_flight = 50
max_waiting = 100
rate = { per_s = 40, burst = 20 }
limit_by = "tenant"
"""


def test_every_key_reaches_the_limiter_and_the_load_balancer():
    for against in (site(), UNKNOWN_SITE):
        found = proven(file(CLASS, ROUTE), against)
        limits = found.routes[0].limits()
        assert limits.timeout_ns == 2000 * MS and limits.cls == "confirm-booking"
        assert (limits.max_in_flight, limits.max_waiting, limits.limit_by) == (50, 100, "tenant")
        assert limits.rate == RateLimit(25 * MS, 20)
        assert (limits.share.ratio, limits.share.min_per_s, limits.share.floor) == (0.2, 3.0, 30.0)
        bounds = limits.bounds
        assert (bounds.attempts, bounds.try_ns, bounds.copy_after_ns) == (2, 500 * MS, 300 * MS)
        assert bounds.retry_on == {How.CONNECT_FAILED, How.FULL, How.RESET, How.ERROR, How.TIMEOUT}
        assert found.classes["confirm-booking"].window_ns == 1500 * MS


def test_defaults_come_from_the_platform():
    route_ = proven(file(route())).routes[0]
    assert route_.limits().bounds is None and not route_.limits().limited
    rows = {key: (value, source) for key, value, source in route_.rows()}
    assert rows["timeout"] == ("1.5s", "class list-rooms: deadline")
    assert rows["attempts"] == ("5", "settings: limits.maxAttempts")
    assert rows["rate"] == ("none", "default") and rows["class"] == ("list-rooms", "the path's first part")


def test_a_class_may_be_stricter_and_no_route_is_required():
    text = file('[[class]]\nname = "confirm-booking"\nrepeat = "single_shot"\ndeadline = "1s"\n')
    cls = proven(text).classes["confirm-booking"]
    assert (cls.repeat, cls.deadline_ns, cls.aim_ns, cls.group) == ("single_shot", 1000 * MS, 600 * MS, "cell")
    assert proven("version = 1\n").routes == ()


def test_a_route_may_set_the_class_of_a_path_that_names_none():
    found = proven(file(route(path='"/api/v1/rooms/{id}"', class_='"list-rooms"'))).routes[0]
    assert found.cls.repeat == "free" and found.class_source == "route r: class"


def test_the_latest_retry_includes_attempts_and_connecting():
    text = file(
        '[[class]]\nname = "confirm-booking"\nwindow = "750ms"\n',
        route(path='"/confirm-booking"', attempts=2, try_timeout='"500ms"', timeout='"2s"'),
    )
    assert proven(text).routes[0].latest_retry_ns(250 * MS) == 750 * MS
    assert proven(text.replace("attempts = 2", "attempts = 1")).routes[0].latest_retry_ns(250 * MS) == 0


@pytest.mark.parametrize(
    "text, ns",
    [
        ("250ms", 250 * MS),
        ("2.5s", 2500 * MS),
        ("1h", 3600 * 10**9),
        ("0.5us", 500),
        ("1 s", 10**9),
        ("90m", 5400 * 10**9),
    ],
)
def test_parse_duration(text, ns):
    assert parse_duration(text) == ns


@given(st.integers(1, MAX_DURATION_NS))
def test_a_formatted_duration_parses_to_about_the_same_value(ns):
    text = format_duration(ns)
    if text.endswith("ns"):
        assert ns < UNITS["us"]
    else:
        assert abs(parse_duration(text) - ns) <= ns * 1e-5 + 1


def test_site_from_settings():
    made = Site.from_settings(settings(), 512, 64)
    assert made.tenants == ("charity-partners", "community-hirers") and made.max_attempts == 5
