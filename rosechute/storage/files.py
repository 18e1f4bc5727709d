"""The few operations on files that the record store needs, and their form on a real disk."""

import os
from typing import Protocol


class Folder(Protocol):
    """A folder of files. Every operation may raise OSError; nothing is durable before its sync."""

    def read(self, name: str) -> bytes | None:
        """The whole file, or None where there is none."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset`; the file is created where there is none."""

    def truncate(self, name: str, size: int) -> None:
        """Set the length of the file; it is created where there is none."""

    def sync(self, name: str) -> None:
        """Make what was written to the file durable."""

    def sync_entries(self) -> None:
        """Make the names of the files durable."""


class DiskDirectory:
    """A folder on a real disk. Descriptors stay open, one for each file."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._descriptors: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        try:
            with open(os.path.join(self._path, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, name: str, offset: int, data: bytes) -> None:
        descriptor = self._descriptor(name)
        left = memoryview(data)
        while left:
            written = os.pwrite(descriptor, left, offset)
            left = left[written:]
            offset += written

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        os.fdatasync(self._descriptor(name))

    def sync_entries(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close all descriptors."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()

    def _descriptor(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            os.makedirs(self._path, exist_ok=True)
            descriptor = os.open(os.path.join(self._path, name), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
            self._descriptors[name] = descriptor
        return descriptor
