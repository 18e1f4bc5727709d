"""Memory of this process as the operating system sees it."""

from __future__ import annotations

import ctypes
import fcntl
import gc
import os
import struct
import termios
from collections.abc import Iterable

STATM_PATH = "/proc/self/statm"  # in pages; the second number is the resident memory
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
READ_BYTES = 256  # more than the file ever holds
UNREAD_FORMAT = "i"  # of the result of FIONREAD


def resident_bytes() -> int | None:
    """Return the resident memory of this process; None if the system doesn't tell."""
    try:
        descriptor = os.open(STATM_PATH, os.O_RDONLY)
    except OSError:
        return None
    try:
        return int(os.read(descriptor, READ_BYTES).split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None
    finally:
        os.close(descriptor)


def release_free_memory() -> None:
    """Return to the system what is free inside the process.

    Transports of closed connections refer to themselves and wait for the cycle collector. The C library keeps freed
    memory below any block that is in use.
    """
    gc.collect()
    if _malloc_trim is not None:
        _malloc_trim(0)


def unread_bytes(descriptors: Iterable[int]) -> int:
    """Return the bytes that have arrived at these sockets and were not read. A closed one counts as 0."""
    return sum(_unread_bytes(descriptor) for descriptor in descriptors if descriptor >= 0)


def _unread_bytes(descriptor: int) -> int:
    try:
        answer = fcntl.ioctl(descriptor, termios.FIONREAD, struct.pack(UNREAD_FORMAT, 0))
    except OSError:
        return 0
    return int(struct.unpack(UNREAD_FORMAT, answer)[0])


_malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)  # only the GNU C library has it
