"""Frames of the internal protocol: a 4-byte big-endian length, one byte for the kind, then the message. No I/O.

The length counts the message only.
"""

from __future__ import annotations

import enum
import struct
from dataclasses import dataclass, field
from typing import NamedTuple

from rosechute.messages.errors import FrameError

MESSAGE_LIMIT_BYTES = 20 * 1024 * 1024  # a Promise may hold two states, each with a configuration of up to 8 MiB
_HEADER = struct.Struct(">IB")  # length of the message, kind


class MessageKind(enum.IntEnum):
    """The plane that a message belongs to."""

    COORDINATION = 1
    DISTRIBUTION = 2


class Frame(NamedTuple):
    """A decoded frame."""

    kind: MessageKind
    message: bytes


def encode_frame(kind: MessageKind, data: bytes) -> bytes:
    """Return the frame of a message.

    Args:
        kind: The plane that the message belongs to.
        data: The serialized message.

    Raises:
        FrameError: The message is over `MESSAGE_LIMIT_BYTES`.
    """
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise FrameError(f"message of {len(data)} bytes exceeds the size limit")
    return _HEADER.pack(len(data), kind) + data


@dataclass(slots=True)
class FrameReader:
    """Decodes the frames of a stream of bytes that arrives in pieces of any size."""

    _buffer: bytearray = field(default_factory=bytearray)

    @property
    def held_bytes(self) -> int:
        """Bytes of the frame that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes of the stream; return the frames that are complete.

        Raises:
            FrameError: The stream is invalid and cannot be read any further.
        """
        self._buffer += data
        frames: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            length, kind = _HEADER.unpack_from(self._buffer, start)
            if length > MESSAGE_LIMIT_BYTES or kind not in MessageKind.__members__.values():
                raise FrameError(f"frame of kind {kind} and {length} bytes")
            end = start + _HEADER.size + length
            if len(self._buffer) < end:
                break
            frames.append(Frame(MessageKind(kind), bytes(self._buffer[start + _HEADER.size : end])))
            start = end
        del self._buffer[:start]
        return frames
