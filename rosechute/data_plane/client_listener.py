"""Accepts clients' connections and reads their requests."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator

from rosechute.configuration.operator import Limits
from rosechute.data_plane.admission import AdmittedRequest, Rejection
from rosechute.data_plane.client_limits import IDLE_TIMEOUT_MARGIN_S, ClientLimits
from rosechute.data_plane.request import SHUTDOWN_RETRY_AFTER_S, ClientRequest
from rosechute.data_plane.request_headers import REQUEST_ID
from rosechute.proxy.core.address import Address
from rosechute.proxy.core.flow import Budget
from rosechute.proxy.core.log import LOG
from rosechute.proxy.http1.client import ClientTerms
from rosechute.proxy.http1.listener import Listener, ListenerTimes
from rosechute.proxy.http1.message import Headers, Message

METHODS = frozenset({b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"})
# Own statuses after which the connection closes: the bytes that follow such a request can't be trusted.
CLOSING_STATUSES = frozenset({400, 408, 413, 417, 431})
# From the begin of a shutdown to the first close of an idle connection: two readiness checks fail within it.
IDLE_CLOSE_DELAY_S = 2.2
KEEP_ALIVE_LIMIT_SHARE = 0.75  # share of the connection limit from which on connections close after a response

Admit = Callable[[Message, int], "AdmittedRequest | Rejection"]
Accept = Callable[[Message, "AdmittedRequest"], "ClientRequest"]


class ClientListener:
    """Accepts requests, and aborts those whose clients disconnect. Implements the HTTP listener's `Service`.

    Args:
        loop: The event loop.
        budget: Memory for bodies.
        connections: Connections that clients may hold.
        admit: Returns the admitted request or the rejection of a request, given its ticket.
        accept: Returns the `ClientRequest` of an admitted request.

    Attributes:
        requests: Requests that are not finished.
        is_rejecting: Whether new requests are rejected: the process is about to end.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, budget: Budget, connections: int, admit: Admit, accept: Accept
    ) -> None:
        self._loop, self._admit, self._accept = loop, admit, accept
        self._terms = ClientTerms(methods=METHODS, own_paths=False, closing=CLOSING_STATUSES)
        self._times = ListenerTimes(drain_s=IDLE_CLOSE_DELAY_S, whole_from_connect=False)
        self._limits = ClientLimits()
        self._limits_timer: asyncio.TimerHandle | None = None
        self._enforce_limits()
        keep_alive_limit = int(connections * KEEP_ALIVE_LIMIT_SHARE)
        self.listener = Listener(self, connections, keep_alive_limit, budget, self._terms, self._times)
        self.requests: dict[Message, ClientRequest] = {}
        self.is_rejecting = False
        self._tickets: Iterator[int] = itertools.count(1)

    def listen(self, address: str) -> int:
        """Accept connections at `host:port`; return the port. Port 0 leaves the choice to the kernel."""
        host, _, port = address.rpartition(":")
        bound_port = self.listener.listen(self._loop, Address(host, int(port)), None)
        self.listener.let_in()
        return bound_port

    def drain(self) -> None:
        """Make each response the last on its connection; after `IDLE_CLOSE_DELAY_S`, close idle connections."""
        self.listener.drain(True)

    def resize(self, connections: int) -> None:
        """Change the number of connections that clients may hold."""
        self.listener.resize(connections, int(connections * KEEP_ALIVE_LIMIT_SHARE))

    def apply_limits(self, limits: Limits) -> None:
        """Change the limits of what clients may send, on open connections, too.

        Narrower limits are enforced only once no client can still rely on the former ones (`ClientLimits`).
        """
        expire_s = self._limits.change(limits, self._loop.time())
        if self._limits_timer is not None:
            self._limits_timer.cancel()
            self._limits_timer = None
        self._enforce_limits()
        if expire_s:
            self._limits_timer = self._loop.call_later(expire_s, self._on_former_limits_expired)

    def _on_former_limits_expired(self) -> None:
        """Enforce the current limits: the last of the former ones have expired."""
        self._limits_timer = None
        self._enforce_limits()

    def _enforce_limits(self) -> None:
        """Set the listener's limits."""
        limits, terms, times = self._limits.widest(self._loop.time()), self._terms, self._times
        terms.max_head = int(limits.max_header_bytes)
        terms.max_body = int(limits.max_body_bytes)
        terms.whole_s = limits.header_timeout_ms / 1e3
        terms.pause_s = terms.body_s = limits.idle_timeout_ms / 1e3
        times.keep_s = times.silent_s = limits.idle_timeout_ms / 1e3 + IDLE_TIMEOUT_MARGIN_S

    # --- the listener's Service

    def ready(self) -> bool:
        """See `Service`. Not called: readiness is served at an address of its own."""
        return False

    def request(self, message: Message) -> None:
        """See `Service`. Admit or reject a request whose head has been read."""
        if self.is_rejecting:
            reject_request(message, Rejection(503, SHUTDOWN_RETRY_AFTER_S))
            return
        admitted = self._admit(message, next(self._tickets))
        if isinstance(admitted, Rejection):
            reject_request(message, admitted)
            return
        self.requests[message] = request = self._accept(message, admitted)
        try:
            request.start()
        except Exception:
            LOG.error("requests.broken", exc_info=True)
            request.abort()

    def complete(self, message: Message) -> None:
        """See `Service`. Nothing to do: a streamed body is forwarded while it arrives."""

    def hangup(self, message: Message) -> None:
        """See `Service`. The client has disconnected."""
        request = self.requests.get(message)
        if request is not None:
            request.on_client_disconnected()

    def on_request_finished(self, request: ClientRequest) -> None:
        """Forget a finished request."""
        self.requests.pop(request.message, None)


def reject_request(message: Message, rejection: Rejection) -> None:
    """Respond to a request that is not accepted."""
    headers: Headers = [(REQUEST_ID, value) for value in message.all(REQUEST_ID)[:1]]
    if rejection.retry_after_s > 0.0:
        headers.append((b"retry-after", b"%.3f" % rejection.retry_after_s))
    message.reply(rejection.status, b"", headers)
