"""The stand-in for discovery, over sockets: what it tells to one and to many, and what it costs to tell it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import Any

import pytest

from rosechute.fakes.discovery import StandInDiscovery


class Asking:
    """A client that asks by hand."""

    def __init__(self, port: int) -> None:
        self._port = port

    async def __aenter__(self) -> Asking:
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._writer.close()

    def ask(self, query: str = "") -> None:
        self._writer.write(b"GET /api/targets%s HTTP/1.1\r\nHost: d\r\n\r\n" % query.encode())

    async def answer(self) -> dict[str, Any]:
        head = await asyncio.wait_for(self._reader.readuntil(b"\r\n\r\n"), 5.0)
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        read: dict[str, Any] = json.loads(await self._reader.readexactly(length))
        return read


def play(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(work)


def names(answer: dict[str, Any]) -> list[str]:
    return [line["name"] for line in answer["endpoints"]]


def test_the_whole_list_and_then_only_what_came_after() -> None:
    async def run() -> None:
        discovery = StandInDiscovery()
        for name in "abc":
            discovery.put(name, 80)
        async with Asking(await discovery.start()) as one:
            one.ask()
            whole = await one.answer()
            assert whole["snapshot"] and names(whole) == ["a", "b", "c"]
            discovery.put("a", 80, "DRAINING")
            discovery.put("c", 80, "DELETED")
            discovery.put("a", 80, "DELETED")
            one.ask(f"?after={whole['index']}&wait_ms=5000")
            news = await one.answer()
            # In the order of their last change, each once, as it stands.
            assert not news["snapshot"] and names(news) == ["c", "a"]
            assert {line["status"] for line in news["endpoints"]} == {"DELETED"}
            one.ask(f"?after={news['index']}&wait_ms=0")
            assert names(await one.answer()) == []
            one.ask()
            assert names(await one.answer()) == ["b"]
        discovery.stop()

    play(run())


def test_all_that_wait_are_told_of_changes_of_one_instant_at_once() -> None:
    async def run() -> None:
        discovery = StandInDiscovery()
        discovery.put("a", 80)
        port = await discovery.start()
        made: list[int] = []
        discovery.told = lambda lines, whole: made.append(len(lines))
        async with Asking(port) as one, Asking(port) as other:
            for asking in (one, other):
                asking.ask(f"?after={discovery.index}&wait_ms=30000")
            while discovery.calls < 2:
                await asyncio.sleep(0.001)
            discovery.put("b", 80)
            discovery.put("c", 80)
            assert names(await one.answer()) == names(await other.answer()) == ["b", "c"]
        assert made == [2, 2] and len(discovery._answers) == 1  # made once, told twice
        discovery.stop()

    play(run())


def test_a_watch_without_news_ends_after_its_wait_and_leaves_nothing() -> None:
    async def run() -> None:
        discovery = StandInDiscovery()
        discovery.put("a", 80)
        port = await discovery.start()
        loop = asyncio.get_running_loop()
        async with Asking(port) as one:
            start = loop.time()
            one.ask(f"?after={discovery.index}&wait_ms=120")
            assert names(await one.answer()) == []
            assert 0.1 <= loop.time() - start < 2.0
            one.ask(f"?after={discovery.index}&wait_ms=30000")
            while discovery.calls < 2:
                await asyncio.sleep(0.001)
        while discovery.watching():
            await asyncio.sleep(0.001)
        discovery.put("b", 80)
        await asyncio.sleep(0.01)
        assert not discovery._waiting
        discovery.stop()

    play(run())


def test_calls_written_at_once_are_answered_in_turn() -> None:
    async def run() -> None:
        discovery = StandInDiscovery()
        discovery.put("a", 80)
        async with Asking(await discovery.start()) as one:
            one.ask(f"?after={discovery.index}&wait_ms=50")
            one.ask()
            assert not (await one.answer())["snapshot"]
            assert (await one.answer())["snapshot"]
        discovery.stop()

    play(run())


@pytest.mark.parametrize("waits", [False, True])
def test_it_refuses_and_it_stops_by_closing(waits: bool) -> None:
    async def run() -> None:
        discovery = StandInDiscovery()
        discovery.put("a", 80)
        async with Asking(await discovery.start()) as one:
            if waits:
                one.ask(f"?after={discovery.index}&wait_ms=30000")
                while discovery.calls < 1:
                    await asyncio.sleep(0.001)
                discovery.stop()
            else:
                discovery.refuses = lambda: True
                one.ask()
            with pytest.raises(asyncio.IncompleteReadError):
                await one.answer()
        discovery.stop()

    play(run())


def test_it_comes_back_at_the_same_port() -> None:
    async def run() -> None:
        discovery = StandInDiscovery()
        port = await discovery.start()
        discovery.stop()
        again = StandInDiscovery()
        again.put("a", 80)
        assert await again.start(port) == port
        async with Asking(port) as one:
            one.ask()
            assert names(await one.answer()) == ["a"]
        again.stop()

    play(run())


def test_renumbered_it_tells_all_of_it_only_to_one_that_knows_nothing() -> None:
    async def run() -> None:
        discovery = StandInDiscovery()
        for name in "abc":
            discovery.put(name, 80)
        discovery.renumber()
        async with Asking(await discovery.start()) as one:
            one.ask("?after=0&wait_ms=0")
            told = await one.answer()
            assert told["index"] == 1 and names(told) == ["a", "b", "c"]
            one.ask("?after=9&wait_ms=0")
            assert (await one.answer()) == {"index": 1, "snapshot": False, "endpoints": []}
            discovery.put("b", 80, "DRAINING")
            one.ask("?after=1&wait_ms=0")
            assert names(await one.answer()) == ["b"]
        discovery.stop()

    play(run())
