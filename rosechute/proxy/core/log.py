"""The log: one event a line on standard error, with stable names, and never in the loop's way.

Built on structlog: `LOG.warning("takeover.cold_start", reason=...)`. Lines are logfmt or JSON. A line that
repeats is held back beyond so many a second, and counted. Lines are written by a thread of their own, from a
bounded queue: a standard error that nobody reads costs lines, which are counted, and never a turn of the loop.
"""

from __future__ import annotations

import atexit
import os
import queue
import sys
import threading
import time
from collections.abc import Callable, MutableMapping
from typing import Any

# structlog's development console loads rich wherever that is installed: 80 ms and 4 MB for nothing, here.
_rich = sys.modules.get("rich")
sys.modules["rich"] = None  # type: ignore[assignment]
try:
    import structlog
finally:
    if _rich is None:
        del sys.modules["rich"]
    else:
        sys.modules["rich"] = _rich

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
MOST_LINES = 1000  # that wait to be written
MOST_BYTES = 8192  # of one line
MOST_NAMES = 1000  # events whose repeats are counted
REPEATS_PER_S = 5.0
BURST = 10
FLUSH_S = 0.5  # how long the end of the process waits for a standard error that is not read
Event = MutableMapping[str, Any]


class Sink:
    """Lines on their way to a descriptor."""

    def __init__(self, descriptor: int = 2, most: int = MOST_LINES) -> None:
        self._descriptor, self._most = descriptor, most
        self._queue: queue.SimpleQueue[bytes | threading.Event] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None
        self.dropped = 0

    def write(self, line: str) -> None:
        """Have a line written; it is dropped where too many wait already."""
        if self._queue.qsize() >= self._most:
            self.dropped += 1
            return
        data = line.encode("utf-8", "backslashreplace")
        self._queue.put((data if len(data) <= MOST_BYTES else data[: MOST_BYTES - 4] + b" ...") + b"\n")
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="log", daemon=True)
            self._thread.start()

    def flush(self, timeout_s: float = FLUSH_S) -> bool:
        """Wait until all that was handed over is written; whether it was."""
        if self._thread is None:
            return True
        mark = threading.Event()
        self._queue.put(mark)
        return mark.wait(timeout_s)

    def _run(self) -> None:
        while True:
            told = self._queue.get()
            if isinstance(told, threading.Event):
                told.set()
                continue
            lost, self.dropped = self.dropped, 0
            if lost:
                told += f"level=warning event=log.dropped lines={lost}\n".encode()
            self._whole(told)

    def _whole(self, data: bytes) -> None:
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            pass  # there is no log: nobody to tell, and no reason to end


class Repeats:
    """Holds back lines of one event beyond a rate, and tells with the next one how many there were."""

    def __init__(self, per_s: float = REPEATS_PER_S, clock: Callable[[], float] = time.monotonic) -> None:
        self.per_s, self._clock = per_s, clock
        self._known: dict[str, list[float]] = {}  # tokens, as of when, held back

    def __call__(self, logger: Any, method: str, event: Event) -> Event:
        """A structlog processor."""
        now, name = self._clock(), str(event.get("event"))
        state = self._known.get(name)
        if state is None:
            if len(self._known) >= MOST_NAMES:
                self._known.clear()
            state = self._known[name] = [BURST, now, 0]
        state[0] = min(float(BURST), state[0] + max(0.0, now - state[1]) * self.per_s)
        state[1] = now
        if state[0] < 1.0:
            state[2] += 1
            raise structlog.DropEvent
        state[0] -= 1.0
        if state[2]:
            event["held_back"], state[2] = int(state[2]), 0
        return event

    def settled(self) -> list[tuple[str, int]]:
        """Events of which lines were held back, once they may be told of again."""
        now = self._clock()
        found = []
        for name, state in self._known.items():
            if state[2] and state[0] + (now - state[1]) * self.per_s >= 1.0:
                found.append((name, int(state[2])))
                state[2] = 0
        return found


class _Lines:
    """structlog's end: where rendered lines go."""

    def msg(self, line: str) -> None:
        SINK.write(line)

    debug = info = warning = error = critical = msg


SINK = Sink()
REPEATS = Repeats()
atexit.register(SINK.flush)


def setup(form: str = "console", level: str = "info", repeats_per_s: float = REPEATS_PER_S) -> None:
    """Write the log in this form, "console" or "json", from this level on.

    Raises KeyError for a level that there is none of.
    """
    REPEATS.per_s = repeats_per_s
    renderer: Any = (
        structlog.processors.JSONRenderer(default=str)
        if form == "json"
        else structlog.processors.LogfmtRenderer(key_order=("timestamp", "level", "event"), drop_missing=True)
    )
    structlog.configure(
        processors=[
            REPEATS,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _plain,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *_: _Lines(),
        cache_logger_on_first_use=False,
    )


def _plain(logger: Any, method: str, event: Event) -> Event:
    """Values as short texts and numbers, and keys that logfmt can write."""
    for key, value in event.items():
        if not isinstance(value, int | float):
            event[key] = str(value)[: 4000 if key == "exception" else 500]
    return event


def settle() -> None:
    """Tell of lines that were held back and that no later one told of."""
    for name, count in REPEATS.settled():
        LOG.warning("log.held_back", name=name, lines=count)


setup()
LOG: Any = structlog.get_logger()
