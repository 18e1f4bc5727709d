"""Simulation model: server timing against arithmetic, independent random streams, equal traces for equal seeds."""

import json
import os
import subprocess
import sys

import pytest

from rosechute import native
from rosechute.sidecar.operator_configuration.units import Span
from rosechute.simulation.draw import Streams, Zipf
from rosechute.simulation.engine import Engine
from rosechute.simulation.library import load, names
from rosechute.simulation.network import FROM, TO, Paths
from rosechute.simulation.rivals import NAMES
from rosechute.simulation.run import run
from rosechute.simulation.server import Job, Server
from rosechute.simulation.spec import Class, Clients, Fault, Fleet, Instances, Network, Scenario

MS = 1_000_000


def server(**spec):
    engine = Engine()
    ended, overloads = [], []
    made = Server(
        engine, Fleet(**{"cores": 1, "slots": 1, "room": 2, **spec}), 0, 0, lambda *_: None, overloads.append
    )

    def send(rid, work, key=-1):
        job = Job(rid, 0, 0, key, work, 0, None, lambda job, ran: ended.append((job.rid, engine.now // MS, ran)))
        return job, made.arrive(job)

    return engine, made, send, ended, overloads


def test_server_queue_is_fifo_and_bounded():
    engine, made, send, ended, _ = server()
    assert [send(n, 10.0 * MS)[1] for n in range(4)] == [True, True, True, False]
    engine.run(100 * MS)
    assert ended == [(0, 10, True), (1, 20, True), (2, 30, True)]
    assert made.held == 0


def test_requests_in_service_share_cores():
    engine, _, send, ended, _ = server(slots=2)
    send(1, 10.0 * MS)
    engine.run(5 * MS)
    send(2, 10.0 * MS)
    engine.run(100 * MS)
    assert ended == [(1, 15, True), (2, 20, True)]


def test_speed_changes_apply_from_their_time():
    engine, made, send, ended, _ = server()
    send(1, 10.0 * MS)
    engine.run(5 * MS)
    made.changed()
    made.hung.add(1)
    made.changed()
    engine.run(50 * MS)
    made.changed()
    made.hung.clear()
    made.speeds[1] = 0.5
    made.changed()
    engine.run(100 * MS)
    assert ended == [(1, 60, True)]


def test_withdraw_drops_queued_but_not_running_jobs():
    engine, made, send, ended, _ = server()
    (running, _), (waiting, _) = send(1, 10.0 * MS), send(2, 10.0 * MS)
    send(3, 10.0 * MS)
    assert not made.withdraw(running)
    assert made.withdraw(waiting)
    engine.run(100 * MS)
    assert ended == [(1, 10, True), (3, 20, True)]


def test_jobs_of_a_stopped_process_cannot_be_withdrawn():
    _, made, send, _, _ = server()
    jobs = [send(n, 10.0 * MS)[0] for n in range(2)]
    made.stop()
    made.start()
    assert not any(made.withdraw(job) for job in jobs)


def test_stop_fails_all_jobs_and_next_process_is_cold():
    engine, made, send, ended, _ = server(cold_from=0.5, cold=Span(1000 * MS))
    send(1, 10.0 * MS)
    send(2, 10.0 * MS)
    engine.run(5 * MS)
    made.stop()
    assert ended == [(1, 5, False), (2, 5, False)]
    made.start()
    send(3, 10.0 * MS)
    engine.run(200 * MS)
    assert ended[2][1] - 5 in range(18, 21)  # half the speed, growing


def test_cold_server_crashes_on_overload():
    engine, made, send, _, overloads = server(cold_from=0.1, cold=Span(1000 * MS), fall=Span(100 * MS), room=1000)
    engine.run(1)
    made.start()
    for n in range(200):
        engine.run(engine.now + MS)
        send(n, 1.0 * MS)
    assert overloads and overloads[0] is made


def test_cached_keys_cost_less_until_evicted():
    engine, _, send, ended, _ = server(cache=1, cache_factor=0.5)
    for n, key in enumerate((7, 7, 8, 7)):
        send(n, 10.0 * MS, key)
        engine.run(engine.now + 50 * MS)
    assert [at % 50 for _, at, _ in ended] == [10, 5, 10, 10]


def test_crowding_reduces_speed():
    engine, _, send, ended, _ = server(slots=1, room=1, crowding=1.0)
    send(1, 10.0 * MS)
    send(2, 10.0 * MS)
    engine.run(100 * MS)
    assert ended == [(1, 20, True), (2, 30, True)]  # at half the speed while one waits


def test_paths_can_be_cut_one_way_and_lose_messages():
    paths = Paths(Network(jitter=0.0), Streams(1).of("n"))
    assert paths.delay(0, 0, TO, True) == MS // 4
    paths.cuts[1] = (frozenset({0}), frozenset({0}), FROM)
    assert paths.delay(0, 0, FROM, True) is None
    assert paths.delay(0, 0, TO, True) is not None
    assert paths.delay(1, 0, FROM, True) is not None
    paths.losses[2] = 0.5
    again = sum(paths.delay(1, 1, TO, True) > 200 * MS for _ in range(2000))
    assert 900 < again < 1100


def test_streams_are_independent():
    one, other = Streams(5), Streams(5)
    other.of("more").uniform()
    other.of("a").normal()
    assert [one.of("a").uniform() for _ in range(3000)] == [other.of("a").uniform() for _ in range(3000)]
    assert one.of("a").uniform() != one.of("b").uniform()


def test_zipf_frequencies_match_the_distribution():
    zipf, stream = Zipf(10, 1.0), Streams(1).of("k")
    drawn = [zipf.draw(stream) for _ in range(20_000)]
    total = sum(1 / n for n in range(1, 11))
    for key in (0, 4, 9):
        assert drawn.count(key) / 20_000 == pytest.approx(1 / (key + 1) / total, rel=0.1)


SHORT = Scenario(
    "short",
    "all at once",
    duration=Span(4000 * MS),
    clients=Clients(rate=300.0, retries=1, tenants=(2.0, 1.0)),
    fleet=Fleet(servers=6, zones=2, connections=40, handshake=Span(MS), reports="some", cold=Span(1000 * MS)),
    instances=Instances(count=3, second_copies=True),
    classes=(Class("a"), Class("b", repeat="guarded", group="zone"), Class("c", repeat="single_shot")),
    faults=(
        Fault("crash-loop", at=Span(500 * MS), lasts=Span(2000 * MS), servers=(1,), pause=Span(300 * MS)),
        Fault("partition", at=Span(1000 * MS), lasts=Span(500 * MS), servers=(2,)),
        Fault("mass-restart", at=Span(2500 * MS), share=0.4),
        Fault("loss", at=Span(MS), share=0.02),
        Fault("rolling-deploy", at=Span(1500 * MS), lasts=Span(1500 * MS), share=0.5, pause=Span(300 * MS)),
    ),
)


@pytest.mark.parametrize("policy", NAMES)
def test_policies_keep_answer_repeat_and_drain_rules(policy):
    done = run(SHORT, policy, 3)
    broken = {rule: n for rule, n in done.result["breaches"].items() if n and rule != "cold"}
    assert not broken, done.judge.breaches
    assert done.result["served"] > 0.5
    shares = ("served", "refused", "failed", "unanswered", "lost")
    assert sum(done.result[name] for name in shares) == pytest.approx(1.0)


CODE = """import json, sys
from rosechute import native
if sys.argv[1] == "compiled":
    native.install_finder()
from rosechute.simulation.library import load
from rosechute.simulation.run import run
out = []
for name, policy in (("overload", "module"), ("crash-loop", "prequal"), ("mass-restart", "module")):
    scenario = load(name, {"duration": "6s", "warmup": "1s", "fault[0].at": "1500ms"})
    out.append(run(scenario, policy, 4).digest)
print(json.dumps(out))"""


def test_trace_depends_only_on_the_seed_also_when_compiled():
    found = []
    for hashing, how in (("1", "plain"), ("2", "plain"), ("3", "compiled")):
        env = {**os.environ, "PYTHONHASHSEED": hashing, "PYTHONPATH": native.ROOT}
        done = subprocess.run([sys.executable, "-c", CODE, how], env=env, capture_output=True, text=True, check=True)
        found.append(json.loads(done.stdout))
    assert found[0] == found[1] == found[2]
    assert len(set(found[0])) == 3


def test_bundled_scenarios_load_and_have_a_description():
    assert len(names()) >= 15
    for name in names():
        scenario = load(name)
        assert scenario.name == name
        assert len(scenario.about) > 40
