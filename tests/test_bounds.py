"""What operators set for a route, as the module keeps to it."""

import pytest
from build import MS, SECOND, balancer, only, outcome

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


class Purse:
    """A budget of so many further attempts."""

    def __init__(self, left):
        self.left = left

    def spend(self, now):
        self.left -= 1
        return self.left >= 0


def first(b, event, now=0):
    return only(b.handle(now, event), Submit)[0]


def test_one_attempt_has_its_own_time_and_never_more_than_the_call():
    b = balancer()
    assert first(b, call("a", try_ns=100 * MS)).abandon_ns == 100 * MS
    assert first(b, call("b", try_ns=5 * SECOND)).abandon_ns == SECOND
    assert first(b, Accept("c", FREE, SECOND)).abandon_ns == SECOND


def test_attempts_of_the_route_and_never_more_than_the_settings():
    for most, sent in ((1, 1), (2, 2), (9, 3)):
        b = balancer(servers=6, limits=LIMITS)
        send, count, now = first(b, call("a", attempts=most)), 1, 0
        while True:
            now += MS
            done = b.handle(now, outcome(send, How.ERROR, MS, count - 1))
            if not only(done, Submit):
                break
            send, count = only(done, Submit)[0], count + 1
        assert count == sent and only(done, Refuse | Fail)


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
def test_only_after_the_causes_that_are_named(how, again):
    b = balancer()
    send = first(b, call("a", retry_on=frozenset({How.FULL})))
    done = b.handle(MS, outcome(send, how, MS))
    assert bool(only(done, Submit)) is again and bool(only(done, Refuse | Fail)) is not again


def test_causes_never_widen_what_a_class_allows():
    b = balancer()
    every = frozenset({How.FULL, How.ERROR, How.TIMEOUT, How.RESET, How.CONNECT_FAILED})
    send = first(b, call("a", SINGLE, retry_on=every, copy_after_ns=10 * MS, attempts=3))
    assert not only(b.handle(20 * MS, Alarm(2)), Submit)
    done = b.handle(30 * MS, outcome(send, How.RESET, 30 * MS))
    assert not only(done, Submit) and only(done, Fail)


def test_further_attempts_come_out_of_the_routes_budget():
    b, purse = balancer(servers=6, limits=LIMITS), Purse(2)
    attempts = 0
    for i in range(6):
        send = first(b, call(f"c{i}", budget=purse, attempts=2), i * 10 * MS)
        attempts += len(only(b.handle(i * 10 * MS + MS, outcome(send, How.FULL, MS)), Submit))
    assert attempts == 2


def copies(cls=FREE, limits=LIMITS, servers=4, **bounds):
    """A call whose first attempt stays out until its timer has come."""
    b = balancer(servers=servers, limits=limits)
    done = b.handle(0, call("a", cls, copy_after_ns=50 * MS, **bounds))
    send, timer = only(done, Submit)[0], [d for d in only(done, Defer) if d.tag > 1][0]
    assert timer.in_ns == 50 * MS
    return b, send, timer


def test_a_second_copy_joins_the_first_at_another_server_and_the_loser_is_withdrawn():
    b, send, timer = copies()
    copy = only(b.handle(50 * MS, Alarm(timer.tag)), Submit)[0]
    assert copy.tid == "a" and copy.server != send.server
    assert not only(b.handle(60 * MS, Alarm(timer.tag)), Submit)  # one copy, however often
    done = b.handle(70 * MS, outcome(copy, How.OK, 20 * MS, 1))
    assert only(done, Retract) == [Retract("a", 0)]
    assert not only(b.handle(71 * MS, outcome(send, How.CANCELLED, 71 * MS, 0)), Submit | Refuse | Fail)


def test_while_a_copy_is_out_the_other_ones_failure_ends_nothing():
    b, send, timer = copies()
    copy = only(b.handle(50 * MS, Alarm(timer.tag)), Submit)[0]
    assert not only(b.handle(60 * MS, outcome(send, How.ERROR, 60 * MS, 0)), Submit | Refuse | Fail)
    assert only(b.handle(70 * MS, outcome(copy, How.ERROR, 20 * MS, 1)), Submit)


def test_no_copy_where_there_is_nothing_left_to_wait_for_or_none_is_allowed():
    b, send, timer = copies()
    b.handle(20 * MS, outcome(send, How.OK, 20 * MS))
    assert not only(b.handle(50 * MS, Alarm(timer.tag)), Submit)
    b, _, timer = copies(limits={**LIMITS, "secondCopies": False})
    assert not only(b.handle(50 * MS, Alarm(timer.tag)), Submit)
    b, _, timer = copies(attempts=1)
    assert not only(b.handle(50 * MS, Alarm(timer.tag)), Submit)
    b, _, timer = copies(budget=Purse(0))
    assert not only(b.handle(50 * MS, Alarm(timer.tag)), Submit)
    b, _, timer = copies(servers=1)
    assert not only(b.handle(50 * MS, Alarm(timer.tag)), Submit)


def test_a_guarded_copy_stays_in_the_group_of_the_one_that_is_out():
    for seed in range(20):
        b = balancer(servers=0, seed=seed, limits=LIMITS)
        b.handle(0, Directory("FULL", tuple(Entry(f"s{i}", i % 2) for i in range(6))))
        done = b.handle(0, call("a", GUARDED, copy_after_ns=50 * MS))
        send, timer = only(done, Submit)[0], [d for d in only(done, Defer) if d.tag > 1][0]
        for copy in only(b.handle(50 * MS, Alarm(timer.tag)), Submit):
            assert int(copy.server[1:]) % 2 == int(send.server[1:]) % 2
        b.handle(60 * MS, outcome(send, How.ERROR, 60 * MS, 0))


def test_the_window_counts_from_the_first_that_may_have_run_and_leaves_time_to_connect():
    # The class's key holds for 1 s here, and connecting may take 0.6 s: 0.4 s are left for a repeat.
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
        assert bool(only(b.handle(at * MS, outcome(send, How.ERROR, at * MS)), Submit)) is again


def test_a_call_keeps_its_bounds_when_settings_change():
    from build import settings

    from rosechute.load_balancing import Reconfigure

    b = balancer(servers=6, limits=LIMITS)
    send = first(b, call("a", attempts=2))
    b.handle(MS, Reconfigure(settings(limits={"maxAttempts": 1})))
    assert not only(b.handle(2 * MS, outcome(send, How.FULL, MS)), Submit)
