"""The common start of every process of the fleet: settings, log, event loop and exit code."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable

import uvloop
from loguru import logger
from returns.result import Failure, Result

from rosechute.configuration.problem import SettingsProblem
from rosechute.configuration.process import ProcessSettings, load, load_from_environment
from rosechute.processes import logs

EXIT_UNUSABLE = 2
"""The process cannot start: its settings are unusable, or an address is taken."""

Serve = Callable[[ProcessSettings], Awaitable[int]]
"""Serves until the process is told to end; gives its exit code."""


def run(serve: Serve, settings_file: str = "") -> int:
    """Start a process with the settings of a file, or of the one that the environment names; return its exit code."""
    read: Result[ProcessSettings, SettingsProblem] = load(settings_file) if settings_file else load_from_environment()
    if isinstance(read, Failure):
        logs.set_up()
        logger.critical("settings {}", read.failure())
        return EXIT_UNUSABLE
    settings = read.unwrap()
    logs.set_up(settings.log_level)
    try:
        return uvloop.run(_serving(serve, settings))
    except OSError as error:
        logger.critical("{} cannot serve: {}", settings.node_name, error)
        return EXIT_UNUSABLE


async def _serving(serve: Serve, settings: ProcessSettings) -> int:
    asyncio.get_running_loop().set_exception_handler(_report)
    return await serve(settings)


def _report(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    """Log what the event loop found in a callback or task that nobody awaits."""
    error = context.get("exception")
    known = error if isinstance(error, BaseException) else None
    logger.opt(exception=known).error("loop: {}", context.get("message"))


def main(serve: Serve) -> None:
    """Run as a program: an optional argument names the settings file."""
    sys.exit(run(serve, sys.argv[1] if len(sys.argv) > 1 else ""))
