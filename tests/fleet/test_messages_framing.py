"""Unit tests of `messages.framing`: frames are decoded whatever the pieces that they arrive in."""

from __future__ import annotations

import unittest

from rosechute.messages import framing
from rosechute.messages.errors import FrameError, MessageError
from rosechute.messages.framing import FrameReader, MessageKind, encode_frame


class FrameTest(unittest.TestCase):
    def test_frames_are_complete_whatever_the_pieces(self) -> None:
        stream = encode_frame(MessageKind.COORDINATION, b"first") + encode_frame(MessageKind.DISTRIBUTION, b"")
        stream += encode_frame(MessageKind.DISTRIBUTION, b"x" * 70000)
        for size in (1, 3, 4096, len(stream)):
            reader = FrameReader()
            frames = []
            for start in range(0, len(stream), size):
                frames += reader.feed(stream[start : start + size])
            self.assertEqual(
                frames,
                [
                    (MessageKind.COORDINATION, b"first"),
                    (MessageKind.DISTRIBUTION, b""),
                    (MessageKind.DISTRIBUTION, b"x" * 70000),
                ],
            )

    def test_a_length_over_the_limit_is_an_error(self) -> None:
        over = (framing.MESSAGE_LIMIT_BYTES + 1).to_bytes(4, "big") + b"\x01"
        with self.assertRaises(FrameError):
            FrameReader().feed(over)
        with self.assertRaises(FrameError):
            encode_frame(MessageKind.COORDINATION, bytes(framing.MESSAGE_LIMIT_BYTES + 1))

    def test_an_unknown_kind_is_an_error(self) -> None:
        with self.assertRaises(FrameError):
            FrameReader().feed(b"\x00\x00\x00\x01\x09x")

    def test_errors_have_the_base_of_the_package(self) -> None:
        with self.assertRaises(MessageError) as caught:
            FrameReader().feed(b"\x00\x00\x00\x01\x09x")
        self.assertEqual(str(caught.exception), "frame of kind 9 and 1 bytes")


if __name__ == "__main__":
    unittest.main()
