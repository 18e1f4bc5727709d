"""One core machine's part in the coordination: clock, messages and finished writes in, actions out."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from rosechute.coordination.acceptor import Acceptor
from rosechute.coordination.chain import Chain
from rosechute.coordination.confirm import Confirmer
from rosechute.coordination.context import Context
from rosechute.coordination.detector import Detector
from rosechute.coordination.disk import Disk
from rosechute.coordination.freshness import Freshness
from rosechute.coordination.lease import Grantor, Holder
from rosechute.coordination.memory import load
from rosechute.coordination.outbox import Outbox
from rosechute.coordination.planning import Joiner, Situation, any_view, needed_view
from rosechute.coordination.proposer import Phase, Proposer
from rosechute.coordination.types import Action, Committed, CommittedConfiguration, Identity, Order, ReplicaConfig
from rosechute.coordination.views import (
    Ballot,
    Proposal,
    State,
    View,
    ballot_of,
    bootstrap_id,
    first_view,
    identity_of,
    machine_of,
    random_id,
    state_of,
    view_of,
)
from rosechute.messages import coordination_pb2 as pb
from rosechute.messages.coordination_pb2 import CoreMessage

BOOT_BITS = 53
FETCH_PAUSE_S = 0.1
LEADER_MEMORY_S = 1.2  # a claim to lead is believed for so long


class Replica:
    """State machine of a core machine. Every method returns what is to be done, in order."""

    def __init__(self, config: ReplicaConfig, saved: Sequence[bytes], now: float, draw: Callable[[], float]) -> None:
        self.config = config
        memory = load(saved)
        self._empty = memory.machine is None
        own = memory.machine or self._new_identity(config, draw)
        boot = int(draw() * 2**BOOT_BITS) + 1
        context = Context(
            own=own,
            boot=boot,
            timing=config.timing,
            draw=draw,
            now=now,
            memory=memory,
            disk=Disk(config.timing, memory),
            outbox=Outbox(own, boot),
            detector=Detector(own, boot, config.timing, now),
        )
        self._context = context
        self._seeds = config.seeds
        self._started = False
        self._adopted_number = 0
        self._next_beat = now
        self._last_call = now
        self._last_fetch = 0.0
        self._told = 0  # sequence of the newest configuration that was told as committed
        self._acceptor = Acceptor(context)
        self._proposer = Proposer(context, self._choose_view, self._on_decision)
        self._grantor = Grantor(context, now + config.timing.lease)
        self._holder = Holder(context)
        self._confirmer = Confirmer(context)
        self._chain = Chain(context, self._confirmer, self._tell_committed)
        self._freshness = Freshness(context)
        self._handlers: dict[str, Callable[[pb.CoreMessage, Identity], None]] = {
            "heartbeat": self._on_heartbeat,
            "prepare": lambda message, sender: self._acceptor.on_prepare(sender, message.prepare),
            "promise": lambda message, sender: self._proposer.on_promise(sender, message.promise),
            "accept": lambda message, sender: self._acceptor.on_accept(sender, message.accept),
            "accepted": lambda message, sender: self._proposer.on_accepted(sender, message.accepted),
            "refused": lambda message, sender: self._proposer.on_refused(message.refused),
            "chosen": lambda message, sender: self._on_chosen(message.chosen),
            "fetch": lambda message, sender: self._on_fetch(sender, message.fetch),
            "decided": lambda message, sender: self._on_decided(message.decided),
            "chain_write": lambda message, sender: self._chain.on_chain_write(sender, message.chain_write),
            "confirm": lambda message, sender: self._confirmer.on_confirm(sender, message.confirm),
            "confirmed": lambda message, sender: self._confirmer.on_confirmed(sender, message.confirmed),
            "lease_request": self._on_lease_request,
            "lease_grant": lambda message, sender: self._holder.on_grant(sender, message.lease_grant),
            "lease_release": self._on_lease_release,
        }

    # Calls of the runtime

    def start(self, now: float) -> list[Action]:
        """Begin; nothing is sent before the identity is synced."""
        self._enter(now)
        context = self._context
        if self._empty:
            machine = pb.MachineRecord(machine=machine_of(context.own), bootstrap=self.config.bootstrap)
            context.disk.write(pb.Record(machine=machine), self._begin)
            if self.config.bootstrap and self._seeds:
                self._adopt(first_view(self._seeds), State(epoch=1))
        else:
            view = context.memory.view
            context.adopted = view.epoch
            if view.chain and view.chain[-1] == context.own.id:
                context.memory.commit()  # what the tail has stored, the others have too
            self._begin()
            self._tell_committed()
        return self._leave()

    def tick(self, now: float) -> list[Action]:
        """Time passes. To be called at least every 50 ms."""
        self._enter(now)
        context = self._context
        context.disk.tick(now)
        if self._started:
            kept = {each.id for each in context.memory.view.acceptors}
            context.detector.tick(now, kept, self._holder.holds(now))
            self._holder.tick(self._free_grantors, self._place)
            self._proposer.tick()
            self._consider_view()
            self._confirmer.tick()
            self._chain.tick()
            self._check_active()
            self._freshness.update()
            if now >= self._next_beat:
                context.announce = True
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
        self._context.disk.persisted(now, token)
        return self._leave()

    def persist_failed(self, now: float, token: int) -> list[Action]:
        """The disk refused the records of `Persist(token)`, whole or in part."""
        self._enter(now)
        self._context.disk.persist_failed(now, token)
        return self._leave()

    def submit(self, now: float, order: Order) -> list[Action]:
        """An operator's order at this machine; exactly one `Answer` follows, at once or later."""
        self._enter(now)
        self._chain.submit(order)
        return self._leave()

    def read(self, now: float, request: int) -> list[Action]:
        """A read of the newest configuration; exactly one `Answer` follows, at once or later."""
        self._enter(now)
        self._chain.read(request)
        return self._leave()

    def update_seeds(self, seeds: Sequence[tuple[str, str]]) -> None:
        """The settings name other seeds now."""
        self._seeds = tuple(seeds)

    def snapshot(self) -> list[bytes]:
        """Records that replace all earlier ones."""
        return [self._context.memory.whole().SerializeToString()]

    # Read-only views

    @property
    def identity(self) -> Identity:
        """This machine."""
        return self._context.own

    @property
    def view(self) -> View:
        """The newest view that this machine knows."""
        return self._context.memory.view

    @property
    def term(self) -> int:
        """Term of the leader lease: the own one while this machine leads, else the newest known."""
        if self._holder.holds(self._context.now):
            return self._holder.term
        return self._context.memory.term.number

    @property
    def committed(self) -> CommittedConfiguration | None:
        """The newest configuration that is known to stay."""
        return self._context.memory.committed.committed()

    def is_leader(self, now: float) -> bool:
        """Whether this machine holds the leader lease."""
        return self._holder.holds(now)

    def leader_hint(self) -> Identity | None:
        """Who leads, as far as this machine knows."""
        context = self._context
        if self._holder.holds(context.now):
            return context.own
        claims = [
            peer
            for peer in context.detector.peers.values()
            if peer.beat.leads and context.now - peer.heard <= LEADER_MEMORY_S
        ]
        return max(claims, key=lambda peer: peer.beat.term).identity if claims else None

    def head(self) -> Identity | None:
        """Who takes orders."""
        return self.view.head()

    def tail(self) -> Identity | None:
        """Who answers reads."""
        return self.view.tail()

    def freshness(self, now: float) -> tuple[int, float] | None:
        """At a moment so many seconds ago, the newest acknowledged sequence was at most this one."""
        return self._freshness.read(now)

    def core_machines(self) -> list[Identity]:
        """The acceptors, and the machines that ask to join."""
        machines = {each.id: each for each in self.view.acceptors}
        for peer in self._context.detector.peers.values():
            machines[peer.identity.id] = peer.identity
        machines[self.identity.id] = self.identity
        return list(machines.values())

    # Entry and exit of every call

    def _enter(self, now: float) -> None:
        context = self._context
        gap = now - self._last_call
        context.now = max(now, context.now)
        self._last_call = now
        self._holder.expire()
        if gap > context.timing.blind:
            context.detector.awoke(gap)

    def _leave(self) -> list[Action]:
        context = self._context
        outbox = context.outbox
        while outbox.local:
            self._handle(outbox.local.popleft())
        if context.announce and self._started:
            self._send_heartbeats()
        persist = context.disk.flush(context.now)
        if persist is not None:
            outbox.actions.append(persist)
        return outbox.take()

    def _handle(self, message: pb.CoreMessage) -> None:
        kind = message.WhichOneof("body")
        if kind is not None:
            self._handlers[kind](message, identity_of(message.sender))

    def _begin(self) -> None:
        self._started = True
        self._context.announce = True

    @staticmethod
    def _new_identity(config: ReplicaConfig, draw: Callable[[], float]) -> Identity:
        machine_id = bootstrap_id(config.control_address) if config.bootstrap else random_id(draw)
        return Identity(machine_id, config.name, config.zone, config.control_address, config.peer_address)

    # Heartbeats

    def _send_heartbeats(self) -> None:
        context = self._context
        context.announce = False
        self._next_beat = context.now + context.timing.heartbeat
        targets = {each.id: each for each in context.memory.view.acceptors}
        targets.update({peer.identity.id: peer.identity for peer in context.detector.peers.values()})
        targets.pop(context.own.id, None)
        beat = self._heartbeat()
        addresses = {each.peer_address for each in targets.values()}
        for target in targets.values():
            peer = context.detector.peers.get(target.id)
            beat.echo = peer.beat.stamp if peer is not None else 0.0
            beat.echo_boot = peer.boot if peer is not None else 0
            context.outbox.send(target, pb.CoreMessage(heartbeat=beat))
        lonely = not context.is_acceptor or len(context.detector.reached(context.now)) < context.memory.view.majority
        for _, address in self._seeds:
            if lonely and address not in addresses:
                beat.echo, beat.echo_boot = 0.0, 0
                context.outbox.send_to_address(address, pb.CoreMessage(heartbeat=beat))

    def _heartbeat(self) -> pb.Heartbeat:
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
            disk_healthy=context.disk.healthy(),
            reached=context.detector.reached(context.now),
            lease_free=self._grantor.free(),
            term=max(memory.term.number, self._holder.term if leads else 0),
            leads=leads,
            bootstrap=memory.bootstrap,
        )

    def _on_heartbeat(self, message: pb.CoreMessage, sender: Identity) -> None:
        context, beat = self._context, message.heartbeat
        if sender.id == context.own.id:
            return
        peer = context.detector.heard(context.now, sender, message.boot, beat)
        if peer.beat is not beat:
            return
        view = context.memory.view
        if view.chain and sender.id == view.chain[-1] and beat.epoch == view.epoch and not beat.sealed:
            self._chain.note_committed(beat.epoch, beat.sequence)
        self._check_active()
        self._freshness.update()
        self._fetch_if_behind(sender, beat)

    def _check_active(self) -> None:
        """At the head: see whether all members of the chain have adopted the epoch."""
        context = self._context
        view = context.memory.view
        if self._chain.active or not view.chain or view.chain[0] != context.own.id:
            return
        if context.joined != view.epoch or not context.settled:
            return
        for member in view.chain[1:]:
            peer = context.detector.peers.get(member)
            if peer is None or peer.beat.epoch != view.epoch or not peer.beat.joined:
                return
        self._chain.activate()

    # Views

    def _fetch_if_behind(self, sender: Identity, beat: pb.Heartbeat) -> None:
        context, memory = self._context, self._context.memory
        epoch, committed = memory.view.epoch, memory.committed.sequence
        missing = not context.in_chain and beat.committed > memory.newest.sequence
        behind = beat.epoch > epoch or (beat.epoch == epoch and missing)
        if behind and context.now - self._last_fetch >= FETCH_PAUSE_S:
            self._last_fetch = context.now
            context.outbox.send(sender, pb.CoreMessage(fetch=pb.Fetch(epoch=epoch, sequence=committed)))

    def _on_fetch(self, sender: Identity, fetch: pb.Fetch) -> None:
        memory = self._context.memory
        if (memory.view.epoch, memory.committed.sequence) > (fetch.epoch, fetch.sequence):
            decided = pb.Decided(view=memory.view.message(), state=memory.committed.message())
            self._context.outbox.send(sender, pb.CoreMessage(decided=decided))

    def _on_decided(self, decided: pb.Decided) -> None:
        context, memory = self._context, self._context.memory
        view, state = decided.view, decided.state
        if view.epoch > memory.view.epoch:
            self._adopt(view_of(view), state_of(state))
        elif not context.in_chain and (view.epoch, state.sequence) > (memory.view.epoch, memory.newest.sequence):
            # Members of the chain get writes in order, through the chain.
            context.disk.write(pb.Record(learn=pb.LearnRecord(state=state)))
            self._tell_committed()

    def _on_chosen(self, chosen: pb.Chosen) -> None:
        memory = self._context.memory
        ballot = ballot_of(chosen.ballot)
        if chosen.epoch != memory.view.epoch or memory.accepted is None or memory.accepted.ballot != ballot:
            return
        self._adopt(memory.accepted.view, memory.accepted.state, ballot)

    def _on_decision(self, proposal: Proposal) -> None:
        self._on_chosen(pb.Chosen(epoch=proposal.view.epoch - 1, ballot=proposal.ballot.message()))
        if self._context.memory.view.epoch < proposal.view.epoch:
            self._adopt(proposal.view, proposal.state)

    def _adopt(self, view: View, state: State, accepted: Ballot | None = None) -> None:
        """Take over a decided view with its state."""
        context = self._context
        before = context.memory.view
        if accepted is not None:
            record = pb.AdoptRecord(accepted=accepted.message())
        else:
            record = pb.AdoptRecord(view=view.message(), state=state.message())
        context.disk.write(pb.Record(adopt=record), partial(self._adopted, view.epoch))
        if view.epoch != before.epoch + 1 or not before.accepts(context.own.id):
            self._grantor.abstain()
        self._tell_committed()
        self._proposer.stop()
        self._chain.view_changed()
        self._confirmer.stop()

    def _adopted(self, epoch: int) -> None:
        """The adoption of a view is synced."""
        context = self._context
        if context.memory.view.epoch == epoch:
            context.adopted = context.joined = epoch
            context.announce = True
            self._check_active()

    def _tell_committed(self) -> None:
        configuration = self.committed
        if configuration is not None and configuration.sequence > self._told:
            self._told = configuration.sequence
            self._context.outbox.actions.append(Committed(configuration))

    def _consider_view(self) -> None:
        """Propose the next view: as the leader when one is needed, as any acceptor when an epoch stays sealed."""
        context = self._context
        if self._proposer.phase is not Phase.IDLE or not context.is_acceptor or not context.disk.healthy():
            return
        if self._holder.holds(context.now):
            if context.memory.sealed or needed_view(context.memory.view, self._situation()) is not None:
                self._proposer.begin()
        elif context.memory.sealed:
            wait = context.timing.recover_sealed + context.timing.heartbeat * self._place()
            if context.now - self._acceptor.sealed_since >= wait:
                self._proposer.begin()

    def _choose_view(self, answering: set[str]) -> View:
        """The view to propose, now that the epoch is sealed."""
        context = self._context
        view = context.memory.view
        situation = self._situation()
        chosen = any_view(view, situation, answering)
        for member in view.chain:
            if member not in chosen.chain and not context.detector.healthy(member):
                context.detector.removed(context.now, member)
        return chosen

    def _situation(self) -> Situation:
        context = self._context
        detector, view, now = context.detector, context.memory.view, context.now
        usable, restarted, joiners = {context.own.id}, set(), []
        for machine_id, peer in detector.peers.items():
            stays = machine_id in view.chain and peer.healthy
            if stays or detector.settled(now, machine_id):
                usable.add(machine_id)
                if not view.accepts(machine_id):
                    joiners.append(Joiner(peer.identity, peer.beat.bootstrap))
            if peer.healthy and peer.beat.epoch == view.epoch and not peer.beat.joined:
                restarted.add(machine_id)
        if context.joined != view.epoch and context.adopted == view.epoch:
            restarted.add(context.own.id)
        for member in view.chain:
            if detector.silent_for(now, member) < context.timing.suspect and member not in detector.peers:
                usable.add(member)  # not heard yet since this machine started
        return Situation(
            own=context.own.id,
            usable=usable,
            restarted=restarted,
            joiners=joiners,
            details=self._details,
            silent_for=partial(detector.silent_for, now),
            silent_removed=context.timing.silent_removed,
            suspect=context.timing.suspect,
            conflicts=detector.conflicts(now),
            granting=self._holder.granting(),
        )

    def _details(self, machine_id: str) -> Identity | None:
        if machine_id == self._context.own.id:
            return self._context.own
        peer = self._context.detector.peers.get(machine_id)
        return peer.identity if peer is not None else None

    # Lease

    def _on_lease_request(self, message: pb.CoreMessage, sender: Identity) -> None:
        self._grantor.on_request(sender, message.boot, message.lease_request)

    def _on_lease_release(self, message: pb.CoreMessage, sender: Identity) -> None:
        self._grantor.on_release(sender, message.boot, message.lease_release)

    def _free_grantors(self) -> int:
        """How many acceptors of the epoch would grant the lease, by their last heartbeats."""
        context = self._context
        view = context.memory.view
        free = 0
        for acceptor in view.acceptors:
            peer = context.detector.peers.get(acceptor.id)
            if acceptor.id == context.own.id:
                free += self._grantor.free()
            elif peer is not None and context.detector.reaches(context.now, acceptor.id):
                free += peer.beat.lease_free and peer.beat.epoch == view.epoch
        return free

    def _place(self) -> int:
        """Place among the members of the chain that work."""
        context = self._context
        place = 0
        for member in context.memory.view.chain:
            if member == context.own.id:
                return place
            place += context.detector.healthy(member)
        return place + 1
