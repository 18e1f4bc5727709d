"""Signals to processes that may be ending."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal


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
