"""Memory budget and flow control for streamed bodies."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from rosechute.proxy.core.receive_buffers import receive_buffer_bytes

UNREAD_DIVISOR = 2  # the kernel may hold this fraction of the budget in receive buffers that are not read yet
MIN_SHARE_BYTES = (
    16 * 1024
)  # share of one body however little is free: with less, every packet costs a turn of the event loop
MAX_SHARE_BYTES = 1 << 20  # largest share of one body
SHARE_DIVISOR = 8  # one body may hold this fraction of the free memory
PROGRAM_MB = 28  # memory of the program without bodies: 14 MB, and allocator overhead
MEMORY_OVERHEAD = 2  # allowance for bytes that are held twice for a moment, and for the event loop's buffers
SPENT_SLACK_BYTES = MAX_SHARE_BYTES  # bytes over the total at which the budget counts as spent: one body's share
RELIEF_DIVISOR = 8  # once spent, this fraction of the total is freed, so that the next bytes find room
MIN_TOTAL_BYTES = 4 << 20  # bytes that may be held however little memory is left
RESPONSES_DIVISOR = 2  # responses that are buffered may hold this fraction of the total together
RESPONSE_SHARE_DIVISOR = 2  # one of them may hold this fraction of what is left of that
PIECE_BYTES = 4096  # shorter pieces of a body are joined: each object costs more than the bytes of a short one
HEADER_OVERHEAD_BYTES = 200  # memory of a header besides its bytes: a tuple, two objects and an entry in the list


def memory_of_header(name: bytes, value: bytes) -> int:
    """Return the memory that one header takes with its objects, in bytes."""
    return len(name) + len(value) + HEADER_OVERHEAD_BYTES


class Budget:
    """Memory budget of all bodies, in bytes.

    A body's share is a fraction of the free memory, so a few long bodies get much and many get little. This needs no
    queue and no order among the bodies.
    """

    def __init__(self, memory_mb: int) -> None:
        self.used = 0
        self.responses_used = 0  # the part of it that servers' responses hold
        self._restricted_total: int | None = None
        self.resize(memory_mb, 1)

    def resize(self, memory_mb: int, processes: int) -> None:
        """Set the memory limit, and the number of processes that share it."""
        self._configured_total = max(1, memory_mb // processes - PROGRAM_MB) * (1 << 20) // MEMORY_OVERHEAD

    @property
    def total(self) -> int:
        """Number of bytes that may be held now."""
        if self._restricted_total is None:
            return self._configured_total
        return min(self._configured_total, self._restricted_total)

    def restrict(self, free_bytes: int | None) -> None:
        """Hold at most so many bytes more than now, as the process nears its memory limit; no restriction if None.

        `MIN_TOTAL_BYTES` may always be held, so that single requests are served.
        """
        if free_bytes is None:
            self._restricted_total = None
        else:
            self._restricted_total = max(MIN_TOTAL_BYTES, self.used + free_bytes // MEMORY_OVERHEAD)

    @property
    def is_spent(self) -> bool:
        """Whether more is held than the total allows, so that some connection has to give way."""
        return self.used > self.total + SPENT_SLACK_BYTES

    @property
    def excess(self) -> int:
        """Bytes to free once the budget is spent."""
        return self.used - self.total + self.total // RELIEF_DIVISOR

    def receive_buffer(self, connections: int) -> int:
        """Return the size of the kernel's receive buffer for a connection beside so many others, in bytes."""
        return receive_buffer_bytes(self.total // UNREAD_DIVISOR, connections)

    def take(self, size: int) -> None:
        """Record that `size` more bytes are held."""
        self.used += size

    def give(self, size: int) -> None:
        """Record that `size` bytes were released."""
        self.used -= size

    def take_response(self, size: int) -> None:
        """Record that a server's response holds `size` more bytes, or fewer if it is negative."""
        self.used += size
        self.responses_used += size

    def give_response(self, size: int) -> None:
        """Record that a server's response has released `size` bytes."""
        self.take_response(-size)

    @property
    def response_share(self) -> int:
        """Number of bytes that one server's response may hold now, with the memory of its headers."""
        free = self.total // RESPONSES_DIVISOR - self.responses_used
        return max(MIN_SHARE_BYTES, free // RESPONSE_SHARE_DIVISOR)

    @property
    def share(self) -> int:
        """Number of bytes that one body may hold now."""
        return min(MAX_SHARE_BYTES, max(MIN_SHARE_BYTES, (self.total - self.used) // SHARE_DIVISOR))


class Pieces:
    """Bytes of a body that is arriving, in order. Short pieces are joined, so that all are of about the same size."""

    __slots__ = ("_pieces", "_short", "size")

    def __init__(self) -> None:
        self._pieces: deque[bytes] = deque()
        self._short = bytearray()  # short pieces at the end, joined
        self.size = 0

    def append(self, data: bytes) -> None:
        """Append data."""
        self.size += len(data)
        if len(data) < PIECE_BYTES:
            self._short += data
            if len(self._short) >= PIECE_BYTES:
                self._close_short()
        else:
            self._close_short()
            self._pieces.append(data)

    def popleft(self) -> bytes:
        """Remove and return the first piece; empty if there is none."""
        if not self._pieces:
            self._close_short()
            if not self._pieces:
                return b""
        data = self._pieces.popleft()
        self.size -= len(data)
        return data

    def join(self) -> bytes:
        """Return all bytes."""
        self._close_short()
        return b"".join(self._pieces)

    def _close_short(self) -> None:
        """Append the joined short pieces as one piece."""
        if self._short:
            self._pieces.append(bytes(self._short))
            self._short = bytearray()


class Body:
    """A request body that is forwarded while it arrives. It can be sent only once: sent data is not kept."""

    __slots__ = ("_budget", "_pieces", "_on_drained", "length", "complete", "begun", "sink")

    def __init__(
        self, budget: Budget, length: int | None, on_drained: Callable[[], None], received: Pieces | None = None
    ) -> None:
        self._budget = budget
        self._pieces = received if received is not None else Pieces()  # what arrived before is charged from here on
        self._budget.take(self._pieces.size)
        self._on_drained = on_drained  # called after data was taken, so that more can be read
        self.length = length  # None with chunked transfer encoding
        self.complete = False
        self.begun = False  # some data has been taken
        self.sink: Callable[[], None] | None = None  # called when more data can be taken

    @property
    def held(self) -> int:
        """Number of bytes that were received and not taken."""
        return self._pieces.size

    def put(self, data: bytes) -> None:
        """Append received data."""
        self._pieces.append(data)
        self._budget.take(len(data))
        if self.sink is not None:
            self.sink()

    def finish(self) -> None:
        """Mark the body as received completely."""
        self.complete = True
        if self.sink is not None:
            self.sink()

    def take(self) -> bytes:
        """Return the next piece of data; empty if none is available."""
        data = self._pieces.popleft()
        if data:
            self.begun = True
            self._budget.give(len(data))
            self._on_drained()
        return data

    def drop(self) -> None:
        """Discard the rest of the body."""
        self.sink = None
        self._budget.give(self._pieces.size)
        self._pieces = Pieces()


class Source(Protocol):
    """Origin of a streamed response, which can be paused."""

    def pause(self) -> None:
        """Stop reading the response."""
        ...

    def resume(self) -> None:
        """Continue to read the response."""
        ...


class Sink(Protocol):
    """Destination of a streamed response."""

    def pass_on(self, data: bytes) -> int:
        """Forward a piece of the response; return the number of calls that its content costs."""
        ...
