"""Nothing in the surroundings of a process ends it or holds it up: log destinations, signals, addresses, files."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from pathlib import Path

import aiohttp
import msgspec
import pytest

from rosechute.fakes.fleet.processes import FRONT_PORT, READINESS_PORT
from rosechute.processes.metrics import CORE_PORT, EDGE_PORT
from rosechute.storage.record_store import LOG_NAMES, SLOT_NAMES
from tests.crowds.deployment import HANG_S, deployment
from tests.soak.launching import Program, prepare, started, wait_for_exit, wait_until_handling
from tests.soak.log_destinations import LogDestination, log_destination
from tests.soak.signals import send_signal

PROGRAMS = list(Program)
DESTINATIONS = list(LogDestination)
LISTENERS = [
    (Program.EDGE, "front"),
    (Program.EDGE, "readiness"),
    (Program.EDGE, "metrics"),
    (Program.EDGE, "links"),
    (Program.CORE, "control"),
    (Program.CORE, "metrics"),
    (Program.CORE, "links"),
    (Program.SIDECAR, "clients"),
    (Program.SIDECAR, "control"),
]
HARMLESS_SIGNALS = (signal.SIGHUP, signal.SIGPIPE, signal.SIGUSR1, signal.SIGUSR2)
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SERIES_LENGTH = 100
SERIES_PAUSE_S = 0.004
START_DELAYS_S = (0.0, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64)  # from the first handler on
HELD_S = 1.0
RETRY_S = 0.02
REPLACEMENT_S = 0.3  # within the time for which a process waits for usable settings
STORE_FILES = (*SLOT_NAMES, *LOG_NAMES)


@pytest.mark.parametrize("destination", DESTINATIONS, ids=lambda one: one.value)
@pytest.mark.parametrize("program", PROGRAMS, ids=lambda one: one.name)
def test_log_destination_neither_prevents_the_start_nor_the_end(tmp_path, program, destination):
    async def scenario():
        launch = prepare(program, tmp_path)
        with log_destination(destination) as options:
            async with started(launch, **options) as process:
                await launch.wait_until_answering(process)
                send_signal(process, signal.SIGHUP)
                await launch.wait_until_answering(process)
                send_signal(process, signal.SIGTERM)
                assert await wait_for_exit(process) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("program", [Program.EDGE, Program.CORE], ids=lambda one: one.name)
def test_process_started_by_the_command_line_survives_signals_and_a_closed_log(tmp_path, program):
    async def scenario():
        launch = prepare(program, tmp_path)
        launch.command = ("-m", "rosechute.processes", program.name.lower(), "--settings", str(launch.settings))
        with log_destination(LogDestination.CLOSED) as options:
            async with started(launch, **options) as process:
                await wait_until_handling(process)
                for _ in range(SERIES_LENGTH):
                    send_signal(process, signal.SIGHUP)
                    await asyncio.sleep(SERIES_PAUSE_S)
                await launch.wait_until_answering(process)
                send_signal(process, signal.SIGTERM)
                assert await wait_for_exit(process) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("destination", DESTINATIONS, ids=lambda one: one.value)
def test_fleet_serves_whatever_becomes_of_its_log(destination):
    async def scenario():
        with log_destination(destination) as options:
            async with deployment(spawn_options=options) as running:
                for _ in range(3):
                    await running.request()
                    await running.change_configuration()
                await running.probe_readiness()
                for node, port in ((running.edge, EDGE_PORT), (running.core, CORE_PORT)):
                    dropped = await dropped_lines(node.ip, port)
                    if destination in (LogDestination.BROKEN_PIPE, LogDestination.FULL_DISK):
                        assert dropped > 0
                    send_signal(node.process, signal.SIGTERM)
                    assert await wait_for_exit(node.process) == 0

    asyncio.run(scenario())


async def dropped_lines(ip, port):
    """Return the number of log lines that the process at a metrics address has dropped."""
    async with aiohttp.ClientSession() as session, session.get(f"http://{ip}:{port}/metrics") as response:
        lines = (await response.text()).splitlines()
    return next(float(line.split()[1]) for line in lines if line.startswith("rosechute_log_lines_dropped_total"))


@pytest.mark.parametrize("number", HARMLESS_SIGNALS)
@pytest.mark.parametrize("program", PROGRAMS, ids=lambda one: one.name)
def test_signals_that_end_nothing_are_survived_from_the_first_handler_on(tmp_path, program, number):
    async def scenario():
        launch = prepare(program, tmp_path)
        async with started(launch) as process:
            await wait_until_handling(process)
            for _ in range(SERIES_LENGTH):
                send_signal(process, number)
                await asyncio.sleep(SERIES_PAUSE_S)
            await launch.wait_until_answering(process)
            send_signal(process, number)
            send_signal(process, signal.SIGTERM)
            assert await wait_for_exit(process) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("number", ENDING_SIGNALS)
@pytest.mark.parametrize("program", PROGRAMS, ids=lambda one: one.name)
def test_process_that_is_told_to_end_while_it_starts_ends_with_0(tmp_path, program, number):
    async def scenario():
        for delay_s in START_DELAYS_S:
            launch = prepare(program, tmp_path)
            async with started(launch) as process:
                await wait_until_handling(process)
                await asyncio.sleep(delay_s)
                send_signal(process, number)
                assert await wait_for_exit(process) == 0, f"{delay_s} s after the first handler"

    asyncio.run(scenario())


@pytest.mark.parametrize(("program", "listener"), LISTENERS, ids=lambda one: getattr(one, "name", one))
def test_address_in_use_for_a_while_delays_only_its_own_listener(tmp_path, program, listener):
    async def scenario():
        launch = prepare(program, tmp_path)
        with socket.create_server(launch.addresses[listener]) as holder:
            async with started(launch) as process:
                for other in launch.addresses.keys() - {listener}:
                    await launch.wait_until_listening(process, other)
                await asyncio.sleep(HELD_S)
                assert process.returncode is None
                holder.close()
                await launch.wait_until_listening(process, listener)
                await launch.wait_until_answering(process)
                send_signal(process, signal.SIGTERM)
                assert await wait_for_exit(process) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(("program", "listener"), LISTENERS, ids=lambda one: getattr(one, "name", one))
def test_process_whose_address_stays_in_use_ends_when_told(tmp_path, program, listener):
    async def scenario():
        launch = prepare(program, tmp_path)
        with socket.create_server(launch.addresses[listener]):
            async with started(launch) as process:
                for other in launch.addresses.keys() - {listener}:
                    await launch.wait_until_listening(process, other)
                send_signal(process, signal.SIGTERM)
                assert await wait_for_exit(process) == 0

    asyncio.run(scenario())


def test_edge_without_its_front_is_not_ready():
    async def scenario():
        async with deployment() as running:
            edge = running.edge
            send_signal(edge.process, signal.SIGTERM)
            assert await wait_for_exit(edge.process) == 0
            with socket.create_server((edge.ip, FRONT_PORT)) as holder:
                await running.fleet.start(edge.name)
                await wait_for_configuration(edge.ip)
                assert await readiness_status(edge.ip) == 503
                holder.close()
                await running.probe_readiness()
                await running.request()

    asyncio.run(scenario())


async def readiness_status(ip):
    """Return the status of one readiness probe."""
    url = f"http://{ip}:{READINESS_PORT}/readiness"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return response.status


async def wait_for_configuration(ip):
    """Wait until an edge counts itself ready but for its front."""
    async with asyncio.timeout(HANG_S), aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(f"http://{ip}:{READINESS_PORT}/state") as response:
                    if (await response.json())["clients"]["ready"]:
                        return
            await asyncio.sleep(RETRY_S)


@pytest.mark.parametrize("missing", [False, True], ids=["empty", "missing"])
@pytest.mark.parametrize("program", PROGRAMS, ids=lambda one: one.name)
def test_settings_file_that_is_being_replaced_does_not_prevent_the_start(tmp_path, program, missing):
    async def scenario():
        launch = prepare(program, tmp_path)
        content = launch.settings.read_bytes()
        if missing:
            launch.settings.unlink()
        else:
            launch.settings.write_bytes(b"")
        async with started(launch) as process:
            await wait_until_handling(process)
            await asyncio.sleep(REPLACEMENT_S)
            replacement = launch.settings.with_suffix(".new")
            replacement.write_bytes(content)
            replacement.rename(launch.settings)
            await launch.wait_until_answering(process)

    asyncio.run(scenario())


def test_core_whose_disk_hangs_ends_when_told(tmp_path):
    async def scenario():
        launch = prepare(Program.CORE, tmp_path)
        data = Path(msgspec.json.decode(launch.settings.read_bytes())["data_dir"])
        for name in STORE_FILES:
            os.mkfifo(data / name)  # a read of a pipe that nobody writes to never returns
        async with started(launch) as process:
            await launch.wait_until_answering(process)
            send_signal(process, signal.SIGTERM)
            assert await wait_for_exit(process) == 0

    asyncio.run(scenario())
