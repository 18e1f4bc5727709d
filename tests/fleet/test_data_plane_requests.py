"""Requests through the data plane: routes, credentials, headers, statuses and retries."""

from __future__ import annotations

import asyncio
from unittest import mock

from tests.fleet.data_site import (
    Call,
    DataPlaneHarness,
    ServerConnection,
    VirtualTimeTestCase,
    configuration,
    respond_ok,
    route,
    wait_until_closed,
)


class RequestTest(VirtualTimeTestCase):
    def test_request_and_response_are_forwarded(self) -> None:
        async def scenario() -> None:
            async def script(conn: ServerConnection, call: Call) -> None:
                conn.respond(200, b"the body", "X-Other: kept", "Date: today")

            harness = await DataPlaneHarness().start(s1=script)
            response = await harness.fetch(
                "/plain/a?b=c",
                "X-Mine: yes",
                "X-Rosechute-Tenant: forged",
                "X-Rosechute-Expect-Instance: forged",
                "Priority: 9",
                "Connection: keep-alive, X-Hop",
                "X-Hop: gone",
                body=b"hello",
                deadline=4000,
                id="abc",
            )
            self.assertEqual(
                (response.status, response.body, response.headers["x-other"]), (200, b"the body", "kept")
            )
            self.assertEqual(response.headers["x-rosechute-server-stamp"], "stamp-1")
            self.assertEqual((response.headers["x-rosechute-request-id"], response.headers["date"]), ("abc", "today"))
            (call,) = harness.calls
            self.assertEqual((call.method, call.target, call.body), ("POST", "/plain/a?b=c", b"hello"))
            headers = call.headers
            self.assertEqual(headers["x-rosechute-tenant"], "first")
            self.assertEqual(headers["x-rosechute-expect-instance"], "s1")
            self.assertEqual((headers["x-mine"], headers["host"]), ("yes", "app.example"))
            self.assertLessEqual(int(headers["x-rosechute-deadline-ms"]), 4000)
            self.assertGreater(int(headers["x-rosechute-deadline-ms"]), 3900)
            self.assertNotIn("x-rosechute-credential", headers)
            self.assertNotIn("x-hop", headers)
            self.assertIn(int(headers["priority"]), range(10))
            harness.close()

        self.run_scenario(scenario)

    def test_end_to_end_headers_are_forwarded_unchanged(self) -> None:
        """Regression: headers that a client named in `Connection` were dropped, even the request id."""

        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            told = (
                ("X-Rosechute-Model", "m one"),
                ("x-ROSECHUTE-token-count", "1460 ,\t80"),
                ("X-Rosechute-Prompt-Prefix", "5c1e07a2:800,  91bd3f06:410;\xe9"),
                ("X-Rosechute-Model", "m two"),
                ("X-Rosechute-Prompt-Prefix", ""),
            )
            lines = [f"{name}:  {value} \t" for name, value in told]
            seen: list[bytes] = []
            read_head = ServerConnection.read

            async def keep(conn: ServerConnection) -> Call:
                seen.append(await conn.reader.readuntil(b"\r\n\r\n"))
                conn.reader._buffer[:0] = seen[-1]  # type: ignore[attr-defined]
                return await read_head(conn)

            for more in (
                (),
                (
                    "Connection: keep-alive, X-Rosechute-Model",
                    "Connection: host,x-rosechute-token-count,x-rosechute-request-id , X-Rosechute-Prompt-Prefix",
                ),
            ):
                with mock.patch.object(ServerConnection, "read", keep):
                    client = await harness.client()
                    head = [
                        "POST /plain/1 HTTP/1.1",
                        "Host: app.example",
                        "X-Rosechute-Request-Id: odd",
                        "X-Rosechute-Credential: k1",
                        *more,
                        *lines,
                        "Content-Length: 0",
                        "",
                        "",
                    ]
                    client.writer.write("\r\n".join(head).encode("latin-1"))
                    self.assertEqual((await client.read_response()).status, 200)
                pairs = [line.split(b": ", 1) for line in seen[-1][:-4].split(b"\r\n")[1:]]
                for name in ("x-rosechute-model", "x-rosechute-token-count", "x-rosechute-prompt-prefix"):
                    sent = [value.encode("latin-1") for each, value in told if each.lower() == name]
                    self.assertEqual([pair[1] for pair in pairs if pair[0].decode() == name], sent)
                self.assertIn([b"host", b"app.example"], pairs)
            harness.close()

        self.run_scenario(scenario)

    def test_statuses_by_route_and_credential(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            for expected, options in (
                (404, {"path": "/nowhere/1"}),
                (404, {"host": "none.example"}),
                (401, {"key": None}),
                (401, {"key": "unknown"}),
                (200, {"path": "/open/1", "key": None}),
                (200, {"path": "/open/1", "key": "unknown"}),
                (200, {"key": "k2"}),
            ):
                response = await harness.fetch(**options)
                self.assertEqual(response.status, expected, options)
            self.assertEqual(len(harness.calls), 3)
            self.assertNotIn("x-rosechute-tenant", harness.calls[0].headers)
            self.assertTrue(all("x-rosechute-credential" not in call.headers for call in harness.calls))
            harness.close()

        self.run_scenario(scenario)

    def test_connections_are_reused(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            client = await harness.client()
            for _ in range(5):
                self.assertEqual((await client.fetch()).status, 200)
            self.assertEqual(harness.servers["s1"].connections, 1)
            await asyncio.sleep(12.0)  # 80 percent of the idle time-out
            self.assertEqual((await client.fetch()).status, 200)
            harness.close()

        self.run_scenario(scenario)

    def test_server_error_is_forwarded(self) -> None:
        async def scenario() -> None:
            async def script(conn: ServerConnection, call: Call) -> None:
                conn.respond(500, b"own words")

            harness = await DataPlaneHarness().start(s1=script, s2=script)
            response = await harness.fetch()
            self.assertEqual((response.status, response.body), (500, b"own words"))
            self.assertEqual(response.headers["x-rosechute-server-stamp"], "stamp-1")
            self.assertEqual(len(harness.calls), 1)
            harness.close()

        self.run_scenario(scenario)

    def test_all_methods_are_forwarded(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            methods = ["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"]
            for method in methods:
                self.assertEqual((await harness.fetch(method=method)).status, 200)
            self.assertEqual([call.method for call in harness.calls], methods)
            self.assertEqual((await harness.fetch("/-/ready")).status, 404)
            harness.close()

        self.run_scenario(scenario)

    def test_unconfigured_edge_responds_503_with_retry_after(self) -> None:
        async def scenario() -> None:
            harness = DataPlaneHarness()
            await harness.plane.start()
            self.assertFalse(harness.plane.ready())
            harness.freshness.last_confirmed = float("-inf")
            response = await harness.fetch()
            self.assertEqual(response.status, 503)
            self.assertTrue(2.0 <= float(response.headers["retry-after"]) < 2.4)
            await asyncio.sleep(1.5)
            response = await harness.fetch()  # closer to the end of the startup allowance
            self.assertEqual(response.status, 503)
            self.assertTrue(0.5 <= float(response.headers["retry-after"]) < 0.6)
            harness.close()

        self.run_scenario(scenario)

    def test_missing_endpoint_list_gives_503_without_quota_charge(self) -> None:
        async def scenario() -> None:
            harness = DataPlaneHarness()
            await harness.plane.start()
            harness.plane.apply_configuration(configuration(), 1)
            response = await harness.fetch(key="m1")
            self.assertEqual((response.status, harness.quota.spent), (503, []))
            self.assertGreater(float(response.headers["retry-after"]), 0.0)
            harness.close()

        self.run_scenario(scenario)

    def test_unconfirmed_configuration_gives_503_instead_of_404_and_401(self) -> None:
        """Regression: an edge restarted with an older configuration responded 401 to newer credentials."""

        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            for at in (float("-inf"), harness.loop.time() - 4.8):
                harness.freshness.last_confirmed = at
                for options in ({"key": "added"}, {"path": "/added/1"}, {"key": None}):
                    response = await harness.fetch(**options)
                    self.assertEqual((response.status, "retry-after" in response.headers), (503, True), options)
                self.assertEqual((await harness.fetch("/open/1")).status, 200)
            harness.freshness.last_confirmed = None
            self.assertEqual((await harness.fetch(key="added")).status, 401)
            harness.close()

        self.run_scenario(scenario)

    def test_readiness_needs_configuration_endpoint_list_and_confirmation(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            self.assertTrue(harness.plane.ready())
            harness.freshness.last_confirmed = float("-inf")
            self.assertFalse(harness.plane.ready())
            harness.freshness.last_confirmed = None
            harness.apply_list()
            self.assertFalse(harness.plane.ready())
            harness.close()

        self.run_scenario(scenario)

    def test_configured_limits_are_enforced(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            self.assertEqual((await harness.fetch(body=b"x" * 262144)).status, 200)
            self.assertEqual((await harness.fetch(body=b"x" * 262145)).status, 413)
            self.assertEqual((await harness.fetch("/plain/1", "X-Long: " + "a" * 14000)).status, 431)
            client = await harness.client()
            client.writer.write(b"POST /plain/1 HTTP/1.1\r\n")
            started_at = harness.loop.time()
            self.assertIn(b"408", await client.read_until_closed())
            self.assertAlmostEqual(harness.loop.time() - started_at, 3.0, delta=0.5)
            harness.close()

        self.run_scenario(scenario)

    def test_chunked_body_is_forwarded(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            client = await harness.client()
            client.writer.write(
                b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: c1\r\n"
                b"X-Rosechute-Credential: k1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"5\r\nhello\r\n7\r\n there!\r\n0\r\n\r\n"
            )
            self.assertEqual((await client.read_response()).status, 200)
            self.assertEqual(harness.calls[0].body, b"hello there!")
            harness.close()

        self.run_scenario(scenario)

    def test_large_body_is_streamed(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness(memory_mb=66).start()
            body = bytes(range(256)) * 1000
            self.assertEqual((await harness.fetch(body=body)).status, 200)
            self.assertEqual(harness.calls[0].body, body)
            self.assertEqual(harness.plane.budget.used, 0)
            harness.close()

        self.run_scenario(scenario)


class RetryTest(VirtualTimeTestCase):
    def test_possibly_executed_non_idempotent_request_gives_502(self) -> None:
        async def scenario() -> None:
            async def reset(conn: ServerConnection, call: Call) -> None:
                conn.reset()

            async def garbled(conn: ServerConnection, call: Call) -> None:
                conn.writer.write(b"this is no answer\r\n\r\n")

            async def closed(conn: ServerConnection, call: Call) -> None:
                raise ConnectionError

            async def cut(conn: ServerConnection, call: Call) -> None:
                conn.writer.write(conn.serialize_head(200, "Content-Length: 100") + b"half")
                raise ConnectionError

            async def unstamped(conn: ServerConnection, call: Call) -> None:
                conn.respond(200, b"body", stamp=None)

            async def encoded(conn: ServerConnection, call: Call) -> None:
                conn.respond(200, b"body", "Content-Encoding: gzip")

            async def unmarked(conn: ServerConnection, call: Call) -> None:
                conn.respond(503, b"", stamp=None)

            async def unframed(conn: ServerConnection, call: Call) -> None:
                conn.writer.write(conn.serialize_head(200) + b"until the reset")
                await asyncio.sleep(0.01)
                conn.reset()

            for script in (reset, garbled, closed, cut, unstamped, encoded, unmarked, unframed):
                harness = await DataPlaneHarness().start(s1=script, s2=script)
                started_at = harness.loop.time()
                response = await harness.fetch()
                self.assertEqual((response.status, len(harness.calls)), (502, 1), script.__name__)
                self.assertLess(response.at - started_at, 0.1)
                self.assertNotIn("x-rosechute-server-stamp", response.headers)
                harness.close()

        self.run_scenario(scenario)

    def test_close_delimited_response_is_complete_unless_reset(self) -> None:
        """A close-delimited response is complete when its connection closes, and only then."""

        async def scenario() -> None:
            body = b"until the end " * 20
            for path in ("/plain/1", "/again/1"):
                for pause_s in (0.0, 0.3):  # shorter and longer than the time for which such a response is buffered
                    for reset in (False, True):

                        async def unframed(conn: ServerConnection, call: Call) -> None:
                            conn.writer.write(conn.serialize_head(200) + body[:50])
                            await conn.writer.drain()
                            await asyncio.sleep(pause_s)  # noqa: B023
                            conn.writer.write(body[50:])
                            await conn.writer.drain()
                            await asyncio.sleep(0.01)
                            if reset:  # noqa: B023
                                conn.reset()
                            raise ConnectionError

                        harness = await DataPlaneHarness().start(s1=unframed)
                        response = await harness.fetch(path)
                        if reset:
                            self.assertFalse(response.status == 200 and response.is_complete, (path, pause_s))
                        else:
                            self.assertEqual(
                                (response.status, response.is_complete, response.body), (200, True, body)
                            )
                        await harness.fetch(path)
                        self.assertEqual(harness.servers["s1"].connections, 2)
                        harness.close()

        self.run_scenario(scenario)

    def test_unresponsive_server_gives_504_before_client_deadline(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=wait_until_closed)
            started_at = harness.loop.time()
            response = await harness.fetch(deadline=2000)
            self.assertEqual(response.status, 504)
            self.assertTrue(1.9 < response.at - started_at < 2.0)
            harness.close()

        self.run_scenario(scenario)

    def test_unresponsive_server_gives_504_at_route_timeout(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=wait_until_closed)
            started_at = harness.loop.time()
            response = await harness.fetch(deadline=60000)
            self.assertEqual(response.status, 504)
            self.assertTrue(4.8 < response.at - started_at < 5.0)
            harness.close()

        self.run_scenario(scenario)

    def test_rejected_request_is_retried_on_another_server(self) -> None:
        async def scenario() -> None:
            async def reject_as_full(conn: ServerConnection, call: Call) -> None:
                conn.reject_as_full()

            async def respond_wrong_instance(conn: ServerConnection, call: Call) -> None:
                conn.respond(421, b"", "X-Rosechute-Instance-Id: other", stamp=None)

            for script in (reject_as_full, respond_wrong_instance):
                harness = await DataPlaneHarness().start(s1=script, s2=respond_ok)
                responses = [await harness.fetch() for _ in range(6)]
                self.assertEqual({response.status for response in responses}, {200})
                self.assertTrue(harness.servers["s1"].calls)
                harness.close()

        self.run_scenario(scenario)

    def test_503_if_all_servers_reject(self) -> None:
        async def scenario() -> None:
            async def reject_as_full(conn: ServerConnection, call: Call) -> None:
                conn.reject_as_full()

            harness = await DataPlaneHarness().start(s1=reject_as_full, s2=reject_as_full)
            response = await harness.fetch()
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers["retry-after"]), 0.0)
            harness.close()

        self.run_scenario(scenario)

    def test_refused_connection_is_retried_on_another_server(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_ok, s2=respond_ok)
            harness.servers["s1"].stop()
            for _ in range(6):
                self.assertEqual((await harness.fetch()).status, 200)
            harness.close()

        self.run_scenario(scenario)

    def test_idempotent_request_is_retried(self) -> None:
        async def scenario() -> None:
            async def reset(conn: ServerConnection, call: Call) -> None:
                conn.reset()

            async def failing(conn: ServerConnection, call: Call) -> None:
                conn.respond(500, b"")

            for script in (reset, failing, wait_until_closed):
                harness = await DataPlaneHarness().start(s1=script, s2=respond_ok)
                for _ in range(4):
                    response = await harness.fetch("/again/1")
                    self.assertEqual(response.status, 200, script.__name__)
                self.assertTrue(harness.servers["s1"].calls)
                harness.close()

        self.run_scenario(scenario)

    def test_inactive_server_is_kept_if_there_is_no_other(self) -> None:
        """Regression: the server was abandoned although there was no other one, and its response was dropped."""

        async def scenario() -> None:
            async def respond_late(conn: ServerConnection, call: Call) -> None:
                await asyncio.sleep(3.0)
                conn.respond()

            harness = await DataPlaneHarness().start(s1=respond_late)
            response = await harness.fetch("/again/1")
            self.assertEqual((response.status, len(harness.calls)), (200, 1))
            harness.close()

        self.run_scenario(scenario)

    def test_response_to_earlier_request_is_not_forwarded(self) -> None:
        async def scenario() -> None:
            async def respond_to_earlier_request(conn: ServerConnection, call: Call) -> None:
                if len(conn.server.calls) > 1:
                    conn.respond(200, b"of an earlier one", id="earlier")
                conn.respond(200, call.id.encode())

            harness = await DataPlaneHarness().start(s1=respond_to_earlier_request)
            client = await harness.client()
            for number in range(3):
                response = await client.fetch(id=f"n{number}")
                self.assertEqual((response.status, response.body), (200, b"n%d" % number))
            harness.close()

        self.run_scenario(scenario)

    def test_surplus_bytes_end_the_server_connection(self) -> None:
        async def scenario() -> None:
            async def more(conn: ServerConnection, call: Call) -> None:
                conn.respond(200, call.id.encode())
                conn.respond(200, b"once more")

            async def reject_with_surplus_bytes(conn: ServerConnection, call: Call) -> None:
                conn.reject_as_full()
                conn.writer.write(b"noise")

            harness = await DataPlaneHarness().start(s1=more, s2=reject_with_surplus_bytes)
            client = await harness.client()
            for number in range(6):
                response = await client.fetch(id=f"n{number}")
                self.assertEqual((response.status, response.body), (200, b"n%d" % number))
            harness.close()

        self.run_scenario(scenario)

    def test_connection_closed_by_server_is_not_reused(self) -> None:
        async def scenario() -> None:
            async def close_after_response(conn: ServerConnection, call: Call) -> None:
                conn.respond()
                await conn.writer.drain()
                await asyncio.sleep(1.0)
                raise ConnectionError

            harness = await DataPlaneHarness().start(s1=close_after_response)
            client = await harness.client()
            for _ in range(3):
                self.assertEqual((await client.fetch()).status, 200)
                await asyncio.sleep(2.0)
            self.assertEqual(harness.servers["s1"].connections, 3)
            harness.close()

        self.run_scenario(scenario)

    def test_keep_alive_timeout_of_server_is_respected(self) -> None:
        async def scenario() -> None:
            async def announce_short_timeout(conn: ServerConnection, call: Call) -> None:
                conn.respond(200, b"", "Keep-Alive: timeout=2")

            harness = await DataPlaneHarness().start(s1=announce_short_timeout)
            client = await harness.client()
            await client.fetch()
            await asyncio.sleep(0.9)
            await client.fetch()
            self.assertEqual(harness.servers["s1"].connections, 1)
            await asyncio.sleep(1.1)
            await client.fetch()
            self.assertEqual(harness.servers["s1"].connections, 2)
            harness.close()

        self.run_scenario(scenario)


class ConfigurationChangeTest(VirtualTimeTestCase):
    def test_newer_configuration_applies_and_older_one_is_ignored(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            self.assertEqual((await harness.fetch("/added/1")).status, 404)
            added = configuration(2, routes=[route("added")])
            harness.plane.apply_configuration(added, 5)
            self.assertEqual((await harness.fetch("/added/1")).status, 200)
            self.assertEqual((await harness.fetch("/plain/1")).status, 404)
            harness.plane.apply_configuration(configuration(), 4)
            self.assertEqual((await harness.fetch("/plain/1")).status, 404)
            harness.close()

        self.run_scenario(scenario)

    def test_endpoint_list_may_arrive_before_its_service(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            await harness.serve("later", l1=respond_ok)
            harness.plane.apply_configuration(
                configuration(
                    2,
                    routes=[route("late", service="later")],
                    services=[{"name": "later", "max_connections": 9}],
                ),
                2,
            )
            self.assertEqual((await harness.fetch("/late/1")).status, 200)
            self.assertEqual(len(harness.servers["l1"].calls), 1)
            harness.close()

        self.run_scenario(scenario)
