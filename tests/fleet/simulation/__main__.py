"""Play many seeds: `python -m tests.fleet.simulation --seeds 10000 --from 0 --processes 2 --worlds paced`."""

from __future__ import annotations

import argparse
import collections
import gc
import multiprocessing
import sys
import time
import traceback
from functools import partial

from tests.fleet.simulation.play import Result
from tests.fleet.simulation.worlds import Kind, play_world

PROGRESS = 500  # seeds between two lines
COLLECT_AFTER = 100_000  # new objects; worlds make few cycles that outlive them
TOLD = 10  # failures that are told whole


def attempt(kind: Kind | None, seed: int) -> Result | tuple[int, str]:
    """Play one seed; a failure is told, with its seed."""
    try:
        return play_world(seed, kind)
    except Exception as error:  # every failure is of interest here, with its seed
        return seed, f"{error}\n{traceback.format_exc(limit=-3)}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--from", dest="first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--worlds", choices=["all", *(each.value for each in Kind)], default="all")
    options = parser.parse_args()
    kind = None if options.worlds == "all" else Kind(options.worlds)
    began = time.monotonic()
    seeds = range(options.first, options.first + options.seeds)
    results, failures = play_all(kind, seeds, options.processes)
    tell(options.worlds, seeds, results, failures, time.monotonic() - began)
    return 1 if failures else 0


def play_all(kind: Kind | None, seeds: range, processes: int) -> tuple[list[Result], list[tuple[int, str]]]:
    """Play all seeds, and tell how far it has come."""
    results: list[Result] = []
    failures: list[tuple[int, str]] = []
    with multiprocessing.Pool(processes, gc.set_threshold, (COLLECT_AFTER,)) as pool:
        for outcome in pool.imap_unordered(partial(attempt, kind), seeds, chunksize=4):
            if isinstance(outcome, Result):
                results.append(outcome)
            else:
                failures.append(outcome)
                if len(failures) <= TOLD:
                    print(f"seed {outcome[0]}: {outcome[1]}", flush=True)
            if (len(results) + len(failures)) % PROGRESS == 0:
                print(f"{len(results)} held, {len(failures)} failed", flush=True)
    return results, failures


def tell(worlds: str, seeds: range, results: list[Result], failures: list[tuple[int, str]], seconds: float) -> None:
    """What all seeds have shown together."""
    print(f"worlds {worlds}, seeds {seeds[0]} to {seeds[-1]}: {len(results)} held, {len(failures)} failed", end=", ")
    print(f"{seconds:.0f} s")
    if failures:
        kinds = collections.Counter(text.split(":")[0] for _, text in failures)
        print(f"  {dict(kinds)}, seeds {sorted(seed for seed, _ in failures)[:40]}")
    if not results:
        return
    print(f"  simulated {sum(each.simulated_s for each in results) / 3600:.1f} h,", end=" ")
    print(f"{sum(each.acknowledgements for each in results)} acknowledgements,", end=" ")
    print(f"{sum(each.refusals for each in results)} refusals, {sum(each.reads for each in results)} reads,", end=" ")
    print(f"{sum(each.epochs for each in results)} epochs, {sum(each.terms for each in results)} terms,")
    print(f"  {sum(each.snapshots for each in results)} snapshots,", end=" ")
    print(f"{sum(len(each.troubles) for each in results)} troubles,", end=" ")
    print(f"{sum(each.cut_off_answers for each in results)} answers of machines without a majority")
    recoveries = sorted(each.recovery_s for each in results)
    print(f"  recovery: median {recoveries[len(recoveries) // 2]:.2f} s, longest {recoveries[-1]:.2f} s", end="; ")
    print(f"longest wait after a loss {max(each.longest_outage_s for each in results):.2f} s", end="; ")
    print(f"longest answer {max(each.longest_answer_s for each in results):.2f} s")


if __name__ == "__main__":
    sys.exit(main())
