"""Membership: the current view of this machine, the adoption of a new one, and when to propose the next."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from rosechute.coordination.acceptor import Acceptor
from rosechute.coordination.chain import Chain
from rosechute.coordination.cluster_status import ClusterStatus, observe_cluster
from rosechute.coordination.context import Context
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.leader_lease import LeaderLease
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.planning import next_view_if_needed, next_view_of_sealed_epoch
from rosechute.coordination.proposer import Phase, Proposer
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import Ballot, Proposal, RegisterState, View
from rosechute.messages import coordination_pb2 as pb

FETCH_INTERVAL_S = 0.1  # minimum time between two requests of this machine for the state of others


class Membership:
    """The view of this machine, and the change to the next one.

    Who calls whom:

    - `Replica` calls the public methods: `adopt` at the bootstrap of a cluster, `tick` with time, `on_chosen`,
      `on_decided` and `on_fetch` for messages, and after each heartbeat `activate_chain_if_ready` and
      `fetch_if_behind`. Messages for the proposer go to `proposer` directly.
    - `Membership` owns the `Proposer`, and begins and stops its attempts. The proposer calls back `_choose_view` once
      a majority has promised, and `_on_decision` once a view is decided.
    - When a view is adopted, `Membership` makes `LeaseGrantor` abstain where this machine joins the acceptors, and
      tells `Chain` and `EpochConfirmer` that the old epoch is over. `RecordWriter` calls back `_on_adoption_synced`.
    - `Acceptor.sealed_since` and `LeaderLease` are only read, to decide whether to propose.

    Args:
        context: what the parts of a replica share.
        acceptor: the acceptor of this machine.
        chain: this machine's part in the replication chain.
        confirmer: the epoch confirmations that this machine has requested.
        lease_grantor: the grants of this machine.
        leader_lease: the leader lease of this machine.
        on_committed: called when the committed configuration may have changed.

    Attributes:
        proposer: the proposer of this machine.
    """

    def __init__(
        self,
        context: Context,
        acceptor: Acceptor,
        chain: Chain,
        confirmer: EpochConfirmer,
        lease_grantor: LeaseGrantor,
        leader_lease: LeaderLease,
        on_committed: Callable[[], None],
    ) -> None:
        self._context = context
        self._acceptor = acceptor
        self._chain = chain
        self._confirmer = confirmer
        self._lease_grantor = lease_grantor
        self._leader_lease = leader_lease
        self._on_committed = on_committed
        self._last_fetch_at = 0.0
        self.proposer = Proposer(context, self._choose_view, self._on_decision)

    def adopt(self, view: View, state: RegisterState, accepted_ballot: Ballot | None = None) -> None:
        """Adopt a decided view with the register state that it starts from.

        Args:
            view: the decided view.
            state: the register state.
            accepted_ballot: ballot of the accepted proposal that holds both; if given, the record holds only this.
        """
        context = self._context
        is_joining = context.replica_state.becomes_acceptor_in(view)
        if accepted_ballot is not None:
            record = pb.AdoptRecord(accepted=accepted_ballot.to_message())
        else:
            record = pb.AdoptRecord(view=view.to_message(), state=state.to_message())
        context.record_writer.write(pb.Record(adopt=record), partial(self._on_adoption_synced, view.epoch))
        if is_joining:
            self._lease_grantor.abstain()
        self._on_committed()
        self.proposer.stop()
        self._chain.on_view_change()
        self._confirmer.reject_all()

    def _on_adoption_synced(self, epoch: int) -> None:
        context = self._context
        if context.replica_state.view.epoch == epoch:
            context.adopted_epoch = context.joined_epoch = epoch
            context.heartbeat_due = True
            self.activate_chain_if_ready()

    def activate_chain_if_ready(self) -> None:
        """As the head, accept writes once all members of the chain have adopted the epoch."""
        context = self._context
        view = context.replica_state.view
        if self._chain.is_active or not view.chain or view.chain[0] != context.own.id:
            return
        if context.joined_epoch != view.epoch or not context.is_epoch_adopted:
            return
        if all(self._has_adopted(member) for member in view.chain[1:]):
            self._chain.activate()

    def _has_adopted(self, machine_id: str) -> bool:
        """Return whether the running process of another machine has adopted the current epoch."""
        peer = self._context.failure_detector.peers.get(machine_id)
        if peer is None:
            return False
        return peer.heartbeat.epoch == self._context.replica_state.view.epoch and peer.heartbeat.joined

    def on_chosen(self, chosen: pb.Chosen) -> None:
        """Adopt the view of a proposal that this machine has accepted, now that it is decided."""
        replica_state = self._context.replica_state
        ballot = Ballot.from_message(chosen.ballot)
        accepted = replica_state.accepted
        if chosen.epoch != replica_state.view.epoch or accepted is None or accepted.ballot != ballot:
            return
        self.adopt(accepted.view, accepted.state, ballot)

    def on_decided(self, decided: pb.Decided) -> None:
        """Adopt a newer view; outside of the chain, also store a newer committed state of the current one."""
        context, replica_state = self._context, self._context.replica_state
        view, state = decided.view, decided.state
        if view.epoch > replica_state.view.epoch:
            self.adopt(View.from_message(view), RegisterState.from_message(state))
            return
        known = (replica_state.view.epoch, replica_state.newest.sequence)
        # Members of the chain receive writes in order, through the chain.
        if not context.is_in_chain and (view.epoch, state.sequence) > known:
            context.record_writer.write(pb.Record(learn=pb.LearnRecord(state=state)))
            self._on_committed()

    def fetch_if_behind(self, sender: MachineIdentity, heartbeat: pb.Heartbeat) -> None:
        """Request the view and state of a machine whose heartbeat shows that this one is behind."""
        context, replica_state = self._context, self._context.replica_state
        epoch = replica_state.view.epoch
        is_state_behind = not context.is_in_chain and heartbeat.committed > replica_state.newest.sequence
        is_behind = heartbeat.epoch > epoch or (heartbeat.epoch == epoch and is_state_behind)
        if is_behind and context.now - self._last_fetch_at >= FETCH_INTERVAL_S:
            self._last_fetch_at = context.now
            fetch = pb.Fetch(epoch=epoch, sequence=replica_state.committed.sequence)
            context.outbox.send(sender, pb.CoreMessage(fetch=fetch))

    def on_fetch(self, sender: MachineIdentity, fetch: pb.Fetch) -> None:
        """Send the current view and committed state to a machine that is behind."""
        replica_state = self._context.replica_state
        if (replica_state.view.epoch, replica_state.committed.sequence) > (fetch.epoch, fetch.sequence):
            decided = pb.Decided(view=replica_state.view.to_message(), state=replica_state.committed.to_message())
            self._context.outbox.send(sender, pb.CoreMessage(decided=decided))

    def tick(self) -> None:
        """Drive the proposer, propose the next view where one is needed, and activate the chain."""
        self.proposer.tick()
        self._propose_if_needed()
        self.activate_chain_if_ready()

    def _propose_if_needed(self) -> None:
        """Propose the next view: as the leader when one is needed, as any acceptor when an epoch stays sealed."""
        context = self._context
        if self.proposer.phase is not Phase.IDLE or not context.is_acceptor or not context.is_healthy:
            return
        if self._leader_lease.is_held(context.now):
            if context.replica_state.is_sealed or self._is_next_view_needed():
                self.proposer.begin()
        elif context.replica_state.is_sealed:
            # Acceptors take turns in the order of the chain, so that their proposals do not collide.
            wait_s = context.timing.sealed_recovery_s + context.timing.heartbeat_period_s * context.chain_position()
            if context.now - self._acceptor.sealed_since >= wait_s:
                self.proposer.begin()

    def _is_next_view_needed(self) -> bool:
        return next_view_if_needed(self._context.replica_state.view, self._status()) is not None

    def _choose_view(self, promised_ids: set[str]) -> View:
        """Return the view to propose, now that a majority has sealed the epoch."""
        context = self._context
        view = context.replica_state.view
        chosen = next_view_of_sealed_epoch(view, self._status(), promised_ids)
        for member in view.chain:
            if member not in chosen.chain and not context.failure_detector.is_healthy(member):
                context.failure_detector.record_removal(context.now, member)
        return chosen

    def _on_decision(self, proposal: Proposal) -> None:
        """Adopt the decided proposal: by its ballot if this machine has accepted it, else by its view and state."""
        self.on_chosen(pb.Chosen(epoch=proposal.view.epoch - 1, ballot=proposal.ballot.to_message()))
        if self._context.replica_state.view.epoch < proposal.view.epoch:
            self.adopt(proposal.view, proposal.state)

    def _status(self) -> ClusterStatus:
        return observe_cluster(self._context, self._leader_lease.count_granting_acceptors())
