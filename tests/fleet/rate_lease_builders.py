"""Test helpers that store the owners of rate leases without a delay."""

from __future__ import annotations

from rosechute.control_plane.quota_allocator import QuotaAllocator
from rosechute.control_plane.rate_lease_owners import RateLeaseOwnerTracker


def store_owners(leader: QuotaAllocator | RateLeaseOwnerTracker, now: float) -> frozenset[str] | None:
    """Store the leader's next statement; return its edges, None for any edge or if there is no statement."""
    if isinstance(leader, QuotaAllocator):
        statement = leader.rate_lease_owners_to_persist(now)
        stored = leader.rate_lease_owners_persisted
    else:
        statement, stored = leader.to_persist(now), leader.on_persisted
    if statement is None:
        return None
    stored(statement)
    return statement.edges


def owners_stored(now: float, *edges: str) -> RateLeaseOwnerTracker:
    """Return a tracker for a term in which these edges are stored and all earlier leases are known."""
    tracker = RateLeaseOwnerTracker(now, None)
    tracker.on_earlier_leases_known()
    for edge in edges:
        tracker.try_grant(now, edge)
    store_owners(tracker, now)
    return tracker
