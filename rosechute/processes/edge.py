"""Entry point of an edge process. `ROSECHUTE_NODE_FILE` holds the path of its settings file."""

from rosechute import process_start

if __name__ == "__main__":
    process_start.prepare_fleet_process()  # before anything else is loaded

# isort: split
import rosechute.processes.plain_http  # noqa: F401

# isort: split
import asyncio
import gc
import math
import os
import secrets
import signal
import sys

from aiohttp import web
from loguru import logger
from returns.result import Failure

from rosechute.configuration.operator import parse_configuration
from rosechute.configuration.process import (
    SERVES_EDGE,
    SETTINGS_VARIABLE,
    ProcessSettings,
    find_missing_setting,
    split_address,
)
from rosechute.data_plane.plane import DataPlane
from rosechute.distribution.actions import Action, ConfigurationChanged, EdgesTotalChanged, ServersChanged
from rosechute.distribution.values import ListedServer
from rosechute.listening.http import HttpServer
from rosechute.listening.limits import SMALL_LISTENER
from rosechute.processes import logs
from rosechute.processes.edge_links import EdgeLinks
from rosechute.processes.edge_metrics import edge_families
from rosechute.processes.listener_log import log_listener_event
from rosechute.processes.metrics import EDGE_PORT, MetricsServer
from rosechute.processes.resource_watch import ResourceWatch, log_end, log_start
from rosechute.processes.settings_loading import load_settings_at_start
from rosechute.processes.settings_watch import SettingsWatch
from rosechute.processes.state import ProcessState
from rosechute.proxy.core.listener_supervisor import ListenerSupervisor
from rosechute.proxy.core.log_stream import replace_standard_streams
from rosechute.proxy.core.process_signals import handle_signals
from rosechute.routing.model import ServerEntry
from rosechute.routing.report import router_report
from rosechute.routing.router import Router
from rosechute.routing.tuning import RouterTuning

READINESS_PATH = "/readiness"
READINESS_SHUTDOWN_S = 0.2  # for requests at the readiness address, once everything else has ended
FRONT, READINESS, METRICS, LINKS = "front", "readiness", "metrics", "links"  # names of the listeners
EXIT_UNUSABLE = 2  # the settings are unusable
RELEASE_WAIT_S = 0.05  # at shutdown, until the last message to the leader has been sent


class EdgeProcess:
    """Runs an edge: start, reload of settings, graceful shutdown.

    Implements `rosechute.data_plane.ports.Freshness`.

    Args:
        loop: The event loop.
        settings: The settings in force at the start.
        path: Path of the file that they were loaded from, which is loaded again on SIGHUP and when it changes.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: ProcessSettings, path: str) -> None:
        self._settings = settings
        self._settings_watch = SettingsWatch(settings, path, self._change_settings)
        self._listeners = ListenerSupervisor(log_listener_event)
        self._stop_requested = asyncio.Event()
        self._links = EdgeLinks(loop, settings, secrets.randbits(63), self._apply)
        self._invalid_sequence = 0  # sequence number of the newest configuration if it cannot be parsed; else 0
        random = secrets.SystemRandom().random
        router = Router(random, RouterTuning(zone=settings.zone))
        self._plane = DataPlane(loop, settings, router, self._links.quota, self)
        self._resource_watch = ResourceWatch(settings, self._plane.budget, self._plane.unread_bytes)
        self._state = ProcessState(settings)
        self._readiness_server = self._make_readiness_server()
        families = edge_families(
            loop,
            self._plane,
            router,
            self._links,
            self._readiness_server.connections,
            self._listeners.failures,
            self._resource_watch,
        )
        self._metrics = MetricsServer(settings.ip, EDGE_PORT, families)
        self._state.add("distribution", self._distribution_state)
        self._state.add("clients", self._plane.clients)
        self._state.add("routing", lambda: router_report(router, loop.time()))

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until every request is answered or the grace period has elapsed."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(logs.log_unhandled_error)
        reload = self._settings_watch.reload
        with handle_signals(loop, {signal.SIGTERM: self.end, signal.SIGINT: self.end, signal.SIGHUP: reload}):
            await self._serve(loop)
            await self._shut_down()

    async def _serve(self, loop: asyncio.AbstractEventLoop) -> None:
        """Serve until the shutdown begins."""
        readiness_address = split_address(self._settings.listen.readiness)
        await self._listeners.open(FRONT, self._plane.start)
        await self._listeners.open(READINESS, lambda: self._readiness_server.start(*readiness_address))
        await self._listeners.open(METRICS, self._metrics.start)
        await self._listeners.open(LINKS, self._links.listen)
        self._links.start()
        logger.info("edge started edge={} listen={}", self._settings.node_name, self._settings.listen.front)
        gc.enable()
        gc.freeze()
        watches = [loop.create_task(watch.run()) for watch in (self._settings_watch, self._resource_watch)]
        await self._stop_requested.wait()
        for watch in watches:
            watch.cancel()

    async def _shut_down(self) -> None:
        """End everything in order once the requests are answered or the grace period has elapsed."""
        logger.info("edge shutting down edge={}", self._settings.node_name)
        self._links.leave()
        await self._plane.finish_shutdown()
        self._links.quota.release()
        await asyncio.sleep(RELEASE_WAIT_S)
        self._links.close()
        await self._metrics.stop()
        await self._readiness_server.stop()

    def end(self) -> None:
        """Begin the shutdown. Readiness fails at once, since a probe may arrive before `run` resumes."""
        self._listeners.close()
        self._plane.begin_shutdown()
        self._stop_requested.set()

    def confirmed_at(self) -> float:
        """Return the loop time at which the configuration in force was last confirmed to be the newest.

        It is minus infinity while the newest configuration cannot be parsed.
        """
        return -math.inf if self._invalid_sequence else self._links.subscriber.confirmed_at

    def _change_settings(self, settings: ProcessSettings) -> None:
        self._plane.apply_settings(settings)
        self._links.change_settings(settings)
        self._resource_watch.change_settings(settings)

    def _make_readiness_server(self) -> HttpServer:
        application = web.Application()
        application.router.add_get(READINESS_PATH, self._readiness)
        self._state.add_to(application)
        return HttpServer(application, "readiness", SMALL_LISTENER, READINESS_SHUTDOWN_S)

    async def _readiness(self, request: web.Request) -> web.Response:
        is_ready = self._listeners.is_open(FRONT) and self._plane.ready()
        return web.Response(status=200 if is_ready else 503)

    def _apply(self, action: Action) -> None:
        """Apply an update that the subscriber received."""
        match action:
            case ConfigurationChanged():
                self._apply_configuration(action)
            case ServersChanged(service=service, servers=servers):
                self._plane.apply_servers(service, [_server_entry(server) for server in servers])
            case EdgesTotalChanged(count=count):
                self._plane.apply_edges(count)

    def _apply_configuration(self, change: ConfigurationChanged) -> None:
        """Apply a configuration. If it cannot be parsed, keep the one in force, which then counts as unconfirmed."""
        parsed = parse_configuration(change.body)
        if isinstance(parsed, Failure):
            self._invalid_sequence = change.sequence
            logger.error("invalid configuration sequence={} error={}", change.sequence, parsed.failure())
            return
        self._invalid_sequence = 0
        self._plane.apply_configuration(parsed.unwrap(), change.sequence)
        logger.info("configuration in force version={} sequence={}", change.version, change.sequence)

    def _distribution_state(self) -> dict[str, object]:
        subscriber = self._links.subscriber
        age = asyncio.get_running_loop().time() - self.confirmed_at()
        return {
            "leader": subscriber.leader,
            "attached": subscriber.is_attached,
            "edges_total": subscriber.edges_total,
            "confirmed_age_s": round(age, 3) if math.isfinite(age) else None,
            "topics": subscriber.positions(),
        }


def main() -> int:
    """Run an edge process; return its exit status: 0 or `EXIT_UNUSABLE`."""
    replace_standard_streams()
    logs.configure_logging()
    loaded = load_settings_at_start()
    if isinstance(loaded, Failure):
        logger.error("settings: {}", loaded.failure())
        return EXIT_UNUSABLE
    settings = loaded.unwrap()
    logs.configure_logging(settings.log_level)
    missing = find_missing_setting(settings, SERVES_EDGE, os.environ[SETTINGS_VARIABLE])
    if missing is not None:
        logger.error("settings: {}", missing)
        return EXIT_UNUSABLE
    log_start(settings)
    asyncio.run(_run(settings, os.environ[SETTINGS_VARIABLE]))
    log_end(0)
    return 0


async def _run(settings: ProcessSettings, path: str) -> None:
    await EdgeProcess(asyncio.get_running_loop(), settings, path).run()


def _server_entry(server: ListedServer) -> ServerEntry:
    return ServerEntry(server.id, server.address, server.zone, server.slots, server.ready, server.cold_until)


if __name__ == "__main__":
    sys.exit(main())
