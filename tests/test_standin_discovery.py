"""The fake discovery service over sockets: its responses to one and to several clients, and their reuse."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import Any

import pytest

from rosechute.fakes.discovery import FakeDiscovery


class DiscoveryClient:
    """A client that sends raw HTTP requests."""

    def __init__(self, port: int) -> None:
        self._port = port

    async def __aenter__(self) -> DiscoveryClient:
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._writer.close()

    def send_request(self, query: str = "") -> None:
        self._writer.write(b"GET /api/targets%s HTTP/1.1\r\nHost: d\r\n\r\n" % query.encode())

    async def read_response(self) -> dict[str, Any]:
        head = await asyncio.wait_for(self._reader.readuntil(b"\r\n\r\n"), 5.0)
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        read: dict[str, Any] = json.loads(await self._reader.readexactly(length))
        return read


def run_test(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(work)


def names(response: dict[str, Any]) -> list[str]:
    return [line["name"] for line in response["endpoints"]]


def test_snapshot_then_only_later_changes() -> None:
    async def run() -> None:
        discovery = FakeDiscovery()
        for name in "abc":
            discovery.put(name, 80)
        async with DiscoveryClient(await discovery.start()) as client:
            client.send_request()
            snapshot = await client.read_response()
            assert snapshot["snapshot"] and names(snapshot) == ["a", "b", "c"]
            discovery.put("a", 80, "DRAINING")
            discovery.put("c", 80, "DELETED")
            discovery.put("a", 80, "DELETED")
            client.send_request(f"?after={snapshot['index']}&wait_ms=5000")
            changes = await client.read_response()
            # Each entry is listed once with its current state, in the order of the last changes.
            assert not changes["snapshot"] and names(changes) == ["c", "a"]
            assert {line["status"] for line in changes["endpoints"]} == {"DELETED"}
            client.send_request(f"?after={changes['index']}&wait_ms=0")
            assert names(await client.read_response()) == []
            client.send_request()
            assert names(await client.read_response()) == ["b"]
        discovery.stop()

    run_test(run())


def test_simultaneous_changes_reach_all_watches_in_one_response() -> None:
    async def run() -> None:
        discovery = FakeDiscovery()
        discovery.put("a", 80)
        port = await discovery.start()
        entry_counts: list[int] = []
        discovery.on_response = lambda lines, snapshot: entry_counts.append(len(lines))
        async with DiscoveryClient(port) as first, DiscoveryClient(port) as second:
            for client in (first, second):
                client.send_request(f"?after={discovery.index}&wait_ms=30000")
            while discovery.calls < 2:
                await asyncio.sleep(0.001)
            discovery.put("b", 80)
            discovery.put("c", 80)
            assert names(await first.read_response()) == names(await second.read_response()) == ["b", "c"]
        assert entry_counts == [2, 2] and len(discovery._responses) == 1  # encoded once, sent twice
        discovery.stop()

    run_test(run())


def test_watch_without_changes_ends_after_its_wait_and_is_removed() -> None:
    async def run() -> None:
        discovery = FakeDiscovery()
        discovery.put("a", 80)
        port = await discovery.start()
        loop = asyncio.get_running_loop()
        async with DiscoveryClient(port) as client:
            start = loop.time()
            client.send_request(f"?after={discovery.index}&wait_ms=120")
            assert names(await client.read_response()) == []
            assert 0.1 <= loop.time() - start < 2.0
            client.send_request(f"?after={discovery.index}&wait_ms=30000")
            while discovery.calls < 2:
                await asyncio.sleep(0.001)
        while discovery.connection_count():
            await asyncio.sleep(0.001)
        discovery.put("b", 80)
        await asyncio.sleep(0.01)
        assert not discovery._waiting
        discovery.stop()

    run_test(run())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def run() -> None:
        discovery = FakeDiscovery()
        discovery.put("a", 80)
        async with DiscoveryClient(await discovery.start()) as client:
            client.send_request(f"?after={discovery.index}&wait_ms=50")
            client.send_request()
            assert not (await client.read_response())["snapshot"]
            assert (await client.read_response())["snapshot"]
        discovery.stop()

    run_test(run())


@pytest.mark.parametrize("waits", [False, True])
def test_refusal_and_stop_close_the_connection(waits: bool) -> None:
    async def run() -> None:
        discovery = FakeDiscovery()
        discovery.put("a", 80)
        async with DiscoveryClient(await discovery.start()) as client:
            if waits:
                client.send_request(f"?after={discovery.index}&wait_ms=30000")
                while discovery.calls < 1:
                    await asyncio.sleep(0.001)
                discovery.stop()
            else:
                discovery.is_refusing = lambda: True
                client.send_request()
            with pytest.raises(asyncio.IncompleteReadError):
                await client.read_response()
        discovery.stop()

    run_test(run())


def test_restart_on_the_same_port() -> None:
    async def run() -> None:
        discovery = FakeDiscovery()
        port = await discovery.start()
        discovery.stop()
        again = FakeDiscovery()
        again.put("a", 80)
        assert await again.start(port) == port
        async with DiscoveryClient(port) as client:
            client.send_request()
            assert names(await client.read_response()) == ["a"]
        again.stop()

    run_test(run())


def test_renumbered_list_is_sent_to_clients_at_version_zero() -> None:
    async def run() -> None:
        discovery = FakeDiscovery()
        for name in "abc":
            discovery.put(name, 80)
        discovery.renumber()
        async with DiscoveryClient(await discovery.start()) as client:
            client.send_request("?after=0&wait_ms=0")
            response = await client.read_response()
            assert response["index"] == 1 and names(response) == ["a", "b", "c"]
            client.send_request("?after=9&wait_ms=0")
            assert (await client.read_response()) == {"index": 1, "snapshot": False, "endpoints": []}
            discovery.put("b", 80, "DRAINING")
            client.send_request("?after=1&wait_ms=0")
            assert names(await client.read_response()) == ["b"]
        discovery.stop()

    run_test(run())
