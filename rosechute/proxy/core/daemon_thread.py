"""Blocking calls in threads that never keep the process from ending.

The executor of an event loop is joined when the loop ends: a call that hangs there, for example on a disk, would keep
the process from ending.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")


async def run_in_daemon_thread(call: Callable[[], T], name: str) -> T:
    """Call a function in a thread of its own; return its result, or raise its exception.

    Args:
        call: The function.
        name: Name of the thread.
    """
    loop = asyncio.get_running_loop()
    finished: asyncio.Future[T] = loop.create_future()

    def set_result(result: T) -> None:
        if not finished.done():  # the caller may have been cancelled
            finished.set_result(result)

    def set_exception(error: Exception) -> None:
        if not finished.done():
            finished.set_exception(error)

    def run() -> None:
        try:
            result = call()
        except Exception as error:
            _report(loop, set_exception, error)
        else:
            _report(loop, set_result, result)

    threading.Thread(target=run, name=name, daemon=True).start()
    return await finished


def _report(loop: asyncio.AbstractEventLoop, report: Callable[[T], None], value: T) -> None:
    with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
        loop.call_soon_threadsafe(report, value)
