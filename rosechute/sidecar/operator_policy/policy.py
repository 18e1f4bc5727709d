"""An operator's file as a sidecar's `Policy`: read, proven, and taken whole or not at all."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

from rosechute.load_balancing.interface import Settings
from rosechute.sidecar.config import Config, ConfigError
from rosechute.sidecar.operator_configuration.effective import Site
from rosechute.sidecar.operator_configuration.problems import FileError, Problem
from rosechute.sidecar.operator_configuration.proof import Proven, most_lanes, prove
from rosechute.sidecar.operator_configuration.reading import MOST_BYTES, read
from rosechute.sidecar.request_limits.limiter import Limits, RouteLimiter
from rosechute.sidecar.route_matching.table import Table


class Prepared(NamedTuple):
    """A file that has passed the proof against one configuration."""

    proven: Proven
    config: Config
    table: Table[Limits]
    limits: tuple[Limits, ...]


class FileRoutes:
    """The look-up, which is replaced whole with each file. Hollyport's `Routes`."""

    def __init__(self) -> None:
        self.table: Table[Limits] = Table()

    def find(
        self, method: bytes, target: bytes, tenant: bytes | None, headers: Mapping[bytes, bytes]
    ) -> Limits | None:
        """The limits of the most specific route that matches; None where none does."""
        return self.table.find(method, target, tenant, headers)


def load(path: Path) -> bytes:
    """The file's bytes; FileError where it can't be read."""
    try:
        with open(path, "rb") as file:
            return file.read(MOST_BYTES + 1)
    except OSError as error:
        raise FileError([Problem("", None, f"it can't be read: {error.strerror or error}")]) from None


def prepare(path: Path, config: Config) -> Prepared:
    """Read and prove a file against a configuration; FileError with all that is wrong."""
    told = read(load(path))
    site = Site.of(config.settings, config.sockets, config.memory_mb)
    proven = prove(told.file, site, told.lines)
    limits = tuple(route.limits() for route in proven.routes)
    table = Table((route.match, own) for route, own in zip(proven.routes, limits, strict=True))
    return Prepared(proven, config, table, limits)


class FilePolicy:
    """Hollyport's `Policy`."""

    def __init__(self, path: Path, config: Config) -> None:
        self._path = path
        self.routes = FileRoutes()
        self.limiter = RouteLimiter((), (), 1, 0, config.seed)
        self._taken: Prepared
        self.take(self.prepare(config), 0)

    def settings(self, platform: Settings) -> Settings:
        """The platform's settings, with each class as strict as the file has it."""
        classes = self._taken.proven.classes
        return replace(platform, classes=tuple(classes.get(c.name, c) for c in platform.classes))

    def prepare(self, config: Config) -> Prepared:
        """Read and prove the file for this configuration; FileError, which is a ValueError, says what is wrong."""
        return prepare(self._path, config)

    def take(self, prepared: object, now: int) -> None:
        """Go by what was prepared: routes, limits and classes change in one step."""
        assert isinstance(prepared, Prepared)
        self._taken = prepared
        settings = prepared.config.settings
        longest = settings.limits.max_retry_after_ns if settings.limits.retry_after else 0
        self.routes.table = prepared.table
        self.limiter.adopt(
            prepared.limits, (t.name for t in settings.tenants), most_lanes(prepared.config.memory_mb), longest, now
        )

    def page(self, now: int) -> bytes:
        """Each route's limits and figures, as JSON."""
        limits = {route.name: {key: value for key, value, _ in route.rows()} for route in self._taken.proven.routes}
        routes = [{**row, "limits": limits.get(row["route"], {})} for row in self.limiter.rows(now)]
        page = {
            "version": 1,
            "file": str(self._path),
            "lanes": self.limiter.lanes(),
            "most_lanes": self.limiter.most_lanes,
            "routes": routes,
        }
        return json.dumps(page, indent=1).encode() + b"\n"

    def told(self, now: int) -> object:
        """What lanes have spent."""
        return self.limiter.told(now)

    def recall(self, now: int, state: object) -> bool:
        """Take over what another process's lanes have spent."""
        return state is None or self.limiter.recall(now, state)


def policy(path: Path, config: Config) -> FilePolicy:
    """The policy of a file at the start of a process; ConfigError where it can't be taken."""
    try:
        return FilePolicy(path, config)
    except FileError as error:
        problems = "; ".join(str(p) for p in error.problems)
        raise ConfigError(f"{path}: {len(error.problems)} problem(s): {problems}") from error
