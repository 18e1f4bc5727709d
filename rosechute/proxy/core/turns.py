"""Turns for work that many connections bring at once: one piece in each turn of the event loop.

A body in very short chunks costs much more time than others of its size. Between two pieces of such bodies the event
loop serves everybody else.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable


class TurnQueue:
    """Callbacks that run one after the other, each in a turn of its own."""

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()

    def __len__(self) -> int:
        """Return the number of callbacks that wait."""
        return len(self._waiting)

    def add(self, callback: Callable[[], None]) -> None:
        """Run a callback once those added before have run."""
        self._waiting.append(callback)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        callback = self._waiting[0]
        try:
            callback()
        finally:
            self._waiting.popleft()
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._run_next)
