"""When discovery is called again after a call that came to nothing: within the rule's time, and apart from others.

The rule (`interface.TOLD_NS`) counts from the moment at which discovery has a change and can be reached. What is
under way then may still fail, and so may what follows. docs/design.md works out the bound from these figures.
"""

from __future__ import annotations

from collections.abc import Callable

from rosechute.load_balancing.interface import TOLD_NS

ANSWER_NS = TOLD_NS * 3 // 8
"""How long the answer to a call that does not wait may take, its connecting included. Discovery handles calls in turn
and itself ends what has waited for too long: whoever gives up before that wastes what was worked for, and a crowd
that does so keeps discovery busy for nobody."""
LONGEST_NS = TOLD_NS // 6  # from the start of a call that failed to the next one's, at most,
APART_NS = TOLD_NS // 16  # or from its end, where that is later: callers that failed together part
WAIT_NS = TOLD_NS * 3 // 8  # the longest that a watch waits: its silence shows only after that


class Backoff:
    """Pauses between calls to discovery. All times are nanoseconds.

    The first pause lies anywhere up to `first`, so that a crowd that failed at once spreads out. Each failure on end
    doubles that, up to `most`, and the pauses lie in the upper half: they thin the crowd out. A call that took its
    time to fail has been a pause already.

    Args:
        first: The longest pause after one failure.
        most: The longest after any number of them.
        draw: Random numbers from 0 up to 1.
    """

    def __init__(self, first: int, most: int, draw: Callable[[], float]) -> None:
        self._most, self._draw = most, draw
        self._first = self._top = min(first, most)
        self._on_end = False

    def answered(self) -> None:
        """A call has been answered: the next failure is a first one."""
        self._top, self._on_end = self._first, False

    def failed(self, took: int) -> int:
        """The pause after a call that has failed, `took` after its start. At least 1."""
        top, drawn = self._top, self._draw()
        least = top // 2 if self._on_end else 0
        self._top, self._on_end = min(2 * top, self._most), True
        pause = least + int((top - least) * drawn) - took
        return 1 + max(pause, int(min(APART_NS, top) * drawn))
