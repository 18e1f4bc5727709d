"""A bounded queue of frames that wait to be sent."""

from __future__ import annotations

from collections import deque

QUEUE_LIMIT_BYTES = 2 * 1024 * 1024  # bounds the memory used for a peer that does not read


class FrameQueue:
    """Frames in the order of sending, bounded in bytes; the oldest are dropped first.

    A single frame may be larger than the limit: the newest one is never dropped.
    """

    __slots__ = ("_frames", "_size_bytes")

    def __init__(self) -> None:
        self._frames: deque[bytes] = deque()
        self._size_bytes = 0

    def __len__(self) -> int:
        """Return the number of frames."""
        return len(self._frames)

    @property
    def size_bytes(self) -> int:
        """Bytes of all frames together."""
        return self._size_bytes

    def push(self, frame: bytes) -> None:
        """Add a frame; drop the oldest ones if the limit is exceeded."""
        self._frames.append(frame)
        self._size_bytes += len(frame)
        while self._size_bytes > QUEUE_LIMIT_BYTES and len(self._frames) > 1:
            self.pop()

    def pop(self) -> bytes:
        """Remove and return the oldest frame."""
        frame = self._frames.popleft()
        self._size_bytes -= len(frame)
        return frame

    def clear(self) -> None:
        """Drop every frame."""
        self._frames.clear()
        self._size_bytes = 0
