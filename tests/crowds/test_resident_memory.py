"""Crowds in series, one of each shape: the whole process stays under its limit, and its resident size comes back."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from rosechute.fakes.fleet.processes import CONTROL_PORT, FRONT_PORT
from tests.crowds.crowd import Crowd, Script
from tests.crowds.deployment import bounded, bounded_process, deployment
from tests.crowds.shapes import MEGABYTE, UNREAD, one_of_each
from tests.crowds.test_crowd_sidecar import MAX_SOCKETS, sidecar_process
from tests.crowds.test_crowd_sidecar import MEMORY_MB as SIDECAR_MEMORY_MB
from tests.crowds.watch import resident_bytes

SIZE = 700
SIDECAR_SIZE = 200
STAY_S = 3.0  # for which a crowd stays once it has sent what it could
SETTLE_S = 5.0  # after the last crowd has left
SERIES = 2
RETURN_DIVISOR = 8  # of the limit: what may stay of a series
EDGE_LIMITS, CORE_LIMITS = (260, 4100), (296, 4096)  # memory in megabytes, and descriptors
FRONT_SCRIPTS = one_of_each("POST /plain/1", "X-Rosechute-Request-Id: crowd", "X-Rosechute-Deadline-Ms: 8000")
CONTROL_SCRIPTS = one_of_each("POST /config/replace", "X-Rosechute-Base-Version: 1")
SIDECAR_SCRIPTS = one_of_each("POST /single_shot", "X-Request-ID: crowd", "X-Timeout: 5")


@contextlib.asynccontextmanager
async def resident_size_comes_back(pid: int, limit_mb: int) -> AsyncIterator[None]:
    """Check that the resident size of a process is back, but for a part of its limit, soon after the last crowd."""
    before = resident_bytes(pid)
    yield
    await asyncio.sleep(SETTLE_S)
    after = resident_bytes(pid)
    allowed = before + limit_mb * MEGABYTE // RETURN_DIVISOR
    print(f"resident {before / MEGABYTE:.1f} MB before, {after / MEGABYTE:.1f} MB after, limit {limit_mb} MB")
    assert after <= allowed, f"{after / MEGABYTE:.1f} MB resident, {before / MEGABYTE:.1f} MB before the crowds"


async def series_of_crowds(address: tuple[str, int], shapes_sent: dict[str, Script], size: int) -> None:
    """Have one crowd of each shape after the other, several times."""
    for _ in range(SERIES):
        for shape, script in shapes_sent.items():
            async with Crowd(address, script, size, reads=shape != UNREAD):
                await asyncio.sleep(STAY_S)


@pytest.mark.parametrize(
    ("role", "port", "limits", "shapes_sent"),
    [("edge", FRONT_PORT, EDGE_LIMITS, FRONT_SCRIPTS), ("core", CONTROL_PORT, CORE_LIMITS, CONTROL_SCRIPTS)],
    ids=["edge", "core"],
)
def test_process_that_has_served_crowds_in_series_is_not_left_near_its_memory_limit(role, port, limits, shapes_sent):
    async def scenario():
        async with deployment(*limits) as fleet:
            node = fleet.fleet.by_role(role)[0]
            assert node.process is not None
            async with bounded(node, *limits), resident_size_comes_back(node.process.pid, limits[0]):
                await series_of_crowds((node.ip, port), shapes_sent, SIZE)
            await fleet.request()
            await fleet.change_configuration()

    asyncio.run(scenario())


def test_sidecar_that_has_served_crowds_in_series_is_not_left_near_its_memory_limit(tmp_path):
    async def scenario():
        async with sidecar_process(tmp_path) as sidecar:
            await sidecar.everyone_is_answered()
            async with (
                bounded_process(sidecar.process, sidecar.ip, SIDECAR_MEMORY_MB, MAX_SOCKETS),
                resident_size_comes_back(sidecar.process.pid, SIDECAR_MEMORY_MB),
            ):
                await series_of_crowds((sidecar.ip, sidecar.port), SIDECAR_SCRIPTS, SIDECAR_SIZE)
            await sidecar.everyone_is_answered()

    asyncio.run(scenario())
