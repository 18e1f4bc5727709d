"""A directory on a simulated disk: faults at any operation, and every outcome that a power loss may have."""

import enum
import errno
import random
from dataclasses import dataclass, field
from typing import NamedTuple

SECTOR_BYTES = 64  # a torn write leaves some of its sectors, each up to some byte


class PowerLoss(Exception):
    """The machine lost power in the middle of an operation."""


class _Operation(enum.Enum):
    WRITE = "write"
    TRUNCATE = "truncate"


class _Fate(enum.Enum):
    """What a power loss makes of a change that was not synced."""

    PRESENT = "present"
    MISSING = "missing"
    TORN = "torn"


FATES = (_Fate.PRESENT, _Fate.MISSING, _Fate.TORN, _Fate.TORN)


class _Change(NamedTuple):
    """A change of a file that has not been synced yet."""

    operation: _Operation
    offset: int  # in bytes; the new size for a truncation
    data: bytes

    def applied_to(self, content: bytes) -> bytes:
        """Return the content of a file after this change."""
        start = content[: self.offset].ljust(self.offset, b"\0")
        if self.operation is _Operation.TRUNCATE:
            return start
        return start + self.data + content[self.offset + len(self.data) :]


@dataclass
class _File:
    durable: bytes = b""
    is_entry_durable: bool = False
    unsynced: list[_Change] = field(default_factory=list)

    def current(self) -> bytes:
        """Return the content that a process reads."""
        content = self.durable
        for change in self.unsynced:
            content = change.applied_to(content)
        return content


class SimulatedDirectory:
    """A directory whose power fails, or whose operations fail, at operations counted from 0."""

    def __init__(self) -> None:
        self.files: dict[str, _File] = {}
        self.operations = 0
        self.power_fails_at: int | None = None
        self.refused: range = range(0)  # the operations that fail
        self.full = False  # every write fails, syncs do not
        self.skip_syncs = False  # a planted fault, to show that the checks find it

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, synced or not; None if it does not exist."""
        file = self.files.get(name)
        return None if file is None else file.current()

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write, or fail with ENOSPC after half of the data."""
        refused = self.full or self._refused()
        file = self.files.setdefault(name, _File())
        written = data[: len(data) // 2] if refused else data
        file.unsynced.append(_Change(_Operation.WRITE, offset, written))
        self._step()
        if refused:
            raise OSError(errno.ENOSPC, "No space left on device")

    def truncate(self, name: str, size: int) -> None:
        """Set the size of a file, or fail with ENOSPC and change nothing."""
        refused = self._refused()
        file = self.files.setdefault(name, _File())
        if not refused:
            file.unsynced.append(_Change(_Operation.TRUNCATE, size, b""))
        self._step()
        if refused:
            raise OSError(errno.ENOSPC, "No space left on device")

    def sync(self, name: str) -> None:
        """Make the content of a file durable, or fail with EIO."""
        refused = self._refused()
        self._step()
        if refused:
            raise OSError(errno.EIO, "Input/output error")
        if not self.skip_syncs:
            file = self.files[name]
            file.durable, file.unsynced = file.current(), []  # its directory entry needs a sync of its own

    def sync_entries(self) -> None:
        """Make the directory entries durable."""
        self._step()
        for file in self.files.values():
            file.is_entry_durable = True

    def after_power_loss(self, draw: random.Random) -> "SimulatedDirectory":
        """Return what a power loss leaves: unsynced changes present, missing or torn, unsynced entries at random."""
        after = SimulatedDirectory()
        none_remain = draw.random() < 0.2
        for name, file in self.files.items():
            if not file.is_entry_durable and draw.random() < 0.5:
                continue
            data = file.durable
            for change in file.unsynced:
                if not none_remain:
                    data = _survived(data, change, draw)
            after.files[name] = _File(data, True)
        return after

    def after_kill(self) -> "SimulatedDirectory":
        """Return what the next process of the same machine finds: everything written, synced or not."""
        after = SimulatedDirectory()
        for name, file in self.files.items():
            after.files[name] = _File(file.durable, file.is_entry_durable, list(file.unsynced))
        return after

    def _refused(self) -> bool:
        return self.operations in self.refused

    def _step(self) -> None:
        """Count an operation; power fails after its change was made and before it returns."""
        operation, self.operations = self.operations, self.operations + 1
        if operation == self.power_fails_at:
            raise PowerLoss


def _survived(content: bytes, change: _Change, draw: random.Random) -> bytes:
    """Return what a power loss leaves of a file's content after an unsynced change."""
    fate = draw.choice(FATES)
    if fate is _Fate.MISSING:
        return content
    if fate is _Fate.PRESENT or change.operation is _Operation.TRUNCATE:
        return change.applied_to(content)
    return _torn(content, change, draw)


def _torn(content: bytes, change: _Change, draw: random.Random) -> bytes:
    """Return the content with some sectors of a write."""
    image = bytearray(content[: change.offset].ljust(change.offset, b"\0") + content[change.offset :])
    for start in range(0, len(change.data), SECTOR_BYTES):
        if draw.random() < 0.5:
            part = change.data[start : start + draw.randint(1, SECTOR_BYTES)]
            offset = change.offset + start
            image.extend(bytes(max(0, offset - len(image))))
            image[offset : offset + len(part)] = part
    return bytes(image)
