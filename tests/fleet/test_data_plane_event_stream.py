"""Framing of event streams: whole events, ids, versions and the joint between two runs."""

from __future__ import annotations

import random
import unittest

from rosechute.data_plane.event_stream import BrokenStreamError, EventStream
from tests.fleet.data_site import event

MOST = 1000


def stream(last: bytes | None = None, version: bytes | None = None) -> EventStream:
    return EventStream(last, version, MOST)


class Events(unittest.TestCase):
    def test_only_whole_events_come_out_however_the_bytes_come_in(self) -> None:
        for line_end in (b"\n", b"\r\n"):
            whole = b"".join(event(n) for n in range(1, 30)).replace(b"\n", line_end)
            ends = {len(b"".join(event(n) for n in range(1, k)).replace(b"\n", line_end)) for k in range(1, 31)}
            for seed in range(30):
                draw, made, at, out = random.Random(seed), stream(), 0, b""
                while at < len(whole):
                    size = draw.randint(1, 60)
                    out += made.feed(whole[at : at + size])
                    at += size
                    self.assertIn(len(out), ends)
                self.assertEqual(out, whole)
                self.assertEqual((made.last_id, made.finish()), (b"29", b""))

    def test_a_last_event_without_its_blank_line_comes_at_the_end(self) -> None:
        made = stream()
        self.assertEqual(made.feed(event(1) + b"id: 2\ndata: x"), event(1))
        self.assertEqual(made.last_id, b"1")
        self.assertEqual(made.finish(), b"id: 2\ndata: x")

    def test_what_a_run_left_unfinished_is_dropped_with_it(self) -> None:
        made = stream()
        made.feed(event(1) + b"id: 2\nda")
        made.start_next_response()
        self.assertEqual(made.feed(event(2)), event(2))

    def test_what_repeats_at_the_joint_is_dropped(self) -> None:
        made = stream()
        made.feed(event(1) + event(2))
        made.start_next_response()
        self.assertEqual(made.feed(event(1) + event(2) + event(3)), event(3))
        self.assertEqual(made.last_id, b"3")

    def test_a_gap_at_the_joint_is_no_continuation(self) -> None:
        made = stream(b"4")
        made.feed(event(5))
        made.start_next_response()
        with self.assertRaises(BrokenStreamError):
            made.feed(event(7))

    def test_ids_that_rise_by_more_show_no_gap(self) -> None:
        made = stream()
        made.feed(event(5) + event(10))
        made.start_next_response()
        self.assertEqual(made.feed(event(15)), event(15))

    def test_ids_that_fall_or_repeat_within_a_run_break_it(self) -> None:
        for second in (1, 2):
            made = stream()
            made.feed(event(2))
            with self.assertRaises(BrokenStreamError):
                made.feed(event(second))

    def test_the_version_line_is_the_events_first(self) -> None:
        made = stream(None, b"3")
        made.feed(event(1) + event(2, version=4))
        self.assertEqual(made.version, b"4")
        made.feed(b"id: 3\ndata: versions:9\n\n")
        self.assertEqual(made.version, b"4")

    def test_behind_an_event_without_an_id_nothing_can_go_on(self) -> None:
        made = stream()
        made.feed(event(1) + b": a comment\n\n")
        self.assertTrue(made.resumable())
        made.feed(b"data: who knows\n\n")
        self.assertFalse(made.resumable())

    def test_an_event_without_end_breaks_the_stream(self) -> None:
        made = stream()
        with self.assertRaises(BrokenStreamError):
            made.feed(b"id: 1\ndata: " + b"x" * MOST)
