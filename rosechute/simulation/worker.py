"""Entry point of a worker process. The model is imported at the first run, compiled where available."""

from __future__ import annotations

import gc
import json
import time
from typing import Any

from rosechute import native


def play(scenario: str, changes: str, policy: str, seed: int) -> tuple[str, float, dict[str, Any]]:
    """Simulate one run; return its digest, the elapsed seconds and its statistics."""
    native.install_finder()
    from rosechute.simulation.library import load
    from rosechute.simulation.run import run

    gc.set_threshold(100_000, 20, 20)  # reference counting frees nearly all objects of a run; cycles are rare
    start = time.perf_counter()
    done = run(load(scenario, json.loads(changes)), policy, seed)
    return done.digest, time.perf_counter() - start, done.result
