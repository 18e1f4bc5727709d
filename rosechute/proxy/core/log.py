"""Structured log on standard error: one event per line, with stable event names.

Built on structlog: `LOG.warning("takeover.cold_start", reason=...)`. Lines are logfmt or JSON. Repeated events are
rate-limited by name, and the suppressed lines counted. `log_writer` writes the lines.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any

from rosechute.proxy.core.log_writer import LOG_WRITER

# structlog's development console imports rich where it is installed: 80 ms and 4 MB, and it is not used here.
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
MAX_EVENT_NAMES = 1000  # event names whose rate is tracked
REPEATS_PER_S = 5.0
BURST_LINES = 10
Event = MutableMapping[str, Any]


class RepeatLimiter:
    """Rate limit for each event name. The next line that passes reports the number of suppressed lines."""

    def __init__(self, per_s: float = REPEATS_PER_S, clock: Callable[[], float] = time.monotonic) -> None:
        self.per_s, self._clock = per_s, clock
        self._states: dict[str, list[float]] = {}  # by event name: tokens, time of the last update, suppressed lines

    def __call__(self, logger: Any, method: str, event: Event) -> Event:
        """Pass or drop an event, as a structlog processor."""
        now, name = self._clock(), str(event.get("event"))
        state = self._states.get(name)
        if state is None:
            if len(self._states) >= MAX_EVENT_NAMES:
                self._states.clear()
            state = self._states[name] = [BURST_LINES, now, 0]
        state[0] = min(float(BURST_LINES), state[0] + max(0.0, now - state[1]) * self.per_s)
        state[1] = now
        if state[0] < 1.0:
            state[2] += 1
            raise structlog.DropEvent
        state[0] -= 1.0
        if state[2]:
            event["held_back"], state[2] = int(state[2]), 0
        return event

    def take_held_back(self) -> list[tuple[str, int]]:
        """Return and reset the counts of suppressed lines for events that may be logged again."""
        now = self._clock()
        held_back = []
        for name, state in self._states.items():
            if state[2] and state[0] + (now - state[1]) * self.per_s >= 1.0:
                held_back.append((name, int(state[2])))
                state[2] = 0
        return held_back


class _LineLogger:
    """Logger that structlog passes rendered lines to."""

    def msg(self, line: str) -> None:
        LOG_WRITER.write(line)

    debug = info = warning = error = critical = msg


REPEAT_LIMITER = RepeatLimiter()


def setup(form: str = "console", level: str = "info", repeats_per_s: float = REPEATS_PER_S) -> None:
    """Configure the log.

    Args:
        form: "console" for logfmt, or "json".
        level: Lowest level that is logged; KeyError if it is unknown.
        repeats_per_s: Lines per second and event name before lines are suppressed.
    """
    REPEAT_LIMITER.per_s = repeats_per_s
    renderer: Any = (
        structlog.processors.JSONRenderer(default=str)
        if form == "json"
        else structlog.processors.LogfmtRenderer(key_order=("timestamp", "level", "event"), drop_missing=True)
    )
    structlog.configure(
        processors=[
            REPEAT_LIMITER,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _shorten_values,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *_: _LineLogger(),
        cache_logger_on_first_use=False,
    )


def _shorten_values(logger: Any, method: str, event: Event) -> Event:
    """Convert values to numbers and truncated strings."""
    for key, value in event.items():
        if not isinstance(value, int | float):
            event[key] = str(value)[: 4000 if key == "exception" else 500]
    return event


def log_held_back() -> None:
    """Log the number of suppressed lines of events that were not logged since."""
    for name, count in REPEAT_LIMITER.take_held_back():
        LOG.warning("log.held_back", name=name, lines=count)


setup()
LOG: Any = structlog.get_logger()
