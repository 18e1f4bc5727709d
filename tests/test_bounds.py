"""Limits that operators set for a route."""

import pytest
from build import MS, SECOND, balancer, of_type, outcome

from rosechute.load_balancing import (
    Accept,
    Alarm,
    Bounds,
    Defer,
    Directory,
    Entry,
    Fail,
    How,
    Refuse,
    Retract,
    Submit,
)

FREE, SINGLE, GUARDED = 0, 1, 2
LIMITS = {"maxAttempts": 3, "secondCopies": True, "cancel": True, "connectTimeoutNs": 10 * MS}


def call(tid, cls=FREE, **bounds):
    return Accept(tid, cls, SECOND, bounds=Bounds(**bounds))


class CountingBudget:
    """Retry budget with a fixed number of attempts."""

    def __init__(self, left):
        self.left = left

    def spend(self, now):
        self.left -= 1
        return self.left >= 0


def first(b, event, now=0):
    return of_type(b.handle(now, event), Submit)[0]


def test_attempt_timeout_does_not_exceed_the_deadline():
    b = balancer()
    assert first(b, call("a", try_ns=100 * MS)).abandon_ns == 100 * MS
    assert first(b, call("b", try_ns=5 * SECOND)).abandon_ns == SECOND
    assert first(b, Accept("c", FREE, SECOND)).abandon_ns == SECOND


def test_attempt_limit_does_not_exceed_that_of_the_settings():
    for limit, sent in ((1, 1), (2, 2), (9, 3)):
        b = balancer(servers=6, limits=LIMITS)
        send, count, now = first(b, call("a", attempts=limit)), 1, 0
        while True:
            now += MS
            done = b.handle(now, outcome(send, How.ERROR, MS, count - 1))
            if not of_type(done, Submit):
                break
            send, count = of_type(done, Submit)[0], count + 1
        assert count == sent and of_type(done, Refuse | Fail)


@pytest.mark.parametrize(
    "how, again",
    [
        (How.FULL, True),
        (How.ERROR, False),
        (How.MOOT, True),
        (How.TIMEOUT, False),
        (How.RESET, False),
        (How.CONNECT_FAILED, False),
    ],
)
def test_retry_only_after_the_listed_outcomes(how, again):
    b = balancer()
    send = first(b, call("a", retry_on=frozenset({How.FULL})))
    done = b.handle(MS, outcome(send, how, MS))
    assert bool(of_type(done, Submit)) is again and bool(of_type(done, Refuse | Fail)) is not again


def test_retry_on_does_not_extend_what_a_class_allows():
    b = balancer()
    every = frozenset({How.FULL, How.ERROR, How.TIMEOUT, How.RESET, How.CONNECT_FAILED})
    send = first(b, call("a", SINGLE, retry_on=every, copy_after_ns=10 * MS, attempts=3))
    assert not of_type(b.handle(20 * MS, Alarm(2)), Submit)
    done = b.handle(30 * MS, outcome(send, How.RESET, 30 * MS))
    assert not of_type(done, Submit) and of_type(done, Fail)


def test_retries_are_taken_from_the_budget_of_the_route():
    b, budget = balancer(servers=6, limits=LIMITS), CountingBudget(2)
    attempts = 0
    for i in range(6):
        send = first(b, call(f"c{i}", budget=budget, attempts=2), i * 10 * MS)
        attempts += len(of_type(b.handle(i * 10 * MS + MS, outcome(send, How.FULL, MS)), Submit))
    assert attempts == 2


def copies(cls=FREE, limits=LIMITS, servers=4, **bounds):
    """Return a balancer with a call in flight, its attempt, and the timer of the second copy."""
    b = balancer(servers=servers, limits=limits)
    done = b.handle(0, call("a", cls, copy_after_ns=50 * MS, **bounds))
    send, timer = of_type(done, Submit)[0], [d for d in of_type(done, Defer) if d.tag > 1][0]
    assert timer.in_ns == 50 * MS
    return b, send, timer


def test_second_copy_goes_to_another_server_and_the_slower_attempt_is_retracted():
    b, send, timer = copies()
    copy = of_type(b.handle(50 * MS, Alarm(timer.tag)), Submit)[0]
    assert copy.tid == "a" and copy.server != send.server
    assert not of_type(b.handle(60 * MS, Alarm(timer.tag)), Submit)  # there is only one copy
    done = b.handle(70 * MS, outcome(copy, How.OK, 20 * MS, 1))
    assert of_type(done, Retract) == [Retract("a", 0)]
    assert not of_type(b.handle(71 * MS, outcome(send, How.CANCELLED, 71 * MS, 0)), Submit | Refuse | Fail)


def test_failure_of_one_copy_does_not_end_the_call():
    b, send, timer = copies()
    copy = of_type(b.handle(50 * MS, Alarm(timer.tag)), Submit)[0]
    assert not of_type(b.handle(60 * MS, outcome(send, How.ERROR, 60 * MS, 0)), Submit | Refuse | Fail)
    assert of_type(b.handle(70 * MS, outcome(copy, How.ERROR, 20 * MS, 1)), Submit)


def test_no_second_copy_after_the_answer_or_if_not_allowed():
    b, send, timer = copies()
    b.handle(20 * MS, outcome(send, How.OK, 20 * MS))
    assert not of_type(b.handle(50 * MS, Alarm(timer.tag)), Submit)
    b, _, timer = copies(limits={**LIMITS, "secondCopies": False})
    assert not of_type(b.handle(50 * MS, Alarm(timer.tag)), Submit)
    b, _, timer = copies(attempts=1)
    assert not of_type(b.handle(50 * MS, Alarm(timer.tag)), Submit)
    b, _, timer = copies(budget=CountingBudget(0))
    assert not of_type(b.handle(50 * MS, Alarm(timer.tag)), Submit)
    b, _, timer = copies(servers=1)
    assert not of_type(b.handle(50 * MS, Alarm(timer.tag)), Submit)


def test_second_copy_of_a_guarded_call_stays_in_the_group():
    for seed in range(20):
        b = balancer(servers=0, seed=seed, limits=LIMITS)
        b.handle(0, Directory("FULL", tuple(Entry(f"s{i}", i % 2) for i in range(6))))
        done = b.handle(0, call("a", GUARDED, copy_after_ns=50 * MS))
        send, timer = of_type(done, Submit)[0], [d for d in of_type(done, Defer) if d.tag > 1][0]
        for copy in of_type(b.handle(50 * MS, Alarm(timer.tag)), Submit):
            assert int(copy.server[1:]) % 2 == int(send.server[1:]) % 2
        b.handle(60 * MS, outcome(send, How.ERROR, 60 * MS, 0))


def test_the_window_counts_from_the_first_that_may_have_run_and_leaves_time_to_connect():
    # The window is 1 s and connecting may take 0.6 s, so a repeat is possible within the first 0.4 s.
    for at, again in ((390, True), (410, False)):
        b = balancer(
            limits={**LIMITS, "connectTimeoutNs": 600 * MS},
            classes=[
                {
                    "name": "g",
                    "onTimeNs": 900 * MS,
                    "hardLimitNs": SECOND,
                    "repeat": "guarded",
                    "group": "all",
                    "windowNs": SECOND,
                }
            ],
        )
        send = first(b, call("a", 0))
        assert bool(of_type(b.handle(at * MS, outcome(send, How.ERROR, at * MS)), Submit)) is again


def test_open_call_keeps_its_limits_when_settings_change():
    from build import settings

    from rosechute.load_balancing import Reconfigure

    b = balancer(servers=6, limits=LIMITS)
    send = first(b, call("a", attempts=2))
    b.handle(MS, Reconfigure(settings(limits={"maxAttempts": 1})))
    assert not of_type(b.handle(2 * MS, outcome(send, How.FULL, MS)), Submit)
