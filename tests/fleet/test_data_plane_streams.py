"""Streams through the data plane: passed on as they come, continued where they break, cut where they can't be."""

from __future__ import annotations

import asyncio
from unittest import mock

import msgspec

from tests.fleet.data_site import (
    Call,
    Client,
    Script,
    Server,
    Site,
    SiteCase,
    Talk,
    configuration,
    event,
    route,
    until_closed,
)


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


def streaming(count: int, pause_s: float = 0.1, then: str = "finish", **more: object) -> Script:
    """A server that sends events up to `count`, behind the one that it is told, and then ends."""

    async def script(talk: Talk, call: Call) -> None:
        talk.begin(**more)  # type: ignore[arg-type]
        for number in range(int(call.headers.get("last-event-id", 0)) + 1, count + 1):
            await asyncio.sleep(pause_s)
            talk.event(number)
            await talk.writer.drain()
        if then == "finish":
            talk.finish()
        elif then == "reset":
            await talk.writer.drain()
            await asyncio.sleep(0.01)
            talk.reset()
        elif then == "close":
            raise ConnectionError
        elif then == "half":
            talk.piece(b"id: %d\nda" % (count + 1))
            raise ConnectionError
        else:
            await until_closed(talk, call)

    return script


async def read_head_alone(talk: Talk) -> Call:
    """A server that answers before it reads a body."""
    head = await talk.reader.readuntil(b"\r\n\r\n")
    talk.call = Call(head, asyncio.get_running_loop().time())
    return talk.call


class Streams(SiteCase):
    def test_head_and_events_are_passed_on_as_they_come(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(4, 0.4))
            for path in ("/stream/1", "/resume/1"):
                client = await site.client()
                begun = site.loop.time()
                client.send(path)
                status, headers = await client.head()
                self.assertEqual((status, headers["content-type"]), (200, "text/event-stream"))
                self.assertEqual(headers["x-rosechute-server-stamp"], "stamp-1")
                self.assertLess(site.loop.time() - begun, 0.05)
                for number in range(1, 5):
                    self.assertEqual(await client.piece(), event(number))
                    self.assertAlmostEqual(site.loop.time() - begun, 0.4 * number, delta=0.05)
                self.assertEqual(await client.piece(), b"")
                answer = await client.ask(path)  # the connection goes on
                self.assertEqual(answer.body, events(1, 4))
            self.assertEqual(site.servers["s1"].connections, 1)
            site.close()

        self.play(scene)

    def test_an_event_in_pieces_comes_whole_where_it_may_be_resumed(self) -> None:
        async def scene() -> None:
            async def script(talk: Talk, call: Call) -> None:
                talk.begin()
                for data in (b"id: 1\nda", b"ta: a\n", b"\nid: 2\ndata: b\n\nid", b": 3\ndata: c\n\n"):
                    await asyncio.sleep(0.1)
                    talk.piece(data)
                talk.finish()

            site = await Site().start(s1=script)
            client = await site.client()
            client.send("/resume/1")
            await client.head()
            pieces = [await client.piece() for _ in range(3)]
            self.assertEqual(pieces, [b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n", b""])
            site.close()

        self.play(scene)

    def test_a_broken_stream_goes_on_at_another_server(self) -> None:
        async def scene() -> None:
            for then in ("reset", "close", "half"):
                site = await Site().start(
                    s1=streaming(3, then=then, stamp="stamp-1"), s2=streaming(6, stamp="stamp-1")
                )
                for _ in range(4):
                    answer = await site.ask("/resume/1", id=f"r-{then}-{site.loop.time()}")
                    self.assertEqual((answer.status, answer.whole, answer.body), (200, True, events(1, 6)), then)
                resumed = [call for call in site.calls if "last-event-id" in call.headers]
                self.assertTrue(resumed)
                self.assertEqual({call.headers["last-event-id"] for call in resumed}, {"3"})
                self.assertTrue(all(call.headers["x-rosechute-expect-instance"] == "s2" for call in resumed))
                site.close()

        self.play(scene)

    def test_head_and_stamp_are_those_of_the_first_server(self) -> None:
        async def scene() -> None:
            site = await Site().start(
                s1=streaming(2, then="reset", stamp="of-s1"),
                s2=streaming(2, then="reset", stamp="of-s2"),
                s3=streaming(9, stamp="of-s3"),
            )
            for _ in range(6):
                answer = await site.ask("/resume/1")
                first = next(call for call in reversed(site.calls) if "last-event-id" not in call.headers)
                expected = "of-" + first.headers["x-rosechute-expect-instance"]
                self.assertEqual(answer.headers["x-rosechute-server-stamp"], expected)
            site.close()

        self.play(scene)

    def test_a_client_that_takes_its_stream_up_is_passed_on_as_it_came(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(9))
            answer = await site.ask("/resume/1", "Last-Event-Id: 5")
            self.assertEqual(answer.body, events(6, 9))
            self.assertEqual(site.calls[0].headers["last-event-id"], "5")
            site.close()

        self.play(scene)

    def test_a_stream_that_breaks_before_its_first_event_is_asked_for_as_it_came(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(0, then="reset"), s2=streaming(7))
            for _ in range(3):
                answer = await site.ask("/resume/1", "Last-Event-Id: 5")
                self.assertEqual((answer.whole, answer.body), (True, events(6, 7)))
            self.assertEqual({call.headers["last-event-id"] for call in site.calls}, {"5"})
            site.close()

        self.play(scene)

    def test_a_stream_that_breaks_behind_its_last_event_is_ended_by_another_server(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(4, then="reset"), s2=streaming(4))
            for _ in range(3):
                answer = await site.ask("/resume/1")
                self.assertEqual((answer.whole, answer.body), (True, events(1, 4)))
            site.close()

        self.play(scene)

    def test_a_stream_without_chunks_is_whole_only_behind_a_whole_event_and_a_close(self) -> None:
        async def scene() -> None:
            for path in ("/stream/1", "/resume/1"):
                for end in ("close", "reset", "inside an event"):

                    async def unframed(talk: Talk, call: Call) -> None:
                        talk.writer.write(talk.head(200, "Content-Type: text/event-stream"))
                        for number in (1, 2):
                            await asyncio.sleep(0.1)
                            talk.writer.write(event(number))
                            await talk.writer.drain()
                        if end == "inside an event":  # noqa: B023
                            talk.writer.write(b"id: 3\nda")
                        await asyncio.sleep(0.1)
                        if end == "reset":  # noqa: B023
                            talk.reset()
                        raise ConnectionError

                    site = await Site().start(s1=unframed)
                    answer = await site.ask(path)
                    self.assertEqual((answer.status, answer.whole), (200, end == "close"), (path, end))
                    self.assertTrue(answer.body.startswith(events(1, 2)))
                    if path == "/resume/1":
                        self.assertEqual(answer.body, events(1, 2))
                    site.close()

        self.play(scene)

    def test_a_stream_that_begins_before_its_request_is_out_is_none(self) -> None:
        """Nothing of it is passed on, and its connection is not used again: the rest of the body is due there."""

        async def scene() -> None:
            async def early(talk: Talk, call: Call) -> None:
                talk.begin()
                for number in (1, 2):
                    talk.event(number)
                    await asyncio.sleep(0.1)
                talk.finish()

            body = b"x" * 200_000
            for path in ("/stream/1", "/resume/1"):
                site = await Site(memory_mb=66).start(s1=early)
                with mock.patch.object(Talk, "read", read_head_alone):
                    client = await site.client()
                    head = (
                        b"POST %s HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                        b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" % path.encode()
                    )
                    client.writer.write(head + body[:150_000])
                    answer = await client.answer()
                self.assertEqual((answer.status, answer.whole, answer.body), (502, True, b""))
                await asyncio.sleep(0.1)
                server = site.plane.pool.find("s1")
                assert server is not None
                self.assertEqual(
                    (server.open_count, len(site.plane.front.requests), site.plane.budget.used), (0, 0, 0)
                )
                site.close()

        self.play(scene)

    def test_a_stream_that_may_not_be_resumed_is_cut_promptly(self) -> None:
        async def scene() -> None:
            for then in ("reset", "close", "half"):
                site = await Site().start(s1=streaming(3, then=then), s2=streaming(3, then=then))
                begun = site.loop.time()
                answer = await site.ask("/stream/1")
                self.assertFalse(answer.whole, then)
                self.assertTrue(answer.body.startswith(events(1, 3)))
                self.assertLess(answer.at - begun, 0.4)
                self.assertEqual(len(site.calls), 1)
                site.close()

        self.play(scene)

    def test_a_stream_that_nobody_can_go_on_with_is_cut(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(3, then="reset"))
            answer = await site.ask("/resume/1")
            self.assertEqual((answer.whole, answer.body), (False, events(1, 3)))
            site.close()

        self.play(scene)

    def test_the_continuation_has_to_have_the_same_weights(self) -> None:
        async def scene() -> None:
            async def other_version(talk: Talk, call: Call) -> None:
                if "expect-version" in call.headers:
                    talk.answer(421, b"", "X-Rosechute-Instance-Id: " + talk.server.id, stamp=None)
                else:
                    await streaming(6)(talk, call)

            async def first(talk: Talk, call: Call) -> None:
                talk.begin("Versions: 4")
                talk.piece(event(1) + event(2, version=5))
                await asyncio.sleep(0.1)
                talk.reset()

            site = await Site().start(s1=first, s2=other_version)
            while not site.servers["s1"].calls:
                answer = await site.ask("/resume/1")
            self.assertFalse(answer.whole)
            resumed = site.servers["s2"].calls[-1]
            self.assertEqual(resumed.headers["expect-version"], "5")
            site.close()

        self.play(scene)

    def test_a_server_that_falls_silent_is_left_for_another_one_in_time(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(2, then="silence"), s2=streaming(5))
            site.plane.apply_configuration(
                configuration(
                    2,
                    routes=[
                        route(
                            "resume",
                            route_type="streaming",
                            gap_aim_ms=500,
                            stream_resume=True,
                            max_attempts=3,
                            timeout_ms=15000,
                        ),
                    ],
                ),
                2,
            )
            for _ in range(3):
                client = await site.client()
                client.send("/resume/1", deadline=15000)
                await client.head()
                heard, body = site.loop.time(), b""
                while piece := await client.piece():
                    self.assertLess(site.loop.time() - heard, 4.0)
                    heard = site.loop.time()
                    body += piece
                self.assertEqual(body, events(1, 5))
            self.assertTrue(site.servers["s1"].closed)
            site.close()

        self.play(scene)

    def test_a_server_that_falls_silent_is_kept_while_no_other_one_may_go_on(self) -> None:
        """Found: a stream whose only server paused for long was cut a quarter of its client's patience too early."""

        async def scene() -> None:
            async def pauses(talk: Talk, call: Call) -> None:
                talk.begin()
                talk.event(1)
                await asyncio.sleep(3.5)  # of the 4 s that its client bears
                talk.event(2)
                talk.finish()

            site = await Site().start(s1=pauses)
            for service_budget in (True, False):
                if not service_budget:  # another server is there, but a further attempt is not affordable
                    await site.serve("svc", s1=pauses, s2=pauses)
                    site.plane._dispatcher.apply_retry_budget(
                        msgspec.structs.replace(site.settings.bounds, retry_budget_ratio=0.0, retry_slack=0), 1
                    )
                answer = await site.ask("/resume/1")
                self.assertEqual((answer.whole, answer.body), (True, events(1, 2)))
            self.assertEqual(len(site.calls), 1)
            site.close()

        self.play(scene)

    def test_a_silent_server_is_left_as_soon_as_another_one_may_go_on(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(2, then="silence"))
            client = await site.client()
            client.send("/resume/1", deadline=5000)
            await client.head()
            for number in (1, 2):
                self.assertEqual(await client.piece(), event(number))
            heard = site.loop.time()
            await asyncio.sleep(3.3)  # a server was wanted from 2.95 s on
            await self._join(site, "s2", streaming(5))
            self.assertEqual(await client.piece(), event(3))
            self.assertLess(site.loop.time() - heard, 4.0)
            site.close()

        self.play(scene)

    @staticmethod
    async def _join(site: Site, name: str, script: Script) -> None:
        """One more server of the service."""
        server = Server(site, name, script)
        await server.start()
        site.servers[name] = server
        site.list(*(each.entry for each in site.servers.values()))

    def test_a_stream_that_never_begins_is_answered_for_before_its_client_gives_up(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=until_closed)
            begun = site.loop.time()
            answer = await site.ask("/stream/1")
            self.assertEqual(answer.status, 504)
            self.assertTrue(3.8 < answer.at - begun < 4.0)
            site.close()

        self.play(scene)

    def test_a_client_that_leaves_ends_the_servers_work_at_once(self) -> None:
        async def scene() -> None:
            for leave in (Client.close, Client.reset):
                site = await Site().start(s1=streaming(50))
                client = await site.client()
                client.send("/stream/1")
                await client.head()
                await client.piece()
                leave(client)
                await asyncio.sleep(0.25)
                self.assertEqual(len(site.servers["s1"].closed), 1)
                self.assertFalse(site.plane.front.requests)
                site.close()

        self.play(scene)

    def test_a_client_that_reads_nothing_holds_a_bounded_part_of_the_response(self) -> None:
        async def scene() -> None:
            async def flood(talk: Talk, call: Call) -> None:
                talk.begin()
                for number in range(1, 4000):
                    talk.piece(b"id: %d\ndata: %s\n\n" % (number, b"x" * 4000))
                    await talk.writer.drain()
                talk.finish()

            site = await Site(memory_mb=118).start(s1=flood)
            for path in ("/stream/1", "/resume/1"):
                client = await site.client()
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                client.send(path)
                await asyncio.sleep(2.0)
                held = sum(connection.unsent() for connection in site.plane.front.listener.connections)
                self.assertLess(held, 1 << 20)
                self.assertLess(site.plane.budget.used, 1 << 20)
                client.writer.transport.resume_reading()  # type: ignore[attr-defined]
                answer = await client.answer()
                self.assertTrue(answer.whole)
                self.assertEqual(answer.body.count(b"id: "), 3999)
            site.close()

        self.play(scene)

    def test_a_stream_that_brings_events_goes_on_past_the_routes_time_and_to_the_clients(self) -> None:
        """Found: streams were cut in their middle at the route's time, though their clients still read them."""

        async def scene() -> None:
            for path in ("/stream/1", "/resume/1"):
                site = await Site().start(s1=streaming(70, 0.1))
                answer = await site.ask(path, deadline=8000)
                self.assertEqual((answer.whole, answer.body), (True, events(1, 70)))
                self.assertGreater(int(site.calls[0].headers["x-rosechute-deadline-ms"]), 7900)
                site.servers["s1"].script = streaming(500, 0.1)
                begun = site.loop.time()
                answer = await site.ask(path, deadline=8000)
                self.assertFalse(answer.whole)
                self.assertTrue(7.9 < answer.at - begun < 8.0)
                site.close()

        self.play(scene)

    def test_the_routes_time_cuts_a_stream_that_brings_nothing(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(0, then="silence"))
            site.plane.apply_configuration(
                configuration(
                    2,
                    routes=[
                        route("slow", route_type="streaming", gap_aim_ms=3000, timeout_ms=5000),
                    ],
                ),
                2,
            )
            begun = site.loop.time()
            answer = await site.ask("/slow/1", deadline=60000)
            self.assertFalse(answer.whole)
            self.assertTrue(4.8 < answer.at - begun < 5.0)
            site.close()

        self.play(scene)

    def test_success_without_a_stamp_is_none(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(3, stamp=None))
            answer = await site.ask("/stream/1")
            self.assertEqual(answer.status, 502)
            site.close()

        self.play(scene)
