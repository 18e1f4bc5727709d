"""Connections to servers: how many, which one is used first, and when they go."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec

from tests.fleet.data_site import Call, Site, SiteCase, Talk, plain


async def gather(site: Site, count: int) -> None:
    """So many requests at once, each on a connection of its own."""
    for answer in await asyncio.gather(*(site.ask(deadline=4000) for _ in range(count))):
        assert answer.status == 200


async def slow(talk: Talk, call: Call) -> None:
    await asyncio.sleep(0.2)
    talk.answer()


class Connections(SiteCase):
    def test_the_one_that_has_rested_longest_goes_first(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=slow)
            await gather(site, 3)
            server = site.plane.pool.find("s1")
            assert server is not None
            before = list(server.idle)
            await gather(site, 1)
            self.assertEqual(list(server.idle), [*before[1:], before[0]])
            site.close()

        self.play(scene)

    def test_no_more_rest_than_the_share_of_this_edge(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=slow)
            await gather(site, 4)
            server = site.plane.pool.find("s1")
            assert server is not None
            open_before = server.open_count
            self.assertGreater(open_before, 2)
            site.plane.apply_edges(24)  # of 48 connections
            self.assertEqual(server.open_count, 2)
            self.assertEqual(len(server.idle), 2)
            site.close()

        self.play(scene)

    def test_resting_ones_go_in_time_and_with_their_server(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=plain)
            await site.ask()
            server = site.plane.pool.find("s1")
            assert server is not None
            self.assertEqual((len(server.idle), server.open_count), (1, 1))
            await asyncio.sleep(4.5)
            self.assertEqual((len(server.idle), server.open_count), (0, 0))
            await site.ask()
            site.list(replace(site.servers["s1"].entry, ready=False))
            self.assertEqual((len(server.idle), server.open_count), (0, 0))
            site.close()

        self.play(scene)

    def test_one_that_the_server_ends_teaches_for_how_long_it_keeps_them(self) -> None:
        async def scene() -> None:
            async def short(talk: Talk, call: Call) -> None:
                talk.answer()
                await talk.writer.drain()
                await asyncio.sleep(2.0)
                raise ConnectionError

            site = await Site().start(s1=short)
            await site.ask()
            await asyncio.sleep(2.5)
            server = site.plane.pool.find("s1")
            assert server is not None
            self.assertLess(server.idle_timeout_s, 1.2)
            self.assertEqual(server.open_count, 0)
            site.close()

        self.play(scene)

    def test_other_settings_hold_from_then_on(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=slow)
            await gather(site, 4)
            limits = msgspec.structs.replace(site.settings.limits, max_fds=400, memory_mb=120)
            site.plane.apply_settings(msgspec.structs.replace(site.settings, limits=limits))
            self.assertLess(site.plane.front.listener.most, 100)
            self.assertLess(site.plane.pool.max_connections, 50)
            await gather(site, 4)
            site.close()

        self.play(scene)

    def test_without_a_descriptor_a_connection_that_rests_gives_way(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=plain)
            await site.serve("other", o1=plain)
            await site.ask()
            site.plane.pool.resize(1)
            self.assertEqual((await site.ask("/other/1")).status, 200)
            self.assertEqual(site.plane.pool.find("s1").open_count, 0)  # type: ignore[union-attr]
            site.close()

        self.play(scene)
