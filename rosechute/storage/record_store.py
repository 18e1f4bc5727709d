"""Records in two slots that are written in turn, with a short log between. Blocks on the disk; see `writer`.

The whole slot of the greatest generation, and the entries of its own log, are what counts. A new snapshot goes into
the other slot, under a greater generation; its log begins only after the slot has been synced. What a power loss
leaves of an unsynced slot or entry either doesn't count or holds at least everything that was synced before.

After a write that failed nobody knows what the disk holds: appending goes on only after a whole new snapshot.
"""

from collections.abc import Sequence

from returns.result import Failure, Result, Success

from .errors import StorageError
from .files import Folder
from .layout import Log, Slot, decode_log, decode_slot, encode_entries, encode_slot

SLOT_NAMES = ("records-a.slot", "records-b.slot")
LOG_NAMES = ("records-a.log", "records-b.log")


class RecordStore:
    """The records of one folder. Not for several threads at once."""

    def __init__(self, folder: Folder) -> None:
        self._folder = folder
        self._slot = 1  # index of the slot that counts; the next snapshot goes into the other
        self._generation = 0
        self._log_size = 0
        self._checksum = 0
        self._appendable = False
        self._names_durable = False

    @classmethod
    def open(cls, folder: Folder) -> Result[tuple["RecordStore", list[bytes]], StorageError]:
        """Load what counts and make it durable: it may be read here and yet never have been synced."""
        try:
            store = cls(folder)
            records = store._load()
        except OSError as problem:
            return Failure(_problem("load", "", problem))
        return Success((store, records))

    @property
    def log_size(self) -> int:
        """Bytes in the log since the last snapshot."""
        return self._log_size

    @property
    def can_append(self) -> bool:
        """Whether `append` may be used; otherwise `write_snapshot` has to come first."""
        return self._appendable

    def append(self, batches: Sequence[Sequence[bytes]]) -> Result[None, StorageError]:
        """Add batches of records under one sync. Each batch survives whole or not at all."""
        name = LOG_NAMES[self._slot]
        if not self._appendable:
            return Failure(StorageError("append to", name, "a snapshot has to be written first"))
        data, checksum = encode_entries(batches, self._checksum)
        self._appendable = False
        try:
            self._folder.write(name, self._log_size, data)
            self._folder.sync(name)
            self._sync_entries()
        except OSError as problem:
            return Failure(_problem("append to", name, problem))
        self._log_size += len(data)
        self._checksum = checksum
        self._appendable = True
        return Success(None)

    def write_snapshot(self, records: Sequence[bytes]) -> Result[None, StorageError]:
        """Put `records` in place of everything: a whole snapshot in the other slot, and a new log."""
        target = 1 - self._slot
        self._generation += 1  # also after a failure: no two different slots ever carry the same generation
        self._appendable = False
        self._names_durable = False  # the slot may be a new file, whose name its own sync does not keep
        data, checksum = encode_slot(self._generation, records)
        try:
            self._folder.write(SLOT_NAMES[target], 0, data)
            self._folder.truncate(SLOT_NAMES[target], len(data))
            self._folder.sync(SLOT_NAMES[target])
            self._sync_entries()
        except OSError as problem:
            return Failure(_problem("write", SLOT_NAMES[target], problem))
        self._slot, self._checksum = target, checksum
        return self._begin_log()

    def _begin_log(self) -> Result[None, StorageError]:
        """Empty the log of the slot that now counts. What lies in it belongs to an older slot and doesn't count."""
        name = LOG_NAMES[self._slot]
        self._log_size = 0
        try:
            self._folder.truncate(name, 0)
        except OSError as problem:
            return Failure(_problem("empty", name, problem))
        self._names_durable = False
        self._appendable = True
        return Success(None)

    def _load(self) -> list[bytes]:
        slots = [decode_slot(self._folder.read(name)) for name in SLOT_NAMES]
        best = max((slot for slot in slots if slot is not None), key=lambda slot: slot.generation, default=None)
        if best is None:
            return []
        return self._adopt(slots.index(best), best)

    def _adopt(self, index: int, slot: Slot) -> list[bytes]:
        data = self._folder.read(LOG_NAMES[index])
        log = decode_log(data, slot.checksum)
        self._slot, self._generation = index, slot.generation
        self._make_durable(index, log)
        self._log_size, self._checksum = log.size, log.checksum
        self._appendable = data is not None and log.size == len(data)  # nothing behind that could count again later
        return slot.records + log.records

    def _make_durable(self, index: int, log: Log) -> None:
        self._folder.sync(SLOT_NAMES[index])
        if log.size:
            self._folder.sync(LOG_NAMES[index])
        self._sync_entries()

    def _sync_entries(self) -> None:
        if not self._names_durable:
            self._folder.sync_entries()
            self._names_durable = True


def _problem(step: str, name: str, problem: OSError) -> StorageError:
    return StorageError(step, name or str(problem.filename or ""), problem.strerror or str(problem))
