"""Many runs over all cores: what is asked for, less what the store has already."""

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
    """One run to be done."""

    key: str
    scenario: str
    changes: str
    policy: str
    seed: int
    program: str


def grid(changes: Mapping[str, Sequence[Any]]) -> list[dict[str, Any]]:
    """All combinations of the values of each path."""
    return [dict(zip(changes, values, strict=True)) for values in itertools.product(*changes.values())]


def tasks(
    scenarios: Iterable[str],
    policies: Sequence[str],
    seeds: Iterable[int],
    changes: Mapping[str, Sequence[Any]],
    made_by: str,
) -> list[Task]:
    """All runs of a sweep. Runs of one seed stand together, so that a sweep that is cut short has whole pairs.

    Raises FileError where a scenario or a change can't be taken.
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


def sweep(store: Store, wanted: Sequence[Task], workers: int, told: Callable[[Task | None], None]) -> int:
    """Do what the store has not got, each kept as soon as it ends; how many were done.

    Args:
        told: Called for each run done, and with None for each that the store had.

    On KeyboardInterrupt the runs in hand are given up, and those that ended are kept.
    """
    left = []
    for task in wanted:
        if store.has(task.key):
            told(None)
        else:
            left.append(task)
    coming = iter(left)
    done = 0
    pool = ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn"))
    try:
        out: dict[Future[tuple[str, float, dict[str, Any]]], Task] = {
            pool.submit(play, *task[1:5]): task for task in itertools.islice(coming, 2 * workers)
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
                told(task)
                follows = next(coming, None)
                if follows is not None:
                    out[pool.submit(play, *follows[1:5])] = follows
    except KeyboardInterrupt:
        for process in list((pool._processes or {}).values()):
            process.terminate()
        raise
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
    return done
