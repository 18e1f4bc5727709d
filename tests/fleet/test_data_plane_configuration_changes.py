"""Responses while the configuration may be outdated, and effects of changes on requests in progress."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from tests.fleet.data_site import Call, DataPlaneHarness, ServerConnection, VirtualTimeTestCase, configuration, route
from tests.fleet.test_data_plane_streams import stream_events


class OutdatedConfigurationTest(VirtualTimeTestCase):
    """401 and 404 are final for a client: an outdated configuration must not cause them."""

    def test_unconfigured_edge_responds_503(self) -> None:
        async def scenario() -> None:
            harness = DataPlaneHarness()
            await harness.plane.start()
            requests: tuple[tuple[str, dict[str, Any]], ...] = (
                ("/plain/1", {}),
                ("/nowhere", {}),
                ("/plain/1", {"key": "unknown"}),
                ("/plain/1", {"key": None}),
                ("/plain/1", {"body": bytes(5 << 20)}),
            )
            for path, options in requests:
                response = await harness.fetch(path, **options)
                self.assertEqual(response.status, 503)
                self.assertGreater(float(response.headers["retry-after"]), 0.0)
            self.assertEqual((await harness.fetch("/plain/1", "X-Long: " + "a" * 60000)).status, 503)
            client = await harness.client()
            client.writer.write(b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\n")
            await asyncio.sleep(4.0)
            client.writer.write(b"X-Rosechute-Request-Id: slow\r\n\r\n")
            self.assertEqual((await client.read_response()).status, 503)
            harness.close()

        self.run_scenario(scenario)

    def test_unconfirmed_configuration_gives_503_instead_of_404_and_401(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            for age_s, missing, without_key in ((0.9, 404, 401), (1.1, 503, 503), (20.0, 503, 503)):
                harness.freshness.last_confirmed = harness.loop.time() - age_s
                self.assertEqual((await harness.fetch("/nowhere")).status, missing)
                self.assertEqual((await harness.fetch(key="unknown")).status, without_key)
            harness.freshness.last_confirmed = float("-inf")
            self.assertEqual((await harness.fetch("/nowhere")).status, 503)
            self.assertFalse(harness.calls)
            harness.close()

        self.run_scenario(scenario)

    def test_queued_request_gets_503_if_configuration_is_unconfirmed(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            harness.quota.deferred_decisions = []
            client = await harness.client()
            client.send(key="m1")
            await asyncio.sleep(0.01)
            harness.plane.apply_configuration(configuration(2, routes=[]), 2)
            harness.freshness.last_confirmed = harness.loop.time() - 1.1
            harness.quota.deferred_decisions[0](True, 0.0)
            response = await client.read_response()
            self.assertEqual((response.status, harness.calls), (503, []))
            harness.close()

        self.run_scenario(scenario)


class RequestsInProgressTest(VirtualTimeTestCase):
    """A new configuration or changed settings do not affect requests in progress."""

    def test_changes_do_not_affect_requests_at_servers(self) -> None:
        async def scenario() -> None:
            changes: tuple[dict[str, Any], ...] = (
                {"routes": [], "services": []},
                {"routes": [route(name, service="other") for name in ("plain", "stream", "resume")]},
                {"tenants": [{"name": "second", "api_keys": ["k9"]}]},
                {"services": [{"name": "svc", "max_connections": 1}, {"name": "other", "max_connections": 1}]},
                {"routes": [route(name, timeout_ms=1) for name in ("plain", "stream", "resume")]},
                {"limits": dict.fromkeys(("max_header_bytes", "max_body_bytes", "idle_timeout_ms"), 1)},
            )

            async def slow(conn: ServerConnection, call: Call) -> None:
                if call.target.startswith("/plain"):
                    await asyncio.sleep(1.0)
                    conn.respond()
                else:
                    await stream_events(10, 0.1)(conn, call)

            for change in changes:
                harness = await DataPlaneHarness().start(s1=slow)
                paths = ("/plain/1", "/stream/1", "/resume/1")
                responses = [asyncio.ensure_future(harness.fetch(path, body=b"x" * 1000)) for path in paths]
                await asyncio.sleep(0.3)
                self.assertEqual(len(harness.calls), 3)
                harness.plane.apply_configuration(configuration(2, **change), 2)
                bounds = msgspec.structs.replace(harness.settings.limits, max_fds=264, memory_mb=40)
                harness.plane.apply_settings(msgspec.structs.replace(harness.settings, limits=bounds))
                harness.plane.apply_edges(5)
                for response in await asyncio.gather(*responses):
                    self.assertEqual((response.status, response.is_complete), (200, True), change)
                self.assertEqual(len(harness.calls), 3)
                harness.close()

        self.run_scenario(scenario)

    def test_shorter_idle_timeout_applies_after_the_previous_one(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            reused_client, idle_client = await harness.client(), await harness.client()
            for client in (reused_client, idle_client):
                await client.fetch()
            limits = {"max_header_bytes": 8192, "max_body_bytes": 10, "header_timeout_ms": 3000}
            await asyncio.sleep(1.0)
            harness.plane.apply_configuration(configuration(2, limits={**limits, "idle_timeout_ms": 2000}), 2)
            await asyncio.sleep(11.0)  # 80 percent of the previous idle time-out
            self.assertEqual((await reused_client.fetch(body=b"x" * 100)).status, 200)
            await asyncio.sleep(6.0)  # the previous idle time-out has expired
            self.assertEqual(await idle_client.read_until_closed(), b"")
            self.assertEqual(await reused_client.read_until_closed(), b"")
            fresh = await harness.client()
            self.assertEqual((await fresh.fetch(body=b"x" * 100)).status, 413)
            harness.close()

        self.run_scenario(scenario)

    def test_unread_request_is_served_when_idle_connections_close(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            active_client, other_client = await harness.client(), await harness.client()
            for client in (active_client, other_client):
                await client.fetch()
            active_client.send()
            harness.plane.client_listener.listener.close()  # in the same iteration: the request has not been read yet
            self.assertEqual((await active_client.read_response()).status, 200)
            self.assertEqual(await other_client.read_until_closed(), b"")
            harness.close()

        self.run_scenario(scenario)

    def test_header_timeout_starts_with_first_byte(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            client = await harness.client()
            await asyncio.sleep(11.0)
            client.writer.write(b"POST /plain/3 HTTP/1.1\r\nHost: app.example\r\n")
            await asyncio.sleep(1.0)
            client.writer.write(
                b"X-Rosechute-Request-Id: three\r\nX-Rosechute-Credential: k1\r\nContent-Length: 8\r\n\r\nhalf"
            )
            await asyncio.sleep(1.0)
            client.writer.write(b"half")
            self.assertEqual((await client.read_response()).status, 200)
            self.assertEqual(harness.calls[-1].body, b"halfhalf")
            harness.close()

        self.run_scenario(scenario)
