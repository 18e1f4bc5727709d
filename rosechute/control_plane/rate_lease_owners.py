"""Which edges may hold rate leases, or words about them, and which of these are known to the leader's disk.

Pure. A leader that knows every such edge need not wait for the leases of earlier terms to run out: once each of them
has reported in the new term, all that runs is known. The names are noted on the leader's own disk, and are of use to
the machine that led last only (`coordination.leader_lease`). What is noted for a term says: only these edges may hold
leases of this term or of an earlier one. So from the moment when a note is on its way to the disk, no edge outside of
it is granted anything; it is noted first.

A note is first made when the names are complete: at once where they came with the term, or else when all earlier
leases have run out. An edge that was not granted anything for longer than a lease lasts is left out of later notes.
"""

from __future__ import annotations

from rosechute.control_plane.rate_leases import LEASE_EXPIRY_S

PRUNE_INTERVAL_S = 10.0  # how often a note is made anew only to leave names out


class RateLeaseOwnerTracker:
    """The names of one term of this machine."""

    def __init__(self, now: float, earlier: frozenset[str] | None) -> None:
        self._earlier = earlier or frozenset()  # they will be in the first note
        self._unheard = earlier  # edges of earlier terms that have not reported in this one; None: not known
        self._complete = earlier is not None
        self._answered: dict[str, float] = dict.fromkeys(earlier or (), now)  # by edge: when it was granted last
        self._noted: frozenset[str] | None = None  # synced
        self._pending: frozenset[str] | None = None  # on its way to the disk
        self._wanted: set[str] = set()  # asked for leases and are not noted
        self._written_at = now

    @property
    def all_heard(self) -> bool:
        """Whether it is known that every edge with leases of earlier terms has reported in this one."""
        return self._unheard is not None and not self._unheard

    def heard(self, edge: str) -> None:
        """It has reported in this term: what it holds is known."""
        if self._unheard is not None:
            self._unheard -= {edge}

    def unknown(self) -> None:
        """A report could not be taken in whole: earlier leases have to run out."""
        self._unheard = None

    def complete(self) -> None:
        """All leases of earlier terms have run out, or are known."""
        self._complete = True

    def may_grant(self, now: float, edge: str) -> bool:
        """Whether leases may be granted there now. One that is not noted is, with the next note."""
        notes = [note for note in (self._noted, self._pending) if note is not None]
        if self._complete and any(edge not in note for note in notes or [self._earlier]):
            self._wanted.add(edge)
            return False
        self._answered[edge] = now
        return True

    def to_note(self, now: float) -> frozenset[str] | None:
        """The names to be written to the disk now; None for nothing. `noted` tells that they are synced."""
        if not self._complete or self._pending is not None:
            return None
        live = {
            edge for edge, at in self._answered.items() if now - at <= LEASE_EXPIRY_S or edge in (self._unheard or ())
        }
        tidy = len(live) < len(self._answered) and now - self._written_at > PRUNE_INTERVAL_S
        if self._noted is not None and not self._wanted and not tidy:
            return None
        self._answered = {edge: at for edge, at in self._answered.items() if edge in live}
        self._answered.update(dict.fromkeys(self._wanted, now))
        self._wanted.clear()
        self._pending = frozenset(self._answered)
        self._written_at = now
        return self._pending

    def noted(self, edges: frozenset[str]) -> None:
        """These names are synced."""
        if edges == self._pending:
            self._noted, self._pending = edges, None
            self._wanted -= edges
