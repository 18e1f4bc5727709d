"""Graceful shutdown: every request that was read gets a response within the grace period."""

from __future__ import annotations

import asyncio
import contextlib

from tests.fleet.data_site import (
    Call,
    Client,
    DataPlaneHarness,
    Response,
    ServerConnection,
    VirtualTimeTestCase,
    wait_until_closed,
)
from tests.fleet.test_data_plane_streams import events, stream_events


class ShutdownTest(VirtualTimeTestCase):
    async def shut_down(self, harness: DataPlaneHarness) -> float:
        """Shut down the data plane; return the duration in seconds."""
        started_at = harness.loop.time()
        harness.plane.begin_shutdown()
        self.assertFalse(harness.plane.ready())
        await harness.plane.finish_shutdown()
        return harness.loop.time() - started_at

    def test_idle_edge_ends_after_minimum_drain_time(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            self.assertAlmostEqual(await self.shut_down(harness), 2.5, delta=0.3)
            with self.assertRaises(ConnectionRefusedError):
                await harness.client()
            harness.close()

        self.run_scenario(scenario)

    def test_new_clients_are_served_with_connection_close(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            reused_client = await harness.client()
            await reused_client.fetch()
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            for _ in range(20):
                await asyncio.sleep(0.1)
                response = await harness.fetch()
                self.assertEqual((response.status, response.headers["connection"]), (200, "close"))
            self.assertEqual((await reused_client.fetch()).headers["connection"], "close")
            self.assertLess(await shutdown, 3.0)
            harness.close()

        self.run_scenario(scenario)

    def test_idle_connections_close_after_readiness_checks_failed(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            idle = [await harness.client() for _ in range(3)]
            for client in idle:
                await client.fetch()
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            await asyncio.sleep(2.0)
            self.assertFalse(any(client.reader.at_eof() for client in idle))
            started_at = harness.loop.time()
            for client in idle:
                self.assertEqual(await client.read_until_closed(), b"")
            self.assertLess(harness.loop.time() - started_at, 0.5)
            await shutdown
            harness.close()

        self.run_scenario(scenario)

    def test_streams_in_progress_complete(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(40, 0.1))
            responses = [
                asyncio.ensure_future(harness.fetch(path, deadline=15000)) for path in ("/resume/1", "/stream/1")
            ]
            await asyncio.sleep(0.3)
            duration_s = await self.shut_down(harness)
            for response in await asyncio.gather(*responses):
                self.assertEqual((response.is_complete, response.body), (True, events(1, 40)))
            self.assertTrue(
                3.6 < duration_s < 4.2, duration_s
            )  # the stream takes 4 s, of which 0.3 s precede the shutdown
            harness.close()

        self.run_scenario(scenario)

    def test_open_requests_are_aborted_at_end_of_grace_period(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(grace_s=4.0).start(s1=wait_until_closed)
            pending_response = asyncio.ensure_future(harness.fetch(deadline=20000))
            await asyncio.sleep(0.01)
            harness.servers["s1"].script = stream_events(500, 0.1)
            stream = asyncio.ensure_future(harness.fetch("/stream/1", deadline=20000))
            await asyncio.sleep(0.01)
            duration_s = await self.shut_down(harness)
            self.assertTrue(3.7 < duration_s < 4.0, duration_s)
            self.assertEqual((await pending_response).status, 504)
            self.assertFalse((await stream).is_complete)
            harness.close()

        self.run_scenario(scenario)

    def test_unsent_requests_get_503_near_end_of_grace_period(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(grace_s=4.0).start(s1=wait_until_closed)
            harness.quota.deferred_decisions = []
            early = await harness.client()
            early.send(key="m1", deadline=20000)
            idle_client = await harness.client()
            await asyncio.sleep(0.01)
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            await asyncio.sleep(3.1)
            late = await harness.client()  # in the kernel's queue when accepting stops
            late.send(key="m1", deadline=20000)
            await asyncio.sleep(0.25)
            for client in (early, late):
                response = await client.read_response()
                self.assertEqual(response.status, 503)
                self.assertLess(float(response.headers["retry-after"]), 1.0)
            self.assertEqual(await idle_client.read_until_closed(), b"")
            with self.assertRaises(ConnectionError):
                await harness.client()
            await shutdown
            self.assertFalse(harness.calls)
            harness.close()

        self.run_scenario(scenario)

    def test_no_request_of_persistent_clients_is_lost(self) -> None:
        async def scenario() -> None:
            async def slow(conn: ServerConnection, call: Call) -> None:
                await asyncio.sleep(0.05)
                conn.respond()

            harness = await DataPlaneHarness(grace_s=5.0).start(s1=slow, s2=slow)
            responses: list[Response] = []
            interrupted: list[str] = []

            async def send_repeatedly(number: int) -> None:
                client: Client | None = None
                while True:
                    try:
                        if client is None:
                            client = await harness.client()
                        response = await client.fetch()
                    except ConnectionRefusedError:
                        return
                    except (asyncio.IncompleteReadError, ConnectionError):
                        interrupted.append(f"client {number}")
                        client = None
                        continue
                    responses.append(response)
                    if response.headers.get("connection") == "close":
                        client = None
                    await asyncio.sleep(0.01 * (number % 5))

            senders = [asyncio.ensure_future(send_repeatedly(number)) for number in range(12)]
            await asyncio.sleep(0.5)
            duration_s = await self.shut_down(harness)
            self.assertLess(duration_s, 5.0)
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*senders)
            self.assertEqual({response.status for response in responses} - {200, 503}, set())
            self.assertFalse(interrupted)
            self.assertGreater(len(responses), 200)
            harness.close()

        self.run_scenario(scenario)

    def test_late_stream_on_kept_connection_is_rejected_unexecuted(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(grace_s=4.0).start(s1=stream_events(35, 0.1))
            client = await harness.client()
            client.send("/stream/1", deadline=15000)
            await asyncio.sleep(0.3)
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            first = await client.read_response()  # its head was sent without `Connection: close`
            self.assertEqual((first.is_complete, first.body), (True, events(1, 35)))
            self.assertNotEqual(first.headers.get("connection"), "close")
            started_at = harness.loop.time()
            late = await client.fetch("/stream/2", deadline=15000)
            self.assertEqual((late.status, late.headers["connection"]), (503, "close"))
            self.assertGreater(float(late.headers["retry-after"]), 0.0)
            self.assertLess(late.at - started_at, 0.05)
            self.assertEqual(await client.read_until_closed(), b"")
            self.assertLess(await shutdown, 4.0)
            self.assertEqual(len(harness.calls), 1)
            harness.close()

        self.run_scenario(scenario)

    def test_late_stream_is_admitted_if_its_deadline_is_early_enough(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(grace_s=4.0).start(s1=stream_events(3, 0.1))
            await harness.serve("other", o1=wait_until_closed)
            pending_response = asyncio.ensure_future(harness.fetch("/other/1", deadline=3600))  # delays the end
            await asyncio.sleep(0.01)
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            await asyncio.sleep(2.7)
            responses = await asyncio.gather(*(harness.fetch("/stream/1", deadline=wait) for wait in (1000, 1300)))
            self.assertEqual(
                [(response.status, response.is_complete) for response in responses], [(200, True), (503, True)]
            )
            await pending_response
            await shutdown
            harness.close()

        self.run_scenario(scenario)

    def test_early_stream_is_admitted_by_recent_durations(self) -> None:
        async def scenario() -> None:
            for pause_s, statuses in ((0.1, {200}), (0.5, {503})):  # streams of 1.2 s and 6 s, grace period of 4 s
                harness = await DataPlaneHarness(grace_s=4.0).start(s1=stream_events(12, pause_s))
                await asyncio.gather(*(harness.fetch("/stream/1", deadline=15000) for _ in range(8)))
                shutdown = asyncio.ensure_future(self.shut_down(harness))
                await asyncio.sleep(0.5)
                responses = await asyncio.gather(*(harness.fetch("/stream/1", deadline=15000) for _ in range(3)))
                self.assertEqual({response.status for response in responses}, statuses)
                self.assertTrue(all(response.is_complete for response in responses))
                await shutdown
                harness.close()

        self.run_scenario(scenario)

    def test_early_stream_is_admitted_without_recent_durations(self) -> None:
        async def scenario() -> None:
            async def fetch_after(wait_s: float) -> Response:
                await asyncio.sleep(wait_s)
                return await harness.fetch("/stream/1", deadline=15000)

            harness = await DataPlaneHarness(grace_s=4.0).start(s1=stream_events(12, 0.1))
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            responses = await asyncio.gather(*(fetch_after(wait_s) for wait_s in (0.0, 1.0, 2.4, 2.6)))
            self.assertEqual([response.status for response in responses], [200, 200, 200, 503])
            self.assertTrue(all(response.is_complete for response in responses))
            await shutdown
            harness.close()

        self.run_scenario(scenario)

    def test_late_stream_of_short_route_is_admitted(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(grace_s=8.0).start(s1=stream_events(3, 0.1))
            for _ in range(4):
                await asyncio.gather(*(harness.fetch("/stream/1", deadline=15000) for _ in range(8)))
            harness.servers["s1"].script = stream_events(40, 0.1)
            long_stream = asyncio.ensure_future(harness.fetch("/resume/1", deadline=15000))
            await asyncio.sleep(0.1)
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            harness.servers["s1"].script = stream_events(3, 0.1)
            await asyncio.sleep(3.5)
            responses = await asyncio.gather(
                *(harness.fetch(path, deadline=15000) for path in ("/stream/1", "/resume/1"))
            )
            self.assertEqual([response.status for response in responses], [200, 503])
            self.assertTrue((await long_stream).is_complete)
            await shutdown
            harness.close()

        self.run_scenario(scenario)

    def test_waiting_request_is_rejected_when_it_can_not_finish_in_time(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(grace_s=4.0).start(s1=stream_events(12, 0.1))
            await asyncio.gather(*(harness.fetch("/stream/1", deadline=15000) for _ in range(8)))
            harness.quota.deferred_decisions = []
            waiting_response = asyncio.ensure_future(harness.fetch("/stream/1", key="m1", deadline=15000))
            await asyncio.sleep(0.01)
            started_at = harness.loop.time()
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            response = await waiting_response
            self.assertEqual(response.status, 503)
            self.assertAlmostEqual(response.at - started_at, 4.0 - 0.15 - 1.2, delta=0.15)
            harness.quota.deferred_decisions[0](True, 0.0)
            await shutdown
            self.assertEqual(len(harness.calls), 8)
            harness.close()

        self.run_scenario(scenario)

    def test_rejection_reaches_client_that_is_still_sending(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(grace_s=4.0).start(s1=stream_events(30, 0.1))
            await harness.serve("other", o1=wait_until_closed)
            pending_response = asyncio.ensure_future(harness.fetch("/other/1", deadline=20000))  # delays the end
            await asyncio.sleep(0.01)
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            await asyncio.sleep(2.8)
            client = await harness.client()
            client.send("/stream/1", deadline=15000, body=bytes(200_000))
            client.writer.write(b"POST /stream/2 HTTP/1.1\r\nHost: app.example\r\n")
            self.assertEqual((await client.read_response()).status, 503)
            client.writer.write(b"more of what will not be answered")
            self.assertEqual(await client.reader.read(), b"")  # closed gracefully, not reset
            await pending_response
            await shutdown
            self.assertEqual(len(harness.calls), 1)
            harness.close()

        self.run_scenario(scenario)

    def test_second_begin_shutdown_has_no_effect(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            await asyncio.sleep(1.5)
            harness.plane.begin_shutdown()
            self.assertLess(await shutdown, 3.0)
            harness.close()

        self.run_scenario(scenario)

    def test_partly_received_head_is_completed_and_served(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            client = await harness.client()
            client.writer.write(b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Cre")
            await asyncio.sleep(0.01)
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            await asyncio.sleep(2.4)
            client.writer.write(b"dential: k1\r\nX-Rosechute-Request-Id: late\r\nContent-Length: 4\r\n\r\nbo")
            await asyncio.sleep(0.3)
            client.writer.write(b"dy")
            self.assertEqual((await client.read_response()).status, 200)
            self.assertLess(await shutdown, 3.5)
            self.assertEqual(harness.calls[0].body, b"body")
            harness.close()

        self.run_scenario(scenario)

    def test_partly_received_body_is_completed_and_served(self) -> None:
        """Deadlines count from the first byte: a stream that arrived early ends in time, a late one may not."""

        async def scenario() -> None:
            harness = await DataPlaneHarness(grace_s=5.0).start()
            plain, stream = [await harness.client() for _ in range(2)]
            plain.send("/plain/1", body=b"half", length=8, deadline=0)
            stream.send("/stream/1", body=b"half", length=8, deadline=0)
            await asyncio.sleep(0.01)
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            for _ in range(3):
                await asyncio.sleep(0.9)
                for client in (plain, stream):
                    client.writer.write(b"x")
            late_stream = await harness.client()  # a new connection, because idle ones have been closed
            late_stream.send("/stream/1", body=b"halfxxxx", deadline=0)
            await asyncio.sleep(0.1)
            for client in (plain, stream):
                client.writer.write(b"x")
            responses = [await client.read_response() for client in (plain, stream, late_stream)]
            self.assertEqual([response.status for response in responses], [200, 200, 503])
            self.assertTrue(responses[1].is_complete)
            self.assertEqual([call.body for call in harness.calls], [b"halfxxxx"] * 2)
            self.assertLess(await shutdown, 4.0)
            harness.close()

        self.run_scenario(scenario)

    def test_request_in_retries_gets_complete_response(self) -> None:
        async def scenario() -> None:
            async def reject_slowly(conn: ServerConnection, call: Call) -> None:
                await asyncio.sleep(0.3)
                conn.reject_as_full()

            async def reset_slowly(conn: ServerConnection, call: Call) -> None:
                await asyncio.sleep(0.3)
                conn.reset()

            for script, statuses in ((reject_slowly, {503}), (reset_slowly, {502})):
                harness = await DataPlaneHarness(grace_s=4.0).start(s1=script, s2=script, s3=script)
                requests = [asyncio.ensure_future(harness.fetch("/again/1", deadline=15000)) for _ in range(4)]
                await asyncio.sleep(0.1)
                await self.shut_down(harness)
                responses = await asyncio.gather(*requests)
                self.assertEqual({response.status for response in responses}, statuses)
                self.assertTrue(all(response.is_complete for response in responses))
                harness.close()

        self.run_scenario(scenario)

    def test_interrupted_stream_is_resumed_during_shutdown(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(
                s1=stream_events(5, 0.2, then="reset"), s2=stream_events(12, 0.2)
            )
            responses = [asyncio.ensure_future(harness.fetch("/resume/1")) for _ in range(4)]
            await asyncio.sleep(0.05)
            await self.shut_down(harness)
            for response in await asyncio.gather(*responses):
                self.assertEqual((response.is_complete, response.body), (True, events(1, 12)))
            harness.close()

        self.run_scenario(scenario)

    def test_response_to_slow_reader_completes(self) -> None:
        async def scenario() -> None:
            async def send_large_response(conn: ServerConnection, call: Call) -> None:
                conn.respond(200, bytes(6_000_000))

            harness = await DataPlaneHarness().start(s1=send_large_response)
            client = await harness.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(deadline=20000)
            await asyncio.sleep(0.1)
            shutdown = asyncio.ensure_future(self.shut_down(harness))
            await asyncio.sleep(4.0)
            self.assertFalse(shutdown.done())
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            response = await client.read_response()
            self.assertEqual((response.is_complete, len(response.body)), (True, 6_000_000))
            self.assertLess(await shutdown, 5.0)
            harness.close()

        self.run_scenario(scenario)

    def test_request_is_not_sent_after_accepting_has_stopped(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(grace_s=4.0).start(s1=wait_until_closed)
            pending_response = asyncio.ensure_future(harness.fetch(deadline=20000))  # delays the end
            connect_allowed = asyncio.Event()
            connect = harness.loop.create_connection

            async def slow(*arguments: object, **more: object) -> object:
                await connect_allowed.wait()
                return await connect(*arguments, **more)  # type: ignore[call-overload]

            shutdown = asyncio.ensure_future(self.shut_down(harness))
            await asyncio.sleep(3.2)
            client = await harness.client()
            harness.loop.create_connection = slow  # type: ignore[method-assign, assignment]
            client.send()
            await asyncio.sleep(0.15)
            connect_allowed.set()
            self.assertEqual((await client.read_response()).status, 503)
            await shutdown
            self.assertEqual(((await pending_response).status, len(harness.calls)), (504, 1))
            harness.close()

        self.run_scenario(scenario)

    def test_shutdown_of_unconfigured_edge(self) -> None:
        async def scenario() -> None:
            harness = DataPlaneHarness()
            await harness.plane.start()
            self.assertLess(await self.shut_down(harness), 3.0)
            harness.close()

        self.run_scenario(scenario)
