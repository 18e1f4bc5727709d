"""Protocols between the core and a wire protocol: `Front` on the client side, `Backend` on the server side.

A wire protocol package implements both. `Q` is its request type and `R` its reply type; the core passes both on
without inspecting them. In the other direction, a backend reports the progress of an attempt to an
`AttemptObserver`, and a front calls `Core.take`, `Core.complete` and `Core.hangup`.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol, TypeVar

from rosechute.load_balancing.interface import Bounds, How, RequestClass
from rosechute.proxy.core.flow import Body, Sink, Source

Q = TypeVar("Q", bound="Front[Any]")
R = TypeVar("R")
Q_contra = TypeVar("Q_contra", contravariant=True)
R_co = TypeVar("R_co", covariant=True)
R_contra = TypeVar("R_contra", contravariant=True)
Load = Mapping[str, float]


class Ending(enum.Enum):
    """Final result of a request for the client. A front translates it into its own protocol."""

    SERVED = "served"  # with the server's reply
    REFUSED = "refused"  # the client may retry safely
    FAILED = "failed"  # a server may have run the request
    LATE = "late"  # failed, and the last attempt timed out
    BROKEN = "broken"  # failed because of an internal error
    REPEATED = "repeated"  # a request with the same id is open or recent
    GONE = "gone"  # the client has disconnected; no answer is sent


class RequestInfo(NamedTuple):
    """Properties of a request that a front has read and validated."""

    rid: bytes
    cls: int  # index of the class in the settings, -1 if they no longer contain it
    kind: RequestClass
    wait_ns: int  # client timeout, counted from when the request was sent
    cost_ns: int = 0
    tenant: int = 0  # index in the settings, -1 for an unlisted tenant
    key: str = ""
    retry: bool = False
    write: bool = False
    rule: Rule | None = None  # the operator's rule of the matching route, if any


class Front(Protocol[R_contra]):
    """One request and the way to answer it. The front calls `Core.hangup` when the client disconnects."""

    tid: str  # set by the core: id of the call
    complete: bool  # the last byte has been read
    came: float  # loop time at which it arrived
    stream: Body | None  # a body that is forwarded while it arrives

    def left(self) -> bool:
        """Check whether the client has disconnected without a notification yet; call `Core.hangup` if so."""

    def answer(self, ending: Ending, reply: R_contra | None = None, hold_off_ns: int = 0) -> None:
        """Send the final answer. A second one is ignored, as is one to a client that has disconnected.

        Args:
            ending: How the request ended.
            reply: The server's reply, with SERVED only.
            hold_off_ns: After REFUSED, the time after which the client may retry; 0 for none.
        """

    def begin(self, reply: R_contra, length: int | None, source: Source) -> bool:
        """Start an answer that is streamed from `source`; return whether the client is still connected."""

    def pass_on(self, data: bytes) -> int:
        """Send more data of a streamed answer; return the number of calls that its content costs."""

    def end(self, is_complete: bool) -> None:
        """End a streamed answer; the client can detect that it is incomplete."""


class Attempt(Source, Protocol):
    """One attempt in progress. Its outcome is reported exactly once."""

    def start(self) -> None:
        """Start the attempt; the outcome may be reported before this returns."""

    def cancel(self) -> None:
        """Stop waiting; the outcome shows whether the server may have run the request."""

    def withdraw(self) -> None:
        """Stop unless the request was sent completely: the answer is no longer needed."""


class AttemptObserver(Protocol[R_contra]):
    """Receiver of the progress of one attempt."""

    def wanted(self) -> bool:
        """Return whether the client still waits; called right before the first byte is written."""

    def wrote(self) -> None:
        """Record that the last byte of the request was written."""

    def rested(self) -> None:
        """Restart the latency measurement after a wait for a connection that the server did not cause."""

    def left_s(self) -> float:
        """Return the seconds until the attempt is abandoned, once the request is sent completely."""

    def wait_s(self) -> float:
        """Return the timeout in seconds that is sent to the server."""

    def begin(self, reply: R_contra, length: int | None, load: Load) -> Sink | None:
        """Start to stream a response; return its destination, or None if the client no longer wants it."""

    def outcome(self, how: How, reply: R_contra | None, load: Load) -> None:
        """Record the outcome of the attempt. Called exactly once."""


class ProbeCallback(Protocol):
    """Callback for the result of a probe."""

    def __call__(self, how: How, load: Load, /) -> None:
        """Report the result of a probe."""
        ...


class Backend(Protocol[Q_contra, R_co]):
    """All servers of one wire protocol and the connections to them."""

    def attempt(
        self, server: str, request: Q_contra, limit_s: float, observer: AttemptObserver[R_co]
    ) -> Attempt | None:
        """Return an attempt for the caller to start; None if the server was never listed as up.

        Args:
            server: Name of the server.
            request: The request to send.
            limit_s: Seconds until the attempt is abandoned; with a streamed body, until it has a connection.
            observer: Receiver of the attempt's progress.
        """

    def probe(self, server: str, limit_s: float, report_result: ProbeCallback) -> Attempt | None:
        """Return a health check of a server for the caller to start."""

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""


class Rule(Protocol):
    """The operator's settings for the requests that match one route."""

    @property
    def cls(self) -> str:
        """Name of the request class."""

    @property
    def bounds(self) -> Bounds | None:
        """Limits that the decision module applies; None for none."""

    @property
    def timeout_ns(self) -> int:
        """Longest duration of a request; 0 if only the limit of its class applies."""


class Routes(Protocol):
    """Look-up of the rule for a request."""

    def find(self, method: bytes, target: bytes, tenant: bytes | None, headers: Mapping[bytes, bytes]) -> Rule | None:
        """Return the rule of the most specific matching route; None if no route matches."""


class LimitDecision(NamedTuple):
    """A limiter's decision on one request."""

    state: str  # "go", "wait" or "refuse"
    hold_off_ns: int = 0  # with "refuse": the time until a request could be admitted
    bounds: Bounds | None = None  # with "go"


GO, WAIT, REFUSE = "go", "wait", "refuse"


class Limiter(Protocol):
    """Limits of routes and tenants, implemented in `rosechute.sidecar.request_limits`."""

    def asks(self, now: int, tid: str, info: RequestInfo) -> LimitDecision:
        """Decide on a new request."""

    def ended(self, now: int, tid: str, ending: str) -> list[tuple[str, Bounds | None]]:
        """Record the end of an admitted or queued request; return the queued requests that are now admitted.

        Args:
            now: Time in nanoseconds.
            tid: Id of the call.
            ending: "served", "refused", "failed" or "gone".
        """

    def released(self, now: int) -> list[tuple[str, Bounds | None]]:
        """Return queued requests that are admitted for another reason, such as raised limits."""
