"""Replicas as bytes: to copy one, to compare two, and to keep many.

A replica is an object graph whose parts hold callbacks of each other. Pickling it is faster than `copy.deepcopy`, and
its bytes tell whether two replicas are the same. Values that never change (identities, states, messages) stand in the
bytes by a number, so they are shared by all copies and compared by value. Two equal replicas may still have different
bytes, where the order within a dictionary differs: then the search looks at both, and errs on the careful side.
"""

from __future__ import annotations

import copyreg
import io
import pickle
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import Message

from rosechute.coordination.outcomes import CommittedConfiguration, WriteRequest
from rosechute.coordination.replica import Replica
from rosechute.coordination.replica_config import MachineIdentity, ReplicaConfig, Timing
from rosechute.coordination.views import Ballot, LeaderTerm, Proposal, RegisterState, View
from rosechute.messages import coordination_pb2

_values: list[Any] = []
_numbers: dict[Hashable, int] = {}
_BY_VALUE = (
    MachineIdentity,
    Timing,
    ReplicaConfig,
    WriteRequest,
    CommittedConfiguration,
    Ballot,
    Proposal,
    RegisterState,
    LeaderTerm,
    View,
)


@dataclass(frozen=True)
class Draw:
    """The random source of one process: always the same number, that no other process has."""

    value: float

    def __call__(self) -> float:
        return self.value


def pack(replica: Replica) -> bytes:
    """Return a replica as bytes."""
    buffer = io.BytesIO()
    _Pickler(buffer, pickle.HIGHEST_PROTOCOL).dump(replica)
    return buffer.getvalue()


def unpack(data: bytes) -> Replica:
    """Return a copy of the replica that was packed."""
    replica = pickle.loads(data)
    assert isinstance(replica, Replica)
    return replica


def _value(number: int) -> Any:
    return _values[number]


def _by_key(key: Hashable, value: Any) -> tuple[Callable[[int], Any], tuple[int]]:
    number = _numbers.get(key)
    if number is None:
        number = _numbers[key] = len(_values)
        _values.append(value)
    return _value, (number,)


def _reduce_value(value: Any) -> tuple[Callable[[int], Any], tuple[int]]:
    return _by_key((type(value), value), value)


def _reduce_message(message: Message) -> tuple[Callable[[int], Any], tuple[int]]:
    data = message.SerializeToString(deterministic=True)
    found = _numbers.get((type(message), data))
    if found is not None:
        return _value, (found,)
    return _by_key((type(message), data), type(message).FromString(data))


def _reduce_replica(replica: Replica) -> tuple[Any, ...]:
    state = dict(vars(replica))
    del state["_handlers"]  # closures over the parts: made anew
    return copyreg.__newobj__, (Replica,), state, None, None, _restore_replica  # type: ignore[attr-defined]


def _restore_replica(replica: Replica, state: dict[str, Any]) -> None:
    vars(replica).update(state)
    replica._handlers = replica._make_handlers()


def _message_types() -> list[type]:
    names = coordination_pb2.DESCRIPTOR.message_types_by_name
    return [getattr(coordination_pb2, name) for name in names]


class _Pickler(pickle.Pickler):
    dispatch_table = {
        **copyreg.dispatch_table,
        **dict.fromkeys(_BY_VALUE, _reduce_value),
        **dict.fromkeys(_message_types(), _reduce_message),
        Replica: _reduce_replica,
    }
