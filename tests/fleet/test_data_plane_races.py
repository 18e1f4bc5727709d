"""Race conditions between clients, servers, the endpoint list and timers."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

from rosechute.data_plane.request import ClientRequest
from rosechute.data_plane.request_state import RequestState
from rosechute.routing.model import AttemptResult, RoutingAction, Send, ServerEntry
from tests.fleet.data_site import (
    Call,
    DataPlaneHarness,
    Script,
    ServerConnection,
    VirtualTimeTestCase,
    configuration,
    event,
    respond_ok,
    route,
    wait_until_closed,
)
from tests.fleet.test_data_plane_streams import events, stream_events


def respond_at(times: dict[str, float]) -> Script:
    """Return a script that responds at the time `times["at"]`."""

    async def script(conn: ServerConnection, call: Call) -> None:
        await asyncio.sleep(times["at"] - asyncio.get_running_loop().time())
        conn.respond()

    return script


class ResponseRacesTest(VirtualTimeTestCase):
    def test_response_and_deadline_in_one_iteration_give_one_response(self) -> None:
        async def scenario() -> None:
            for shift in (-0.001, 0.0, 0.001):
                times: dict[str, float] = {}
                harness = await DataPlaneHarness().start(s1=respond_at(times))
                client = await harness.client()
                times["at"] = harness.loop.time() + 1.0 - 0.02 + shift
                client.send(deadline=1000)
                response = await client.read_response()
                self.assertIn(response.status, (200, 504))
                self.assertEqual((await client.fetch("/nowhere/1")).status, 404)  # no second response was sent
                harness.close()

        self.run_scenario(scenario)

    def test_response_and_client_disconnect_in_one_iteration(self) -> None:
        async def scenario() -> None:
            for path in ("/plain/1", "/resume/1", "/stream/1"):
                for disconnect in ("close", "reset"):
                    harness = await DataPlaneHarness().start(s1=wait_until_closed)
                    client = await harness.client()

                    async def script(conn: ServerConnection, call: Call) -> None:
                        conn.start_stream()
                        conn.send_event(1)
                        getattr(client, disconnect)()  # noqa: B023
                        await wait_until_closed(conn, call)

                    harness.servers["s1"].script = script
                    client.send(path)
                    await asyncio.sleep(0.1)
                    self.assertEqual(len(harness.servers["s1"].closed), 1)
                    self.assertFalse(harness.plane.client_listener.requests or harness.router._pending)
                    harness.close()

        self.run_scenario(scenario)

    def test_server_close_and_client_reset_in_one_iteration(self) -> None:
        """Regression: ending the client's response raised an error in the close handler of the server's connection.

        That connection was then counted as open forever.
        """

        async def scenario() -> None:
            loop_errors: list[object] = []
            for path in ("/stream/1", "/resume/1"):
                harness = await DataPlaneHarness().start(s1=stream_events(50))
                harness.loop.set_exception_handler(lambda _, context: loop_errors.append(context))
                client = await harness.client()
                client.send(path)
                await client.read_head()
                await client.read_chunk()
                (request,) = harness.plane.client_listener.requests.values()
                client.reset()
                request._attempt._connection.wire.abort()  # type: ignore[union-attr]  # before the reset is read
                await asyncio.sleep(0.1)
                self.assertEqual(harness.plane.pool.find("s1").open_count, 0)  # type: ignore[union-attr]
                self.assertEqual((loop_errors, len(harness.plane.client_listener.requests)), ([], 0))
                harness.close()

        self.run_scenario(scenario)

    def test_response_and_server_drain_in_one_iteration(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_ok)

            async def script(conn: ServerConnection, call: Call) -> None:
                conn.respond()
                harness.apply_list(replace(conn.server.entry, ready=False))

            harness.servers["s1"].script = script
            client = await harness.client()
            self.assertEqual((await client.fetch()).status, 200)
            await asyncio.sleep(0.01)
            self.assertFalse(harness.plane.pool.find("s1").idle)  # type: ignore[union-attr]
            self.assertEqual((await client.fetch()).status, 503)
            harness.close()

        self.run_scenario(scenario)

    def test_interim_response_is_skipped(self) -> None:
        async def scenario() -> None:
            async def script(conn: ServerConnection, call: Call) -> None:
                conn.writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
                conn.respond()

            harness = await DataPlaneHarness().start(s1=script)
            self.assertEqual((await harness.fetch()).status, 200)
            harness.close()

        self.run_scenario(scenario)

    def test_endless_response_head_gives_502(self) -> None:
        async def scenario() -> None:
            async def script(conn: ServerConnection, call: Call) -> None:
                conn.writer.write(conn.serialize_head(200)[:-2])
                for _ in range(40):
                    conn.writer.write(b"X-More: " + b"a" * 1000 + b"\r\n")
                await wait_until_closed(conn, call)

            harness = await DataPlaneHarness().start(s1=script)
            started_at = harness.loop.time()
            response = await harness.fetch()
            self.assertEqual(response.status, 502)
            self.assertLess(response.at - started_at, 0.2)
            harness.close()

        self.run_scenario(scenario)

    def test_response_with_two_lengths_or_without_request_id_gives_502(self) -> None:
        async def scenario() -> None:
            async def respond_ambiguously(conn: ServerConnection, call: Call) -> None:
                conn.writer.write(conn.serialize_head(200, "Content-Length: 4", "Content-Length: 5") + b"whole")

            async def none(conn: ServerConnection, call: Call) -> None:
                conn.writer.write(b"HTTP/1.1 200 OK\r\nX-Rosechute-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody")

            for script in (respond_ambiguously, none):
                harness = await DataPlaneHarness().start(s1=script)
                self.assertEqual((await harness.fetch()).status, 502)
                harness.close()

        self.run_scenario(scenario)

    def test_response_with_two_request_ids_gives_502(self) -> None:
        """Regression: a short response with a second request id was forwarded."""

        async def scenario() -> None:
            for ours_first in (True, False):

                async def respond_ambiguously(conn: ServerConnection, call: Call) -> None:
                    names = (call.id, "another") if ours_first else ("another", call.id)  # noqa: B023
                    fields = "".join(f"X-Rosechute-Request-Id: {name}\r\n" for name in names)
                    head = f"HTTP/1.1 200 OK\r\n{fields}X-Rosechute-Server-Stamp: s\r\nContent-Length: 4\r\n\r\n"
                    conn.writer.write(head.encode() + b"body")

                harness = await DataPlaneHarness().start(s1=respond_ambiguously)
                self.assertEqual((await harness.fetch()).status, 502)
                await asyncio.sleep(0.1)
                self.assertEqual(harness.plane.pool.find("s1").open_count, 0)  # type: ignore[union-attr]
                harness.close()

        self.run_scenario(scenario)

    def test_success_marked_as_not_executed_gives_502(self) -> None:
        """Regression: streams and long responses that were marked as not executed were forwarded."""

        async def scenario() -> None:
            async def respond_marked(conn: ServerConnection, call: Call) -> None:
                if call.target.startswith("/stream"):
                    conn.start_stream("X-Rosechute-Not-Executed: 1")
                    conn.send_event(1)
                    await asyncio.sleep(0.1)
                    conn.finish_stream()
                elif call.target.endswith("long"):
                    conn.writer.write(
                        conn.serialize_head(200, "Content-Length: 100000", "X-Rosechute-Not-Executed: 1")
                    )
                    await asyncio.sleep(0.1)
                    conn.writer.write(b"x" * 100_000)
                else:
                    conn.respond(200, b"x", "X-Rosechute-Not-Executed: 1")

            for path in ("/plain/short", "/plain/long", "/stream/1"):
                harness = await DataPlaneHarness().start(s1=respond_marked, s2=respond_marked)
                self.assertEqual((await harness.fetch(path)).status, 502, path)
                self.assertEqual(len(harness.calls), 1)
                harness.close()

        self.run_scenario(scenario)

    def test_duplicate_response_is_dropped(self) -> None:
        async def scenario() -> None:
            async def respond_twice(conn: ServerConnection, call: Call) -> None:
                conn.respond(200, call.id.encode())
                await conn.writer.drain()
                await asyncio.sleep(0.02)
                conn.respond(200, call.id.encode())

            harness = await DataPlaneHarness().start(s1=respond_twice)
            client = await harness.client()
            for number in range(4):
                response = await client.fetch(id=f"n{number}")
                self.assertEqual(response.body, b"n%d" % number)
                await asyncio.sleep(0.015 * number)
            harness.close()

        self.run_scenario(scenario)

    def test_complete_stream_may_lack_last_blank_line(self) -> None:
        async def scenario() -> None:
            async def script(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                conn.send_event(1)
                await asyncio.sleep(0.1)
                conn.send_chunk(b"id: 2\ndata: end")
                await asyncio.sleep(0.1)
                conn.finish_stream()

            harness = await DataPlaneHarness().start(s1=script)
            response = await harness.fetch("/resume/1")
            self.assertEqual((response.is_complete, response.body), (True, event(1) + b"id: 2\ndata: end"))
            harness.close()

        self.run_scenario(scenario)


class RequestRacesTest(VirtualTimeTestCase):
    def test_server_reset_while_request_is_written(self) -> None:
        async def scenario() -> None:
            for path, status in (("/plain/1", 502), ("/again/1", 200)):
                harness = await DataPlaneHarness().start(s1=respond_ok, s2=respond_ok)
                for server in harness.servers.values():
                    server.entry = replace(server.entry)
                client = await harness.client()
                await client.fetch(path)
                used_server = next(server for server in harness.servers.values() if server.calls)

                async def reset_during_write(conn: ServerConnection, call: Call) -> None:
                    conn.reset()

                used_server.script = reset_during_write
                statuses = [(await client.fetch(path)).status for _ in range(4)]
                self.assertTrue(set(statuses) <= {200, status}, statuses)
                self.assertIn(status, statuses)
                self.assertEqual(
                    len({call.id for call in harness.calls if path == "/plain/1"}),
                    len([call for call in harness.calls if path == "/plain/1"]),
                )
                harness.close()

        self.run_scenario(scenario)

    def test_partly_sent_body_is_not_retried(self) -> None:
        async def scenario() -> None:
            async def reset_during_upload(conn: ServerConnection, call: Call) -> None:
                conn.reset()

            for path in ("/plain/1", "/again/1"):
                harness = await DataPlaneHarness(memory_mb=66).start(s1=reset_during_upload, s2=reset_during_upload)
                client = await harness.client()
                client.writer.write(
                    b"POST %s HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                    b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" % path.encode() + b"x" * 150000
                )
                await asyncio.sleep(0.05)
                for server in harness.servers.values():  # abort reading on the server
                    for task in server._tasks:
                        task.cancel()
                response = await client.read_response()
                self.assertEqual(response.status, 502)
                self.assertEqual(sum(server.connections for server in harness.servers.values()), 1)
                harness.close()

        self.run_scenario(scenario)

    def test_stream_is_not_resumed_if_request_body_was_forwarded(self) -> None:
        """Regression: the stream was resumed with the length of a body that was not buffered.

        A server that responded before it had read the body then read the next request on the connection as the body.
        """

        async def scenario() -> None:
            async def breaks(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                conn.send_event(1)
                await conn.writer.drain()
                await asyncio.sleep(0.05)
                conn.reset()

            harness = await DataPlaneHarness(memory_mb=66).start(s1=breaks, s2=breaks)
            client = await harness.client()
            client.send("/resume/1", body=b"x" * 200_000)
            response = await client.read_response()
            self.assertEqual((response.status, response.is_complete, response.body), (200, False, event(1)))
            await asyncio.sleep(0.5)
            self.assertEqual(sum(server.connections for server in harness.servers.values()), 1)
            self.assertEqual([len(call.body) for call in harness.calls], [200_000])
            harness.close()

        self.run_scenario(scenario)

    def test_stalled_upload_ends_with_504(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(memory_mb=66).start(s1=respond_ok)
            client = await harness.client()
            client.writer.write(
                b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" + b"x" * 150000
            )
            response = await client.read_response()
            self.assertEqual(response.status, 504)  # 408 would imply that no server has executed it
            self.assertEqual(await client.read_until_closed(), b"")  # no further bytes
            await asyncio.sleep(0.1)
            self.assertFalse(harness.plane.client_listener.requests or harness.calls)
            self.assertEqual(harness.plane.budget.used, 0)
            harness.close()

        self.run_scenario(scenario)

    def test_replaced_server_gets_new_connections(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_ok)
            client = await harness.client()
            await client.fetch()
            server = harness.servers["s1"]
            harness.apply_list(replace(server.entry, id="s1-again"))
            await client.fetch()
            self.assertEqual(server.connections, 2)
            self.assertEqual([c.headers["x-rosechute-expect-instance"] for c in server.calls], ["s1", "s1-again"])
            harness.close()

        self.run_scenario(scenario)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        async def scenario() -> None:
            async def delay_first(conn: ServerConnection, call: Call) -> None:
                if call.id == "one":
                    await asyncio.sleep(0.3)
                conn.respond(200, call.id.encode())

            harness = await DataPlaneHarness().start(s1=delay_first)
            client = await harness.client()
            for name in ("one", "two", "three"):
                client.send(id=name)
            self.assertEqual([(await client.read_response()).body for _ in range(3)], [b"one", b"two", b"three"])
            harness.close()

        self.run_scenario(scenario)

    def test_many_clients_disconnect_in_one_iteration(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=wait_until_closed, s2=wait_until_closed)
            clients = [await harness.client() for _ in range(80)]
            for number, client in enumerate(clients):
                client.send(("/plain/1", "/resume/1", "/again/1")[number % 3])
            await asyncio.sleep(0.05)
            for client in clients:
                client.reset()
            await asyncio.sleep(0.2)
            self.assertFalse(harness.plane.client_listener.requests or harness.router._pending)
            self.assertEqual(len(harness.calls), sum(len(server.closed) for server in harness.servers.values()))
            harness.close()

        self.run_scenario(scenario)

    def test_internal_error_affects_only_its_request(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            original = ClientRequest.on_server_selected

            def raise_error(self: ClientRequest, action: object) -> None:
                raise ZeroDivisionError

            ClientRequest.on_server_selected = raise_error  # type: ignore[method-assign, assignment]
            try:
                self.assertEqual((await harness.fetch()).status, 503)
            finally:
                ClientRequest.on_server_selected = original  # type: ignore[method-assign]
            self.assertEqual((await harness.fetch()).status, 200)
            self.assertFalse(harness.plane.client_listener.requests)
            harness.close()

        self.run_scenario(scenario)


class ConfigurationRacesTest(VirtualTimeTestCase):
    def test_no_retry_after_route_became_non_repeatable(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_ok)

            async def change_configuration(conn: ServerConnection, call: Call) -> None:
                harness.plane.apply_configuration(
                    configuration(
                        2,
                        routes=[
                            route("again"),
                            route("resume", route_type="streaming", gap_aim_ms=500),
                        ],
                    ),
                    harness.plane._active_configuration.sequence + 1,
                )  # type: ignore[union-attr]
                if "/resume" in call.target:
                    conn.start_stream()
                    conn.send_event(1)
                    await conn.writer.drain()
                conn.reset()

            for path in ("/again/1", "/resume/1"):
                await harness.serve("svc", s1=change_configuration, s2=change_configuration)
                harness.plane.apply_configuration(configuration(3), harness.plane._active_configuration.sequence + 1)  # type: ignore[union-attr]
                before = len(harness.calls)
                if path == "/again/1":
                    self.assertEqual((await harness.fetch(path)).status, 502)
                else:
                    self.assertFalse((await harness.fetch(path)).is_complete)
                self.assertEqual(len(harness.calls), 1, before)
                harness.servers.clear()
            harness.close()

        self.run_scenario(scenario)


class ClientDisconnectRacesTest(VirtualTimeTestCase):
    def test_client_disconnects_after_many_pipelined_requests(self) -> None:
        async def scenario() -> None:
            async def respond_slowly(conn: ServerConnection, call: Call) -> None:
                await asyncio.sleep(0.2)
                conn.respond()

            for disconnect in ("close", "reset"):
                harness = await DataPlaneHarness().start(s1=respond_slowly)
                client = await harness.client()
                for _ in range(40):  # more than are read ahead, so that reading from the client is paused
                    client.send()
                await asyncio.sleep(0.1)
                getattr(client, disconnect)()
                await asyncio.sleep(1.0)
                self.assertLessEqual(len(harness.calls), 2)
                self.assertFalse(harness.plane.client_listener.requests)
                harness.close()

        self.run_scenario(scenario)

    def test_memory_of_unsent_body_is_released(self) -> None:
        """Regression: the unsent part of a completely received body was counted as used memory forever."""

        async def scenario() -> None:
            head = (
                b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                b"X-Rosechute-Credential: k1\r\nX-Rosechute-Deadline-Ms: 1000\r\nContent-Length: 200000\r\n\r\n"
            )
            for end in ("client disconnects", "deadline passes"):
                harness = await DataPlaneHarness(memory_mb=66).start(s1=wait_until_closed)
                client = await harness.client()
                client.writer.write(head + b"x" * 150_000)
                await asyncio.sleep(0.1)
                (request,) = harness.plane.client_listener.requests.values()
                request._attempt._connection.wire._blocked = True  # type: ignore[union-attr]  # the server stops reading
                client.writer.write(b"x" * 50_000)
                await asyncio.sleep(0.1)
                self.assertTrue(request.message.complete)
                self.assertEqual(harness.plane.budget.used - request.message.held, 50_000)
                self.assertLess(request.message.held, 2_000, "the head")
                if end == "client disconnects":
                    client.reset()
                else:
                    self.assertEqual((await client.read_response()).status, 504)
                await asyncio.sleep(0.1)
                self.assertEqual(
                    (harness.plane.budget.used, len(harness.plane.client_listener.requests)), (0, 0), end
                )
                harness.close()

        self.run_scenario(scenario)

    def test_client_disconnects_while_body_is_forwarded(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(memory_mb=66).start(s1=respond_ok)
            client = await harness.client()
            client.writer.write(
                b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" + b"x" * 150000
            )
            await asyncio.sleep(0.1)
            client.reset()
            await asyncio.sleep(0.1)
            self.assertFalse(harness.plane.client_listener.requests or harness.calls)
            self.assertEqual((harness.plane.budget.used, harness.plane.pool.find("s1").open_count), (0, 0))  # type: ignore[union-attr]
            harness.close()

        self.run_scenario(scenario)


class UnreadDataTest(VirtualTimeTestCase):
    def test_late_timer_does_not_end_stream_with_unread_events(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=stream_events(60), s2=stream_events(60))
            response = asyncio.ensure_future(harness.fetch("/resume/1"))
            await asyncio.sleep(0.5)
            harness.loop._virtual_selector.now += 3.5  # type: ignore[attr-defined]
            (request,) = harness.plane.client_listener.requests.values()
            request._inactivity.check()  # like an event loop that calls timers before it reads
            self.assertIs(request.state, RequestState.STREAMING)
            self.assertFalse((await response).is_complete)  # its client's deadline has passed
            self.assertEqual(len(harness.calls), 1)
            harness.close()

        self.run_scenario(scenario)

    def test_request_is_not_sent_if_client_close_is_unread(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            await harness.fetch()  # leaves an idle server connection
            harness.quota.deferred_decisions = []
            client = await harness.client()
            client.send(key="m1")
            await asyncio.sleep(0.1)
            client.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            harness.quota.deferred_decisions[0](True, 0.0)  # in the same iteration: the close has not been read yet
            await asyncio.sleep(0.1)
            self.assertEqual((len(harness.calls), len(harness.plane.client_listener.requests)), (1, 0))
            harness.close()

        self.run_scenario(scenario)

    def test_connection_with_unread_close_is_not_reused(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            with socket.create_server(("127.0.0.1", 0)) as listening:
                harness.apply_list(ServerEntry("raw", f"127.0.0.1:{listening.getsockname()[1]}", "east", 8, True))
                client = await harness.client()
                client.send(id="one")
                await asyncio.sleep(0.01)
                accepted, _ = listening.accept()
                accepted.recv(65536)
                accepted.sendall(
                    b"HTTP/1.1 200 OK\r\nX-Rosechute-Request-Id: one\r\nX-Rosechute-Server-Stamp: s\r\n"
                    b"Content-Length: 0\r\n\r\n"
                )
                self.assertEqual((await client.read_response()).status, 200)
                server = harness.plane.pool.find("raw")
                assert server is not None
                self.assertEqual(len(server.idle), 1)
                accepted.close()
                self.assertIsNone(harness.plane.pool.acquire_idle(server))
            harness.close()

        self.run_scenario(scenario)


class FaultyRouterTest(VirtualTimeTestCase):
    def test_faulty_router_can_not_cause_a_second_execution(self) -> None:
        async def scenario() -> None:
            async def reset(conn: ServerConnection, call: Call) -> None:
                conn.reset()

            harness = await DataPlaneHarness().start(s1=reset)
            entry = harness.servers["s1"].entry
            original_report = harness.router.report

            def report(
                now: float, ticket: int, server_id: str, result: AttemptResult, again: bool
            ) -> list[RoutingAction]:
                original_report(now, ticket, server_id, result, again)
                return [Send(ticket, entry.id, entry.address, False)]

            harness.router.report = report  # type: ignore[method-assign]
            for path in ("/plain/1", "/stream/1"):
                self.assertEqual((await harness.fetch(path)).status, 502)
            self.assertEqual(len(harness.calls), 2)
            harness.close()

        self.run_scenario(scenario)


class SuspendedProcessTest(VirtualTimeTestCase):
    def test_events_received_during_suspension_prevent_inactivity_timeout(self) -> None:
        async def scenario() -> None:
            async def script(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                conn.send_event(1)
                await asyncio.sleep(0.1)
                conn.send_event(2)
                harness.loop._virtual_selector.now += 6.0  # type: ignore[attr-defined]
                await asyncio.sleep(0.5)
                conn.send_event(3)
                conn.finish_stream()

            harness = await DataPlaneHarness().start(s1=script, s2=stream_events(3))
            harness.apply_list(harness.servers["s1"].entry)
            client = await harness.client()
            harness.plane.apply_configuration(
                configuration(
                    2,
                    routes=[
                        route("resume", route_type="streaming", gap_aim_ms=500, stream_resume=True, timeout_ms=15000),
                    ],
                ),
                2,
            )
            client.send("/resume/1", deadline=15000)
            await client.read_head()
            body = b""
            while piece := await client.read_chunk():
                body += piece
            self.assertEqual((body, len(harness.calls)), (events(1, 3), 1))
            harness.close()

        self.run_scenario(scenario)

    def test_lease_expires_during_suspension(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            client = await harness.client()
            self.assertEqual((await client.fetch()).status, 200)
            harness.freshness.last_confirmed = harness.loop.time()
            harness.loop._virtual_selector.now += 6.0  # type: ignore[attr-defined]
            self.assertEqual((await client.fetch()).status, 503)
            self.assertEqual(len(harness.calls), 1)
            harness.close()

        self.run_scenario(scenario)
