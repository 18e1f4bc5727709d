"""Load reports in responses, in a fleet that is too large for one sidecar to learn from its own calls."""

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


def send_calls(balancer, count, answer, now=2 * SECOND):
    """Send calls in sequence, 50 ms apart, and return the number of attempts by server."""
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


def is_large(name):
    return int(name[1:]) % 2 == 0


def test_draws_follow_the_reported_capacity():
    balancer, _ = fleet(24)

    def answer(name):
        return How.OK, {"util": 0.5, "qps": 30.0 if is_large(name) else 5.0}

    sent = send_calls(balancer, 1500, answer)
    sent_by_size = {
        size: [sent[s.name] for s in balancer._subset[:8] if is_large(s.name) is size] for size in (True, False)
    }
    assert min(sent_by_size[True]) > 1.5 * max(sent_by_size[False])


def test_reports_are_not_used_in_a_small_fleet():
    balancer, _ = fleet(12)
    send_calls(balancer, 200, lambda name: (How.OK, {"util": 0.5, "qps": 30.0 if is_large(name) else 5.0}))
    assert balancer._mean_capacity == 0.0


def test_server_with_some_errors_gets_fewer_calls():
    balancer, _ = fleet(24)
    attempts = Counter()
    bad = balancer._subset[0].name

    def answer(name):
        attempts[name] += 1
        failed = name == bad and attempts[name] % 2  # never two in a row, which would eject the server
        return (How.ERROR if failed else How.OK), {"util": 0.5, "qps": 10.0}

    sent = send_calls(balancer, 1200, answer)
    others = [sent[s.name] for s in balancer._subset[1:8]]
    assert sent[bad] < 0.6 * sum(others) / len(others)


def test_server_that_refuses_two_calls_in_a_row_is_ejected():
    balancer, _ = fleet(24)
    send_calls(balancer, 200, lambda name: (How.OK, {"util": 0.5, "qps": 10.0}))
    full = balancer._subset[0].name
    sent = send_calls(balancer, 30, lambda name: ((How.FULL if name == full else How.OK), {}), now=20 * SECOND)
    assert sent[full] <= 3
    assert balancer._servers[full].k == 0


def test_unusable_reports_are_ignored():
    balancer, _ = fleet(24)
    for load in ({"util": 0.0, "qps": 0.0}, {"util": 0.01, "qps": 9.0}, {"qps": 9.0}, {"util": 0.9}, {}):
        send_calls(balancer, 20, lambda name, load=load: (How.OK, load))
    assert balancer._mean_capacity == 0.0


def calls_to_cold_server(sidecar_index):
    """Return the number of calls that a sidecar sends to a server in the first 2 s after its cold start.

    The server starts 1 s after traffic has grown sixfold from 3 calls in 4 s. All servers report their true capacity
    of 20 calls per second.
    """
    balancer, _ = fleet(24, seed=sidecar_index, index=sidecar_index)
    now = 2 * SECOND + sidecar_index * 7 * MS
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


def test_burst_does_not_multiply_calls_to_a_cold_server():
    # 100 sidecars send 75 calls per second, 3 to each server, and then 450. A cold server can process 2 per second, a
    # tenth of its capacity.
    sent = [sum(calls_to_cold_server(100 * repetition + offset) for offset in range(100)) for repetition in range(12)]
    assert 2 < sum(sent) / len(sent) < 5, sent
