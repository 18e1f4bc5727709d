"""The data plane on the event loop that processes run on, in real time: nothing here waits for a timer."""

from __future__ import annotations

import asyncio
import unittest

import uvloop

from tests.fleet.data_site import Call, Site, Talk, event, plain
from tests.fleet.test_data_plane_streams import events


async def at_once(talk: Talk, call: Call) -> None:
    """A stream whose events come one behind the other, and that breaks once in its middle."""
    talk.begin()
    first = int(call.headers.get("last-event-id", 0)) + 1
    for number in range(first, 21):
        if number == 10 and first == 1 and talk.server.id == "s1":
            talk.piece(event(number)[:7])
            await talk.writer.drain()
            raise ConnectionError
        talk.event(number)
        await talk.writer.drain()
    talk.finish()


class OnUvloop(unittest.TestCase):
    def test_requests_streams_and_an_end(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=at_once, s2=at_once)
            await site.serve("other", o1=plain)
            for _ in range(10):
                answer = await site.ask("/resume/1")
                self.assertEqual((answer.whole, answer.body), (True, events(1, 20)))
                answer = await site.ask("/other/1", body=b"b" * 100000)
                self.assertEqual(answer.status, 200)
            self.assertTrue(any("last-event-id" in call.headers for call in site.calls))
            client = await site.client()
            client.send("/other/1")
            client.reset()
            site.plane.begin_shutdown()
            self.assertFalse(site.plane.ready())
            self.assertEqual((await site.ask("/other/1")).headers["connection"], "close")
            site.close()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.wait_for(scene(), 30.0))
