"""Compare two checkouts: `python -m benchmarks.replay BEFORE AFTER`; exit code 1 where a step differs."""

from __future__ import annotations

import argparse
import pathlib
import sys

from benchmarks.replay.comparison import PlayerError, compare, describe
from benchmarks.replay.scenarios import SCENARIOS


def main() -> int:
    """Play all chosen scenarios and print the first difference of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("before", type=pathlib.Path)
    parser.add_argument("after", type=pathlib.Path)
    parser.add_argument("--scenarios", default=",".join(SCENARIOS), help="comma-separated")
    parser.add_argument("--share", type=float, default=1.0, help="of each scenario's seeds")
    parser.add_argument("--from", dest="first", type=int, default=0, help="first seed")
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    before, after = options.before.resolve(), options.after.resolve()
    seeds = steps = 0
    is_equal = True
    for name in options.scenarios.split(","):
        count = max(1, round(SCENARIOS[name].seeds * options.share))
        try:
            result = compare(before, after, name, range(options.first, options.first + count), options.processes)
        except PlayerError as error:
            is_equal = False
            print(f"{name}: not compared: {error}", flush=True)
            continue
        seeds, steps = seeds + result.seeds, steps + result.steps
        print(
            f"{name}: {result.seeds} seeds, {result.steps} steps, {len(result.differences)} seeds differ", flush=True
        )
        if result.errors:
            is_equal = False
            print(f"{name}: {len(result.errors)} runs failed, the first: {result.errors[0][:1500]}", flush=True)
        if result.differences:
            is_equal = False
            first = result.differences[0]
            print(f"{name}: seed {first.seed} differs first at step {first.step}")
            print(describe(first, before, after), flush=True)
    if is_equal:
        print(f"equal: {seeds} seeds, {steps} steps")
    return 0 if is_equal else 1


if __name__ == "__main__":
    sys.exit(main())
