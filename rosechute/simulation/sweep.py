"""Sweeps: many runs in parallel processes, skipping the runs that the store already has."""

from __future__ import annotations

import itertools
import json
import multiprocessing
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from typing import Any, NamedTuple

from rosechute.simulation.library import key, load
from rosechute.simulation.store import Row, Store, identity
from rosechute.simulation.worker import play


class Task(NamedTuple):
    """Run to be simulated."""

    key: str
    scenario: str
    changes: str
    policy: str
    seed: int
    program: str


def grid(changes: Mapping[str, Sequence[Any]]) -> list[dict[str, Any]]:
    """Return all combinations of the values of each path."""
    return [dict(zip(changes, values, strict=True)) for values in itertools.product(*changes.values())]


def tasks(
    scenarios: Iterable[str],
    policies: Sequence[str],
    seeds: Iterable[int],
    changes: Mapping[str, Sequence[Any]],
    made_by: str,
) -> list[Task]:
    """Return all runs of a sweep, grouped by seed, so that an interrupted sweep has complete pairs for comparison.

    Raises:
        FileError: A scenario or an override is invalid.
    """
    found: list[Task] = []
    loaded = [
        (name, json.dumps(change, sort_keys=True), key(load(name, change)))
        for name in scenarios
        for change in grid(changes)
    ]
    for seed in seeds:
        for name, change, scenario in loaded:
            found += [
                Task(identity(made_by, scenario, policy, seed), name, change, policy, seed, made_by)
                for policy in policies
            ]
    return found


def sweep(store: Store, wanted: Sequence[Task], workers: int, on_done: Callable[[Task | None], None]) -> int:
    """Simulate the runs that the store lacks, store each as soon as it ends, and return their number.

    On KeyboardInterrupt the runs in progress are terminated; finished runs are kept.

    Args:
        store: Result store.
        wanted: Runs of the sweep.
        workers: Number of worker processes.
        on_done: Called with each finished run, and with None for each run that the store already had.
    """
    missing = []
    for task in wanted:
        if store.has(task.key):
            on_done(None)
        else:
            missing.append(task)
    pending = iter(missing)
    done = 0
    pool = ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn"))
    try:
        out: dict[Future[tuple[str, float, dict[str, Any]]], Task] = {
            pool.submit(play, *task[1:5]): task for task in itertools.islice(pending, 2 * workers)
        }
        while out:
            ended, _ = wait(out, return_when=FIRST_COMPLETED)
            for future in ended:
                task = out.pop(future)
                digest, took_s, result = future.result()
                store.add(
                    Row(
                        task.key,
                        task.program,
                        task.scenario,
                        task.changes,
                        task.policy,
                        task.seed,
                        digest,
                        took_s,
                        result,
                    )
                )
                done += 1
                on_done(task)
                next_task = next(pending, None)
                if next_task is not None:
                    out[pool.submit(play, *next_task[1:5])] = next_task
    except KeyboardInterrupt:
        for process in list((pool._processes or {}).values()):
            process.terminate()
        raise
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
    return done
