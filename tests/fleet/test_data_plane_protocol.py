"""Quotas, credentials, the lease on the configuration, deadlines, priorities and client disconnects."""

from __future__ import annotations

import asyncio
import socket

from rosechute.data_plane.request_state import RequestState
from rosechute.proxy.http1.client import ClientConnection
from tests.fleet.data_site import (
    Call,
    DataPlaneHarness,
    Response,
    Script,
    ServerConnection,
    VirtualTimeTestCase,
    configuration,
    respond_ok,
    route,
    wait_until_closed,
)


class QuotaTest(VirtualTimeTestCase):
    def test_quota_is_charged_once_per_request_in_the_tenants_unit(self) -> None:
        async def scenario() -> None:
            async def reset(conn: ServerConnection, call: Call) -> None:
                conn.reset()

            harness = await DataPlaneHarness().start(s1=reset, s2=respond_ok)
            await harness.fetch("/again/1", key="m1")
            await harness.fetch("/again/1", "X-Rosechute-Token-Count: 1460,80", key="t1")
            await harness.fetch("/again/1", key="t1")
            await harness.fetch("/again/1")  # a tenant without a limit
            self.assertEqual(harness.quota.spent, [("metered", 1), ("tokens", 1540), ("tokens", 150)])
            harness.close()

        self.run_scenario(scenario)

    def test_exhausted_quota_gives_429_with_retry_after(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            harness.quota.remaining["metered"] = 2
            statuses = [(await harness.fetch(key="m1")).status for _ in range(4)]
            self.assertEqual(statuses, [200, 200, 429, 429])
            response = await harness.fetch(key="m1", id="told")
            self.assertEqual(response.headers["retry-after"], "0.250")
            self.assertEqual(response.headers["x-rosechute-request-id"], "told")
            self.assertEqual(len(harness.calls), 2)
            harness.close()

        self.run_scenario(scenario)

    def test_request_is_dropped_if_client_disconnects_before_quota_decision(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            harness.quota.deferred_decisions = []
            client = await harness.client()
            client.send(key="m1")
            await asyncio.sleep(0.01)
            client.close()
            await asyncio.sleep(0.01)
            harness.quota.deferred_decisions[0](True, 0.0)
            await asyncio.sleep(0.5)
            self.assertFalse(harness.calls or harness.plane.client_listener.requests)
            harness.close()

        self.run_scenario(scenario)

    def test_missing_quota_decision_gives_503_before_deadline(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            harness.quota.deferred_decisions = []
            started_at = harness.loop.time()
            response = await harness.fetch(key="m1", deadline=1000)
            self.assertEqual(response.status, 503)
            self.assertLess(response.at - started_at, 1.0)
            harness.quota.deferred_decisions[0](True, 0.0)
            await asyncio.sleep(0.1)
            self.assertFalse(harness.calls)
            harness.close()

        self.run_scenario(scenario)


class CredentialTest(VirtualTimeTestCase):
    def test_expired_lease_allows_public_routes_only(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            now = harness.loop.time()
            harness.freshness.last_confirmed = now - 4.6
            self.assertEqual((await harness.fetch()).status, 200)
            harness.freshness.last_confirmed = now - 4.8
            response = await harness.fetch()
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
            self.assertEqual((await harness.fetch("/open/1")).status, 200)
            self.assertEqual(len(harness.calls), 2)
            harness.close()

        self.run_scenario(scenario)

    def test_waiting_request_is_not_sent_after_lease_expiry(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            harness.quota.deferred_decisions = []
            client = await harness.client()
            client.send(key="m1")
            await asyncio.sleep(0.01)
            harness.freshness.last_confirmed = harness.loop.time() - 4.8
            harness.quota.deferred_decisions[0](True, 0.0)
            response = await client.read_response()
            self.assertEqual((response.status, harness.calls), (503, []))
            harness.close()

        self.run_scenario(scenario)

    def test_waiting_request_is_not_sent_after_removal_of_credential_or_route(self) -> None:
        async def scenario() -> None:
            without_key = {"tenants": [{"name": "first", "api_keys": ["k1"]}]}
            for changes, status in ((without_key, 401), ({"routes": []}, 404)):
                harness = await DataPlaneHarness().start()
                harness.quota.deferred_decisions = []
                client = await harness.client()
                client.send(key="m1")
                await asyncio.sleep(0.01)
                harness.plane.apply_configuration(configuration(2, **changes), 2)
                harness.quota.deferred_decisions[0](True, 0.0)
                response = await client.read_response()
                self.assertEqual((response.status, harness.calls), (status, []))
                harness.close()

        self.run_scenario(scenario)

    def test_waiting_request_is_not_sent_if_credential_moved_to_another_tenant(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            harness.quota.deferred_decisions = []
            client = await harness.client()
            client.send(key="m1")
            await asyncio.sleep(0.01)
            harness.plane.apply_configuration(configuration(2, tenants=[{"name": "second", "api_keys": ["m1"]}]), 2)
            harness.quota.deferred_decisions[0](True, 0.0)
            response = await client.read_response()
            self.assertEqual((response.status, harness.calls), (503, []))
            harness.close()

        self.run_scenario(scenario)

    def test_revoked_credential_is_rejected_on_open_connection(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            client = await harness.client()
            self.assertEqual((await client.fetch(key="k2")).status, 200)
            harness.plane.apply_configuration(configuration(2, tenants=[{"name": "first", "api_keys": ["k1"]}]), 2)
            self.assertEqual((await client.fetch(key="k2")).status, 401)
            self.assertEqual((await client.fetch(key="k1")).status, 200)
            harness.close()

        self.run_scenario(scenario)

    def test_stream_is_not_resumed_after_lease_expiry(self) -> None:
        async def scenario() -> None:
            async def breaks(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                conn.send_event(1)
                await asyncio.sleep(1.0)
                conn.reset()

            harness = await DataPlaneHarness().start(s1=breaks, s2=breaks)
            client = await harness.client()
            client.send("/resume/1")
            await client.read_head()
            await client.read_chunk()
            harness.freshness.last_confirmed = harness.loop.time() - 4.0
            self.assertEqual(await client.read_until_closed(), b"")
            self.assertEqual(len(harness.calls), 1)
            harness.close()

        self.run_scenario(scenario)


async def reset_late(conn: ServerConnection, call: Call) -> None:
    """Reset the connection after a delay, so that a retry is possible."""
    await asyncio.sleep(0.3)
    conn.reset()


async def stream_slowly(conn: ServerConnection, call: Call) -> None:
    """Send an event every 0.1 s until the connection ends."""
    conn.start_stream()
    for number in range(1, 1000):
        if conn.reader.at_eof():
            raise ConnectionError
        conn.send_event(number)
        await asyncio.sleep(0.1)


class RouteTimeoutTest(VirtualTimeTestCase):
    """Whatever a request waits for, it gets a response by its route's time-out."""

    def assert_at_timeout(self, response: Response, started_at: float) -> None:
        self.assertTrue(0.9 < response.at - started_at < 1.0, response.at - started_at)

    async def start_with_short_timeouts(self, **scripts: Script) -> DataPlaneHarness:
        """Start a harness whose routes have a time-out of 1 s."""
        harness = await DataPlaneHarness().start(**scripts)
        harness.plane.apply_configuration(
            configuration(
                2,
                routes=[
                    route("plain", timeout_ms=1000),
                    route("again", route_type="idempotent", timeout_ms=1000),
                    route("stream", route_type="streaming", gap_aim_ms=500, timeout_ms=1000),
                    route("resume", route_type="streaming", gap_aim_ms=500, timeout_ms=1000, stream_resume=True),
                ],
            ),
            2,
        )
        return harness

    def test_timeout_at_unresponsive_server(self) -> None:
        async def scenario() -> None:
            async def send_head_only(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                await wait_until_closed(conn, call)

            for script in (wait_until_closed, reset_late, send_head_only):
                harness = await self.start_with_short_timeouts(s1=script, s2=script)
                for path in ("/plain/1", "/again/1", "/stream/1", "/resume/1"):
                    started_at = harness.loop.time()
                    response = await harness.fetch(path, deadline=60_000)
                    self.assertLess(response.at - started_at, 1.0, (script.__name__, path))
                    if script is wait_until_closed:
                        self.assert_at_timeout(response, started_at)
                        self.assertEqual(response.status, 504)
                harness.close()

        self.run_scenario(scenario)

    def test_timeout_while_waiting_for_quota(self) -> None:
        async def scenario() -> None:
            harness = await self.start_with_short_timeouts()
            harness.quota.deferred_decisions = []
            started_at = harness.loop.time()
            response = await harness.fetch(key="m1", deadline=60_000)
            self.assert_at_timeout(response, started_at)
            self.assertEqual((response.status, harness.calls), (503, []))
            harness.close()

        self.run_scenario(scenario)

    def test_timeout_while_queued_or_connecting(self) -> None:
        async def scenario() -> None:
            async def never_connect(*_: object, **__: object) -> None:
                await asyncio.sleep(60)

            harness = await self.start_with_short_timeouts(s1=wait_until_closed)
            for connects in (True, False):
                if not connects:
                    harness.plane.pool.connect = never_connect  # type: ignore[method-assign, assignment]
                    harness.plane.pool.close_all_idle()
                started_at = harness.loop.time()
                responses = [asyncio.ensure_future(harness.fetch("/again/1", deadline=60_000)) for _ in range(40)]
                for response in await asyncio.gather(*responses):
                    self.assertLess(response.at - started_at, 1.0)
            harness.close()

        self.run_scenario(scenario)

    def test_timeout_while_receiving_body(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(memory_mb=66).start(s1=respond_ok)
            harness.plane.apply_configuration(configuration(2, routes=[route("plain", timeout_ms=1000)]), 2)
            client = await harness.client()
            started_at = harness.loop.time()
            client.writer.write(
                b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" + b"x" * 150000
            )
            response = await client.read_response()
            self.assertLess(response.at - started_at, 1.5)
            self.assertEqual(response.status, 504)
            harness.close()

        self.run_scenario(scenario)


def has_keepalive_probes(connection: ClientConnection) -> bool:
    """Return whether the kernel sends keep-alive probes to the client."""
    assert connection._transport is not None
    client: socket.socket = connection._transport.get_extra_info("socket")
    return bool(client.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))


class DeadlineTest(VirtualTimeTestCase):
    """Servers receive the remaining time of the client in their deadline header."""

    def test_each_attempt_gets_the_clients_remaining_time(self) -> None:
        async def scenario() -> None:
            for path in ("/again/1", "/resume/1"):
                harness = await DataPlaneHarness().start(s1=reset_late, s2=reset_late, s3=reset_late)
                started_at = harness.loop.time()
                await harness.fetch(path, deadline=3000)
                self.assertGreater(len(harness.calls), 1)
                for call in harness.calls:
                    ends_s = call.at - started_at + int(call.headers["x-rosechute-deadline-ms"]) / 1e3
                    self.assertTrue(2.9 < ends_s <= 3.0, ends_s)
                harness.close()

        self.run_scenario(scenario)

    def test_slow_upload_reduces_the_remaining_time(self) -> None:
        """The deadline counts from the first byte, also if the body is forwarded as it arrives."""

        async def scenario() -> None:
            for size in (1_000, 200_000):
                harness = await DataPlaneHarness(memory_mb=66).start()
                client = await harness.client()
                started_at = harness.loop.time()
                client.send(deadline=3000, length=size)
                for _ in range(4):
                    await asyncio.sleep(0.2)
                    client.writer.write(b"x" * (size // 4))
                self.assertEqual((await client.read_response()).status, 200)
                (call,) = harness.calls
                ends_s = call.at - started_at + int(call.headers["x-rosechute-deadline-ms"]) / 1e3
                self.assertTrue(2.9 < ends_s <= 3.0, (size, ends_s))
                harness.close()

        self.run_scenario(scenario)

    def test_upload_beyond_deadline_reaches_no_server(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            client = await harness.client()
            client.send(body=b"x", length=2, deadline=300)
            await asyncio.sleep(0.4)
            client.writer.write(b"x")
            self.assertEqual((await client.read_response()).status, 503)
            self.assertEqual(harness.calls, [])
            harness.close()

        self.run_scenario(scenario)

    def test_paused_upload_continues_while_client_is_alive(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            client = await harness.client()
            client.send(body=b"x", length=2, deadline=9000)
            await asyncio.sleep(2.0)
            (connection,) = harness.plane.client_listener.listener.connections
            self.assertFalse(has_keepalive_probes(connection), "probes start only after the header time-out")
            await asyncio.sleep(2.0)
            self.assertTrue(has_keepalive_probes(connection), "probes detect a client that has crashed")
            client.writer.write(b"x")
            self.assertEqual((await client.read_response()).status, 200)
            harness.close()

        self.run_scenario(scenario)

    def test_missing_or_malformed_deadline_defaults_to_route_timeout(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            for path in ("/plain/1", "/stream/1"):
                for lines in ((), ("X-Rosechute-Deadline-Ms: soon",), ("X-Rosechute-Deadline-Ms: -1",)):
                    await harness.fetch(path, *lines, deadline=0)
                    self.assertTrue(4900 < int(harness.calls[-1].headers["x-rosechute-deadline-ms"]) <= 5000)
            harness.close()

        self.run_scenario(scenario)

    def test_attempts_are_limited_by_max_attempts(self) -> None:
        async def scenario() -> None:
            async def reset_in_stream(conn: ServerConnection, call: Call) -> None:
                if "/resume" in call.target:
                    conn.start_stream()
                    conn.send_event(int(call.headers.get("last-event-id", 0)) + 1)
                    await asyncio.sleep(0.05)
                conn.reset()

            scripts = {f"s{number}": reset_in_stream for number in range(8)}
            for max_attempts in (1, 2, 3):
                harness = await DataPlaneHarness().start(**scripts)
                harness.plane.apply_configuration(
                    configuration(
                        2,
                        routes=[
                            route("again", route_type="idempotent", max_attempts=max_attempts),
                            route(
                                "resume",
                                route_type="streaming",
                                gap_aim_ms=500,
                                stream_resume=True,
                                max_attempts=max_attempts,
                            ),
                        ],
                    ),
                    2,
                )
                for path in ("/again/1", "/resume/1"):
                    before = len(harness.calls)
                    await harness.fetch(path)
                    self.assertEqual(len(harness.calls) - before, max_attempts)
                harness.close()

        self.run_scenario(scenario)


class PriorityTest(VirtualTimeTestCase):
    def test_tenant_priority_precedes_route_priority(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            harness.plane.apply_configuration(
                configuration(
                    2,
                    routes=[route("plain"), route("first", priority=0)],
                    tenants=[
                        {"name": "a", "api_keys": ["a"], "priority": 0},
                        {"name": "b", "api_keys": ["b"], "priority": 3},
                    ],
                ),
                2,
            )
            for path, key in (("/first/1", "a"), ("/plain/1", "a"), ("/first/1", "b"), ("/plain/1", "b")):
                await harness.fetch(path, key=key)
            priorities = [int(call.headers["priority"]) for call in harness.calls]
            self.assertEqual(priorities, sorted(priorities))
            self.assertEqual(len(set(priorities)), 4)
            harness.close()

        self.run_scenario(scenario)


class ClientDisconnectTest(VirtualTimeTestCase):
    def test_queued_request_of_disconnected_client_is_not_sent(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=wait_until_closed)
            clients = {}
            for _ in range(60):  # more than the server accepts at once
                client = await harness.client()
                clients[client.send(deadline=3000)] = client
            await asyncio.sleep(0.1)
            waiting = [
                request.admitted.request_id.decode()
                for request in harness.plane.client_listener.requests.values()
                if request.state is RequestState.QUEUED
            ]
            self.assertGreater(len(waiting), 0)
            for name in waiting:
                clients[name].reset()
            await asyncio.sleep(0.01)
            self.assertFalse(
                [r for r in harness.plane.client_listener.requests.values() if r.state is RequestState.QUEUED]
            )
            await asyncio.sleep(4.0)
            self.assertTrue({call.id for call in harness.calls}.isdisjoint(waiting))
            harness.close()

        self.run_scenario(scenario)

    def test_disconnect_ends_all_work_on_a_request(self) -> None:
        """After a disconnect no server gets the request, and the connection of a server that executes it closes."""

        async def scenario(server_script: Script) -> None:
            for path in ("/again/1", "/resume/1", "/stream/1", "/plain/1"):
                for disconnect in ("close", "reset", "half close"):
                    for after_s in (0.02, 0.4):  # before and after the first attempt has failed
                        harness = await DataPlaneHarness().start(s1=server_script, s2=server_script)
                        client = await harness.client()
                        client.send(path)
                        await asyncio.sleep(after_s)
                        disconnected_at = harness.loop.time()
                        if disconnect == "half close":
                            client.writer.write_eof()
                        else:
                            getattr(client, disconnect)()
                        await asyncio.sleep(0.1)
                        self.assertFalse(harness.plane.client_listener.requests or harness.router._pending)
                        servers = harness.plane.pool._servers.values()
                        self.assertEqual(sum(server.open_count - len(server.idle) for server in servers), 0)
                        await asyncio.sleep(1.0)
                        self.assertFalse(
                            [call for call in harness.calls if call.at > disconnected_at + 0.1], (path, disconnect)
                        )
                        harness.close()

        for server_script in (reset_late, wait_until_closed, stream_slowly):
            self.run_scenario(lambda server_script=server_script: scenario(server_script))  # type: ignore[misc]

    def test_disconnect_with_unread_response_ends_the_servers_work(self) -> None:
        async def scenario() -> None:
            async def send_large_stream(conn: ServerConnection, call: Call) -> None:
                conn.start_stream()
                for number in range(1, 4000):
                    conn.send_chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * 4000))
                    await conn.writer.drain()

            for path in ("/stream/1", "/resume/1"):
                for disconnect in ("close", "reset"):
                    harness = await DataPlaneHarness(memory_mb=118).start(s1=send_large_stream)
                    client = await harness.client()
                    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                    client.send(path)
                    client.send(path)  # a pipelined request
                    await asyncio.sleep(1.0)
                    self.assertFalse(harness.servers["s1"].closed)
                    getattr(client, disconnect)()
                    await asyncio.sleep(0.4)
                    self.assertEqual(len(harness.servers["s1"].closed), 1)
                    self.assertEqual((len(harness.calls), len(harness.plane.client_listener.requests)), (1, 0))
                    harness.close()

        self.run_scenario(scenario)

    def test_disconnect_while_retry_is_queued(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=reset_late, s2=reset_late)
            client = await harness.client()
            client.send("/again/1")
            await asyncio.sleep(0.2)
            harness.router._try_dispatch = lambda *_: None  # type: ignore[method-assign]  # no server is available for a retry
            await asyncio.sleep(0.2)
            (request,) = harness.plane.client_listener.requests.values()
            self.assertIs(request.state, RequestState.QUEUED)
            self.assertEqual(len(harness.calls), 1)
            client.close()
            await asyncio.sleep(0.1)
            calls = len(harness.calls)
            self.assertFalse(harness.plane.client_listener.requests or harness.router._pending)
            await asyncio.sleep(3.0)
            self.assertEqual(len(harness.calls), calls)
            harness.close()

        self.run_scenario(scenario)

    def test_disconnect_while_connecting_sends_nothing(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            connecting, connect_allowed = asyncio.Event(), asyncio.Event()
            connect = harness.loop.create_connection

            async def connect_slowly(*arguments: object, **more: object) -> object:
                connecting.set()
                await connect_allowed.wait()
                return await connect(*arguments, **more)  # type: ignore[call-overload]

            client = await harness.client()
            harness.loop.create_connection = connect_slowly  # type: ignore[method-assign, assignment]
            client.send()
            await connecting.wait()
            client.close()
            await asyncio.sleep(0.05)
            connect_allowed.set()
            await asyncio.sleep(0.2)
            self.assertEqual((harness.calls, len(harness.plane.client_listener.requests)), ([], 0))
            self.assertEqual(len(harness.plane.pool.find("s1").idle), 1)  # type: ignore[union-attr]
            harness.close()

        self.run_scenario(scenario)

    def test_server_removed_while_connecting_gets_no_request(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_ok)
            connecting, connect_allowed = asyncio.Event(), asyncio.Event()
            connect = harness.loop.create_connection

            async def connect_slowly(*arguments: object, **more: object) -> object:
                connecting.set()
                await connect_allowed.wait()
                return await connect(*arguments, **more)  # type: ignore[call-overload]

            client = await harness.client()
            harness.loop.create_connection = connect_slowly  # type: ignore[method-assign, assignment]
            client.send()
            await connecting.wait()
            harness.loop.create_connection = connect  # type: ignore[method-assign]
            await harness.serve("svc", s2=respond_ok)
            connect_allowed.set()
            self.assertEqual((await client.read_response()).status, 200)
            self.assertEqual((len(harness.servers["s1"].calls), len(harness.servers["s2"].calls)), (0, 1))
            harness.close()

        self.run_scenario(scenario)
