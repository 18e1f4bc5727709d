"""The state of a running process as JSON: the handler of `GET /state`, and a client that fetches it."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from rosechute import __version__
from rosechute.configuration.process import ProcessSettings

STATE_PATH = "/state"
FETCH_TIMEOUT_S = 3.0
JSON = "application/json"

Section = Callable[[], Any]
"""Returns one section of the state, as plain data, a struct or a dataclass. It must not do I/O."""


class ProcessState:
    """The state of this process, in named sections that are collected on each request."""

    def __init__(self, settings: ProcessSettings) -> None:
        """Create a state that holds only process data and no further sections.

        Args:
            settings: The settings that the process started with.
        """
        self._settings = settings
        self._started_at = time.monotonic()
        self._sections: dict[str, Section] = {}

    def add(self, name: str, section: Section) -> None:
        """Add a section under a name."""
        self._sections[name] = section

    def add_to(self, application: web.Application) -> None:
        """Add the handler of `GET /state` to an application."""
        application.router.add_get(STATE_PATH, self._handle)

    def collect(self) -> dict[str, Any]:
        """Return the current state; a section that fails is replaced by its error."""
        state: dict[str, Any] = {
            "node_name": self._settings.node_name,
            "zone": self._settings.zone,
            "serves": self._settings.serves,
            "version": __version__,
            "process": os.getpid(),
            "running_s": round(time.monotonic() - self._started_at, 3),
        }
        for name, section in self._sections.items():
            try:
                state[name] = msgspec.to_builtins(section(), str_keys=True)
            except Exception as error:  # a failing section must not hide the others, which may help to diagnose it
                state[name] = {"error": f"{type(error).__name__}: {error}"}
        return state

    async def _handle(self, request: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(self.collect()), content_type=JSON)


@dataclass(frozen=True, slots=True)
class StateError:
    """Why the state of a process could not be fetched. Returned as the failure of a `Result`, not raised."""

    step: str
    """The step that failed: `connect`, `answer` or `decode`."""
    peer: str
    """The address of the process, `host:port`."""
    reason: str
    """The reason, in one sentence."""

    def __str__(self) -> str:
        """Return the error in one line, as the command line shows it."""
        return f"{self.peer}: {self.step}: {self.reason}"


async def fetch_state(address: str) -> Result[dict[str, Any], StateError]:
    """Fetch the state of a process.

    Args:
        address: Control or readiness address of the process, `host:port`.

    Returns:
        The sections by name, or the error of the step that failed, after `FETCH_TIMEOUT_S` at the latest.
    """
    try:
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)) as session,
            session.get(f"http://{address}{STATE_PATH}") as response,
        ):
            body = await response.read()
    except aiohttp.ClientConnectorError as error:
        return Failure(StateError("connect", address, os.strerror(error.os_error.errno or 0)))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return Failure(StateError("answer", address, str(error) or f"nothing within {FETCH_TIMEOUT_S:g} s"))
    if response.status != 200:
        return Failure(StateError("answer", address, f"status {response.status}"))
    try:
        return Success(msgspec.json.decode(body, type=dict[str, Any]))
    except msgspec.DecodeError as error:
        return Failure(StateError("decode", address, str(error)))
