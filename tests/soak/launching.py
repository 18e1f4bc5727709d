"""Starts single processes of each program, without peers, in surroundings that a test chooses."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from test_process import SIDECAR_COMMAND, config, free_port

from rosechute.configuration.process import SETTINGS_VARIABLE
from rosechute.fakes.fleet.loopback_network import reserve_network
from rosechute.fakes.fleet.processes import ROOT, Fleet
from tests.crowds.deployment import HANG_S
from tests.soak.addresses import Address, listening_addresses
from tests.soak.signals import wait_for_handlers

NOBODY = "127.0.0.1:9"  # no platform and no discovery listens there
RETRY_S = 0.02


class Program(enum.Enum):
    """A program of the product; the value is its module."""

    EDGE = "rosechute.processes.edge"
    CORE = "rosechute.processes.core"
    SIDECAR = "rosechute.sidecar"


@dataclass(slots=True)
class Launch:
    """A process to start: its program, its settings file, and the addresses at which it will listen, by listener."""

    program: Program
    settings: Path
    variable: str
    addresses: dict[str, Address]
    probe_listener: str
    probe_path: str
    command: tuple[str, ...] = ()
    """Arguments of the interpreter; by default those that run the module of the program."""

    async def start(self, **options: Any) -> asyncio.subprocess.Process:
        """Start the process; the options are those of `asyncio.create_subprocess_exec`."""
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *(self.command or ("-m", self.program.value)),
            cwd=ROOT,
            env={**os.environ, self.variable: str(self.settings)},
            **{"stdout": asyncio.subprocess.DEVNULL, "stderr": asyncio.subprocess.DEVNULL, **options},
        )

    async def wait_until_answering(self, process: asyncio.subprocess.Process) -> None:
        """Wait until the process answers a request at its probe listener, with any status."""
        address = self.addresses[self.probe_listener]
        await _wait_until(process, lambda: _is_answered(address, self.probe_path))

    async def wait_until_listening(self, process: asyncio.subprocess.Process, listener: str) -> None:
        """Wait until a connection to one of its listeners is accepted."""
        await _wait_until(process, lambda: _is_accepted(self.addresses[listener]))


def prepare(program: Program, folder: Path) -> Launch:
    """Write the settings of a process that has no peers."""
    if program is Program.SIDECAR:
        return _prepare_sidecar(folder)
    role = "edge" if program is Program.EDGE else "core"
    fleet = Fleet(folder, reserve_network(), NOBODY, ("north",))
    node = fleet.by_role(role)[0]
    path = fleet.write_settings(node)
    probe = ("readiness", "/readiness") if program is Program.EDGE else ("control", "/config/read")
    return Launch(program, path, SETTINGS_VARIABLE, listening_addresses(node), *probe)


def _prepare_sidecar(folder: Path) -> Launch:
    addresses = {"clients": ("127.0.0.1", free_port()), "control": ("127.0.0.1", free_port())}
    listen, control = (f"{host}:{port}" for host, port in addresses.values())
    path = folder / "config.json"
    path.write_bytes(msgspec.json.encode(config(listen=listen, control=control)))
    return Launch(Program.SIDECAR, path, "NODE_CONFIG", addresses, "control", "/stats", SIDECAR_COMMAND)


@contextlib.asynccontextmanager
async def started(launch: Launch, **options: Any) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a process; kill it at the end if it still runs."""
    process = await launch.start(**options)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def wait_for_exit(process: asyncio.subprocess.Process) -> int:
    """Return the exit status."""
    async with asyncio.timeout(HANG_S):
        return await process.wait()


async def wait_until_handling(process: asyncio.subprocess.Process) -> None:
    """Wait until the process has handlers of signals, or has ended."""
    async with asyncio.timeout(HANG_S):
        await wait_for_handlers(process)


async def _wait_until(process: asyncio.subprocess.Process, is_met: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition is met by a process, which must not end meanwhile."""
    async with asyncio.timeout(HANG_S):
        while not await is_met():
            assert process.returncode is None, f"ended by itself with {process.returncode}"
            await asyncio.sleep(RETRY_S)


async def _is_accepted(address: Address) -> bool:
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True


async def _is_answered(address: Address, path: str) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        return (await reader.read(5)) == b"HTTP/"
    except OSError:
        return False
    finally:
        writer.close()
