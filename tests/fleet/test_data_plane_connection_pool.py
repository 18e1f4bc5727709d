"""Connection pool: limits, order of reuse and closing of connections to servers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec

from rosechute.data_plane.connection_pool import RESERVED_PLACES_DIVISOR
from tests.fleet.data_site import Call, DataPlaneHarness, ServerConnection, VirtualTimeTestCase, respond_ok


async def send_concurrently(harness: DataPlaneHarness, count: int) -> None:
    """Send concurrent requests, each on its own connection."""
    for response in await asyncio.gather(*(harness.fetch(deadline=4000) for _ in range(count))):
        assert response.status == 200


async def respond_slowly(conn: ServerConnection, call: Call) -> None:
    await asyncio.sleep(0.2)
    conn.respond()


class ConnectionPoolTest(VirtualTimeTestCase):
    def test_longest_idle_connection_is_reused_first(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_slowly)
            await send_concurrently(harness, 3)
            server = harness.plane.pool.find("s1")
            assert server is not None
            before = list(server.idle)
            await send_concurrently(harness, 1)
            self.assertEqual(list(server.idle), [*before[1:], before[0]])
            harness.close()

        self.run_scenario(scenario)

    def test_idle_connections_are_limited_to_the_edges_share(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_slowly)
            await send_concurrently(harness, 4)
            server = harness.plane.pool.find("s1")
            assert server is not None
            open_before = server.open_count
            self.assertGreater(open_before, 2)
            harness.plane.apply_edges(24)  # which share 48 connections
            self.assertEqual(server.open_count, 2)
            self.assertEqual(len(server.idle), 2)
            harness.close()

        self.run_scenario(scenario)

    def test_idle_connections_close_after_timeout_and_when_server_drains(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_ok)
            await harness.fetch()
            server = harness.plane.pool.find("s1")
            assert server is not None
            self.assertEqual((len(server.idle), server.open_count), (1, 1))
            await asyncio.sleep(4.5)
            self.assertEqual((len(server.idle), server.open_count), (0, 0))
            await harness.fetch()
            harness.apply_list(replace(harness.servers["s1"].entry, ready=False))
            self.assertEqual((len(server.idle), server.open_count), (0, 0))
            harness.close()

        self.run_scenario(scenario)

    def test_close_by_server_shortens_idle_timeout(self) -> None:
        async def scenario() -> None:
            async def short(conn: ServerConnection, call: Call) -> None:
                conn.respond()
                await conn.writer.drain()
                await asyncio.sleep(2.0)
                raise ConnectionError

            harness = await DataPlaneHarness().start(s1=short)
            await harness.fetch()
            await asyncio.sleep(2.5)
            server = harness.plane.pool.find("s1")
            assert server is not None
            self.assertLess(server.idle_timeout_s, 1.2)
            self.assertEqual(server.open_count, 0)
            harness.close()

        self.run_scenario(scenario)

    def test_changed_settings_apply_to_limits(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_slowly)
            await send_concurrently(harness, 4)
            limits = msgspec.structs.replace(harness.settings.limits, max_fds=400, memory_mb=120)
            harness.plane.apply_settings(msgspec.structs.replace(harness.settings, limits=limits))
            self.assertLess(harness.plane.client_listener.listener.max_connections, 100)
            self.assertLess(harness.plane.pool.max_connections, 50)
            await send_concurrently(harness, 4)
            harness.close()

        self.run_scenario(scenario)

    def test_idle_connection_is_closed_when_limit_is_reached(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_ok)
            await harness.serve("other", o1=respond_ok)
            await harness.fetch()
            harness.plane.pool.resize(1)
            self.assertEqual((await harness.fetch("/other/1")).status, 200)
            self.assertEqual(harness.plane.pool.find("s1").open_count, 0)  # type: ignore[union-attr]
            harness.close()

        self.run_scenario(scenario)

    def test_no_connection_is_opened_without_places(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_ok)
            harness.plane.pool.resize(0)
            self.assertEqual((await harness.fetch()).status, 503)
            harness.close()

        self.run_scenario(scenario)

    def test_one_service_leaves_the_last_places_to_others(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start(s1=respond_slowly)
            await harness.serve("other", o1=respond_ok)
            await harness.fetch()
            harness.plane.pool.resize(RESERVED_PLACES_DIVISOR)
            sending = [asyncio.create_task(harness.fetch(deadline=4000)) for _ in range(RESERVED_PLACES_DIVISOR)]
            await asyncio.sleep(0.1)
            server = harness.plane.pool.find("s1")
            assert server is not None
            self.assertEqual(server.open_count, RESERVED_PLACES_DIVISOR - 1)
            self.assertEqual((await harness.fetch("/other/1")).status, 200)
            await asyncio.gather(*sending)
            harness.close()

        self.run_scenario(scenario)
