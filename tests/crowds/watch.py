"""Observation of a process from outside: its memory with the bytes it has not read yet, and its descriptors."""

from __future__ import annotations

import os
import socket
import struct
import threading
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

SAMPLE_INTERVAL_S = 0.02
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEGABYTE = 1 << 20


@dataclass(slots=True)
class Peaks:
    """The largest values that were seen."""

    memory_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0

    def __str__(self) -> str:
        """Return the values in one line, for the message of a failed check."""
        return (
            f"{self.memory_bytes / MEGABYTE:.1f} MB, at most {self.unread_bytes / MEGABYTE:.1f} MB unread in the "
            f"kernel; {self.descriptors} descriptors"
        )


def resident_bytes(pid: int) -> int:
    """Return the resident size of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def _kernel_name(ip: str) -> str:
    """Return how the kernel's table of sockets writes an address, up to the port."""
    return f"{struct.unpack('<I', socket.inet_aton(ip))[0]:08X}:"


class Watch(threading.Thread):
    """Samples one process until `stop`.

    Memory is the resident size and the bytes that have arrived at its sockets, accepted or not, and were not read.

    Args:
        pid: The process.
        ip: Its address, which no other process of the test uses.
        interval_s: Seconds between two samples.
        server_ips: Addresses of servers that no other process of the test calls.
    """

    def __init__(
        self, pid: int, ip: str, interval_s: float = SAMPLE_INTERVAL_S, server_ips: Sequence[str] = ()
    ) -> None:
        super().__init__(daemon=True)
        self.peaks = Peaks()
        self._pid, self._interval_s = pid, interval_s
        self._local = _kernel_name(ip)
        self._servers = tuple(_kernel_name(server) for server in server_ips)
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Sample until `stop`, or until the process has ended."""
        while not self._stop_requested.wait(self._interval_s):
            try:
                self._sample()
            except (FileNotFoundError, ProcessLookupError, PermissionError):
                return

    def stop(self) -> Peaks:
        """Stop sampling; return the peaks."""
        self._stop_requested.set()
        self.join()
        return self.peaks

    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self._pid}/fd"))

    def _sample(self) -> None:
        unread = self._unread_bytes()
        resident = resident_bytes(self._pid)
        peaks = self.peaks
        peaks.memory_bytes = max(peaks.memory_bytes, resident + unread)
        peaks.unread_bytes = max(peaks.unread_bytes, unread)
        peaks.descriptors = max(peaks.descriptors, self.descriptors())

    def _unread_bytes(self) -> int:
        """Return the bytes in the receive queues of the sockets at the process's address."""
        unread = 0
        for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = row.split()
            is_listening = fields[3] == "0A"  # the queue of a listening socket counts connections
            is_own = fields[1].startswith(self._local) or fields[2].startswith(self._servers)
            if is_own and not is_listening:
                unread += int(fields[4].partition(":")[2], 16)
        return unread
