"""What is played: each scenario runs a seed of the checkout's own test harness and returns its result."""

from __future__ import annotations

import dataclasses
import importlib
import pathlib
from collections.abc import Callable
from dataclasses import dataclass
from importlib.util import find_spec
from typing import Any

from benchmarks.replay.hooks import COORDINATION, DATA_PLANE, DISTRIBUTION, ROUTER, ROUTING, SIDECAR, Alternatives

COORDINATION_STRIDE = 7  # the kind of a world is its seed modulo 100: few seeds meet all kinds
DISTRIBUTION_DAY_S = 12.0
ROUTING_DAY_S = 6.0
ROUTING_LOADS = (0.6, 1.0, 1.5)  # of the model fleet's ordinary requests
ROUTER_EVENTS = 250
SIDECAR_RUN = {"duration": "4s", "warmup": "1s"}
SIDECAR_FAULT_AT = "1500ms"
SIMULATIONS = ("rosechute.simulation", "rosechute.lab")  # the first one that exists is taken


@dataclass(frozen=True, slots=True)
class Scenario:
    """A kind of run.

    Attributes:
        seeds: played with a share of 1.
        prepare: called once in each process.
        play: plays a seed and returns its result.
        hooked: methods of the harness that are recorded.
        replays: how often a differing seed is played again in both checkouts. It is equal where any two runs are:
            of a scenario with real sockets, the order of events within one moment is the kernel's.
    """

    seeds: int
    prepare: Callable[[], None]
    play: Callable[[int], Any]
    hooked: dict[str, Alternatives]
    replays: int = 0


def _prepare_coordination() -> None:
    importlib.import_module("tests.fleet.simulation.worlds")


def _play_coordination(seed: int) -> Any:
    return importlib.import_module("tests.fleet.simulation.worlds").play_world(COORDINATION_STRIDE * seed)


def _prepare_distribution() -> None:
    importlib.import_module("tests.fleet.distribution_world").setUpModule()


def _play_distribution(seed: int) -> Any:
    return importlib.import_module("tests.fleet.distribution_days").play(seed, DISTRIBUTION_DAY_S)


def _prepare_quota() -> None:
    importlib.import_module("tests.fleet.test_quota_sum")


def _play_quota(seed: int) -> Any:
    harness = importlib.import_module("tests.fleet.test_quota_sum")
    bounds, limit, sizes = harness.CASES[seed % len(harness.CASES)]
    world = harness.World(seed, bounds, limit, sizes=sizes)
    harness.troubled(world)
    return world.counted


def _prepare_routing() -> None:
    importlib.import_module("tests.fleet.routing_fleet")


def _play_routing(seed: int) -> Any:
    harness = importlib.import_module("tests.fleet.routing_fleet")
    load = ROUTING_LOADS[seed % len(ROUTING_LOADS)]
    kinds = [dataclasses.replace(kind, per_s=kind.per_s * load) for kind in harness.LETTERS]
    fleet = harness.Fleet(seed, kinds, 9, 4, 6, length_s=ROUTING_DAY_S)
    fleet.play()
    return [fleet.outcomes, fleet.reasons]


def _prepare_router() -> None:
    importlib.import_module("tests.fleet.test_routing_properties")


def _play_router(seed: int) -> Any:
    harness = importlib.import_module("tests.fleet.test_routing_properties")
    schedule = harness.Schedule(seed, patient=seed % 2 == 0)
    schedule.play(ROUTER_EVENTS)
    return schedule.now


def _prepare_data_plane() -> None:
    importlib.import_module("tests.fleet.data_schedules")


def _play_data_plane(seed: int) -> Any:
    records = importlib.import_module("tests.fleet.data_schedules").play(seed)
    return [records.asked, records.conducts]


def _simulation(name: str) -> Any:
    """Return a module of the sidecar's simulation, whose package was named otherwise in older checkouts."""
    package = next(each for each in SIMULATIONS if find_spec(each))
    return importlib.import_module(f"{package}.{name}")


def _prepare_sidecar() -> None:
    _simulation("run")


def _play_sidecar(seed: int) -> Any:
    library = _simulation("library")
    names = sorted(library.names())
    name = names[seed % len(names)]
    text = (
        pathlib.Path(str(library.__file__))
        .with_name("scenarios")
        .joinpath(f"{name}.toml")
        .read_text(encoding="utf-8")
    )
    faults = {f"fault[{number}].at": SIDECAR_FAULT_AT for number in range(text.count("[[fault]]"))}
    run = _simulation("run").run(library.load(name, SIDECAR_RUN | faults), "module", seed)
    return [run.digest, run.played]


SCENARIOS = {
    "coordination": Scenario(60, _prepare_coordination, _play_coordination, COORDINATION),
    "distribution": Scenario(16, _prepare_distribution, _play_distribution, DISTRIBUTION),
    "quota": Scenario(36, _prepare_quota, _play_quota, {}),
    "routing": Scenario(6, _prepare_routing, _play_routing, ROUTING),
    "router": Scenario(100, _prepare_router, _play_router, ROUTER),
    "data_plane": Scenario(40, _prepare_data_plane, _play_data_plane, DATA_PLANE, replays=4),
    "sidecar": Scenario(10, _prepare_sidecar, _play_sidecar, SIDECAR),
}
