"""The fields of messages between core machines that may be large, and their removal and restoration.

A large field is sent as a reference: its digest and length in place of its bytes. Two messages that hold the same
configuration, as proposals under two ballots do, hold the same references. This module does no input or output.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

from google.protobuf.message import Message

from rosechute.messages import coordination_pb2 as pb

DIGEST_BYTES = 20  # size of the blake2b digest: large enough that collisions need no handling
INLINE_LIMIT_BYTES = 4 * 1024  # a field up to this size stays in its message

# Path of each field that may be large, by its number in references. The numbers are part of the wire format.
LARGE_FIELDS: Mapping[int, tuple[str, ...]] = {
    1: ("chain_write", "configuration", "body"),
    2: ("decided", "state", "configuration", "body"),
    3: ("decided", "state", "taken"),
    4: ("accept", "proposal", "state", "configuration", "body"),
    5: ("accept", "proposal", "state", "taken"),
    6: ("promise", "state", "configuration", "body"),
    7: ("promise", "state", "taken"),
    8: ("promise", "accepted", "state", "configuration", "body"),
    9: ("promise", "accepted", "state", "taken"),
}


class LargeField(NamedTuple):
    """A large field of a message.

    Attributes:
        number: key in `LARGE_FIELDS`.
        data: its content.
    """

    number: int
    data: bytes


def blob_digest(data: bytes) -> bytes:
    """Return the digest that identifies the content of a field in references."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def large_fields(message: pb.CoreMessage) -> list[LargeField]:
    """Return the fields of a message that are larger than `INLINE_LIMIT_BYTES`."""
    kind = message.WhichOneof("body")
    found: list[LargeField] = []
    for number, path in LARGE_FIELDS.items():
        if path[0] != kind:
            continue
        container = _container(message, path)
        data: bytes = getattr(container, path[-1]) if container is not None else b""
        if len(data) > INLINE_LIMIT_BYTES:
            found.append(LargeField(number, data))
    return found


def fill_field(message: pb.CoreMessage, number: int, data: bytes) -> None:
    """Set the content of a field.

    Raises:
        KeyError: no large field has this number.
        ValueError: the message does not contain this field.
    """
    path = LARGE_FIELDS[number]
    container = _container(message, path)
    if container is None:
        raise ValueError(f"message {message.WhichOneof('body')} has no field {'.'.join(path)}")
    setattr(container, path[-1], data)


def _container(message: Message, path: tuple[str, ...]) -> Message | None:
    """Return the message that directly contains the field at the end of a path, or None where a part is absent."""
    container = message
    for name in path[:-1]:
        if not container.HasField(name):
            return None
        container = getattr(container, name)
    return container
