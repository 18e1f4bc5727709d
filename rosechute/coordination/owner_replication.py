"""Replication of the edges that may own rate leases, so that the next leader knows them.

A leader states which edges may own rate leases of its term or an earlier one, or that any edge may, and grants leases
only under a statement that a majority of the acceptors has synced. Its successor collects the newest statement of
each acceptor whose grant of the leader lease it counts, and takes the newest of these (a read and a write quorum:
Gifford, "Weighted Voting for Replicated Data", 1979). So it misses no statement under which a lease was granted:

- *Within an epoch* the two majorities share an acceptor. It synced the statement before it granted the lease to the
  successor: while it is bound to one process, it stores no statement of another
  (`LeaseGrantor.is_bound_to_another`), and once it is not, the successor can't gain its term by that grant.
- *Across epochs* a promise carries the acceptor's newest statement, a view the newest of its promises, and a machine
  that adopts the view stores it. A sealed acceptor stores no statement of its epoch.

A newer statement that no majority has stored is safe to follow as well: it was complete when it was made, and from
then on the leader grants leases only to edges of both, it and the one before (`control_plane.rate_lease_owners`).

    IDLE --propose--> PENDING --a majority has stored it--> IDLE
    PENDING --another epoch--> PENDING, from the start
    PENDING --the lease is lost--> IDLE
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from rosechute.coordination.actions import RateLeaseOwnersPersisted
from rosechute.coordination.context import Context
from rosechute.coordination.leader_lease import LeaderLease
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import RateLeaseOwners
from rosechute.messages import coordination_pb2 as pb


@dataclass(slots=True)
class _PendingStatement:
    """A statement that no majority is known to have stored. Times are of the machine's steady clock, in seconds."""

    owners: RateLeaseOwners
    epoch: int
    sent_at: float
    stored_by: set[str] = field(default_factory=set)  # ids of acceptors of the epoch


class OwnerReplication:
    """Both roles of this machine: the leader that makes statements, and the acceptor that stores them.

    Args:
        context: what the parts of a replica share.
        leader_lease: the leader lease of this machine.
        lease_grantor: the grants of this machine.
    """

    def __init__(self, context: Context, leader_lease: LeaderLease, lease_grantor: LeaseGrantor) -> None:
        self._context = context
        self._leader_lease = leader_lease
        self._lease_grantor = lease_grantor
        self._revision = 0  # revision of the newest statement of this process
        self._pending: _PendingStatement | None = None
        self._record_number = 0  # number of the newest record with a statement

    # The leader

    def propose(self, term: int, edges: frozenset[str] | None) -> None:
        """Replicate a statement; `RateLeaseOwnersPersisted` follows once a majority has stored it.

        Does nothing unless this machine leads with the term. Replaces a statement that is pending.

        Args:
            term: no other edge may own a rate lease of this leader term or an earlier one.
            edges: names of the edges; None where any edge may own one.
        """
        context = self._context
        if not self._leader_lease.is_held(context.now) or self._leader_lease.term != term:
            return
        self._revision += 1
        owners = RateLeaseOwners(term, edges or frozenset(), self._revision, is_unknown=edges is None)
        self._pending = _PendingStatement(owners, context.replica_state.view.epoch, context.now)
        self._send(self._pending)

    def tick(self) -> None:
        """Send a pending statement again, to all acceptors of a new epoch; drop it once the lease is lost."""
        context, pending = self._context, self._pending
        if pending is None:
            return
        if not self._leader_lease.is_held(context.now) or self._leader_lease.term != pending.owners.term:
            self._pending = None
        elif pending.epoch != context.replica_state.view.epoch:
            pending.epoch = context.replica_state.view.epoch
            pending.stored_by.clear()
            self._send(pending)
        elif context.now - pending.sent_at >= context.timing.resend_after_s:
            self._send(pending)

    def on_stored(self, sender: MachineIdentity, stored: pb.RateLeaseOwnersStored) -> None:
        """Count an acceptor that has synced the pending statement."""
        context, pending = self._context, self._pending
        view = context.replica_state.view
        if pending is None or not pending.epoch == stored.epoch == view.epoch or not view.is_acceptor(sender.id):
            return
        if (stored.term, stored.revision) != pending.owners.order:
            return
        pending.stored_by.add(sender.id)
        if len(pending.stored_by) >= view.majority:
            self._pending = None
            persisted = RateLeaseOwnersPersisted(pending.owners.term, pending.owners.known_edges())
            context.outbox.actions.append(persisted)

    def _send(self, pending: _PendingStatement) -> None:
        """Send a statement to the acceptors that are not known to have stored it."""
        context = self._context
        pending.sent_at = context.now
        for acceptor in context.replica_state.view.acceptors:
            if acceptor.id not in pending.stored_by:
                store = pb.StoreRateLeaseOwners(epoch=pending.epoch, owners=pending.owners.to_message())
                context.outbox.send(acceptor, pb.CoreMessage(store_rate_lease_owners=store))

    # The acceptor

    def on_store(self, sender: MachineIdentity, store: pb.StoreRateLeaseOwners) -> None:
        """Store a leader's statement, and confirm it once it is synced."""
        context = self._context
        owners = RateLeaseOwners.from_message(store.owners)
        if store.epoch != context.replica_state.view.epoch or not context.is_acceptor:
            return
        if not context.is_epoch_adopted or self._lease_grantor.is_bound_to_another(owners.term):
            return
        current = context.replica_state.rate_lease_owners
        if owners.order < current.order:
            return
        if owners.order > current.order:
            context.record_writer.write(pb.Record(rate_lease_owners=store.owners))
            self._record_number = context.record_writer.last_number
        confirm = partial(self._confirm, sender, store.epoch, owners)
        context.record_writer.call_when_synced(self._record_number, confirm)

    def _confirm(self, leader: MachineIdentity, epoch: int, owners: RateLeaseOwners) -> None:
        """Tell the leader that its statement is synced."""
        stored = pb.RateLeaseOwnersStored(epoch=epoch, term=owners.term, revision=owners.revision)
        self._context.outbox.send(leader, pb.CoreMessage(rate_lease_owners_stored=stored))
