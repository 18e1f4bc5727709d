"""Acceptor of single-decree Paxos: one instance decides the view after the current one.

Source: Lamport, "Paxos Made Simple", 2001.

A promise seals the epoch at this machine: it stores no writes and grants no leases of the epoch from then on.
Promises and acceptances are synced to the disk before they are sent."""

from __future__ import annotations

from functools import partial

from rosechute.coordination.context import Context
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import Ballot, StateTag
from rosechute.messages import coordination_pb2 as pb


class Acceptor:
    """The acceptor role of this machine.

    Args:
        context: what the parts of a replica share.

    Attributes:
        sealed_since: when the newest promise or acceptance was made, in seconds of the steady clock.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._record_number = 0  # number of the record with the newest promise or acceptance
        self.sealed_since = context.now

    def on_prepare(self, sender: MachineIdentity, prepare: pb.Prepare) -> None:
        """Handle phase 1a: promise to accept no lower ballot, or answer with a nack."""
        ballot = Ballot.from_message(prepare.ballot)
        if not self._may_answer(sender, prepare.epoch):
            return
        promised = self._context.replica_state.promised
        if promised is not None and ballot < promised:
            self._send_nack(sender, prepare.epoch, ballot, promised)
            return
        if promised is None or ballot > promised:
            self._write(pb.Record(promise=pb.PromiseRecord(ballot=ballot.to_message(), epoch=prepare.epoch)))
        proposer_tag = StateTag(prepare.state_epoch, prepare.state_sequence)
        send_promise = partial(self._send_promise, sender, prepare.epoch, ballot, proposer_tag)
        self._context.record_writer.call_when_synced(self._record_number, send_promise)

    def on_accept(self, sender: MachineIdentity, accept: pb.Accept) -> None:
        """Handle phase 2a: accept a proposal unless a higher ballot was promised, or answer with a nack."""
        ballot = Ballot.from_message(accept.proposal.ballot)
        if not self._may_answer(sender, accept.epoch):
            return
        replica_state = self._context.replica_state
        if replica_state.promised is not None and ballot < replica_state.promised:
            self._send_nack(sender, accept.epoch, ballot, replica_state.promised)
            return
        if replica_state.accepted is None or replica_state.accepted.ballot != ballot:
            self._write(pb.Record(accepted=accept.proposal))
        send_accepted = partial(self._send_accepted, sender, accept.epoch, ballot)
        self._context.record_writer.call_when_synced(self._record_number, send_accepted)

    def _may_answer(self, sender: MachineIdentity, epoch: int) -> bool:
        context = self._context
        if epoch != context.replica_state.view.epoch or not context.is_acceptor:
            return False
        # A proposer that does not receive the answer would seal the epoch and decide nothing.
        is_reachable = context.failure_detector.is_reachable(context.now, sender.id)
        return context.replica_state.view.is_acceptor(sender.id) and is_reachable

    def _write(self, record: pb.Record) -> None:
        context = self._context
        context.record_writer.write(record)
        self._record_number = context.record_writer.last_number
        self.sealed_since = context.now

    def _send_promise(self, sender: MachineIdentity, epoch: int, ballot: Ballot, proposer_tag: StateTag) -> None:
        """Send phase 1b, with the register state only where it is newer than the proposer's."""
        replica_state = self._context.replica_state
        if replica_state.view.epoch != epoch or replica_state.promised != ballot:
            return
        promise = pb.Promise(
            epoch=epoch,
            ballot=ballot.to_message(),
            term=replica_state.term.to_message(),
            rate_lease_owners=replica_state.newest_rate_lease_owners().to_message(),
        )
        if replica_state.accepted is not None:
            promise.accepted.CopyFrom(replica_state.accepted.to_message())
        if replica_state.newest.tag > proposer_tag:
            promise.state.CopyFrom(replica_state.newest.to_message())
        self._context.outbox.send(sender, pb.CoreMessage(promise=promise))

    def _send_accepted(self, sender: MachineIdentity, epoch: int, ballot: Ballot) -> None:
        """Send phase 2b."""
        replica_state = self._context.replica_state
        proposal = replica_state.accepted
        if replica_state.view.epoch != epoch or proposal is None or proposal.ballot != ballot:
            return
        accepted = pb.Accepted(epoch=epoch, ballot=ballot.to_message())
        self._context.outbox.send(sender, pb.CoreMessage(accepted=accepted))

    def _send_nack(self, sender: MachineIdentity, epoch: int, ballot: Ballot, promised: Ballot) -> None:
        """Tell a proposer that a higher ballot was promised (message `Refused`)."""
        nack = pb.Refused(epoch=epoch, ballot=ballot.to_message(), promised=promised.to_message())
        self._context.outbox.send(sender, pb.CoreMessage(refused=nack))
