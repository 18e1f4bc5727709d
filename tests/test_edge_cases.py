"""Unusual but valid input: no exception, and each call gets exactly one answer in time."""

import io
import json
import subprocess
import sys

import pytest
from build import MS, SECOND, accept, balancer, fleet, of_type, outcome

from rosechute.load_balancing import (
    Accept,
    Alarm,
    Defer,
    Directory,
    Echo,
    Entry,
    Fail,
    Hangup,
    How,
    Refuse,
    Response,
    Submit,
)
from rosechute.load_balancing.adapter import Host


def final_answers(actions):
    return [a for a in actions if isinstance(a, Refuse | Fail)]


def run_timers(b, done, now=0, until=3 * SECOND):
    """Fire the timers of the balancer and return all final answers with their times."""
    timers, ends = [], [(now, a) for a in final_answers(done)]
    timers += [(now + d.in_ns, d.tag) for d in of_type(done, Defer)]
    while timers:
        timers.sort()
        at, tag = timers.pop(0)
        if at > until:
            break
        done = b.handle(at, Alarm(tag))
        ends += [(at, a) for a in final_answers(done)]
        timers += [(at + d.in_ns, d.tag) for d in of_type(done, Defer)]
    return ends


@pytest.mark.parametrize(
    "call",
    [
        Accept("x", -1, SECOND),
        Accept("x", 99, SECOND),
        Accept("x", 0, SECOND, tenant=-5),
        Accept("x", 0, SECOND, tenant=99),
        Accept("x", 0, SECOND, cost_ns=0),
        Accept("x", 0, SECOND, key="k"),
    ],
)
def test_unusual_values_in_a_request(call):
    assert of_type(balancer().handle(0, call), Submit)


@pytest.mark.parametrize("ttl", [0, -1, 1])
def test_request_without_time_left_is_answered_at_once(ttl):
    done = balancer().handle(0, accept("x", ttl_ns=ttl))
    assert len(final_answers(done)) == 1 and not of_type(done, Submit)


def test_zone_out_of_range():
    b = balancer(servers=0, zone=77)
    b.handle(0, Directory("FULL", (Entry("a", zone=-3), Entry("b", zone=99))))
    assert of_type(b.handle(0, accept("x")), Submit)


@pytest.mark.parametrize("servers", [(), fleet(2).entries + fleet(2).entries])
def test_empty_list_and_duplicate_entries(servers):
    b = balancer(servers=0)
    done = b.handle(0, Directory("FULL", servers))
    done = b.handle(0, accept("x"))
    assert len(of_type(done, Submit)) == (1 if servers else 0)
    assert servers or len(run_timers(b, done)) == 1


def test_missing_list():
    b = balancer(servers=0)
    ends = run_timers(b, b.handle(0, accept("x")))
    assert len(ends) == 1 and ends[0][0] < SECOND


def test_events_after_the_end_of_a_call():
    b = balancer(servers=1)
    send = of_type(b.handle(0, accept("x")), Submit)[0]
    b.handle(MS, Hangup("x"))
    assert not final_answers(b.handle(2 * MS, outcome(send, How.TIMEOUT)))
    assert not b.handle(3 * MS, Hangup("x"))
    b.handle(3 * MS, Directory("FULL"))
    assert not b.handle(4 * MS, Echo(send.server, How.OK, 1, {"queue": 1.0}))
    assert not b.handle(4 * MS, Echo("never:1", How.OK, 1, {"queue": 1.0}))
    assert not b.handle(5 * MS, Response("y", 999, 1, "never:1", 7, True))


def test_thousands_of_events_after_a_long_pause():
    b = balancer(servers=6)
    now, ends, sends = 600 * SECOND, 0, 0
    for i in range(5000):
        done = b.handle(now, accept(f"x{i}"))
        sends += len(of_type(done, Submit))
        ends += len(final_answers(done))
    assert sends > 0 and ends + sends + len(b._held) == 5000
    done = b.handle(now + SECOND, Alarm(1))
    assert len(final_answers(done)) + len(of_type(done, Submit)) == 5000 - ends - sends


def test_targets_of_nanoseconds():
    b = balancer(servers=1, classes=[{"onTimeNs": 1, "hardLimitNs": 2}])
    for i in range(5):
        done = b.handle(0, accept(f"x{i}", ttl_ns=2))
        assert len(final_answers(done)) + len(of_type(done, Submit)) == 1


def test_crash_and_reopening_in_one_batch():
    env = {"classes": [{"hardLimitNs": SECOND, "repeat": "free"}], "limits": {"maxAttempts": 2}}
    opened = f"open_instance who=0 prng=7 env={json.dumps(env)}"
    listed = ["roster slot=0 nodesList=1", "server server=a:1", "directory_update who=0 scope=SAVED slot=0"]
    lines = [
        "clock wallNs=1",
        opened,
        *listed,
        "accept who=0 tid=aa ttlNs=900000000",
        "crash_now who=0",
        opened,
        *listed,
        "accept who=0 tid=bb ttlNs=900000000",
        "response who=0 tid=aa how=100 server=a:1 go=0 closed=1",
        "eob",
    ]
    out = io.StringIO()
    assert Host(io.StringIO("\n".join(lines) + "\n"), out).run() == 0
    sent = [line for line in out.getvalue().splitlines() if line.startswith("submit_to")]
    assert [line.split()[2] for line in sent] == ["tid=aa", "tid=bb"]


def test_error_message_has_the_number_of_an_undecodable_line():
    made = subprocess.run(
        [sys.executable, "-m", "rosechute.load_balancing.adapter"],
        capture_output=True,
        input=b"clock wallNs=1\neob\nclock wallNs=2\neob\nclock wallNs=3\n\xff\neob\n",
    )
    assert made.returncode == 2 and made.stdout == b"next\nnext\n"
    assert made.stderr.startswith(b"line 6: ") and made.stderr.count(b"\n") == 1


def test_deeply_nested_settings():
    text = f"clock wallNs=1\nopen_instance who=0 prng=7 env={'[' * 100000}\neob\n"
    assert Host(io.StringIO(text), io.StringIO()).run() == 2
