"""The data plane on uvloop, the event loop of the processes, in real time and without waiting for timers."""

from __future__ import annotations

import asyncio
import unittest

import uvloop

from tests.fleet.data_site import Call, DataPlaneHarness, ServerConnection, event, respond_ok
from tests.fleet.test_data_plane_streams import events


async def stream_without_pause(conn: ServerConnection, call: Call) -> None:
    """Send events without pauses; server s1 interrupts each new stream once."""
    conn.start_stream()
    first = int(call.headers.get("last-event-id", 0)) + 1
    for number in range(first, 21):
        if number == 10 and first == 1 and conn.server.id == "s1":
            conn.send_chunk(event(number)[:7])
            await conn.writer.drain()
            raise ConnectionError
        conn.send_event(number)
        await conn.writer.drain()
    conn.finish_stream()


class UvloopTest(unittest.TestCase):
    def test_requests_streams_and_shutdown(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_without_pause, s2=stream_without_pause)
            await harness.serve("other", o1=respond_ok)
            for _ in range(10):
                response = await harness.fetch("/resume/1")
                self.assertEqual((response.is_complete, response.body), (True, events(1, 20)))
                response = await harness.fetch("/other/1", body=b"b" * 100000)
                self.assertEqual(response.status, 200)
            self.assertTrue(any("last-event-id" in call.headers for call in harness.calls))
            client = await harness.client()
            client.send("/other/1")
            client.reset()
            harness.plane.begin_shutdown()
            self.assertFalse(harness.plane.ready())
            self.assertEqual((await harness.fetch("/other/1")).headers["connection"], "close")
            harness.close()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.wait_for(scenario(), 30.0))
