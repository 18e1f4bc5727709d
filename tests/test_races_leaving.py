"""A client leaves in a turn of the loop that takes 0.15 s, and what its request waits for comes in the same turn.

Whatever the loop reads first afterwards, no attempt begins: over 0.1 s after a close it would be a break. One test
for each wait, by a close and by a reset, over real connections; `test_races_clients` has the same waits with a loop
at leisure. See docs/races.md.
"""

from __future__ import annotations

import asyncio
import functools
import select
import socket

import pytest
from backend import line, play, settings, sidecar
from peers import NUMBERS, Gated, Raw, Slow, long_turn, request, until
from samples import file, route
from test_operated import Running
from test_races_clients import FULL, WAYS, calls, held, unread

from rosechute.proxy.http1 import listener, upstream
from rosechute.proxy.http1.client import AHEAD, ClientConnection
from rosechute.sidecar.discovery import read_listing

LONG_S = 0.15


@pytest.fixture(autouse=True)
def at_once(monkeypatch):
    """Connections are of use at once after an answer: the shortest way from what is waited for to the first byte."""
    monkeypatch.setattr(upstream, "REST_S", 0.0)


async def warmed(world, *servers) -> None:
    """Each of these has an idle connection, so that an attempt begins in the turn that decides on it."""
    while not all(server.calls for server in servers):
        for server in servers:
            server.let.release()
        await (await Raw(world.port).connect()).ask("free")
    for server in servers:
        server.let, server.came = asyncio.Semaphore(0), asyncio.Semaphore(0)
        server.calls.clear()
        server.talks.clear()


async def serves_on(world, server) -> None:
    """Whoever comes next is served, and nobody in between was sent on."""
    before = len(server.ids())
    for _ in range(100):
        server.let.release()
    while True:  # the module may have reason to refuse some
        answer = await (await Raw(world.port).connect()).ask("single_shot", rid=f"next-{next(NUMBERS)}")
        if answer.startswith(b"HTTP/1.1 200"):
            break
    assert [i.partition("-")[0] for i in server.ids()[before:]] == ["next"] and "left" not in server.ids()


def all_answered(server):
    """Steps that answer all that fills the server."""
    return [functools.partial(server.answer_now, at) for at in range(FULL)]


@WAYS
def test_in_order(how):
    """Found: the server's answer was read first, and the place that it freed was given to the one who had left."""

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await held(world, server, client)
            await long_turn(*all_answered(server), lambda: client.leave(how))
            await until(lambda: not calls(world))
            await serves_on(world, server)

    play(scene)


@WAYS
def test_in_order_as_the_list_names_another_server(how):
    """Found: timers go before what was read, and so does what they bring about."""

    async def scene():
        async with Gated() as server, Gated() as second, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await held(world, server, client)
            more = {"index": 2, "snapshot": True, "endpoints": [line("s1", server.port), line("s2", second.port)]}
            told = read_listing(more, world.sidecar._settings)
            loop = asyncio.get_running_loop()
            await long_turn(lambda: client.leave(how), lambda: loop.call_later(0.01, world.sidecar._told, told))
            await until(lambda: world.sidecar._index == 2 and not world.sidecar.core.module._held)
            await serves_on(world, second)
            assert "left" not in server.ids()

    play(scene)


@WAYS
def test_in_order_as_a_servers_backoff_ends(how):
    raw = settings(
        classes=[
            {"name": k, "onTimeNs": 10**9, "hardLimitNs": 10**9, "repeat": k}
            for k in ("free", "single_shot", "guarded")
        ]
    )

    async def scene():
        async with Gated() as server, Gated() as second:
            second.server.close()  # nobody listens there, until its backoff ends
            async with sidecar(line("s1", server.port), line("s2", second.port), raw=raw) as world:
                core, module = world.sidecar.core, world.sidecar.core.module
                while not module._servers["s2"].retry_at:
                    server.let.release()
                    await (await Raw(world.port).connect()).ask("free", timeout=1)
                server.let = asyncio.Semaphore(0)
                client = await Raw(world.port).connect()
                left = module._servers["s2"].retry_at - core.clock()
                await asyncio.sleep(max(0.0, left / 1e9 - 0.2))
                for _ in range(FULL + 2):
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
                await long_turn(lambda: client.leave(how))
                await asyncio.sleep(0.1)
                assert "left" not in server.ids() + second.ids()
                again.close()

    play(scene)


@WAYS
def test_for_a_place_of_its_route(how, tmp_path):
    """Found, as in order."""

    async def scene():
        path = tmp_path / "routes.toml"
        path.write_text(file(route(path='"/single_shot/*"', max_in_flight=1, max_waiting=1)))
        async with Gated() as server, Running(path, line("s1", server.port)) as world:
            first, client = [await Raw(world.port).connect() for _ in range(2)]
            await first.send(request("single_shot/1", rid="first"))
            await server.came.acquire()
            await client.send(request("single_shot/1", rid="left"))
            await until(lambda: any(c.waits for c in calls(world).values()))
            await long_turn(lambda: server.answer_now(0), lambda: client.leave(how))
            await until(lambda: not calls(world))
            await serves_on(world, server)

    play(scene)


@WAYS
def test_while_servers_are_asked_for_their_load(how):
    """Found, as in order."""
    raw = settings(reporting={"how": "probe"}, limits={"mayProbe": True})

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port), raw=raw) as world:
            report = b'{"inflight": 0, "queue": 0}'
            client = await Raw(world.port).connect()
            await client.send(request("single_shot"))
            await server.came.acquire()
            server.answer_now(0, body=report)
            await server.came.acquire()
            server.answer_now(1)
            await client.answer()
            await client.send(request("single_shot", rid="left"))
            await server.came.acquire()
            assert [call.target for call in server.calls] == ["/-/load", "/single_shot", "/-/load"]
            await long_turn(lambda: server.answer_now(2, body=report), lambda: client.leave(how))
            await until(lambda: not calls(world))
            assert "left" not in server.ids()

    play(scene)


@WAYS
def test_between_two_attempts(how):
    """Found: what ended the first attempt was read before its client's end, and the second went out."""

    async def scene():
        async with Gated() as one, Gated() as two, sidecar(line("s1", one.port), line("s2", two.port)) as world:
            await warmed(world, one, two)
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="left"))
            await until(lambda: one.calls or two.calls)
            first = one if one.calls else two
            await long_turn(lambda: first.answer_now(0, 503, "X-Not-Processed: 1"), lambda: client.leave(how))
            await until(lambda: not calls(world))
            await asyncio.sleep(0.05)
            assert one.ids() + two.ids() == ["left"]

    play(scene)


@WAYS
@pytest.mark.parametrize("size", [0, 2 << 20])
def test_while_its_connection_comes_up(how, size):
    """Found: the connection's coming up was read before the client's end. With a body too long to be held, the client
    is not read from at all."""

    async def scene():
        slow = Slow()
        async with sidecar(line("s1", slow.port), memory_mb=32) as world:
            client = await Raw(world.port).connect()
            # All that it sends fits, or its end would stand behind it in its own machine, where nobody sees it.
            await client.send(request("single_shot", body=b"x" * size)[: 300 << 10])
            await until(lambda: world.sidecar._upstream._dialling)
            made = []
            await long_turn(lambda: made.append(slow.open_now()), lambda: client.leave(how))
            await until(lambda: world.sidecar._upstream._open and not calls(world))
            assert unread(made[0]) == b""
            made[0].close()
        slow.close()

    play(scene)


@WAYS
def test_while_its_connection_rests(how, monkeypatch):
    """Found: the timer went before what was read."""
    monkeypatch.setattr(upstream, "REST_S", 0.1)

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            server.let.release()
            client = await Raw(world.port).connect()
            assert (await client.ask("single_shot", rid="first")).startswith(b"HTTP/1.1 200")
            await client.send(request("single_shot", rid="left"))
            await until(lambda: calls(world))
            assert server.ids() == ["first"]
            await long_turn(lambda: client.leave(how), seconds=0.25)
            await until(lambda: not calls(world))
            await serves_on(world, server)

    play(scene)


@WAYS
def test_as_a_second_copy_is_due(how, tmp_path):
    """Found: the timer went before what was read."""

    async def scene():
        path = tmp_path / "routes.toml"
        path.write_text(file(route(path='"/free"', class_='"free"', second_copy_after='"300ms"', attempts=2)))
        async with Gated() as one, Gated() as two, Running(path, line("s1", one.port), line("s2", two.port)) as world:
            await warmed(world, one, two)
            client = await Raw(world.port).connect()
            await client.send(request("free", rid="left"))
            await until(lambda: one.ids() + two.ids())
            await long_turn(lambda: client.leave(how), seconds=0.45)
            await until(lambda: all(c.over for c in calls(world).values()))
            await asyncio.sleep(0.05)
            assert one.ids() + two.ids() == ["left"]

    play(scene)


@WAYS
def test_not_read_from(how, monkeypatch):
    """Found: its place came before the next look at those that are not read from, which may be late."""
    monkeypatch.setattr(listener, "LOOK_S", 60.0)

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await held(world, server, client, b"".join(request("single_shot") for _ in range(40)))
            await until(lambda: any(c._paused for c in world.sidecar._listener.connections))
            client.leave(how)
            await asyncio.sleep(LONG_S)
            await long_turn(*all_answered(server), seconds=0.0)
            await until(lambda: not calls(world))
            await serves_on(world, server)

    play(scene)


@WAYS
@pytest.mark.parametrize("answered", [1, 2, AHEAD + 1])
def test_with_more_queued(how, answered, monkeypatch):
    """Found: as one answer was written the next request began, the last of them parsed as if they were news."""
    monkeypatch.setattr(listener, "LOOK_S", 60.0)

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(b"".join(request("single_shot", rid=f"q{i}") for i in range(40)))
            for _ in range(answered - 1):
                await server.came.acquire()
                server.let.release()
                assert await client.answer()  # or its close would be a reset
            await until(lambda: len(server.calls) == answered)
            client.leave(how)
            await asyncio.sleep(LONG_S)
            server.answer_now(answered - 1)
            await until(lambda: not calls(world))
            await serves_on(world, server)

    play(scene)


@WAYS
@pytest.mark.parametrize("asked", [False, True])
def test_as_its_request_is_read(how, asked):
    """Found: a request and its client's end, both come while the loop stood still, and the request was sent on."""

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            await warmed(world, server)
            client = await Raw(world.port).connect()
            await until(lambda: world.sidecar._listener.connections)
            if asked:
                server.let.release()
                await client.ask("single_shot")
            ask = request("single_shot", rid="left")
            await long_turn(lambda: client.sock.send(ask), lambda: client.leave(how))
            await until(lambda: not world.sidecar._listener.connections)
            await serves_on(world, server)

    play(scene)


@WAYS
def test_in_the_listen_queue(how):
    """Found: with no room left for it a connection waits unread; let in at last, its request was sent on."""

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            await warmed(world, server)
            held_by = world.sidecar._listener
            most = held_by.most
            held_by.resize(0, 0)
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="left"))
            client.leave(how)
            await asyncio.sleep(LONG_S)
            held_by.resize(most, most)
            await serves_on(world, server)

    play(scene)


def test_one_that_is_there_is_served_though_the_loop_is_behind():
    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await until(lambda: world.sidecar._listener.connections)
            server.let.release()
            await long_turn(lambda: client.sock.send(request("single_shot", rid="stays")))
            assert world.sidecar.core.behind()
            await until(lambda: server.ids() == ["stays"])
            assert (await client.answer()).startswith(b"HTTP/1.1 200")

    play(scene)


@pytest.mark.plain  # a compiled method can't be exchanged
def test_the_kernel_is_not_asked_where_nothing_has_waited(monkeypatch):
    """A look is a call to the kernel, too dear for each request."""
    looks = []
    look = ClientConnection.look
    monkeypatch.setattr(ClientConnection, "look", lambda self: (looks.append(1), look(self))[1])

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            for _ in range(100):
                server.let.release()
                assert (await client.ask("single_shot")).startswith(b"HTTP/1.1 200")
            assert 1 <= len(looks) < 20  # the first, and after turns that take long, on a machine short of cores

    play(scene)


def test_an_end_shows_behind_bytes_that_are_not_read():
    """What all of this rests on, and the platform's to keep: a peer's end is told of ahead of its bytes."""
    listening = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listening.getsockname())
    made = listening.accept()[0]
    poll = select.poll()
    poll.register(made.fileno(), select.POLLRDHUP)
    client.send(b"x" * 1000)
    assert not poll.poll(0)
    client.close()
    assert poll.poll(1000)
    made.close()
    listening.close()
