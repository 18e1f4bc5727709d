"""Entry point of a core process. `ROSECHUTE_NODE_FILE` holds the path of its settings file."""

from rosechute import process_start

if __name__ == "__main__":
    process_start.prepare_fleet_process()  # before anything else is loaded

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
)
from rosechute.control_plane.core_machine import CoreMachine
from rosechute.processes import logs
from rosechute.processes.core_metrics import core_families
from rosechute.processes.listener_log import log_listener_event
from rosechute.processes.metrics import CORE_PORT, MetricsServer
from rosechute.processes.resource_watch import ResourceWatch, log_end, log_start
from rosechute.processes.settings_loading import load_settings_at_start
from rosechute.processes.settings_watch import SettingsWatch
from rosechute.processes.state import ProcessState
from rosechute.proxy.core.listener_supervisor import ListenerSupervisor
from rosechute.proxy.core.log_stream import replace_standard_streams
from rosechute.proxy.core.process_signals import handle_signals

SHUTDOWN_TIMEOUT_S = 1.8  # longer than the handover of the leader lease, which may take 1.05 s
METRICS = "metrics"  # name of the listener
EXIT_UNUSABLE = 2  # the settings are unusable
EXIT_FAULT = 3  # a fault in the program has ended the work of the core machine


class CoreProcess:
    """Runs the core machine, its metrics server and the watch of its settings file until the process is stopped."""

    def __init__(self, settings: ProcessSettings, path: str) -> None:
        """Build the parts without starting any.

        Args:
            settings: The settings in force at the start.
            path: Path of the file that they were loaded from; it is watched for changes.
        """
        self._settings = settings
        state = ProcessState(settings)
        self._listeners = ListenerSupervisor(log_listener_event)
        self._machine = CoreMachine(settings, state.add_to, self._listeners)
        self._resource_watch = ResourceWatch(settings)
        self._settings_watch = SettingsWatch(settings, path, self._change_settings)
        state.add("core", self._machine.report)
        self._metrics = MetricsServer(
            settings.ip, CORE_PORT, core_families(self._machine, self._listeners.failures, self._resource_watch)
        )
        self._stop_requested = asyncio.Event()

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then shut down.

        Returns:
            The exit status: 0, or `EXIT_FAULT`.

        Raises:
            TimeoutError: The shutdown took longer than `SHUTDOWN_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(logs.log_unhandled_error)
        stop, reload = self._stop_requested.set, self._settings_watch.reload
        with handle_signals(loop, {signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload}):
            await self._serve()
        return EXIT_FAULT if self._machine.has_failed.is_set() else 0

    async def _serve(self) -> None:
        await self._machine.start()
        await self._listeners.open(METRICS, self._metrics.start)
        gc.freeze()  # objects loaded by now are never freed, so later collections can skip them
        gc.enable()
        address = self._settings.listen.control
        logger.info("core started node={} control_address={}", self._settings.node_name, address)
        watches = [asyncio.create_task(watch.run()) for watch in (self._settings_watch, self._resource_watch)]
        await self._wait_until_end()
        self._listeners.close()
        for watch in watches:
            watch.cancel()
        await self._metrics.stop()
        await asyncio.wait_for(self._machine.stop(), SHUTDOWN_TIMEOUT_S)

    def _change_settings(self, settings: ProcessSettings) -> None:
        self._machine.change_settings(settings)
        self._resource_watch.change_settings(settings)

    async def _wait_until_end(self) -> None:
        """Wait for a signal to end, or for a fault after which this process would not do its work."""
        ends = [asyncio.create_task(event.wait()) for event in (self._stop_requested, self._machine.has_failed)]
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        for end in ends:
            end.cancel()


def main() -> int:
    """Run a core process; return its exit status: 0, `EXIT_UNUSABLE` or `EXIT_FAULT`."""
    replace_standard_streams()
    logs.configure_logging()
    loaded = load_settings_at_start()
    if isinstance(loaded, Failure):
        logger.critical("settings unusable error={}", loaded.failure())
        return EXIT_UNUSABLE
    settings = loaded.unwrap()
    logs.configure_logging(settings.log_level)
    missing = find_missing_setting(settings, SERVES_CONTROL_PLANE, os.environ[SETTINGS_VARIABLE])
    if missing is not None:
        logger.critical("settings unusable error={}", missing)
        return EXIT_UNUSABLE
    return _run(settings)


def _run(settings: ProcessSettings) -> int:
    log_start(settings)
    status = 0
    try:
        status = asyncio.run(_run_process(settings, os.environ[SETTINGS_VARIABLE]))
    except TimeoutError:
        logger.warning("shutdown timed out timeout_s={}", SHUTDOWN_TIMEOUT_S)
    log_end(status)
    return status


async def _run_process(settings: ProcessSettings, path: str) -> int:
    return await CoreProcess(settings, path).run()


if __name__ == "__main__":
    sys.exit(main())
