"""Faults planted into the coordination, each as a patch: the search has to find each of them.

Each names where it is found and the checks that are to object. With `judged` only those checks count, so that a fault
is found by its consequence and not by the first check that sees it.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

from rosechute.coordination import Timing
from rosechute.coordination.acceptor import Acceptor
from rosechute.coordination.chain import Chain
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.replica_state import ReplicaState
from rosechute.coordination.views import View
from rosechute.messages import coordination_pb2 as pb
from tests.fleet.exploration.choices import DELIVERIES, TROUBLES, Bounds

Patches = Callable[[contextlib.ExitStack], None]


@dataclass(frozen=True, slots=True)
class Plant:
    """A planted fault, and the search that has to find it."""

    name: str
    patch: Patches
    root: str
    bounds: Bounds
    checks: frozenset[str]
    timing: Timing | None = None


@contextlib.contextmanager
def planted(plant: Plant | None) -> Iterator[None]:
    """Plant the fault within this context."""
    with contextlib.ExitStack() as stack:
        if plant is not None:
            plant.patch(stack)
        yield


def _replace(stack: contextlib.ExitStack, target: Any, name: str, value: Any) -> None:
    stack.enter_context(mock.patch.object(target, name, value))


def _promise_not_synced(stack: contextlib.ExitStack) -> None:
    right, right_write = Acceptor.on_prepare, Acceptor._write

    def write(self: Acceptor, record: pb.Record) -> None:
        right_write(self, record)
        self._record_number = self._context.record_writer.synced_number

    def on_prepare(self: Acceptor, *arguments: Any) -> None:
        with mock.patch.object(Acceptor, "_write", write):
            right(self, *arguments)

    _replace(stack, Acceptor, "on_prepare", on_prepare)


def _confirmed_without_a_majority(stack: contextlib.ExitStack) -> None:
    right = EpochConfirmer.on_confirmed

    def on_confirmed(self: EpochConfirmer, *arguments: Any) -> None:
        with mock.patch.object(View, "majority", 1):
            right(self, *arguments)

    _replace(stack, EpochConfirmer, "on_confirmed", on_confirmed)
    _replace(stack, Chain, "_is_partitioned", lambda self: False)


def _deposed_tail_reads(stack: contextlib.ExitStack) -> None:
    def confirm_reads(self: Chain) -> None:
        while self._context.is_epoch_adopted and self._pending_reads:
            self._on_read_checked(self._pending_reads.popleft(), is_confirmed=True)

    _replace(stack, Chain, "_confirm_reads", confirm_reads)
    _replace(stack, Chain, "_is_partitioned", lambda self: False)


def _taken_lost_in_a_snapshot(stack: contextlib.ExitStack) -> None:
    right = ReplicaState.snapshot_record

    def snapshot_record(self: ReplicaState) -> pb.Record:
        record = right(self)
        record.snapshot.committed.taken = b""
        return record

    _replace(stack, ReplicaState, "snapshot_record", snapshot_record)


def _epoch_not_compared(stack: contextlib.ExitStack) -> None:
    right = Chain.on_chain_write

    def on_chain_write(self: Chain, sender: Any, write: pb.ChainWrite) -> None:
        renewed = pb.ChainWrite()
        renewed.CopyFrom(write)
        renewed.epoch = self._context.replica_state.view.epoch
        right(self, sender, renewed)

    _replace(stack, Chain, "on_chain_write", on_chain_write)


def _grants_right_after_a_restart(stack: contextlib.ExitStack) -> None:
    right = LeaseGrantor._may_grant

    def may_grant(self: LeaseGrantor, *arguments: Any) -> bool:
        self.abstain_until = 0.0
        return right(self, *arguments)

    _replace(stack, LeaseGrantor, "_may_grant", may_grant)
    _replace(stack, LeaseGrantor, "is_free", lambda self: self.context.now >= self.granted_until)


def _head_does_not_wait(stack: contextlib.ExitStack) -> None:
    right = Chain._on_stored

    def stored(self: Chain, epoch: int, sequence: int) -> None:
        right(self, epoch, sequence)
        self.on_committed(epoch, sequence)

    _replace(stack, Chain, "_on_stored", stored)


def _counts_before_the_sync(stack: contextlib.ExitStack) -> None:
    right = Chain._store

    def store(self: Chain, write: pb.ChainWrite) -> None:
        right(self, write)
        self._on_stored(write.epoch, write.sequence)

    _replace(stack, Chain, "_store", store)


def _nothing(stack: contextlib.ExitStack) -> None:
    """Patch nothing: the fault is in the time-outs."""


_RESTARTS = frozenset({"crash", "restart", "calm"})
_CALLS = frozenset({"deliver", "call", "calm"})

PLANTS = (
    Plant(
        "promise_not_synced",
        _promise_not_synced,
        "epoch_being_sealed",
        Bounds(3, 0, 0, DELIVERIES),
        frozenset({"durable"}),
    ),
    Plant(
        "counts_before_the_sync",
        _counts_before_the_sync,
        "one_order",
        Bounds(3, 0, 0, DELIVERIES),
        frozenset({"durable"}),
    ),
    Plant(
        "head_does_not_wait",
        _head_does_not_wait,
        "one_order",
        Bounds(2, 1, 1, TROUBLES),
        frozenset({"durable"}),
    ),
    Plant(
        "confirmed_without_a_majority",
        _confirmed_without_a_majority,
        "tail_deposed",
        Bounds(3, 0, 0, DELIVERIES, ("read-one",)),
        frozenset({"read"}),
    ),
    Plant(
        "deposed_tail_reads",
        _deposed_tail_reads,
        "tail_deposed",
        Bounds(3, 0, 0, DELIVERIES, ("read-one",)),
        frozenset({"read"}),
    ),
    Plant(
        "taken_lost_in_a_snapshot",
        _taken_lost_in_a_snapshot,
        "order_acknowledged",
        Bounds(4, 1, 1, _RESTARTS | {"call"}, ("order-one-again",), (1.3,)),
        frozenset({"refused"}),
    ),
    Plant(
        "epoch_not_compared",
        _epoch_not_compared,
        "late_write",
        Bounds(4, 0, 1, _CALLS, ("order-two",), (0.3,)),
        frozenset({"line"}),
    ),
    Plant(
        "lease_margin_dropped",
        _nothing,
        "leader_cut_off",
        Bounds(3, 0, 1, _CALLS),
        frozenset({"lease"}),
        Timing(lease_margin_s=0.0),
    ),
    Plant(
        "grants_right_after_a_restart",
        _grants_right_after_a_restart,
        "leader_frozen",
        Bounds(5, 2, 1, _RESTARTS, waits=(0.9,)),
        frozenset({"lease"}),
    ),
)
BY_NAME = {each.name: each for each in PLANTS}
