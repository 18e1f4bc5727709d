"""A faulty server and its callers as processes beside a test."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
PAUSE_S = 0.05


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


async def answered_in_time(request: Callable[[int], Awaitable[None]], seconds: float, deadline_s: float) -> None:
    """Make numbered requests one after the other for this long; each must be answered within the deadline."""
    loop = asyncio.get_running_loop()
    end, number, slowest = loop.time() + seconds, 0, 0.0
    while loop.time() < end:
        began = loop.time()
        number += 1
        async with asyncio.timeout(deadline_s):
            await request(number)
        slowest = max(slowest, loop.time() - began)
        await asyncio.sleep(PAUSE_S)
    print(f"{number} requests, slowest {slowest:.2f} s")


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
