"""The chain: writes enter at the head, are stored by each member in turn, and count once the tail has stored them.

The head has one write under way at a time; orders behind it wait, since each builds on the version before it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from rosechute.coordination.context import Context
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.replica_state import chain_write_message
from rosechute.coordination.types import (
    MachineIdentity,
    NoConfiguration,
    Outcome,
    OutcomeUnknown,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
    WriteRequest,
)
from rosechute.messages import coordination_pb2 as pb

SILENT_HEARTBEATS = 3  # nobody is sent to a machine of which so many are missing


@dataclass(slots=True, eq=False)
class PendingOrder:
    """An order that waits, with all requests that sent it."""

    order: WriteRequest
    requests: list[tuple[int, float]] = field(default_factory=list)  # with the time when each came


@dataclass(slots=True)
class _Flight:
    """The write that is under way."""

    sequence: int
    pending: PendingOrder
    sent: float
    wait: float


class Chain:
    """This machine as head, middle or tail."""

    def __init__(self, context: Context, confirmer: EpochConfirmer, committed: Callable[[], None]) -> None:
        self._context = context
        self._confirmer = confirmer
        self._committed = committed
        self._flight: _Flight | None = None
        self._queue: deque[PendingOrder] = deque()
        self._refusals: list[PendingOrder] = []
        self._reads: deque[tuple[int, float]] = deque()  # with the time when each came; in no order
        self._number = 0  # of the record with the newest write
        self.is_active = False  # this is the head, and all members have adopted the epoch

    # Orders

    def propose_write(self, order: WriteRequest) -> None:
        """An operator's order at this machine."""
        context = self._context
        taken = context.replica_state.committed.applied_version(order.digest)
        if taken is not None:
            context.outbox.reply(order.request, WriteAcknowledged(taken))
            return
        for pending in self._under_way():
            if pending.order.digest == order.digest:
                pending.requests.append((order.request, context.now))
                self._advance()
                return
        self._queue.append(PendingOrder(order, [(order.request, context.now)]))
        self._advance()

    def activate(self) -> None:
        """All members of the chain have adopted the epoch; orders may be taken."""
        if not self.is_active:
            self.is_active = True
            self._context.heartbeat_due = True
            self._next()

    def _is_head(self) -> bool:
        view = self._context.replica_state.view
        return bool(view.chain) and view.chain[0] == self._context.own.id

    def _cut_off(self) -> bool:
        """Whether no majority answers this machine: nothing will come of waiting."""
        context = self._context
        if context.now - context.failure_detector.started_at < context.timing.order_deadline:
            return False
        acceptors = context.replica_state.view.acceptors
        reached = sum(context.failure_detector.is_reachable(context.now, each.id) for each in acceptors)
        return reached < context.replica_state.view.majority

    def _elsewhere(self, target: MachineIdentity | None) -> Redirect | None:
        """Another machine to go to, if it is there: whoever is sent to a silent one loses time."""
        context = self._context
        if target is None or target.id == context.own.id:
            return None
        detector, heartbeat = context.failure_detector, context.timing.heartbeat
        silent = detector.silence_s(context.now, target.id)
        if silent > context.timing.lease:
            there = detector.is_reachable_from_another(
                context.now, target.id
            )  # its path to this machine alone is cut
        else:
            there = silent <= SILENT_HEARTBEATS * heartbeat and detector.is_reachable(context.now, target.id)
        if not there:
            return None
        return Redirect(target.control_address)

    def _advance(self) -> None:
        """Deal with what waits: here, at another machine, or not at all."""
        waiting = self._under_way()
        if not waiting and not self._reads:
            return
        self._settle_taken()
        if self._cut_off():
            for pending in waiting:
                self._answer(pending, OutcomeUnknown())
            self._queue.clear()
            self._settle_reads(OutcomeUnknown())
            return
        view = self._context.replica_state.view
        if self._is_head():
            self._next()
        elif self._queue and (elsewhere := self._elsewhere(view.head())) is not None:
            self._settle_orders(elsewhere)
        if not self._reads:
            return
        if view.chain and view.chain[-1] == self._context.own.id:
            self._next_reads()
        elif (elsewhere := self._elsewhere(view.tail())) is not None:
            self._settle_reads(elsewhere)

    def _settle_taken(self) -> None:
        """Orders that came into force at another head."""
        for pending in list(self._queue):
            taken = self._context.replica_state.committed.applied_version(pending.order.digest)
            if taken is not None:
                self._queue.remove(pending)
                self._answer(pending, WriteAcknowledged(taken))

    def _settle_orders(self, outcome: Outcome) -> None:
        while self._queue:
            self._answer(self._queue.popleft(), outcome)

    def _settle_reads(self, outcome: Outcome) -> None:
        while self._reads:
            self._context.outbox.reply(self._reads.popleft()[0], outcome)

    def _under_way(self) -> list[PendingOrder]:
        flight = [self._flight.pending] if self._flight is not None else []
        return [*flight, *self._queue, *self._refusals]

    def _next(self) -> None:
        """Deal with the orders that wait, until one of them is under way."""
        context = self._context
        early: list[PendingOrder] = []
        while self.is_active and context.is_epoch_adopted and self._flight is None and self._queue:
            pending = self._queue.popleft()
            order, current = pending.order, context.replica_state.committed
            taken = current.applied_version(order.digest)
            if taken is not None:
                self._answer(pending, WriteAcknowledged(taken))
            elif self._early(order):
                early.append(pending)
            elif current.may_have_evicted(order.version):
                self._answer(pending, OutcomeUnknown())
            elif order.base_version != current.version or order.version <= current.version:
                self._refusals.append(pending)
                self._confirmer.confirm_epoch(partial(self._refuse, pending), context.now)
            else:
                self._start(pending)
        self._queue.extendleft(reversed(early))

    def _early(self, order: WriteRequest) -> bool:
        """Whether the order that this one builds on may still be on its way."""
        return order.base_version > self._context.replica_state.committed.version

    def _start(self, pending: PendingOrder) -> None:
        context, order = self._context, pending.order
        state = context.replica_state.committed.with_write(
            context.replica_state.view.epoch, order.version, order.body, order.digest
        )
        self._flight = _Flight(state.sequence, pending, context.now, context.timing.resend_write)
        self._store(chain_write_message(state))

    def _refuse(self, pending: PendingOrder, certain: bool) -> None:
        """The order doesn't fit; say so only if this was certainly the newest epoch."""
        if pending not in self._refusals:
            return
        self._refusals.remove(pending)
        if certain:
            self._answer(pending, VersionConflict(self._context.replica_state.committed.version))
        else:
            self._again(pending)

    def _again(self, pending: PendingOrder) -> None:
        """The view has changed, or nothing is certain: what becomes of an order that was not taken so far."""
        context = self._context
        taken = context.replica_state.committed.applied_version(pending.order.digest)
        if taken is not None:
            self._answer(pending, WriteAcknowledged(taken))
        elif pending.requests:
            self._queue.append(pending)

    def _answer(self, pending: PendingOrder, outcome: Outcome) -> None:
        for request, _ in pending.requests:
            self._context.outbox.reply(request, outcome)
        pending.requests.clear()

    def _answer_late(self, pending: PendingOrder) -> None:
        """Answer the requests that have waited for so long that the operator moves on."""
        limit = self._context.now - self._context.timing.order_deadline
        for request, since in pending.requests:
            if since <= limit:
                self._context.outbox.reply(request, OutcomeUnknown())
        pending.requests = [each for each in pending.requests if each[1] > limit]

    # Writes

    def on_chain_write(self, sender: MachineIdentity, write: pb.ChainWrite) -> None:
        """The member before this one passes a write on."""
        context = self._context
        view, replica_state = context.replica_state.view, context.replica_state
        if write.epoch != view.epoch or not context.is_epoch_adopted or context.joined_epoch != view.epoch:
            return
        if view.predecessor(context.own.id) != sender.id:
            return
        newest = replica_state.newest
        if write.sequence == newest.sequence + 1:
            self._store(write)
        elif write.sequence == newest.sequence:
            context.record_writer.call_when_synced(self._number, partial(self._stored, write.epoch, write.sequence))

    def _store(self, write: pb.ChainWrite) -> None:
        context = self._context
        before = context.replica_state.committed.sequence
        context.record_writer.write(pb.Record(write=write), partial(self._stored, write.epoch, write.sequence))
        self._number = context.record_writer.last_number
        if context.replica_state.committed.sequence > before:
            self._committed()

    def _stored(self, epoch: int, sequence: int) -> None:
        """A write is synced here: pass it on; at the tail it counts."""
        context = self._context
        replica_state, view = context.replica_state, context.replica_state.view
        if epoch != view.epoch or not context.is_epoch_adopted or replica_state.newest.sequence != sequence:
            return
        successor = view.successor(context.own.id)
        if successor is not None:
            self._pass_on(successor)
        else:
            context.heartbeat_due = True
            self.on_committed(epoch, sequence)

    def _pass_on(self, successor: MachineIdentity) -> None:
        write = chain_write_message(self._context.replica_state.newest)
        self._context.outbox.send(successor, pb.CoreMessage(chain_write=write))

    def on_committed(self, epoch: int, sequence: int) -> None:
        """The tail has stored this write."""
        context, replica_state = self._context, self._context.replica_state
        if (
            epoch != replica_state.view.epoch
            or replica_state.written is None
            or replica_state.written.sequence > sequence
        ):
            return
        replica_state.commit()
        self._committed()
        flight = self._flight
        if flight is not None and flight.sequence <= sequence:
            self._flight = None
            self._answer(flight.pending, WriteAcknowledged(flight.pending.order.version))
        if context.is_epoch_adopted:
            self._next()

    # Reads

    def read(self, request: int) -> None:
        """An operator reads the newest configuration."""
        self._reads.append((request, self._context.now))
        self._advance()

    def _next_reads(self) -> None:
        """At the tail: what it has stored is the newest, if its epoch is."""
        while self._context.is_epoch_adopted and self._reads:
            request, since = self._reads.popleft()
            self._confirmer.confirm_epoch(partial(self._read, request, since), since)

    def _read(self, request: int, since: float, certain: bool) -> None:
        context = self._context
        configuration = context.replica_state.committed.committed_configuration()
        if not certain:
            self._reads.append((request, since))  # another view, or too late
        elif configuration is None:
            context.outbox.reply(request, NoConfiguration())
        else:
            found = configuration
            outcome = ReadResult(found.sequence, found.version, found.body, found.digest)
            context.outbox.reply(request, outcome)

    # Time and views

    def tick(self) -> None:
        """Repeat a write that is under way; leave no operator waiting."""
        context, now = self._context, self._context.now
        for pending in self._under_way():
            self._answer_late(pending)
        self._queue = deque(pending for pending in self._queue if pending.requests)
        for late in [each for each in self._reads if now - each[1] >= context.timing.order_deadline]:
            self._reads.remove(late)
            context.outbox.reply(late[0], OutcomeUnknown())
        self._advance()
        flight = self._flight
        if flight is not None and now - flight.sent >= flight.wait:
            flight.sent, flight.wait = now, 2 * flight.wait
            context.record_writer.call_when_synced(
                self._number, partial(self._stored, context.replica_state.view.epoch, flight.sequence)
            )

    def durable_sequence(self) -> int:
        """Sequence of the newest state that is synced here."""
        replica_state = self._context.replica_state
        return (
            replica_state.newest
            if self._number <= self._context.record_writer.synced_number
            else replica_state.committed
        ).sequence

    def on_view_change(self) -> None:
        """Another view is adopted: settle or carry over what was under way."""
        self.is_active = False
        waiting = self._under_way()
        self._flight = None
        self._queue.clear()
        self._refusals.clear()
        for pending in waiting:
            self._again(pending)
