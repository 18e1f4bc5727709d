"""Chain replication of the configuration register (van Renesse and Schneider, OSDI 2004).

Writes enter at the head of the chain. Each member syncs a write to its disk and forwards it to its successor. A write
is committed once the tail has synced it, and reads are served by the tail. Members and their order come from the
agreed view; a new view replaces the chain (vertical Paxos: Lamport, Malkhi, Zhou, PODC 2009).

Two rules go beyond the paper, as a machine may not know yet that its view was replaced: the tail serves a read, and
the head rejects a write, only after a majority of the acceptors has confirmed that the epoch is not sealed
(`epoch_confirmer`).

States of a write request at this machine
-----------------------------------------

- *queued*: waits in `_queue`, because this machine is not the head, the members have not all adopted the epoch,
  another write is in flight, or the write builds on a version that has not arrived.
- *in flight*: stored by the head and on its way to the tail (`_in_flight`). There is one at a time, since each write
  builds on the version before it. The head resends it with a growing delay until the tail has it.
- *conflict unconfirmed*: its base version is not the current one; the rejection waits until the epoch is confirmed
  (`_unconfirmed_conflicts`).
- *completed*: each request for the write has its one reply: `WriteAcknowledged`, `VersionConflict`,
  `Redirect` to the head, or `OutcomeUnknown` after the request deadline or without a majority.

    queued -> in flight -> completed
    queued -> conflict unconfirmed -> completed, or queued again where the epoch was not confirmed
    queued -> completed, where another head has committed the write, or at a redirect or time-out

A new view puts a write that is in flight or unconfirmed back into the queue; where the new view already contains it,
it is acknowledged. A write whose requests have all timed out may still be committed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from rosechute.coordination.context import Context
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.outcomes import (
    NoConfiguration,
    Outcome,
    OutcomeUnknown,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
    WriteRequest,
)
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.replica_state import chain_write_message
from rosechute.messages import coordination_pb2 as pb

SILENT_HEARTBEATS = 3  # missed heartbeats after which no request is redirected to a machine


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that has no reply yet.

    Attributes:
        request_id: the runtime's number of the request.
        arrived_at: when it arrived, in seconds of the machine's steady clock.
    """

    request_id: int
    arrived_at: float


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A write that is not completed, with all requests for it: an operator's client may repeat a request."""

    write: WriteRequest
    requests: list[PendingRequest] = field(default_factory=list)


@dataclass(slots=True)
class InFlightWrite:
    """The write on its way through the chain.

    Attributes:
        sequence: sequence of the register state that it leads to.
        pending: the write, with the requests that wait for it.
        sent_at: when it was last sent, in seconds of the machine's steady clock.
        resend_after_s: delay before it is sent once more; doubles each time.
    """

    sequence: int
    pending: PendingWrite
    sent_at: float
    resend_after_s: float


class Chain:
    """This machine's part in the chain: head, middle member or tail, and requests of operators at any machine."""

    def __init__(self, context: Context, confirmer: EpochConfirmer, notify_committed: Callable[[], None]) -> None:
        """Create this machine's part; it does not accept writes before `activate`.

        Args:
            context: what the parts of the replica share.
            confirmer: confirms that the epoch is current.
            notify_committed: called whenever a newer configuration may be committed.
        """
        self._context = context
        self._confirmer = confirmer
        self._notify_committed = notify_committed
        self._in_flight: InFlightWrite | None = None
        self._queue: deque[PendingWrite] = deque()
        self._unconfirmed_conflicts: list[PendingWrite] = []
        self._pending_reads: deque[PendingRequest] = deque()  # not ordered by arrival: unconfirmed reads are appended
        self._last_write_number = 0  # number of the record with the newest write, see `RecordWriter`
        self.is_active = False  # this machine is the head, and all members have adopted the epoch

    # Requests of operators

    def propose_write(self, write: WriteRequest) -> None:
        """Take a write request; its reply follows in this call or a later one."""
        context = self._context
        applied_version = context.replica_state.committed.applied_version(write.digest)
        if applied_version is not None:
            context.outbox.reply(write.request_id, WriteAcknowledged(applied_version))
            return
        request = PendingRequest(write.request_id, context.now)
        for pending in self._pending_writes():
            if pending.write.digest == write.digest:
                pending.requests.append(request)
                self._process_pending()
                return
        self._queue.append(PendingWrite(write, [request]))
        self._process_pending()

    def read(self, request_id: int) -> None:
        """Take a read of the newest committed configuration; its reply follows in this call or a later one."""
        self._pending_reads.append(PendingRequest(request_id, self._context.now))
        self._process_pending()

    def activate(self) -> None:
        """Start to take writes as the head: all members of the chain have adopted the epoch."""
        if not self.is_active:
            self.is_active = True
            self._context.heartbeat_due = True
            self._start_next_write()

    def on_view_change(self) -> None:
        """Requeue or complete what was pending in the old view; called once the new view is adopted."""
        self.is_active = False
        pending_writes = self._pending_writes()
        self._in_flight = None
        self._queue.clear()
        self._unconfirmed_conflicts.clear()
        for pending in pending_writes:
            self._requeue(pending)

    def tick(self) -> None:
        """Time out old requests, process the others and resend the write in flight."""
        for pending in self._pending_writes():
            self._time_out_requests(pending)
        self._queue = deque(pending for pending in self._queue if pending.requests)
        self._time_out_reads()
        self._process_pending()
        self._resend_in_flight()

    def _pending_writes(self) -> list[PendingWrite]:
        """Return the writes in flight, queued and unconfirmed, in this order."""
        in_flight = [self._in_flight.pending] if self._in_flight is not None else []
        return [*in_flight, *self._queue, *self._unconfirmed_conflicts]

    def _process_pending(self) -> None:
        """Process pending requests here, redirect them, or give up where no majority is reachable."""
        if not self._pending_writes() and not self._pending_reads:
            return
        self._complete_committed_writes()
        if self._is_partitioned():
            self._complete_all_as_unknown()
            return
        self._process_writes()
        self._process_reads()

    def _process_writes(self) -> None:
        if self._is_head():
            self._start_next_write()
        elif self._queue and (redirect := self._redirect_to(self._context.replica_state.view.head())) is not None:
            self._complete_queue(redirect)

    def _process_reads(self) -> None:
        if not self._pending_reads:
            return
        view = self._context.replica_state.view
        if view.chain and view.chain[-1] == self._context.own.id:
            self._confirm_reads()
        elif (redirect := self._redirect_to(view.tail())) is not None:
            self._complete_reads(redirect)

    def _is_head(self) -> bool:
        view = self._context.replica_state.view
        return bool(view.chain) and view.chain[0] == self._context.own.id

    def _is_partitioned(self) -> bool:
        """Return whether no majority of the acceptors is reachable, so that pending requests cannot complete.

        Return False right after the start, when no heartbeat of the others may have arrived yet.
        """
        context = self._context
        view = context.replica_state.view
        if context.now - context.failure_detector.started_at < context.timing.request_deadline_s:
            return False
        reachable = sum(context.failure_detector.is_reachable(context.now, each.id) for each in view.acceptors)
        return reachable < view.majority

    def _redirect_to(self, target: MachineIdentity | None) -> Redirect | None:
        """Return a redirect to a machine, or None where it is this one or does not seem to run.

        A redirect to a machine that is down costs the client a time-out. A machine that has been silent for long may
        still be reachable from others, if only the path between it and this machine is cut.
        """
        context = self._context
        if target is None or target.id == context.own.id:
            return None
        detector = context.failure_detector
        silence_s = detector.silence_s(context.now, target.id)
        if silence_s > context.timing.lease_s:
            is_running = detector.is_reachable_from_another(context.now, target.id)
        else:
            is_recent = silence_s <= SILENT_HEARTBEATS * context.timing.heartbeat_period_s
            is_running = is_recent and detector.is_reachable(context.now, target.id)
        if not is_running:
            return None
        return Redirect(target.control_address)

    # Queue of the head

    def _start_next_write(self) -> None:
        """Process queued writes until one is in flight. Writes that wait for their predecessor keep their order."""
        context = self._context
        without_predecessor: list[PendingWrite] = []
        while self.is_active and context.is_epoch_adopted and self._in_flight is None and self._queue:
            pending = self._queue.popleft()
            applied_version = context.replica_state.committed.applied_version(pending.write.digest)
            if applied_version is not None:
                self._reply(pending, WriteAcknowledged(applied_version))
            elif self._awaits_predecessor(pending.write):
                without_predecessor.append(pending)
            else:
                self._start_or_reject(pending)
        self._queue.extendleft(reversed(without_predecessor))

    def _awaits_predecessor(self, write: WriteRequest) -> bool:
        """Return whether the write builds on one that may still be on its way to this machine."""
        return write.base_version > self._context.replica_state.committed.version

    def _start_or_reject(self, pending: PendingWrite) -> None:
        """Start a write on top of the current version; otherwise have its conflict confirmed."""
        write, current = pending.write, self._context.replica_state.committed
        if current.may_have_evicted(write.version):
            self._reply(pending, OutcomeUnknown())
        elif write.base_version != current.version or write.version <= current.version:
            self._unconfirmed_conflicts.append(pending)
            self._confirmer.confirm_epoch(partial(self._on_conflict_checked, pending), self._context.now)
        else:
            self._start_write(pending)

    def _start_write(self, pending: PendingWrite) -> None:
        context, write = self._context, pending.write
        epoch = context.replica_state.view.epoch
        state = context.replica_state.committed.with_write(epoch, write.version, write.body, write.digest)
        self._in_flight = InFlightWrite(state.sequence, pending, context.now, context.timing.resend_write_after_s)
        self._store(chain_write_message(state))

    def _on_conflict_checked(self, pending: PendingWrite, *, is_confirmed: bool) -> None:
        """Reject a write whose base version is not current, if the epoch is confirmed; otherwise requeue it."""
        if pending not in self._unconfirmed_conflicts:
            return
        self._unconfirmed_conflicts.remove(pending)
        if is_confirmed:
            self._reply(pending, VersionConflict(self._context.replica_state.committed.version))
        else:
            self._requeue(pending)

    def _requeue(self, pending: PendingWrite) -> None:
        """Acknowledge a write that the committed state contains; otherwise queue it while a request waits for it."""
        applied_version = self._context.replica_state.committed.applied_version(pending.write.digest)
        if applied_version is not None:
            self._reply(pending, WriteAcknowledged(applied_version))
        elif pending.requests:
            self._queue.append(pending)

    # Replies

    def _complete_committed_writes(self) -> None:
        """Acknowledge queued writes that another head has committed."""
        for pending in list(self._queue):
            applied_version = self._context.replica_state.committed.applied_version(pending.write.digest)
            if applied_version is not None:
                self._queue.remove(pending)
                self._reply(pending, WriteAcknowledged(applied_version))

    def _complete_all_as_unknown(self) -> None:
        for pending in self._pending_writes():
            self._reply(pending, OutcomeUnknown())
        self._queue.clear()
        self._complete_reads(OutcomeUnknown())

    def _complete_queue(self, outcome: Outcome) -> None:
        while self._queue:
            self._reply(self._queue.popleft(), outcome)

    def _complete_reads(self, outcome: Outcome) -> None:
        while self._pending_reads:
            self._context.outbox.reply(self._pending_reads.popleft().request_id, outcome)

    def _reply(self, pending: PendingWrite, outcome: Outcome) -> None:
        for request in pending.requests:
            self._context.outbox.reply(request.request_id, outcome)
        pending.requests.clear()

    def _time_out_requests(self, pending: PendingWrite) -> None:
        """Reply to the requests for a write that are past their deadline: the client has stopped waiting."""
        arrived_by = self._context.now - self._context.timing.request_deadline_s
        for request in pending.requests:
            if request.arrived_at <= arrived_by:
                self._context.outbox.reply(request.request_id, OutcomeUnknown())
        pending.requests = [request for request in pending.requests if request.arrived_at > arrived_by]

    def _time_out_reads(self) -> None:
        now, deadline = self._context.now, self._context.timing.request_deadline_s
        for expired in [read for read in self._pending_reads if now - read.arrived_at >= deadline]:
            self._pending_reads.remove(expired)
            self._context.outbox.reply(expired.request_id, OutcomeUnknown())

    # Replication

    def on_chain_write(self, sender: MachineIdentity, write: pb.ChainWrite) -> None:
        """Store a write that the predecessor forwards, or forward it once more where it is stored already."""
        context = self._context
        view, newest = context.replica_state.view, context.replica_state.newest
        if write.epoch != view.epoch or not context.is_epoch_adopted or context.joined_epoch != view.epoch:
            return
        if view.predecessor(context.own.id) != sender.id:
            return
        if write.sequence == newest.sequence + 1:
            self._store(write)
        elif write.sequence == newest.sequence:
            self._call_when_stored(write.epoch, write.sequence)

    def on_committed(self, epoch: int, sequence: int) -> None:
        """Commit the uncommitted write of this machine: the tail has synced all up to a sequence.

        Args:
            epoch: epoch in which the tail has synced it.
            sequence: sequence of the tail's state.
        """
        context, replica_state = self._context, self._context.replica_state
        uncommitted = replica_state.uncommitted
        if epoch != replica_state.view.epoch or uncommitted is None or uncommitted.sequence > sequence:
            return
        replica_state.commit()
        self._notify_committed()
        in_flight = self._in_flight
        if in_flight is not None and in_flight.sequence <= sequence:
            self._in_flight = None
            self._reply(in_flight.pending, WriteAcknowledged(in_flight.pending.write.version))
        if context.is_epoch_adopted:
            self._start_next_write()

    def durable_sequence(self) -> int:
        """Return the sequence of the newest register state that is synced to this machine's disk."""
        replica_state = self._context.replica_state
        is_newest_synced = self._last_write_number <= self._context.record_writer.synced_number
        return replica_state.newest.sequence if is_newest_synced else replica_state.committed.sequence

    def _store(self, write: pb.ChainWrite) -> None:
        """Write to the disk. This commits the write before it: see `ReplicaState.commit`."""
        context = self._context
        committed_before = context.replica_state.committed.sequence
        context.record_writer.write(pb.Record(write=write), partial(self._on_stored, write.epoch, write.sequence))
        self._last_write_number = context.record_writer.last_number
        if context.replica_state.committed.sequence > committed_before:
            self._notify_committed()

    def _call_when_stored(self, epoch: int, sequence: int) -> None:
        callback = partial(self._on_stored, epoch, sequence)
        self._context.record_writer.call_when_synced(self._last_write_number, callback)

    def _on_stored(self, epoch: int, sequence: int) -> None:
        """Forward a write that is synced here; at the tail, commit it."""
        context, newest = self._context, self._context.replica_state.newest
        view = context.replica_state.view
        if epoch != view.epoch or not context.is_epoch_adopted or newest.sequence != sequence:
            return
        successor = view.successor(context.own.id)
        if successor is not None:
            context.outbox.send(successor, pb.CoreMessage(chain_write=chain_write_message(newest)))
        else:
            context.heartbeat_due = True  # the other members learn of the commit by the tail's heartbeat
            self.on_committed(epoch, sequence)

    def _resend_in_flight(self) -> None:
        now, in_flight = self._context.now, self._in_flight
        if in_flight is not None and now - in_flight.sent_at >= in_flight.resend_after_s:
            in_flight.sent_at, in_flight.resend_after_s = now, 2 * in_flight.resend_after_s
            self._call_when_stored(self._context.replica_state.view.epoch, in_flight.sequence)

    # Reads of the tail

    def _confirm_reads(self) -> None:
        """Have the epoch confirmed for each pending read: then the tail's state is the newest committed one."""
        while self._context.is_epoch_adopted and self._pending_reads:
            read = self._pending_reads.popleft()
            self._confirmer.confirm_epoch(partial(self._on_read_checked, read), read.arrived_at)

    def _on_read_checked(self, read: PendingRequest, *, is_confirmed: bool) -> None:
        """Reply to a read with the committed state; queue it once more where the epoch was not confirmed in time."""
        outbox = self._context.outbox
        committed = self._context.replica_state.committed.committed_configuration()
        if not is_confirmed:
            self._pending_reads.append(read)
        elif committed is None:
            outbox.reply(read.request_id, NoConfiguration())
        else:
            result = ReadResult(committed.sequence, committed.version, committed.body, committed.digest)
            outbox.reply(read.request_id, result)
