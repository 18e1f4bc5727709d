"""The acceptor of single-decree Paxos for the view that follows the current one."""

from __future__ import annotations

from functools import partial

from rosechute.coordination.context import Context
from rosechute.coordination.types import Identity
from rosechute.coordination.views import Ballot
from rosechute.messages import coordination_pb2 as pb


class Acceptor:
    """Promises and acceptances. A promise seals the epoch; both are synced before they are answered."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._number = 0  # of the record with the newest promise or acceptance
        self.sealed_since = context.now  # of the newest promise or acceptance

    def on_prepare(self, sender: Identity, prepare: pb.Prepare) -> None:
        """A proposer asks for a promise."""
        ballot = Ballot.from_message(prepare.ballot)
        if not self._may_answer(sender, prepare.epoch):
            return
        promised = self._context.memory.promised
        if promised is not None and ballot < promised:
            self._refuse(sender, prepare.epoch, ballot, promised)
            return
        if promised is None or ballot > promised:
            self._write(pb.Record(promise=pb.PromiseRecord(ballot=ballot.to_message(), epoch=prepare.epoch)))
        own_tag = (prepare.state_epoch, prepare.state_sequence)
        self._context.record_writer.call_when_synced(
            self._number, partial(self._promise, sender, prepare.epoch, ballot, own_tag)
        )

    def on_accept(self, sender: Identity, accept: pb.Accept) -> None:
        """A proposer asks to accept a view and its state."""
        ballot = Ballot.from_message(accept.proposal.ballot)
        if not self._may_answer(sender, accept.epoch):
            return
        memory = self._context.memory
        if memory.promised is not None and ballot < memory.promised:
            self._refuse(sender, accept.epoch, ballot, memory.promised)
            return
        if memory.accepted is None or memory.accepted.ballot != ballot:
            self._write(pb.Record(accepted=accept.proposal))
        self._context.record_writer.call_when_synced(
            self._number, partial(self._accepted, sender, accept.epoch, ballot)
        )

    def _may_answer(self, sender: Identity, epoch: int) -> bool:
        context = self._context
        if epoch != context.memory.view.epoch or not context.is_acceptor:
            return False
        # A proposer that can't hear the answer would only seal the epoch.
        return context.memory.view.is_acceptor(sender.id) and context.failure_detector.is_reachable(
            context.now, sender.id
        )

    def _write(self, record: pb.Record) -> None:
        context = self._context
        context.record_writer.write(record)
        self._number = context.record_writer.last_number
        self.sealed_since = context.now

    def _promise(self, sender: Identity, epoch: int, ballot: Ballot, known: tuple[int, int]) -> None:
        memory = self._context.memory
        if memory.view.epoch != epoch or memory.promised != ballot:
            return
        promise = pb.Promise(epoch=epoch, ballot=ballot.to_message(), term=memory.term.to_message())
        if memory.accepted is not None:
            promise.accepted.CopyFrom(memory.accepted.to_message())
        if memory.newest.tag > known:
            promise.state.CopyFrom(memory.newest.to_message())
        self._context.outbox.send(sender, pb.CoreMessage(promise=promise))

    def _accepted(self, sender: Identity, epoch: int, ballot: Ballot) -> None:
        memory = self._context.memory
        if memory.view.epoch != epoch or memory.accepted is None or memory.accepted.ballot != ballot:
            return
        answer = pb.Accepted(epoch=epoch, ballot=ballot.to_message())
        self._context.outbox.send(sender, pb.CoreMessage(accepted=answer))

    def _refuse(self, sender: Identity, epoch: int, ballot: Ballot, promised: Ballot) -> None:
        refused = pb.Refused(epoch=epoch, ballot=ballot.to_message(), promised=promised.to_message())
        self._context.outbox.send(sender, pb.CoreMessage(refused=refused))
