"""The command line: `write` a day, or `play` many on a deployment."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import fire

from .player import Bench
from .points import POINTS, day_of

PLAYED = Path("target") / "days"  # where days that are not kept are written


def write(point: str, seed: int, path: str) -> None:
    """Write the day of a point and a seed to a file."""
    Path(path).write_text(day_of(point, seed).toml(), encoding="utf-8")


def play(
    bench: str,
    site: str,
    why: str,
    points: str | tuple[str, ...] = tuple(POINTS),
    seeds: int | tuple[int, ...] = (1,),
    jobs: int = 1,
) -> None:
    """Play the days of these points and seeds on a deployment. Exit status 1 where one is not good.

    Leave the sources alone meanwhile: processes that start after a change would meet older ones.
    """
    PLAYED.mkdir(parents=True, exist_ok=True)
    days = []
    for seed in (seeds,) if isinstance(seeds, int) else seeds:
        for point in (points,) if isinstance(points, str) else points:
            days.append(PLAYED / f"{point}-{seed}.toml")
            write(point, seed, str(days[-1]))
    outcomes = Bench(bench, site, why).play_all(days, jobs)
    broken: Counter[str] = Counter()
    for outcome in outcomes:
        broken.update(outcome.broken)
    good = sum(outcome.good for outcome in outcomes)
    rules = ", ".join(f"{rule} {count}" for rule, count in broken.items()) or "none"
    print(f"{len(outcomes)} days on {Path(site).stem}, {len(outcomes) - good} not good; rules broken: {rules}")
    if good < len(outcomes):
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire({"write": write, "play": play})
