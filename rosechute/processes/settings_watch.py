"""The settings file of a running process: read again on SIGHUP and whenever the file has changed."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger
from returns.result import Failure

from rosechute.configuration.process import ProcessSettings, load_settings

POLL_INTERVAL_S = 1.0


class FileVersion(NamedTuple):
    """Differs from the one before where the file has changed."""

    modified_ns: int
    size: int


NO_FILE = FileVersion(0, 0)


class SettingsWatch:
    """The settings in force, and the file that they came from. `apply` is called with those that differ."""

    def __init__(self, settings: ProcessSettings, path: str, apply: Callable[[ProcessSettings], None]) -> None:
        self.settings = settings
        self._path = path
        self._apply = apply
        self._read: FileVersion | None = None  # the settings may be older than the file is now

    def reload(self) -> None:
        """Read the file now; one that can't be used changes nothing."""
        self._read = file_version(self._path)
        loaded = load_settings(self._path)
        if isinstance(loaded, Failure):
            logger.warning("settings: {}", loaded.failure())
        elif loaded.unwrap() != self.settings:
            self.settings = loaded.unwrap()
            self._apply(self.settings)
            logger.info("settings changed")

    def reload_if_changed(self) -> None:
        """Read the file where it has changed since it was read last."""
        if file_version(self._path) != self._read:
            self.reload()

    async def run(self) -> None:
        """Look at the file every `POLL_INTERVAL_S`, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.reload_if_changed()


def file_version(path: str) -> FileVersion:
    """The version of a file, without reading it."""
    try:
        told = os.stat(path)
    except OSError:
        return NO_FILE
    return FileVersion(told.st_mtime_ns, told.st_size)
