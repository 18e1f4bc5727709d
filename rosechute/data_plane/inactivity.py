"""Inactivity time-out for a server that executes a request.

Inactivity of a server alone does not end a response before its client would give up. The server is abandoned early
only if the request may be retried on another one.
"""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from rosechute.data_plane.admission import AdmittedRequest

CLIENT_TIMEOUT_MARGIN_S = 0.05  # an inactive stream is aborted this long before its client would give up
RETRY_TIME_SHARE = 0.25  # share of the client's time-out that is reserved for a retry on another server
RETRY_AFTER_TARGETS = 4.0  # multiple of the latency target after which a request is retried on another server
MIN_RETRY_AFTER_S = 1.0  # lower bound of that time
RECHECK_INTERVAL_S = 0.25  # interval between checks for another server after none was available
LATE_TIMER_S = 0.2  # a timer that fires this late indicates that the process was suspended
CATCH_UP_S = 0.05  # time to read what arrived while the process was suspended


class InactivityListener(Protocol):
    """The request whose server is monitored."""

    def can_retry_elsewhere(self) -> bool:
        """Return whether the request may be retried on another server now."""

    def on_server_inactive(self) -> None:
        """Abandon the server. The watch has already stopped."""


class InactivityWatch:
    """Monitors the server of one request from `start` to `stop`. All times are the event loop's, in seconds.

    Attributes:
        is_response_started: Whether the head of a response has been sent to the client.
        is_client_paused: Whether the client accepts no more bytes for now.
        last_received_at: Time at which bytes of the server were received last, or the request was sent to it.
        last_forwarded_at: Time at which bytes were forwarded to the client last, or the request arrived.
    """

    __slots__ = (
        "is_response_started",
        "is_client_paused",
        "last_received_at",
        "last_forwarded_at",
        "_loop",
        "_admitted",
        "_listener",
        "_timer",
        "_timer_at",
        "_catching_up",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, admitted: AdmittedRequest) -> None:
        self.is_response_started = False
        self.is_client_paused = False
        self.last_received_at = 0.0
        self.last_forwarded_at = admitted.arrived
        self._loop, self._admitted = loop, admitted
        self._listener: InactivityListener | None = None  # None while stopped
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf  # due time of the timer
        self._catching_up = False  # whether the process reads what arrived while it was suspended

    def start(self, listener: InactivityListener) -> None:
        """Start monitoring the server: the request is being sent to it."""
        self._listener = listener
        self.last_received_at = self._loop.time()
        self._set_timer(self._due_at())

    def stop(self) -> None:
        """Stop monitoring: no server executes the request any more."""
        self._listener = None
        self._set_timer(math.inf)

    def on_bytes_received(self) -> None:
        """Record that bytes were received. For speed, the timer is not set again until it fires."""
        self.last_received_at = self._loop.time()

    def on_event_forwarded(self) -> None:
        """Record that the most recently received bytes were forwarded to the client."""
        self.last_forwarded_at = self.last_received_at

    def check(self) -> None:
        """Abandon the server if it has been inactive for too long; otherwise set the timer again."""
        self._timer = None
        listener = self._listener
        if listener is None:
            return
        now = self._loop.time()
        if self.is_client_paused:
            self.last_received_at = self.last_forwarded_at = now  # the client is slow, not the server
        due_at = self._due_at()
        if now > self._timer_at + LATE_TIMER_S and not self._catching_up:
            self._catching_up = True
            self._set_timer(now + CATCH_UP_S)
            return
        self._catching_up = False
        if now < due_at:
            self._set_timer(due_at)
        elif now >= self._abandon_at() or listener.can_retry_elsewhere():
            self._listener = None
            listener.on_server_inactive()
        else:
            self._set_timer(min(now + RECHECK_INTERVAL_S, self._abandon_at()))

    def _due_at(self) -> float:
        return min(self._retry_elsewhere_at(), self._abandon_at())

    def _retry_elsewhere_at(self) -> float:
        """Return when the request is retried on another server if this one stays inactive; infinity for never."""
        admitted = self._admitted
        if not admitted.routing.repeatable:
            return math.inf
        if admitted.inactivity_timeout_s:
            limit, reserve = self._client_timeout_at(), admitted.inactivity_timeout_s * RETRY_TIME_SHARE
            return limit - reserve if limit - self.last_received_at > 2 * reserve else math.inf
        if self.is_response_started:
            return math.inf
        retry_after_s = max(MIN_RETRY_AFTER_S, RETRY_AFTER_TARGETS * admitted.routing.target_s)
        retry_at = self.last_received_at + retry_after_s
        return retry_at if retry_at + admitted.routing.target_s < admitted.answer_deadline else math.inf

    def _abandon_at(self) -> float:
        """Return when a stream that has not started is aborted, right before its client gives up; or infinity."""
        if not self._admitted.inactivity_timeout_s or self.is_response_started:
            return math.inf
        return self._client_timeout_at()

    def _client_timeout_at(self) -> float:
        return self.last_forwarded_at + self._admitted.inactivity_timeout_s - CLIENT_TIMEOUT_MARGIN_S

    def _set_timer(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_at(at, self.check) if at < math.inf else None
