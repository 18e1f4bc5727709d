"""A directory on a simulated disk: faults at any operation, and every outcome that a power loss may have."""

import errno
import random
from dataclasses import dataclass, field

SECTOR = 64  # bytes; torn writes keep some of their sectors


class PowerLoss(Exception):
    """The machine lost power in the middle of an operation."""


@dataclass
class _File:
    durable: bytes = b""
    entry_durable: bool = False
    pending: list[tuple[str, int, bytes]] = field(default_factory=list)  # ("write" or "truncate", offset, data)

    def current(self) -> bytes:
        data = self.durable
        for change in self.pending:
            data = _applied(data, *change)
        return data


class SimulatedDirectory:
    """A directory whose power fails, or whose writes are refused, at operations counted from 0."""

    def __init__(self) -> None:
        self.files: dict[str, _File] = {}
        self.operations = 0
        self.power_fails_at: int | None = None
        self.refused: range = range(0)
        self.full = False  # every write is refused, syncs are not
        self.skip_syncs = False  # a fault of the program under test, to show that the checks find it

    def read(self, name: str) -> bytes | None:
        file = self.files.get(name)
        return None if file is None else file.current()

    def write(self, name: str, offset: int, data: bytes) -> None:
        refused = self.full or self._refused()
        file = self.files.setdefault(name, _File())
        file.pending.append(("write", offset, data[: len(data) // 2] if refused else data))
        self._step()
        if refused:
            raise OSError(errno.ENOSPC, "No space left on device")

    def truncate(self, name: str, size: int) -> None:
        refused = self._refused()
        file = self.files.setdefault(name, _File())
        if not refused:
            file.pending.append(("truncate", size, b""))
        self._step()
        if refused:
            raise OSError(errno.ENOSPC, "No space left on device")

    def sync(self, name: str) -> None:
        refused = self._refused()
        self._step()
        if refused:
            raise OSError(errno.EIO, "Input/output error")
        if not self.skip_syncs:
            file = self.files[name]
            file.durable, file.pending = file.current(), []  # the name of a new file needs a sync of its own

    def sync_entries(self) -> None:
        self._step()
        for file in self.files.values():
            file.entry_durable = True

    def after_power_loss(self, draw: random.Random) -> "SimulatedDirectory":
        """What the disk holds afterwards: each unsynced change present, missing or torn; unsynced names at random."""
        after = SimulatedDirectory()
        none_remain = draw.random() < 0.2
        for name, file in self.files.items():
            if not file.entry_durable and draw.random() < 0.5:
                continue
            data = file.durable
            for change in file.pending:
                if not none_remain:
                    data = _survived(data, change, draw)
            after.files[name] = _File(data, True)
        return after

    def after_kill(self) -> "SimulatedDirectory":
        """What the next process of the same machine finds: everything written, synced or not."""
        after = SimulatedDirectory()
        for name, file in self.files.items():
            after.files[name] = _File(file.durable, file.entry_durable, list(file.pending))
        return after

    def _refused(self) -> bool:
        return self.operations in self.refused

    def _step(self) -> None:
        """Power fails after the change was made and before the caller hears of it."""
        operation, self.operations = self.operations, self.operations + 1
        if operation == self.power_fails_at:
            raise PowerLoss


def _applied(data: bytes, kind: str, offset: int, new: bytes) -> bytes:
    if kind == "truncate":
        return data[:offset].ljust(offset, b"\0")
    return data[:offset].ljust(offset, b"\0") + new + data[offset + len(new) :]


def _survived(data: bytes, change: tuple[str, int, bytes], draw: random.Random) -> bytes:
    kind, offset, new = change
    fate = draw.choice(("present", "missing", "torn", "torn"))
    if fate == "missing":
        return data
    if fate == "present" or kind == "truncate":
        return _applied(data, kind, offset, new)
    image = bytearray(data[:offset].ljust(offset, b"\0") + data[offset:])
    for start in range(0, len(new), SECTOR):
        if draw.random() < 0.5:
            kept = new[start : start + draw.randint(1, SECTOR)]
            at = offset + start
            image.extend(bytes(max(0, at - len(image))))
            image[at : at + len(kept)] = kept
    return bytes(image)
