"""The log of a process: one line an event, on standard error.

A line has the time, the level, the module and the message. The level comes from the environment, else from the
settings, else it is INFO.
"""

from __future__ import annotations

import os
import sys
import traceback
from typing import TYPE_CHECKING, TextIO

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

LEVEL_VARIABLE = "ROSECHUTE_LOG_LEVEL"
"""The environment variable with the lowest level that is written."""
DEFAULT_LEVEL = "INFO"
LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")


def configure_logging(configured: str = "", stream: TextIO | None = None) -> str:
    """Write events of a level and above to the stream, one line each; return the level.

    A level that does not exist counts as none, so that a mistake in it never keeps a process from its start.
    """
    level = next(
        (word for word in (os.environ.get(LEVEL_VARIABLE, "").upper(), configured.upper()) if word in LEVELS),
        DEFAULT_LEVEL,
    )
    logger.remove()
    logger.add(
        stream or sys.stderr,
        level=level,
        format=_template,
        colorize=False,
        backtrace=False,
        diagnose=False,
        catch=True,
    )
    return level


def format_line(record: Record) -> str:
    """One event in one line; an exception is told by its type, its text and the place where it was raised."""
    when = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    text = f"{when} {record['level'].name} {record['name']} {record['message']}"
    raised = record["exception"]
    if raised is not None and raised.value is not None:
        frames = traceback.extract_tb(raised.traceback)
        place = f" at {os.path.basename(frames[-1].filename)}:{frames[-1].lineno}" if frames else ""
        text += f" | {type(raised.value).__name__}: {raised.value}{place}"
    return text.replace("\r", "\\r").replace("\n", "\\n")


def _template(record: Record) -> str:
    """The format of a record for the logging library."""
    record["extra"]["line"] = format_line(record)
    return "{extra[line]}\n"
