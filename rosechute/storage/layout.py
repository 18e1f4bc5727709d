"""Encoding of snapshot slots and log entries on disk. All numbers are little-endian.

    slot:   magic "RSC1" | generation u64 | body length u32 | body | checksum u32 of all before it
    log:    entry, entry, ...
    entry:  body length u32 | checksum u32 | body
    body:   number of records u32 | (record length u32 | record) for each

The checksum (CRC-32) of an entry continues that of the entry before; that of the first entry continues the slot's. So
an entry is valid only after the slot and the entries that it was written after; no older entry becomes valid again.
A torn write leaves a slot without a valid checksum, or a log that ends before the torn entry.
"""

import struct
import zlib
from collections.abc import Iterable, Sequence

import msgspec

_MAGIC = b"RSC1"
_SLOT_HEADER = struct.Struct("<4sQI")  # magic, generation, body length
_ENTRY_HEADER = struct.Struct("<II")  # body length, checksum
_UINT32 = struct.Struct("<I")


class Slot(msgspec.Struct, frozen=True):
    """A valid slot."""

    generation: int
    """Number of the snapshot, greater than that of the snapshot before."""
    records: list[bytes]
    """The records of the snapshot."""
    checksum: int
    """Checksum of the slot, which the first entry of its log continues."""


class Log(msgspec.Struct, frozen=True):
    """The valid entries of a log."""

    records: list[bytes]
    """The records of all entries, in order."""
    size: int
    """Size in bytes up to the end of the last valid entry."""
    checksum: int
    """Checksum of the last valid entry, which the next one continues."""


def encode_slot(generation: int, records: Sequence[bytes]) -> tuple[bytes, int]:
    """Return the bytes of a slot, and its checksum."""
    body = _encode_body(records)
    image = _SLOT_HEADER.pack(_MAGIC, generation, len(body)) + body
    checksum = zlib.crc32(image)
    return image + _UINT32.pack(checksum), checksum


def decode_slot(data: bytes | None) -> Slot | None:
    """Return the slot in the content of a file; None if there is no file or the slot is torn."""
    if data is None or len(data) < _SLOT_HEADER.size + _UINT32.size:
        return None
    magic, generation, length = _SLOT_HEADER.unpack_from(data)
    end = _SLOT_HEADER.size + length
    if magic != _MAGIC or end + _UINT32.size > len(data):
        return None
    checksum = zlib.crc32(memoryview(data)[:end])
    if _UINT32.unpack_from(data, end)[0] != checksum:
        return None
    records = _decode_body(data[_SLOT_HEADER.size : end])
    return None if records is None else Slot(generation, records, checksum)


def encode_entries(batches: Iterable[Sequence[bytes]], checksum: int) -> tuple[bytes, int]:
    """Encode one log entry for each batch of records.

    Args:
        batches: The records of each entry.
        checksum: Checksum of the entry, or slot, that the first one continues.

    Returns:
        The bytes of all entries, and the checksum of the last.
    """
    parts: list[bytes] = []
    for batch in batches:
        body = _encode_body(batch)
        checksum = _entry_checksum(body, checksum)
        parts += (_ENTRY_HEADER.pack(len(body), checksum), body)
    return b"".join(parts), checksum


def decode_log(data: bytes | None, checksum: int) -> Log:
    """Decode the valid entries of a log, up to the first that is torn or belongs to an older slot.

    Args:
        data: The content of the file; None if there is none.
        checksum: Checksum of the slot that the log follows.
    """
    records: list[bytes] = []
    offset = 0
    data = data or b""
    while offset + _ENTRY_HEADER.size <= len(data):
        length, stored_checksum = _ENTRY_HEADER.unpack_from(data, offset)
        end = offset + _ENTRY_HEADER.size + length
        body = data[offset + _ENTRY_HEADER.size : end]
        batch = _decode_body(body) if end <= len(data) else None
        if batch is None or stored_checksum != _entry_checksum(body, checksum):
            break
        records += batch
        offset, checksum = end, stored_checksum
    return Log(records, offset, checksum)


def _entry_checksum(body: bytes, previous_checksum: int) -> int:
    return zlib.crc32(body, zlib.crc32(_UINT32.pack(len(body)), previous_checksum))


def _encode_body(records: Sequence[bytes]) -> bytes:
    parts = [_UINT32.pack(len(records))]
    for record in records:
        parts += (_UINT32.pack(len(record)), record)
    return b"".join(parts)


def _decode_body(body: bytes) -> list[bytes] | None:
    """Return the records of a body; None if their lengths and number do not fill it exactly."""
    if len(body) < _UINT32.size:
        return None
    (count,) = _UINT32.unpack_from(body)
    records: list[bytes] = []
    offset = _UINT32.size
    while offset + _UINT32.size <= len(body) and len(records) < count:
        (length,) = _UINT32.unpack_from(body, offset)
        offset += _UINT32.size
        records.append(body[offset : offset + length])
        offset += length
    return records if len(records) == count and offset == len(body) else None
