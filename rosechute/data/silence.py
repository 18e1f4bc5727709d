"""How long a server may say nothing before its request is taken elsewhere, or given up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rosechute.data.admission import Admitted

CLIENT_MARGIN_S = 0.05  # a silent stream is given up so long before its client does
RESERVED_PATIENCE = 0.25  # part of the client's patience that is left to another server, where one may go on
REPEAT_PATIENCE_TARGETS = 4.0  # latency objectives after which a server that says nothing is left for another one
REPEAT_PATIENCE_S = 1.0  # and at least so long
LATE_S = 0.2  # a timer that comes so late shows that the process stood still
CATCH_UP_S = 0.05  # what has come meanwhile is read within this time


class SilenceWatch:
    """Watches one request's server for silence, from `start` to `stop`. Times are those of the loop's clock."""

    __slots__ = (
        "answer_begun", "client_paused", "server_heard_at", "client_heard_at", "_loop", "_admitted", "_silent",
        "_timer", "_catching_up",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, admitted: Admitted) -> None:
        self.answer_begun = False  # whether the head of an answer has gone to the client
        self.client_paused = False  # whether the client does not take what is passed on
        self.server_heard_at = 0.0  # when the server sent something last, or was sent the request
        self.client_heard_at = admitted.arrived  # when the client was sent something last, or sent the request
        self._loop, self._admitted = loop, admitted
        self._silent: Callable[[], None] | None = None  # called once, after too long a silence; None where stopped
        self._timer: asyncio.TimerHandle | None = None
        self._catching_up = False  # whether this process has stood still, and has time to read what came meanwhile

    def start(self, silent: Callable[[], None]) -> None:
        """The request is sent to a server; `silent` is called if that says nothing for too long."""
        self._silent = silent
        self.server_heard_at = self._loop.time()
        self._set_timer()

    def stop(self) -> None:
        """No server is at work on it any more."""
        self._silent = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def heard(self) -> None:
        """The server has sent something. The timer is set anew only when it comes: events are many."""
        self.server_heard_at = self._loop.time()

    def passed_on(self) -> None:
        """What the server has sent last went on to the client."""
        self.client_heard_at = self.server_heard_at

    def _due_at(self) -> float:
        """When a server that says nothing is left; 0 for never."""
        admitted = self._admitted
        repeatable = admitted.routing.repeatable
        if admitted.silence_s:
            limit = self.client_heard_at + admitted.silence_s - CLIENT_MARGIN_S
            reserve = admitted.silence_s * RESERVED_PATIENCE
            if repeatable and limit - self.server_heard_at > 2 * reserve:
                return limit - reserve
            # The silence of a server is no reason to end an answer that has begun sooner than its client does.
            return 0.0 if self.answer_begun else limit
        if not repeatable or self.answer_begun:
            return 0.0
        patience_s = max(REPEAT_PATIENCE_S, REPEAT_PATIENCE_TARGETS * admitted.routing.target_s)
        due_at = self.server_heard_at + patience_s
        return due_at if due_at + admitted.routing.target_s < admitted.hold_limit else 0.0

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_at = self._due_at()
        if due_at:
            self._timer = self._loop.call_at(due_at, self.look)

    def look(self) -> None:
        """See whether the server has been silent for too long."""
        self._timer = None
        if self._silent is None:
            return
        now = self._loop.time()
        if self.client_paused:
            self.server_heard_at = self.client_heard_at = now  # it is the client that is slow
        due_at = self._due_at()
        if due_at and now > due_at + LATE_S and not self._catching_up:
            self._catching_up = True
            self._timer = self._loop.call_at(now + CATCH_UP_S, self.look)
            return
        self._catching_up = False
        if not due_at or now < due_at:
            self._set_timer()
            return
        silent, self._silent = self._silent, None
        silent()
