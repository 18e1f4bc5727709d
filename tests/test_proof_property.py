"""Property: no accepted operator file breaks a safety rule, whatever the servers do.

Generated files contain unsafe values. Accepted files run with the real core, load balancer and limiter against
scripted servers, and the outcome is checked against the platform's classes alone.
"""

import pytest
from hypothesis import HealthCheck, Phase, example, find, given, settings
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample
from samples import MS, file, proven, route, site
from samples import settings as platform
from simulated import AttemptScript
from simulated import SimulatedSidecar as Simulated

from rosechute.load_balancing import How
from rosechute.sidecar.operator_configuration import proof
from rosechute.sidecar.operator_configuration.problems import FileError
from rosechute.sidecar.route_matching.table import Table

NAMES = ("hold-desk", "confirm-booking", "list-rooms")
CAUSES = ["connect-failed", "full", "reset", "error", "timeout"]
TIMES = st.sampled_from(["20ms", "50ms", "100ms", "300ms", "499ms", "500ms", "800ms", "1.2s", "1.3s", "2.5s"])
# Slow connects and short windows are the cases in which retries are sent too late.
PLATFORM = platform(limits={"connectTimeoutNs": 250 * MS})


def maybe(strategy):
    return st.none() | st.none() | strategy  # mostly None; otherwise hardly any file would be valid


@st.composite
def texts(draw):
    """Draw an operator file, often an unsafe one."""
    tables = []
    for name in draw(st.lists(st.sampled_from(NAMES), max_size=2, unique=True)):
        keys = {
            "repeat": draw(maybe(st.sampled_from(["free", "guarded", "single_shot"]))),
            "deadline": draw(maybe(TIMES)),
            "window": draw(maybe(TIMES)),
            "group": draw(maybe(st.sampled_from(["all", "zone", "cell"]))),
        }
        tables.append(
            "[[class]]\n"
            + f'name = "{name}"\n'
            + "".join(f'{key} = "{value}"\n' for key, value in keys.items() if value is not None)
        )
    for i in range(draw(st.integers(0, 3))):
        name = draw(st.sampled_from(NAMES))
        quoted = {key: draw(maybe(TIMES)) for key in ("timeout", "try_timeout", "second_copy_after")}
        causes = draw(maybe(st.lists(st.sampled_from(CAUSES), unique=True)))
        tables.append(
            route(
                name=f'"r{i}"',
                path=f'"/{name}{draw(st.sampled_from(["/1", "/{id}", "/*"]))}"',
                tenant=draw(maybe(st.just('"charity-partners"'))),
                class_=draw(maybe(st.sampled_from(NAMES).map(lambda n: f'"{n}"'))),
                attempts=draw(maybe(st.integers(1, 5))),
                max_in_flight=draw(maybe(st.integers(1, 3))),
                max_waiting=draw(maybe(st.integers(0, 3))),
                limit_by=draw(maybe(st.sampled_from(['"tenant"', '"key"']))),
                retry_on=None if causes is None else str(causes).replace("'", '"'),
                rate=draw(maybe(st.just("{ per_s = 20, burst = 3 }"))),
                retry_budget=draw(maybe(st.just("{ ratio = 0.5, min_per_s = 1 }"))),
                **{key: f'"{value}"' for key, value in quoted.items() if value is not None},
            )
        )
    return file(*tables)


PLAYS = st.builds(
    AttemptScript,
    st.sampled_from([0.0, 1.0, 200.0, 249.0, 300.0]),
    st.sampled_from([1.0, 20.0, 120.0, 480.0, 900.0, 3000.0]),
    st.sampled_from([How.OK, How.OK, How.ERROR, How.FULL, How.RESET, How.TIMEOUT, How.CONNECT_FAILED]),
)


@st.composite
def events(draw):
    """Draw requests, drains and crashes."""
    asks = draw(
        st.lists(
            st.tuples(st.integers(0, 1500), st.sampled_from(NAMES), st.integers(0, 1), st.sampled_from(["", "k1"])),
            min_size=1,
            max_size=8,
        )
    )
    drains = draw(st.lists(st.tuples(st.integers(0, 1500), st.integers(0, 3)), max_size=1))
    crashes = draw(st.lists(st.tuples(st.integers(0, 1500), st.integers(0, 3)), max_size=2))
    return asks, drains, crashes


def accepted(text, without=None):
    """Return the checked file, or None if it is rejected."""
    try:
        return proven(text, site(), without)
    except FileError:
        return None


def broken(found, plays, happens):
    """Return the rules that a run with this file breaks."""
    made = PLATFORM
    from dataclasses import replace

    own = replace(made, classes=tuple(found.classes[c.name] for c in made.classes))
    limits = [r.limits() for r in found.routes]
    table = Table((r.match, each) for r, each in zip(found.routes, limits, strict=True))
    run = Simulated(own, plays, 4, 7, table, limits, made)
    asks, drains, crashes = happens
    for at, cls, tenant, key in asks:
        run.ask(at, cls, "/1", tenant, key)
    for at, server in drains:
        run.drain(at, f"s{server}")
    for at, server in crashes:
        run.crash(at, f"s{server}")
    run.run(12.0)
    return run.rule_violations()


TIGHT = file(
    '[[class]]\nname = "confirm-booking"\nwindow = "750ms"\n',
    route(path='"/confirm-booking/*"', attempts=2, try_timeout='"500ms"', timeout='"2s"'),
)
COPIED = file(route(path='"/confirm-booking/*"', attempts=3, second_copy_after='"50ms"', try_timeout='"300ms"'))


NORMAL = (AttemptScript(),)


@given(texts(), st.lists(PLAYS, min_size=1, max_size=12), events())
@example(TIGHT, [AttemptScript(0, 490, How.ERROR), AttemptScript(249, 20)], ([(0, "confirm-booking", 0, "")], [], []))
@example(
    COPIED, [AttemptScript(0, 3000), AttemptScript(0, 100, How.ERROR)], ([(0, "confirm-booking", 0, "")], [], [])
)
@example(
    COPIED, [AttemptScript(0, 300, How.TIMEOUT)], ([(0, "confirm-booking", 0, "")], [(60, 0)], [(100, 1), (100, 2)])
)
@settings(max_examples=300, suppress_health_check=[HealthCheck.filter_too_much, HealthCheck.too_slow])
def test_no_accepted_file_breaks_a_rule(text, plays, happens):
    found = accepted(text)
    if found is not None:
        assert broken(found, plays, happens) == []


def test_generated_files_include_valid_and_invalid_ones():
    seen = {True: 0, False: 0}

    @given(texts())
    @settings(max_examples=200)
    def count(text):
        seen[accepted(text) is not None] += 1

    count()
    assert seen[True] > 20 and seen[False] > 20


@pytest.mark.parametrize("check", [proof.check_path_class, proof.check_class_stricter])
def test_omitting_a_check_lets_a_rule_be_broken(check):
    """The same search finds a violation when a check is omitted."""

    def breach(drawn):
        text, plays, happens = drawn
        found = accepted(text, check)
        return found is not None and bool(broken(found, plays, happens))

    found = find(
        st.tuples(texts(), st.lists(PLAYS, min_size=1, max_size=12), events()),
        breach,
        settings=settings(max_examples=20_000, derandomize=True, database=None, phases=[Phase.generate]),
    )
    assert accepted(found[0]) is None  # all checks together reject that file


def test_rule_checker_detects_planted_violations():
    """Guards against a checker that never reports anything: each rule is broken on purpose and must be reported."""

    def run(plant, plays=NORMAL):
        made = Simulated(PLATFORM, list(plays), 4, 7)
        ask = made.ask(0, plant[1])
        made.run(0.001)
        plant[0](made, ask)
        made.run(12.0)
        return " ".join(made.rule_violations())

    from simulated import Ending, SentAttempt

    def again(at_ms, server):
        return lambda made, ask: made.servers.sent.append(SentAttempt(ask, server, round(at_ms * MS), None))

    assert "must not run twice" in run((again(5, "s1"), "hold-desk"))
    assert "after its window" in run((again(5200, "s1"), "confirm-booking"))
    assert "had 2 answers" in run((lambda made, ask: ask.answer(Ending.FAILED), "list-rooms"))
    assert "had 0 answers" in run((lambda made, ask: setattr(ask, "answer", lambda *a: None), "list-rooms"))

    def to_all_groups(made, ask):
        for server in ("s0", "s2"):
            made.servers.sent.append(SentAttempt(ask, server, 5 * MS, None))

    assert "another group" in run((to_all_groups, "confirm-booking"))

    def drained(made, ask):
        made.drained["s1"] = 0
        made.servers.sent.append(SentAttempt(ask, "s1", 400 * MS, 500 * MS, False))

    assert "a server that drains" in run((drained, "list-rooms"))

    def refused(made, ask):
        made.servers.sent.append(SentAttempt(ask, "s1", MS // 2, MS // 2, True))
        made.core._answer(ask.tid, Ending.REFUSED)

    assert "refused though it may have run" in run((refused, "hold-desk"), [AttemptScript(50, 20)])


def test_find_raises_without_a_match():
    with pytest.raises(NoSuchExample):
        find(st.integers(0, 3), lambda n: n > 3, settings=settings(derandomize=True, database=None))
