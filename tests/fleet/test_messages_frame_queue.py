"""Unit tests of `messages.frame_queue`."""

from __future__ import annotations

import unittest

from rosechute.messages.frame_queue import QUEUE_LIMIT_BYTES, FrameQueue


def drained(queue: FrameQueue) -> list[bytes]:
    """Remove and return every frame."""
    frames: list[bytes] = []
    while queue:
        frames.append(queue.pop())
    return frames


class FrameQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = FrameQueue()

    def test_frames_come_out_in_order(self) -> None:
        for frame in (b"a", b"b", b"c"):
            self.queue.push(frame)
        self.assertEqual(len(self.queue), 3)
        self.assertEqual(drained(self.queue), [b"a", b"b", b"c"])

    def test_the_oldest_frames_are_dropped_above_the_limit(self) -> None:
        half = bytes(QUEUE_LIMIT_BYTES // 2)
        self.queue.push(b"old")
        self.queue.push(half)
        self.queue.push(half)
        self.assertEqual(drained(self.queue), [half, half], "exactly the limit is allowed")

    def test_a_single_frame_may_exceed_the_limit(self) -> None:
        large = bytes(QUEUE_LIMIT_BYTES + 1)
        self.queue.push(b"old")
        self.queue.push(large)
        self.assertEqual(drained(self.queue), [large])
        self.queue.push(large)
        self.queue.push(b"new")
        self.assertEqual(drained(self.queue), [b"new"])

    def test_popped_and_cleared_frames_no_longer_count(self) -> None:
        full = bytes(QUEUE_LIMIT_BYTES)
        self.queue.push(full)
        self.queue.pop()
        self.queue.push(full)
        self.queue.clear()
        self.assertEqual(len(self.queue), 0)
        self.queue.push(full)
        self.assertEqual(drained(self.queue), [full])


if __name__ == "__main__":
    unittest.main()
