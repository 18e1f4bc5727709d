"""The edges that may own rate leases or no-lease promises, and the part of this set that a majority has stored.

This module does no I/O. A leader that knows all such edges need not wait for the leases of earlier terms to expire:
once each of these edges has reported in the new term, all leases in force are known. So each leader has a majority
store the names for its successor (`coordination.owner_replication`). The statement stored for a term is either that
only the named edges may own leases of this or an earlier term, or that any edge may.

No lease is granted before the first statement of the term is stored. While a further statement is being stored,
leases are granted only to edges that both statements include; an edge that neither includes is added to the next one.
A leader that does not know the owners of earlier leases states that any edge may own one, until these leases have
expired. An edge that has not been granted a lease for longer than the lease duration is left out of later statements;
an edge that has released its leases on shutdown is left out immediately.
"""

from __future__ import annotations

from dataclasses import dataclass

from .quota_policy import LEASE_EXPIRY_S, PRUNE_INTERVAL_S


@dataclass(frozen=True, slots=True)
class OwnerStatement:
    """The edges that may own rate leases; None means any edge."""

    edges: frozenset[str] | None

    def includes(self, edge: str) -> bool:
        """Return whether an edge may own a rate lease."""
        return self.edges is None or edge in self.edges


ANY_EDGE = OwnerStatement(None)


class RateLeaseOwnerTracker:
    """Tracker of the possible owners of rate leases in one term of this machine as the leader.

    Args:
        now: Monotonic time of the start of the term in seconds.
        earlier: Edges that may own leases of earlier terms; None if unknown.
    """

    def __init__(self, now: float, earlier: frozenset[str] | None) -> None:
        self._unreported = earlier  # owners of earlier terms that have not reported in this one; None if unknown
        self._is_complete = earlier is not None
        self._granted_at: dict[str, float] = dict.fromkeys(earlier or (), now)  # time of the last grant by edge
        self._persisted: OwnerStatement | None = None  # stored by a majority
        self._pending: OwnerStatement | None = None  # being stored
        self._unpersisted: set[str] = set()  # edges that have reported and are in no statement yet
        self._has_released = False  # an edge in the newest statement has released its leases
        self._stated_at = now

    @property
    def has_all_reported(self) -> bool:
        """Return whether all owners of leases of earlier terms are known and have reported in this one."""
        return self._unreported is not None and not self._unreported

    def on_report(self, edge: str) -> None:
        """Handle a report of this term: the leases of the edge are now known."""
        if self._unreported is not None:
            self._unreported -= {edge}

    def on_released(self, edge: str) -> None:
        """Handle the release of all leases of an edge: the next statement leaves the edge out."""
        self.on_report(edge)
        self._unpersisted.discard(edge)
        if self._granted_at.pop(edge, None) is not None:
            self._has_released = True

    def on_unusable_report(self) -> None:
        """Handle a report that could not be fully applied: the leader has to wait for earlier leases to expire."""
        self._unreported = None

    def on_earlier_leases_known(self) -> None:
        """Handle that all leases of earlier terms have expired or are known."""
        self._is_complete = True

    def try_grant(self, now: float, edge: str) -> bool:
        """Return whether an edge may be granted leases now; if not, add the edge to the next statement."""
        in_force = [statement for statement in (self._persisted, self._pending) if statement is not None]
        if self._persisted is not None and all(statement.includes(edge) for statement in in_force):
            self._granted_at[edge] = now
            return True
        if self._is_complete and not self._is_stated(edge):
            self._unpersisted.add(edge)
        return False

    def to_persist(self, now: float) -> OwnerStatement | None:
        """Return the statement to store now, None if there is none; `on_persisted` confirms that it is stored."""
        if self._pending is not None:
            return None
        if not self._is_complete:
            self._pending = ANY_EDGE if self._persisted is None else None
            return self._pending
        live = {edge for edge, granted_at in self._granted_at.items() if self._is_live(now, edge, granted_at)}
        is_pruning_due = len(live) < len(self._granted_at) and now - self._stated_at > PRUNE_INTERVAL_S
        is_stated = self._persisted is not None and self._persisted != ANY_EDGE
        if is_stated and not self._unpersisted and not self._has_released and not is_pruning_due:
            return None
        self._granted_at = {edge: granted_at for edge, granted_at in self._granted_at.items() if edge in live}
        self._granted_at.update(dict.fromkeys(self._unpersisted, now))
        self._pending = OwnerStatement(frozenset(self._granted_at))
        self._stated_at = now
        self._has_released = False
        return self._pending

    def on_persisted(self, statement: OwnerStatement) -> None:
        """Handle the storage of a statement by a majority."""
        if statement == self._pending:
            self._persisted, self._pending = statement, None
            self._unpersisted -= statement.edges or frozenset()

    def _is_stated(self, edge: str) -> bool:
        """Return whether the newest statement, or the first one if none has been made yet, includes an edge."""
        newest = self._pending or self._persisted
        return edge in self._granted_at if newest is None else newest.includes(edge)

    def _is_live(self, now: float, edge: str, granted_at: float) -> bool:
        """Return whether an edge may own a lease."""
        return now - granted_at <= LEASE_EXPIRY_S or edge in (self._unreported or ())
