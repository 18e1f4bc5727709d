"""Cache of the contents of large message fields, by digest: recently used ones, and those of the machine's state.

This module does no input or output. The cache is bounded in bytes; it evicts the least recently used contents first.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from rosechute.coordination.blob_fields import INLINE_LIMIT_BYTES, blob_digest
from rosechute.coordination.sized_cache import SizedCache

CACHE_LIMIT_BYTES = 24 * 1024 * 1024  # three configurations of the largest size


class BlobCache:
    """Cache of contents by digest.

    Args:
        state_blobs: returns the contents in the machine's replicated state, which take no space in the cache.
        limit_bytes: maximum size of the cache; the newest content is kept whatever its size.
    """

    def __init__(self, state_blobs: Callable[[], Iterable[bytes]], limit_bytes: int = CACHE_LIMIT_BYTES) -> None:
        self._state_blobs = state_blobs
        self._blobs: SizedCache[bytes] = SizedCache(limit_bytes)
        self._digests: dict[bytes, bytes] = {}  # digest of each large content of the newest state
        self.peak_bytes = 0

    def add(self, blob: bytes) -> bytes:
        """Add a content to the cache; return its digest."""
        digest = self._digests.get(blob) or blob_digest(blob)
        self._blobs.add(digest, blob, len(blob))
        self.peak_bytes = max(self.peak_bytes, self._blobs.size_bytes)
        return digest

    def find(self, digest: bytes) -> bytes | None:
        """Return the content of a digest, or None where this machine does not have it."""
        blob = self._blobs.find(digest)
        if blob is not None:
            return blob
        return next((each for each, own in self._state_digests().items() if own == digest), None)

    def _state_digests(self) -> dict[bytes, bytes]:
        """Return the digest of each large content in the machine's state; each digest is computed once."""
        large = {blob for blob in self._state_blobs() if len(blob) > INLINE_LIMIT_BYTES}
        self._digests = {blob: self._digests.get(blob) or blob_digest(blob) for blob in large}
        return self._digests
