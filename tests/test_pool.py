"""How many connections are opened ahead: the bounds on any course of events, and over real connections."""

from __future__ import annotations

import asyncio
import math

import pytest
from backend import Server, ok, play
from hypothesis import given
from hypothesis import strategies as st
from peers import Gated, until

from rosechute.load_balancing import How
from rosechute.proxy.core.address import Address
from rosechute.proxy.http1 import upstream as upstream_side
from rosechute.proxy.http1.pool import MEMORY_S, PAUSE_S, Demand, Terms
from rosechute.proxy.http1.upstream import Upstream

REST_S = 0.01
FREE, PRICED = Terms.of({}), Terms.of({"connection": 0.1})
TERMS = st.sampled_from([FREE, PRICED, Terms.of({"handshake": 0.02})])
GAPS = st.lists(st.floats(0.0, 3.0) | st.floats(0.0, 0.005), max_size=60)


def called(gaps, busy_s=0.0) -> tuple[Demand, float]:
    demand, now = Demand(), 100.0
    for gap in gaps:
        now += gap
        demand.called(now)
        demand.answered(busy_s)
    return demand, now


def steady(rate: float, seconds: float = 10.0, busy_s: float = 0.0) -> tuple[Demand, float]:
    return called([1.0 / rate] * int(rate * seconds), busy_s)


# --- pure


@given(GAPS, st.floats(0.0, 5.0), st.floats(0.0, 1.0), TERMS, st.floats(0.0, 10.0))
def test_never_fewer_than_one_nor_more_than_the_terms_allow(gaps, busy_s, rest_s, terms, later):
    demand, now = called(gaps, busy_s)
    assert 1 <= demand.wanted(now + later, rest_s, terms) <= terms.most


@given(GAPS, st.floats(0.0, 5.0), TERMS, st.integers(0, 100))
def test_none_is_opened_to_a_server_that_is_not_up_or_over_the_most_or_after_a_failure(gaps, busy_s, terms, held):
    demand, now = called(gaps, busy_s)
    assert not demand.opens(now, False, held, REST_S, terms)
    if held >= terms.most:
        assert not demand.opens(now, True, held, REST_S, terms)
    demand.failed(now)
    assert not demand.opens(now + PAUSE_S * 0.99, True, held, REST_S, terms)


@given(st.floats(0.01, 3.0), st.integers(1, 60), TERMS)
def test_thin_traffic_opens_none_ahead(rate, number, terms):
    demand, now = Demand(), 100.0
    for _ in range(number):
        now += 1.0 / rate
        demand.called(now)
        assert not demand.opens(now, True, 1, REST_S, terms)


@given(st.integers(1, 3), TERMS)
def test_a_few_calls_at_once_are_no_rate(number, terms):
    demand, now = called([0.0] * number)
    assert not demand.opens(now, True, 1, REST_S, terms)


@given(st.floats(1.0, 900.0), st.floats(0.0, 0.05))
def test_where_connections_cost_no_more_are_wanted_than_where_they_are_free(rate, busy_s):
    demand, now = steady(rate, 3.0, busy_s)
    assert demand.wanted(now, REST_S, PRICED) <= demand.wanted(now, REST_S, FREE)


@given(GAPS, st.floats(0.0, 1.0), st.floats(0.0, 0.1), st.floats(0.0, 5.0))
def test_no_more_are_wanted_as_calls_lie_further_back_and_no_fewer_for_longer_ones(gaps, busy_s, more_s, later):
    demand, now = called(gaps, busy_s)
    wanted = demand.wanted(now, REST_S, FREE)
    assert demand.wanted(now + later, REST_S, FREE) <= wanted <= demand.wanted(now, REST_S + more_s, FREE)


@pytest.mark.parametrize(
    ("rate", "busy_s", "terms", "wanted"),
    [
        (2.0, 0.0, FREE, 1),
        (10.0, 0.0, FREE, 3),
        (66.0, 0.001, FREE, 6),
        (250.0, 0.001, FREE, 12),
        (66.0, 0.001, PRICED, 2),
        (10.0, 0.0, PRICED, 1),
        (5000.0, 0.001, FREE, 32),
        (5000.0, 0.001, PRICED, 8),
    ],
)
def test_so_many_are_wanted(rate, busy_s, terms, wanted):
    demand, now = steady(rate, busy_s=busy_s)
    assert demand.wanted(now, REST_S, terms) == wanted


def test_the_rate_is_a_mean_over_seconds_and_begins_anew_after_a_pause():
    demand, now = steady(100.0)
    assert demand.rate(now) == pytest.approx(100.0, abs=1.5)
    assert demand.rate(now + MEMORY_S) == pytest.approx(100.0 / math.e, abs=1.5)
    demand.called(now + 60.0)
    assert demand.rate(now + 60.0) == 0.0


# --- over real connections


class World:
    """One server, its pool, and calls to it."""

    def __init__(self, port: int, most: int = 100) -> None:
        self.loop = asyncio.get_running_loop()
        self.upstream = Upstream(self.loop, 10**9, 10**10, most)
        self.address = Address("127.0.0.1", port)
        self.upstream.update("s1", self.address, 0, True)
        self.target = self.upstream._targets["s1"]

    async def ask(self, rid: str = "r") -> tuple[How, bytes]:
        done = self.loop.create_future()
        self.upstream.exchange(
            "s1",
            lambda: b"GET / HTTP/1.1\r\nHost: s\r\nx-request-id: %s\r\n\r\n" % rid.encode(),
            15.0,
            lambda how, reply: done.set_result((how, reply.body if reply is not None else b"")),
        ).start()
        return await done

    async def several(self, number: int) -> None:
        for i in range(number):
            assert await self.ask(f"r{i}") == (How.OK, b"r%d" % i)

    def held(self) -> int:
        return self.target.held + self.target.dialling

    def much_called(self) -> None:
        """As if calls had come at a good rate of late."""
        for _ in range(100):
            self.target.demand.called(self.loop.time())


def test_a_few_calls_in_a_row_wait_for_the_rest_and_open_none(monkeypatch):
    monkeypatch.setattr(upstream_side, "REST_S", 0.05)

    async def scene():
        async with Server(ok) as server:
            world = World(server.port)
            begun = world.loop.time()
            await world.several(3)
            assert world.loop.time() - begun >= 0.09 and world.held() == server.connections == 1

    play(scene)


def test_calls_at_a_good_rate_find_one_that_has_rested(monkeypatch):
    """Found: at 264 calls a second one in a hundred waited 6 to 8 ms for its connection to have rested."""
    monkeypatch.setattr(upstream_side, "REST_S", 0.1)

    async def scene():
        async with Server(ok) as server:
            world = World(server.port)
            took = []
            for _ in range(150):
                begun = world.loop.time()
                await world.several(1)
                took.append(world.loop.time() - begun)
                await asyncio.sleep(0.01)  # some 90 a second at the most: 9 are resting in the mean
            # Half of the rest is longer than a busy machine takes for one of these; before, none took less.
            assert sum(t < 0.05 for t in took[50:]) >= 90
            assert 8 <= server.connections <= FREE.most

    play(scene)


def test_a_call_takes_another_that_has_rested(monkeypatch):
    monkeypatch.setattr(upstream_side, "REST_S", 2.5)

    async def scene():
        async with Gated() as server:
            world = World(server.port)
            asking = [asyncio.ensure_future(world.ask()) for _ in range(2)]
            for _ in asking:
                await server.came.acquire()
            for _ in range(3):
                server.let.release()
            await asyncio.gather(*asking)
            rested, resting = world.target.idle
            rested.idle_since -= 3.0
            begun = world.loop.time()
            await world.ask()
            assert world.loop.time() - begun < 2.0
            assert world.target.idle == [resting, rested] and server.connections == 2

    play(scene)


@pytest.mark.plain
def test_no_call_waits_for_one_opened_ahead_that_is_slow_to_come_up(monkeypatch):
    monkeypatch.setattr(upstream_side, "REST_S", 0.1)

    async def scene():
        async with Server(ok) as server:
            world = World(server.port)
            await world.several(1)
            let, connect = asyncio.Event(), world.upstream.connect

            async def slow(address):
                await let.wait()
                return await connect(address)

            monkeypatch.setattr(world.upstream, "connect", slow)
            world.much_called()
            await world.several(2)
            assert server.connections == 1 and world.target.dialling == 1  # one at a time, however long it takes
            let.set()
            await until(lambda: len(world.target.idle) == 2)
            assert world.held() == 2

    play(scene)


def test_late_second_answers_hit_nobody_while_several_are_pooled(monkeypatch):
    monkeypatch.setattr(upstream_side, "REST_S", 0.2)

    async def scene():
        async def twice(talk, call):
            rid = call.headers["x-request-id"].encode()
            await talk.answer(200, rid)
            await asyncio.sleep(0.02)
            await talk.answer(200, rid)

        async with Server(twice) as server:
            world = World(server.port)
            world.much_called()
            found = []
            for _ in range(4):
                found += await asyncio.gather(*(world.ask(f"r{i}") for i in range(8)))
                await asyncio.sleep(0.01)
            assert found == [(How.OK, b"r%d" % (i % 8)) for i in range(32)]
            assert server.connections >= 32  # each was ended by its second answer, and none was used again
            await until(lambda: not any(c.answered for c in world.target.idle))

    play(scene)


def test_none_is_opened_to_a_server_that_drains_and_one_that_comes_up_then_is_closed(monkeypatch):
    monkeypatch.setattr(upstream_side, "REST_S", 0.05)

    async def scene():
        async with Server(ok) as server:
            world = World(server.port)
            await world.several(1)
            world.much_called()
            asking = asyncio.ensure_future(world.ask())
            await until(lambda: world.target.dialling)
            world.upstream.update("s1", world.address, 0, False)
            assert (await asking)[0] is How.MOOT
            await until(lambda: not world.target.dialling and not world.target.held)
            assert not world.target.idle and not world.upstream._open and len(server.calls) == 1

    play(scene)


def test_none_gives_way_to_one_opened_ahead(monkeypatch):
    monkeypatch.setattr(upstream_side, "REST_S", 0.02)

    async def scene():
        async with Server(ok) as server:
            world = World(server.port, most=6)
            world.much_called()
            await world.several(12)
            assert 2 <= server.connections <= 3  # half of those that may be open

    play(scene)


def test_a_full_server_that_accepts_and_closes_gets_no_call_there_and_is_left_alone(monkeypatch):
    """Found in this work's first trial: a call that took one opened ahead at once crossed the close, and was lost."""
    monkeypatch.setattr(upstream_side, "REST_S", 0.05)

    async def scene():
        held, came = [], []

        async def serve(reader, writer):
            came.append(writer)
            if held:
                writer.close()
                return
            held.append(writer)
            while head := await reader.readuntil(b"\r\n\r\n"):
                rid = head.partition(b"x-request-id: ")[2].partition(b"\r\n")[0]
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(rid), rid))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        world = World(server.sockets[0].getsockname()[1])
        await world.several(1)
        world.much_called()
        await world.several(20)
        assert len(came) == 2
        held[0].transport.abort()
        server.close()
        await until(lambda: not world.target.held)

    play(scene)
