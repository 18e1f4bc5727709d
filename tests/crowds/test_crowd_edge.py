"""Crowds at the listeners of an edge: clients' requests, readiness, metrics, links."""

from __future__ import annotations

import asyncio

import pytest

from rosechute.fakes.fleet.processes import FRONT_PORT, PORT_RANGE, READINESS_PORT
from rosechute.processes.metrics import EDGE_PORT
from tests.crowds import shapes
from tests.crowds.crowd import Crowd, Script
from tests.crowds.deployment import CONFIGURATION, Deployment, bounded, deployment, restart
from tests.crowds.shapes import CHUNKED, KILOBYTE, MEGABYTE, head

SIZE = 200
SILENT_SIZE = 700  # more than a process has descriptors
SERIES = 3
# An edge of a large deployment, and a crowd of more connections than it has places for clients.
LARGE_MEMORY_MB, LARGE_MAX_FDS, LARGE_SIZE = 118, 4100, 2600
MAX_HEAD_BYTES = int(CONFIGURATION["limits"]["max_header_bytes"])
MAX_BODY_BYTES = int(CONFIGURATION["limits"]["max_body_bytes"])
IDS = ("X-Rosechute-Request-Id: crowd", "X-Rosechute-Deadline-Ms: 8000")
PLAIN = "POST /plain/1"
CHUNKED_HEAD = head(PLAIN, *IDS, CHUNKED)
LENGTH_HEAD = head(PLAIN, *IDS, f"Content-Length: {MAX_BODY_BYTES}")
GET_PLAIN = head("POST /plain/1", *IDS, "Content-Length: 0")
LARGE_STREAM = head("POST /streams/1", *IDS, "X-Rosechute-Token-Count: 1,2000000", "Content-Length: 0")

FRONT_SCRIPTS: dict[str, Script] = {
    "chunks of 1 byte": shapes.chunks(CHUNKED_HEAD, 1, 300 * KILOBYTE),
    "chunks of 16 bytes": shapes.chunks(CHUNKED_HEAD, 16, 2 * MEGABYTE),
    "chunks of 64 KiB": shapes.chunks(CHUNKED_HEAD, 64 * KILOBYTE, 2 * MEGABYTE),
    "one chunk of the whole limit": shapes.one_chunk(CHUNKED_HEAD, MAX_BODY_BYTES),
    "length without a body": shapes.body_with_length(LENGTH_HEAD, 0),
    "length without its last byte": shapes.body_with_length(LENGTH_HEAD, MAX_BODY_BYTES - 1),
    "trailers without end": shapes.endless_trailers(CHUNKED_HEAD),
    "chunk extension without end": shapes.endless_extension(CHUNKED_HEAD),
    "chunk size without end": shapes.endless_size(CHUNKED_HEAD),
    "many short headers": shapes.tiny_headers(PLAIN, MAX_HEAD_BYTES - 100),
    "pipelined behind a running request": shapes.pipelined(GET_PLAIN, 20000),
    "pipelined with many short headers": shapes.pipelined(GET_PLAIN[:-2] + b"a:\r\n" * 15000 + b"\r\n", 20),
    "expects to continue": (head(PLAIN, *IDS, f"Content-Length: {MAX_BODY_BYTES}", "Expect: 100-continue"),),
    "goes on after a refusal": shapes.refused_then_more(head(PLAIN, "Content-Length: 1", "Content-Length: 2")),
}


async def everyone_is_answered(fleet: Deployment) -> None:
    """One ordinary request at each listener of the edge, and one change by the operator."""
    await fleet.request()
    await fleet.probe_readiness()
    await fleet.read_state(fleet.edge)
    await fleet.read_metrics(fleet.edge, EDGE_PORT)
    await fleet.change_configuration()


async def crowds_come_and_go(
    port: int, script: Script, reads: bool = True, series: int = 1, size: int = SIZE
) -> None:
    """Have crowds at one port of an edge, one after the other, and ordinary requests while they are there."""
    async with deployment() as fleet, bounded(fleet.edge):
        for _ in range(series):
            async with Crowd((fleet.edge.ip, port), script, size, reads):
                await everyone_is_answered(fleet)
        await everyone_is_answered(fleet)


@pytest.mark.parametrize("shape", FRONT_SCRIPTS)
def test_crowd_at_the_front(shape):
    asyncio.run(crowds_come_and_go(FRONT_PORT, FRONT_SCRIPTS[shape]))


LARGE_CROWD_SHAPES = (
    "chunks of 16 bytes",
    "chunks of 64 KiB",
    "length without its last byte",
    "many short headers",
)


@pytest.mark.parametrize("shape", LARGE_CROWD_SHAPES)
def test_large_crowd_at_the_front(shape):
    async def scenario():
        limits = (LARGE_MEMORY_MB, LARGE_MAX_FDS)
        async with deployment(*limits) as fleet, bounded(fleet.edge, *limits):
            async with Crowd((fleet.edge.ip, FRONT_PORT), FRONT_SCRIPTS[shape], LARGE_SIZE):
                await everyone_is_answered(fleet)
            await everyone_is_answered(fleet)

    asyncio.run(scenario())


def test_crowds_in_series_at_the_front():
    asyncio.run(crowds_come_and_go(FRONT_PORT, FRONT_SCRIPTS["chunks of 1 byte"], series=SERIES))


def test_crowd_that_reads_no_stream():
    asyncio.run(crowds_come_and_go(FRONT_PORT, (LARGE_STREAM,), reads=False))


def test_crowd_that_reads_no_answer():
    script = shapes.pipelined(GET_PLAIN, 20000)
    asyncio.run(crowds_come_and_go(FRONT_PORT, script, reads=False))


HTTP_LISTENERS = {"readiness": (READINESS_PORT, "/readiness"), "metrics": (EDGE_PORT, "/metrics")}


@pytest.mark.parametrize("listener", HTTP_LISTENERS)
def test_crowd_that_sends_nothing(listener):
    port, _ = HTTP_LISTENERS[listener]
    asyncio.run(crowds_come_and_go(port, (b"",), size=SILENT_SIZE))


@pytest.mark.parametrize("listener", HTTP_LISTENERS)
def test_crowd_with_chunks_of_one_byte(listener):
    port, path = HTTP_LISTENERS[listener]
    asyncio.run(crowds_come_and_go(port, shapes.chunks(head(f"GET {path}", CHUNKED), 1, 300 * KILOBYTE)))


@pytest.mark.parametrize("listener", HTTP_LISTENERS)
def test_crowd_with_many_short_headers(listener):
    port, path = HTTP_LISTENERS[listener]
    asyncio.run(crowds_come_and_go(port, shapes.tiny_headers(f"GET {path}", 8 * KILOBYTE)))


@pytest.mark.parametrize("listener", HTTP_LISTENERS)
def test_crowd_that_pipelines_and_reads_nothing(listener):
    port, path = HTTP_LISTENERS[listener]
    asyncio.run(crowds_come_and_go(port, shapes.pipelined(head(f"GET {path}"), 50000), reads=False))


def test_crowd_at_the_links_with_large_frames():
    frame = (20 * MEGABYTE - 1).to_bytes(4, "big") + b"\x02"
    asyncio.run(crowds_come_and_go(PORT_RANGE[1], (frame, b"x" * (4 * MEGABYTE))))


def test_crowd_at_the_links_that_sends_nothing():
    asyncio.run(crowds_come_and_go(PORT_RANGE[1], (b"",), size=SILENT_SIZE))


def test_edge_restarts_into_a_crowd():
    async def scenario():
        async with deployment() as fleet, Crowd((fleet.edge.ip, FRONT_PORT), FRONT_SCRIPTS["chunks of 64 KiB"], SIZE):
            await restart(fleet.fleet, fleet.edge)
            async with bounded(fleet.edge):
                await everyone_is_answered(fleet)

    asyncio.run(scenario())
