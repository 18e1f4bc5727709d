"""Wall clock of a sidecar."""

from __future__ import annotations

import time


class Clock:
    """Unix time in nanoseconds that never jumps: the wall clock is read once, and the monotonic clock added to it.

    Discovery gives start times of servers as Unix time.
    """

    def __init__(self) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Return the time in nanoseconds."""
        return self._anchor + time.monotonic_ns()
