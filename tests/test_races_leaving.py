"""A client disconnects and the event that its request waits for occurs while the event loop is blocked for 0.15 s.

Whatever the loop reads first afterwards, no attempt may begin: later than 0.1 s after a disconnect it would violate
the contract. Each kind of wait is tested with a close and a reset, over real connections. `test_races_clients` tests
the same waits with a responsive loop. See docs/races.md.
"""

from __future__ import annotations

import asyncio
import functools
import select
import socket

import pytest
from backend import line, play, settings, sidecar
from peers import NUMBERS, GatedServer, Raw, SlowConnectServer, block_loop, request, until
from samples import file, route
from test_operated import RunningSidecar
from test_races_clients import DISCONNECTS, SERVER_CAPACITY, calls, queue_request, read_available

from rosechute.proxy.http1 import listener, upstream
from rosechute.proxy.http1.client import MAX_PIPELINED, ClientConnection
from rosechute.sidecar.discovery import read_listing

LONG_S = 0.15


@pytest.fixture(autouse=True)
def no_quiet_time(monkeypatch):
    """Make connections usable at once after a response, so that an attempt begins as early as possible."""
    monkeypatch.setattr(upstream, "QUIET_TIME_S", 0.0)


async def open_idle_connections(world, *servers) -> None:
    """Open an idle connection to each server, so that an attempt begins in the turn that decides on it."""
    while not all(server.calls for server in servers):
        for server in servers:
            server.permits.release()
        await (await Raw(world.port).connect()).ask("free")
    for server in servers:
        server.permits, server.arrivals = asyncio.Semaphore(0), asyncio.Semaphore(0)
        server.calls.clear()
        server.conversations.clear()


async def assert_next_request_is_served(world, server) -> None:
    """Check that the next request is served and that no other one was forwarded since."""
    before = len(server.ids())
    for _ in range(100):
        server.permits.release()
    while True:  # the module may refuse some requests
        answer = await (await Raw(world.port).connect()).ask("single_shot", rid=f"next-{next(NUMBERS)}")
        if answer.startswith(b"HTTP/1.1 200"):
            break
    assert [i.partition("-")[0] for i in server.ids()[before:]] == ["next"] and "left" not in server.ids()


def answer_steps(server):
    """Return steps that answer all requests that fill the server."""
    return [functools.partial(server.answer_now, at) for at in range(SERVER_CAPACITY)]


@DISCONNECTS
def test_disconnect_as_a_queued_request_gets_its_turn(how):
    """The server's response was read first, and its slot was given to the request of the disconnected client."""

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await queue_request(world, server, client)
            await block_loop(*answer_steps(server), lambda: client.disconnect(how))
            await until(lambda: not calls(world))
            await assert_next_request_is_served(world, server)

    play(scenario)


@DISCONNECTS
def test_disconnect_while_queued_as_a_server_is_added(how):
    """Timers run before data is read, and so do their effects."""

    async def scenario():
        async with GatedServer() as server, GatedServer() as second, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await queue_request(world, server, client)
            more = {"index": 2, "snapshot": True, "endpoints": [line("s1", server.port), line("s2", second.port)]}
            listing = read_listing(more, world.sidecar._settings)
            loop = asyncio.get_running_loop()
            await block_loop(
                lambda: client.disconnect(how), lambda: loop.call_later(0.01, world.sidecar._on_discovery, listing)
            )
            await until(lambda: world.sidecar._list_version == 2 and not world.sidecar.core.module._held)
            await assert_next_request_is_served(world, second)
            assert "left" not in server.ids()

    play(scenario)


@DISCONNECTS
def test_disconnect_while_queued_as_a_backoff_ends(how):
    raw = settings(
        classes=[
            {"name": k, "onTimeNs": 10**9, "hardLimitNs": 10**9, "repeat": k}
            for k in ("free", "single_shot", "guarded")
        ]
    )

    async def scenario():
        async with GatedServer() as server, GatedServer() as second:
            second.server.close()  # connects are refused until its backoff ends
            async with sidecar(line("s1", server.port), line("s2", second.port), raw=raw) as world:
                core, module = world.sidecar.core, world.sidecar.core.module
                while not module._servers["s2"].retry_at:
                    server.permits.release()
                    await (await Raw(world.port).connect()).ask("free", timeout=1)
                server.permits = asyncio.Semaphore(0)
                client = await Raw(world.port).connect()
                left = module._servers["s2"].retry_at - core.clock()
                await asyncio.sleep(max(0.0, left / 1e9 - 0.2))
                for _ in range(SERVER_CAPACITY + 2):
                    if module._held:
                        break
                    server.filling = [*getattr(server, "filling", []), await Raw(world.port).connect()]
                    await server.filling[-1].send(request("single_shot", timeout=1))
                    await asyncio.sleep(0.01)
                await client.send(request("single_shot", timeout=1, rid="left"))
                await until(lambda: len(calls(world)) == len(server.filling) + 1)
                again = await asyncio.start_server(second._serve, "127.0.0.1", second.port)
                left = module._servers["s2"].retry_at - core.clock()
                await asyncio.sleep(max(0.0, left / 1e9 - 0.02))
                await block_loop(lambda: client.disconnect(how))
                await asyncio.sleep(0.1)
                assert "left" not in server.ids() + second.ids()
                again.close()

    play(scenario)


@DISCONNECTS
def test_disconnect_as_a_route_limit_frees_a_slot(how, tmp_path):
    """The event was read first, and the request of the disconnected client got its turn."""

    async def scenario():
        path = tmp_path / "routes.toml"
        path.write_text(file(route(path='"/single_shot/*"', max_in_flight=1, max_waiting=1)))
        async with GatedServer() as server, RunningSidecar(path, line("s1", server.port)) as world:
            first, client = [await Raw(world.port).connect() for _ in range(2)]
            await first.send(request("single_shot/1", rid="first"))
            await server.arrivals.acquire()
            await client.send(request("single_shot/1", rid="left"))
            await until(lambda: any(c.waits_for_limits for c in calls(world).values()))
            await block_loop(lambda: server.answer_now(0), lambda: client.disconnect(how))
            await until(lambda: not calls(world))
            await assert_next_request_is_served(world, server)

    play(scenario)


@DISCONNECTS
def test_disconnect_as_a_load_probe_is_answered(how):
    """The event was read first, and the request of the disconnected client got its turn."""
    raw = settings(reporting={"how": "probe"}, limits={"mayProbe": True})

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port), raw=raw) as world:
            report = b'{"inflight": 0, "queue": 0}'
            client = await Raw(world.port).connect()
            await client.send(request("single_shot"))
            await server.arrivals.acquire()
            server.answer_now(0, body=report)
            await server.arrivals.acquire()
            server.answer_now(1)
            await client.answer()
            await client.send(request("single_shot", rid="left"))
            await server.arrivals.acquire()
            assert [call.target for call in server.calls] == ["/-/load", "/single_shot", "/-/load"]
            await block_loop(lambda: server.answer_now(2, body=report), lambda: client.disconnect(how))
            await until(lambda: not calls(world))
            assert "left" not in server.ids()

    play(scenario)


@DISCONNECTS
def test_disconnect_as_the_first_attempt_fails(how):
    """The end of the first attempt was read before the disconnect, and the second attempt was sent."""

    async def scenario():
        async with (
            GatedServer() as one,
            GatedServer() as two,
            sidecar(line("s1", one.port), line("s2", two.port)) as world,
        ):
            await open_idle_connections(world, one, two)
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="left"))
            await until(lambda: one.calls or two.calls)
            first = one if one.calls else two
            await block_loop(lambda: first.answer_now(0, 503, "X-Not-Processed: 1"), lambda: client.disconnect(how))
            await until(lambda: not calls(world))
            await asyncio.sleep(0.05)
            assert one.ids() + two.ids() == ["left"]

    play(scenario)


@DISCONNECTS
@pytest.mark.parametrize("size", [0, 2 << 20])
def test_disconnect_as_the_server_connection_opens(how, size):
    """The open connection was noticed before the disconnect. With a body too long to buffer, the client's connection
    is not read at all.
    """

    async def scenario():
        slow = SlowConnectServer()
        async with sidecar(line("s1", slow.port), memory_mb=32) as world:
            client = await Raw(world.port).connect()
            # The data fits into the buffers; otherwise the client's kernel would send the close only after the rest.
            await client.send(request("single_shot", body=b"x" * size)[: 300 << 10])
            await until(lambda: world.sidecar._upstream._opening)
            accepted = []
            await block_loop(lambda: accepted.append(slow.accept_now()), lambda: client.disconnect(how))
            await until(lambda: world.sidecar._upstream._connections and not calls(world))
            assert read_available(accepted[0]) == b""
            accepted[0].close()
        slow.close()

    play(scenario)


@DISCONNECTS
def test_disconnect_as_the_quiet_time_ends(how, monkeypatch):
    """The timer ran before the disconnect was read."""
    monkeypatch.setattr(upstream, "QUIET_TIME_S", 0.1)

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            server.permits.release()
            client = await Raw(world.port).connect()
            assert (await client.ask("single_shot", rid="first")).startswith(b"HTTP/1.1 200")
            await client.send(request("single_shot", rid="left"))
            await until(lambda: calls(world))
            assert server.ids() == ["first"]
            await block_loop(lambda: client.disconnect(how), seconds=0.25)
            await until(lambda: not calls(world))
            await assert_next_request_is_served(world, server)

    play(scenario)


@DISCONNECTS
def test_disconnect_as_a_second_copy_is_due(how, tmp_path):
    """The timer ran before the disconnect was read."""

    async def scenario():
        path = tmp_path / "routes.toml"
        path.write_text(file(route(path='"/free"', class_='"free"', second_copy_after='"300ms"', attempts=2)))
        async with (
            GatedServer() as one,
            GatedServer() as two,
            RunningSidecar(path, line("s1", one.port), line("s2", two.port)) as world,
        ):
            await open_idle_connections(world, one, two)
            client = await Raw(world.port).connect()
            await client.send(request("free", rid="left"))
            await until(lambda: one.ids() + two.ids())
            await block_loop(lambda: client.disconnect(how), seconds=0.45)
            await until(lambda: all(c.is_over for c in calls(world).values()))
            await asyncio.sleep(0.05)
            assert one.ids() + two.ids() == ["left"]

    play(scenario)


@DISCONNECTS
def test_disconnect_while_reading_is_paused(how, monkeypatch):
    """Its turn came before the next poll of paused connections, which may be late."""
    monkeypatch.setattr(listener, "DISCONNECT_POLL_S", 60.0)

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await queue_request(world, server, client, b"".join(request("single_shot") for _ in range(40)))
            await until(lambda: any(c._paused for c in world.sidecar._listener.connections))
            client.disconnect(how)
            await asyncio.sleep(LONG_S)
            await block_loop(*answer_steps(server), seconds=0.0)
            await until(lambda: not calls(world))
            await assert_next_request_is_served(world, server)

    play(scenario)


@DISCONNECTS
@pytest.mark.parametrize("answered", [1, 2, MAX_PIPELINED + 1])
def test_disconnect_with_pipelined_requests(how, answered, monkeypatch):
    """When a response was written, the next request began, including requests that were parsed only then."""
    monkeypatch.setattr(listener, "DISCONNECT_POLL_S", 60.0)

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(b"".join(request("single_shot", rid=f"q{i}") for i in range(40)))
            for _ in range(answered - 1):
                await server.arrivals.acquire()
                server.permits.release()
                assert await client.answer()  # with unread data, its close would be a reset
            await until(lambda: len(server.calls) == answered)
            client.disconnect(how)
            await asyncio.sleep(LONG_S)
            server.answer_now(answered - 1)
            await until(lambda: not calls(world))
            await assert_next_request_is_served(world, server)

    play(scenario)


@DISCONNECTS
@pytest.mark.parametrize("asked", [False, True])
def test_disconnect_as_its_request_is_read(how, asked):
    """A request and the disconnect both arrived while the loop was blocked, and the request was forwarded."""

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            await open_idle_connections(world, server)
            client = await Raw(world.port).connect()
            await until(lambda: world.sidecar._listener.connections)
            if asked:
                server.permits.release()
                await client.ask("single_shot")
            ask = request("single_shot", rid="left")
            await block_loop(lambda: client.sock.send(ask), lambda: client.disconnect(how))
            await until(lambda: not world.sidecar._listener.connections)
            await assert_next_request_is_served(world, server)

    play(scenario)


@DISCONNECTS
def test_disconnect_in_the_listen_queue(how):
    """At the connection limit, a connection waits unread; when it was accepted, its request was forwarded."""

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            await open_idle_connections(world, server)
            sidecar_listener = world.sidecar._listener
            most = sidecar_listener.max_connections
            sidecar_listener.resize(0, 0)
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="left"))
            client.disconnect(how)
            await asyncio.sleep(LONG_S)
            sidecar_listener.resize(most, most)
            await assert_next_request_is_served(world, server)

    play(scenario)


def test_connected_client_is_served_although_the_loop_lags():
    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await until(lambda: world.sidecar._listener.connections)
            server.permits.release()
            await block_loop(lambda: client.sock.send(request("single_shot", rid="stays")))
            assert world.sidecar.core.is_behind()
            await until(lambda: server.ids() == ["stays"])
            assert (await client.answer()).startswith(b"HTTP/1.1 200")

    play(scenario)


@pytest.mark.plain  # a compiled method can't be replaced
def test_disconnect_poll_is_skipped_for_requests_that_did_not_wait(monkeypatch):
    """The check is a system call, which is too expensive for each request."""
    looks = []
    look = ClientConnection.check_disconnected
    monkeypatch.setattr(ClientConnection, "check_disconnected", lambda self: (looks.append(1), look(self))[1])

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            for _ in range(100):
                server.permits.release()
                assert (await client.ask("single_shot")).startswith(b"HTTP/1.1 200")
            assert 1 <= len(looks) < 20  # for the first request, and after long turns on a busy machine

    play(scenario)


def test_poll_reports_hangup_behind_unread_bytes():
    """The platform's behavior that all of this relies on: the kernel reports a hangup before the data is read."""
    listening = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listening.getsockname())
    accepted = listening.accept()[0]
    poll = select.poll()
    poll.register(accepted.fileno(), select.POLLRDHUP)
    client.send(b"x" * 1000)
    assert not poll.poll(0)
    client.close()
    assert poll.poll(1000)
    accepted.close()
    listening.close()
