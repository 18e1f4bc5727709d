"""A faulty server that sends bytes without end, called through an edge: memory, and requests to other servers."""

from __future__ import annotations

import asyncio
import copy
import functools
import os
from typing import Any

import aiohttp
import pytest

from rosechute.fakes.endless_server import FORMS
from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.platform import Instance
from rosechute.fakes.fleet.processes import FRONT_PORT
from rosechute.processes.metrics import EDGE_PORT
from tests.crowds.deployment import (
    CONFIGURATION,
    HANG_S,
    HOST,
    MAX_FDS,
    ZONE,
    Deployment,
    bounded,
    deployment,
    restart,
)
from tests.crowds.faulty_server import PAUSE_S, answered_in_time, endless_callers, endless_server

MEMORY_MB = 260
CALLERS = int(os.environ.get("FAULTY_CALLERS", "64"))
MANY_CALLERS = 200  # more than an edge with few descriptors has places for
MANY_FDS = 4100  # descriptors of an edge of a small deployment
MANY_CALLERS_FORMS = ("byte_chunks", "partial_events", "whole_events")
STAY_S = 2.5
SERVER_PORT = 8100
DEADLINE_S = 2.0  # of the ordinary requests: four times the target latency of their route
FAULTY = "faulty"
ROUTE_TYPES: dict[str, dict[str, Any]] = {
    "unsafe": {"route_type": "non_idempotent", "max_attempts": 1},
    "safe": {"route_type": "idempotent", "max_attempts": 2},
    "stream": {"route_type": "streaming", "max_attempts": 1},
    "resumed": {"route_type": "streaming", "max_attempts": 2, "stream_resume": True},
}
STATUSES = (200, 500)


def configuration_with_faulty_service() -> dict[str, Any]:
    configuration = copy.deepcopy(CONFIGURATION)
    template = configuration["routes"][0]
    configuration["routes"] += [
        {**template, **changes, "name": name, "path_prefix": f"/{name}/", "service": FAULTY}
        for name, changes in ROUTE_TYPES.items()
    ]
    configuration["services"].append({**configuration["services"][0], "name": FAULTY})
    return configuration


async def ordinary_request(fleet: Deployment, number: int) -> None:
    """Have one request to another server answered at the first try."""
    headers = {
        "Host": HOST,
        words.REQUEST_ID: f"ordinary-{number}",
        words.DEADLINE_MS: f"{DEADLINE_S * 1e3:.0f}",
    }
    url = f"http://{fleet.edge.ip}:{FRONT_PORT}/plain/1"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers, data=b"ordinary") as response,
    ):
        answer = await response.read()
        assert response.status == 200, f"ordinary request {number}: status {response.status}"
        assert answer == words.plain_body("/plain/1", b"ordinary")


async def read_metrics(fleet: Deployment) -> str:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{fleet.edge.ip}:{EDGE_PORT}/metrics") as response,
    ):
        return await response.text()


async def metrics_name_the_faulty_server(fleet: Deployment) -> None:
    assert 'harmful_responses_total{server="i-faulty"' in await read_metrics(fleet)


async def responses_are_released(fleet: Deployment) -> None:
    """Wait until nothing is charged for servers' responses any more."""
    released = 'rosechute_request_memory_bytes{state="responses"} 0'
    async with asyncio.timeout(HANG_S):
        while released not in (await read_metrics(fleet)).splitlines():
            await asyncio.sleep(PAUSE_S)


async def callers_of_a_faulty_server_come_and_go(form: str, callers: int, max_fds: int) -> None:
    configuration = configuration_with_faulty_service()
    async with deployment(MEMORY_MB, max_fds, configuration=configuration) as fleet:
        host = f"127.{fleet.edge.ip.split('.')[1]}.4.9"
        async with endless_server(host, SERVER_PORT) as address:
            fleet.platform.put(Instance(id="i-faulty", service=FAULTY, address=address, zone=ZONE, slots=200))
            await asyncio.sleep(1.0)
            async with bounded(fleet.edge, MEMORY_MB, max_fds, (host,)):
                for status in STATUSES:
                    targets = [f"/{name}/1?form={form}&status={status}" for name in ROUTE_TYPES]
                    print(form, status)
                    async with endless_callers((fleet.edge.ip, FRONT_PORT), callers, targets):
                        await answered_in_time(functools.partial(ordinary_request, fleet), STAY_S, DEADLINE_S)
                        await fleet.probe_readiness()
                await metrics_name_the_faulty_server(fleet)
                await responses_are_released(fleet)
            await restart(fleet.fleet, fleet.edge, max_fds)


@pytest.mark.parametrize("form", FORMS)
def test_endless_response_leaves_memory_and_time_for_other_requests(form):
    asyncio.run(callers_of_a_faulty_server_come_and_go(form, CALLERS, MAX_FDS))


def test_callers_of_one_service_leave_places_for_connections_to_others():
    asyncio.run(callers_of_a_faulty_server_come_and_go("byte_chunks", MANY_CALLERS, MAX_FDS))


@pytest.mark.parametrize("form", MANY_CALLERS_FORMS)
def test_endless_response_to_many_callers_leaves_memory_and_time_for_other_requests(form):
    asyncio.run(callers_of_a_faulty_server_come_and_go(form, MANY_CALLERS, MANY_FDS))
