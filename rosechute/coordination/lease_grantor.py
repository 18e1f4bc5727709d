"""Grants of the leader lease by this acceptor (leases: Gray & Cheriton, 1989).

A grant binds the grantor for the length of one lease on its steady clock. A grantor binds itself to one machine at a
time, grants within one epoch only, and grants nothing once that epoch is sealed.

Restart: a grantor does not know for how long its last grant runs, but its disk tells who received it, since the
grantee is synced before the first grant to it. Only that machine may be granted the lease at once; others wait for
the length of one lease. A machine that has just become an acceptor knows of no grants at all, so every machine has to
wait. If its first grant is a renewal, the grantee is written with the next record, without a sync of its own: nothing
depends on it, and the sync would delay writes.

A grant for a new term carries the newest statement on the owners of rate leases that the grantor has stored. While a
grantor is bound to one process, it stores no statement of another (`owner_replication`).
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from rosechute.coordination.context import Context
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import LeaderTerm
from rosechute.messages import coordination_pb2 as pb


class _SyncedTerm(NamedTuple):
    """Newest term that this process has synced, and the number of the term before it."""

    term: LeaderTerm
    previous_number: int


@dataclass(slots=True)
class LeaseGrantor:
    """Grantor of the leader lease at this machine.

    Attributes:
        context: what the parts of a replica share.
        abstain_until: until then only `restored_grantee` is granted the lease, as older grants may still run.
        granted_term: term and process that hold the current grant.
        granted_until: end of the current grant on this machine's clock, in seconds.
        restored_grantee: machine to which the previous process of this machine granted the lease; may be empty.
    """

    context: Context
    abstain_until: float
    granted_term: LeaderTerm = LeaderTerm()
    granted_until: float = 0.0
    restored_grantee: str = ""
    _synced: _SyncedTerm = _SyncedTerm(LeaderTerm(), 0)
    _record_number: int = 0  # number of the newest record with a term or a grantee

    def is_free(self) -> bool:
        """Return whether any machine could be granted the lease now."""
        context = self.context
        is_bound = context.now < max(self.granted_until, self.abstain_until)
        return context.is_acceptor and context.is_epoch_adopted and not is_bound

    def reserved_for(self) -> str:
        """Return the id of the only machine that could be granted the lease now; empty for none, or for any."""
        context = self.context
        if not context.is_acceptor or not context.is_epoch_adopted:
            return ""
        if context.now < self.granted_until:
            return self.granted_term.holder
        return self.restored_grantee if context.now < self.abstain_until else ""

    def is_bound_to_another(self, term: int) -> bool:
        """Return whether a grant of another leader term than this one may still run."""
        now = self.context.now
        return self.granted_term.number != term if now < self.granted_until else now < self.abstain_until

    def abstain(self) -> None:
        """Grant nothing for the length of one lease, as grants may run elsewhere that this machine does not know."""
        self.restored_grantee = ""
        self.context.record_writer.defer(None)  # a deferred grantee of an older view says nothing of this one
        self.abstain_until = max(self.abstain_until, self.context.now + self.context.timing.lease_s)

    def on_request(self, sender: MachineIdentity, incarnation: int, request: pb.LeaseRequest) -> None:
        """Grant or renew the lease for a candidate or leader, once what the grant depends on is synced."""
        context = self.context
        requested = LeaderTerm(request.term, sender.id, incarnation, request.replicates_owners)
        if not self._may_grant(sender, request, requested):
            return
        self.granted_term, self.granted_until = requested, context.now + context.timing.lease_s
        if context.replica_state.grantee != sender.id:
            self._save_grantee(sender, request)
        if not request.renewal and requested != context.replica_state.term:
            self._synced = _SyncedTerm(requested, context.replica_state.term.number)
            self._write_record(pb.Record(term=requested.to_message()))
        context.record_writer.call_when_synced(self._record_number, partial(self._grant, sender, request, requested))

    def _save_grantee(self, sender: MachineIdentity, request: pb.LeaseRequest) -> None:
        replica_state, writer = self.context.replica_state, self.context.record_writer
        record = pb.Record(grantee=pb.GranteeRecord(holder=sender.id, number=replica_state.grantee_number + 1))
        if request.renewal and not replica_state.grantee:
            writer.defer(record)
        else:
            self._write_record(record)

    def _write_record(self, record: pb.Record) -> None:
        self.context.record_writer.write(record)
        self._record_number = self.context.record_writer.last_number

    def on_release(self, sender: MachineIdentity, incarnation: int, release: pb.LeaseRelease) -> None:
        """End the grant of a process that releases it, so that others can be granted the lease at once."""
        granted = self.granted_term
        if (granted.number, granted.holder, granted.incarnation) == (release.term, sender.id, incarnation):
            self.granted_term, self.granted_until = LeaderTerm(), min(self.granted_until, self.context.now)
            self.context.heartbeat_due = True

    def _may_grant(self, sender: MachineIdentity, request: pb.LeaseRequest, requested: LeaderTerm) -> bool:
        context, replica_state = self.context, self.context.replica_state
        if request.epoch != replica_state.view.epoch or not context.is_acceptor or not context.is_epoch_adopted:
            return False
        if context.now < self.abstain_until and sender.id != self.restored_grantee:
            return False
        if not context.failure_detector.is_reachable(context.now, sender.id):
            return False
        if context.now < self.granted_until and self.granted_term.holder != sender.id:
            return False
        # A term is gained once, by a majority that has synced it for one process; a renewal gains no term.
        return request.renewal or requested == replica_state.term or requested.number > replica_state.term.number

    def _grant(self, sender: MachineIdentity, request: pb.LeaseRequest, requested: LeaderTerm) -> None:
        """Send the grant, unless the epoch or the grantee has changed while its records were synced."""
        context = self.context
        if not context.is_epoch_adopted or context.replica_state.view.epoch != request.epoch:
            return
        if self.granted_term != requested or not (request.renewal or context.replica_state.term == requested):
            return
        self.granted_until = context.now + context.timing.lease_s
        grant = pb.LeaseGrant(
            epoch=request.epoch,
            term=request.term,
            stamp=request.stamp,
            boot=requested.incarnation,
            previous=self._synced.previous_number if self._synced.term == requested else request.term,
        )
        if not request.renewal:
            grant.rate_lease_owners.CopyFrom(context.replica_state.newest_rate_lease_owners().to_message())
        context.outbox.send(sender, pb.CoreMessage(lease_grant=grant))


def count_available_grantors(context: Context, grantor: LeaseGrantor) -> int:
    """Return how many acceptors would grant this machine the lease, by their newest heartbeats.

    Args:
        context: what the parts of the replica share.
        grantor: the grantor of this machine.
    """
    return sum(_is_available(context, grantor, acceptor) for acceptor in context.replica_state.view.acceptors)


def _is_available(context: Context, grantor: LeaseGrantor, acceptor: MachineIdentity) -> bool:
    """Return whether one acceptor would grant this machine the lease."""
    if acceptor.id == context.own.id:
        return grantor.is_free() or grantor.reserved_for() == context.own.id
    peer = context.failure_detector.peers.get(acceptor.id)
    if peer is None or not context.failure_detector.is_reachable(context.now, acceptor.id):
        return False
    if peer.heartbeat.epoch != context.replica_state.view.epoch:
        return False
    return peer.heartbeat.lease_free or peer.heartbeat.lease_kept_for == context.own.id
