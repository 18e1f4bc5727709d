"""For any file that the proof accepts, and whatever servers do, no rule is broken.

Files are drawn with unsafe values in them; what the proof lets through is played with the real core, module
and limiter against scripted servers, and judged by the platform's classes alone.
"""

import pytest
from hypothesis import HealthCheck, Phase, example, find, given, settings
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample
from samples import MS, file, proven, route, site
from samples import settings as platform
from simulated import Play
from simulated import Site as Simulated

from rosechute.load_balancing import How
from rosechute.sidecar.operator_configuration import proof
from rosechute.sidecar.operator_configuration.problems import FileError
from rosechute.sidecar.route_matching.table import Table

NAMES = ("hold-desk", "confirm-booking", "list-rooms")
CAUSES = ["connect-failed", "full", "reset", "error", "timeout"]
TIMES = st.sampled_from(["20ms", "50ms", "100ms", "300ms", "499ms", "500ms", "800ms", "1.2s", "1.3s", "2.5s"])
# A connect that takes its time, and a window that is short, are where repeats land too late.
PLATFORM = platform(limits={"connectTimeoutNs": 250 * MS})


def maybe(strategy):
    return st.none() | st.none() | strategy  # mostly left out, or hardly any file would be good


@st.composite
def texts(draw):
    """A file, often unsafe."""
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
    Play,
    st.sampled_from([0.0, 1.0, 200.0, 249.0, 300.0]),
    st.sampled_from([1.0, 20.0, 120.0, 480.0, 900.0, 3000.0]),
    st.sampled_from([How.OK, How.OK, How.ERROR, How.FULL, How.RESET, How.TIMEOUT, How.CONNECT_FAILED]),
)


@st.composite
def events(draw):
    """Requests, drains and crashes."""
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
    """What the proof lets through, or None."""
    try:
        return proven(text, site(), without)
    except FileError:
        return None


def broken(found, plays, happens):
    """The rules that a run of this file breaks."""
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
    return run.broken_rules()


TIGHT = file(
    '[[class]]\nname = "confirm-booking"\nwindow = "750ms"\n',
    route(path='"/confirm-booking/*"', attempts=2, try_timeout='"500ms"', timeout='"2s"'),
)
COPIED = file(route(path='"/confirm-booking/*"', attempts=3, second_copy_after='"50ms"', try_timeout='"300ms"'))


NORMAL = (Play(),)


@given(texts(), st.lists(PLAYS, min_size=1, max_size=12), events())
@example(TIGHT, [Play(0, 490, How.ERROR), Play(249, 20)], ([(0, "confirm-booking", 0, "")], [], []))
@example(COPIED, [Play(0, 3000), Play(0, 100, How.ERROR)], ([(0, "confirm-booking", 0, "")], [], []))
@example(COPIED, [Play(0, 300, How.TIMEOUT)], ([(0, "confirm-booking", 0, "")], [(60, 0)], [(100, 1), (100, 2)]))
@settings(max_examples=300, suppress_health_check=[HealthCheck.filter_too_much, HealthCheck.too_slow])
def test_no_file_that_is_accepted_breaks_a_rule(text, plays, happens):
    found = accepted(text)
    if found is not None:
        assert broken(found, plays, happens) == []


def test_the_drawn_files_are_neither_all_good_nor_all_bad():
    seen = {True: 0, False: 0}

    @given(texts())
    @settings(max_examples=200)
    def count(text):
        seen[accepted(text) is not None] += 1

    count()
    assert seen[True] > 20 and seen[False] > 20


@pytest.mark.parametrize("check", [proof.check_path_class, proof.check_class_stricter])
def test_without_one_check_a_rule_is_broken(check):
    """The same search finds a breach at once where a check of the proof is left out."""

    def breach(drawn):
        text, plays, happens = drawn
        found = accepted(text, check)
        return found is not None and bool(broken(found, plays, happens))

    found = find(
        st.tuples(texts(), st.lists(PLAYS, min_size=1, max_size=12), events()),
        breach,
        settings=settings(max_examples=20_000, derandomize=True, database=None, phases=[Phase.generate]),
    )
    assert accepted(found[0]) is None  # the whole proof refuses that file


def test_the_judge_sees_what_is_planted():
    """A judge that finds nothing proves nothing: each rule is broken on purpose and noticed."""

    def run(plant, plays=NORMAL):
        made = Simulated(PLATFORM, list(plays), 4, 7)
        ask = made.ask(0, plant[1])
        made.run(0.001)
        plant[0](made, ask)
        made.run(12.0)
        return " ".join(made.broken_rules())

    from simulated import Ending, Sent

    def again(at_ms, server):
        return lambda made, ask: made.servers.sent.append(Sent(ask, server, round(at_ms * MS), None))

    assert "must not run twice" in run((again(5, "s1"), "hold-desk"))
    assert "after its window" in run((again(5200, "s1"), "confirm-booking"))
    assert "had 2 answers" in run((lambda made, ask: ask.answer(Ending.FAILED), "list-rooms"))
    assert "had 0 answers" in run((lambda made, ask: setattr(ask, "answer", lambda *a: None), "list-rooms"))

    def to_all_groups(made, ask):
        for server in ("s0", "s2"):
            made.servers.sent.append(Sent(ask, server, 5 * MS, None))

    assert "another group" in run((to_all_groups, "confirm-booking"))

    def drained(made, ask):
        made.drained["s1"] = 0
        made.servers.sent.append(Sent(ask, "s1", 400 * MS, 500 * MS, False))

    assert "a server that drains" in run((drained, "list-rooms"))

    def refused(made, ask):
        made.servers.sent.append(Sent(ask, "s1", MS // 2, MS // 2, True))
        made.core._answer(ask.tid, Ending.REFUSED)

    assert "refused though it may have run" in run((refused, "hold-desk"), [Play(50, 20)])


def test_finding_nothing_is_told():
    with pytest.raises(NoSuchExample):
        find(st.integers(0, 3), lambda n: n > 3, settings=settings(derandomize=True, database=None))
