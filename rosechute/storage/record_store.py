"""Records in two alternating snapshot slots, each with a short log.

Operations block on the disk; `writer` runs them in a thread.

The valid slot of the greatest generation and the valid entries of its log are the stored records. A new snapshot is
written to the other slot, with a greater generation; its log begins only after the slot has been synced. So a power
loss in an unsynced slot or entry leaves either an invalid one, or one that holds at least all that was synced before.

After a failed write the content of the disk is unknown: records can be appended only after the next snapshot.
"""

from collections.abc import Sequence
from typing import NamedTuple

from returns.result import Failure, Result, Success

from .errors import StorageError
from .files import Directory
from .layout import Log, Slot, decode_log, decode_slot, encode_entries, encode_slot

SLOT_NAMES = ("records-a.slot", "records-b.slot")
LOG_NAMES = ("records-a.log", "records-b.log")


class OpenedStore(NamedTuple):
    """A store and the records that it was opened with."""

    store: "RecordStore"
    records: list[bytes]


class RecordStore:
    """The records of one directory. Not thread-safe."""

    def __init__(self, directory: Directory) -> None:
        """Create a store without records; `open` loads the stored ones."""
        self._directory = directory
        self._current_slot = 1  # index of the newest valid slot; the next snapshot goes to the other
        self._generation = 0
        self._log_size = 0
        self._checksum = 0
        self._can_append = False
        self._are_directory_entries_durable = False

    @classmethod
    def open(cls, directory: Directory) -> Result[OpenedStore, StorageError]:
        """Load the stored records and sync them, since records that were never synced can be read as well."""
        try:
            store = cls(directory)
            records = store._load()
        except OSError as error:
            return Failure(_storage_error("load", "", error))
        return Success(OpenedStore(store, records))

    @property
    def log_size(self) -> int:
        """Return the bytes in the log since the last snapshot."""
        return self._log_size

    @property
    def can_append(self) -> bool:
        """Return whether `append` may be called; if not, `write_snapshot` has to come first."""
        return self._can_append

    def append(self, batches: Sequence[Sequence[bytes]]) -> Result[None, StorageError]:
        """Append batches of records with one sync. A power loss leaves each batch complete or not at all."""
        name = LOG_NAMES[self._current_slot]
        if not self._can_append:
            return Failure(StorageError("append to", name, "a snapshot has to be written first"))
        data, checksum = encode_entries(batches, self._checksum)
        self._can_append = False
        try:
            self._directory.write(name, self._log_size, data)
            self._directory.sync(name)
            self._sync_directory_entries()
        except OSError as error:
            return Failure(_storage_error("append to", name, error))
        self._log_size += len(data)
        self._checksum = checksum
        self._can_append = True
        return Success(None)

    def write_snapshot(self, records: Sequence[bytes]) -> Result[None, StorageError]:
        """Replace all stored records: write a snapshot to the other slot and begin a new log."""
        target = 1 - self._current_slot
        self._generation += 1  # also after a failure: two different slots never have the same generation
        self._can_append = False
        # The slot may be a new file, whose sync does not cover its directory entry.
        self._are_directory_entries_durable = False
        data, checksum = encode_slot(self._generation, records)
        try:
            self._directory.write(SLOT_NAMES[target], 0, data)
            self._directory.truncate(SLOT_NAMES[target], len(data))
            self._directory.sync(SLOT_NAMES[target])
            self._sync_directory_entries()
        except OSError as error:
            return Failure(_storage_error("write", SLOT_NAMES[target], error))
        self._current_slot, self._checksum = target, checksum
        return self._begin_log()

    def _begin_log(self) -> Result[None, StorageError]:
        """Empty the log of the current slot. Its old entries belong to an older slot and are invalid already."""
        name = LOG_NAMES[self._current_slot]
        self._log_size = 0
        try:
            self._directory.truncate(name, 0)
        except OSError as error:
            return Failure(_storage_error("empty", name, error))
        self._are_directory_entries_durable = False
        self._can_append = True
        return Success(None)

    def _load(self) -> list[bytes]:
        """Return the stored records; empty in a new directory."""
        slots = [decode_slot(self._directory.read(name)) for name in SLOT_NAMES]
        newest = max((slot for slot in slots if slot is not None), key=lambda slot: slot.generation, default=None)
        if newest is None:
            return []
        return self._load_slot(slots.index(newest), newest)

    def _load_slot(self, index: int, slot: Slot) -> list[bytes]:
        """Make a slot the current one; return its records and those of its log."""
        data = self._directory.read(LOG_NAMES[index])
        log = decode_log(data, slot.checksum)
        self._current_slot, self._generation = index, slot.generation
        self._sync_loaded(index, log)
        self._log_size, self._checksum = log.size, log.checksum
        # An entry written over a torn one could make a stale entry after it valid again.
        self._can_append = data is not None and log.size == len(data)
        return slot.records + log.records

    def _sync_loaded(self, index: int, log: Log) -> None:
        self._directory.sync(SLOT_NAMES[index])
        if log.size:
            self._directory.sync(LOG_NAMES[index])
        self._sync_directory_entries()

    def _sync_directory_entries(self) -> None:
        if not self._are_directory_entries_durable:
            self._directory.sync_entries()
            self._are_directory_entries_durable = True


def _storage_error(step: str, file_name: str, error: OSError) -> StorageError:
    return StorageError(step, file_name or str(error.filename or ""), error.strerror or str(error))
