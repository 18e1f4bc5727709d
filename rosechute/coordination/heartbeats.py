"""Heartbeats: what this machine tells the others several times a second, and what it takes from theirs."""

from __future__ import annotations

from collections.abc import Sequence

from rosechute.coordination.chain import Chain
from rosechute.coordination.context import Context
from rosechute.coordination.failure_detector import Peer
from rosechute.coordination.leader_lease import LeaderLease
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.types import Identity
from rosechute.messages import coordination_pb2 as pb


class Heartbeats:
    """Sends and receives heartbeats."""

    def __init__(
        self,
        context: Context,
        chain: Chain,
        grantor: LeaseGrantor,
        holder: LeaderLease,
        seeds: Sequence[tuple[str, str]],
    ) -> None:
        self._context = context
        self._chain = chain
        self._lease_grantor = grantor
        self._leader_lease = holder
        self.seeds = seeds  # (control address, peer address)
        self.next = context.now

    def send(self) -> None:
        """Tell all core machines that are known, and the seeds while that may find others."""
        context = self._context
        context.announce = False
        self.next = context.now + context.timing.heartbeat
        targets = {each.id: each for each in context.memory.view.acceptors}
        targets.update({peer.identity.id: peer.identity for peer in context.failure_detector.peers.values()})
        targets.pop(context.own.id, None)
        beat = self._beat()
        addresses = {each.peer_address for each in targets.values()}
        for target in targets.values():
            peer = context.failure_detector.peers.get(target.id)
            beat.echo = peer.heartbeat.stamp if peer is not None else 0.0
            beat.echo_boot = peer.incarnation if peer is not None else 0
            context.outbox.send(target, pb.CoreMessage(heartbeat=beat))
        lonely = (
            not context.is_acceptor
            or len(context.failure_detector.reachable_ids(context.now)) < context.memory.view.majority
        )
        for _, address in self.seeds:
            if lonely and address not in addresses:
                beat.echo, beat.echo_boot = 0.0, 0
                context.outbox.send_to_address(address, pb.CoreMessage(heartbeat=beat))

    def receive(self, sender: Identity, boot: int, beat: pb.Heartbeat) -> Peer | None:
        """A heartbeat came; the sender, where it told something new."""
        context = self._context
        if sender.id == context.own.id:
            return None
        peer = context.failure_detector.on_heartbeat(context.now, sender, boot, beat)
        if peer.heartbeat is not beat:
            return None
        view = context.memory.view
        if view.chain and sender.id == view.chain[-1] and beat.epoch == view.epoch and not beat.sealed:
            self._chain.note_committed(beat.epoch, beat.sequence)
        return peer

    def _beat(self) -> pb.Heartbeat:
        context = self._context
        memory = context.memory
        leads = self._leader_lease.is_held(context.now)
        return pb.Heartbeat(
            stamp=context.now,
            epoch=context.adopted,
            sealed=not context.settled,
            sequence=self._chain.durable_sequence(),
            committed=memory.committed.sequence,
            joined=context.joined == context.adopted and context.joined > 0,
            active=self._chain.active,
            healthy=context.healthy,
            reached=context.failure_detector.reachable_ids(context.now),
            lease_free=self._lease_grantor.is_free(),
            lease_kept_for=self._lease_grantor.reserved_for(),
            term=max(memory.term.number, self._leader_lease.term if leads else 0),
            leads=leads,
            newcomer=memory.newcomer,
            leaving=context.leaving,
        )
