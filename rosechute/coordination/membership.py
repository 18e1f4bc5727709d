"""The views of this machine: adopting them, catching up, and proposing the next one."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from rosechute.coordination.acceptor import Acceptor
from rosechute.coordination.chain import Chain
from rosechute.coordination.context import Context
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.leader_lease import LeaderLease
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.planning import Joiner, Situation, any_view, needed_view
from rosechute.coordination.proposer import Phase, Proposer
from rosechute.coordination.types import MachineIdentity
from rosechute.coordination.views import Ballot, Proposal, RegisterState, View
from rosechute.messages import coordination_pb2 as pb

FETCH_PAUSE_S = 0.1


class Membership:
    """The current view, and the change to the next one."""

    def __init__(
        self,
        context: Context,
        acceptor: Acceptor,
        chain: Chain,
        confirmer: EpochConfirmer,
        grantor: LeaseGrantor,
        holder: LeaderLease,
        committed: Callable[[], None],
    ) -> None:
        self._context = context
        self._acceptor = acceptor
        self._chain = chain
        self._confirmer = confirmer
        self._lease_grantor = grantor
        self._leader_lease = holder
        self._committed = committed
        self._last_fetch = 0.0
        self.proposer = Proposer(context, self._choose_view, self._on_decision)

    def adopt(self, view: View, state: RegisterState, accepted: Ballot | None = None) -> None:
        """Take over a decided view with its state."""
        context = self._context
        joins = context.replica_state.joins(view)
        if accepted is not None:
            record = pb.AdoptRecord(accepted=accepted.to_message())
        else:
            record = pb.AdoptRecord(view=view.to_message(), state=state.to_message())
        context.record_writer.write(pb.Record(adopt=record), partial(self._adopted, view.epoch))
        if joins:
            self._lease_grantor.abstain()
        self._committed()
        self.proposer.stop()
        self._chain.on_view_change()
        self._confirmer.reject_all()

    def _adopted(self, epoch: int) -> None:
        """The adoption of a view is synced."""
        context = self._context
        if context.replica_state.view.epoch == epoch:
            context.adopted_epoch = context.joined_epoch = epoch
            context.heartbeat_due = True
            self.check_active()

    def check_active(self) -> None:
        """At the head: see whether all members of the chain have adopted the epoch."""
        context = self._context
        view = context.replica_state.view
        if self._chain.is_active or not view.chain or view.chain[0] != context.own.id:
            return
        if context.joined_epoch != view.epoch or not context.is_epoch_adopted:
            return
        for member in view.chain[1:]:
            peer = context.failure_detector.peers.get(member)
            if peer is None or peer.heartbeat.epoch != view.epoch or not peer.heartbeat.joined:
                return
        self._chain.activate()

    def on_chosen(self, chosen: pb.Chosen) -> None:
        """The proposal of this ballot is decided."""
        replica_state = self._context.replica_state
        ballot = Ballot.from_message(chosen.ballot)
        if (
            chosen.epoch != replica_state.view.epoch
            or replica_state.accepted is None
            or replica_state.accepted.ballot != ballot
        ):
            return
        self.adopt(replica_state.accepted.view, replica_state.accepted.state, ballot)

    def on_decided(self, decided: pb.Decided) -> None:
        """A decided view came whole, with a state of it that stays."""
        context, replica_state = self._context, self._context.replica_state
        view, state = decided.view, decided.state
        if view.epoch > replica_state.view.epoch:
            self.adopt(View.from_message(view), RegisterState.from_message(state))
        elif not context.is_in_chain and (view.epoch, state.sequence) > (
            replica_state.view.epoch,
            replica_state.newest.sequence,
        ):
            # Members of the chain get writes in order, through the chain.
            context.record_writer.write(pb.Record(learn=pb.LearnRecord(state=state)))
            self._committed()

    def fetch_if_behind(self, sender: MachineIdentity, beat: pb.Heartbeat) -> None:
        """Ask a machine for what it has and this one lacks."""
        context, replica_state = self._context, self._context.replica_state
        epoch, committed = replica_state.view.epoch, replica_state.committed.sequence
        missing = not context.is_in_chain and beat.committed > replica_state.newest.sequence
        behind = beat.epoch > epoch or (beat.epoch == epoch and missing)
        if behind and context.now - self._last_fetch >= FETCH_PAUSE_S:
            self._last_fetch = context.now
            context.outbox.send(sender, pb.CoreMessage(fetch=pb.Fetch(epoch=epoch, sequence=committed)))

    def on_fetch(self, sender: MachineIdentity, fetch: pb.Fetch) -> None:
        """Another machine lacks what this one has."""
        replica_state = self._context.replica_state
        if (replica_state.view.epoch, replica_state.committed.sequence) > (fetch.epoch, fetch.sequence):
            decided = pb.Decided(view=replica_state.view.to_message(), state=replica_state.committed.to_message())
            self._context.outbox.send(sender, pb.CoreMessage(decided=decided))

    def tick(self) -> None:
        """Repeat what was not answered, and see whether the view is right."""
        self.proposer.tick()
        self._consider()
        self.check_active()

    def _consider(self) -> None:
        """Propose the next view: as the leader when one is needed, as any acceptor when an epoch stays sealed."""
        context = self._context
        if self.proposer.phase is not Phase.IDLE or not context.is_acceptor or not context.is_healthy:
            return
        if self._leader_lease.is_held(context.now):
            if context.replica_state.sealed or needed_view(context.replica_state.view, self._situation()) is not None:
                self.proposer.begin()
        elif context.replica_state.sealed:
            wait = context.timing.recover_sealed + context.timing.heartbeat * self._context.chain_position()
            if context.now - self._acceptor.sealed_since >= wait:
                self.proposer.begin()

    def _choose_view(self, answering: set[str]) -> View:
        """The view to propose, now that the epoch is sealed."""
        context = self._context
        view = context.replica_state.view
        situation = self._situation()
        chosen = any_view(view, situation, answering)
        for member in view.chain:
            if member not in chosen.chain and not context.failure_detector.is_healthy(member):
                context.failure_detector.record_removal(context.now, member)
        return chosen

    def _on_decision(self, proposal: Proposal) -> None:
        self.on_chosen(pb.Chosen(epoch=proposal.view.epoch - 1, ballot=proposal.ballot.to_message()))
        if self._context.replica_state.view.epoch < proposal.view.epoch:
            self.adopt(proposal.view, proposal.state)

    def _situation(self) -> Situation:
        context = self._context
        detector, view, now = context.failure_detector, context.replica_state.view, context.now
        usable, restarted, joiners = {context.own.id}, set(), []
        leaving, returning = set(), set()
        for machine_id, peer in detector.peers.items():
            if peer.heartbeat.leaving and detector.is_reachable(now, machine_id):
                leaving.add(machine_id)
            if peer.is_healthy:
                returning.add(machine_id)
            stays = machine_id in view.chain and peer.is_healthy
            if stays or detector.is_readmittable(now, machine_id):
                usable.add(machine_id)
                if not view.is_acceptor(machine_id):
                    joiners.append(Joiner(peer.identity, peer.heartbeat.newcomer))
            if peer.is_healthy and peer.heartbeat.epoch == view.epoch and not peer.heartbeat.joined:
                restarted.add(machine_id)
        if context.joined_epoch != view.epoch and context.adopted_epoch == view.epoch:
            restarted.add(context.own.id)
        for member in view.chain:
            if detector.silence_s(now, member) < context.timing.suspect and member not in detector.peers:
                usable.add(member)  # not heard yet since this machine started
        return Situation(
            own=context.own.id,
            usable=usable,
            restarted=restarted,
            joiners=joiners,
            details=self._details,
            leaving=leaving,
            returning=returning,
            silence_s=partial(detector.silence_s, now),
            silent_removed=context.timing.silent_removed,
            suspect=context.timing.suspect,
            conflicts=detector.unreachable_pairs(now),
            granting=self._leader_lease.count_granting_acceptors(),
        )

    def _details(self, machine_id: str) -> MachineIdentity | None:
        if machine_id == self._context.own.id:
            return self._context.own
        peer = self._context.failure_detector.peers.get(machine_id)
        return peer.identity if peer is not None else None
