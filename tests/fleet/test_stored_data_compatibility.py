"""A core machine's data directory that an earlier version wrote is loaded to the same state, and written the same.

The fixtures were written by the code of commit af4715a. Each directory holds both slots with their logs, and what
that version made of them: `expected-snapshot.pb`, the snapshot record of the loaded state; and
`expected-older-snapshot.pb`, the same where the newer slot is torn, so that the older one and its log count.
The leader's directory comes from a simulated cluster; that of the sealed epoch holds every kind of record, and its
log ends in an entry that a power loss tore.
"""

from __future__ import annotations

import shutil
import struct
import tempfile
import unittest
from pathlib import Path

from rosechute.coordination.replica_state import load_replica_state
from rosechute.messages import coordination_pb2 as pb
from rosechute.storage.files import DiskDirectory
from rosechute.storage.layout import Slot, decode_log, decode_slot, encode_entries, encode_slot
from rosechute.storage.record_store import LOG_NAMES, SLOT_NAMES, RecordStore

FIXTURES = Path(__file__).parent / "fixtures"
LEADER = "core-data-of-a-leader"
SEALED = "core-data-of-a-sealed-epoch"


class StoredDataTest(unittest.TestCase):
    """Each test works on a copy: loading may sync files."""

    def copy_of(self, name: str) -> Path:
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        return Path(shutil.copytree(FIXTURES / name, Path(parent.name) / name))

    def load(self, directory: Path) -> tuple[RecordStore, list[bytes]]:
        directory = DiskDirectory(str(directory))
        self.addCleanup(directory.close)
        return RecordStore.open(directory).unwrap()

    def snapshot(self, directory: Path) -> pb.Record:
        """Load a directory as a core machine does at its start; return the state as a snapshot record."""
        _, records = self.load(directory)
        return load_replica_state(records).snapshot_record()

    def expected(self, directory: Path, name: str = "expected-snapshot.pb") -> pb.Record:
        return pb.Record.FromString((directory / name).read_bytes())

    def test_a_directory_is_loaded_to_the_same_state(self) -> None:
        for name in (LEADER, SEALED):
            with self.subTest(name):
                directory = self.copy_of(name)
                snapshot = self.snapshot(directory)
                self.assertEqual(snapshot, self.expected(directory))
                data = (directory / "expected-snapshot.pb").read_bytes()
                self.assertEqual(snapshot.SerializeToString(deterministic=True), data)

    def test_an_older_slot_and_its_log_count_where_the_newer_is_torn(self) -> None:
        for name in (LEADER, SEALED):
            with self.subTest(name):
                directory = self.copy_of(name)
                (directory / SLOT_NAMES[1]).write_bytes(b"torn")
                snapshot = self.snapshot(directory)
                self.assertEqual(snapshot, self.expected(directory, "expected-older-snapshot.pb"))

    def test_the_state_of_a_sealed_epoch(self) -> None:
        """What is pinned by the expected snapshots, for a reader; field numbers in place of names."""
        fields = numbered(self.snapshot(self.copy_of(SEALED)))[9]
        assert isinstance(fields, dict)
        self.assertEqual(fields[2][1], 5, "epoch")
        self.assertEqual(fields[3][2], 7, "sequence of the committed state")
        self.assertEqual(fields[4][2], 8, "sequence of the uncommitted write")
        self.assertEqual(fields[5], {1: 4, 2: "machine-1", 3: 71}, "promised ballot: the epoch is sealed")
        self.assertEqual(fields[6][1], fields[5], "ballot of the accepted proposal")
        self.assertEqual(fields[6][2][1], 6, "epoch of the accepted proposal")
        self.assertEqual(fields[7], {1: 9, 2: "machine-3", 3: 2**63 + 5}, "leader term")
        self.assertEqual(fields[8], {1: "machine-1", 2: 5}, "grantee")
        self.assertEqual(fields[9], {1: 9, 2: ["edge-a", "edge-c"]}, "rate-lease owners")

    def test_the_state_of_a_leader(self) -> None:
        fields = numbered(self.snapshot(self.copy_of(LEADER)))[9]
        assert isinstance(fields, dict)
        self.assertEqual((fields[2][1], fields[3][2], fields[4][2]), (2, 7, 8), "epoch, committed, uncommitted")
        self.assertEqual(fields[7][2], fields[1][1][1], "the leader of the term is this machine")
        self.assertEqual(fields[9], {1: 1, 2: ["edge-a", "edge-b"]}, "rate-lease owners")

    def test_only_an_intact_log_may_be_appended_to(self) -> None:
        self.assertTrue(self.load(self.copy_of(LEADER))[0].can_append)
        self.assertFalse(self.load(self.copy_of(SEALED))[0].can_append)

    def test_slots_and_logs_are_written_as_before(self) -> None:
        for name in (LEADER, SEALED):
            for index, slot_name in enumerate(SLOT_NAMES):
                with self.subTest(name, slot=slot_name):
                    slot, image, log = self.files(FIXTURES / name, index)
                    self.assertEqual(encode_slot(slot.generation, slot.records), (image, slot.checksum))
                    decoded = decode_log(log, slot.checksum)
                    batches = batches_of(log[: decoded.size])
                    entries, checksum = encode_entries(batches, slot.checksum)
                    self.assertEqual((entries, checksum), (log[: decoded.size], decoded.checksum))

    def files(self, directory: Path, index: int) -> tuple[Slot, bytes, bytes]:
        """Return a slot, its bytes and the bytes of its log."""
        image = (directory / SLOT_NAMES[index]).read_bytes()
        slot = decode_slot(image)
        assert slot is not None
        return slot, image, (directory / LOG_NAMES[index]).read_bytes()

    def test_a_new_directory_is_written_byte_for_byte(self) -> None:
        """The same calls lead to the same files, with the names that the next version looks for."""
        written = self.copy_of(SEALED)
        for path in written.iterdir():
            path.unlink()
        store, _ = self.load(written)
        for index in range(2):
            slot, _, log = self.files(FIXTURES / SEALED, index)
            store.write_snapshot(slot.records).unwrap()
            for batch in batches_of(log[: decode_log(log, slot.checksum).size]):
                store.append([batch]).unwrap()
        for name in (*SLOT_NAMES, *LOG_NAMES):
            expected = (FIXTURES / SEALED / name).read_bytes()
            if name == LOG_NAMES[1]:
                slot, _, log = self.files(FIXTURES / SEALED, 1)
                expected = log[: decode_log(log, slot.checksum).size]
            self.assertEqual((written / name).read_bytes(), expected, name)
        self.assertEqual({path.name for path in written.iterdir()}, {*SLOT_NAMES, *LOG_NAMES})


def batches_of(log: bytes) -> list[list[bytes]]:
    """Return the records of each entry of an intact log; the layout is spelt out here once more."""
    batches: list[list[bytes]] = []
    at = 0
    while at < len(log):
        _, _, count = struct.unpack_from("<III", log, at)  # length of the body, checksum, number of records
        at += 12
        batch: list[bytes] = []
        for _ in range(count):
            (length,) = struct.unpack_from("<I", log, at)
            batch.append(log[at + 4 : at + 4 + length])
            at += 4 + length
        batches.append(batch)
    return batches


def numbered(message: pb.Record) -> dict[int, object]:
    """Return the fields of a message by their numbers, so that names may change."""
    fields: dict[int, object] = {}
    for field, value in message.ListFields():
        if field.is_repeated:
            fields[field.number] = [numbered(each) if field.message_type is not None else each for each in value]
        else:
            fields[field.number] = numbered(value) if field.message_type is not None else value
    return fields


if __name__ == "__main__":
    unittest.main()
