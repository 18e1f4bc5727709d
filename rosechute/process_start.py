"""First steps of every process, before it loads anything else: its signals and its standard descriptors.

Until an event loop handles the signals, SIGTERM and SIGINT end the process with exit status 0, since it has not
accepted any request yet. SIGHUP is ignored, since the settings are loaded later anyway. Only a signal that arrives
while the interpreter itself is loading still has its default action.
"""

import _signal  # type: ignore[import-not-found]  # `signal` would first load `enum`
import gc
import posix  # `os` would first load `_collections_abc`
import time

ENDING = (_signal.SIGTERM, _signal.SIGINT)
IGNORED = (_signal.SIGHUP, _signal.SIGPIPE, _signal.SIGUSR1, _signal.SIGUSR2, _signal.SIGTTOU)
STANDARD_DESCRIPTORS = (0, 1, 2)
NULL_DEVICE = "/dev/null"
STARTED_AT_S = time.monotonic()
"""Steady time at which this process has loaded its first line, in seconds."""


def prepare() -> None:
    """Take the first steps. May be called again, as long as no event loop handles the signals."""
    for number in IGNORED:
        _signal.signal(number, _signal.SIG_IGN)
    for number in ENDING:
        _signal.signal(number, _exit_at_once)
    open_standard_descriptors()


def prepare_fleet_process() -> None:
    """Take the first steps of an edge or a core process.

    Garbage collection is disabled until the process has started, since what it loads is never freed.
    """
    prepare()
    gc.disable()


def open_standard_descriptors() -> None:
    """Open the null device in place of closed standard descriptors.

    A socket or a data file would get their numbers otherwise, and the log would be written into it.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            posix.fstat(descriptor)
        except OSError:
            _open_null_device()


def _open_null_device() -> None:
    """Open the null device at the lowest free descriptor."""
    try:
        posix.open(NULL_DEVICE, posix.O_RDWR)
    except OSError:
        return  # the process goes on without it


def _exit_at_once(number: int, frame: object) -> None:
    posix._exit(0)
