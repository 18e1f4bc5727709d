"""Opens the listeners of a process, and tries again while an address can't be bound.

An address may still be held by an earlier process, or by another program, as a process starts. That ends neither the
process nor its other listeners.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

RETRY_S = 0.1  # delay after a failed attempt
REPORT_INTERVAL_S = 10.0  # of a listener that can't be opened


class ListenerFailed(NamedTuple):
    """An attempt to open a listener that failed; reported at once, and every `REPORT_INTERVAL_S` while it goes on."""

    listener: str
    error: OSError
    attempts: int


class ListenerOpened(NamedTuple):
    """A listener that was opened after attempts that failed."""

    listener: str
    attempts: int


ListenerEvent = ListenerFailed | ListenerOpened
Open = Callable[[], Awaitable[object]]


class ListenerSupervisor:
    """Opens listeners, each independently of the others.

    Args:
        report: Called with what an operator should know.
    """

    def __init__(self, report: Callable[[ListenerEvent], None]) -> None:
        self._report = report
        self._opened: dict[str, asyncio.Event] = {}
        self._retries: set[asyncio.Task[None]] = set()
        self._failures: dict[str, int] = {}
        self._is_closed = False

    async def open(self, listener: str, open_listener: Open) -> None:
        """Open a listener; if its address can't be bound, return and go on trying in the background.

        Args:
            listener: Its name.
            open_listener: Binds the address; raises OSError if that fails, and can then be called again.
        """
        opened = self._opened[listener] = asyncio.Event()
        if self._is_closed:
            return
        if await self._attempt(listener, open_listener, 1):
            opened.set()
            return
        task = asyncio.get_running_loop().create_task(self._retry(listener, open_listener, opened))
        self._retries.add(task)
        task.add_done_callback(self._retries.discard)

    async def wait_until_open(self, listener: str) -> None:
        """Wait until a listener that is being opened is open."""
        await self._opened[listener].wait()

    def is_open(self, listener: str) -> bool:
        """Return whether a listener has been opened."""
        opened = self._opened.get(listener)
        return opened is not None and opened.is_set()

    def failures(self) -> dict[str, float]:
        """Return the number of failed attempts since the start, by listener."""
        return {listener: self._failures.get(listener, 0) for listener in self._opened}

    def close(self) -> None:
        """Open no further listener. Those that are open stay open."""
        self._is_closed = True
        for task in self._retries:
            task.cancel()

    async def _retry(self, listener: str, open_listener: Open, opened: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        attempts, report_at = 1, loop.time() + REPORT_INTERVAL_S
        while True:
            await asyncio.sleep(RETRY_S)
            attempts += 1
            is_due = loop.time() >= report_at
            if await self._attempt(listener, open_listener, attempts, is_due):
                break
            if is_due:
                report_at = loop.time() + REPORT_INTERVAL_S
        opened.set()
        self._report(ListenerOpened(listener, attempts))

    async def _attempt(self, listener: str, open_listener: Open, attempts: int, is_reported: bool = True) -> bool:
        """Try once; return whether the listener is open."""
        try:
            await open_listener()
        except OSError as error:
            self._failures[listener] = self._failures.get(listener, 0) + 1
            if is_reported:
                self._report(ListenerFailed(listener, error, attempts))
            return False
        return True
