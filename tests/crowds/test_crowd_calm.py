"""Single requests inside the limits are served in calm, with the limits of the deployments that are in service."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.processes import FRONT_PORT
from tests.crowds.deployment import HOST, bounded, deployment
from tests.crowds.watch import MEGABYTE

EDGE_MEMORY_MB, CORE_MEMORY_MB, MAX_FDS = 260, 296, 4096
LARGEST_CONFIGURATION_BYTES = 8 * MEGABYTE - 4096  # the operator's API takes bodies of up to 8 MiB


async def one_byte_chunks(number: int) -> AsyncIterator[bytes]:
    for _ in range(number):
        yield b"x"


def test_body_of_four_megabytes_is_served():
    async def scenario():
        async with deployment(EDGE_MEMORY_MB, MAX_FDS) as fleet, bounded(fleet.edge, EDGE_MEMORY_MB, MAX_FDS):
            await fleet.request(b"x" * 4 * MEGABYTE)

    asyncio.run(scenario())


def test_body_in_one_byte_chunks_is_served():
    async def scenario():
        async with deployment(EDGE_MEMORY_MB, MAX_FDS) as fleet, bounded(fleet.edge, EDGE_MEMORY_MB, MAX_FDS):
            headers = {"Host": HOST, words.DEADLINE_MS: "30000", words.REQUEST_ID: "one-byte-chunks"}
            url = f"http://{fleet.edge.ip}:{FRONT_PORT}/plain/1"
            number = 200 * 1024
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, headers=headers, data=one_byte_chunks(number)) as response,
            ):
                assert response.status == 200
                assert await response.read() == words.plain_body("/plain/1", b"x" * number)

    asyncio.run(scenario())


def test_largest_configuration_is_taken_and_read_back():
    async def scenario():
        async with deployment(CORE_MEMORY_MB, MAX_FDS) as fleet, bounded(fleet.core, CORE_MEMORY_MB, MAX_FDS):
            padding = LARGEST_CONFIGURATION_BYTES - 2048
            await fleet.change_configuration(padding)

    asyncio.run(scenario())
