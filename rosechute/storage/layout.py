"""How slots and log entries lie on disk. Pure.

A slot is a header (mark, generation, length of the body), the body and a checksum over both; it counts only whole.
A log entry is the length of its body, a checksum and the body. The checksum goes on from that of the entry before,
the first from that of the slot: an entry counts only behind the slot and the entries that it was written after.
A body is a number of records, each with its length.
"""

import struct
import zlib
from collections.abc import Iterable, Sequence

import msgspec

_MARK = b"RSC1"
_SLOT_HEADER = struct.Struct("<4sQI")  # mark, generation, length of the body
_ENTRY_HEADER = struct.Struct("<II")  # length of the body, checksum
_NUMBER = struct.Struct("<I")


class Slot(msgspec.Struct, frozen=True):
    """A complete slot: a whole snapshot and where its log's checksums begin."""

    generation: int
    records: list[bytes]
    checksum: int


class Log(msgspec.Struct, frozen=True):
    """The valid entries of a log: their records, where they end, and the last checksum."""

    records: list[bytes]
    size: int
    checksum: int


def encode_slot(generation: int, records: Sequence[bytes]) -> tuple[bytes, int]:
    """The bytes of a slot, and its checksum."""
    body = _encode_body(records)
    image = _SLOT_HEADER.pack(_MARK, generation, len(body)) + body
    checksum = zlib.crc32(image)
    return image + _NUMBER.pack(checksum), checksum


def decode_slot(data: bytes | None) -> Slot | None:
    """The slot in `data`, or None where it isn't whole."""
    if data is None or len(data) < _SLOT_HEADER.size + _NUMBER.size:
        return None
    mark, generation, length = _SLOT_HEADER.unpack_from(data)
    end = _SLOT_HEADER.size + length
    if mark != _MARK or end + _NUMBER.size > len(data):
        return None
    checksum = zlib.crc32(memoryview(data)[:end])
    if _NUMBER.unpack_from(data, end)[0] != checksum:
        return None
    records = _decode_body(data[_SLOT_HEADER.size : end])
    return None if records is None else Slot(generation, records, checksum)


def encode_entries(batches: Iterable[Sequence[bytes]], checksum: int) -> tuple[bytes, int]:
    """The bytes of one log entry for each batch, after one with `checksum`; and the last checksum."""
    parts: list[bytes] = []
    for batch in batches:
        body = _encode_body(batch)
        checksum = _entry_checksum(body, checksum)
        parts += (_ENTRY_HEADER.pack(len(body), checksum), body)
    return b"".join(parts), checksum


def decode_log(data: bytes | None, checksum: int) -> Log:
    """The entries that follow a slot with `checksum`, up to the first that isn't whole or doesn't belong there."""
    records: list[bytes] = []
    at = 0
    data = data or b""
    while at + _ENTRY_HEADER.size <= len(data):
        length, told = _ENTRY_HEADER.unpack_from(data, at)
        end = at + _ENTRY_HEADER.size + length
        body = data[at + _ENTRY_HEADER.size : end]
        batch = _decode_body(body) if end <= len(data) else None
        if batch is None or told != _entry_checksum(body, checksum):
            break
        records += batch
        at, checksum = end, told
    return Log(records, at, checksum)


def _entry_checksum(body: bytes, before: int) -> int:
    return zlib.crc32(body, zlib.crc32(_NUMBER.pack(len(body)), before))


def _encode_body(records: Sequence[bytes]) -> bytes:
    parts = [_NUMBER.pack(len(records))]
    for record in records:
        parts += (_NUMBER.pack(len(record)), record)
    return b"".join(parts)


def _decode_body(body: bytes) -> list[bytes] | None:
    if len(body) < _NUMBER.size:
        return None
    (count,) = _NUMBER.unpack_from(body)
    records: list[bytes] = []
    at = _NUMBER.size
    while at + _NUMBER.size <= len(body) and len(records) < count:
        (length,) = _NUMBER.unpack_from(body, at)
        at += _NUMBER.size
        records.append(body[at : at + length])
        at += length
    return records if len(records) == count and at == len(body) else None
