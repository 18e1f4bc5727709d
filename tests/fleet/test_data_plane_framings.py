"""Responses of servers in each framing, with their bytes cut at every position, through the data plane."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from collections.abc import Iterator

from rosechute.data_plane.event_boundary import EventBoundary
from rosechute.data_plane.event_stream import BrokenStreamError, EventStream
from tests.fleet.data_model import Framing, frame_body, framing_lines
from tests.fleet.data_site import (
    Call,
    DataPlaneHarness,
    Response,
    Script,
    ServerConnection,
    VirtualTimeTestCase,
    event,
)
from tests.fleet.test_data_plane_streams import events, stream_events

PIECE_PAUSE_S = 0.01  # between two pieces, so that they are read separately
MAX_EVENT_BYTES = 1000
MAX_HEAD_BYTES = 170  # of the heads that the scripts below send
LINE_ENDS = (b"\n", b"\r\n")
# Streams whose last event is complete, also where more than one blank line or a comment follows it.
COMPLETE_ENDS = (
    *(b"data: x" + end + end for end in (b"\n", b"\r\n", b"\r")),
    b"data: x\n\r\n",
    b"data: x\r\n\n",
    b"data: x\n\n\n",
    b"data: x\r\n\r\n\r\n",
    b"data: x\n\n: a comment\n",
    b"data: x\n\n: a comm",
    b": only comments\n",
)
INCOMPLETE_ENDS = (
    b"data: x",
    b"data: x\n",
    b"data: x\r\n",
    b"data: x\r",
    b"data: x\n\nid: 2\n",
    b"data: x\n\nid",
    b"data: x\n: a comment\n",
)


def response_with_cuts(body: bytes, framing: Framing, cuts: Iterator[int]) -> Script:
    """Return a script that sends a response in two pieces; `cuts` gives the bytes in the first piece, by request."""

    async def script(conn: ServerConnection, call: Call) -> None:
        lines = framing_lines(body, framing)
        wire = conn.serialize_head(200, "Content-Type: text/event-stream", *lines) + frame_body(body, framing)
        cut = next(cuts) % len(wire)
        conn.writer.write(wire[:cut])
        await conn.writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)
        conn.writer.write(wire[cut:])
        await conn.writer.drain()
        if framing is Framing.CLOSE_DELIMITED:
            raise ConnectionError

    return script


def stream_in_pieces(*pieces: bytes) -> Script:
    """Return a script that sends a close-delimited stream in these pieces."""

    async def script(conn: ServerConnection, call: Call) -> None:
        conn.writer.write(conn.serialize_head(200, "Content-Type: text/event-stream"))
        for piece in pieces:
            conn.writer.write(piece)
            await conn.writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
        raise ConnectionError

    return script


class FramingTest(VirtualTimeTestCase):
    def test_close_delimited_stream_is_complete_if_its_last_blank_line_arrives_alone(self) -> None:
        """Guards against truncated streams whose server has ended them in order (incident of review case 2)."""

        async def scenario() -> None:
            for path, line_end in itertools.product(("/stream/1", "/resume/1"), LINE_ENDS):
                body = events(1, 3).replace(b"\n", line_end)
                for last in range(1, 2 * len(line_end) + 1):
                    script = stream_in_pieces(body[:-last], body[-last:])
                    harness = await DataPlaneHarness().start(s1=script)
                    response = await harness.fetch(path)
                    self.assertEqual((response.is_complete, response.body), (True, body), (path, line_end, last))
                    harness.close()

        self.run_scenario(scenario)

    def test_close_delimited_stream_with_lone_blank_line_is_complete_during_shutdown(self) -> None:
        """Guards against streams in progress that are truncated at SIGTERM (incident of review case 2)."""

        async def scenario() -> None:
            pieces = [piece for number in range(1, 9) for piece in (event(number)[:-1], event(number)[-1:])]
            for path in ("/stream/1", "/resume/1"):
                harness = await DataPlaneHarness().start(s1=stream_in_pieces(*pieces))
                request = asyncio.ensure_future(harness.fetch(path))
                await asyncio.sleep(5 * PIECE_PAUSE_S)
                harness.plane.begin_shutdown()
                response: Response = await request
                self.assertEqual((response.is_complete, response.body), (True, events(1, 8)), path)
                await harness.plane.finish_shutdown()
                harness.close()

        self.run_scenario(scenario)

    def test_complete_response_is_complete_for_each_framing_and_cut(self) -> None:
        async def scenario() -> None:
            for framing, line_end in itertools.product(Framing, LINE_ENDS):
                body = events(1, 2).replace(b"\n", line_end)
                harness = await DataPlaneHarness().start(s1=response_with_cuts(body, framing, itertools.count(1)))
                streamed = ("/stream/1", "/resume/1")
                for path in streamed if line_end != LINE_ENDS[0] else ("/plain/1", *streamed):
                    for _ in range(MAX_HEAD_BYTES + len(body)):  # cuts beyond the response start over
                        response = await harness.fetch(path)
                        self.assertEqual((response.status, response.is_complete, response.body), (200, True, body))
                harness.close()

        self.run_scenario(scenario)

    def test_resumed_stream_is_complete_for_each_framing_and_cut(self) -> None:
        async def scenario() -> None:
            rest = events(3, 4)
            for framing in Framing:
                cuts = itertools.count(1)
                harness = await DataPlaneHarness().start(
                    s1=stream_events(2, pause_s=0.01, then="reset"), s2=response_with_cuts(rest, framing, cuts)
                )
                resumed = 0
                for _ in range(300):
                    response = await harness.fetch("/resume/1")
                    first = next(call for call in reversed(harness.calls) if "last-event-id" not in call.headers)
                    is_resumed = first.headers["x-rosechute-expect-instance"] == "s1"
                    resumed += is_resumed
                    expected = events(1, 4) if is_resumed else rest
                    self.assertEqual((response.is_complete, response.body), (True, expected), framing)
                self.assertGreater(resumed, 0)
                harness.close()

        self.run_scenario(scenario)


class EventBoundaryTest(unittest.TestCase):
    def test_is_inside_event_does_not_depend_on_pieces(self) -> None:
        for data, is_inside in [(end, False) for end in COMPLETE_ENDS] + [(end, True) for end in INCOMPLETE_ENDS]:
            for prefix in (b"", b"id: 1\ndata: y\n\n"):
                for pieces in self._divisions(prefix + data):
                    boundary = EventBoundary()
                    for piece in pieces:
                        boundary.feed(piece)
                    self.assertEqual(boundary.is_inside_event, is_inside, pieces)

    def test_end_of_resumable_stream_does_not_depend_on_pieces(self) -> None:
        for data in COMPLETE_ENDS:
            for pieces in self._divisions(event(1) + data):
                self.assertEqual(self._read(pieces), event(1) + data, pieces)
        for data in INCOMPLETE_ENDS:
            for pieces in self._divisions(event(1) + data):
                with self.assertRaises(BrokenStreamError, msg=str(pieces)):
                    self._read(pieces)

    @staticmethod
    def _read(pieces: list[bytes]) -> bytes:
        """Return what a resumable stream forwards of a close-delimited response."""
        stream = EventStream(None, None, MAX_EVENT_BYTES)
        return b"".join([stream.feed(piece) for piece in pieces]) + stream.finish(has_explicit_length=False)

    @staticmethod
    def _divisions(data: bytes) -> Iterator[list[bytes]]:
        """Yield the data in one piece, in two pieces cut at each position, and byte by byte."""
        yield [data]
        for cut in range(1, len(data)):
            yield [data[:cut], data[cut:]]
        yield [data[at : at + 1] for at in range(len(data))]
