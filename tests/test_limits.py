"""Request limits: rates, retry budgets, concurrency limits and lanes, with an explicit clock."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosechute.load_balancing import RequestClass
from rosechute.proxy.core.ports import RequestInfo
from rosechute.sidecar.request_limits.budget import AttemptBudget, Share
from rosechute.sidecar.request_limits.limiter import SHARED_LANES, Limits, RouteLimiter
from rosechute.sidecar.request_limits.rate import RateLimit, per_second

SECOND = 10**9
KIND = RequestClass("c", SECOND, SECOND)


def asked(limits, tenant=0, key=""):
    return RequestInfo(b"x", 0, KIND, SECOND, 0, tenant, key, rule=limits)


def limiter(*routes, lanes=1000, tenants=("t0", "t1", "t2")):
    return RouteLimiter(routes, tenants, lanes, 3600 * SECOND, 1)


def test_rate_admits_the_burst_and_then_one_request_per_interval():
    rate, full_at, passed = per_second(10, 3), 0, []
    for at in range(0, 10**9, 10**7):
        if not rate.ready_in(full_at, at):
            full_at = rate.taken(full_at, at)
            passed.append(at // 10**6)
    assert passed[:5] == [0, 10, 20, 100, 200] and len(passed) == 12


@given(st.floats(0.001, 1000), st.integers(1, 50), st.lists(st.integers(0, 5 * SECOND), max_size=200))
def test_rate_is_never_exceeded(per_s, burst, gaps):
    rate, full_at, now, times = per_second(per_s, burst), 0, 0, []
    for gap in gaps:
        now += gap
        wait = rate.ready_in(full_at, now)
        if not wait:
            full_at = rate.taken(full_at, now)
            times.append(now)
        else:
            # The reported wait for the next request is exact to the nanosecond.
            assert not rate.ready_in(full_at, now + wait) and rate.ready_in(full_at, now + wait - 1)
    for i, first in enumerate(times):
        for j in range(i, len(times)):
            assert j - i + 1 <= burst + (times[j] - first) / rate.interval_ns + 1e-6


def test_rate_of_one_request_per_hour():
    own = Limits("r", rate=per_second(1 / 3600, 1))
    made = limiter(own)
    assert made.asks(0, "1", asked(own)).state == "go"
    made.ended(1, "1", "served")
    refused = made.asks(60 * SECOND, "2", asked(own))
    assert (refused.state, refused.hold_off_ns) == ("refuse", 3540 * SECOND)
    assert made.asks(3600 * SECOND, "3", asked(own)).state == "go"


@pytest.mark.parametrize("step", [-3600 * SECOND, -1, 3600 * SECOND])
def test_clock_step_does_not_block_requests(step):
    rate = RateLimit(SECOND, 2)
    full_at = rate.taken(rate.taken(0, 10**12), 10**12)
    now = 10**12 + step
    assert rate.ready_in(full_at, now) <= rate.interval_ns
    budget = AttemptBudget(Share(0.5, 1.0), 10**12)
    for _ in range(10):
        budget.first(10**12)
    while budget.spend(10**12):
        pass
    assert 0 <= budget.left(now) <= 15


def test_retry_budget_is_a_ratio_of_first_attempts_plus_a_minimum():
    budget = AttemptBudget(Share(0.2, 0.5), 0)
    assert sum(budget.spend(0) for _ in range(100)) == 5  # the minimum alone
    for at in range(100):
        budget.first(at * 10**7)
    assert sum(budget.spend(SECOND) for _ in range(100)) == 20 and budget.denied > 0
    assert budget.left(40 * SECOND) == 5  # all events have left the window


@given(st.lists(st.tuples(st.integers(0, 2 * SECOND), st.booleans()), max_size=300))
def test_retry_budget_holds_over_any_window(steps):
    share, now, firsts, spent = Share(0.3, 0.2), 0, [], []
    budget = AttemptBudget(share, 0)
    for gap, first in steps:
        now += gap
        if first:
            budget.first(now)
            firsts.append(now)
        elif budget.spend(now):
            spent.append(now)
    for end in spent:
        # Retries within a window never exceed twice the budget earned by the first attempts of three windows.
        past = [at for at in spent if end - share.window_ns < at <= end]
        came = [at for at in firsts if end - 3 * share.window_ns < at <= end]
        assert len(past) <= 2 * (share.floor + share.ratio * len(came)) + 1


def test_requests_queue_in_fifo_order_and_the_excess_is_rejected_at_once():
    own = Limits("r", max_in_flight=2, max_waiting=2)
    made = limiter(own)
    states = [made.asks(0, str(i), asked(own)).state for i in range(6)]
    assert states == ["go", "go", "wait", "wait", "refuse", "refuse"]
    assert [tid for tid, _ in made.ended(5 * SECOND, "0", "served")] == ["2"]
    assert made.asks(5 * SECOND, "6", asked(own)).state == "wait"
    late = made.asks(5 * SECOND, "7", asked(own))
    assert (
        late.state == "refuse" and late.hold_off_ns == 3 * 5 * SECOND // 2
    )  # estimated from the mean request duration
    assert made.ended(6 * SECOND, "3", "refused") == []  # timed out in the queue
    assert [tid for tid, _ in made.ended(6 * SECOND, "1", "failed")] == ["6"]
    row = next(made.rows(6 * SECOND))
    assert (row["in_flight"], row["waiting"]) == (2, 0)
    assert row["refused"] == {"rate": 0, "in_flight": 3, "waited": 1, "module": 0}
    assert row["ended"] == {"served": 1, "failed": 1, "gone": 0}


def test_a_rejected_request_takes_no_token():
    own = Limits("r", max_in_flight=1, rate=per_second(1, 2))
    made = limiter(own)
    assert made.asks(0, "1", asked(own)).state == "go"
    assert made.asks(0, "2", asked(own)).state == "refuse"
    made.ended(1, "1", "served")
    assert made.asks(1, "3", asked(own)).state == "go"


def test_tenants_have_separate_limits():
    own = Limits("r", rate=per_second(1, 5), limit_by="tenant")
    made = limiter(own)
    assert sum(made.asks(0, f"a{i}", asked(own, 0)).state == "go" for i in range(50)) == 5
    assert sum(made.asks(0, f"b{i}", asked(own, 1)).state == "go" for i in range(50)) == 5
    # Tenants unknown to the settings share one lane, so that invented names do not raise the limit.
    assert sum(made.asks(0, f"c{i}", asked(own, -1)).state == "go" for i in range(50)) == 5


def test_number_of_lanes_is_bounded_and_no_key_exceeds_its_limit():
    own = Limits("r", rate=per_second(1 / 3600, 2), limit_by="key")
    made = limiter(own, lanes=5000)
    passed = {}
    for turn in range(3):
        for i in range(100_000 if not turn else 2000):
            if made.asks(turn * SECOND, f"{turn}-{i}", asked(own, 0, f"k{i}")).state == "go":
                passed[i] = passed.get(i, 0) + 1
                made.ended(turn * SECOND, f"{turn}-{i}", "served")
    assert made.lanes() <= 5000 + SHARED_LANES and max(passed.values()) == 2
    assert all(passed[i] == 2 for i in range(2000))  # the first keys have lanes of their own
    assert made.open_requests() == 0


def test_lanes_with_full_buckets_are_evicted():
    own = Limits("r", rate=per_second(10, 2), limit_by="key")
    made = limiter(own, lanes=1000)
    for i in range(20_000):  # a thousand a second, each full again after 0.2 s
        now = i * 10**6
        assert made.asks(now, str(i), asked(own, 0, f"k{i}")).state == "go"
        made.ended(now, str(i), "served")
    assert made.lanes() < 400


def test_lane_with_an_open_request_is_not_evicted():
    own = Limits("r", max_in_flight=1, limit_by="key")
    made = limiter(own, lanes=50)
    assert made.asks(0, "open", asked(own, 0, "mine")).state == "go"
    for i in range(5000):
        made.asks(i, f"x{i}", asked(own, 0, f"k{i}"))
        made.ended(i, f"x{i}", "served")
    assert made.asks(6000, "again", asked(own, 0, "mine")).state == "refuse"
    made.ended(7000, "open", "served")
    assert made.asks(7000, "now", asked(own, 0, "mine")).state == "go"


def test_lowered_limit_admits_nothing_until_enough_requests_end():
    own = Limits("r", max_in_flight=4, max_waiting=9)
    made = limiter(own)
    for i in range(6):
        made.asks(0, str(i), asked(own))
    lower = Limits("r", max_in_flight=2, max_waiting=9)
    made.adopt([lower], (), 1000, SECOND, 1)
    assert made.released(1) == []
    assert made.ended(2, "0", "served") == [] and made.ended(2, "1", "served") == []
    assert [tid for tid, _ in made.ended(2, "2", "served")] == ["4"]
    higher = Limits("r", max_in_flight=9, max_waiting=9)
    made.adopt([higher], (), 1000, SECOND, 3)
    assert [tid for tid, _ in made.released(3)] == ["5"]


def test_removed_route_admits_its_queue_and_is_deleted_after_the_last_request():
    own = Limits("r", max_in_flight=1, max_waiting=9)
    made = limiter(own)
    for i in range(3):
        made.asks(0, str(i), asked(own))
    made.adopt([], (), 1000, SECOND, 1)
    assert [tid for tid, _ in made.released(1)] == ["1", "2"]
    assert next(made.rows(1))["dropped"]
    for i in range(3):
        assert made.ended(2, str(i), "served") == []
    assert list(made.rows(2)) == [] and made.lanes() == 0 and made.open_requests() == 0


def test_renamed_tenant_gets_a_new_lane_and_open_requests_end_on_the_old_one():
    own = Limits("r", max_in_flight=1, limit_by="tenant")
    made = limiter(own, tenants=("old",))
    assert made.asks(0, "1", asked(own, 0)).state == "go"
    made.adopt([own], ("new",), 1000, SECOND, 1)
    assert made.asks(1, "2", asked(own, 0)).state == "go"
    made.ended(2, "1", "served")
    made.ended(2, "2", "served")
    assert next(made.rows(2))["in_flight"] == 0


def test_changed_limit_by_starts_new_lanes():
    by_route, by_key = Limits("r", max_in_flight=1, max_waiting=1), Limits("r", max_in_flight=1, limit_by="key")
    made = limiter(by_route)
    made.asks(0, "1", asked(by_route))
    made.asks(0, "2", asked(by_route))
    made.adopt([by_key], (), 1000, SECOND, 1)
    assert made.asks(1, "3", asked(by_key, 0, "k")).state == "go"
    assert [tid for tid, _ in made.ended(2, "1", "served")] == ["2"]
    assert made.ended(3, "2", "served") == [] and made.ended(3, "3", "served") == []
    assert made.open_requests() == 0


def test_spent_tokens_are_handed_over_to_the_next_process():
    own = Limits("r", rate=per_second(1, 5), limit_by="tenant")
    old, new = limiter(own), limiter(own)
    for i in range(5):
        assert old.asks(0, str(i), asked(own, 1)).state == "go"
    assert new.recall(10**6, old.told(10**6))
    assert new.asks(10**6, "x", asked(own, 1)).state == "refuse"
    assert new.asks(10**6, "y", asked(own, 2)).state == "go"
    for wrong in (5, [["r"]], [["r", "t", "x"]], None):
        assert not new.recall(0, wrong)
    assert new.recall(0, [["nobody", "", 5], ["r", "t1", -5]])


@given(
    st.lists(
        st.tuples(st.sampled_from(["ask", "end", "lower", "raise", "drop", "back"]), st.integers(0, 9)), max_size=120
    )
)
def test_no_request_is_lost_in_any_sequence_of_events(steps):
    """Every request is admitted, queued or rejected, and every queue drains in the end."""
    sizes = {
        name: Limits("r", max_in_flight=most, max_waiting=3)
        for name, most in (("lower", 1), ("raise", 4), ("back", 2))
    }
    own = sizes["back"]
    made, now, count = limiter(own), 0, 0
    going, waiting, listed = [], [], True
    for step, which in steps:
        now += 10**6
        if step == "ask" and listed:
            count += 1
            state = made.asks(now, str(count), asked(own)).state
            (going if state == "go" else waiting if state == "wait" else []).append(str(count))
        elif step == "end" and going + waiting:
            tid = (going + waiting)[which % len(going + waiting)]
            (going if tid in going else waiting).remove(tid)
            for ready, _ in made.ended(now, tid, "served"):
                waiting.remove(ready)
                going.append(ready)
        elif step in sizes or step == "drop":
            listed = step in sizes
            made.adopt([sizes[step]] if step in sizes else [], (), 100, SECOND, now)
            for ready, _ in made.released(now):
                waiting.remove(ready)
                going.append(ready)
        assert made.open_requests() == len(going) + len(waiting)
    for _ in range(len(going) + len(waiting)):
        for ready, _ in made.ended(now, going.pop(), "served"):
            waiting.remove(ready)
            going.append(ready)
        if not going:
            break
    assert not waiting and made.open_requests() == 0
