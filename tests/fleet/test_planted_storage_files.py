"""The record store's files, layout, thread and loading, part by part; on a real disk what is synced is watched."""

from __future__ import annotations

import asyncio
import errno
import os
import struct
import tempfile
import threading
import unittest
import zlib
from pathlib import Path
from typing import Any
from unittest import mock

from returns.result import Failure, Success

from rosechute.storage.errors import StorageError
from rosechute.storage.files import DiskDirectory
from rosechute.storage.layout import decode_log, decode_slot, encode_entries, encode_slot
from rosechute.storage.loading import load_records
from rosechute.storage.record_store import RecordStore
from rosechute.storage.writer import StoreWriter, WriteResult

from .simulated_disk import SimulatedDirectory


class DiskDirectoryTest(unittest.TestCase):
    """A directory on a real disk."""

    def setUp(self) -> None:
        place = tempfile.TemporaryDirectory()
        self.addCleanup(place.cleanup)
        self.path = Path(place.name) / "made" / "here"
        self.directory = DiskDirectory(str(self.path))
        self.addCleanup(self.directory.close)

    def test_missing_file(self) -> None:
        self.assertIsNone(self.directory.read("a"))

    def test_write_at_an_offset_and_truncate(self) -> None:
        self.directory.write("a", 0, b"hello world")
        self.directory.write("a", 6, b"there")
        self.assertEqual(self.directory.read("a"), b"hello there")
        self.directory.truncate("a", 5)
        self.assertEqual(self.directory.read("a"), b"hello")
        self.directory.truncate("b", 0)
        self.assertEqual(self.directory.read("b"), b"")

    def test_write_in_parts(self) -> None:
        written = os.pwrite

        def some(descriptor: int, data: Any, offset: int) -> int:
            return written(descriptor, bytes(data)[:4], offset)

        with mock.patch("os.pwrite", some):
            self.directory.write("a", 2, b"0123456789")
        self.assertEqual(self.directory.read("a"), b"\0\x000123456789")

    def test_sync_reaches_the_disk(self) -> None:
        self.directory.write("a", 0, b"x")
        with mock.patch("os.fdatasync", wraps=os.fdatasync) as synced:
            self.directory.sync("a")
        ((descriptor,),) = [call.args for call in synced.call_args_list]
        self.assertEqual(os.fstat(descriptor).st_ino, (self.path / "a").stat().st_ino)

    def test_sync_of_the_entries_reaches_the_disk(self) -> None:
        self.directory.write("a", 0, b"x")
        synced: list[int] = []

        def sync(descriptor: int) -> None:
            synced.append(os.fstat(descriptor).st_ino)

        before = len(os.listdir("/proc/self/fd"))
        with mock.patch("os.fsync", sync):
            self.directory.sync_entries()
        self.assertEqual(synced, [self.path.stat().st_ino])
        self.assertEqual(len(os.listdir("/proc/self/fd")), before, "no descriptor is left open")

    def test_descriptors_stay_open_until_closed(self) -> None:
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(3):
            self.directory.write("a", 0, b"x")
            self.directory.write("b", 0, b"x")
        self.assertEqual(len(os.listdir("/proc/self/fd")), before + 2)
        self.directory.close()
        self.assertEqual(len(os.listdir("/proc/self/fd")), before)
        self.directory.close()
        self.directory.write("a", 0, b"y")
        self.assertEqual(self.directory.read("a"), b"y")


class LayoutTest(unittest.TestCase):
    """What isn't whole doesn't count, whatever its checksum says."""

    def slot(self, mark: bytes, body: bytes) -> bytes:
        image = struct.pack("<4sQI", mark, 7, len(body)) + body
        return image + struct.pack("<I", zlib.crc32(image))

    def entry(self, body: bytes, checksum: int) -> bytes:
        own = zlib.crc32(body, zlib.crc32(struct.pack("<I", len(body)), checksum))
        return struct.pack("<II", len(body), own) + body

    def test_bodies_that_do_not_fit_their_count(self) -> None:
        whole = struct.pack("<I", 2) + struct.pack("<I", 1) + b"a" + struct.pack("<I", 0)
        slot = decode_slot(self.slot(b"RSC1", whole))
        assert slot is not None
        self.assertEqual((slot.generation, slot.records), (7, [b"a", b""]))
        for body in (
            b"",
            b"\1\0",
            struct.pack("<I", 1) + whole[4:],  # more than it counts
            struct.pack("<I", 3) + whole[4:],  # less
            whole + b"more",
            struct.pack("<II", 1, 9) + b"a",  # a record that ends behind the body
        ):
            self.assertIsNone(decode_slot(self.slot(b"RSC1", body)), body)
            self.assertEqual(decode_log(self.entry(body, 5), 5).size, 0, body)
        self.assertEqual(decode_log(self.entry(whole, 5), 5).records, [b"a", b""])

    def test_another_mark(self) -> None:
        self.assertIsNone(decode_slot(self.slot(b"RSC2", struct.pack("<I", 0))))
        self.assertIsNone(decode_slot(None))
        self.assertIsNone(decode_slot(b""))

    def test_an_entry_that_is_cut_off(self) -> None:
        data, _ = encode_entries([[b"abc"]], 5)
        self.assertEqual(decode_log(data, 5).records, [b"abc"])
        cut = struct.pack("<II", 8, zlib.crc32(b"", zlib.crc32(struct.pack("<I", 8), 5)))
        self.assertEqual(decode_log(cut, 5).size, 0)
        shorter = self.entry(struct.pack("<I", 0), 5)
        self.assertEqual(decode_log(struct.pack("<I", 9) + shorter[4:], 5).size, 0)

    def test_checksum_and_size_go_on(self) -> None:
        first, one = encode_entries([[b"a"]], 5)
        second, two = encode_entries([[b"b"]], one)
        log = decode_log(first + second, 5)
        self.assertEqual((log.size, log.checksum, log.records), (len(first + second), two, [b"a", b"b"]))
        image, checksum = encode_slot(3, [b"a"])
        slot = decode_slot(image)
        assert slot is not None
        self.assertEqual((slot.generation, slot.checksum), (3, checksum))


class WatchedDirectory(SimulatedDirectory):
    """Remembers its operations."""

    def __init__(self) -> None:
        super().__init__()
        self.done: list[str] = []

    def write(self, name: str, offset: int, data: bytes) -> None:
        self.done.append(f"write {name}")
        super().write(name, offset, data)

    def truncate(self, name: str, size: int) -> None:
        self.done.append(f"truncate {name}")
        super().truncate(name, size)

    def sync(self, name: str) -> None:
        self.done.append(f"sync {name}")
        super().sync(name)

    def sync_entries(self) -> None:
        self.done.append("sync entries")
        super().sync_entries()


class RecordStoreTest(unittest.TestCase):
    """Each acknowledgement stands behind the syncs that it needs, of files and of names."""

    def setUp(self) -> None:
        self.directory = WatchedDirectory()
        self.store, _ = RecordStore.open(self.directory).unwrap()

    def done(self) -> list[str]:
        done, self.directory.done = self.directory.done, []
        return done

    def test_snapshot_syncs_its_slot_and_its_entry(self) -> None:
        for name, log in (("records-a.slot", "records-a.log"), ("records-b.slot", "records-b.log")):
            self.store.write_snapshot([b"a"]).unwrap()
            steps = [f"write {name}", f"truncate {name}", f"sync {name}", "sync entries", f"truncate {log}"]
            self.assertEqual(self.done(), steps)

    def test_first_append_syncs_the_directory_too(self) -> None:
        self.store.write_snapshot([b"a"]).unwrap()
        self.done()
        self.store.append([[b"b"]]).unwrap()
        self.assertEqual(self.done(), ["write records-a.log", "sync records-a.log", "sync entries"])
        self.store.append([[b"c"]]).unwrap()
        self.assertEqual(self.done(), ["write records-a.log", "sync records-a.log"])

    def test_what_was_loaded_is_made_durable(self) -> None:
        self.store.write_snapshot([b"a"]).unwrap()
        self.done()
        RecordStore.open(self.directory).unwrap()
        self.assertEqual(self.done(), ["sync records-a.slot", "sync entries"])
        self.store.append([[b"b"]]).unwrap()
        self.done()
        RecordStore.open(self.directory).unwrap()
        self.assertEqual(self.done(), ["sync records-a.slot", "sync records-a.log", "sync entries"])

    def test_a_shorter_slot_cuts_the_older_one_off(self) -> None:
        for size in (500, 1, 2):
            self.store.write_snapshot([b"x" * size]).unwrap()
        self.assertEqual(len(self.directory.read("records-a.slot") or b""), len(encode_slot(3, [b"xx"])[0]))

    def test_an_old_log_is_emptied(self) -> None:
        self.store.write_snapshot([b"a"]).unwrap()
        self.store.append([[b"b"]]).unwrap()
        for each in (b"c", b"d"):
            self.store.write_snapshot([each]).unwrap()
        self.assertEqual((self.directory.read("records-a.log"), self.store.log_size), (b"", 0))

    def test_log_size(self) -> None:
        self.store.write_snapshot([b"a"]).unwrap()
        self.store.append([[b"b"]]).unwrap()
        size = self.store.log_size
        self.assertEqual(size, len(self.directory.read("records-a.log") or b""))
        found, _ = RecordStore.open(self.directory).unwrap()
        self.assertEqual((found.log_size, found.can_append), (size, True))

    def test_nothing_is_appended_behind_what_is_not_whole(self) -> None:
        self.store.write_snapshot([b"a"]).unwrap()
        self.store.append([[b"b"]]).unwrap()
        self.directory.write("records-a.log", self.store.log_size, b"torn")
        found, records = RecordStore.open(self.directory).unwrap()
        self.assertEqual((records, found.can_append), ([b"a", b"b"], False))

    def test_nothing_is_appended_without_a_log(self) -> None:
        self.store.write_snapshot([b"a"]).unwrap()
        del self.directory.files["records-a.log"]
        found, records = RecordStore.open(self.directory).unwrap()
        self.assertEqual((records, found.can_append), ([b"a"], False))

    def test_errors_name_step_file_and_cause(self) -> None:
        self.directory.refused = range(0, 1)
        error = self.store.write_snapshot([b"a"]).failure()
        self.assertEqual(str(error), "write records-a.slot: No space left on device")
        self.directory.refused = range(self.directory.operations + 4, 99)
        error = self.store.write_snapshot([b"a"]).failure()
        self.assertEqual(str(error), "empty records-a.log: No space left on device")

    def test_a_directory_that_cannot_be_read(self) -> None:
        for error, told in (
            (OSError(errno.EIO, "Input/output error", "records-a.slot"), ("records-a.slot", "Input/output error")),
            (OSError("odd"), ("", "odd")),
        ):
            with mock.patch.object(SimulatedDirectory, "read", side_effect=error):
                found = RecordStore.open(self.directory).failure()
            self.assertEqual(found, StorageError("load", *told))


class LoadingTest(unittest.TestCase):
    def test_the_loop_goes_on_while_the_disk_hangs(self) -> None:
        class Hanging(SimulatedDirectory):
            gate = threading.Event()

            def read(self, name: str) -> bytes | None:
                self.gate.wait()
                return super().read(name)

        async def load() -> Any:
            directory = Hanging()
            loading = asyncio.ensure_future(load_records(directory))
            for _ in range(3):
                await asyncio.sleep(0)
            self.assertFalse(loading.done())
            directory.gate.set()
            return await loading

        _, records = asyncio.run(load()).unwrap()
        self.assertEqual(records, [])

    def test_a_caller_that_left(self) -> None:
        errors: list[Any] = []

        class Hanging(SimulatedDirectory):
            gate = threading.Event()

            def read(self, name: str) -> bytes | None:
                self.gate.wait()
                return super().read(name)

        async def leave() -> None:
            asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
            loading = asyncio.ensure_future(load_records(Hanging()))
            await asyncio.sleep(0)
            loading.cancel()
            before = threading.active_count()
            Hanging.gate.set()
            while threading.active_count() >= before and before > 1:
                await asyncio.sleep(0)
            for _ in range(3):
                await asyncio.sleep(0)

        asyncio.run(leave())
        self.assertEqual(errors, [])


class WriterTest(unittest.TestCase):
    def test_ends_once_told_after_what_it_was_given(self) -> None:
        store, _ = RecordStore.open(SimulatedDirectory()).unwrap()
        done: list[WriteResult] = []
        posted = threading.Semaphore(0)

        def post(call: Any, *arguments: Any) -> None:
            call(*arguments)
            posted.release()

        writer = StoreWriter(store, post, lambda: 0.0)
        writer.append([b"early"], done.append)
        writer.write_snapshot([b"a"], done.append)
        writer.append([b"b"], done.append)
        writer.append([b"c"], done.append)
        writer.stop()
        writer.start()
        writer._thread.join(20.0)
        self.assertFalse(writer._thread.is_alive())
        self.assertIsInstance(done[0], Failure)
        self.assertEqual(done[1:], [Success(None)] * 3)
        self.assertGreater(writer.log_size, 0)
        self.assertIsNone(writer.oldest_pending_since())
