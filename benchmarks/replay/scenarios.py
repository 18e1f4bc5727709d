"""What is played: each scenario runs a seed of the checkout's own test harness and returns its result."""

from __future__ import annotations

import importlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from benchmarks.replay.hooks import COORDINATION, DISTRIBUTION, Alternatives

DISTRIBUTION_DAY_S = 12.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A kind of run.

    Attributes:
        seeds: played with a share of 1.
        prepare: called once in each process.
        play: plays a seed and returns its result.
        hooked: methods of the harness that are recorded.
    """

    seeds: int
    prepare: Callable[[], None]
    play: Callable[[int], Any]
    hooked: dict[str, Alternatives]


def _prepare_coordination() -> None:
    importlib.import_module("tests.fleet.simulation.worlds")


def _play_coordination(seed: int) -> Any:
    return importlib.import_module("tests.fleet.simulation.worlds").play_world(seed)


def _prepare_distribution() -> None:
    importlib.import_module("tests.fleet.distribution_world").setUpModule()


def _play_distribution(seed: int) -> Any:
    return importlib.import_module("tests.fleet.distribution_days").play(seed, DISTRIBUTION_DAY_S)


SCENARIOS = {
    "coordination": Scenario(100, _prepare_coordination, _play_coordination, COORDINATION),
    "distribution": Scenario(20, _prepare_distribution, _play_distribution, DISTRIBUTION),
}
