"""Tests of `EndpointListReader`: it reads only while leader, delivers complete lists and limits its call rate."""

import asyncio
import json
from collections.abc import Sequence
from unittest import IsolatedAsyncioTestCase, TestCase, mock

from loguru import logger
from returns.result import Failure, Result, Success

from rosechute.control_plane import endpoint_list_reader
from rosechute.control_plane.endpoint_list_page import (
    EndpointListError,
    EndpointListPage,
    Instance,
    decode_endpoint_list_page,
)
from rosechute.control_plane.endpoint_list_reader import INTERVAL_S, RETRY_S, EndpointListReader
from rosechute.distribution.values import ListedServer

RATE_PER_S = 40.0


def setUpModule() -> None:
    logger.disable("rosechute.control_plane")  # the injected errors would fill the log


def tearDownModule() -> None:
    logger.enable("rosechute.control_plane")


class FakePlatform:
    """Fake platform with pages, fails calls, and a leader lease that ends after a number of calls."""

    def __init__(self, pages: int = 1) -> None:
        self.pages = pages
        self.calls = 0
        self.fails = False
        self.raises = False
        self.lease_ends_after_calls = 10**9
        self.next_term_after_calls = 10**9
        self.call_s = 0.0
        self.now = 100.0

    async def fetch(self, token: str | None) -> Result[EndpointListPage, EndpointListError]:
        self.calls += 1
        self.now += self.call_s
        if self.raises:
            raise ValueError("unexpected error")
        if self.fails:
            return Failure(EndpointListError("fetch", "10.0.0.1:1", "status 429"))
        number = int(token or 0)
        following = str(number + 1) if number + 1 < self.pages else None
        return Success(
            EndpointListPage((Instance(f"i-{number}", "s", f"10.0.0.{number}:1", cold_remaining_ms=500),), following)
        )

    def leader_term(self) -> int | None:
        if self.calls >= self.lease_ends_after_calls:
            return None
        return 7 if self.calls < self.next_term_after_calls else 9


class EndpointListReaderTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.delivered: list[list[ListedServer]] = []

    def reader(self, platform: FakePlatform, rate: float = RATE_PER_S) -> EndpointListReader:
        def deliver(servers: Sequence[ListedServer]) -> None:
            self.delivered.append(list(servers))

        return EndpointListReader(
            platform.fetch, lambda: rate, platform.leader_term, deliver, lambda: 0.5, lambda: platform.now
        )

    async def test_all_pages_are_delivered_as_one_list(self) -> None:
        platform = FakePlatform(3)
        await self.reader(platform).read_once()
        self.assertEqual([[server.id for server in each] for each in self.delivered], [["i-0", "i-1", "i-2"]])

    async def test_nothing_is_fetched_without_the_lease(self) -> None:
        platform = FakePlatform()
        platform.lease_ends_after_calls = 0
        self.assertEqual(await self.reader(platform).read_once(), 0.0)
        self.assertEqual((platform.calls, self.delivered), (0, []))

    async def test_run_waits_for_the_lease_and_continues_after_an_exception(self) -> None:
        platform = FakePlatform()
        platform.lease_ends_after_calls = 0
        reader = self.reader(platform)
        task = asyncio.create_task(reader.run())
        await asyncio.sleep(0)
        self.assertEqual(platform.calls, 0)
        platform.lease_ends_after_calls = 10**9
        with mock.patch.object(endpoint_list_reader, "RETRY_S", 0.0):
            platform.raises = True
            reader.leadership_gained()
            while platform.calls < 3:
                await asyncio.sleep(0)
            platform.raises = False
            while not self.delivered:
                await asyncio.sleep(0)
        task.cancel()

    async def test_list_is_delivered_only_if_the_lease_is_still_held(self) -> None:
        for pages in (1, 2, 4):
            platform = FakePlatform(pages)
            platform.lease_ends_after_calls = 1
            await self.reader(platform).read_once()
            self.assertEqual((platform.calls, self.delivered), (1, []))

    async def test_list_read_in_an_earlier_term_is_discarded(self) -> None:
        """Another machine that held the lease during the read may have published a newer list."""
        for pages in (1, 2, 4):
            platform = FakePlatform(pages)
            platform.next_term_after_calls = 1
            reader = self.reader(platform)
            await reader.read_once()
            self.assertEqual((platform.calls, self.delivered), (1, []))
            await reader.read_once()
            self.assertEqual(len(self.delivered.pop()), pages)

    async def test_failed_read_delivers_nothing_and_is_retried(self) -> None:
        platform = FakePlatform()
        platform.fails = True
        self.assertEqual(await self.reader(platform).read_once(), RETRY_S)
        self.assertEqual(self.delivered, [])

    async def test_calls_stay_within_the_share_of_the_rate(self) -> None:
        for pages, rate, fails in ((1, 40.0, False), (30, 40.0, False), (3, 2.0, False), (1, 4.0, True)):
            platform = FakePlatform(pages)
            platform.fails = fails
            reader = self.reader(platform, rate)
            waited = 0.0
            for _ in range(50):
                waited += await reader.read_once()
            self.assertLessEqual(platform.calls, 0.4 * rate * waited * 1.001, (pages, rate))

    async def test_interval_is_measured_from_the_start_of_a_read(self) -> None:
        platform = FakePlatform(2)
        platform.call_s = 0.1
        self.assertAlmostEqual(await self.reader(platform).read_once(), INTERVAL_S - 0.2)

    async def test_read_longer_than_the_interval_is_followed_immediately(self) -> None:
        platform = FakePlatform()
        platform.call_s = 2 * INTERVAL_S
        self.assertEqual(await self.reader(platform).read_once(), 0.0)

    async def test_minimum_rate_applies_without_a_rate_limit(self) -> None:
        wait = await self.reader(FakePlatform(), 0.0).read_once()
        self.assertAlmostEqual(wait, 1 / endpoint_list_reader.MIN_RATE_PER_S)

    async def test_run_waits_for_each_lease_without_polling(self) -> None:
        """After the loss of the lease, the reader waits for an event instead of polling for the next lease."""
        platform = FakePlatform()
        platform.lease_ends_after_calls = 1
        reader = self.reader(platform)
        task = asyncio.create_task(reader.run())
        reader.leadership_gained()
        with mock.patch.multiple(endpoint_list_reader, INTERVAL_S=0.0, RATE_SHARE=1e9):
            while platform.calls < 1:
                await asyncio.sleep(0)
            with mock.patch.object(reader, "_leader_term", wraps=platform.leader_term) as lookup:
                for _ in range(50):
                    await asyncio.sleep(0)
        self.assertLessEqual(lookup.call_count, 2)
        task.cancel()

    async def test_remaining_cold_start_is_converted_to_a_time(self) -> None:
        platform = FakePlatform()
        await self.reader(platform).read_once()
        self.assertAlmostEqual(self.delivered[0][0].cold_until, platform.now + 0.5)


class EndpointListPageTest(TestCase):
    def test_entry_with_unknown_keys(self) -> None:
        entry = {"service": "s", "address": "10.128.0.9:8080", "zone": "z", "config_version": "v1", "slots": 64}
        entry |= {"state": "draining", "cold_remaining_ms": 0, "stage": "dual", "models": [], "id": "i-7"}
        page = decode_endpoint_list_page(
            json.dumps({"instances": [entry], "next_token": "p-50"}).encode(), "peer"
        ).unwrap()
        self.assertEqual(page.next_token, "p-50")
        listed = page.instances[0].to_listed_server(5.0)
        self.assertEqual(listed, ListedServer("i-7", "s", "10.128.0.9:8080", "z", 64, False, 5.0))

    def test_negative_remaining_cold_start_counts_as_zero(self) -> None:
        self.assertEqual(
            Instance("i", "s", "10.0.0.1:1", cold_remaining_ms=-700).to_listed_server(5.0).cold_until, 5.0
        )

    def test_malformed_pages(self) -> None:
        for data in (b"", b"{", b"[]", b'{"instances": [{}]}', b'{"instances": 3}', b"\xff"):
            error = decode_endpoint_list_page(data, "10.0.0.1:1").failure()
            self.assertEqual(error.peer, "10.0.0.1:1")
            self.assertNotEqual(error.reason, "")
