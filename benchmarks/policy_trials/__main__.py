"""The command line: `play` trials, `table` of what was played."""

from __future__ import annotations

from pathlib import Path

import fire

from .player import Player, Results, Trial
from .table import differences, plot
from .variants import AS_IT_IS, VARIANTS

RESULTS = Path("target") / "policy-trials.csv"
SCRATCH = Path("target") / "policy-trials"
DAYS = ("quiet-1", "trouble-1", "scale-1")


def play(
    bench: str,
    sites: str | tuple[str, ...],
    why: str,
    variants: str | tuple[str, ...] = "all",
    days: str | tuple[str, ...] = DAYS,
    seeds: int | tuple[int, ...] = (1, 2, 3),
    small: bool = False,
    jobs: int = 4,
    results: str = str(RESULTS),
    scratch: str = str(SCRATCH),
) -> None:
    """Play days of deployments under variants; `all` for every one. What is committed is played."""
    names = tuple(VARIANTS) if variants == "all" else _several(variants)
    trials = [
        Trial(variant, str(Path(site).resolve()), day, seed, small)
        for site in _several(sites)
        for day in _several(days)
        for seed in ((seeds,) if isinstance(seeds, int) else seeds)
        for variant in dict.fromkeys((AS_IT_IS, *names))
    ]
    kept = Results(Path(results))
    Player(Path.cwd(), Path(scratch).resolve(), str(Path(bench).resolve()), why, kept).play_all(trials, jobs)
    table(results)


def table(results: str = str(RESULTS), figure: str | None = None) -> None:
    """Print the differences; `figure` names a file for a plot."""
    found = differences(Results(Path(results)).rows)
    for each in found:
        print(each)
    if figure is not None:
        plot(found, Path(figure))


def _several(value: str | tuple[str, ...]) -> tuple[str, ...]:
    return tuple(value.split(",")) if isinstance(value, str) else tuple(value)


if __name__ == "__main__":
    fire.Fire({"play": play, "table": table})
