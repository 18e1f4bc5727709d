"""The state of a running process as JSON: `GET /state` at its control or readiness address, and asking for it."""

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


class ProcessState:
    """Sections of a process's state by name; each is asked for when the state is."""

    def __init__(self, settings: ProcessSettings) -> None:
        self._settings = settings
        self._started = time.monotonic()
        self._sections: dict[str, Callable[[], Any]] = {}

    def add(self, name: str, section: Callable[[], Any]) -> None:
        """Add a section: a function without I/O that gives plain data, a struct or a dataclass."""
        self._sections[name] = section

    def add_to(self, application: web.Application) -> None:
        """Answer `GET /state` in this application."""
        application.router.add_get(STATE_PATH, self._answer)

    def collect(self) -> dict[str, Any]:
        """The state now. A section that fails is told by its error, and costs the others nothing."""
        found: dict[str, Any] = {
            "node_name": self._settings.node_name,
            "zone": self._settings.zone,
            "serves": self._settings.serves,
            "version": __version__,
            "process": os.getpid(),
            "running_s": round(time.monotonic() - self._started, 3),
        }
        for name, section in self._sections.items():
            try:
                found[name] = msgspec.to_builtins(section(), str_keys=True)
            except Exception as error:
                found[name] = {"error": f"{type(error).__name__}: {error}"}
        return found

    async def _answer(self, request: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(self.collect()), content_type=JSON)


@dataclass(frozen=True, slots=True)
class StateError:
    """Why a process did not tell its state."""

    step: str
    """`connect`, `answer` or `decode`."""
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.peer}: {self.step}: {self.reason}"


async def fetch_state(address: str) -> Result[dict[str, Any], StateError]:
    """The state of the process at a control or readiness address."""
    try:
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)) as session,
            session.get(f"http://{address}{STATE_PATH}") as answer,
        ):
            body = await answer.read()
    except aiohttp.ClientConnectorError as error:
        return Failure(StateError("connect", address, os.strerror(error.os_error.errno or 0)))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return Failure(StateError("answer", address, str(error) or f"nothing within {FETCH_TIMEOUT_S:g} s"))
    if answer.status != 200:
        return Failure(StateError("answer", address, f"status {answer.status}"))
    try:
        return Success(msgspec.json.decode(body, type=dict[str, Any]))
    except msgspec.DecodeError as error:
        return Failure(StateError("decode", address, str(error)))
