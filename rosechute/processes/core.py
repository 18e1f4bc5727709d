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
    SERVES_CONTROL_PLANE,
    SETTINGS_VARIABLE,
    ProcessSettings,
    find_missing_setting,
    load_settings_from_environment,
)
from rosechute.control_plane.core_machine import CoreMachine
from rosechute.processes import logs
from rosechute.processes.core_metrics import core_families
from rosechute.processes.metrics import CORE_PORT, MetricsServer
from rosechute.processes.settings_watch import SettingsWatch
from rosechute.processes.state import ProcessState

STOP_WITHIN_S = 1.8  # above what the machine takes to hand over
EXIT_UNUSABLE = 2  # the settings can't be used, or an address is taken


class CoreProcess:
    """One life of the program: start, settings that change, end."""

    def __init__(self, settings: ProcessSettings, path: str) -> None:
        self._settings = settings
        state = ProcessState(settings)
        self._machine = CoreMachine(settings, state.add_to)
        self._watch = SettingsWatch(settings, path, self._machine.change_settings)
        state.add("core", self._machine.report)
        self._metrics = MetricsServer(settings.ip, CORE_PORT, core_families(self._machine))
        self._ends = asyncio.Event()

    async def run(self) -> None:
        """Until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_report)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ends.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.reload)
        await self._machine.start()
        await self._metrics.start()
        gc.freeze()  # what is loaded by now stays: later collections needn't look at it
        gc.enable()
        logger.info("core machine {} listens at {}", self._settings.node_name, self._settings.listen.control)
        watching = asyncio.create_task(self._watch.run())
        await self._ends.wait()
        watching.cancel()
        await self._metrics.stop()
        await asyncio.wait_for(self._machine.stop(), STOP_WITHIN_S)


def main() -> int:
    """Run the program; the exit status."""
    loaded = load_settings_from_environment()
    if isinstance(loaded, Failure):
        logs.configure_logging()
        logger.critical("settings: {}", loaded.failure())
        return EXIT_UNUSABLE
    settings = loaded.unwrap()
    logs.configure_logging(settings.log_level)
    missing = find_missing_setting(settings, SERVES_CONTROL_PLANE, os.environ[SETTINGS_VARIABLE])
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


if __name__ == "__main__":
    sys.exit(main())
