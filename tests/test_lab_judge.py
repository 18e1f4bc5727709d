"""Invariant checker: a trace with a violation of each rule is reported under that rule; correct traces pass."""

import pytest

from rosechute.sidecar.operator_configuration.units import Span
from rosechute.simulation.judge import Judge
from rosechute.simulation.spec import Class, Fleet, Instances, Scenario
from rosechute.simulation.trace import (
    ARRIVE,
    BEGIN,
    DRAINING,
    END,
    INSTANCE,
    LOST,
    NOTIFIED,
    OUTCOME,
    REFUSED,
    REQUEST,
    SEND,
    SERVED,
    SERVER,
    TIMED_OUT,
    UP,
)

MS = 1_000_000
FREE, SINGLE, GUARDED, CELL = range(4)
OK, FULL, TIMEOUT = 100, 302, 303
SCENARIO = Scenario(
    "planted",
    "for the checker",
    fleet=Fleet(servers=4, cold_from=0.1, cold=Span(1000 * MS), fall=Span(100 * MS), fall_multiple=2.0),
    instances=Instances(attempts=3),
    classes=(
        Class("free"),
        Class("single", repeat="single_shot"),
        Class("guarded", repeat="guarded", window=Span(300 * MS)),
        Class("cell", repeat="guarded", group="cell", window=Span(300 * MS)),
    ),
)


def request(at, rid, cls=FREE, instance=0, wait=1000 * MS):
    return (at, REQUEST, rid, rid, instance, cls, 0, 0, wait, 0)


def broken_rules(*records):
    judge = Judge(SCENARIO)
    for record in records:
        judge(record)
    judge.finish()
    return {rule for rule, count in judge.counts.items() if count}


def served(at, rid, cls=FREE, server=0):
    return [
        request(at, rid, cls),
        (at, SEND, rid, 0, server),
        (at + 1, ARRIVE, rid, 0, server, 0, 5.0, 1),
        (at + 1, BEGIN, rid, 0, server),
        (at + 2, OUTCOME, rid, 0, OK),
        (at + 2, END, rid, SERVED, 0),
    ]


def test_correct_traces_have_no_breaches():
    again = [
        request(10, 2, SINGLE),
        (10, SEND, 2, 0, 1),
        (11, OUTCOME, 2, 0, FULL),
        (11, SEND, 2, 1, 2),
        (12, OUTCOME, 2, 1, OK),
        (12, END, 2, SERVED, 0),
    ]
    guarded = [
        request(20, 3, GUARDED),
        (20, SEND, 3, 0, 1),
        (30, OUTCOME, 3, 0, TIMEOUT),
        (31, SEND, 3, 1, 2),
        (32, OUTCOME, 3, 1, OK),
        (32, END, 3, SERVED, 0),
    ]
    lost = [request(40, 4), (40, SEND, 4, 0, 1), (41, END, 4, LOST, 0), (41, INSTANCE, 0, 0)]
    assert broken_rules(*served(0, 1), *again, *guarded, *lost) == set()


@pytest.mark.parametrize(
    ("rule", "records"),
    [
        ("answer", [request(0, 1), (1001 * MS, END, 1, REFUSED, 0)]),
        ("answer", [request(0, 1), (999 * MS, END, 1, TIMED_OUT, 0)]),
        ("answer", [request(0, 1), request(2000 * MS, 2), (2000 * MS, END, 2, REFUSED, 0)]),
        ("answer", [request(0, 1), (1, SEND, 1, 0, 0), (2, END, 1, REFUSED, 0), (3, END, 1, REFUSED, 0)]),
        ("repeat", [request(0, 1, SINGLE), (0, SEND, 1, 0, 0), (9, OUTCOME, 1, 0, TIMEOUT), (9, SEND, 1, 1, 1)]),
        ("repeat", [request(0, 1, SINGLE), (0, SEND, 1, 0, 0), (9, SEND, 1, 1, 1)]),
        (
            "repeat",
            [request(0, 1, GUARDED), (0, SEND, 1, 0, 0), (9, OUTCOME, 1, 0, TIMEOUT), (300 * MS, SEND, 1, 1, 1)],
        ),
        ("repeat", [request(0, 1, CELL), (0, SEND, 1, 0, 0), (9, OUTCOME, 1, 0, TIMEOUT), (10, SEND, 1, 1, 1)]),
        ("drain", [(0, NOTIFIED, 0, 2, DRAINING, 0), request(251 * MS, 1), (251 * MS, SEND, 1, 0, 2)]),
        ("conservation", [request(0, 1), (0, SEND, 1, 0, 0), (1, OUTCOME, 1, 0, OK), (2, OUTCOME, 1, 0, OK)]),
        ("conservation", [request(0, 1), (0, SEND, 1, 0, 0), (1, BEGIN, 1, 0, 3)]),
        ("conservation", [request(0, 1), (0, SEND, 1, 0, 0), (1, BEGIN, 1, 0, 0), (1, BEGIN, 1, 0, 0)]),
        ("conservation", [request(0, 1), (0, END, 1, SERVED, 0)]),
        ("conservation", [request(5, 1), request(4, 2)]),
        ("conservation", [request(0, 1), *((n, SEND, 1, n, n) for n in range(4))]),
        ("conservation", [(0, SEND, 9, 0, 0)]),
    ],
)
def test_each_planted_breach_is_reported(rule, records):
    assert rule in broken_rules(*records)


def cold(notice, multiple):
    """Build the trace of a server that starts at 1 s with a warm capacity of 2 and gets a multiple of its limit."""
    start = 1000 * MS
    work = multiple * 2.0 * 2 * (0.1 + 0.9 * 0.15) * 100 * MS / 100
    records = [(0, SERVER, 0, UP, 2.0, 0.1), (start, SERVER, 0, UP, 2.0, 0.1)]
    if notice:
        records.append((start + MS, NOTIFIED, 0, 0, UP, start))
    for n in range(100):
        at = start + 50 * MS + n * MS
        records += [
            request(at, n),
            (at, SEND, n, 0, 0),
            (at, ARRIVE, n, 0, 0, 0, work, 1),
            (at, OUTCOME, n, 0, OK),
            (at, END, n, SERVED, 0),
        ]
    return records


def test_cold_breach_counts_only_for_informed_instances():
    assert broken_rules(*cold(True, 1.3)) == {"cold"}
    assert broken_rules(*cold(True, 0.7)) == set()
    assert broken_rules(*cold(False, 1.3)) == set()


def test_drain_notice_ends_with_instance_restart_or_server_return():
    notice = (0, NOTIFIED, 0, 2, DRAINING, 0)
    assert broken_rules(notice, (1, NOTIFIED, 0, 2, UP, 0), *served(300 * MS, 1, server=2)) == set()
    assert broken_rules(notice, (1, INSTANCE, 0, 0), *served(300 * MS, 1, server=2)) == set()
