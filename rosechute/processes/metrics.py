"""`GET /metrics` at a port of its own: metrics in the text exposition format of Prometheus.

Values are read at each request. Counters are kept by the component that counts (`routing.counts`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from aiohttp import web
from loguru import logger

EDGE_PORT = 9465  # as deploy/system.toml names it
CORE_PORT = 9466
PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "rosechute_"

Values = Mapping[tuple[str, ...], float]  # by the values of the labels


@dataclass(frozen=True, slots=True)
class Family:
    """One metric with all its label values.

    Attributes:
        name: Without the prefix; counters end in `_total`.
        help: One line, with the unit.
        labels: Names of the labels.
        read: Returns the current values by label values.
    """

    name: str
    help: str
    labels: tuple[str, ...]
    read: Callable[[], Values]

    @property
    def kind(self) -> str:
        """The type by the name: counter or gauge."""
        return "counter" if self.name.endswith("_total") else "gauge"


def by_kind(counts: Callable[[], Mapping[str, float]]) -> Callable[[], Values]:
    """Return a reader of counts with one label."""
    return lambda: {(kind,): value for kind, value in counts().items()}


def single(value: Callable[[], float]) -> Callable[[], Values]:
    """Return a reader of one value without labels; infinity and NaN mean unknown and are left out."""

    def read() -> Values:
        current = value()
        return {(): current} if math.isfinite(current) else {}

    return read


def render(families: Sequence[Family]) -> str:
    """Return all families as text. One that can't be read is left out and logged; the others are unaffected."""
    lines: list[str] = []
    for family in families:
        try:
            values = family.read()
        except Exception as error:
            logger.warning("metrics: {}: {!r}", family.name, error)
            continue
        name = PREFIX + family.name
        lines += [f"# HELP {name} {family.help}", f"# TYPE {name} {family.kind}"]
        lines += [f"{name}{_labels(family.labels, key)} {value:.10g}" for key, value in sorted(values.items())]
    return "\n".join(lines) + "\n"


def _labels(names: Sequence[str], values: Sequence[str]) -> str:
    if not names:
        return ""
    pairs = (f'{name}="{_escaped(value)}"' for name, value in zip(names, values, strict=True))
    return "{" + ",".join(pairs) + "}"


def _escaped(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class MetricsServer:
    """Serves `GET /metrics` at one address. A process that can't bind the address runs without metrics."""

    def __init__(self, ip: str, port: int, families: Sequence[Family]) -> None:
        self._ip, self._port, self._families = ip, port, families
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen; log a warning where the address is not available."""
        application = web.Application()
        application.router.add_get(PATH, self._answer)
        self._runner = web.AppRunner(application, access_log=None, handle_signals=False, shutdown_timeout=0.1)
        await self._runner.setup()
        try:
            await web.TCPSite(self._runner, self._ip, self._port).start()
        except OSError as error:
            logger.warning("metrics are not served: {}:{}: {}", self._ip, self._port, error)

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        return web.Response(text=render(self._families), headers={"Content-Type": CONTENT_TYPE})
