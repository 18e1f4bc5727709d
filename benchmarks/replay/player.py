"""One process of a checkout: plays seeds of a scenario and writes the digests of their steps to files."""

from __future__ import annotations

import argparse
import pathlib
from typing import Any

from loguru import logger

from benchmarks.replay.hooks import Hooks
from benchmarks.replay.recorder import Recorder
from benchmarks.replay.scenarios import SCENARIOS, Scenario


def play(hooks: Hooks, scenario: Scenario, seed: int, detailed_step: int | None = None) -> Recorder:
    """Play a seed and return its recorder; the result, or that it failed, belongs to the last step."""
    recorder = hooks.recorder = Recorder(detailed_step)
    try:
        recorder.record("result", scenario.play(seed))
    except Exception as error:  # a rule that breaks must break in both checkouts, at the same step
        recorder.record("failed")
        recorder.error = repr(error)
    finally:
        hooks.recorder = None
    recorder.end_step()
    return recorder


def prepared(scenario: Scenario) -> Hooks:
    """Install all hooks for a scenario in this process."""
    hooks = Hooks()
    hooks.install_early()
    logger.remove()
    scenario.prepare()
    hooks.install(scenario.hooked)
    hooks.install_messages()
    return hooks


def main(arguments: list[str]) -> int:
    """Write `SEED.digests` for each seed, and `SEED.error` where it failed; or print one step of one seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("seeds", help="comma-separated")
    parser.add_argument("--detailed-step", type=int)
    options: Any = parser.parse_args(arguments)
    scenario = SCENARIOS[options.scenario]
    hooks = prepared(scenario)
    for seed in map(int, options.seeds.split(",")):
        recorder = play(hooks, scenario, seed, options.detailed_step)
        (options.folder / f"{seed}.digests").write_bytes(recorder.digests)
        if recorder.error is not None:
            (options.folder / f"{seed}.error").write_text(recorder.error, encoding="utf-8")
        if options.detailed_step is not None:
            print("\n".join(recorder.details))
    return 0
