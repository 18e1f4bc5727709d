"""The core's `Backend` for HTTP/1.1 servers: encoding of requests and parsing of load reports."""

from __future__ import annotations

import json

from rosechute.load_balancing.interface import How
from rosechute.proxy.core.flow import Sink
from rosechute.proxy.core.ports import Attempt, AttemptObserver, Load, ProbeCallback
from rosechute.proxy.http1.connection import Reply
from rosechute.proxy.http1.message import HOP_BY_HOP, Message
from rosechute.proxy.http1.upstream import StreamCallbacks, Upstream

MAX_LOAD = 1e5  # a report with a higher value is ignored
NOT_FORWARDED = HOP_BY_HOP | {b"content-length", b"expect", b"x-timeout"}


class HttpBackend:
    """Sends attempts and probes over the connection pools of `Upstream`."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream
        self.request_load_reports(False)

    def request_load_reports(self, enabled: bool) -> None:
        """Set whether probes request a load report or only check the server's health."""
        probed = b"/-/load" if enabled else b"/-/healthy"
        self._probe_request = b"GET %s HTTP/1.1\r\nHost: sidecar\r\n\r\n" % probed

    def attempt(self, server: str, request: Message, limit_s: float, watch: AttemptObserver[Reply]) -> Attempt | None:
        """Create an attempt to send a request to a server; `None` if the server was never listed as up.

        Args:
            server: Name of the server.
            request: The client's request.
            limit_s: Seconds until the attempt is given up; with a streamed body, until it has a connection.
            watch: Callbacks for the attempt's progress and outcome.
        """

        def ended(how: How, reply: Reply | None) -> None:
            watch.outcome(how, reply, parse_load(reply.header(b"x-server-load")) if reply is not None else {})

        def begin(reply: Reply, length: int | None) -> Sink | None:
            return watch.begin(reply, length, parse_load(reply.header(b"x-server-load")))

        return self._upstream.exchange(
            server,
            lambda: encode_request(request, watch.wait_s()),
            limit_s,
            ended,
            StreamCallbacks(request.stream, begin, watch.wanted, watch.wrote, watch.rested, watch.left_s),
        )

    def probe(self, server: str, limit_s: float, echoed: ProbeCallback) -> Attempt | None:
        """Create a health check of a server; `None` if the server was never listed as up.

        Args:
            server: Name of the server.
            limit_s: Seconds until the check is given up.
            echoed: Called with the outcome and the load report.
        """

        def ended(how: How, reply: Reply | None) -> None:
            echoed(how, parse_load(reply.body if reply is not None else None))

        return self._upstream.exchange(server, lambda: self._probe_request, limit_s, ended)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""
        self._upstream.close_idle(server)


def encode_request(message: Message, wait_s: float) -> bytes:
    """Encode a request for a server.

    The head is cached in `message.head`; `X-Timeout` is not part of it, as the remaining time depends on when an
    attempt is written.
    """
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


def parse_load(text: bytes | None) -> Load:
    """Parse a load report.

    Return an empty one for an invalid report: wrong values could attract all calls to one server, or keep all away.
    """
    if not text:
        return {}
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        return {}
    if not isinstance(raw, dict):
        return {}
    numbers = {k: float(v) for k, v in raw.items() if isinstance(v, int | float) and not isinstance(v, bool)}
    return numbers if all(0.0 <= value <= MAX_LOAD for value in numbers.values()) else {}
