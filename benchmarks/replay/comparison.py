"""Start the processes of both checkouts and find the first step that differs."""

from __future__ import annotations

import itertools
import os
import pathlib
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from benchmarks.replay.recorder import DIGEST_BYTES
from benchmarks.replay.scenarios import SCENARIOS

TOOL = pathlib.Path(__file__).resolve().parents[1]
# Both checkouts are played by this version of `benchmarks.replay`; every other module is their own.
_START = """\
import sys, benchmarks
benchmarks.__path__.insert(0, sys.argv[1])
import benchmarks.replay.player as player
benchmarks.__path__.pop(0)
sys.exit(player.main(sys.argv[2:]))
"""


class PlayerError(RuntimeError):
    """A process of a checkout ended with an error."""


@dataclass(frozen=True, slots=True)
class Difference:
    """The first step at which a seed differs."""

    scenario: str
    seed: int
    step: int


@dataclass(frozen=True, slots=True)
class Comparison:
    """What a scenario has shown.

    Attributes:
        seeds: played in both checkouts.
        steps: compared, of BEFORE.
        differences: of seeds that differ, in the order of the seeds.
        errors: of seeds that failed, by checkout and seed; also one that fails in both checkouts is no equal run.
    """

    seeds: int
    steps: int
    differences: list[Difference]
    errors: list[str]


def run_player(checkout: pathlib.Path, arguments: Sequence[str]) -> str:
    """Run a player in a checkout and return its output.

    Raises:
        PlayerError: it ended with an error.
    """
    environment = os.environ | {"PYTHONHASHSEED": "0", "PYTHONPATH": str(checkout), "PYTHONDONTWRITEBYTECODE": "1"}
    command = [sys.executable, "-c", _START, str(TOOL), *arguments]
    ended = subprocess.run(command, cwd=checkout, env=environment, capture_output=True, text=True, check=False)
    if ended.returncode:
        raise PlayerError(f"{checkout}: {ended.stderr[-3000:]}")
    return ended.stdout


def compare(
    before: pathlib.Path, after: pathlib.Path, scenario: str, seeds: Sequence[int], processes: int
) -> Comparison:
    """Play seeds in both checkouts and compare them step by step."""
    shares = [seeds[number :: max(1, processes // 2)] for number in range(max(1, processes // 2))]
    with tempfile.TemporaryDirectory() as folder:
        folders = [pathlib.Path(folder, name) for name in ("before", "after")]
        jobs = []
        for checkout, out in zip((before, after), folders, strict=True):
            out.mkdir()
            jobs += [(checkout, [scenario, str(out), ",".join(map(str, share))]) for share in shares if share]
        with ThreadPoolExecutor(processes) as pool:
            list(pool.map(lambda job: run_player(*job), jobs))
        steps = 0
        differences: list[Difference] = []
        for seed in seeds:
            one, other = (out.joinpath(f"{seed}.digests").read_bytes() for out in folders)
            steps += len(one) // DIGEST_BYTES
            step = first_difference(one, other)
            if step is not None and not _is_equal_when_replayed(before, after, scenario, seed, {one}, {other}):
                differences.append(Difference(scenario, seed, step))
        errors = [
            f"{path.parent.name}, seed {path.stem}: {path.read_text(encoding='utf-8')}"
            for out in folders
            for path in sorted(out.glob("*.error"))
        ]
    return Comparison(len(seeds), steps, differences, errors)


def _is_equal_when_replayed(
    before: pathlib.Path, after: pathlib.Path, scenario: str, seed: int, ones: set[bytes], others: set[bytes]
) -> bool:
    """Return whether any run of a seed before equals any run after, among further ones of a scenario with replays."""
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(SCENARIOS[scenario].replays):
            for checkout, runs in ((before, ones), (after, others)):
                run_player(checkout, [scenario, folder, str(seed)])
                runs.add(pathlib.Path(folder, f"{seed}.digests").read_bytes())
            if ones & others:
                return True
    return False


def first_difference(one: bytes, other: bytes) -> int | None:
    """Return the first step whose digest differs or exists on one side only; None where all are equal."""
    if one == other:
        return None
    steps = range(0, max(len(one), len(other)), DIGEST_BYTES)
    return next(at // DIGEST_BYTES for at in steps if one[at : at + DIGEST_BYTES] != other[at : at + DIGEST_BYTES])


def describe(difference: Difference, before: pathlib.Path, after: pathlib.Path) -> str:
    """Play a differing seed once more and return the records of the step in both checkouts from their first
    differing line on."""
    lines: list[list[str]] = []
    with tempfile.TemporaryDirectory() as folder:
        for checkout in (before, after):
            arguments = [difference.scenario, folder, str(difference.seed), "--detailed-step", str(difference.step)]
            lines.append(run_player(checkout, arguments).splitlines())
    pairs = enumerate(itertools.zip_longest(*lines, fillvalue="(nothing)"))
    first = next(((number, one, other) for number, (one, other) in pairs if one != other), None)
    if first is None:
        return "  the step is equal when played again: the run is not deterministic"
    number, one, other = first
    where = f"  record {number} of {len(lines[0])} and {len(lines[1])}"
    return f"{where}\n  before: {one[:1500]}\n  after:  {other[:1500]}"
