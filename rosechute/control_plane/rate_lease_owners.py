"""Which edges may hold rate leases or no-lease promises, and which of these names are on the leader's disk.

Pure. A leader that knows every such edge need not wait for the leases of earlier terms to expire: once each of them
has reported in the new term, all leases that run are known. The names are persisted on the leader's own disk, and are
of use only to the machine that led last (`coordination.leader_lease`). What is persisted for a term says: only these
edges may hold leases of this term or of an earlier one. So while a set of names is being persisted, no edge outside
of it is granted anything; it is persisted first.

The names are first persisted when they are complete: at once where they came with the term, or else when all earlier
leases have expired. An edge that was not granted anything for longer than a lease lasts is left out of later sets.
"""

from __future__ import annotations

from .quota_policy import LEASE_EXPIRY_S, PRUNE_INTERVAL_S


class RateLeaseOwnerTracker:
    """The names in one term of this machine.

    Args:
        now: Steady time when the term began, in seconds.
        earlier: Edges that may hold leases of earlier terms; None where that is not known.
    """

    def __init__(self, now: float, earlier: frozenset[str] | None) -> None:
        self._earlier = earlier or frozenset()  # they will be in the first set
        self._unreported = earlier  # edges of earlier terms without a report in this one; None: not known
        self._is_complete = earlier is not None
        self._granted_at: dict[str, float] = dict.fromkeys(earlier or (), now)  # by edge: its last grant
        self._persisted: frozenset[str] | None = None  # synced
        self._pending: frozenset[str] | None = None  # being written
        self._unpersisted: set[str] = set()  # reported, and are in no set yet
        self._written_at = now

    @property
    def has_all_reported(self) -> bool:
        """Return whether every edge with leases of earlier terms is known to have reported in this one."""
        return self._unreported is not None and not self._unreported

    def on_report(self, edge: str) -> None:
        """Handle a report of this term: what the edge holds is known."""
        if self._unreported is not None:
            self._unreported -= {edge}

    def on_unusable_report(self) -> None:
        """Handle a report that could not be applied in full: earlier leases have to expire."""
        self._unreported = None

    def on_earlier_leases_known(self) -> None:
        """Handle that all leases of earlier terms have expired, or are known."""
        self._is_complete = True

    def try_grant(self, now: float, edge: str) -> bool:
        """Return whether leases may be granted to an edge now; where not, add it to the next set to persist."""
        sets = [names for names in (self._persisted, self._pending) if names is not None]
        if self._is_complete and any(edge not in names for names in sets or [self._earlier]):
            self._unpersisted.add(edge)
            return False
        self._granted_at[edge] = now
        return True

    def to_persist(self, now: float) -> frozenset[str] | None:
        """Return the names to write to the disk now, None for nothing; `on_persisted` tells that they are synced."""
        if not self._is_complete or self._pending is not None:
            return None
        live = {edge for edge, granted_at in self._granted_at.items() if self._is_live(now, edge, granted_at)}
        is_pruning_due = len(live) < len(self._granted_at) and now - self._written_at > PRUNE_INTERVAL_S
        if self._persisted is not None and not self._unpersisted and not is_pruning_due:
            return None
        self._granted_at = {edge: granted_at for edge, granted_at in self._granted_at.items() if edge in live}
        self._granted_at.update(dict.fromkeys(self._unpersisted, now))
        self._pending = frozenset(self._granted_at)
        self._written_at = now
        return self._pending

    def on_persisted(self, edges: frozenset[str]) -> None:
        """Handle that these names are synced."""
        if edges == self._pending:
            self._persisted, self._pending = edges, None
            self._unpersisted -= edges

    def _is_live(self, now: float, edge: str, granted_at: float) -> bool:
        """Return whether an edge may hold a lease."""
        return now - granted_at <= LEASE_EXPIRY_S or edge in (self._unreported or ())
