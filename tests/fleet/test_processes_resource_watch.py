"""Unit tests of `processes.resource_watch`: each cause for the end of a process has its own log line."""

from __future__ import annotations

import unittest
from mmap import mmap
from unittest import mock

import msgspec
from loguru import logger

from rosechute.configuration.process import ProcessLimits, ProcessSettings
from rosechute.processes import resource_watch
from rosechute.processes.resource_watch import ResourceWatch, current_usage
from rosechute.proxy.core import process_memory
from rosechute.proxy.core.memory_guard import MEGABYTE
from rosechute.proxy.core.process_memory import resident_bytes


class ResourceWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        sink = logger.add(lambda message: self.lines.append(message.record["message"]))
        self.addCleanup(logger.remove, sink)
        self.settings = ProcessSettings(node_name="n", ip="127.0.0.1", zone="z", port_range=(7500, 7515))
        self.watch = self.watch_with_memory(100)

    def watch_with_memory(self, memory_mb: float) -> ResourceWatch:
        """Return a watch of this process with that memory limit."""
        limits = msgspec.structs.replace(ProcessLimits(), memory_mb=memory_mb, max_fds=1000)
        return ResourceWatch(msgspec.structs.replace(self.settings, limits=limits))

    def test_memory_near_its_limit_is_logged_once_until_it_has_fallen(self) -> None:
        for memory_mb in (79.0, 81.0, 90.0, 75.0, 85.0, 60.0, 85.0):
            self.watch.warn_of_memory(memory_mb)
        self.assertEqual(
            self.lines,
            [
                "memory near its limit resident_mb=81.0 limit_mb=100",
                "memory near its limit resident_mb=85.0 limit_mb=100",
            ],
        )

    def test_release_of_memory_is_logged(self) -> None:
        resident = resident_bytes()
        assert resident is not None
        watch = self.watch_with_memory(2 * resident // MEGABYTE)
        watch.check_memory()
        kept = mmap(-1, resident // 4)  # pages of its own, whatever is free in the heap
        self.addCleanup(kept.close)
        kept.write(bytes(len(kept)))
        watch.check_memory()
        self.assertEqual(len(self.lines), 1)
        self.assertRegex(self.lines[0], r"^memory released resident_mb=\d+\.\d released_mb=-?\d+\.\d$")
        self.assertEqual(watch.memory_releases_total, 1)
        self.assertGreater(watch.resident_bytes, len(kept))

    def test_descriptors_near_their_limit_are_logged(self) -> None:
        self.watch.check_descriptors(800)
        self.assertEqual(self.lines, ["descriptors near their limit open=800 limit=1000"])

    def test_unknown_usage_is_no_reason_for_a_line(self) -> None:
        self.watch.check_descriptors(None)
        with mock.patch.object(process_memory, "STATM_PATH", "/nowhere"):
            self.watch.check_memory()
        self.assertEqual(self.lines, [])

    def test_usage_of_this_process_is_known_on_linux(self) -> None:
        usage = current_usage()
        assert usage.memory_mb is not None and usage.descriptors is not None
        self.assertGreater(usage.memory_mb, 1.0)
        self.assertGreaterEqual(usage.descriptors, 1)

    def test_start_and_end_name_what_tells_causes_apart(self) -> None:
        resource_watch.log_start(self.settings)
        resource_watch.log_end(3)
        self.assertRegex(
            self.lines[0],
            r"^process started node=n pid=\d+ python=3\.\S+ machine=\S+ libraries=/\S+ startup_s=\d+\.\d+ cpu_s=\d",
        )
        self.assertRegex(self.lines[1], r"^process ended status=3 resident_mb=\d+\.\d descriptors=\d+$")
