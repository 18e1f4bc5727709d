"""A faulty server that sends bytes without end, called through a sidecar: memory, and the sidecar's other work."""

from __future__ import annotations

import asyncio

import pytest
from backend import operate
from test_process import free_port

from rosechute.fakes.endless_server import FORMS
from tests.crowds.faulty_server import answered_in_time, endless_callers, endless_server
from tests.crowds.test_crowd_sidecar import MAX_SOCKETS, MEMORY_MB, bounded_process, sidecar_process

CALLERS = 48
STAY_S = 2.0
OPERATOR_DEADLINE_S = 2.0
CLASSES = ("single_shot", "free", "guarded")
STATUSES = (200, 500)


async def operators_are_answered(control: int) -> None:
    """Have each of the operator's calls answered in time."""

    async def read_stats(number: int) -> None:
        assert (await operate(control, "GET /stats"))[0] == 200

    await answered_in_time(read_stats, STAY_S, OPERATOR_DEADLINE_S)


@pytest.mark.parametrize("form", FORMS)
def test_endless_list_of_discovery_leaves_memory_and_time_for_the_sidecars_other_work(tmp_path, form):
    async def scenario():
        port = free_port()
        async with (
            endless_server("127.0.0.1", port, form),
            sidecar_process(tmp_path, discovery_port=port) as sidecar,
            bounded_process(sidecar.process, sidecar.ip, MEMORY_MB, MAX_SOCKETS),
        ):
            await operators_are_answered(sidecar.control)
            await sidecar.everyone_is_answered()

    asyncio.run(scenario())


@pytest.mark.parametrize("form", FORMS)
def test_endless_response_leaves_memory_and_time_for_the_sidecars_other_work(tmp_path, form):
    async def scenario():
        port = free_port()
        async with endless_server("127.0.0.1", port), sidecar_process(tmp_path, port) as sidecar:
            async with bounded_process(sidecar.process, sidecar.ip, MEMORY_MB, MAX_SOCKETS):
                for status in STATUSES:
                    targets = [f"/{name}?form={form}&status={status}" for name in CLASSES]
                    print(form, status)
                    async with endless_callers((sidecar.ip, sidecar.port), CALLERS, targets):
                        await operators_are_answered(sidecar.control)
                await sidecar.everyone_is_answered()
            sidecar.process.terminate()
            async with asyncio.timeout(OPERATOR_DEADLINE_S + STAY_S):
                assert await sidecar.process.wait() == 0

    asyncio.run(scenario())
