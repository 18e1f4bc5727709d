"""An HTTP/1.1 request from a client, and the encoding of its response."""

from __future__ import annotations

from typing import Protocol

from rosechute.proxy.core.flow import Body, Source
from rosechute.proxy.core.ports import Ending
from rosechute.proxy.http1.connection import Reply

REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
STATUS_LINES = {status: b"HTTP/1.1 %d %s\r\n" % (status, reason.encode()) for status, reason in REASONS.items()}
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
NOT_FORWARDED_HEADERS = HOP_BY_HOP | {b"content-length", b"x-server-load", b"date", b"server"}
Headers = list[tuple[bytes, bytes]]
STATUS = {
    Ending.SERVED: 200,
    Ending.REFUSED: 503,
    Ending.FAILED: 502,
    Ending.LATE: 504,
    Ending.BROKEN: 500,
    Ending.REPEATED: 409,
}
ENDING_BODIES = {
    Ending.REFUSED: b"refused\n",
    Ending.FAILED: b"failed\n",
    Ending.LATE: b"failed\n",
    Ending.BROKEN: b"failed\n",
}


class ResponseWriter(Protocol):
    """The connection on which a request arrived and its response is sent."""

    def check_disconnected(self) -> bool:
        """Return whether the client has disconnected; if so, cancel its requests."""
        ...

    def answer(self, message: Message, status: int, body: bytes, headers: Headers) -> None:
        """Send a response with a complete body."""
        ...

    def begin_response(
        self, message: Message, status: int, headers: Headers, length: int | None, source: Source
    ) -> bool:
        """Start a streamed response; return whether the client can still receive it."""
        ...

    def pass_on(self, message: Message, data: bytes) -> None:
        """Send a part of a streamed response."""
        ...

    def end_response(self, message: Message, is_complete: bool) -> None:
        """End a streamed response; if it is incomplete, so that the client detects it."""
        ...


class Message:
    """A client's request and its response. Implements the core's `Front`.

    Attributes:
        connection: The connection that sends the response.
        method: Request method.
        target: Request target, in origin form once the head is complete.
        headers: Headers with lower-case names, in order.
        body: The complete body; empty if it is streamed.
        stream: A streamed body.
        complete: Whether the last byte has been received.
        chunks: Whether the client supports the chunked transfer coding.
        keep_alive: Whether the client allows further requests on the connection.
        came: When the last byte was read, by the loop's clock; for a streamed body, when streaming started.
        began: When the first byte was read.
        tid: The core's identifier of the call.
        head: Cached head for servers, without the headers that differ by attempt.
        held: Bytes that the connection has charged to its budget for this request.
        headers_by_name: Headers by name, if no name is repeated; `None` if that was not determined.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "stream",
        "complete",
        "chunks",
        "keep_alive",
        "connection",
        "came",
        "began",
        "tid",
        "head",
        "held",
        "headers_by_name",
    )

    def __init__(self, connection: ResponseWriter) -> None:
        self.connection = connection
        self.method = self.target = self.body = b""
        self.headers: Headers = []
        self.stream: Body | None = None
        self.complete = False
        self.chunks = True
        self.keep_alive = True
        self.came = 0.0
        self.began = 0.0
        self.tid = ""
        self.head = b""
        self.held = 0
        self.headers_by_name: dict[bytes, bytes] | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def all(self, name: bytes) -> list[bytes]:
        """Return the values of all headers with this lower-case name."""
        return [value for key, value in self.headers if key == name]

    def reply(self, status: int, body: bytes = b"", headers: Headers | None = None) -> None:
        """Send a response. Ignored if one was sent already or the client has disconnected."""
        self.connection.answer(self, status, body, headers or [])

    # --- the core's Front

    def left(self) -> bool:
        """Return whether the client has disconnected."""
        return self.connection.check_disconnected()

    def answer(self, ending: Ending, reply: Reply | None = None, hold_off_ns: int = 0) -> None:
        """Send the final response. Ignored if one was sent already or the client has disconnected.

        Args:
            ending: The outcome of the request, which determines the status unless there is a server's response.
            reply: The server's response, if the request was served.
            hold_off_ns: Nanoseconds for the `Retry-After` header; 0 for none.
        """
        if reply is not None:
            self.connection.answer(self, 200, reply.body, forwarded_headers(reply))
        else:
            headers = [(b"Retry-After", b"%.3f" % (hold_off_ns / 1e9))] if hold_off_ns > 0 else []
            self.reply(STATUS[ending], ENDING_BODIES.get(ending, b""), headers)

    def begin(self, reply: Reply, length: int | None, source: Source) -> bool:
        """Start a streamed response; return whether the client can still receive it."""
        return self.connection.begin_response(self, 200, forwarded_headers(reply), length, source)

    def pass_on(self, data: bytes) -> int:
        """Send a part of a streamed response. Its content costs no calls. See `rosechute.proxy.core.flow.Sink`."""
        self.connection.pass_on(self, data)
        return 0

    def end(self, whole: bool) -> None:
        """End a streamed response; if it is incomplete, so that the client detects it."""
        self.connection.end_response(self, whole)


def forwarded_headers(reply: Reply) -> Headers:
    """Return the headers of a server's response that are forwarded: not those about its connection or itself."""
    return [pair for pair in reply.headers if pair[0] not in NOT_FORWARDED_HEADERS]


def head(status: int, length: int | None, headers: Headers, keep_alive: bool, chunked: bool = False) -> bytes:
    """Encode the head of a response.

    Args:
        status: Status code.
        length: Length of the body; `None` if it is unknown.
        headers: Further headers.
        keep_alive: Whether the connection stays open.
        chunked: Whether the body is sent in chunks.
    """
    lines = [STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown\r\n" % status]
    if chunked:
        lines.append(b"Transfer-Encoding: chunked\r\n")
    elif length is not None:
        lines.append(b"Content-Length: %d\r\n" % length)
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    lines.append(b"\r\n" if keep_alive else b"Connection: close\r\n\r\n")
    return b"".join(lines)
