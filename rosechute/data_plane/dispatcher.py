"""Hands the events of client requests to the router, and carries out the actions that the router returns."""

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

MAX_WAKE_DELAY_S = 0.02  # the router's timer fires at least so often while the router waits for a time


class RouterPort(Protocol):
    """What the data plane needs of the router."""

    def apply_servers(self, now: float, service: str, entries: Sequence[ServerEntry]) -> list[RoutingAction]:
        """Take over the complete endpoint list of a service."""

    def apply_limits(self, now: float, service: str, max_connections: int, edges: int) -> list[RoutingAction]:
        """Take over a service's connection limit, and the number of live edges that share it."""

    def apply_retry_budget(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        """Take over the retry budget: a ratio of requests in a window, and a slack that the edges share."""

    def forget_services(self, now: float, keep: Collection[str]) -> list[RoutingAction]:
        """Forget all services but these."""

    def route(self, now: float, request: RoutingRequest) -> list[RoutingAction]:
        """Select a server for a request, queue the request, or reject it."""

    def report(
        self, now: float, ticket: Ticket, server_id: str, result: AttemptResult, will_retry: bool
    ) -> list[RoutingAction]:
        """Take the progress or the end of an attempt."""

    def can_retry_elsewhere(self, now: float, ticket: Ticket) -> bool:
        """Return whether a request could be sent to another server now if its current one failed."""

    def cancel(self, now: float, ticket: Ticket) -> list[RoutingAction]:
        """Forget a request."""

    def tick(self, now: float) -> list[RoutingAction]:
        """Do what is due at this time."""

    def next_wake(self) -> float | None:
        """Return the steady time at which `tick` is due; None for never."""


class Dispatcher:
    """The requests that are known to the router, by ticket.

    Actions are carried out one after another: an action that causes further ones while it is carried out appends
    them to the queue, so that no method of the router runs inside another.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, router: RouterPort, pool: ConnectionPool) -> None:
        self._loop, self._router, self._pool = loop, router, pool
        self._requests: dict[Ticket, ClientRequest] = {}
        self._actions: deque[RoutingAction] = deque()
        self._is_performing = False
        self._wake_timer: asyncio.TimerHandle | None = None

    # --- events in

    def dispatch(self, request: ClientRequest) -> None:
        """Hand a request to the router."""
        self._requests[request.ticket] = request
        self._perform(self._router.route(self._loop.time(), request.admitted.routing))

    def report_attempt(self, request: ClientRequest, server_id: str, result: AttemptResult, will_retry: bool) -> None:
        """Report the progress or the end of an attempt to the router."""
        self._perform(self._router.report(self._loop.time(), request.ticket, server_id, result, will_retry))

    def can_retry_elsewhere(self, request: ClientRequest) -> bool:
        """Return whether the request would be sent to another server now if its current one failed."""
        return self._router.can_retry_elsewhere(self._loop.time(), request.ticket)

    def cancel(self, request: ClientRequest) -> None:
        """Take a request back from the router."""
        self._perform(self._router.cancel(self._loop.time(), request.ticket))

    def on_request_finished(self, request: ClientRequest) -> None:
        """Forget a finished request."""
        self._requests.pop(request.ticket, None)

    def apply_servers(self, service: str, entries: Sequence[ServerEntry]) -> None:
        """Take over the complete endpoint list of a service."""
        self._perform(self._router.apply_servers(self._loop.time(), service, entries))

    def apply_limits(self, service: str, max_connections: int, edges: int) -> None:
        """Take over the connection limit of a service, and how many edges share it."""
        self._perform(self._router.apply_limits(self._loop.time(), service, max_connections, edges))

    def apply_retry_budget(self, bounds: Bounds, edges: int) -> None:
        """Take over the retry budget, and how many edges share its slack."""
        slack = float(bounds.retry_slack)
        self._router.apply_retry_budget(bounds.retry_budget_ratio, bounds.retry_window_s, slack, edges)

    def forget_services(self, keep: Collection[str]) -> None:
        """Forget all services but these: the configuration has no others."""
        self._perform(self._router.forget_services(self._loop.time(), keep))

    # --- actions out

    def _perform(self, actions: list[RoutingAction]) -> None:
        """Carry out actions in order, then those that they cause."""
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
            # A fault in one request must not stop the actions of the others.
            LOG.error("requests.broken", exc_info=True)
            request.abort()

    @staticmethod
    def _apply(request: ClientRequest, action: Send | Reject) -> None:
        if isinstance(action, Send):
            request.on_server_selected(action)
        else:
            request.on_rejected(action.reason, action.retry_after_s)

    # --- time

    def _set_wake(self) -> None:
        """Set the timer for the router's next deadline, unless it is set.

        To look up the earliest deadline of many queued requests after each event would cost more than to be up to
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
