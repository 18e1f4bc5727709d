"""What the core needs of its two sides, as typed protocols: `Front`, who asks, and `Backend`, who serves.

A wire package brings an implementation of either. `Q` is its request and `R` its reply; the core hands both
on without looking into them. The core's own ends of the same lines are `Watch`, which a backend tells what
becomes of an attempt, and `Core.take`, `Core.complete` and `Core.hangup`, which a front calls.
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
    """How a request ends towards whoever asked. A front words it in its own protocol."""

    SERVED = "served"  # with a server's own reply
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"  # no promise about effects
    LATE = "late"  # failed, and the last thing known is that a server said nothing
    BROKEN = "broken"  # failed by an error of this program's
    REPEATED = "repeated"  # the same request is open or was lately
    GONE = "gone"  # whoever asked has left; nothing is said


class Asked(NamedTuple):
    """A request as a front has read it, ready to be taken."""

    rid: bytes
    cls: int  # its place in the settings, -1 where they no longer name it so
    kind: RequestClass
    wait_ns: int  # for how long the client waits, from when it sent the request
    cost_ns: int = 0
    tenant: int = 0  # its place in the settings, -1 for one they do not name
    key: str = ""
    retry: bool = False
    write: bool = False
    rule: Rule | None = None  # of the operators', where one matches


class Front(Protocol[R_contra]):
    """One request, and the way back to whoever asked. Its wire calls `Core.hangup` when that one leaves."""

    tid: str  # for the core: which call this became
    complete: bool  # its last byte has come
    came: float  # when, by the loop's clock
    stream: Body | None  # a body that goes out as it comes in

    def left(self) -> bool:
        """Look whether whoever asked has left, where that may not have shown yet; `Core.hangup` is called if so."""

    def answer(self, ending: Ending, reply: R_contra | None = None, hold_off_ns: int = 0) -> None:
        """Give the final answer. A second one is ignored, as is one to a client that has left.

        `reply` comes with SERVED alone; `hold_off_ns` above 0 tells when to return after REFUSED.
        """

    def begin(self, reply: R_contra, length: int | None, source: Source) -> bool:
        """Begin an answer that is passed on as it comes; whether there is somebody for it."""

    def pass_on(self, data: bytes) -> None:
        """Some more of it."""

    def end(self, whole: bool) -> None:
        """No more of it; if it is not whole, the client gets to see that."""


class Attempt(Source, Protocol):
    """One attempt that is under way. Its outcome is told once, whatever ends it."""

    def start(self) -> None:
        """Begin; the outcome may be told before this returns."""

    def cancel(self) -> None:
        """Stop waiting; the outcome says whether it may have run."""

    def withdraw(self) -> None:
        """Stop, unless the last byte is written: nobody wants the answer of one that was not sent yet."""


class Watch(Protocol[R_contra]):
    """The core's end of one attempt."""

    def wanted(self) -> bool:
        """Whether somebody still waits for this; to be asked right before the first byte is written."""

    def wrote(self) -> None:
        """The last byte of the request is written."""

    def rested(self) -> None:
        """The request has waited for its connection, for no cause of the server's: its time counts from here."""

    def left_s(self) -> float:
        """Seconds until the attempt is given up, once all is written."""

    def wait_s(self) -> float:
        """Seconds that the server may be told: how long its answer is waited for."""

    def begin(self, reply: R_contra, length: int | None, load: Load) -> Sink | None:
        """A long answer has begun; where it goes, or None where nobody wants it."""

    def outcome(self, how: How, reply: R_contra | None, load: Load) -> None:
        """The one outcome."""


class Echoed(Protocol):
    """What a probe's result is told to."""

    def __call__(self, how: How, load: Load, /) -> None: ...


class Backend(Protocol[Q_contra, R_co]):
    """All servers of one wire, and the connections to them."""

    def attempt(self, server: str, request: Q_contra, limit_s: float, watch: Watch[R_co]) -> Attempt | None:
        """An attempt, to be started by the caller; None if the list never named the server as up.

        `limit_s` is the time until it is given up; for a body apart, until it has a connection.
        """

    def probe(self, server: str, limit_s: float, echoed: Echoed) -> Attempt | None:
        """A check of one server, to be started by the caller."""

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""


class Rule(Protocol):
    """What operators have set for the requests that one route matches."""

    @property
    def cls(self) -> str:
        """The name of its requests' class."""

    @property
    def bounds(self) -> Bounds | None:
        """What the module has to keep within."""

    @property
    def timeout_ns(self) -> int:
        """The longest that one may take; 0 for no limit but its class's."""


class Routes(Protocol):
    """Which rule a request is under."""

    def find(self, method: bytes, target: bytes, tenant: bytes | None, headers: Mapping[bytes, bytes]) -> Rule | None:
        """The rule of the most specific route that matches; None where none does."""


class Verdict(NamedTuple):
    """What a limiter says of one request."""

    state: str  # "go", "wait" or "refuse"
    hold_off_ns: int = 0  # with "refuse": when the next one could pass
    bounds: Bounds | None = None  # with "go"


GO, WAIT, REFUSE = "go", "wait", "refuse"


class Limiter(Protocol):
    """Limits of routes and tenants: clock and calls in, verdicts out. See `rosechute.sidecar.request_limits`."""

    def asks(self, now: int, tid: str, asked: Asked) -> Verdict:
        """A request has come."""

    def ended(self, now: int, tid: str, ending: str) -> list[tuple[str, Bounds | None]]:
        """A request has ended, whether it went or waited, "served", "refused", "failed" or "gone"; which of
        those that wait may go now."""

    def released(self, now: int) -> list[tuple[str, Bounds | None]]:
        """Which of those that wait may go for another reason, such as limits that were raised."""
