"""Crowds at the listeners of the sidecar: the application's side, and the operators' address."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from backend import Client, Server, line, listing, ok, operate, settings
from test_process import ROOT, SIDECAR_COMMAND, config, free_port, next_log_line, write_config

from rosechute.fakes.fleet.loopback_network import reserve_network
from tests.crowds import shapes
from tests.crowds.crowd import Crowd, Script
from tests.crowds.deployment import HANG_S, RETRY_S, bounded_process
from tests.crowds.shapes import CHUNKED, KILOBYTE, MEGABYTE, head

SIZE = 200
MEMORY_MB, MAX_SOCKETS = 64, 256
MAX_HEAD_BYTES, MAX_BODY_BYTES = 32 * KILOBYTE, 32 * MEGABYTE
POST = "POST /single_shot"
IDS = ("X-Request-ID: crowd", "X-Timeout: 5")
CHUNKED_HEAD = head(POST, *IDS, CHUNKED)

SCRIPTS: dict[str, Script] = {
    "chunks of 1 byte": shapes.chunks(CHUNKED_HEAD, 1, 300 * KILOBYTE),
    "chunks of 16 bytes": shapes.chunks(CHUNKED_HEAD, 16, 2 * MEGABYTE),
    "chunks of 64 KiB": shapes.chunks(CHUNKED_HEAD, 64 * KILOBYTE, 2 * MEGABYTE),
    "length without its last byte": shapes.body_with_length(
        head(POST, *IDS, f"Content-Length: {MAX_BODY_BYTES}"), 4 * MEGABYTE
    ),
    "many short headers": shapes.tiny_headers(POST, MAX_HEAD_BYTES - 100),
    "pipelined": shapes.pipelined(head("GET /free", *IDS), 20000),
    "goes on after a refusal": shapes.refused_then_more(head(POST, "Content-Length: 1", "Content-Length: 2")),
}


@dataclass(slots=True)
class RunningSidecar:
    """A sidecar process at an address of its own, in front of one server."""

    ip: str
    port: int
    control: int
    process: asyncio.subprocess.Process

    async def everyone_is_answered(self) -> None:
        """One ordinary request of the application, and one of an operator."""
        await _until(self._request)
        await _until(self._operate)

    async def _request(self) -> bool:
        client = Client(*await asyncio.open_connection(self.ip, self.port))
        try:
            return (await client.ask("single_shot"))[0] == 200
        finally:
            client.writer.close()

    async def _operate(self) -> bool:
        return (await operate(self.control, "GET /stats"))[0] == 200


async def _until(is_answered) -> None:
    async with asyncio.timeout(HANG_S):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, IndexError, ValueError):
                if await is_answered():
                    return
            await asyncio.sleep(RETRY_S)


@contextlib.asynccontextmanager
async def sidecar_process(
    folder: Path, faulty_port: int | None = None, discovery_port: int = 1
) -> AsyncIterator[RunningSidecar]:
    """Run a sidecar in front of a sound server, or of a faulty one at this port."""
    ip = f"127.{reserve_network()}.9.1"
    port, control = free_port(), free_port()
    async with Server(ok) as server:
        raw = config(
            listen=f"{ip}:{port}",
            control=f"127.0.0.1:{control}",
            discovery=f"127.0.0.1:{discovery_port}",
            settings=settings(discovery="subscribe"),
            known=listing(line("s1", faulty_port or server.port)),
            limits={"sockets": MAX_SOCKETS, "memory_mb": MEMORY_MB},
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *SIDECAR_COMMAND,
            cwd=ROOT,
            env={**os.environ, **write_config(folder, raw)},
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_SOCKETS, MAX_SOCKETS)),
        )
        assert b"listening" in await next_log_line(process)
        assert process.stderr is not None
        reading = asyncio.create_task(process.stderr.read())
        try:
            yield RunningSidecar(ip, port, control, process)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            await reading


async def crowd_comes_and_goes(folder: Path, script: Script, at_control: bool = False) -> None:
    async with sidecar_process(folder) as sidecar:
        await sidecar.everyone_is_answered()
        address = ("127.0.0.1", sidecar.control) if at_control else (sidecar.ip, sidecar.port)
        async with bounded_process(sidecar.process, sidecar.ip, MEMORY_MB, MAX_SOCKETS):
            async with Crowd(address, script, SIZE):
                await sidecar.everyone_is_answered()
            await sidecar.everyone_is_answered()


@pytest.mark.parametrize("shape", SCRIPTS)
def test_crowd_of_the_application(tmp_path, shape):
    asyncio.run(crowd_comes_and_goes(tmp_path, SCRIPTS[shape]))


def test_crowd_at_the_operators_address_of_the_sidecar(tmp_path):
    asyncio.run(crowd_comes_and_goes(tmp_path, shapes.chunks(head("GET /stats", CHUNKED), 1, 300 * KILOBYTE), True))
