"""Handlers of a process's signals that never leave a moment in which a signal would end the process.

An event loop resets the signals that it handles to their default actions when it closes. A signal that arrives after
that, while the interpreter shuts down, would end the process with the signal's number in place of its exit status.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Callable, Iterator, Mapping
from types import FrameType

WAKE_READ_BYTES = 4096


@contextlib.contextmanager
def handle_signals(
    loop: asyncio.AbstractEventLoop, actions: Mapping[signal.Signals, Callable[[], object]]
) -> Iterator[None]:
    """Call an action in the event loop for each signal that arrives; ignore these signals from the end on.

    Must be entered in the main thread, while the loop runs.

    Args:
        loop: The running event loop.
        actions: What to call, by signal.
    """

    def handle(number: int, frame: FrameType | None) -> None:
        loop.call_soon_threadsafe(actions[signal.Signals(number)])

    with _wakes_at_signals(loop):
        for number in actions:
            signal.signal(number, handle)
        try:
            yield
        finally:
            for number in actions:
                signal.signal(number, signal.SIG_IGN)


@contextlib.contextmanager
def _wakes_at_signals(loop: asyncio.AbstractEventLoop) -> Iterator[None]:
    """Have signals wake the event loop, so that the interpreter runs their handlers at once."""
    previous = signal.set_wakeup_fd(-1)
    if previous != -1:
        signal.set_wakeup_fd(previous, warn_on_full_buffer=False)  # uvloop has done so itself
        yield
        return
    receiver, sender = socket.socketpair()
    with receiver, sender:
        receiver.setblocking(False)
        sender.setblocking(False)
        loop.add_reader(receiver, receiver.recv, WAKE_READ_BYTES)
        signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        try:
            yield
        finally:
            signal.set_wakeup_fd(-1)
            loop.remove_reader(receiver)
