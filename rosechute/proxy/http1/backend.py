"""HTTP/1.1 servers as the core's `Backend`: requests as they go out, and what servers say of their load."""

from __future__ import annotations

import json

from rosechute.load_balancing.interface import How
from rosechute.proxy.core.flow import Sink
from rosechute.proxy.core.ports import Attempt, Echoed, Load, Watch
from rosechute.proxy.http1.connection import Reply
from rosechute.proxy.http1.message import HOP_BY_HOP, Message
from rosechute.proxy.http1.upstream import Flow, Upstream

MOST_LOAD = 1e5  # a report of more is none
NOT_FORWARDED = HOP_BY_HOP | {b"content-length", b"expect", b"x-timeout"}


class HttpBackend:
    """Attempts and probes over the pools of `Upstream`."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream
        self.reports(False)

    def reports(self, told: bool) -> None:
        """Whether probes bring a load report."""
        probed = b"/-/load" if told else b"/-/healthy"
        self._probe_request = b"GET %s HTTP/1.1\r\nHost: sidecar\r\n\r\n" % probed

    def attempt(self, server: str, request: Message, limit_s: float, watch: Watch[Reply]) -> Attempt | None:
        """See `ports.Backend`."""

        def ended(how: How, reply: Reply | None) -> None:
            watch.outcome(how, reply, load(reply.header(b"x-server-load")) if reply is not None else {})

        def begin(reply: Reply, length: int | None) -> Sink | None:
            return watch.begin(reply, length, load(reply.header(b"x-server-load")))

        return self._upstream.exchange(
            server,
            lambda: wire(request, watch.wait_s()),
            limit_s,
            ended,
            Flow(request.stream, begin, watch.wanted, watch.wrote, watch.rested, watch.left_s),
        )

    def probe(self, server: str, limit_s: float, echoed: Echoed) -> Attempt | None:
        """See `ports.Backend`."""

        def ended(how: How, reply: Reply | None) -> None:
            echoed(how, load(reply.body if reply is not None else None))

        return self._upstream.exchange(server, lambda: self._probe_request, limit_s, ended)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""
        self._upstream.close_idle(server)


def wire(message: Message, wait_s: float) -> bytes:
    """The request as it goes to a server; how long we wait depends on when it is written."""
    if not message.head:
        parts = [b"%s %s HTTP/1.1\r\n" % (message.method, message.target)]
        parts += [b"%s: %s\r\n" % pair for pair in message.headers if pair[0] not in NOT_FORWARDED]
        if message.stream is not None:
            length = message.stream.length
            parts.append(b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length)
        elif message.body or message.method == b"POST":
            parts.append(b"Content-Length: %d\r\n" % len(message.body))
        message.head = b"".join(parts)
    return b"%sX-Timeout: %.4f\r\n\r\n%s" % (message.head, wait_s, message.body)


def load(text: bytes | None) -> Load:
    """A load report; none where it can't be one: a wrong one would draw all calls to one server, or none."""
    if not text:
        return {}
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        return {}
    if not isinstance(raw, dict):
        return {}
    numbers = {k: float(v) for k, v in raw.items() if isinstance(v, int | float) and not isinstance(v, bool)}
    return numbers if all(0.0 <= value <= MOST_LOAD for value in numbers.values()) else {}
