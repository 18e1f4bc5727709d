"""The lab's model beside real processes: each scenario played by both, with the same seed, side by side.

    python -m benchmarks.reality [SCENARIO ...] [--seed 1] [--at-once 4]

Without names, all scenarios that processes can play. Needs the extra `lab`; starts sidecars on loopback alone, and
takes as long as the scenarios do. `lag` is by how much the bench's own events were late, at the 99th percentile:
where it is far above a millisecond, take fewer at once. Prints a table in Markdown.
"""

from __future__ import annotations

import argparse
import concurrent.futures
from typing import Any

import uvloop

from rosechute.sidecar.operator_configuration.problems import FileError
from rosechute.simulation.library import load, names
from rosechute.simulation.real.world import playable, real
from rosechute.simulation.run import run

SHOWN = ("goodput", "refused", "attempts_a_request", "p50_ms", "p99_ms")


def both(name: str, seed: int) -> tuple[dict[str, Any], dict[str, Any], float]:
    """Figures by the model and by processes, and the lag."""
    scenario = load(name)
    played = uvloop.run(real(scenario, seed))
    return run(scenario, "module", seed).result, played.run.result, played.lag_p99_ms


def can(name: str) -> bool:
    """Whether processes can play it."""
    try:
        playable(load(name))
    except FileError:
        return False
    return True


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("scenario", nargs="*")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=4)
    chosen = parser.parse_args()
    wanted = chosen.scenario or [name for name in names() if can(name)]
    head = ["scenario", *(name.replace("_", " ") for name in SHOWN), "breaches", "lag, ms"]
    print("| " + " | ".join(head) + " |\n|" + " --- |" * len(head))
    with concurrent.futures.ProcessPoolExecutor(chosen.at_once) as pool:
        for name, (model, found, lag) in zip(
            wanted, pool.map(both, wanted, [chosen.seed] * len(wanted)), strict=True
        ):
            cells = [f"{_said(figure, model)} / {_said(figure, found)}" for figure in SHOWN]
            broken = [str(sum(result["breaches"].values())) for result in (model, found)]
            print("| " + " | ".join([name, *cells, " / ".join(broken), f"{lag:.1f}"]) + " |", flush=True)


def _said(figure: str, result: dict[str, Any]) -> str:
    return f"{result[figure]:.1f}" if figure.endswith("_ms") else f"{result[figure]:.3f}"


if __name__ == "__main__":
    main()
