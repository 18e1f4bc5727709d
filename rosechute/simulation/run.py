"""One complete run: the simulated world, its statistics and its invariant checker."""

from __future__ import annotations

from typing import Any, BinaryIO, NamedTuple

from rosechute.simulation.figures import Figures
from rosechute.simulation.judge import Judge
from rosechute.simulation.spec import Scenario
from rosechute.simulation.world import World


class Run(NamedTuple):
    """Result of a run."""

    digest: str
    result: dict[str, Any]
    judge: Judge
    figures: Figures
    played: int


def run(scenario: Scenario, policy: str = "module", seed: int = 1, file: BinaryIO | None = None) -> Run:
    """Simulate a scenario once. Equal arguments give byte-identical traces."""
    figures, judge = Figures(scenario), Judge(scenario)
    world = World(scenario, policy, seed, (figures, judge), file)
    digest = world.play()
    return concluded(digest, judge, figures, world.engine.played)


def concluded(digest: str, judge: Judge, figures: Figures, played: int) -> Run:
    """Return the result of a run after its last record has been read."""
    judge.finish()
    return Run(digest, {**figures.result(), "breaches": dict(judge.counts)}, judge, figures, played)
