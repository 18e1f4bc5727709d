"""Messages about rate leases: the report of an edge and the grant of the leader.

Rates are in tokens per second, depths and levels in tokens, times in seconds. On the wire, times are whole
milliseconds, rounded so that neither side assumes a longer lease than the other: reported remaining times are rounded
up, granted times down.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rosechute.messages import distribution_pb2 as pb

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """The lease of a tenant at an edge when the report is sent, and the demand of its requests.

    Args:
        tenant: Name of the tenant.
        rate: Full rate of the lease; 0 without a lease.
        depth: Depth of the lease's token bucket.
        remaining_s: Time until the lease expires.
        level: Tokens in the bucket.
        demand: Tokens per second of all requests, including rejected ones.
        mean_request_tokens: Mean request size in tokens.
        no_lease_s: Time for which a leader has promised to grant no lease to any edge.
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
        """Return this report as a protobuf message."""
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
        """Return the report in a protobuf message."""
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
    """The lease that the leader grants for one tenant. Times count from when the report was sent.

    Args:
        tenant: Name of the tenant.
        rate: Full rate of the lease; 0 for none.
        depth: Depth of the lease's token bucket.
        full_rate_s: Time for which the full rate applies.
        late_rate_share: Share of the rate that applies after that time.
        lifetime_s: Time until the lease expires.
        deposit: Tokens that are moved from the leader's bucket to that of the lease.
        deposit_lifetime_s: Time after which a deposit that arrives is ignored.
        no_lease_s: Time for which the leader grants no lease to any edge.
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
        """Return this grant as a protobuf message."""
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
        """Return the grant in a protobuf message."""
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
    """Return a duration in whole milliseconds, rounded down."""
    return int(seconds * MS_PER_S)
