"""Streams through the data plane: forwarding, resumption on another server, and truncation."""

from __future__ import annotations

import asyncio
from unittest import mock

import msgspec

from tests.fleet.data_site import (
    Call,
    Client,
    DataPlaneHarness,
    Response,
    Script,
    Server,
    ServerConnection,
    VirtualTimeTestCase,
    configuration,
    event,
    route,
    wait_until_closed,
)


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


def stream_events(count: int, pause_s: float = 0.1, then: str = "finish", **more: object) -> Script:
    """Return a script that sends the events after `Last-Event-Id` up to `count`, and then ends as `then` says."""

    async def script(conn: ServerConnection, call: Call) -> None:
        conn.start_stream(**more)  # type: ignore[arg-type]
        for number in range(int(call.headers.get("last-event-id", 0)) + 1, count + 1):
            await asyncio.sleep(pause_s)
            conn.send_event(number)
            await conn.writer.drain()
        if then == "finish":
            conn.finish_stream()
        elif then == "reset":
            await conn.writer.drain()
            await asyncio.sleep(0.01)
            conn.reset()
        elif then == "close":
            raise ConnectionError
        elif then == "half":
            conn.send_chunk(b"id: %d\nda" % (count + 1))
            raise ConnectionError
        else:
            await wait_until_closed(conn, call)

    return script


async def read_head_only(conn: ServerConnection) -> Call:
    """Read a request without its body, so that the server responds before it has read the body."""
    head = await conn.reader.readuntil(b"\r\n\r\n")
    conn.call = Call(head, asyncio.get_running_loop().time())
    return conn.call


class StreamTest(VirtualTimeTestCase):
    def test_head_and_events_are_forwarded_as_they_arrive(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(4, 0.4))
            for path in ("/stream/1", "/resume/1"):
                client = await harness.client()
                started_at = harness.loop.time()
                client.send(path)
                status, headers = await client.read_head()
                self.assertEqual((status, headers["content-type"]), (200, "text/event-stream"))
                self.assertEqual(headers["x-rosechute-server-stamp"], "stamp-1")
                self.assertLess(harness.loop.time() - started_at, 0.05)
                for number in range(1, 5):
                    self.assertEqual(await client.read_chunk(), event(number))
                    self.assertAlmostEqual(harness.loop.time() - started_at, 0.4 * number, delta=0.05)
                self.assertEqual(await client.read_chunk(), b"")
                response = await client.fetch(path)  # the connection is reused
                self.assertEqual(response.body, events(1, 4))
            self.assertEqual(harness.servers["s1"].connections, 1)
            harness.close()

        self.run_scenario(scenario)

    def test_resumable_stream_forwards_complete_events_only(self) -> None:
        async def scenario() -> None:
            async def script(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                for data in (b"id: 1\nda", b"ta: a\n", b"\nid: 2\ndata: b\n\nid", b": 3\ndata: c\n\n"):
                    await asyncio.sleep(0.1)
                    conn.send_chunk(data)
                conn.finish_stream()

            harness = await DataPlaneHarness().start(s1=script)
            client = await harness.client()
            client.send("/resume/1")
            await client.read_head()
            pieces = [await client.read_chunk() for _ in range(3)]
            self.assertEqual(pieces, [b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n", b""])
            harness.close()

        self.run_scenario(scenario)

    def test_interrupted_stream_is_resumed_on_another_server(self) -> None:
        async def scenario() -> None:
            for then in ("reset", "close", "half"):
                harness = await DataPlaneHarness().start(
                    s1=stream_events(3, then=then, stamp="stamp-1"), s2=stream_events(6, stamp="stamp-1")
                )
                for _ in range(4):
                    response = await harness.fetch("/resume/1", id=f"r-{then}-{harness.loop.time()}")
                    self.assertEqual(
                        (response.status, response.is_complete, response.body), (200, True, events(1, 6)), then
                    )
                resumed = [call for call in harness.calls if "last-event-id" in call.headers]
                self.assertTrue(resumed)
                self.assertEqual({call.headers["last-event-id"] for call in resumed}, {"3"})
                self.assertTrue(all(call.headers["x-rosechute-expect-instance"] == "s2" for call in resumed))
                harness.close()

        self.run_scenario(scenario)

    def test_interrupted_stream_with_uneven_ids_is_resumed(self) -> None:
        """Guards against streams that are cut as their ids rise by more than one (incident of review case 3)."""

        async def scenario() -> None:
            ids = (1, 2, 3, 4, 9, 14, 19, 24)

            def stream(then: str) -> Script:
                async def script(conn: ServerConnection, call: Call) -> None:
                    conn.start_stream()
                    last_id = int(call.headers.get("last-event-id", 0))
                    for number in ids if then == "finish" else ids[:4]:
                        if number > last_id:
                            conn.send_event(number)
                            await conn.writer.drain()
                            await asyncio.sleep(0.01)
                    if then == "finish":
                        conn.finish_stream()
                    elif then == "reset":
                        conn.reset()
                    else:
                        await wait_until_closed(conn, call)

                return script

            for then in ("reset", "silence"):
                harness = await DataPlaneHarness().start(s1=stream(then), s2=stream("finish"))
                for _ in range(4):
                    response = await harness.fetch("/resume/1")
                    self.assertEqual((response.is_complete, response.body), (True, b"".join(map(event, ids))), then)
                self.assertTrue([call for call in harness.calls if call.headers.get("last-event-id") == "4"])
                harness.close()

        self.run_scenario(scenario)

    def test_paused_stream_is_complete_if_the_other_server_fails(self) -> None:
        """Guards against streams that are cut as their server pauses (second half of the note of review case 3)."""

        async def scenario() -> None:
            async def pause(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                for number in range(int(call.headers.get("last-event-id", 0)) + 1, 7):
                    await asyncio.sleep(3.4 if number == 3 else 0.05)
                    conn.send_event(number)
                    await conn.writer.drain()
                conn.finish_stream()

            async def decline(conn: ServerConnection, call: Call) -> None:
                conn.reject_as_full()

            async def break_off(conn: ServerConnection, call: Call) -> None:
                conn.reset()

            for fail in (decline, break_off):
                harness = await DataPlaneHarness().start(s1=pause)
                request = asyncio.ensure_future(harness.fetch("/resume/1"))
                await asyncio.sleep(1.0)
                other = Server(harness, "s2", fail)
                await other.start()
                harness.apply_list(harness.servers["s1"].entry, other.entry)
                response: Response = await request
                other.stop()
                self.assertEqual((response.is_complete, response.body), (True, events(1, 6)), fail.__name__)
                harness.close()

        self.run_scenario(scenario)

    def test_resumed_stream_keeps_head_of_first_server(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(
                s1=stream_events(2, then="reset", stamp="of-s1"),
                s2=stream_events(2, then="reset", stamp="of-s2"),
                s3=stream_events(9, stamp="of-s3"),
            )
            for _ in range(6):
                response = await harness.fetch("/resume/1")
                first = next(call for call in reversed(harness.calls) if "last-event-id" not in call.headers)
                expected = "of-" + first.headers["x-rosechute-expect-instance"]
                self.assertEqual(response.headers["x-rosechute-server-stamp"], expected)
            harness.close()

        self.run_scenario(scenario)

    def test_last_event_id_of_client_is_forwarded(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(9))
            response = await harness.fetch("/resume/1", "Last-Event-Id: 5")
            self.assertEqual(response.body, events(6, 9))
            self.assertEqual(harness.calls[0].headers["last-event-id"], "5")
            harness.close()

        self.run_scenario(scenario)

    def test_stream_interrupted_before_first_event_keeps_last_event_id(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(0, then="reset"), s2=stream_events(7))
            for _ in range(3):
                response = await harness.fetch("/resume/1", "Last-Event-Id: 5")
                self.assertEqual((response.is_complete, response.body), (True, events(6, 7)))
            self.assertEqual({call.headers["last-event-id"] for call in harness.calls}, {"5"})
            harness.close()

        self.run_scenario(scenario)

    def test_stream_interrupted_after_last_event_is_completed(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(4, then="reset"), s2=stream_events(4))
            for _ in range(3):
                response = await harness.fetch("/resume/1")
                self.assertEqual((response.is_complete, response.body), (True, events(1, 4)))
            harness.close()

        self.run_scenario(scenario)

    def test_close_delimited_stream_is_complete_after_event_and_close(self) -> None:
        async def scenario() -> None:
            for path in ("/stream/1", "/resume/1"):
                for end in ("close", "reset", "inside an event"):

                    async def unframed(conn: ServerConnection, call: Call) -> None:
                        conn.writer.write(conn.serialize_head(200, "Content-Type: text/event-stream"))
                        for number in (1, 2):
                            await asyncio.sleep(0.1)
                            conn.writer.write(event(number))
                            await conn.writer.drain()
                        if end == "inside an event":  # noqa: B023
                            conn.writer.write(b"id: 3\nda")
                        await asyncio.sleep(0.1)
                        if end == "reset":  # noqa: B023
                            conn.reset()
                        raise ConnectionError

                    harness = await DataPlaneHarness().start(s1=unframed)
                    response = await harness.fetch(path)
                    self.assertEqual((response.status, response.is_complete), (200, end == "close"), (path, end))
                    self.assertTrue(response.body.startswith(events(1, 2)))
                    if path == "/resume/1":
                        self.assertEqual(response.body, events(1, 2))
                    harness.close()

        self.run_scenario(scenario)

    def test_stream_before_end_of_request_gives_502(self) -> None:
        """The stream is not forwarded; its connection is not reused, as the rest of the body would have to follow."""

        async def scenario() -> None:
            async def respond_early(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                for number in (1, 2):
                    conn.send_event(number)
                    await asyncio.sleep(0.1)
                conn.finish_stream()

            body = b"x" * 200_000
            for path in ("/stream/1", "/resume/1"):
                harness = await DataPlaneHarness(memory_mb=66).start(s1=respond_early)
                with mock.patch.object(ServerConnection, "read", read_head_only):
                    client = await harness.client()
                    head = (
                        b"POST %s HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                        b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" % path.encode()
                    )
                    client.writer.write(head + body[:150_000])
                    response = await client.read_response()
                self.assertEqual((response.status, response.is_complete, response.body), (502, True, b""))
                await asyncio.sleep(0.1)
                server = harness.plane.pool.find("s1")
                assert server is not None
                self.assertEqual(
                    (server.open_count, len(harness.plane.client_listener.requests), harness.plane.budget.used),
                    (0, 0, 0),
                )
                harness.close()

        self.run_scenario(scenario)

    def test_non_resumable_stream_is_truncated_promptly(self) -> None:
        async def scenario() -> None:
            for then in ("reset", "close", "half"):
                harness = await DataPlaneHarness().start(
                    s1=stream_events(3, then=then), s2=stream_events(3, then=then)
                )
                started_at = harness.loop.time()
                response = await harness.fetch("/stream/1")
                self.assertFalse(response.is_complete, then)
                self.assertTrue(response.body.startswith(events(1, 3)))
                self.assertLess(response.at - started_at, 0.4)
                self.assertEqual(len(harness.calls), 1)
                harness.close()

        self.run_scenario(scenario)

    def test_stream_is_truncated_without_another_server(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(3, then="reset"))
            response = await harness.fetch("/resume/1")
            self.assertEqual((response.is_complete, response.body), (False, events(1, 3)))
            harness.close()

        self.run_scenario(scenario)

    def test_stream_is_not_resumed_with_other_weights(self) -> None:
        async def scenario() -> None:
            async def respond_other_version(conn: ServerConnection, call: Call) -> None:
                if "expect-version" in call.headers:
                    conn.respond(421, b"", "X-Rosechute-Instance-Id: " + conn.server.id, stamp=None)
                else:
                    await stream_events(6)(conn, call)

            async def first(conn: ServerConnection, call: Call) -> None:
                conn.start_stream("Versions: 4")
                conn.send_chunk(event(1) + event(2, version=5))
                await asyncio.sleep(0.1)
                conn.reset()

            harness = await DataPlaneHarness().start(s1=first, s2=respond_other_version)
            while not harness.servers["s1"].calls:
                response = await harness.fetch("/resume/1")
            self.assertFalse(response.is_complete)
            resumed = harness.servers["s2"].calls[-1]
            self.assertEqual(resumed.headers["expect-version"], "5")
            harness.close()

        self.run_scenario(scenario)

    def test_inactive_server_is_replaced_before_client_timeout(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(2, then="silence"), s2=stream_events(5))
            harness.plane.apply_configuration(
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
                client = await harness.client()
                client.send("/resume/1", deadline=15000)
                await client.read_head()
                last_received_at, body = harness.loop.time(), b""
                while piece := await client.read_chunk():
                    self.assertLess(harness.loop.time() - last_received_at, 4.0)
                    last_received_at = harness.loop.time()
                    body += piece
                self.assertEqual(body, events(1, 5))
            self.assertTrue(harness.servers["s1"].closed)
            harness.close()

        self.run_scenario(scenario)

    def test_inactive_server_is_kept_without_alternative(self) -> None:
        """Regression: a stream whose only server paused was truncated after 75 percent of the client's time-out."""

        async def scenario() -> None:
            async def pause_stream(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                conn.send_event(1)
                await asyncio.sleep(3.5)  # the client's time-out is 4 s
                conn.send_event(2)
                conn.finish_stream()

            harness = await DataPlaneHarness().start(s1=pause_stream)
            for has_single_server in (True, False):
                if not has_single_server:  # there is another server, but no retry budget
                    await harness.serve("svc", s1=pause_stream, s2=pause_stream)
                    harness.plane._dispatcher.apply_retry_budget(
                        msgspec.structs.replace(harness.settings.bounds, retry_budget_ratio=0.0, retry_slack=0), 1
                    )
                response = await harness.fetch("/resume/1")
                self.assertEqual((response.is_complete, response.body), (True, events(1, 2)))
            self.assertEqual(len(harness.calls), 1)
            harness.close()

        self.run_scenario(scenario)

    def test_inactive_server_is_replaced_once_another_is_available(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(2, then="silence"))
            client = await harness.client()
            client.send("/resume/1", deadline=5000)
            await client.read_head()
            for number in (1, 2):
                self.assertEqual(await client.read_chunk(), event(number))
            last_received_at = harness.loop.time()
            await asyncio.sleep(3.3)  # another server has been requested since 2.95 s
            await self._add_server(harness, "s2", stream_events(5))
            self.assertEqual(await client.read_chunk(), event(3))
            self.assertLess(harness.loop.time() - last_received_at, 4.0)
            harness.close()

        self.run_scenario(scenario)

    @staticmethod
    async def _add_server(harness: DataPlaneHarness, name: str, script: Script) -> None:
        """Add a server to the service."""
        server = Server(harness, name, script)
        await server.start()
        harness.servers[name] = server
        harness.apply_list(*(each.entry for each in harness.servers.values()))

    def test_stream_that_never_starts_gives_504(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=wait_until_closed)
            started_at = harness.loop.time()
            response = await harness.fetch("/stream/1")
            self.assertEqual(response.status, 504)
            self.assertTrue(3.8 < response.at - started_at < 4.0)
            harness.close()

        self.run_scenario(scenario)

    def test_client_disconnect_ends_the_servers_work(self) -> None:
        async def scenario() -> None:
            for disconnect in (Client.close, Client.reset):
                harness = await DataPlaneHarness().start(s1=stream_events(50))
                client = await harness.client()
                client.send("/stream/1")
                await client.read_head()
                await client.read_chunk()
                disconnect(client)
                await asyncio.sleep(0.25)
                self.assertEqual(len(harness.servers["s1"].closed), 1)
                self.assertFalse(harness.plane.client_listener.requests)
                harness.close()

        self.run_scenario(scenario)

    def test_memory_is_bounded_for_client_that_does_not_read(self) -> None:
        async def scenario() -> None:
            async def send_large_stream(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                for number in range(1, 4000):
                    conn.send_chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * 4000))
                    await conn.writer.drain()
                conn.finish_stream()

            harness = await DataPlaneHarness(memory_mb=118).start(s1=send_large_stream)
            for path in ("/stream/1", "/resume/1"):
                client = await harness.client()
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                client.send(path)
                await asyncio.sleep(2.0)
                held = sum(
                    connection.unsent_bytes() for connection in harness.plane.client_listener.listener.connections
                )
                self.assertLess(held, 1 << 20)
                self.assertLess(harness.plane.budget.used, 1 << 20)
                client.writer.transport.resume_reading()  # type: ignore[attr-defined]
                response = await client.read_response()
                self.assertTrue(response.is_complete)
                self.assertEqual(response.body.count(b"id: "), 3999)
            harness.close()

        self.run_scenario(scenario)

    def test_active_stream_continues_until_client_deadline(self) -> None:
        """Regression: streams were truncated at the route's time-out although their clients still read them."""

        async def scenario() -> None:
            for path in ("/stream/1", "/resume/1"):
                harness = await DataPlaneHarness().start(s1=stream_events(70, 0.1))
                response = await harness.fetch(path, deadline=8000)
                self.assertEqual((response.is_complete, response.body), (True, events(1, 70)))
                self.assertGreater(int(harness.calls[0].headers["x-rosechute-deadline-ms"]), 7900)
                harness.servers["s1"].script = stream_events(500, 0.1)
                started_at = harness.loop.time()
                response = await harness.fetch(path, deadline=8000)
                self.assertFalse(response.is_complete)
                self.assertTrue(7.9 < response.at - started_at < 8.0)
                harness.close()

        self.run_scenario(scenario)

    def test_inactive_stream_ends_at_route_timeout(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(0, then="silence"))
            harness.plane.apply_configuration(
                configuration(
                    2,
                    routes=[
                        route("slow", route_type="streaming", gap_aim_ms=3000, timeout_ms=5000),
                    ],
                ),
                2,
            )
            started_at = harness.loop.time()
            response = await harness.fetch("/slow/1", deadline=60000)
            self.assertFalse(response.is_complete)
            self.assertTrue(4.8 < response.at - started_at < 5.0)
            harness.close()

        self.run_scenario(scenario)

    def test_success_without_stamp_gives_502(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(3, stamp=None))
            response = await harness.fetch("/stream/1")
            self.assertEqual(response.status, 502)
            harness.close()

        self.run_scenario(scenario)
