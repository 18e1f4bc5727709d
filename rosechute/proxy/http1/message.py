"""One HTTP/1.1 request as it came, and the words for its answers."""

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
FIRST_LINES = {status: b"HTTP/1.1 %d %s\r\n" % (status, reason.encode()) for status, reason in REASONS.items()}
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
NOT_RETURNED = HOP_BY_HOP | {b"content-length", b"x-server-load", b"date", b"server"}
Headers = list[tuple[bytes, bytes]]
STATUS = {
    Ending.SERVED: 200,
    Ending.REFUSED: 503,
    Ending.FAILED: 502,
    Ending.LATE: 504,
    Ending.BROKEN: 500,
    Ending.REPEATED: 409,
}
WORDS = {
    Ending.REFUSED: b"refused\n",
    Ending.FAILED: b"failed\n",
    Ending.LATE: b"failed\n",
    Ending.BROKEN: b"failed\n",
}


class Way(Protocol):
    """The connection that a request came by."""

    def look(self) -> bool: ...

    def answer(self, message: Message, status: int, body: bytes, headers: Headers) -> None: ...

    def begin_answer(
        self, message: Message, status: int, headers: Headers, length: int | None, source: Source
    ) -> bool: ...

    def pass_on(self, message: Message, data: bytes) -> None: ...

    def end_answer(self, message: Message, whole: bool) -> None: ...


class Message:
    """One request as it came, and where its one answer goes. The core's `Front`."""

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
        "told",
    )

    def __init__(self, connection: Way) -> None:
        self.connection = connection
        self.method = self.target = self.body = b""
        self.headers: Headers = []
        self.stream: Body | None = None  # a body that goes out as it comes in
        self.complete = False  # its last byte has come
        self.chunks = True  # whether the client can read chunks
        self.keep_alive = True
        self.came = 0.0  # when its last byte was read, by the loop's clock
        self.began = 0.0  # when its first byte was read
        self.tid = ""  # for the core: which call this became
        self.head = b""  # as servers get it, but for what differs by attempt
        self.told: dict[bytes, bytes] | None = None  # the headers by name, where none stands there twice

    def header(self, name: bytes) -> bytes | None:
        """The first header of this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def all(self, name: bytes) -> list[bytes]:
        """All headers of this lower-case name."""
        return [value for key, value in self.headers if key == name]

    def reply(self, status: int, body: bytes = b"", headers: Headers | None = None) -> None:
        """Send an answer. A second one is ignored, as is one to a client that has left."""
        self.connection.answer(self, status, body, headers or [])

    # --- the core's Front

    def left(self) -> bool:
        """Look whether the client has left."""
        return self.connection.look()

    def answer(self, ending: Ending, reply: Reply | None = None, hold_off_ns: int = 0) -> None:
        """Send the final answer. A second one is ignored, as is one to a client that has left."""
        if reply is not None:
            self.connection.answer(self, 200, reply.body, returned(reply))
        else:
            headers = [(b"Retry-After", b"%.3f" % (hold_off_ns / 1e9))] if hold_off_ns > 0 else []
            self.reply(STATUS[ending], WORDS.get(ending, b""), headers)

    def begin(self, reply: Reply, length: int | None, source: Source) -> bool:
        """Begin an answer that is passed on as it comes; whether there is a client for it."""
        return self.connection.begin_answer(self, 200, returned(reply), length, source)

    def pass_on(self, data: bytes) -> None:
        """Some more of it."""
        self.connection.pass_on(self, data)

    def end(self, whole: bool) -> None:
        """No more of it; if it is not whole, the client gets to see that."""
        self.connection.end_answer(self, whole)


def returned(reply: Reply) -> Headers:
    """A server's headers, but for those that speak of its connection or of itself."""
    return [pair for pair in reply.headers if pair[0] not in NOT_RETURNED]


def head(status: int, length: int | None, headers: Headers, keep_alive: bool, chunked: bool = False) -> bytes:
    """The head of an answer."""
    lines = [FIRST_LINES.get(status) or b"HTTP/1.1 %d Unknown\r\n" % status]
    if chunked:
        lines.append(b"Transfer-Encoding: chunked\r\n")
    elif length is not None:
        lines.append(b"Content-Length: %d\r\n" % length)
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    lines.append(b"\r\n" if keep_alive else b"Connection: close\r\n\r\n")
    return b"".join(lines)
