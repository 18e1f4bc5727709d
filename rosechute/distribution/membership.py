"""Membership leases of the edges at the leader: which edges are alive, in which zone, and their incarnations."""

from __future__ import annotations

from dataclasses import dataclass

MEMBERSHIP_LEASE_S = 2.0  # five renewal intervals: a few lost messages do not end a membership
RENEW_INTERVAL_S = 0.4
MEMBERSHIP_GRACE_S = 1.0  # time after an election for every living edge to find the leader and renew


@dataclass(frozen=True, slots=True)
class EdgeIdentity:
    """One edge as other processes know it."""

    name: str
    zone: str
    address: str  # link address, host:port


@dataclass(slots=True)
class Member:
    """An edge with a membership lease."""

    edge: EdgeIdentity
    incarnation: int  # random number drawn at the start of the process
    is_leaving: bool  # shutting down: still counted, but no longer a home
    expires_at: float


class Membership:
    """The edges with a lease at one leader, for one term."""

    def __init__(self, now: float) -> None:
        self._members: dict[str, Member] = {}
        self._revisions: dict[str, int] = {}  # revision of the edges by zone
        self._complete_at = now + MEMBERSHIP_GRACE_S

    def is_complete(self, now: float) -> bool:
        """Return whether every living edge has had the time to renew since the election."""
        return now >= self._complete_at

    def renew(self, now: float, edge: EdgeIdentity, incarnation: int, *, is_leaving: bool) -> bool:
        """Grant or renew a lease; return whether the edge is new here or was restarted."""
        old = self._members.get(edge.name)
        self._members[edge.name] = Member(edge, incarnation, is_leaving, now + MEMBERSHIP_LEASE_S)
        if old is None or old.edge != edge or old.is_leaving != is_leaving:
            self._increment_revision(edge.zone)
            if old is not None and old.edge.zone != edge.zone:
                self._increment_revision(old.edge.zone)
        return old is None or old.incarnation != incarnation

    def expire(self, now: float) -> list[str]:
        """Remove the edges whose lease has ended; return their names."""
        expired = [member for member in self._members.values() if member.expires_at <= now]
        for member in expired:
            del self._members[member.edge.name]
            self._increment_revision(member.edge.zone)
        return [member.edge.name for member in expired]

    def next_expiry(self) -> float | None:
        """Return when the next lease ends, or None."""
        return min((member.expires_at for member in self._members.values()), default=None)

    def total(self, now: float) -> int:
        """Return the number of living edges; 0 while it is not known."""
        return len(self._members) if self.is_complete(now) else 0

    def names(self) -> list[str]:
        """Return the names of all living edges."""
        return list(self._members)

    def home_candidates(self) -> dict[str, list[str]]:
        """Return the names of the edges that may be homes, by zone."""
        zones: dict[str, list[str]] = {}
        for member in self._members.values():
            if not member.is_leaving:
                zones.setdefault(member.edge.zone, []).append(member.edge.name)
        return zones

    def revision(self, zone: str) -> int:
        """Return the revision of a zone's edges; it grows with each change."""
        return self._revisions.get(zone, 0)

    def zone_edges(self, zone: str) -> list[EdgeIdentity]:
        """Return the edges of a zone that may be homes."""
        members = self._members.values()
        return [member.edge for member in members if member.edge.zone == zone and not member.is_leaving]

    def _increment_revision(self, zone: str) -> None:
        self._revisions[zone] = self._revisions.get(zone, 0) + 1
