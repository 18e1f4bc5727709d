"""Dispatcher between client requests and the router: reports events and performs the returned actions."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Collection, Sequence
from typing import Protocol

from rosechute.configuration.process import Bounds
from rosechute.data_plane.connection_pool import ConnectionPool
from rosechute.data_plane.request import ClientRequest
from rosechute.proxy.core.log import LOG
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

MAX_WAKE_DELAY_S = 0.02  # maximum delay of the router's timer while the router has a deadline pending


class RouterPort(Protocol):
    """The interface of the router that the data plane uses."""

    def apply_servers(self, now: float, service: str, entries: Sequence[ServerEntry]) -> list[RoutingAction]:
        """Apply the complete endpoint list of a service."""

    def apply_limits(self, now: float, service: str, max_connections: int, edges: int) -> list[RoutingAction]:
        """Apply a service's connection limit, which the given number of live edges share."""

    def apply_retry_budget(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        """Apply the retry budget: a ratio of the requests in a window, plus a slack that the edges share."""

    def forget_services(self, now: float, keep: Collection[str]) -> list[RoutingAction]:
        """Remove all services but these."""

    def route(self, now: float, request: RoutingRequest) -> list[RoutingAction]:
        """Select a server for a request, queue the request, or reject it."""

    def report(
        self, now: float, ticket: Ticket, server_id: str, result: AttemptResult, will_retry: bool
    ) -> list[RoutingAction]:
        """Handle the progress or the end of an attempt."""

    def can_retry_elsewhere(self, now: float, ticket: Ticket) -> bool:
        """Return whether a request could be sent to another server now if its current one failed."""

    def cancel(self, now: float, ticket: Ticket) -> list[RoutingAction]:
        """Remove a request."""

    def tick(self, now: float) -> list[RoutingAction]:
        """Perform the actions that are due at this time."""

    def next_wake(self) -> float | None:
        """Return the steady time at which `tick` is due; None for never."""


class Dispatcher:
    """Routes requests and performs the router's actions on them.

    Actions are performed one after another: actions that are caused while another one is performed are appended to a
    queue, so that calls of the router are never nested.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, router: RouterPort, pool: ConnectionPool) -> None:
        self._loop, self._router, self._pool = loop, router, pool
        self._requests: dict[Ticket, ClientRequest] = {}
        self._actions: deque[RoutingAction] = deque()
        self._is_performing = False
        self._wake_timer: asyncio.TimerHandle | None = None

    # --- events for the router

    def dispatch(self, request: ClientRequest) -> None:
        """Have the router select a server for a request."""
        self._requests[request.ticket] = request
        self._perform(self._router.route(self._loop.time(), request.admitted.routing))

    def report_attempt(self, request: ClientRequest, server_id: str, result: AttemptResult, will_retry: bool) -> None:
        """Report the progress or the end of an attempt to the router."""
        self._perform(self._router.report(self._loop.time(), request.ticket, server_id, result, will_retry))

    def can_retry_elsewhere(self, request: ClientRequest) -> bool:
        """Return whether the request would be sent to another server now if its current one failed."""
        return self._router.can_retry_elsewhere(self._loop.time(), request.ticket)

    def cancel(self, request: ClientRequest) -> None:
        """Withdraw a request from the router."""
        self._perform(self._router.cancel(self._loop.time(), request.ticket))

    def on_request_finished(self, request: ClientRequest) -> None:
        """Remove a finished request."""
        self._requests.pop(request.ticket, None)

    def apply_servers(self, service: str, entries: Sequence[ServerEntry]) -> None:
        """Apply the complete endpoint list of a service."""
        self._perform(self._router.apply_servers(self._loop.time(), service, entries))

    def apply_limits(self, service: str, max_connections: int, edges: int) -> None:
        """Apply the connection limit of a service, which `edges` edges share."""
        self._perform(self._router.apply_limits(self._loop.time(), service, max_connections, edges))

    def apply_retry_budget(self, bounds: Bounds, edges: int) -> None:
        """Apply the retry budget, whose slack `edges` edges share."""
        slack = float(bounds.retry_slack)
        self._router.apply_retry_budget(bounds.retry_budget_ratio, bounds.retry_window_s, slack, edges)

    def forget_services(self, keep: Collection[str]) -> None:
        """Remove all services that are not configured any more."""
        self._perform(self._router.forget_services(self._loop.time(), keep))

    # --- actions of the router

    def _perform(self, actions: list[RoutingAction]) -> None:
        """Perform actions in order, then those that they cause."""
        self._actions.extend(actions)
        if self._is_performing:
            return
        self._is_performing = True
        try:
            while self._actions:
                self._carry_out(self._actions.popleft())
        finally:
            self._is_performing = False
        self._set_wake()

    def _carry_out(self, action: RoutingAction) -> None:
        if isinstance(action, CloseIdle):
            self._pool.close_idle(action.server_id)
            return
        request = self._requests.get(action.ticket)
        if request is None:
            return
        try:
            self._apply(request, action)
        except Exception:
            # An error in one request must not prevent the actions of the others.
            LOG.error("requests.broken", exc_info=True)
            request.abort()

    @staticmethod
    def _apply(request: ClientRequest, action: Send | Reject) -> None:
        if isinstance(action, Send):
            request.on_server_selected(action)
        else:
            request.on_rejected(action.reason, action.retry_after_s)

    # --- timer

    def _set_wake(self) -> None:
        """Set the timer for the router's next deadline if it is not set yet.

        Looking up the earliest deadline of many queued requests after each event would cost more than being up to
        `MAX_WAKE_DELAY_S` late.
        """
        if self._wake_timer is not None:
            return
        due = self._router.next_wake()
        if due is not None:
            self._wake_timer = self._loop.call_at(min(due, self._loop.time() + MAX_WAKE_DELAY_S), self._on_wake)

    def _on_wake(self) -> None:
        self._wake_timer = None
        self._perform(self._router.tick(self._loop.time()))
