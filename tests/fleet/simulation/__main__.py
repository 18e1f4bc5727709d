"""Play many seeds: `python -m tests.fleet.simulation --seeds 10000 --from 0 --processes 2`."""

from __future__ import annotations

import argparse
import collections
import multiprocessing
import sys
import traceback

from tests.fleet.simulation.play import Result, play

PROGRESS = 250  # seeds between two lines


def attempt(seed: int) -> Result | tuple[int, str]:
    """Play one seed; a failure is told, with its seed."""
    try:
        return play(seed)
    except Exception as error:  # every failure is of interest here, with its seed
        return seed, f"{error}\n{traceback.format_exc(limit=-3)}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--from", dest="first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=1)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    failed = 0
    kinds: collections.Counter[str] = collections.Counter()
    results: list[Result] = []
    with multiprocessing.Pool(options.processes) as pool:
        for outcome in pool.imap_unordered(attempt, seeds, chunksize=4):
            if isinstance(outcome, Result):
                results.append(outcome)
                if len(results) % PROGRESS == 0:
                    print(f"{len(results)} held, {failed} failed", flush=True)
            else:
                failed += 1
                kinds[outcome[1].split(":")[0]] += 1
                if failed <= 10:
                    print(f"seed {outcome[0]}: {outcome[1]}", flush=True)
    recoveries = sorted(each.recovery_s for each in results)
    print(f"seeds {options.first} to {options.first + options.seeds - 1}: {len(results)} held, {failed} failed")
    if failed:
        print(f"  {dict(kinds)}")
    if results:
        print(f"  simulated {sum(each.simulated_s for each in results) / 3600:.1f} h,", end=" ")
        print(f"{sum(each.acknowledgements for each in results)} acknowledgements,", end=" ")
        print(
            f"{sum(each.refusals for each in results)} refusals, {sum(each.reads for each in results)} reads,",
            end=" ",
        )
        print(f"{sum(each.epochs for each in results)} epochs, {sum(each.terms for each in results)} terms")
        middle, last = recoveries[len(recoveries) // 2], recoveries[-1]
        print(f"  recovery: median {middle:.2f} s, longest {last:.2f} s", end="; ")
        print(f"longest answer {max(each.longest_answer_s for each in results):.2f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
