"""Metrics in the text exposition format of Prometheus, served as `GET /metrics` on a separate port.

Values are read on each request. Each component keeps its own counters (`routing.counts`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from aiohttp import web
from loguru import logger

from rosechute.listening.http import HttpServer
from rosechute.listening.limits import SMALL_LISTENER
from rosechute.proxy.core.log_writer import LOG_WRITER

EDGE_PORT = 9465  # the deployment file deploy/system.toml names both ports
CORE_PORT = 9466
PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "rosechute_"
SHUTDOWN_TIMEOUT_S = 0.1

Values = Mapping[tuple[str, ...], float]  # keyed by label values


@dataclass(frozen=True, slots=True)
class Family:
    """A metric family: one metric with all its label values.

    Attributes:
        name: Name without `PREFIX`; names of counters end in `_total`.
        help: Description in one line, with the unit.
        labels: Names of the labels.
        read: Returns the current values, keyed by label values.
    """

    name: str
    help: str
    labels: tuple[str, ...]
    read: Callable[[], Values]

    @property
    def kind(self) -> str:
        """The metric type, derived from the name: `counter` or `gauge`."""
        return "counter" if self.name.endswith("_total") else "gauge"


class ProcessResources(Protocol):
    """Resources of the process, as last checked."""

    largest_delay_s: float
    descriptors: int | None

    @property
    def resident_bytes(self) -> int:
        """Resident memory."""

    @property
    def memory_releases_total(self) -> int:
        """Releases of free memory since the start."""


def by_kind(counts: Callable[[], Mapping[str, float]]) -> Callable[[], Values]:
    """Return a reader of counts with one label."""
    return lambda: {(kind,): value for kind, value in counts().items()}


def single(value: Callable[[], float]) -> Callable[[], Values]:
    """Return a reader of one value without labels; infinity and NaN mean unknown and are omitted."""

    def read() -> Values:
        current = value()
        return {(): current} if math.isfinite(current) else {}

    return read


def shed_family(counts: Callable[[], Mapping[str, float]]) -> Family:
    """Return the family of the connections that were closed to keep to the limits of a listener, by listener."""
    return Family(
        "listener_connections_shed_total",
        "Connections closed or refused to keep to the limits of a listener, by listener.",
        ("listener",),
        by_kind(counts),
    )


def process_families(
    listener_failures: Callable[[], Mapping[str, float]], resources: ProcessResources | None = None
) -> list[Family]:
    """Return the families that edges and core processes have alike.

    Args:
        listener_failures: Returns the failed attempts to open a listener, by listener.
        resources: Resources of the process; None if they are not watched.
    """
    watched = _resource_families(resources) if resources is not None else []
    return [
        Family(
            "listener_failures_total",
            "Attempts to open a listener that failed, by listener.",
            ("listener",),
            by_kind(listener_failures),
        ),
        Family(
            "log_lines_dropped_total",
            "Log lines dropped because their destination did not take them.",
            (),
            single(lambda: LOG_WRITER.dropped_total),
        ),
        *watched,
    ]


def _resource_families(resources: ProcessResources) -> list[Family]:
    return [
        Family(
            "resident_memory_bytes",
            "Resident memory of the process at the last check.",
            (),
            single(lambda: resources.resident_bytes),
        ),
        Family(
            "memory_releases_total",
            "Releases of free memory to the system.",
            (),
            single(lambda: resources.memory_releases_total),
        ),
        Family(
            "open_descriptors",
            "Open descriptors of the process at the last check.",
            (),
            single(lambda: math.nan if resources.descriptors is None else resources.descriptors),
        ),
        Family(
            "event_loop_largest_delay_seconds",
            "Largest delay of a periodic check since the start.",
            (),
            single(lambda: resources.largest_delay_s),
        ),
    ]


def render(families: Sequence[Family]) -> str:
    """Return all families as text. One that cannot be read is omitted and logged; the others are unaffected."""
    lines: list[str] = []
    for family in families:
        try:
            values = family.read()
        except Exception as error:
            logger.warning("metrics: {}: {!r}", family.name, error)
            continue
        name = PREFIX + family.name
        lines += [f"# HELP {name} {family.help}", f"# TYPE {name} {family.kind}"]
        lines += [f"{name}{_format_labels(family.labels, key)} {value:.10g}" for key, value in sorted(values.items())]
    return "\n".join(lines) + "\n"


def _format_labels(names: Sequence[str], values: Sequence[str]) -> str:
    if not names:
        return ""
    pairs = (f'{name}="{_escape(value)}"' for name, value in zip(names, values, strict=True))
    return "{" + ",".join(pairs) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class MetricsServer:
    """Serves `GET /metrics` at one address."""

    def __init__(self, ip: str, port: int, families: Sequence[Family]) -> None:
        self._ip, self._port, self._families = ip, port, families
        self._runner: HttpServer | None = None

    async def start(self) -> None:
        """Listen. May be called again after a failure.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        if self._runner is None:
            application = web.Application()
            application.router.add_get(PATH, self._handle)
            self._runner = HttpServer(application, "metrics", SMALL_LISTENER, SHUTDOWN_TIMEOUT_S)
        await self._runner.start(self._ip, self._port)

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.stop()

    async def _handle(self, request: web.Request) -> web.Response:
        return web.Response(text=render(self._families), headers={"Content-Type": CONTENT_TYPE})
