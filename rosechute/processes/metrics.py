"""Figures of a process as text, in the exposition format of Prometheus: `GET /metrics` at a port of its own.

Figures are read when they are asked for; what is counted stands in `routing.counts` of the part that counts it.
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
    """Figures of one name. `read` gives their values now."""

    name: str  # without the prefix; counters end in `_total`
    help: str  # with the unit
    labels: tuple[str, ...]
    read: Callable[[], Values]

    @property
    def kind(self) -> str:
        """The type, as Prometheus has it."""
        return "counter" if self.name.endswith("_total") else "gauge"


def by_kind(counts: Callable[[], Mapping[str, float]]) -> Callable[[], Values]:
    """Counts of one event as values with one label."""
    return lambda: {(kind,): value for kind, value in counts().items()}


def single(value: Callable[[], float]) -> Callable[[], Values]:
    """One figure without labels; infinity and what is not known are left out."""

    def read() -> Values:
        now = value()
        return {(): now} if math.isfinite(now) else {}

    return read


def render(families: Sequence[Family]) -> str:
    """All figures. A family that can't be read is left out, and costs the others nothing."""
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
    """Answers `GET /metrics` at one address. A process that can't have the address runs without it."""

    def __init__(self, ip: str, port: int, families: Sequence[Family]) -> None:
        self._ip, self._port, self._families = ip, port, families
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen."""
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
