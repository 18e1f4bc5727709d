"""Differences of variants from the project as it is, paired by deployment, day and seed."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import mean, stdev

from .variants import AS_IT_IS

NORMAL_95 = 1.96  # standard errors in a 95 % interval of a mean


@dataclass(frozen=True, slots=True)
class Difference:
    """How much a variant differs from the project as it is on one deployment; `spread` between days and seeds."""

    variant: str
    site: str
    pairs: int
    mean: float
    spread: float

    @property
    def interval(self) -> float:
        """Half of the 95 % interval of the mean."""
        return NORMAL_95 * self.spread / math.sqrt(self.pairs)

    def __str__(self) -> str:
        return (
            f"{self.variant:24} {self.site:24} {self.pairs:3} pairs  "
            f"{self.mean:+.4f} +- {self.interval:.4f}  spread {self.spread:.4f}"
        )


def differences(rows: Iterable[Mapping[str, str]]) -> list[Difference]:
    """By variant and deployment, over all pairs that were played."""
    figures = {
        (row["variant"], row["site"], row["day"], row["seed"], row["small"]): float(row["figure"])
        for row in rows
        if row["figure"]
    }
    pairs: dict[tuple[str, str], list[float]] = defaultdict(list)
    for (variant, *day), figure in figures.items():
        base = figures.get((AS_IT_IS, day[0], day[1], day[2], day[3]))
        if variant != AS_IT_IS and base is not None:
            pairs[variant, day[0]].append(figure - base)
    return [
        Difference(variant, site, len(found), mean(found), stdev(found) if len(found) > 1 else 0.0)
        for (variant, site), found in sorted(pairs.items())
    ]


def plot(found: Sequence[Difference], path: Path) -> None:
    """Draw the differences with their intervals."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 0.25 * len(found) + 1))
    places = range(len(found))
    axes.errorbar(
        [each.mean for each in found], list(places), xerr=[each.interval for each in found], fmt="o", markersize=3
    )
    axes.set_yticks(list(places), [f"{each.variant}, {each.site}" for each in found], fontsize=6)
    axes.axvline(0.0, linewidth=0.5)
    axes.set_xlabel("worth less prices, difference from the project as it is")
    figure.tight_layout()
    figure.savefig(path)
