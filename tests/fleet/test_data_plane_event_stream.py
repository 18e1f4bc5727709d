"""Parser for event streams: complete events, ids, versions, and joining the responses of two servers."""

from __future__ import annotations

import random
import unittest

from rosechute.data_plane.event_stream import BrokenStreamError, EventStream
from tests.fleet.data_site import event

MAX_EVENT_BYTES = 1000


def make_stream(last: bytes | None = None, version: bytes | None = None) -> EventStream:
    return EventStream(last, version, MAX_EVENT_BYTES)


class EventStreamTest(unittest.TestCase):
    def test_only_complete_events_are_returned_for_any_fragmentation(self) -> None:
        for line_end in (b"\n", b"\r\n"):
            stream_bytes = b"".join(event(n) for n in range(1, 30)).replace(b"\n", line_end)
            ends = {len(b"".join(event(n) for n in range(1, k)).replace(b"\n", line_end)) for k in range(1, 31)}
            for seed in range(30):
                rng, parser, at, out = random.Random(seed), make_stream(), 0, b""
                while at < len(stream_bytes):
                    size = rng.randint(1, 60)
                    out += parser.feed(stream_bytes[at : at + size])
                    at += size
                    self.assertIn(len(out), ends)
                self.assertEqual(out, stream_bytes)
                self.assertEqual((parser.last_id, parser.finish()), (b"29", b""))

    def test_last_event_without_blank_line_is_returned_by_finish(self) -> None:
        parser = make_stream()
        self.assertEqual(parser.feed(event(1) + b"id: 2\ndata: x"), event(1))
        self.assertEqual(parser.last_id, b"1")
        self.assertEqual(parser.finish(), b"id: 2\ndata: x")

    def test_partial_event_is_dropped_with_its_response(self) -> None:
        parser = make_stream()
        parser.feed(event(1) + b"id: 2\nda")
        parser.start_next_response()
        self.assertEqual(parser.feed(event(2)), event(2))

    def test_repeated_events_of_next_response_are_dropped(self) -> None:
        parser = make_stream()
        parser.feed(event(1) + event(2))
        parser.start_next_response()
        self.assertEqual(parser.feed(event(1) + event(2) + event(3)), event(3))
        self.assertEqual(parser.last_id, b"3")

    def test_next_response_may_continue_with_any_step_of_ids(self) -> None:
        """Guards against resumed streams that are cut as their ids rise unevenly (incident of review case 3)."""
        for ids in ((1, 2, 3, 4, 9, 14, 19), (4, 5, 7), (5, 10, 15, 16, 17), (1, 100, 101, 1000)):
            for joint in range(1, len(ids)):
                for repeated in range(joint + 1):
                    parser = make_stream()
                    before = b"".join(event(number) for number in ids[:joint])
                    rest = b"".join(event(number) for number in ids[joint:])
                    again = b"".join(event(number) for number in ids[joint - repeated : joint])
                    self.assertEqual(parser.feed(before), before)
                    parser.start_next_response()
                    self.assertEqual(parser.feed(again + rest), rest, (ids, joint, repeated))
                    self.assertEqual(parser.last_id, b"%d" % ids[-1])
                    with self.assertRaises(BrokenStreamError):
                        parser.feed(event(ids[-2]))

    def test_non_increasing_ids_within_a_response_are_an_error(self) -> None:
        for second in (1, 2):
            parser = make_stream()
            parser.feed(event(2))
            with self.assertRaises(BrokenStreamError):
                parser.feed(event(second))

    def test_version_is_read_from_first_line_of_event_only(self) -> None:
        parser = make_stream(None, b"3")
        parser.feed(event(1) + event(2, version=4))
        self.assertEqual(parser.version, b"4")
        parser.feed(b"id: 3\ndata: versions:9\n\n")
        self.assertEqual(parser.version, b"4")

    def test_stream_is_not_resumable_after_event_without_id(self) -> None:
        parser = make_stream()
        parser.feed(event(1) + b": a comment\n\n")
        self.assertTrue(parser.resumable())
        parser.feed(b"data: who knows\n\n")
        self.assertFalse(parser.resumable())

    def test_too_long_event_is_an_error(self) -> None:
        parser = make_stream()
        with self.assertRaises(BrokenStreamError):
            parser.feed(b"id: 1\ndata: " + b"x" * MAX_EVENT_BYTES)
