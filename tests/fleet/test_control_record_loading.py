"""Tests of loading the records of a core machine while its disk returns errors."""

from __future__ import annotations

import errno
import os
import tempfile
from unittest import IsolatedAsyncioTestCase, mock

from loguru import logger

from rosechute.control_plane import record_loading
from rosechute.storage.files import DiskDirectory
from rosechute.storage.record_store import RecordStore

FAILED_LOADS = 20


class RecordLoadingTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        logger.disable("rosechute.control_plane")
        self.addCleanup(logger.enable, "rosechute.control_plane")

    async def test_failed_attempts_leak_no_file_descriptors(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            store, _ = RecordStore.open(DiskDirectory(path)).unwrap()
            store.write_snapshot([b"record"]).unwrap()
            attempts = 0
            before = len(os.listdir("/proc/self/fd"))

            def fail_sync(descriptor: int) -> None:
                nonlocal attempts
                attempts += 1
                if attempts <= FAILED_LOADS:
                    raise OSError(errno.EIO, "Input/output error")

            with (
                mock.patch.object(record_loading, "LOAD_RETRY_S", 0.0),
                mock.patch("rosechute.storage.files.os.fdatasync", fail_sync),
            ):
                _, loaded = await record_loading.load_records_until_readable(path)
            self.assertEqual(loaded, [b"record"])
            self.assertLess(len(os.listdir("/proc/self/fd")) - before, FAILED_LOADS // 2)
