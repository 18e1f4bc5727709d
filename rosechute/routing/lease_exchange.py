"""What an edge and the leader tell each other about a rate lease: the edge's report, the leader's grant.

Rates are tokens a second, depths and stores tokens, times seconds. On the link times are whole milliseconds, rounded
so that neither side believes in more than the other: what an edge still holds up, everything that is granted down.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rosechute.messages import distribution_pb2 as pb


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """What an edge holds for a tenant as it sends this, and what its requests demand."""

    tenant: str
    rate: float  # the full one
    depth: float
    remaining_s: float
    stored: float
    demand: float  # tokens a second, requests that were refused too
    request_mean: float  # tokens
    bare_s: float = 0.0  # nothing is leased to anybody for so long, as the leader told

    def message(self) -> pb.RateLease:
        """As it is sent."""
        return pb.RateLease(
            tenant=self.tenant,
            rate=self.rate,
            depth=self.depth,
            stored=self.stored,
            demand=self.demand,
            request_mean=self.request_mean,
            lifetime_ms=math.ceil(self.remaining_s * 1000.0),
            bare_ms=milliseconds(self.bare_s),
        )

    @staticmethod
    def of(held: pb.RateLease) -> LeaseReport:
        """As it was sent."""
        return LeaseReport(
            held.tenant,
            held.rate,
            held.depth,
            held.lifetime_ms / 1000.0,
            held.stored,
            held.demand,
            held.request_mean,
            held.bare_ms / 1000.0,
        )


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The leader's answer for one tenant: what the edge holds from now on. Times count from when the report was sent.

    The deposit goes to the edge's store, from the leader's bucket, unless it is void by then.
    """

    tenant: str
    rate: float
    depth: float
    full_s: float  # at the full rate
    late_share: float  # of the rate, from then on
    lifetime_s: float
    deposit: int = 0
    deposit_s: float = 0.0  # the deposit is void after this
    bare_s: float = 0.0  # nothing is leased to anybody for so long

    def message(self) -> pb.RateLease:
        """As it is sent."""
        return pb.RateLease(
            tenant=self.tenant,
            rate=self.rate,
            depth=self.depth,
            full_ms=milliseconds(self.full_s),
            late_share=self.late_share,
            lifetime_ms=milliseconds(self.lifetime_s),
            deposit=self.deposit,
            deposit_ms=milliseconds(self.deposit_s),
            bare_ms=milliseconds(self.bare_s),
        )

    @staticmethod
    def of(granted: pb.RateLease) -> LeaseGrant:
        """As it was sent."""
        return LeaseGrant(
            granted.tenant,
            granted.rate,
            granted.depth,
            granted.full_ms / 1000.0,
            granted.late_share,
            granted.lifetime_ms / 1000.0,
            granted.deposit,
            granted.deposit_ms / 1000.0,
            granted.bare_ms / 1000.0,
        )


def milliseconds(seconds: float) -> int:
    """Whole milliseconds, rounded down."""
    return int(seconds * 1000.0)
