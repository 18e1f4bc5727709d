"""Restarted sidecars are ready soon, whatever the state of discovery. `benchmarks/restart.py` measures 30 of them."""

from __future__ import annotations

import asyncio
import os

import pytest

from benchmarks.restart import STATES, quantile, round_of

MAX_READY_S = 10.0  # limit for the 90th percentile; typical is about 1 s
TIMEOUT_S = 30.0


@pytest.mark.parametrize("state", STATES)
def test_processes_on_a_shared_core_are_ready_soon_in_any_state_of_discovery(state, request):
    """With discovery down or silent, a sidecar that waited for it would never be ready."""
    plain = not request.config.getoption("--compiled")
    starts = asyncio.run(round_of(state, 6, max(os.sched_getaffinity(0)), 50, plain, TIMEOUT_S))
    assert len(starts) == 6 and quantile([start.ready_s for start in starts], 0.9) <= MAX_READY_S


def test_quantile_covers_the_given_share():
    assert [quantile(range(1, 31), share) for share in (0.5, 0.9, 1.0)] == [15, 27, 30]
    assert quantile([3.0], 0.9) == 3.0
