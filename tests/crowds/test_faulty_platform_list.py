"""A platform's endpoint list that sends bytes without end, read by a core: memory, and the core's other work."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import pytest

from rosechute.fakes.endless_server import FORMS
from rosechute.fakes.fleet.loopback_network import reserve_network
from rosechute.fakes.fleet.operator import Operator
from rosechute.fakes.fleet.platform import PlatformList
from rosechute.fakes.fleet.processes import Fleet
from rosechute.processes.metrics import CORE_PORT
from tests.crowds.deployment import CONFIGURATION, HANG_S, ZONE, Deployment, bounded, restart
from tests.crowds.faulty_server import answered_in_time, endless_server

MEMORY_MB, MAX_FDS = 128, 600
STAY_S = 2.5
DEADLINE_S = 2.0
LIST_PORT = 8100
CASES = [(form, 200) for form in FORMS] + [("no_length", 500)]


async def core_is_answering(running: Deployment) -> None:
    """Have each read of the core's metrics answered in time."""

    async def read_metrics(number: int) -> None:
        await running.read_metrics(running.core, CORE_PORT)

    await answered_in_time(read_metrics, STAY_S, DEADLINE_S)


@pytest.mark.parametrize(("form", "status"), CASES)
def test_endless_endpoint_list_leaves_memory_and_time_for_the_cores_other_work(form, status):
    async def scenario():
        network = reserve_network()
        async with endless_server(f"127.{network}.1.1", LIST_PORT, form, status) as address:
            with tempfile.TemporaryDirectory(prefix="rosechute-list-") as name:
                fleet = Fleet(Path(name), network, address, (ZONE,))
                fleet.memory_mb, fleet.max_fds = MEMORY_MB, MAX_FDS
                operator = Operator(fleet.control_addresses())
                running = Deployment(fleet, PlatformList(), operator, Path(name), CONFIGURATION)
                try:
                    await fleet.start_all()
                    outcome = await operator.replace(CONFIGURATION, 0, HANG_S)
                    assert outcome.status == 200, outcome
                    async with bounded(running.core, MEMORY_MB, MAX_FDS):
                        await core_is_answering(running)
                        await running.change_configuration()
                    await restart(fleet, running.core)
                finally:
                    await fleet.stop_all()

    asyncio.run(scenario())
