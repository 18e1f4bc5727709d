"""Signals that go on until a process is gone: it ends in order, whichever of them arrives while it ends."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.crowds.deployment import HANG_S, deployment
from tests.crowds.test_crowd_sidecar import sidecar_process
from tests.soak.signals import send_signal

SIGNAL_INTERVAL_S = 0.001
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def _end_with_series(process: asyncio.subprocess.Process, following: signal.Signals) -> int:
    """Send SIGTERM, then another signal again and again until the process has ended; return its exit status."""
    send_signal(process, signal.SIGTERM)
    async with asyncio.timeout(HANG_S):
        while process.returncode is None:
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            send_signal(process, following)
    return await process.wait()


async def _end_role(role: str, following: signal.Signals) -> int:
    async with deployment() as running:
        process = running.fleet.by_role(role)[0].process
        assert process is not None
        return await _end_with_series(process, following)


async def _end_sidecar(folder, following: signal.Signals) -> int:
    async with sidecar_process(folder) as sidecar:
        return await _end_with_series(sidecar.process, following)


@pytest.mark.parametrize("following", SIGNALS)
@pytest.mark.parametrize("role", ["edge", "core"])
def test_process_of_the_fleet_ends_in_order(role, following):
    assert asyncio.run(_end_role(role, following)) == 0


@pytest.mark.parametrize("following", SIGNALS)
def test_sidecar_ends_in_order(tmp_path, following):
    assert asyncio.run(_end_sidecar(tmp_path, following)) == 0
