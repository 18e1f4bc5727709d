"""The program of a core machine. `ROSECHUTE_NODE_FILE` names its settings file."""

import rosechute.processes.early_start  # noqa: F401

# isort: split
import rosechute.processes.plain_http  # noqa: F401

# isort: split
import asyncio
import gc
import os
import signal
import sys

from loguru import logger
from returns.result import Failure

from rosechute.configuration.process import (
    SERVES_CONTROL,
    SETTINGS_VARIABLE,
    ProcessSettings,
    load,
    load_from_environment,
    problem_for,
)
from rosechute.control.core_machine import CoreMachine
from rosechute.processes import logs
from rosechute.processes.state import ProcessState

SETTINGS_POLL_S = 1.0
STOP_WITHIN_S = 1.8  # above what the machine takes to hand over
EXIT_UNUSABLE = 2  # the settings can't be used, or an address is taken


class CoreProcess:
    """One life of the program: start, settings that change, end."""

    def __init__(self, settings: ProcessSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        self._read: tuple[int, int] = _version_of(path)
        state = ProcessState(settings)
        self._machine = CoreMachine(settings, state.add_to)
        state.add("core", self._machine.report)
        self._ends = asyncio.Event()

    async def run(self) -> None:
        """Until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_report)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ends.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._machine.start()
        gc.freeze()  # what is loaded by now stays: later collections needn't look at it
        gc.enable()
        logger.info("core machine {} listens at {}", self._settings.node_name, self._settings.listen.control)
        poll = asyncio.create_task(self._poll())
        await self._ends.wait()
        poll.cancel()
        await asyncio.wait_for(self._machine.stop(), STOP_WITHIN_S)

    def reload(self) -> None:
        """Read the settings file again; one that can't be used changes nothing."""
        self._read = _version_of(self._path)
        loaded = load(self._path)
        if isinstance(loaded, Failure):
            logger.warning("settings: {}", loaded.failure())
        elif loaded.unwrap() != self._settings:
            self._settings = loaded.unwrap()
            self._machine.change_settings(self._settings)
            logger.info("settings changed")

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            if _version_of(self._path) != self._read:
                self.reload()


def main() -> int:
    """Run the program; the exit status."""
    loaded = load_from_environment()
    if isinstance(loaded, Failure):
        logs.set_up()
        logger.critical("settings: {}", loaded.failure())
        return EXIT_UNUSABLE
    settings = loaded.unwrap()
    logs.set_up(settings.log_level)
    missing = problem_for(settings, SERVES_CONTROL, os.environ[SETTINGS_VARIABLE])
    if missing is not None:
        logger.critical("settings: {}", missing)
        return EXIT_UNUSABLE
    return _run(settings)


def _run(settings: ProcessSettings) -> int:
    try:
        asyncio.run(_life(settings, os.environ[SETTINGS_VARIABLE]))
    except TimeoutError:
        logger.warning("ended without having closed everything")
    except OSError as error:
        logger.critical("{} cannot serve: {}", settings.node_name, error)
        return EXIT_UNUSABLE
    return 0


async def _life(settings: ProcessSettings, path: str) -> None:
    await CoreProcess(settings, path).run()


def _report(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    """Log what the event loop found in a callback or task that nobody awaits."""
    error = context.get("exception")
    known = error if isinstance(error, BaseException) else None
    logger.opt(exception=known).error("loop: {}", context.get("message"))


def _version_of(path: str) -> tuple[int, int]:
    """Changes when the file does."""
    try:
        told = os.stat(path)
    except OSError:
        return (0, 0)
    return (told.st_mtime_ns, told.st_size)


if __name__ == "__main__":
    sys.exit(main())
