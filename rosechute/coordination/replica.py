"""One core machine's part in the coordination: clock, messages and finished writes in, actions out."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from rosechute.coordination.acceptor import Acceptor
from rosechute.coordination.chain import Chain
from rosechute.coordination.context import Context
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.failure_detector import FailureDetector
from rosechute.coordination.freshness import Freshness
from rosechute.coordination.heartbeats import Heartbeats
from rosechute.coordination.leader_lease import LeaderLease
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.membership import Membership
from rosechute.coordination.outbox import Outbox
from rosechute.coordination.record_writer import RecordWriter
from rosechute.coordination.replica_state import RateLeaseOwners, load_replica_state
from rosechute.coordination.types import (
    Action,
    CommittedConfiguration,
    ConfigurationCommitted,
    MachineIdentity,
    RateLeaseOwnersPersisted,
    ReplicaConfig,
    WriteRequest,
)
from rosechute.coordination.views import (
    RegisterState,
    View,
    bootstrap_id,
    bootstrap_view,
    identity_from_message,
    identity_to_message,
    random_id,
)
from rosechute.messages import coordination_pb2 as pb
from rosechute.messages.coordination_pb2 import CoreMessage

INCARNATION_BITS = 53
LEADER_MEMORY_S = 1.2  # a claim to lead is believed for so long


class Replica:
    """State machine of a core machine. Every method returns what is to be done, in order."""

    def __init__(self, config: ReplicaConfig, saved: Sequence[bytes], now: float, draw: Callable[[], float]) -> None:
        self.config = config
        replica_state = load_replica_state(saved)
        self._empty = replica_state.machine is None
        own = self._identity(config, replica_state.machine, draw)
        incarnation = int(draw() * 2**INCARNATION_BITS) + 1
        context = Context(
            own=own,
            incarnation=incarnation,
            timing=config.timing,
            draw=draw,
            now=now,
            replica_state=replica_state,
            record_writer=RecordWriter(config.timing, replica_state, replace_next=self._empty),
            outbox=Outbox(own, incarnation),
            failure_detector=FailureDetector(own, incarnation, config.timing, now),
        )
        self._context = context
        self._started = False
        self._last_call = now
        self._told = 0  # sequence of the newest configuration that was told as committed
        self._lease_grantor = LeaseGrantor(context, now + config.timing.lease, restored_grantee=replica_state.grantee)
        self._leader_lease = LeaderLease(context, self._lease_grantor)
        self._confirmer = EpochConfirmer(context)
        self._chain = Chain(context, self._confirmer, self._tell_committed)
        self._acceptor = Acceptor(context)
        self._membership = Membership(
            context,
            self._acceptor,
            self._chain,
            self._confirmer,
            self._lease_grantor,
            self._leader_lease,
            self._tell_committed,
        )
        self._heartbeats = Heartbeats(context, self._chain, self._lease_grantor, self._leader_lease, config.seeds)
        self._freshness = Freshness(context)
        self._handlers = self._make_handlers()

    # Calls of the runtime

    def start(self, now: float) -> list[Action]:
        """Begin; nothing is sent before the identity is synced."""
        self._enter(now)
        context = self._context
        if self._empty:
            machine = pb.MachineRecord(machine=identity_to_message(context.own), newcomer=self.config.bootstrap)
            context.record_writer.write(pb.Record(machine=machine), self._begin)
            if self.config.bootstrap and self.config.seeds:
                self._membership.adopt(bootstrap_view(self.config.seeds), RegisterState(epoch=1))
        else:
            view = context.replica_state.view
            context.adopted_epoch = view.epoch
            if view.chain and view.chain[-1] == context.own.id:
                context.replica_state.commit()  # what the tail has stored, the others have too
            self._begin()
            self._tell_committed()
        return self._leave()

    def tick(self, now: float) -> list[Action]:
        """Time passes. To be called at least every 50 ms."""
        self._enter(now)
        context = self._context
        context.record_writer.tick(now)
        if self._started:
            kept = {each.id for each in context.replica_state.view.acceptors}
            context.failure_detector.tick(now, kept, is_planning=self._leader_lease.is_held(now))
            self._leader_lease.tick()
            self._membership.tick()
            self._freshness.update()
            context.heartbeat_due |= now >= self._heartbeats.next_at
        self._confirmer.tick()
        self._chain.tick()
        return self._leave()

    def receive(self, now: float, message: CoreMessage) -> list[Action]:
        """A message of another core machine came."""
        self._enter(now)
        if self._started:
            self._handle(message)
        return self._leave()

    def persisted(self, now: float, token: int) -> list[Action]:
        """The records of `Persist(token)` are synced."""
        self._enter(now)
        self._context.record_writer.on_persisted(now, token)
        return self._leave()

    def persist_failed(self, now: float, token: int) -> list[Action]:
        """The disk refused the records of `Persist(token)`, whole or in part."""
        self._enter(now)
        self._context.record_writer.on_persist_failed(now, token)
        return self._leave()

    def propose_write(self, now: float, order: WriteRequest) -> list[Action]:
        """An operator's order at this machine; exactly one `Answer` follows, at once or later."""
        self._enter(now)
        self._chain.propose_write(order)
        return self._leave()

    def read(self, now: float, request: int) -> list[Action]:
        """A read of the newest configuration; exactly one `Answer` follows, at once or later."""
        self._enter(now)
        self._chain.read(request)
        return self._leave()

    def resign(self, now: float) -> list[Action]:
        """This process is about to end: give the leader lease back, and let the others go on without this machine."""
        self._enter(now)
        self._context.is_leaving = True
        self._context.heartbeat_due = True
        self._leader_lease.release()
        return self._leave()

    def persist_rate_lease_owners(self, now: float, term: int, edges: frozenset[str]) -> list[Action]:
        """Note on the disk that no other edges may hold rate leases of this term or an earlier one; nothing where
        this machine doesn't lead with that term any more."""
        self._enter(now)
        if self._leader_lease.is_held(now) and self._leader_lease.term == term:
            record = pb.Record(rate_lease_holders=RateLeaseOwners(term, edges).to_message())
            noted = RateLeaseOwnersPersisted(term, edges)
            self._context.record_writer.write(record, partial(self._context.outbox.actions.append, noted))
        return self._leave()

    def update_seeds(self, seeds: Sequence[tuple[str, str]]) -> None:
        """The settings name other seeds now."""
        self._heartbeats.seeds = tuple(seeds)

    def snapshot(self) -> list[bytes]:
        """Records that replace all earlier ones."""
        return [self._context.replica_state.whole().SerializeToString()]

    # Read-only views

    @property
    def identity(self) -> MachineIdentity:
        """This machine."""
        return self._context.own

    @property
    def view(self) -> View:
        """The newest view that this machine knows."""
        return self._context.replica_state.view

    @property
    def term(self) -> int:
        """Term of the leader lease: the own one while this machine leads, else the newest known."""
        if self._leader_lease.is_held(self._context.now):
            return self._leader_lease.term
        return self._context.replica_state.term.number

    @property
    def committed(self) -> CommittedConfiguration | None:
        """The newest configuration that is known to stay."""
        return self._context.replica_state.committed.committed_configuration()

    def is_leader(self, now: float) -> bool:
        """Whether this machine holds the leader lease."""
        return self._leader_lease.is_held(now)

    def leader_hint(self) -> MachineIdentity | None:
        """Who leads, as far as this machine knows."""
        context = self._context
        if self._leader_lease.is_held(context.now):
            return context.own
        claims = [
            peer
            for peer in context.failure_detector.peers.values()
            if peer.heartbeat.leads and context.now - peer.last_received_at <= LEADER_MEMORY_S
        ]
        return max(claims, key=lambda peer: peer.heartbeat.term).identity if claims else None

    def head(self) -> MachineIdentity | None:
        """Who takes orders."""
        return self.view.head()

    def tail(self) -> MachineIdentity | None:
        """Who answers reads."""
        return self.view.tail()

    @property
    def is_handed_over(self) -> bool:
        """Whether the newest view counts on this machine no more: it is out of the chain, and no surplus acceptor."""
        view = self.view
        surplus = len(view.acceptors) > view.target_size
        return self.identity.id not in view.chain and not (surplus and view.is_acceptor(self.identity.id))

    def freshness(self, now: float) -> tuple[int, float] | None:
        """At a moment so many seconds ago, the newest acknowledged sequence was at most this one."""
        return self._freshness.read(now)

    def core_machines(self) -> list[MachineIdentity]:
        """The acceptors, and the machines that ask to join."""
        machines = {each.id: each for each in self.view.acceptors}
        for peer in self._context.failure_detector.peers.values():
            machines[peer.identity.id] = peer.identity
        machines[self.identity.id] = self.identity
        return list(machines.values())

    # Entry and exit of every call

    def _enter(self, now: float) -> None:
        context = self._context
        gap = now - self._last_call
        context.now = max(now, context.now)
        self._last_call = now
        self._leader_lease.expire()
        if gap > context.timing.blind:
            context.failure_detector.compensate_pause(gap)

    def _leave(self) -> list[Action]:
        context = self._context
        outbox = context.outbox
        while outbox.local_messages:
            self._handle(outbox.local_messages.popleft())
        if context.heartbeat_due and self._started:
            self._heartbeats.send()
        persist = context.record_writer.flush(context.now)
        if persist is not None:
            outbox.actions.append(persist)
        return outbox.drain()

    def _handle(self, message: pb.CoreMessage) -> None:
        kind = message.WhichOneof("body")
        if kind is not None:
            self._handlers[kind](message, identity_from_message(message.sender))

    def _begin(self) -> None:
        self._started = True
        self._context.heartbeat_due = True

    def _tell_committed(self) -> None:
        """Tell the newest configuration that stays, once."""
        configuration = self.committed
        if configuration is not None and configuration.sequence > self._told:
            self._told = configuration.sequence
            self._context.outbox.actions.append(ConfigurationCommitted(configuration))

    @staticmethod
    def _identity(config: ReplicaConfig, saved: MachineIdentity | None, draw: Callable[[], float]) -> MachineIdentity:
        """The id belongs to the disk, the rest to the settings."""
        if saved is not None:
            machine_id = saved.id
        else:
            machine_id = bootstrap_id(config.control_address) if config.bootstrap else random_id(draw)
        return MachineIdentity(machine_id, config.name, config.zone, config.control_address, config.peer_address)

    # Messages

    def _make_handlers(self) -> dict[str, Callable[[pb.CoreMessage, MachineIdentity], None]]:
        acceptor, chain, confirmer, membership = self._acceptor, self._chain, self._confirmer, self._membership
        grantor, proposer = self._lease_grantor, membership.proposer
        return {
            "heartbeat": self._on_heartbeat,
            "prepare": lambda message, sender: acceptor.on_prepare(sender, message.prepare),
            "promise": lambda message, sender: proposer.on_promise(sender, message.promise),
            "accept": lambda message, sender: acceptor.on_accept(sender, message.accept),
            "accepted": lambda message, sender: proposer.on_accepted(sender, message.accepted),
            "refused": lambda message, sender: proposer.on_refused(message.refused),
            "chosen": lambda message, sender: membership.on_chosen(message.chosen),
            "fetch": lambda message, sender: membership.on_fetch(sender, message.fetch),
            "decided": lambda message, sender: membership.on_decided(message.decided),
            "chain_write": lambda message, sender: chain.on_chain_write(sender, message.chain_write),
            "confirm": lambda message, sender: confirmer.on_confirm(sender, message.confirm),
            "confirmed": lambda message, sender: confirmer.on_confirmed(sender, message.confirmed),
            "lease_request": lambda message, sender: grantor.on_request(sender, message.boot, message.lease_request),
            "lease_grant": lambda message, sender: self._leader_lease.on_grant(sender, message.lease_grant),
            "lease_release": lambda message, sender: grantor.on_release(sender, message.boot, message.lease_release),
        }

    def _on_heartbeat(self, message: pb.CoreMessage, sender: MachineIdentity) -> None:
        if self._heartbeats.receive(sender, message.boot, message.heartbeat) is not None:
            self._membership.activate_chain_if_ready()
            self._freshness.update()
            self._membership.fetch_if_behind(sender, message.heartbeat)
