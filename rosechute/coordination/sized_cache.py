"""A cache that is bounded by the total size of its values."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

Value = TypeVar("Value")


class SizedCache(Generic[Value]):
    """Cache of values by digest. It evicts the least recently used values; the newest one is kept whatever its size.

    Args:
        limit_bytes: maximum sum of the sizes of all values.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        # Value and size by digest, least recently used first.
        self._entries: OrderedDict[bytes, tuple[Value, int]] = OrderedDict()
        self.size_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, digest: bytes, value: Value, size_bytes: int) -> None:
        """Add a value as the most recently used one."""
        if digest not in self._entries:
            self._entries[digest] = (value, size_bytes)
            self.size_bytes += size_bytes
        self._entries.move_to_end(digest)
        while self.size_bytes > self._limit_bytes and len(self._entries) > 1:
            _, (_, evicted_bytes) = self._entries.popitem(last=False)
            self.size_bytes -= evicted_bytes

    def find(self, digest: bytes) -> Value | None:
        """Return a value and mark it as the most recently used one; None if it is not in the cache."""
        entry = self._entries.get(digest)
        if entry is None:
            return None
        self._entries.move_to_end(digest)
        return entry[0]
