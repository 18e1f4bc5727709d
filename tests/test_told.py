"""What answers tell of their servers, in a fleet too large for one sidecar to know by its own calls."""

from __future__ import annotations

from collections import Counter

from rosechute.load_balancing import Accept, Balancer, Directory, Entry, How, Response, Settings, Submit

SECOND = 1_000_000_000
MS = 1_000_000


def fleet(servers, seed=7, index=0):
    settings = Settings.parse(
        {
            "replicasOfMe": 40,
            "index": index,
            "classes": [{"name": "free", "onTimeNs": SECOND, "hardLimitNs": 2 * SECOND, "repeat": "free"}],
            "limits": {"maxAttempts": 3},
            "reporting": {"how": "answers"},
        }
    )
    balancer = Balancer(settings, seed, SECOND)
    names = [f"s{i}" for i in range(servers)]
    balancer.handle(SECOND, Directory("FULL", tuple(Entry(name) for name in names)))
    return balancer, names


def calls(balancer, count, answer, now=2 * SECOND):
    """Calls one after the other, 50 ms apart; how often each server was sent one."""
    sent = Counter()
    for i in range(count):
        now += 50 * MS
        waiting = list(balancer.handle(now, Accept(f"{now}-{i}", 0, 2 * SECOND)))
        while waiting:
            action = waiting.pop(0)
            if isinstance(action, Submit):
                sent[action.server] += 1
                how, load = answer(action.server)
                number = balancer._calls[action.tid].attempts - 1
                waiting += balancer.handle(
                    now + 40 * MS, Response(action.tid, how, 40 * MS, action.server, number, how is How.OK, load)
                )
    return sent


def large(name):
    return int(name[1:]) % 2 == 0


def test_draws_follow_what_servers_tell_that_they_can_take():
    balancer, _ = fleet(24)

    def answer(name):
        return How.OK, {"util": 0.5, "qps": 30.0 if large(name) else 5.0}

    sent = calls(balancer, 1500, answer)
    by = {size: [sent[s.name] for s in balancer._subset[:8] if large(s.name) is size] for size in (True, False)}
    assert min(by[True]) > 1.5 * max(by[False])


def test_a_small_fleet_goes_by_own_calls():
    balancer, _ = fleet(12)
    calls(balancer, 200, lambda name: (How.OK, {"util": 0.5, "qps": 30.0 if large(name) else 5.0}))
    assert balancer._told == 0.0


def test_a_server_whose_answers_are_errors_now_and_then_gets_fewer():
    balancer, _ = fleet(24)
    turn = Counter()
    bad = balancer._subset[0].name

    def answer(name):
        turn[name] += 1
        failed = name == bad and turn[name] % 2  # never twice in a row: no conviction
        return (How.ERROR if failed else How.OK), {"util": 0.5, "qps": 10.0}

    sent = calls(balancer, 1200, answer)
    others = [sent[s.name] for s in balancer._subset[1:8]]
    assert sent[bad] < 0.6 * sum(others) / len(others)


def test_a_server_that_turns_calls_away_twice_in_a_row_is_put_aside_for_a_while():
    balancer, _ = fleet(24)
    calls(balancer, 200, lambda name: (How.OK, {"util": 0.5, "qps": 10.0}))
    full = balancer._subset[0].name
    sent = calls(balancer, 30, lambda name: ((How.FULL if name == full else How.OK), {}), now=20 * SECOND)
    assert sent[full] <= 3
    assert balancer._servers[full].k == 0


def test_reports_that_tell_nothing_are_left_aside():
    balancer, _ = fleet(24)
    for load in ({"util": 0.0, "qps": 0.0}, {"util": 0.01, "qps": 9.0}, {"qps": 9.0}, {"util": 0.9}, {}):
        calls(balancer, 20, lambda name, load=load: (How.OK, load))
    assert balancer._told == 0.0


def sent_to_a_cold_server(one):
    """Calls that a sidecar sends to a server in the 2 s from its cold start, 1 s after traffic has grown to six
    times, from 3 calls in 4 s. All servers tell, truly, that they can take 20 a second."""
    balancer, _ = fleet(24, seed=one, index=one)
    now = 2 * SECOND + one * 7 * MS
    sent = []

    def call(count, gap, load):
        nonlocal now
        for _ in range(count):
            now += gap
            for action in balancer.handle(now, Accept(f"{now}", 0, 2 * SECOND)):
                if isinstance(action, Submit):
                    sent.append(action.server)
                    balancer.handle(now + MS, Response(action.tid, How.OK, MS, action.server, 0, True, load))

    call(40, 1333 * MS, {"util": 0.15, "qps": 3.0})
    call(5, 222 * MS, {"util": 0.9, "qps": 18.0})
    balancer.handle(now, Directory("INCREMENTAL", (Entry("cold", started_ns=now),)))
    sent.clear()
    call(9, 222 * MS, {"util": 0.9, "qps": 18.0})
    return sent.count("cold")


def test_a_burst_does_not_multiply_what_a_cold_server_is_sent():
    # 100 sidecars send 75 calls a second, 3 to a server, and then 450. A cold one can do a tenth: 2 a second.
    sent = [sum(sent_to_a_cold_server(100 * turn + one) for one in range(100)) for turn in range(12)]
    assert 2 < sum(sent) / len(sent) < 5, sent
