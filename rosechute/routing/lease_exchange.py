"""What an edge and the leader exchange about a rate lease: the edge's report, the leader's grant.

Rates are tokens a second, depths and levels tokens, times seconds. On the wire times are whole milliseconds, rounded
so that neither side relies on more than the other: what an edge still holds up, everything that is granted down.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rosechute.messages import distribution_pb2 as pb

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """What an edge holds for a tenant as it sends this, and what its requests demand.

    Args:
        tenant: Name of the tenant.
        rate: Full rate of the lease; 0 where none is held.
        depth: Depth of the lease's token bucket.
        remaining_s: Until the lease expires.
        level: Tokens in the bucket.
        demand: Tokens a second of all requests, rejected ones too.
        mean_request_tokens: Mean request size.
        no_lease_s: For this time nothing is leased to any edge, as a leader promised.
    """

    tenant: str
    rate: float
    depth: float
    remaining_s: float
    level: float
    demand: float
    mean_request_tokens: float
    no_lease_s: float = 0.0

    def to_message(self) -> pb.RateLease:
        """Return the message that carries this report."""
        return pb.RateLease(
            tenant=self.tenant,
            rate=self.rate,
            depth=self.depth,
            stored=self.level,
            demand=self.demand,
            mean_request_tokens=self.mean_request_tokens,
            lifetime_ms=math.ceil(self.remaining_s * MS_PER_S),
            no_lease_ms=to_milliseconds(self.no_lease_s),
        )

    @staticmethod
    def from_message(message: pb.RateLease) -> LeaseReport:
        """Return the report that a message carries."""
        return LeaseReport(
            message.tenant,
            rate=message.rate,
            depth=message.depth,
            remaining_s=message.lifetime_ms / MS_PER_S,
            level=message.stored,
            demand=message.demand,
            mean_request_tokens=message.mean_request_tokens,
            no_lease_s=message.no_lease_ms / MS_PER_S,
        )


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The leader's answer for one tenant: what the edge holds from now on. Times count from when the report was sent.

    Args:
        tenant: Name of the tenant.
        rate: Full rate of the lease; 0 for none.
        depth: Depth of the lease's token bucket.
        full_rate_s: The full rate holds for this time.
        late_rate_share: Share of the rate that holds from then on.
        lifetime_s: Until the lease expires.
        deposit: Tokens that go from the leader's bucket to the lease's.
        deposit_lifetime_s: A deposit that arrives later than this is void.
        no_lease_s: For this time nothing is leased to any edge.
    """

    tenant: str
    rate: float
    depth: float
    full_rate_s: float
    late_rate_share: float
    lifetime_s: float
    deposit: int = 0
    deposit_lifetime_s: float = 0.0
    no_lease_s: float = 0.0

    def to_message(self) -> pb.RateLease:
        """Return the message that carries this grant."""
        return pb.RateLease(
            tenant=self.tenant,
            rate=self.rate,
            depth=self.depth,
            full_rate_ms=to_milliseconds(self.full_rate_s),
            late_rate_share=self.late_rate_share,
            lifetime_ms=to_milliseconds(self.lifetime_s),
            deposit=self.deposit,
            deposit_lifetime_ms=to_milliseconds(self.deposit_lifetime_s),
            no_lease_ms=to_milliseconds(self.no_lease_s),
        )

    @staticmethod
    def from_message(message: pb.RateLease) -> LeaseGrant:
        """Return the grant that a message carries."""
        return LeaseGrant(
            message.tenant,
            rate=message.rate,
            depth=message.depth,
            full_rate_s=message.full_rate_ms / MS_PER_S,
            late_rate_share=message.late_rate_share,
            lifetime_s=message.lifetime_ms / MS_PER_S,
            deposit=message.deposit,
            deposit_lifetime_s=message.deposit_lifetime_ms / MS_PER_S,
            no_lease_s=message.no_lease_ms / MS_PER_S,
        )


def to_milliseconds(seconds: float) -> int:
    """Return whole milliseconds, rounded down."""
    return int(seconds * MS_PER_S)
