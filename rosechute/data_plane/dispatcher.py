"""Between the requests and the router: hands events to the router and carries out what it answers."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Collection, Sequence
from typing import Protocol

from hollyport.core.log import LOG
from rosechute.configuration.process import Bounds
from rosechute.data_plane.connection_pool import Servers
from rosechute.data_plane.request import ClientRequest
from rosechute.routing.model import (
    AttemptResult,
    CloseIdle,
    Reject,
    RoutingAction,
    RoutingRequest,
    Send,
    ServerEntry,
    Ticket,
)

MAX_WAKE_DELAY_S = 0.02  # for so long at most the router is not asked again when it wants to be woken


class RouterPort(Protocol):
    """What the data plane needs of the router."""

    def apply_servers(self, now: float, service: str, entries: Sequence[ServerEntry]) -> list[RoutingAction]:
        """Take over the whole list of a service."""

    def apply_limits(self, now: float, service: str, max_connections: int, edges: int) -> list[RoutingAction]:
        """Take over a service's limit and the number of living edges."""

    def apply_retry_budget(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        """Take over the bound on further attempts."""

    def forget_services(self, now: float, keep: Collection[str]) -> list[RoutingAction]:
        """Drop all services but these."""

    def submit(self, now: float, request: RoutingRequest) -> list[RoutingAction]:
        """Route a request."""

    def report(
        self, now: float, ticket: Ticket, server_id: str, result: AttemptResult, again: bool
    ) -> list[RoutingAction]:
        """How an attempt ended or went on."""

    def can_retry_elsewhere(self, now: float, ticket: Ticket) -> bool:
        """Whether a request could be sent to another server now if the one that it is at failed it."""

    def cancel(self, now: float, ticket: Ticket) -> list[RoutingAction]:
        """Nothing more is wanted for a request."""

    def tick(self, now: float) -> list[RoutingAction]:
        """Time has passed."""

    def next_wake(self) -> float | None:
        """When `tick` is due."""


class Dispatcher:
    """All requests that the router knows, by ticket."""

    def __init__(self, loop: asyncio.AbstractEventLoop, router: RouterPort, servers: Servers) -> None:
        self._loop, self._router, self._servers = loop, router, servers
        self._requests: dict[Ticket, ClientRequest] = {}
        self._actions: deque[RoutingAction] = deque()
        self._performing = False
        self._wake: asyncio.TimerHandle | None = None

    # --- events in

    def dispatch(self, request: ClientRequest) -> None:
        """Have a request routed."""
        self._requests[request.ticket] = request
        self._perform(self._router.submit(self._loop.time(), request.admitted.routing))

    def report_attempt(self, request: ClientRequest, server_id: str, result: AttemptResult, again: bool) -> None:
        """Tell how an attempt ended or went on."""
        self._perform(self._router.report(self._loop.time(), request.ticket, server_id, result, again))

    def can_retry_elsewhere(self, request: ClientRequest) -> bool:
        """Whether it would be sent to another server now if the one that it is at failed it."""
        return self._router.can_retry_elsewhere(self._loop.time(), request.ticket)

    def cancel(self, request: ClientRequest) -> None:
        """Nothing more is wanted for it."""
        self._perform(self._router.cancel(self._loop.time(), request.ticket))

    def on_request_finished(self, request: ClientRequest) -> None:
        """It is over."""
        self._requests.pop(request.ticket, None)

    def apply_servers(self, service: str, entries: Sequence[ServerEntry]) -> None:
        """Take over the whole list of a service."""
        self._perform(self._router.apply_servers(self._loop.time(), service, entries))

    def apply_limits(self, service: str, max_connections: int, edges: int) -> None:
        """Take over the limit of a service, and how many edges share it."""
        self._perform(self._router.apply_limits(self._loop.time(), service, max_connections, edges))

    def apply_retry_budget(self, bounds: Bounds, edges: int) -> None:
        """Take over the bound on further attempts, and how many edges share its slack."""
        slack = float(bounds.retry_slack)
        self._router.apply_retry_budget(bounds.retry_budget_ratio, bounds.retry_window_s, slack, edges)

    def forget_services(self, keep: Collection[str]) -> None:
        """Drop all services but these: the configuration has no others."""
        self._perform(self._router.forget_services(self._loop.time(), keep))

    # --- actions out

    def _perform(self, actions: list[RoutingAction]) -> None:
        """Carry out actions in their order; those that they bring about come behind them."""
        self._actions.extend(actions)
        if self._performing:
            return
        self._performing = True
        try:
            while self._actions:
                self._carry_out(self._actions.popleft())
        finally:
            self._performing = False
        self._set_wake()

    def _carry_out(self, action: RoutingAction) -> None:
        if isinstance(action, CloseIdle):
            self._servers.close_idle(action.server_id)
            return
        request = self._requests.get(action.ticket)
        if request is None:
            return
        try:
            self._hand(request, action)
        except Exception:
            # It costs the request it came from, and nothing else.
            LOG.error("requests.broken", exc_info=True)
            request.abort_at_shutdown()

    @staticmethod
    def _hand(request: ClientRequest, action: Send | Reject) -> None:
        if isinstance(action, Send):
            request.on_server_selected(action)
        else:
            request.on_rejected(action.reason, action.retry_after_s)

    # --- time

    def _set_wake(self) -> None:
        """Have the router woken when it wants. A timer that is set is left as it is: to find the earliest time of
        many waiting requests with each event would cost more than to be late by a little."""
        if self._wake is not None:
            return
        due = self._router.next_wake()
        if due is not None:
            self._wake = self._loop.call_at(min(due, self._loop.time() + MAX_WAKE_DELAY_S), self._awake)

    def _awake(self) -> None:
        self._wake = None
        self._perform(self._router.tick(self._loop.time()))
