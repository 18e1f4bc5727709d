"""Crowds at the listeners of a core process: the operator's address, metrics, links."""

from __future__ import annotations

import asyncio

import pytest

from rosechute.fakes.fleet.processes import CONTROL_PORT, PORT_RANGE
from rosechute.processes.metrics import CORE_PORT
from tests.crowds import shapes
from tests.crowds.crowd import Crowd, Script
from tests.crowds.deployment import Deployment, bounded, deployment, restart
from tests.crowds.shapes import CHUNKED, KILOBYTE, MEGABYTE, head

SIZE = 200
SILENT_SIZE = 700  # more than a process has descriptors
SERIES = 3
MAX_BODY_BYTES = 8 * MEGABYTE
LARGE_CONFIGURATION_BYTES = 1 * MEGABYTE
REPLACE = "POST /config/replace"
BASE = "X-Rosechute-Base-Version: 1"
CHUNKED_HEAD = head(REPLACE, BASE, CHUNKED)
LENGTH_HEAD = head(REPLACE, BASE, f"Content-Length: {MAX_BODY_BYTES}")

CONTROL_SCRIPTS: dict[str, Script] = {
    "chunks of 1 byte": shapes.chunks(CHUNKED_HEAD, 1, 300 * KILOBYTE),
    "chunks of 64 KiB": shapes.chunks(CHUNKED_HEAD, 64 * KILOBYTE, 4 * MEGABYTE),
    "one chunk of the whole limit": shapes.one_chunk(CHUNKED_HEAD, MAX_BODY_BYTES),
    "length without its last byte": shapes.body_with_length(LENGTH_HEAD, MAX_BODY_BYTES - 1),
    "length without a body": shapes.body_with_length(LENGTH_HEAD, 0),
    "trailers without end": shapes.endless_trailers(CHUNKED_HEAD),
    "many short headers": shapes.tiny_headers(REPLACE, 8 * KILOBYTE),
    "goes on after a refusal": shapes.refused_then_more(head(REPLACE, f"Content-Length: {64 * MEGABYTE}")),
    "sends nothing": (b"",),
}


async def everyone_is_answered(fleet: Deployment) -> None:
    """One ordinary request at each listener of the core process, and one of a client."""
    await fleet.change_configuration()
    await fleet.read_state(fleet.core)
    await fleet.read_metrics(fleet.core, CORE_PORT)
    await fleet.request()


async def crowds_come_and_go(
    port: int, script: Script, reads: bool = True, series: int = 1, padding_bytes: int = 0, size: int = SIZE
) -> None:
    """Have crowds at one port of a core process, and ordinary requests while they are there."""
    async with deployment() as fleet, bounded(fleet.core):
        if padding_bytes:
            await fleet.change_configuration(padding_bytes)
        for _ in range(series):
            async with Crowd((fleet.core.ip, port), script, size, reads):
                await everyone_is_answered(fleet)
        await everyone_is_answered(fleet)


@pytest.mark.parametrize("shape", CONTROL_SCRIPTS)
def test_crowd_at_the_operators_address(shape):
    size = SILENT_SIZE if shape == "sends nothing" else SIZE
    asyncio.run(crowds_come_and_go(CONTROL_PORT, CONTROL_SCRIPTS[shape], size=size))


def test_crowds_in_series_at_the_operators_address():
    asyncio.run(crowds_come_and_go(CONTROL_PORT, CONTROL_SCRIPTS["chunks of 1 byte"], series=SERIES))


def test_crowd_that_reads_no_configuration():
    script = shapes.pipelined(head("GET /config/read"), 100)
    asyncio.run(crowds_come_and_go(CONTROL_PORT, script, False, padding_bytes=LARGE_CONFIGURATION_BYTES))


def test_crowd_at_the_metrics_that_sends_nothing():
    asyncio.run(crowds_come_and_go(CORE_PORT, (b"",), size=SILENT_SIZE))


def test_crowd_at_the_metrics_that_pipelines_and_reads_nothing():
    asyncio.run(crowds_come_and_go(CORE_PORT, shapes.pipelined(head("GET /metrics"), 50000), reads=False))


def test_crowd_at_the_links_with_large_frames():
    frame = (20 * MEGABYTE - 1).to_bytes(4, "big") + b"\x02"
    asyncio.run(crowds_come_and_go(PORT_RANGE[0], (frame, b"x" * (4 * MEGABYTE))))


def test_crowd_at_the_links_that_sends_nothing():
    asyncio.run(crowds_come_and_go(PORT_RANGE[0], (b"",), size=SILENT_SIZE))


def test_core_restarts_into_a_crowd():
    async def scenario():
        async with (
            deployment() as fleet,
            Crowd((fleet.core.ip, CONTROL_PORT), CONTROL_SCRIPTS["chunks of 64 KiB"], SIZE),
        ):
            await restart(fleet.fleet, fleet.core)
            async with bounded(fleet.core):
                await everyone_is_answered(fleet)

    asyncio.run(scenario())
