"""Number of connections that are opened ahead of calls: properties, and behavior over real connections."""

from __future__ import annotations

import asyncio
import math

import pytest
from backend import Server, ok, play
from hypothesis import given
from hypothesis import strategies as st
from peers import GatedServer, until

from rosechute.load_balancing import How
from rosechute.proxy.core.address import Address
from rosechute.proxy.http1 import upstream as upstream_side
from rosechute.proxy.http1.pool import FAILURE_PAUSE_S, RATE_TIME_CONSTANT_S, Demand, PreconnectTerms
from rosechute.proxy.http1.upstream import Upstream

QUIET_TIME_S = 0.01
FREE, PRICED = PreconnectTerms.of({}), PreconnectTerms.of({"connection": 0.1})
TERMS = st.sampled_from([FREE, PRICED, PreconnectTerms.of({"handshake": 0.02})])
GAPS = st.lists(st.floats(0.0, 3.0) | st.floats(0.0, 0.005), max_size=60)


def demand_after_calls(gaps, busy_s=0.0) -> tuple[Demand, float]:
    demand, now = Demand(), 100.0
    for gap in gaps:
        now += gap
        demand.record_call(now)
        demand.record_duration(busy_s)
    return demand, now


def steady_demand(rate: float, seconds: float = 10.0, busy_s: float = 0.0) -> tuple[Demand, float]:
    return demand_after_calls([1.0 / rate] * int(rate * seconds), busy_s)


# --- pure


@given(GAPS, st.floats(0.0, 5.0), st.floats(0.0, 1.0), TERMS, st.floats(0.0, 10.0))
def test_wanted_connections_stay_within_bounds(gaps, busy_s, quiet_s, terms, later):
    demand, now = demand_after_calls(gaps, busy_s)
    assert 1 <= demand.wanted_connections(now + later, quiet_s, terms) <= terms.max_ahead


@given(GAPS, st.floats(0.0, 5.0), TERMS, st.integers(0, 100))
def test_no_preconnect_if_down_or_at_the_limit_or_after_a_failure(gaps, busy_s, terms, open_count):
    demand, now = demand_after_calls(gaps, busy_s)
    assert not demand.should_open(now, False, open_count, QUIET_TIME_S, terms)
    if open_count >= terms.max_ahead:
        assert not demand.should_open(now, True, open_count, QUIET_TIME_S, terms)
    demand.record_failure(now)
    assert not demand.should_open(now + FAILURE_PAUSE_S * 0.99, True, open_count, QUIET_TIME_S, terms)


@given(st.floats(0.01, 3.0), st.integers(1, 60), TERMS)
def test_no_preconnect_at_low_traffic(rate, number, terms):
    demand, now = Demand(), 100.0
    for _ in range(number):
        now += 1.0 / rate
        demand.record_call(now)
        assert not demand.should_open(now, True, 1, QUIET_TIME_S, terms)


@given(st.integers(1, 3), TERMS)
def test_no_preconnect_after_a_few_simultaneous_calls(number, terms):
    demand, now = demand_after_calls([0.0] * number)
    assert not demand.should_open(now, True, 1, QUIET_TIME_S, terms)


@given(st.floats(1.0, 900.0), st.floats(0.0, 0.05))
def test_priced_connections_are_never_wanted_more_than_free_ones(rate, busy_s):
    demand, now = steady_demand(rate, 3.0, busy_s)
    assert demand.wanted_connections(now, QUIET_TIME_S, PRICED) <= demand.wanted_connections(now, QUIET_TIME_S, FREE)


@given(GAPS, st.floats(0.0, 1.0), st.floats(0.0, 0.1), st.floats(0.0, 5.0))
def test_wanted_connections_fall_with_age_and_grow_with_duration(gaps, busy_s, more_s, later):
    demand, now = demand_after_calls(gaps, busy_s)
    wanted = demand.wanted_connections(now, QUIET_TIME_S, FREE)
    assert (
        demand.wanted_connections(now + later, QUIET_TIME_S, FREE)
        <= wanted
        <= demand.wanted_connections(now, QUIET_TIME_S + more_s, FREE)
    )


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
def test_wanted_connections_by_rate_and_terms(rate, busy_s, terms, wanted):
    demand, now = steady_demand(rate, busy_s=busy_s)
    assert demand.wanted_connections(now, QUIET_TIME_S, terms) == wanted


def test_rate_decays_and_restarts_after_a_lapse():
    demand, now = steady_demand(100.0)
    assert demand.rate(now) == pytest.approx(100.0, abs=1.5)
    assert demand.rate(now + RATE_TIME_CONSTANT_S) == pytest.approx(100.0 / math.e, abs=1.5)
    demand.record_call(now + 60.0)
    assert demand.rate(now + 60.0) == 0.0


# --- over real connections


class PoolEnvironment:
    """One server, its connection pool, and calls to it."""

    def __init__(self, port: int, max_connections: int = 100) -> None:
        self.loop = asyncio.get_running_loop()
        self.upstream = Upstream(self.loop, 10**9, 10**10, max_connections)
        self.address = Address("127.0.0.1", port)
        self.upstream.update("s1", self.address, 0, True)
        self.pool = self.upstream._pools["s1"]

    async def ask(self, rid: str = "r") -> tuple[How, bytes]:
        done = self.loop.create_future()
        self.upstream.exchange(
            "s1",
            lambda: b"GET / HTTP/1.1\r\nHost: s\r\nx-request-id: %s\r\n\r\n" % rid.encode(),
            15.0,
            lambda how, reply: done.set_result((how, reply.body if reply is not None else b"")),
        ).start()
        return await done

    async def call_sequentially(self, number: int) -> None:
        for i in range(number):
            assert await self.ask(f"r{i}") == (How.OK, b"r%d" % i)

    def open_or_opening(self) -> int:
        return self.pool.open_count + self.pool.opening

    def simulate_high_rate(self) -> None:
        """Record calls as of a high recent rate."""
        for _ in range(100):
            self.pool.demand.record_call(self.loop.time())


def test_sequential_calls_wait_for_the_quiet_time_and_open_no_connection(monkeypatch):
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 0.05)

    async def scenario():
        async with Server(ok) as server:
            world = PoolEnvironment(server.port)
            begun = world.loop.time()
            await world.call_sequentially(3)
            assert world.loop.time() - begun >= 0.09 and world.open_or_opening() == server.connections == 1

    play(scenario)


def test_calls_at_a_high_rate_find_a_connection_past_its_quiet_time(monkeypatch):
    """At 264 calls per second, one in a hundred waited 6 to 8 ms for the quiet time of its connection."""
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 0.1)

    async def scenario():
        async with Server(ok) as server:
            world = PoolEnvironment(server.port)
            durations_s = []
            for _ in range(150):
                begun = world.loop.time()
                await world.call_sequentially(1)
                durations_s.append(world.loop.time() - begun)
                await asyncio.sleep(0.01)  # at most 90 calls per second: 9 connections in their quiet time on average
            # Half of the quiet time is longer than a call takes on a busy machine. With the fault, none took less.
            assert sum(t < 0.05 for t in durations_s[50:]) >= 90
            assert 8 <= server.connections <= FREE.max_ahead

    play(scenario)


def test_call_prefers_a_connection_past_its_quiet_time(monkeypatch):
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 2.5)

    async def scenario():
        async with GatedServer() as server:
            world = PoolEnvironment(server.port)
            asking = [asyncio.ensure_future(world.ask()) for _ in range(2)]
            for _ in asking:
                await server.arrivals.acquire()
            for _ in range(3):
                server.permits.release()
            await asyncio.gather(*asking)
            rested, resting = world.pool.idle
            rested.idle_since -= 3.0
            begun = world.loop.time()
            await world.ask()
            assert world.loop.time() - begun < 2.0
            assert world.pool.idle == [resting, rested] and server.connections == 2

    play(scenario)


@pytest.mark.plain
def test_no_call_waits_for_a_slow_preconnect(monkeypatch):
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 0.1)

    async def scenario():
        async with Server(ok) as server:
            world = PoolEnvironment(server.port)
            await world.call_sequentially(1)
            permitted, connect = asyncio.Event(), world.upstream.connect

            async def slow(address):
                await permitted.wait()
                return await connect(address)

            monkeypatch.setattr(world.upstream, "connect", slow)
            world.simulate_high_rate()
            await world.call_sequentially(2)
            assert server.connections == 1 and world.pool.opening == 1  # only one is opened at a time
            permitted.set()
            await until(lambda: len(world.pool.idle) == 2)
            assert world.open_or_opening() == 2

    play(scenario)


def test_late_duplicate_responses_reach_no_other_call(monkeypatch):
    # A pause of the test process between a response and its duplicate must not use up the quiet time.
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 1.0)

    async def scenario():
        async def twice(conversation, call):
            rid = call.headers["x-request-id"].encode()
            await conversation.answer(200, rid)
            await asyncio.sleep(0.02)
            await conversation.answer(200, rid)

        async with Server(twice) as server:
            world = PoolEnvironment(server.port)
            world.simulate_high_rate()
            found = []
            for _ in range(4):
                found += await asyncio.gather(*(world.ask(f"r{i}") for i in range(8)))
                await asyncio.sleep(0.01)
            assert found == [(How.OK, b"r%d" % (i % 8)) for i in range(32)]
            assert server.connections >= 32  # each was closed because of its second response, and none was reused
            await until(lambda: not any(c.answered for c in world.pool.idle))

    play(scenario)


def test_no_preconnect_to_a_draining_server_and_one_under_way_is_closed(monkeypatch):
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 0.05)

    async def scenario():
        async with Server(ok) as server:
            world = PoolEnvironment(server.port)
            await world.call_sequentially(1)
            world.simulate_high_rate()
            asking = asyncio.ensure_future(world.ask())
            await until(lambda: world.pool.opening)
            world.upstream.update("s1", world.address, 0, False)
            assert (await asking)[0] is How.MOOT
            await until(lambda: not world.pool.opening and not world.pool.open_count)
            assert not world.pool.idle and not world.upstream._connections and len(server.calls) == 1

    play(scenario)


def test_preconnect_evicts_no_connection(monkeypatch):
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 0.02)

    async def scenario():
        async with Server(ok) as server:
            world = PoolEnvironment(server.port, max_connections=6)
            world.simulate_high_rate()
            await world.call_sequentially(12)
            assert 2 <= server.connections <= 3  # half of the limit

    play(scenario)


def test_preconnect_pauses_for_a_server_that_accepts_and_closes(monkeypatch):
    """A call that used a preconnected connection at once crossed the server's close, and was lost."""
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 0.05)

    async def scenario():
        served, accepted = [], []

        async def serve(reader, writer):
            accepted.append(writer)
            if served:
                writer.close()
                return
            served.append(writer)
            while head := await reader.readuntil(b"\r\n\r\n"):
                rid = head.partition(b"x-request-id: ")[2].partition(b"\r\n")[0]
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(rid), rid))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        world = PoolEnvironment(server.sockets[0].getsockname()[1])
        await world.call_sequentially(1)
        world.simulate_high_rate()
        await world.call_sequentially(20)
        assert len(accepted) == 2
        served[0].transport.abort()
        server.close()
        await until(lambda: not world.pool.open_count)

    play(scenario)
