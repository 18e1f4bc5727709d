"""A replica of the core: one core machine's part in the coordination, as a deterministic state machine.

Calls come in from the runtime (`control_plane.replica_runtime`): time, messages, finished disk writes and requests of
operators. Each call returns the actions that it leads to. The replica does no input or output, reads no clock and has
no randomness of its own, so that tests play whole clusters in simulated time.

Parts, and which parts each may call besides `Context`, which calls none of them:

- `Replica` calls all parts.
- `Membership` adopts views and proposes the next one. It calls `Proposer`, `Acceptor`, `Chain`, `EpochConfirmer`,
  `LeaderLease`, `LeaseGrantor` and `CommitNotifier`.
- `Heartbeats` sends this machine's state and receives that of others. It calls `Chain`, `LeaderLease` and
  `LeaseGrantor`.
- `Chain` replicates writes and serves reads. It calls `EpochConfirmer`, which confirms that the epoch is current, and
  `CommitNotifier`, which reports committed configurations.
- `LeaderLease` requests and holds the leader lease. It calls `LeaseGrantor`, which grants it to any machine.
- `OwnerReplication` has a majority store which edges may own rate leases. It asks `LeaderLease` whether this machine
  leads, and `LeaseGrantor` whether it is bound to another leader.
- `Proposer` and `Acceptor` are the two roles of single-decree Paxos for the next view. They call no other part, and
  neither does `Freshness`, which bounds how old this machine's knowledge is.

`Context` holds the durable state (`ReplicaState`), its log (`RecordWriter`), the `FailureDetector` and the `Outbox`.

Callbacks point the other way in three places: `RecordWriter` calls what waits for a sync, `EpochConfirmer` calls what
waits for a confirmation, and `Proposer` asks `Membership` for the view to propose and reports the decision to it.

Messages of a machine to itself are handled at the end of the same call, after everything else that the call did;
heartbeats and the disk write come last (`_end_call`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from rosechute.coordination.acceptor import Acceptor
from rosechute.coordination.actions import Action
from rosechute.coordination.chain import Chain
from rosechute.coordination.commit_notifier import CommitNotifier
from rosechute.coordination.context import Context
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.failure_detector import FailureDetector
from rosechute.coordination.freshness import Freshness, FreshnessBound
from rosechute.coordination.heartbeats import Heartbeats
from rosechute.coordination.leader_lease import LeaderLease
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.membership import Membership
from rosechute.coordination.outbox import Outbox
from rosechute.coordination.outcomes import CommittedConfiguration, WriteRequest
from rosechute.coordination.owner_replication import OwnerReplication
from rosechute.coordination.record_writer import RecordWriter
from rosechute.coordination.replica_config import MachineIdentity, ReplicaConfig
from rosechute.coordination.replica_state import ReplicaState, load_replica_state
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

INCARNATION_BITS = 53  # size of the random number that identifies a process
LEADER_CLAIM_S = 1.2  # a machine's claim to lead is believed for one lease after its heartbeat


class Replica:
    """State machine of a core machine. Each call returns the actions to perform, in order."""

    def __init__(self, config: ReplicaConfig, saved: Sequence[bytes], now: float, draw: Callable[[], float]) -> None:
        """Restore a replica; nothing is sent before `start`.

        Args:
            config: settings of the machine.
            saved: serialized records from its disk, oldest first; none on an empty disk.
            now: time in seconds of the machine's steady clock.
            draw: source of random numbers in [0, 1).
        """
        self.config = config
        replica_state = load_replica_state(saved)
        self._is_disk_empty = replica_state.machine is None
        self._is_started = False
        self._last_call_at = now
        self._context = self._make_context(replica_state, now, draw)
        self._make_parts()
        self._handlers = self._make_handlers()

    def _make_context(self, replica_state: ReplicaState, now: float, draw: Callable[[], float]) -> Context:
        own = self._identity(self.config, replica_state.machine, draw)
        incarnation = int(draw() * 2**INCARNATION_BITS) + 1
        timing = self.config.timing
        return Context(
            own=own,
            incarnation=incarnation,
            timing=timing,
            draw=draw,
            now=now,
            replica_state=replica_state,
            record_writer=RecordWriter(timing, replica_state, replace_next=self._is_disk_empty),
            outbox=Outbox(own, incarnation),
            failure_detector=FailureDetector(own, incarnation, timing, now),
        )

    def _make_parts(self) -> None:
        context = self._context
        abstain_until = context.now + context.timing.lease_s
        grantee = context.replica_state.grantee
        self._commit_notifier = CommitNotifier(context)
        self._lease_grantor = LeaseGrantor(context, abstain_until, restored_grantee=grantee)
        self._leader_lease = LeaderLease(context, self._lease_grantor)
        self._owner_replication = OwnerReplication(context, self._leader_lease, self._lease_grantor)
        self._confirmer = EpochConfirmer(context)
        self._chain = Chain(context, self._confirmer, self._commit_notifier.notify)
        self._acceptor = Acceptor(context)
        self._membership = Membership(
            context,
            self._acceptor,
            self._chain,
            self._confirmer,
            self._lease_grantor,
            self._leader_lease,
            self._commit_notifier.notify,
        )
        self._heartbeats = Heartbeats(
            context, self._chain, self._lease_grantor, self._leader_lease, self.config.seeds
        )
        self._freshness = Freshness(context)

    # Calls of the runtime

    def start(self, now: float) -> list[Action]:
        """Start; on an empty disk nothing is sent before the machine's identity is synced."""
        self._begin_call(now)
        if self._is_disk_empty:
            self._start_on_empty_disk()
        else:
            self._restart()
        return self._end_call()

    def tick(self, now: float) -> list[Action]:
        """Handle the passing of time. To be called at least every 50 ms."""
        self._begin_call(now)
        context = self._context
        context.record_writer.tick(now)
        if self._is_started:
            acceptor_ids = {acceptor.id for acceptor in context.replica_state.view.acceptors}
            context.failure_detector.tick(now, acceptor_ids, is_planning=self._leader_lease.is_held(now))
            self._leader_lease.tick()
            self._owner_replication.tick()
            self._membership.tick()
            self._freshness.update()
            context.heartbeat_due |= now >= self._heartbeats.next_at
        self._confirmer.tick()
        self._chain.tick()
        return self._end_call()

    def receive(self, now: float, message: CoreMessage) -> list[Action]:
        """Handle a message of another core machine; ignored before the start."""
        self._begin_call(now)
        if self._is_started:
            self._handle(message)
        return self._end_call()

    def on_persisted(self, now: float, token: int) -> list[Action]:
        """Handle the sync of the records of `PersistRecords`.

        Args:
            now: time in seconds of the machine's steady clock.
            token: token of the action; all earlier batches are synced as well.
        """
        self._begin_call(now)
        self._context.record_writer.on_persisted(now, token)
        return self._end_call()

    def on_persist_failed(self, now: float, token: int) -> list[Action]:
        """Handle a failure to write the records of `PersistRecords`; any part of them may be on the disk.

        Args:
            now: time in seconds of the machine's steady clock.
            token: token of the action.
        """
        self._begin_call(now)
        self._context.record_writer.on_persist_failed(now, token)
        return self._end_call()

    def propose_write(self, now: float, write: WriteRequest) -> list[Action]:
        """Handle a write request of an operator; exactly one `Reply` follows, in this call or a later one."""
        self._begin_call(now)
        self._chain.propose_write(write)
        return self._end_call()

    def read(self, now: float, request_id: int) -> list[Action]:
        """Handle a read of the newest configuration; exactly one `Reply` follows, in this call or a later one."""
        self._begin_call(now)
        self._chain.read(request_id)
        return self._end_call()

    def resign(self, now: float) -> list[Action]:
        """Release the leader lease and report that this machine is leaving: its process is about to end."""
        self._begin_call(now)
        self._context.is_leaving = True
        self._context.heartbeat_due = True
        self._leader_lease.release()
        return self._end_call()

    def persist_rate_lease_owners(self, now: float, term: int, edges: frozenset[str] | None) -> list[Action]:
        """Have a majority store which edges may own rate leases; do nothing unless this machine leads with the term.

        Args:
            now: time in seconds of the machine's steady clock.
            term: no other edge may own a rate lease of this leader term or an earlier one.
            edges: names of the edges; None where any edge may own one.

        Returns:
            Actions; `RateLeaseOwnersPersisted` follows in a later call, once a majority has synced the statement.
        """
        self._begin_call(now)
        self._owner_replication.propose(term, edges)
        return self._end_call()

    def update_seeds(self, seeds: Sequence[tuple[str, str]]) -> None:
        """Replace the seeds: (control address, peer address) of each core machine that the settings name."""
        self._heartbeats.seeds = tuple(seeds)

    def snapshot(self) -> list[bytes]:
        """Return serialized records that replace all earlier ones."""
        return [self._context.replica_state.snapshot_record().SerializeToString()]

    # State for the runtime

    def large_contents(self) -> list[bytes]:
        """Return the contents of this machine's state that messages may hold, whatever their size."""
        state = self._context.replica_state
        registers = [state.committed, state.newest]
        if state.accepted is not None:
            registers.append(state.accepted.state)
        return [content for each in registers for content in (each.body, each.applied_writes)]

    @property
    def identity(self) -> MachineIdentity:
        """This machine."""
        return self._context.own

    @property
    def view(self) -> View:
        """The newest view that this machine has adopted."""
        return self._context.replica_state.view

    @property
    def term(self) -> int:
        """Leader term of this machine's lease while it leads; otherwise the newest term that it knows."""
        if self._leader_lease.is_held(self._context.now):
            return self._leader_lease.term
        return self._context.replica_state.term.number

    @property
    def committed(self) -> CommittedConfiguration | None:
        """The newest configuration that this machine knows to be committed."""
        return self._context.replica_state.committed.committed_configuration()

    def is_leader(self, now: float) -> bool:
        """Return whether this machine holds the leader lease."""
        return self._leader_lease.is_held(now)

    def leader_hint(self) -> MachineIdentity | None:
        """Return the machine that seems to lead: this one, or that with the newest term among recent heartbeats."""
        context = self._context
        if self._leader_lease.is_held(context.now):
            return context.own
        claims = [
            peer
            for peer in context.failure_detector.peers.values()
            if peer.heartbeat.leads and context.now - peer.last_received_at <= LEADER_CLAIM_S
        ]
        return max(claims, key=lambda peer: peer.heartbeat.term).identity if claims else None

    def head(self) -> MachineIdentity | None:
        """Return the head of the chain, which takes writes."""
        return self.view.head()

    def tail(self) -> MachineIdentity | None:
        """Return the tail of the chain, which serves reads."""
        return self.view.tail()

    @property
    def is_handed_over(self) -> bool:
        """Whether the newest view does not depend on this machine: it is outside the chain and not surplus."""
        view = self.view
        has_surplus = len(view.acceptors) > view.target_size
        return self.identity.id not in view.chain and not (has_surplus and view.is_acceptor(self.identity.id))

    def freshness(self, now: float) -> FreshnessBound | None:
        """Return a bound on what had been committed by a recent time, or None before the first one."""
        return self._freshness.bound(now)

    def core_machines(self) -> list[MachineIdentity]:
        """Return the acceptors, the machines that ask to join, and this machine."""
        machines = {acceptor.id: acceptor for acceptor in self.view.acceptors}
        for peer in self._context.failure_detector.peers.values():
            machines[peer.identity.id] = peer.identity
        machines[self.identity.id] = self.identity
        return list(machines.values())

    # Start

    def _start_on_empty_disk(self) -> None:
        context = self._context
        machine = pb.MachineRecord(machine=identity_to_message(context.own), newcomer=self.config.bootstrap)
        context.record_writer.write(pb.Record(machine=machine), self._on_started)
        if self.config.bootstrap and self.config.seeds:
            self._membership.adopt(bootstrap_view(self.config.seeds), RegisterState(epoch=1))

    def _restart(self) -> None:
        context = self._context
        view = context.replica_state.view
        context.adopted_epoch = view.epoch
        if view.chain and view.chain[-1] == context.own.id:
            context.replica_state.commit()  # a write that the tail has synced is synced by all members
        self._on_started()
        self._commit_notifier.notify()

    def _on_started(self) -> None:
        self._is_started = True
        self._context.heartbeat_due = True

    @staticmethod
    def _identity(config: ReplicaConfig, saved: MachineIdentity | None, draw: Callable[[], float]) -> MachineIdentity:
        """Return the identity: its id belongs to the disk, the rest comes from the settings."""
        if saved is not None:
            machine_id = saved.id
        else:
            machine_id = bootstrap_id(config.control_address) if config.bootstrap else random_id(draw)
        return MachineIdentity(machine_id, config.name, config.zone, config.control_address, config.peer_address)

    # Begin and end of each call

    def _begin_call(self, now: float) -> None:
        """Advance the clock; it never goes back. A long gap means that this machine was frozen."""
        context = self._context
        gap_s = now - self._last_call_at
        context.now = max(now, context.now)
        self._last_call_at = now
        self._leader_lease.expire()
        if gap_s > context.timing.freeze_gap_s:
            context.failure_detector.compensate_pause(gap_s)

    def _end_call(self) -> list[Action]:
        """Handle messages to this machine itself, send a heartbeat if one is due, and flush the log."""
        context = self._context
        outbox = context.outbox
        while outbox.local_messages:
            self._handle(outbox.local_messages.popleft())
        if context.heartbeat_due and self._is_started:
            self._heartbeats.send()
        persist = context.record_writer.flush(context.now)
        if persist is not None:
            outbox.actions.append(persist)
        return outbox.drain()

    # Messages

    def _handle(self, message: CoreMessage) -> None:
        kind = message.WhichOneof("body")
        if kind is not None:
            self._handlers[kind](message, identity_from_message(message.sender))

    def _make_handlers(self) -> dict[str, Callable[[CoreMessage, MachineIdentity], None]]:
        """Return the handler of each kind of message, by the name of its field in `CoreMessage`."""
        acceptor, chain, confirmer, membership = self._acceptor, self._chain, self._confirmer, self._membership
        grantor, proposer, owners = self._lease_grantor, membership.proposer, self._owner_replication
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
            "store_rate_lease_owners": lambda message, sender: owners.on_store(
                sender, message.store_rate_lease_owners
            ),
            "rate_lease_owners_stored": lambda message, sender: owners.on_stored(
                sender, message.rate_lease_owners_stored
            ),
        }

    def _on_heartbeat(self, message: CoreMessage, sender: MachineIdentity) -> None:
        if self._heartbeats.receive(sender, message.boot, message.heartbeat) is not None:
            self._membership.activate_chain_if_ready()
            self._freshness.update()
            self._membership.fetch_if_behind(sender, message.heartbeat)
