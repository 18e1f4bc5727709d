"""Heartbeats: what this machine tells the others several times a second, and what it takes from theirs."""

from __future__ import annotations

from collections.abc import Sequence

from rosechute.coordination.chain import Chain
from rosechute.coordination.context import Context
from rosechute.coordination.detector import Peer
from rosechute.coordination.lease import Grantor, Holder
from rosechute.coordination.types import Identity
from rosechute.messages import coordination_pb2 as pb


class Heartbeats:
    """Sends and receives heartbeats."""

    def __init__(
        self, context: Context, chain: Chain, grantor: Grantor, holder: Holder, seeds: Sequence[tuple[str, str]]
    ) -> None:
        self._context = context
        self._chain = chain
        self._grantor = grantor
        self._holder = holder
        self.seeds = seeds  # (control address, peer address)
        self.next = context.now

    def send(self) -> None:
        """Tell all core machines that are known, and the seeds while that may find others."""
        context = self._context
        context.announce = False
        self.next = context.now + context.timing.heartbeat
        targets = {each.id: each for each in context.memory.view.acceptors}
        targets.update({peer.identity.id: peer.identity for peer in context.detector.peers.values()})
        targets.pop(context.own.id, None)
        beat = self._beat()
        addresses = {each.peer_address for each in targets.values()}
        for target in targets.values():
            peer = context.detector.peers.get(target.id)
            beat.echo = peer.beat.stamp if peer is not None else 0.0
            beat.echo_boot = peer.boot if peer is not None else 0
            context.outbox.send(target, pb.CoreMessage(heartbeat=beat))
        lonely = not context.is_acceptor or len(context.detector.reached(context.now)) < context.memory.view.majority
        for _, address in self.seeds:
            if lonely and address not in addresses:
                beat.echo, beat.echo_boot = 0.0, 0
                context.outbox.send_to_address(address, pb.CoreMessage(heartbeat=beat))

    def receive(self, sender: Identity, boot: int, beat: pb.Heartbeat) -> Peer | None:
        """A heartbeat came; the sender, where it told something new."""
        context = self._context
        if sender.id == context.own.id:
            return None
        peer = context.detector.heard(context.now, sender, boot, beat)
        if peer.beat is not beat:
            return None
        view = context.memory.view
        if view.chain and sender.id == view.chain[-1] and beat.epoch == view.epoch and not beat.sealed:
            self._chain.note_committed(beat.epoch, beat.sequence)
        return peer

    def _beat(self) -> pb.Heartbeat:
        context = self._context
        memory = context.memory
        leads = self._holder.holds(context.now)
        return pb.Heartbeat(
            stamp=context.now,
            epoch=context.adopted,
            sealed=not context.settled,
            sequence=self._chain.durable_sequence(),
            committed=memory.committed.sequence,
            joined=context.joined == context.adopted and context.joined > 0,
            active=self._chain.active,
            healthy=context.healthy,
            reached=context.detector.reached(context.now),
            lease_free=self._grantor.free(),
            lease_kept_for=self._grantor.kept_for(),
            term=max(memory.term.number, self._holder.term if leads else 0),
            leads=leads,
            newcomer=memory.newcomer,
            leaving=context.leaving,
        )
