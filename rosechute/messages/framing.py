"""Frames of the internal protocol: a 4-byte big-endian length, one byte for the kind, then the message.

The length counts the message only. Nothing here does I/O.
"""

from __future__ import annotations

import enum
import struct
from dataclasses import dataclass, field

MESSAGE_LIMIT_BYTES = 20 * 1024 * 1024  # a promise may hold two states, each with a configuration of up to 8 MiB
_HEADER = struct.Struct(">IB")


class MessageKind(enum.IntEnum):
    """To which plane a message belongs."""

    COORDINATION = 1
    DISTRIBUTION = 2


class FrameError(ValueError):
    """The bytes that came are no frames; the connection can't be read any further."""


def encode_frame(kind: MessageKind, data: bytes) -> bytes:
    """One frame; FrameError where the message is over the bound."""
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise FrameError(f"message of {len(data)} bytes is over the bound")
    return _HEADER.pack(len(data), kind) + data


@dataclass(slots=True)
class FrameReader:
    """Cuts a stream of bytes into frames, whatever the pieces it comes in."""

    _buffer: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[tuple[MessageKind, bytes]]:
        """The frames that are whole now. FrameError: the stream is broken."""
        self._buffer += data
        frames: list[tuple[MessageKind, bytes]] = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            length, kind = _HEADER.unpack_from(self._buffer, start)
            if length > MESSAGE_LIMIT_BYTES or kind not in MessageKind.__members__.values():
                raise FrameError(f"frame of kind {kind} and {length} bytes")
            end = start + _HEADER.size + length
            if len(self._buffer) < end:
                break
            frames.append((MessageKind(kind), bytes(self._buffer[start + _HEADER.size : end])))
            start = end
        del self._buffer[:start]
        return frames
