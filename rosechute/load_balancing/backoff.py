"""Backoff of calls to discovery, and the time limits of such calls.

The limits keep the delay of a change below `interface.MAX_CHANGE_DELAY_NS`, counted from when discovery has the
change and can be reached. The call under way at that time may still fail, and so may the following ones.
docs/design.md derives the bound.
"""

from __future__ import annotations

from collections.abc import Callable

from rosechute.load_balancing.interface import MAX_CHANGE_DELAY_NS

ANSWER_TIMEOUT_NS = MAX_CHANGE_DELAY_NS * 3 // 8
"""Timeout of a call that is not a long poll, including the time to connect.

Discovery handles calls in sequence and ends those that have waited for too long itself. A client that gives up
earlier wastes that work, and many such clients keep discovery busy without any result.
"""
MAX_PAUSE_NS = MAX_CHANGE_DELAY_NS // 6  # longest time between the starts of two calls
MIN_SPREAD_NS = MAX_CHANGE_DELAY_NS // 16  # jitter after the end of a call, which spreads out clients
MAX_WATCH_WAIT_NS = MAX_CHANGE_DELAY_NS * 3 // 8  # longest wait of a long poll; silence is noticed only after it


class Backoff:
    """Exponential backoff with jitter. All times are in nanoseconds.

    The first pause is drawn from 0 to `first`, so that clients that failed at the same time spread out. Each further
    failure in a row doubles the upper bound, up to `most`, and the pause is drawn from its upper half, which reduces
    the load. The duration of the failed call is deducted from the pause.

    Args:
        first: Longest pause after one failure.
        most: Longest pause after any number of failures.
        draw: Returns random numbers from 0 up to 1.
    """

    def __init__(self, first: int, most: int, draw: Callable[[], float]) -> None:
        self._most, self._draw = most, draw
        self._first = self._bound = min(first, most)
        self._has_failed = False

    def answered(self) -> None:
        """Reset the backoff after a successful call."""
        self._bound, self._has_failed = self._first, False

    def failed(self, took: int) -> int:
        """Return the pause after a failed call that lasted `took`. At least 1."""
        top, drawn = self._bound, self._draw()
        least = top // 2 if self._has_failed else 0
        self._bound, self._has_failed = min(2 * top, self._most), True
        pause = least + int((top - least) * drawn) - took
        return 1 + max(pause, int(min(MIN_SPREAD_NS, top) * drawn))
