"""Cold servers under the traffic of a complete fleet: instances that know of a start do not exceed its bound."""

import pytest

from rosechute.sidecar.operator_configuration.units import Span
from rosechute.simulation.cold import FLEETS, SETTINGS, Case, ColdStarts, scenario
from rosechute.simulation.draw import Streams
from rosechute.simulation.engine import Engine
from rosechute.simulation.listing import Listing
from rosechute.simulation.server import Job, Server
from rosechute.simulation.spec import Class, Discovery, Fleet, Instances, Scenario
from rosechute.simulation.trace import ARRIVE, INSTANCE, NOTIFIED, REQUEST, SERVER, STOPPED, UP
from rosechute.simulation.world import World

MS = 1_000_000
SECOND = 1000 * MS

# A server completes 20 requests of mean work per second, a tenth of that at its start: N is 4 then, the bound 10.
ONE = Scenario(
    "one",
    "",
    instances=Instances(count=3),
    classes=(Class("a", work=Span(50 * MS)),),
    fleet=Fleet(servers=1, cores=1, cold_from=0.1, cold=Span(10_000 * SECOND), fall=Span(SECOND)),
)


def read(*sent, multiple=2.0, work=False, more=()):
    """Analyse the start of a server at 1 s, known to instance 1; `sent` has tuples of time, instance and work."""
    found = ColdStarts(ONE, multiple, work)
    records = [
        (0, SERVER, 0, UP, 1.0, 0.1),
        (SECOND, SERVER, 0, UP, 1.0, 0.1),
        (SECOND + 1, NOTIFIED, 1, 0, UP, SECOND),
        *((at, ARRIVE, n, 0, 0, instance, cost, 1) for n, (at, instance, cost) in enumerate(sent)),
        *more,
    ]
    for record in sorted(records, key=lambda record: record[0]):
        found(record)
    return found


def burst(count, instance=1, at=2 * SECOND, work=50.0 * MS):
    return [(at + n, instance, work) for n in range(count)]


def test_bound_is_budget_plus_allowance_for_chance():
    assert read(*burst(10)).broken == 0
    found = read(*burst(11))
    assert found.broken == 1
    worst = found.worst(found.told)
    assert (worst.sent, round(worst.budget, 2), worst.told) == (11, 4.0, 1.0)
    assert worst.over == pytest.approx(1.0, abs=0.01) and worst.part == pytest.approx(1.1, abs=0.01)


def test_burst_counts_only_within_its_window():
    assert read(*burst(11, at=SECOND + 2)).broken == 1
    assert read(*burst(8), *burst(8, at=3 * SECOND + 8)).broken == 0
    assert read(*burst(8), *burst(8, at=3 * SECOND - 16)).broken == 1


def test_bound_applies_only_above_two_thirds_from_informed_instances():
    some = read(*burst(6), *burst(6, 2, 2 * SECOND + 6))
    assert some.broken == 0 and some.worst(some.any).over > 0
    assert read(*burst(9), *burst(4, 2, 2 * SECOND - 4)).broken == 1
    # An instance that is killed and restarts with its last list still counts as informed.
    assert read(*burst(11), more=[(SECOND + 2, INSTANCE, 1, 0)]).broken == 1


def test_requests_count_by_work_if_configured():
    assert read(*burst(3, work=200.0 * MS), work=True).broken == 1
    assert read(*burst(30, work=10.0 * MS), work=True).broken == 0


def test_stopped_process_is_not_cold():
    gone = (SECOND + 5, SERVER, 0, STOPPED, 1.0, 0.1)
    assert read(*burst(11), more=[gone]).any == {}


def play(case, seed, policy="module", seconds=15):
    setting = scenario(case, seconds)
    found = ColdStarts(setting, SETTINGS[case.settings].fall_multiple)
    World(setting, policy, seed, (found,)).play()
    return found


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("starts", ["few", "half", "all"])
@pytest.mark.parametrize("instances, reports", [(5, "none"), (30, "none"), (30, "rates")])
def test_module_keeps_cold_servers_within_bound(instances, reports, starts, late):
    seed = 2 + late
    case = Case(instances, starts, late, "old" if late else "fresh", reports, 4.0, 0.3, "harsh")
    found = play(case, seed)
    worst = found.worst(found.told)
    assert found.any, "no cold server was sent anything"
    assert found.broken == 0, f"{case}, seed {seed}: {worst}"


def test_module_keeps_cold_servers_within_bound_with_200_instances():
    case = Case(200, "half", True, "old", "rates", 4.0, 0.3, "harsh")
    found = play(case, 1, seconds=10)
    assert len(found.told) > FLEETS[200] // 4
    assert found.broken == 0, found.worst(found.told)


def test_two_choices_exceeds_cold_bound():
    assert play(Case(30, "half", burst=4.0, use=0.3, settings="harsh"), 1, "two-choices").broken > 2


def test_heavy_instance_gets_ten_times_the_mean_traffic():
    class RequestCounter:
        def __init__(self):
            self.by = [0] * 30

        def __call__(self, record):
            if record[1] == REQUEST:
                self.by[record[4]] += 1

    counter = RequestCounter()
    setting = scenario(Case(30, "few", heavy="old"), seconds=4)
    World(setting, "random", 1, (counter,)).play()
    others = sum(counter.by[:-1]) / 29
    assert 8 < counter.by[-1] / others < 12
    assert max(counter.by[:-1]) > 2 * min(counter.by[:-1]) > 0


def test_late_discovery_messages_reach_configured_share_of_instances():
    engine, received = Engine(), []
    listing = Listing(
        engine,
        Discovery(lag=Span(0), late=Span(3 * SECOND), late_share=0.5),
        lambda instance, news: received.append((instance, news.scope, engine.now // SECOND)),
        4,
    )
    for instance in (1, 2):
        listing.subscribe(instance, True)
    engine.run(10 * SECOND)
    assert received == [(1, "FULL", 0), (2, "FULL", 3)]


def test_reported_rates_give_server_capacity_just_after_start():
    engine, work = Engine(), Streams(1).of("work")
    fleet = Fleet(cores=1, slots=1, room=1000, reports="rates")
    server = Server(engine, fleet, 0, 0, lambda *_: None, lambda _: None)
    for n in range(200):
        engine.at(
            n * 20 * MS,
            lambda n: server.arrive(Job(n, 0, 0, -1, 10.0 * MS * work.exponential(), 0, None, lambda *_: None)),
            n,
        )
    for at in (SECOND, 4 * SECOND):
        engine.run(at)
        use, flow = server.of_late()
        assert 80 < flow / use < 125
