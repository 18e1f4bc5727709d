"""One run in a process of its own. The model is loaded only when the first run is asked for, compiled where it is."""

from __future__ import annotations

import gc
import json
import time
from typing import Any

from rosechute import native


def play(scenario: str, changes: str, policy: str, seed: int) -> tuple[str, float, dict[str, Any]]:
    """Do one run; its digest, the seconds it took and its figures."""
    native.prefer()
    from rosechute.simulation.library import load
    from rosechute.simulation.run import run

    gc.set_threshold(100_000, 20, 20)  # what a run makes is freed by counting; cycles are rare
    start = time.perf_counter()
    done = run(load(scenario, json.loads(changes)), policy, seed)
    return done.digest, time.perf_counter() - start, done.result
