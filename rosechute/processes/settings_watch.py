"""Reloading of the settings file of a running process: on SIGHUP, and when the file has changed."""

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
    """Modification time and size, which identify the content of a file without reading it."""

    modified_ns: int
    size: int


NO_FILE = FileVersion(0, 0)


class SettingsWatch:
    """Holds the settings in force, and reloads them from their file."""

    def __init__(self, settings: ProcessSettings, path: str, apply: Callable[[ProcessSettings], None]) -> None:
        """Watch a settings file.

        Args:
            settings: The settings that the process started with.
            path: Path of the file.
            apply: Called with the new settings whenever they differ from those in force.
        """
        self.settings = settings
        self._path = path
        self._apply = apply
        # Unknown at first: the file may have changed since the settings were loaded.
        self._loaded_version: FileVersion | None = None

    def reload(self) -> None:
        """Load the file now; an invalid or missing file leaves the settings in force."""
        self._loaded_version = file_version(self._path)
        loaded = load_settings(self._path)
        if isinstance(loaded, Failure):
            logger.warning("settings: {}", loaded.failure())
        elif loaded.unwrap() != self.settings:
            self.settings = loaded.unwrap()
            self._apply(self.settings)
            logger.info("settings changed")

    def reload_if_changed(self) -> None:
        """Load the file if it has changed since the last load."""
        if file_version(self._path) != self._loaded_version:
            self.reload()

    async def run(self) -> None:
        """Check the file every `POLL_INTERVAL_S`, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                self.reload_if_changed()
            except Exception:  # a fault while settings are applied must not end the watch
                logger.exception("settings watch fault")


def file_version(path: str) -> FileVersion:
    """Return the version of a file; `NO_FILE` if it cannot be found."""
    try:
        status = os.stat(path)
    except OSError:
        return NO_FILE
    return FileVersion(status.st_mtime_ns, status.st_size)
