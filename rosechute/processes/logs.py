"""Logging of a process: one line per event on standard error, with time, level, module and message.

`rosechute.proxy.core.log_writer` writes the lines, so that no destination of the log holds up the process.

The level comes from the environment, else from the settings; the default is INFO.
"""

from __future__ import annotations

import asyncio
import os
import traceback
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from rosechute.proxy.core.log_writer import LOG_WRITER

if TYPE_CHECKING:
    from loguru import Message, Record

LEVEL_VARIABLE = "ROSECHUTE_LOG_LEVEL"
"""Name of the environment variable that sets the lowest level to log."""
DEFAULT_LEVEL = "INFO"
LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")


def configure_logging(configured_level: str = "", stream: TextIO | None = None) -> str:
    """Log events of a level and above to a stream, in place of any earlier destination.

    An unknown level is ignored, so that a misspelt one never prevents a start.

    Args:
        configured_level: The level in the settings, in any case; empty if there is none.
        stream: The destination; the log's writer if it is None.

    Returns:
        The level in force.
    """
    candidates = (os.environ.get(LEVEL_VARIABLE, "").upper(), configured_level.upper())
    level = next((candidate for candidate in candidates if candidate in LEVELS), DEFAULT_LEVEL)
    logger.remove()
    logger.add(
        stream or _write_line,
        level=level,
        format=_template,
        colorize=False,
        backtrace=False,
        diagnose=False,
        catch=True,
    )
    return level


def log_unhandled_error(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    """Log an exception of a callback or of a task that is never awaited; the event loop continues."""
    error = context.get("exception")
    exception = error if isinstance(error, BaseException) else None
    logger.opt(exception=exception).error("unhandled error in event loop context={}", context.get("message"))


def _write_line(message: Message) -> None:
    LOG_WRITER.write(message.rstrip("\n"))


def format_line(record: Record) -> str:
    """Return one line for an event; an exception adds its type, its text and the line that raised it."""
    time = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    text = f"{time} {record['level'].name} {record['name']} {record['message']}"
    exception = record["exception"]
    if exception is not None and exception.value is not None:
        frames = traceback.extract_tb(exception.traceback)
        location = f" at {os.path.basename(frames[-1].filename)}:{frames[-1].lineno}" if frames else ""
        text += f" | {type(exception.value).__name__}: {exception.value}{location}"
    return text.replace("\r", "\\r").replace("\n", "\\n")


def _template(record: Record) -> str:
    """Return the format string of a record; the line is passed in `extra`, so that its braces are not expanded."""
    record["extra"]["line"] = format_line(record)
    return "{extra[line]}\n"
