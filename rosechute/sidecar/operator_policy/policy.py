"""The sidecar's `Policy` for an operator file, which is parsed, checked and applied atomically."""

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
from rosechute.sidecar.operator_configuration.proof import CheckedFile, max_lanes, prove
from rosechute.sidecar.operator_configuration.reading import MAX_BYTES, read
from rosechute.sidecar.request_limits.limiter import Limits, RouteLimiter
from rosechute.sidecar.route_matching.table import Table


class PreparedFile(NamedTuple):
    """A file that passed all checks against one configuration."""

    proven: CheckedFile
    config: Config
    table: Table[Limits]
    limits: tuple[Limits, ...]


class FileRoutes:
    """Route lookup, whose table is replaced with each file; implements the proxy's `Routes` protocol."""

    def __init__(self) -> None:
        self.table: Table[Limits] = Table()

    def find(
        self, method: bytes, target: bytes, tenant: bytes | None, headers: Mapping[bytes, bytes]
    ) -> Limits | None:
        """Return the limits of the most specific matching route, or None."""
        return self.table.find(method, target, tenant, headers)


def load(path: Path) -> bytes:
    """Return the bytes of a file; raise FileError if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return file.read(MAX_BYTES + 1)
    except OSError as error:
        raise FileError([Problem("", None, f"cannot be read: {error.strerror or error}")]) from None


def prepare(path: Path, config: Config) -> PreparedFile:
    """Parse and check a file against a configuration; raise FileError with all problems."""
    parsed = read(load(path))
    site = Site.from_settings(config.settings, config.sockets, config.memory_mb)
    proven = prove(parsed.file, site, parsed.lines)
    limits = tuple(route.limits() for route in proven.routes)
    table = Table((route.match, own) for route, own in zip(proven.routes, limits, strict=True))
    return PreparedFile(proven, config, table, limits)


class FilePolicy:
    """Policy from an operator file; implements the sidecar's `Policy` protocol."""

    def __init__(self, path: Path, config: Config) -> None:
        self._path = path
        self.routes = FileRoutes()
        self.limiter = RouteLimiter((), (), 1, 0, config.seed)
        self._taken: PreparedFile
        self.take(self.prepare(config), 0)

    def settings(self, platform: Settings) -> Settings:
        """Return the platform settings with the stricter classes of the file."""
        classes = self._taken.proven.classes
        return replace(platform, classes=tuple(classes.get(c.name, c) for c in platform.classes))

    def prepare(self, config: Config) -> PreparedFile:
        """Parse and check the file for this configuration; raise FileError, a ValueError, with all problems."""
        return prepare(self._path, config)

    def take(self, prepared: object, now: int) -> None:
        """Apply a prepared file: routes, limits and classes change in one step."""
        assert isinstance(prepared, PreparedFile)
        self._taken = prepared
        settings = prepared.config.settings
        longest = settings.limits.max_retry_after_ns if settings.limits.retry_after else 0
        self.routes.table = prepared.table
        self.limiter.adopt(
            prepared.limits, (t.name for t in settings.tenants), max_lanes(prepared.config.memory_mb), longest, now
        )

    def page(self, now: int) -> bytes:
        """Return the limits and statistics of each route as JSON."""
        limits = {route.name: {key: value for key, value, _ in route.rows()} for route in self._taken.proven.routes}
        routes = [{**row, "limits": limits.get(row["route"], {})} for row in self.limiter.rows(now)]
        page = {
            "version": 1,
            "file": str(self._path),
            "lanes": self.limiter.lanes(),
            "most_lanes": self.limiter.max_lanes,
            "routes": routes,
        }
        return json.dumps(page, indent=1).encode() + b"\n"

    def told(self, now: int) -> object:
        """Return the state of the token buckets for a successor process."""
        return self.limiter.told(now)

    def recall(self, now: int, state: object) -> bool:
        """Restore the token buckets from the state of another process; return whether it was valid."""
        return state is None or self.limiter.recall(now, state)


def policy(path: Path, config: Config) -> FilePolicy:
    """Return the policy of a file at process start; raise ConfigError if the file is rejected."""
    try:
        return FilePolicy(path, config)
    except FileError as error:
        problems = "; ".join(str(p) for p in error.problems)
        raise ConfigError(f"{path}: {len(error.problems)} problem(s): {problems}") from error
