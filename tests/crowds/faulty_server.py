"""A faulty server and its callers as processes beside a test."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0


@contextlib.asynccontextmanager
async def endless_server(host: str, port: int, form: str = "", status: int = 200) -> AsyncIterator[str]:
    """Run a faulty server; the value is its address. Requests that name no form get this one, if it is not empty."""
    default = (form, str(status)) if form else ()
    async with _process("rosechute.fakes.endless_server", host, str(port), *default) as process:
        assert process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            await process.stdout.readline()
        yield f"{host}:{port}"


@contextlib.asynccontextmanager
async def endless_callers(
    address: tuple[str, int], count: int, targets: Sequence[str], credential: str = ""
) -> AsyncIterator[None]:
    """Have callers request these targets again and again."""
    host, port = address
    async with _process("tests.crowds.endless_callers", host, str(port), str(count), credential, *targets):
        yield


@contextlib.asynccontextmanager
async def _process(module: str, *arguments: str) -> AsyncIterator[asyncio.subprocess.Process]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    try:
        yield process
    finally:
        process.kill()
        await process.wait()
