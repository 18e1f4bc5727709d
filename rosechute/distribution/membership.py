"""Leases of the edges at the leader: who lives, in which zone, since which start."""

from __future__ import annotations

from dataclasses import dataclass

MEMBERSHIP_LEASE_S = 2.0
RENEW_INTERVAL_S = 0.4
MEMBERSHIP_GRACE_S = 1.0  # a new leader does not know yet who lives


@dataclass(frozen=True, slots=True)
class EdgeIdentity:
    """One edge as others know it."""

    name: str
    zone: str
    address: str  # of its link, host:port


@dataclass(slots=True)
class Member:
    """An edge under lease."""

    edge: EdgeIdentity
    boot: int
    leaving: bool
    until: float


class Membership:
    """The edges under lease at one leader, for one term."""

    def __init__(self, now: float) -> None:
        self._members: dict[str, Member] = {}
        self._revisions: dict[str, int] = {}  # by zone
        self._settled_at = now + MEMBERSHIP_GRACE_S

    def settled(self, now: float) -> bool:
        """Whether every living edge has had the time to renew."""
        return now >= self._settled_at

    def renew(self, now: float, edge: EdgeIdentity, boot: int, leaving: bool) -> bool:
        """Take or renew a lease; True where the edge started anew, or is new here."""
        old = self._members.get(edge.name)
        self._members[edge.name] = Member(edge, boot, leaving, now + MEMBERSHIP_LEASE_S)
        if old is None or old.edge != edge or old.leaving != leaving:
            self._changed(edge.zone)
            if old is not None and old.edge.zone != edge.zone:
                self._changed(old.edge.zone)
        return old is None or old.boot != boot

    def expire(self, now: float) -> list[str]:
        """End the leases that were not renewed; the names of those edges."""
        gone = [member for member in self._members.values() if member.until <= now]
        for member in gone:
            del self._members[member.edge.name]
            self._changed(member.edge.zone)
        return [member.edge.name for member in gone]

    def next_expiry(self) -> float | None:
        """When the next lease ends."""
        return min((member.until for member in self._members.values()), default=None)

    def total(self, now: float) -> int:
        """Living edges; 0 while that is not known."""
        return len(self._members) if self.settled(now) else 0

    def names(self) -> list[str]:
        """Every living edge."""
        return list(self._members)

    def zones(self) -> dict[str, list[str]]:
        """By zone, the edges that may be homes."""
        zones: dict[str, list[str]] = {}
        for member in self._members.values():
            if not member.leaving:
                zones.setdefault(member.edge.zone, []).append(member.edge.name)
        return zones

    def revision(self, zone: str) -> int:
        """Grows with each change of a zone's edges."""
        return self._revisions.get(zone, 0)

    def zone_edges(self, zone: str) -> list[EdgeIdentity]:
        """The edges of a zone that may be homes."""
        return [member.edge for member in self._members.values() if member.edge.zone == zone and not member.leaving]

    def _changed(self, zone: str) -> None:
        self._revisions[zone] = self._revisions.get(zone, 0) + 1
