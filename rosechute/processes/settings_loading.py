"""Loading of the settings at the start of a process, with retries while the file is being replaced."""

from __future__ import annotations

import os
import time

from loguru import logger
from returns.result import Failure, Result

from rosechute.configuration.errors import SettingsError
from rosechute.configuration.process import SETTINGS_VARIABLE, ProcessSettings, load_settings_from_environment

REPLACEMENT_TIMEOUT_S = 1.0  # a file that is unusable for longer is not being replaced
RETRY_S = 0.02


def load_settings_at_start() -> Result[ProcessSettings, SettingsError]:
    """Load the settings; if the file is missing or unusable, try again for `REPLACEMENT_TIMEOUT_S`.

    Returns:
        The settings, or the last error.
    """
    loaded = load_settings_from_environment()
    if not isinstance(loaded, Failure) or not os.environ.get(SETTINGS_VARIABLE):
        return loaded
    logger.warning("settings unusable, retrying error={}", loaded.failure())
    until = time.monotonic() + REPLACEMENT_TIMEOUT_S
    while isinstance(loaded, Failure) and time.monotonic() < until:
        time.sleep(RETRY_S)
        loaded = load_settings_from_environment()
    return loaded
