"""Cold servers under the sum of what a whole fleet sends, in the lab: how near each start came to its bound.

    python -m benchmarks.cold [--instances 5 30 200] [--seeds 3] [--workers 2] [--reports none rates]

One row for each case of `rosechute.simulation.cold`, over all seeds: servers that started cold and were sent
anything; the worst window of all of them, as calls beyond N + 2 x root of N + 2 (below 0: not reached), sent by any
instance and where over two thirds came from told ones, with the seed; the latter by work, too, in means, which adds
the chance of what each call costs; starts that broke the bound, by calls and by work; and the share served, with
goodput. Exit code 1 where a bound was broken by calls of told instances.
"""

from __future__ import annotations

import argparse
import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import NamedTuple

from rosechute import native

native.install_finder()

from rosechute.simulation.cold import FLEETS, SETTINGS, STARTS, Case, ColdStarts, Worst, scenario  # noqa: E402
from rosechute.simulation.figures import Figures  # noqa: E402 - compiled where it is
from rosechute.simulation.world import World  # noqa: E402

TRAFFIC = {"usual": (2.0, 0.5), "harsh": (4.0, 0.3)}  # burst, and use before it


class Row(NamedTuple):
    """What one run gave."""

    case: Case
    seed: int
    starts: int
    any: Worst | None
    told: Worst | None
    work: Worst | None
    broken: int
    broken_work: int
    served: float
    goodput: float


def one(told: tuple[Case, int]) -> Row:
    """Play one case with one seed."""
    case, seed = told
    setting = scenario(case)
    multiple = SETTINGS[case.settings].fall_multiple
    calls, work, figures = ColdStarts(setting, multiple), ColdStarts(setting, multiple, True), Figures(setting)
    World(setting, "module", seed, (calls, work, figures)).play()
    result = figures.result()
    return Row(
        case,
        seed,
        len(calls.any),
        calls.worst(calls.any),
        calls.worst(calls.told),
        work.worst(work.told),
        calls.broken,
        work.broken,
        result["served"],
        result["goodput"],
    )


def cases(instances: list[int], reports: list[str]) -> list[Case]:
    """All cases; the heavy instance is a fresh one at odd seeds, see `main`."""
    return [
        Case(n, starts, late, "fresh", kind, *TRAFFIC[settings], settings)
        for n, settings, starts, kind, late in itertools.product(instances, SETTINGS, STARTS, reports, (False, True))
    ]


def shown(rows: list[Row]) -> str:
    """The rows of one case as one line of the table."""
    case = rows[0].case
    anyone = max((r for r in rows if r.any), key=lambda r: r.any.over if r.any else 0.0, default=None)
    worst = max((r for r in rows if r.told), key=lambda r: r.told.over if r.told else 0.0, default=None)
    work = max((r.work.over for r in rows if r.work), default=float("nan"))
    cells = [
        f"{case.instances}/{FLEETS[case.instances]}",
        case.settings,
        case.starts,
        case.reports,
        "3 s late" if case.late else "soon",
        str(sum(r.starts for r in rows)),
        f"{anyone.any.over:.1f}" if anyone and anyone.any else "-",
        f"{worst.told.over:.1f} ({worst.told.sent:.0f}, N {worst.told.budget:.1f}; {worst.seed})"
        if worst and worst.told
        else "-",
        f"{work:.1f}",
        str(sum(r.broken for r in rows)),
        str(sum(r.broken_work for r in rows)),
        f"{sum(r.served for r in rows) / len(rows):.3f}",
        f"{sum(r.goodput for r in rows) / len(rows):.3f}",
    ]
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, nargs="+", default=list(FLEETS), choices=list(FLEETS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument(
        "--reports", nargs="+", default=["none", "rates"], choices=["none", "some", "probes", "rates"]
    )
    chosen = parser.parse_args()
    print(
        "| instances/servers | settings | cold | reports | told | starts | any over | told over (calls, N; seed) | "
        "by work | broken | by work | served | goodput |"
    )
    print("|" + " --- |" * 13, flush=True)
    broken = 0
    todo = cases(chosen.instances, chosen.reports)
    runs = [
        (case._replace(heavy="fresh" if seed % 2 else "old"), seed)
        for case in todo
        for seed in range(1, chosen.seeds + 1)
    ]
    with ProcessPoolExecutor(chosen.workers, get_context("spawn")) as pool:
        found = pool.map(one, runs)
        for _ in todo:
            rows = list(itertools.islice(found, chosen.seeds))
            broken += sum(row.broken for row in rows)
            print(shown(rows), flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
