"""The front: the listener that takes clients' connections, and the requests that come in by them."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator

from hollyport.core.address import Address
from hollyport.core.flow import Budget
from hollyport.core.log import LOG
from hollyport.http1.client import ClientTerms
from hollyport.http1.listener import Listener, ListenerTimes
from hollyport.http1.message import Headers, Message
from rosechute.configuration.operator import Limits
from rosechute.data_plane.admission import REQUEST_ID, AdmittedRequest, Rejection
from rosechute.data_plane.client_limits import IDLE_TIMEOUT_MARGIN_S, ClientLimits
from rosechute.data_plane.request import SHUTDOWN_RETRY_AFTER_S, ClientRequest

METHODS = frozenset({b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"})
CLOSING = frozenset({400, 408, 413, 417, 431})  # of our own answers: what follows a request like that is as bad
IDLE_CLOSE_DELAY_S = (
    2.2  # from the begin of the shutdown to the first close of what is idle: two failed readiness checks
)
KEEP_ALIVE_LIMIT_SHARE = 0.75  # part of the connections from which on they are closed after their answers

Admit = Callable[[Message, int], "AdmittedRequest | Rejection"]
Take = Callable[[Message, "AdmittedRequest"], "ClientRequest"]


class Front:
    """Takes requests in, and lets go of those whose clients leave. The listener's service."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, budget: Budget, connections: int, admit: Admit, take: Take
    ) -> None:
        self._loop, self._admit, self._take = loop, admit, take
        self._terms = ClientTerms(methods=METHODS, own_paths=False, closing=CLOSING)
        self._times = ListenerTimes(drain_s=IDLE_CLOSE_DELAY_S, whole_from_connect=False)
        self._limits = ClientLimits()
        self._limits_expire: asyncio.TimerHandle | None = None
        self._enforce_limits()
        crowd = int(connections * KEEP_ALIVE_LIMIT_SHARE)
        self.listener = Listener(self, connections, crowd, budget, self._terms, self._times)
        self.requests: dict[Message, ClientRequest] = {}
        self.refusing = False  # whether new requests are turned away: the process ends
        self._tickets: Iterator[int] = itertools.count(1)

    def listen(self, address: str) -> int:
        """Take connections from now on; return the port."""
        host, _, port = address.rpartition(":")  # port 0 leaves the choice to the kernel
        taken = self.listener.listen(self._loop, Address(host, int(port)), None)
        self.listener.let_in()
        return taken

    def drain(self) -> None:
        """Let each answer be the last on its connection; later, close what is idle."""
        self.listener.drain(True)

    def resize(self, connections: int) -> None:
        """Another number of connections that clients may hold."""
        self.listener.resize(connections, int(connections * KEEP_ALIVE_LIMIT_SHARE))

    def apply_limits(self, limits: Limits) -> None:
        """Other bounds on what clients may send, also on connections that are open. Narrower ones hold only once no
        client goes by the former ones any more."""
        expire_s = self._limits.change(limits, self._loop.time())
        if self._limits_expire is not None:
            self._limits_expire.cancel()
            self._limits_expire = None
        self._enforce_limits()
        if expire_s:
            self._limits_expire = self._loop.call_later(expire_s, self._former_limits_expire)

    def _former_limits_expire(self) -> None:
        """The last of the former limits hold no more."""
        self._limits_expire = None
        self._enforce_limits()

    def _enforce_limits(self) -> None:
        """Have the listener go by what holds now."""
        limits, terms, times = self._limits.widest(self._loop.time()), self._terms, self._times
        terms.max_head = int(limits.max_header_bytes)
        terms.max_body = int(limits.max_body_bytes)
        terms.whole_s = limits.header_timeout_ms / 1e3
        times.keep_s = times.silent_s = limits.idle_timeout_ms / 1e3 + IDLE_TIMEOUT_MARGIN_S

    # --- the listener's Service

    def ready(self) -> bool:
        """Not asked: the platform has an address of its own for that."""
        return False

    def request(self, message: Message) -> None:
        """A request has come."""
        if self.refusing:
            reject_request(message, Rejection(503, SHUTDOWN_RETRY_AFTER_S))
            return
        admitted = self._admit(message, next(self._tickets))
        if isinstance(admitted, Rejection):
            reject_request(message, admitted)
            return
        self.requests[message] = request = self._take(message, admitted)
        try:
            request.start()
        except Exception:
            LOG.error("requests.broken", exc_info=True)
            request.abort_at_shutdown()

    def complete(self, message: Message) -> None:
        """The last byte has come of a body that is passed on as it comes in."""

    def hangup(self, message: Message) -> None:
        """The client has left."""
        request = self.requests.get(message)
        if request is not None:
            request.on_client_disconnected()

    def on_request_finished(self, request: ClientRequest) -> None:
        """A request is over."""
        self.requests.pop(request.message, None)


def reject_request(message: Message, refusal: Rejection) -> None:
    """Answer a request that is not taken."""
    headers: Headers = [(REQUEST_ID, value) for value in message.all(REQUEST_ID)[:1]]
    if refusal.retry_after_s > 0.0:
        headers.append((b"retry-after", b"%.3f" % refusal.retry_after_s))
    message.reply(refusal.status, b"", headers)
