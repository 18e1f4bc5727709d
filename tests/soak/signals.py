"""Signals to processes that may be ending."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from pathlib import Path


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a process, unless it has ended.

    asyncio's own method reaps a process that has just ended, and its exit status is lost then.
    """
    if process.returncode is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        descriptor = os.pidfd_open(process.pid)
        try:
            signal.pidfd_send_signal(descriptor, number)
        finally:
            os.close(descriptor)


def catches_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> bool:
    """Return whether a process has a handler for a signal; False right after its start, and once it has ended."""
    try:
        status = Path(f"/proc/{process.pid}/status").read_text()
    except FileNotFoundError:
        return False
    caught = next((line for line in status.splitlines() if line.startswith("SigCgt:")), "SigCgt: 0")
    return bool(int(caught.split()[1], 16) & 1 << (number - 1))
