"""How long a server may say nothing before its request is taken to another server, or given up.

The silence of a server alone is no reason to end an answer sooner than its client does: a server is left early only
where another one may go on.
"""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from rosechute.data_plane.admission import Admitted

CLIENT_MARGIN_S = 0.05  # a silent stream is given up so long before its client does
RESERVED_PATIENCE = 0.25  # part of the client's patience that is left to another server, where one may go on
REPEAT_PATIENCE_TARGETS = 4.0  # latency objectives after which a server that says nothing is left for another one
REPEAT_PATIENCE_S = 1.0  # and at least so long
LOOK_AGAIN_S = 0.25  # how often it is asked whether another server may go on, where none could
LATE_S = 0.2  # a timer that comes so late shows that the process stood still
CATCH_UP_S = 0.05  # what has come meanwhile is read within this time


class SilenceOwner(Protocol):
    """Whose server is watched."""

    def may_go_elsewhere(self) -> bool:
        """Whether another server may be asked now in place of the one that is silent."""

    def server_silent(self) -> None:
        """The server has said nothing for too long; the watch has stopped."""


class SilenceWatch:
    """Watches one request's server for silence, from `start` to `stop`. Times are those of the loop's clock."""

    __slots__ = (
        "answer_begun",
        "client_paused",
        "server_heard_at",
        "client_heard_at",
        "_loop",
        "_admitted",
        "_owner",
        "_timer",
        "_timer_at",
        "_catching_up",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, admitted: Admitted) -> None:
        self.answer_begun = False  # whether the head of an answer has gone to the client
        self.client_paused = False  # whether the client does not take what is passed on
        self.server_heard_at = 0.0  # when the server sent something last, or was sent the request
        self.client_heard_at = admitted.arrived  # when the client was sent something last, or sent the request
        self._loop, self._admitted = loop, admitted
        self._owner: SilenceOwner | None = None  # None where the watch has stopped
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf  # when it is to come
        self._catching_up = False  # whether this process has stood still, and has time to read what came meanwhile

    def start(self, owner: SilenceOwner) -> None:
        """The owner's request is sent to a server."""
        self._owner = owner
        self.server_heard_at = self._loop.time()
        self._set_timer(self._due_at())

    def stop(self) -> None:
        """No server is at work on it any more."""
        self._owner = None
        self._set_timer(math.inf)

    def heard(self) -> None:
        """The server has sent something. The timer is set anew only when it comes: events are many."""
        self.server_heard_at = self._loop.time()

    def passed_on(self) -> None:
        """What the server has sent last went on to the client."""
        self.client_heard_at = self.server_heard_at

    def look(self) -> None:
        """See whether the server has been silent for too long."""
        self._timer = None
        owner = self._owner
        if owner is None:
            return
        now = self._loop.time()
        if self.client_paused:
            self.server_heard_at = self.client_heard_at = now  # it is the client that is slow
        due_at = self._due_at()
        if now > self._timer_at + LATE_S and not self._catching_up:
            self._catching_up = True
            self._set_timer(now + CATCH_UP_S)
            return
        self._catching_up = False
        if now < due_at:
            self._set_timer(due_at)
        elif now >= self._give_up_at() or owner.may_go_elsewhere():
            self._owner = None
            owner.server_silent()
        else:
            self._set_timer(min(now + LOOK_AGAIN_S, self._give_up_at()))

    def _due_at(self) -> float:
        return min(self._leave_at(), self._give_up_at())

    def _leave_at(self) -> float:
        """From when on a server that says nothing is left for another one; infinite for never."""
        admitted = self._admitted
        if not admitted.routing.repeatable:
            return math.inf
        if admitted.silence_s:
            limit, reserve = self._client_gives_up_at(), admitted.silence_s * RESERVED_PATIENCE
            return limit - reserve if limit - self.server_heard_at > 2 * reserve else math.inf
        if self.answer_begun:
            return math.inf
        patience_s = max(REPEAT_PATIENCE_S, REPEAT_PATIENCE_TARGETS * admitted.routing.target_s)
        leave_at = self.server_heard_at + patience_s
        return leave_at if leave_at + admitted.routing.target_s < admitted.hold_limit else math.inf

    def _give_up_at(self) -> float:
        """When a stream that has not begun is given up, right before its client does; infinite for never."""
        if not self._admitted.silence_s or self.answer_begun:
            return math.inf
        return self._client_gives_up_at()

    def _client_gives_up_at(self) -> float:
        return self.client_heard_at + self._admitted.silence_s - CLIENT_MARGIN_S

    def _set_timer(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_at(at, self.look) if at < math.inf else None
