"""File operations that the record store needs, and their implementation on a real disk."""

import os
from typing import Protocol


class Directory(Protocol):
    """A directory of files. Every operation may raise OSError; nothing is durable before its sync."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file; None if it does not exist."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset` in bytes; create the file if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Set the size of a file in bytes; create the file if it does not exist."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable (fdatasync)."""

    def sync_entries(self) -> None:
        """Make the directory entries durable, so that new files survive a power loss (fsync of the directory)."""


class DiskDirectory:
    """A directory on a real disk. Descriptors stay open, one for each file."""

    def __init__(self, path: str) -> None:
        """Refer to a directory, which the first write creates.

        Args:
            path: Path of the directory.
        """
        self._path = path
        self._descriptors: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """Return the content of a file; None if it does not exist."""
        try:
            with open(os.path.join(self._path, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset`, with as many system calls as the disk needs."""
        descriptor = self._descriptor(name)
        remaining = memoryview(data)
        while remaining:
            written = os.pwrite(descriptor, remaining, offset)
            remaining = remaining[written:]
            offset += written

    def truncate(self, name: str, size: int) -> None:
        """Set the size of a file in bytes."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fdatasync(self._descriptor(name))

    def sync_entries(self) -> None:
        """Make the directory entries durable."""
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close all descriptors; a later operation opens its file anew."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()

    def _descriptor(self, name: str) -> int:
        """Return the descriptor of a file; open and create the file at its first use."""
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            os.makedirs(self._path, exist_ok=True)
            descriptor = os.open(os.path.join(self._path, name), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
            self._descriptors[name] = descriptor
        return descriptor
