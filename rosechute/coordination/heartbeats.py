"""Heartbeats: the state that this machine reports to the others several times a second, and receives from them."""

from __future__ import annotations

from collections.abc import Sequence

from rosechute.coordination.chain import Chain
from rosechute.coordination.context import Context
from rosechute.coordination.failure_detector import Peer
from rosechute.coordination.leader_lease import LeaderLease
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.messages import coordination_pb2 as pb


class Heartbeats:
    """Sender and receiver of heartbeats.

    Args:
        context: what the parts of a replica share.
        chain: source of the replication progress, and receiver of the tail's.
        lease_grantor: source of the state of this machine's grants.
        leader_lease: source of the state of this machine's leadership.
        seeds: (control address, peer address) of the machines that the settings name.

    Attributes:
        seeds: the seeds in use; replaced when the settings change.
        next_at: when the next heartbeat is due, in seconds of the steady clock.
    """

    def __init__(
        self,
        context: Context,
        chain: Chain,
        lease_grantor: LeaseGrantor,
        leader_lease: LeaderLease,
        seeds: Sequence[tuple[str, str]],
    ) -> None:
        self._context = context
        self._chain = chain
        self._lease_grantor = lease_grantor
        self._leader_lease = leader_lease
        self.seeds = seeds
        self.next_at = context.now

    def send(self) -> None:
        """Send a heartbeat to all known core machines, and to the seeds while this machine is isolated."""
        context = self._context
        context.heartbeat_due = False
        self.next_at = context.now + context.timing.heartbeat_period_s
        targets = self._targets()
        heartbeat = self._make_heartbeat()
        for target in targets.values():
            peer = context.failure_detector.peers.get(target.id)
            heartbeat.echo = peer.heartbeat.stamp if peer is not None else 0.0
            heartbeat.echo_boot = peer.incarnation if peer is not None else 0
            context.outbox.send(target, pb.CoreMessage(heartbeat=heartbeat))
        if self._is_isolated():
            self._send_to_seeds(heartbeat, {target.peer_address for target in targets.values()})

    def _targets(self) -> dict[str, MachineIdentity]:
        """Return the other known machines by id: the acceptors, and all that have sent a heartbeat."""
        context = self._context
        targets = {acceptor.id: acceptor for acceptor in context.replica_state.view.acceptors}
        targets.update({peer.identity.id: peer.identity for peer in context.failure_detector.peers.values()})
        targets.pop(context.own.id, None)
        return targets

    def _is_isolated(self) -> bool:
        """Return whether this machine is no acceptor, or reaches fewer other machines than a majority."""
        context = self._context
        reachable_ids = context.failure_detector.reachable_ids(context.now)
        return not context.is_acceptor or len(reachable_ids) < context.replica_state.view.majority

    def _send_to_seeds(self, heartbeat: pb.Heartbeat, known_addresses: set[str]) -> None:
        """Send a heartbeat to each seed whose machine is not known."""
        heartbeat.echo, heartbeat.echo_boot = 0.0, 0
        for _, peer_address in self.seeds:
            if peer_address not in known_addresses:
                self._context.outbox.send_to_address(peer_address, pb.CoreMessage(heartbeat=heartbeat))

    def receive(self, sender: MachineIdentity, incarnation: int, heartbeat: pb.Heartbeat) -> Peer | None:
        """Record a heartbeat, and the commits that it reports.

        Returns:
            The sender, or None where the heartbeat is outdated.
        """
        context = self._context
        if sender.id == context.own.id:
            return None
        peer = context.failure_detector.on_heartbeat(context.now, sender, incarnation, heartbeat)
        if peer.heartbeat is not heartbeat:
            return None
        view = context.replica_state.view
        is_tail = bool(view.chain) and sender.id == view.chain[-1]
        if is_tail and heartbeat.epoch == view.epoch and not heartbeat.sealed:
            self._chain.on_committed(heartbeat.epoch, heartbeat.sequence)
        return peer

    def _make_heartbeat(self) -> pb.Heartbeat:
        """Return a heartbeat with the state of this machine; the echo is filled in for each target."""
        context = self._context
        replica_state = context.replica_state
        is_leader = self._leader_lease.is_held(context.now)
        return pb.Heartbeat(
            stamp=context.now,
            epoch=context.adopted_epoch,
            sealed=not context.is_epoch_adopted,
            sequence=self._chain.durable_sequence(),
            committed=replica_state.committed.sequence,
            joined=context.joined_epoch == context.adopted_epoch and context.joined_epoch > 0,
            active=self._chain.is_active,
            healthy=context.is_healthy,
            reached=context.failure_detector.reachable_ids(context.now),
            lease_free=self._lease_grantor.is_free(),
            lease_kept_for=self._lease_grantor.reserved_for(),
            term=max(replica_state.term.number, self._leader_lease.term if is_leader else 0),
            leads=is_leader,
            newcomer=replica_state.newcomer,
            leaving=context.is_leaving,
        )
