"""Cold servers under the sum of what a fleet sends: no start is sent more than its bound by those who were told."""

import pytest

from rosechute.sidecar.operator_configuration.units import Span
from rosechute.simulation.cold import FLEETS, SETTINGS, Case, ColdStarts, scenario
from rosechute.simulation.draw import Streams
from rosechute.simulation.engine import Engine
from rosechute.simulation.listing import Listing
from rosechute.simulation.server import Job, Server
from rosechute.simulation.spec import Class, Discovery, Fleet, Instances, Scenario
from rosechute.simulation.trace import ARRIVE, ASK, GONE, INSTANCE, SERVER, TOLD, UP
from rosechute.simulation.world import World

MS = 1_000_000
SECOND = 1000 * MS

# A server does 20 requests of mean work a second, a tenth of them at its start: N is 4 then, and the bound 10.
ONE = Scenario(
    "one",
    "",
    instances=Instances(count=3),
    classes=(Class("a", work=Span(50 * MS)),),
    fleet=Fleet(servers=1, cores=1, cold_from=0.1, cold=Span(10_000 * SECOND), fall=Span(SECOND)),
)


def read(*sent, multiple=2.0, work=False, more=()):
    """What a reader finds of a server that starts at 1 s, told to instance 1: sent are (at, instance, work)."""
    found = ColdStarts(ONE, multiple, work)
    records = [
        (0, SERVER, 0, UP, 1.0, 0.1),
        (SECOND, SERVER, 0, UP, 1.0, 0.1),
        (SECOND + 1, TOLD, 1, 0, UP, SECOND),
        *((at, ARRIVE, n, 0, 0, instance, cost, 1) for n, (at, instance, cost) in enumerate(sent)),
        *more,
    ]
    for record in sorted(records, key=lambda record: record[0]):
        found(record)
    return found


def burst(count, instance=1, at=2 * SECOND, work=50.0 * MS):
    return [(at + n, instance, work) for n in range(count)]


def test_the_bound_is_the_budget_and_its_part_for_chance():
    assert read(*burst(10)).broken == 0
    found = read(*burst(11))
    assert found.broken == 1
    worst = found.worst(found.told)
    assert (worst.sent, round(worst.bears, 2), worst.told) == (11, 4.0, 1.0)
    assert worst.over == pytest.approx(1.0, abs=0.01) and worst.part == pytest.approx(1.1, abs=0.01)


def test_a_burst_right_after_the_start_counts_and_the_window_passes():
    assert read(*burst(11, at=SECOND + 2)).broken == 1
    assert read(*burst(8), *burst(8, at=3 * SECOND + 8)).broken == 0
    assert read(*burst(8), *burst(8, at=3 * SECOND - 16)).broken == 1


def test_two_thirds_have_to_come_from_instances_that_were_told():
    some = read(*burst(6), *burst(6, 2, 2 * SECOND + 6))
    assert some.broken == 0 and some.worst(some.any).over > 0
    assert read(*burst(9), *burst(4, 2, 2 * SECOND - 4)).broken == 1
    # One that is killed and comes back with its last list has been told all the same.
    assert read(*burst(11), more=[(SECOND + 2, INSTANCE, 1, 0)]).broken == 1


def test_by_work_a_request_counts_for_what_it_costs():
    assert read(*burst(3, work=200.0 * MS), work=True).broken == 1
    assert read(*burst(30, work=10.0 * MS), work=True).broken == 0


def test_a_process_that_is_gone_is_no_longer_cold():
    gone = (SECOND + 5, SERVER, 0, GONE, 1.0, 0.1)
    assert read(*burst(11), more=[gone]).any == {}


def play(case, seed, policy="module", seconds=15):
    setting = scenario(case, seconds)
    found = ColdStarts(setting, SETTINGS[case.settings].fall_multiple)
    World(setting, policy, seed, (found,)).play()
    return found


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("starts", ["few", "half", "all"])
@pytest.mark.parametrize("instances, reports", [(5, "none"), (30, "none"), (30, "rates")])
def test_no_cold_server_is_sent_more_than_its_bound(instances, reports, starts, late):
    seed = 2 + late
    case = Case(instances, starts, late, "old" if late else "fresh", reports, 4.0, 0.3, "harsh")
    found = play(case, seed)
    worst = found.worst(found.told)
    assert found.any, "no cold server was sent anything"
    assert found.broken == 0, f"{case}, seed {seed}: {worst}"


def test_nor_by_two_hundred():
    case = Case(200, "half", True, "old", "rates", 4.0, 0.3, "harsh")
    found = play(case, 1, seconds=10)
    assert len(found.told) > FLEETS[200] // 4
    assert found.broken == 0, found.worst(found.told)


def test_a_policy_that_does_not_spare_them_is_found():
    assert play(Case(30, "half", burst=4.0, use=0.3, settings="harsh"), 1, "two-choices").broken > 2


def test_one_instance_gets_ten_times_what_the_others_get():
    class Counted:
        def __init__(self):
            self.by = [0] * 30

        def __call__(self, record):
            if record[1] == ASK:
                self.by[record[4]] += 1

    counted = Counted()
    setting = scenario(Case(30, "few", heavy="old"), seconds=4)
    World(setting, "random", 1, (counted,)).play()
    others = sum(counted.by[:-1]) / 29
    assert 8 < counted.by[-1] / others < 12
    assert max(counted.by[:-1]) > 2 * min(counted.by[:-1]) > 0


def test_what_discovery_says_reaches_some_late_and_in_order():
    engine, heard = Engine(), []
    listing = Listing(
        engine,
        Discovery(lag=Span(0), late=Span(3 * SECOND), late_share=0.5),
        lambda instance, news: heard.append((instance, news.scope, engine.now // SECOND)),
        4,
    )
    for instance in (1, 2):
        listing.subscribe(instance, True)
    engine.run(10 * SECOND)
    assert heard == [(1, "FULL", 0), (2, "FULL", 3)]


def test_told_rates_give_what_a_server_can_do_also_just_after_its_start():
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
