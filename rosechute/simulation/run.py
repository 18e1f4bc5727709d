"""One run from end to end: the world, its figures and its judge."""

from __future__ import annotations

from typing import Any, BinaryIO, NamedTuple

from rosechute.simulation.figures import Figures
from rosechute.simulation.judge import Judge
from rosechute.simulation.spec import Scenario
from rosechute.simulation.world import World


class Run(NamedTuple):
    """What came of a run."""

    digest: str
    result: dict[str, Any]
    judge: Judge
    figures: Figures
    played: int


def run(scenario: Scenario, policy: str = "module", seed: int = 1, file: BinaryIO | None = None) -> Run:
    """Play a scenario once. The same arguments give the same run, byte for byte."""
    figures, judge = Figures(scenario), Judge(scenario)
    world = World(scenario, policy, seed, (figures, judge), file)
    digest = world.play()
    return concluded(digest, judge, figures, world.engine.played)


def concluded(digest: str, judge: Judge, figures: Figures, played: int) -> Run:
    """What came of a run whose last record has been read."""
    judge.finish()
    return Run(digest, {**figures.result(), "breaches": dict(judge.counts)}, judge, figures, played)
