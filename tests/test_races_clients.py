"""A client leaves while its request waits: nothing of it is sent on, and all that it held is free at once.

For each kind of wait, by a close and by a reset, over real connections; see docs/races.md.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from backend import Server, line, ok, play, settings, sidecar
from peers import Gated, Raw, Slow, request, until
from samples import file, route
from test_operated import Running

from rosechute.proxy.http1 import listener
from rosechute.sidecar.discovery import read_listing

WAYS = pytest.mark.parametrize("how", ["close", "reset"])
SENDABLE_S = 0.3  # from then on nothing of a request whose client has left may be sent


def calls(world):
    return world.sidecar.core.calls


def unread(sock) -> bytes:
    """What has come on a connection, which by now may have been written to."""
    sock.setblocking(False)
    try:
        return sock.recv(65536)
    except BlockingIOError:
        return b""


@WAYS
@pytest.mark.parametrize("cls", ["free", "single_shot"])
def test_one_that_leaves_while_its_connection_comes_up(how, cls):
    """Found: the attempt stood, and was written a second later, when its connection was up at last."""

    async def scene():
        slow = Slow()
        async with sidecar(line("s1", slow.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(request(cls))
            await until(lambda: world.sidecar._upstream._dialling)
            client.leave(how)
            await until(lambda: not calls(world))
            assert not world.sidecar.core.module._attempts
            made = await slow.open_up()
            await until(lambda: world.sidecar._upstream._open)
            assert unread(made) == b""
            assert sum(len(t.idle) for t in world.sidecar._upstream._targets.values()) == 1  # paid for, and kept
            made.close()
        slow.close()

    play(scene)


@WAYS
def test_one_that_leaves_while_a_body_apart_waits_for_its_connection(how):
    """Found: with the body too long to be held reads are paused, so its end showed nowhere."""

    async def scene():
        slow = Slow()
        async with sidecar(line("s1", slow.port), memory_mb=32) as world:
            client = await Raw(world.port).connect()
            # All that it sends fits, or its end would stand behind it in its own machine, where nobody sees it.
            await client.send(request("single_shot", body=b"x" * (2 << 20))[: 300 << 10])
            await until(lambda: any(c._paused for c in world.sidecar._listener.connections))
            await until(lambda: world.sidecar._upstream._dialling)
            client.leave(how)
            await until(lambda: not calls(world))
            made = await slow.open_up()
            await until(lambda: not world.sidecar._upstream._dialling)
            assert unread(made) == b""
            made.close()
        slow.close()

    play(scene)


FULL = 3  # a server's first budget, and the one that passes as a trial where all are at their budgets


async def held(world, server, client, more: bytes = b"") -> None:
    """Fill the only server's budget, then have a request of this client's wait in order."""
    module = world.sidecar.core.module
    server.filling = [await Raw(world.port).connect() for _ in range(FULL)]  # else they are collected, and leave
    for filling in server.filling:
        await filling.send(request("single_shot"))
        await server.came.acquire()
    await client.send(request("single_shot", rid="left") + more)
    await until(lambda: module._held)


@WAYS
def test_one_that_leaves_while_it_waits_in_order(how):
    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await held(world, server, client)
            client.leave(how)
            await until(lambda: not world.sidecar.core.module._held)
            for _ in range(FULL + 1):
                server.let.release()
            assert (await (await world.client()).ask("single_shot", rid="next"))[0] == 200
            assert "left" not in [call.headers["x-request-id"] for call in server.calls]

    play(scene)


@WAYS
@pytest.mark.parametrize("queued", [1, 40])
def test_one_that_leaves_behind_further_bytes(how, queued):
    """Found: with as many requests read ahead as may be, reads are paused, and its end showed nowhere: it was sent on
    when a place was free."""

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await held(world, server, client, b"".join(request("single_shot") for _ in range(queued)))
            paused = lambda: any(c._paused for c in world.sidecar._listener.connections)  # noqa: E731
            if queued > 8:
                await until(paused)
            before = time.monotonic()
            client.leave(how)
            await until(lambda: not world.sidecar.core.module._held)
            assert time.monotonic() - before < SENDABLE_S
            assert len(calls(world)) == FULL and not world.sidecar._listener.paused
            for _ in range(FULL + 1):
                server.let.release()
            assert (await (await world.client()).ask("single_shot", rid="next"))[0] == 200
            assert [call.headers["x-request-id"] for call in server.calls][FULL:] == ["next"]

    play(scene)


@WAYS
def test_one_that_leaves_while_it_waits_for_a_place_of_its_route(how, tmp_path):
    async def scene():
        path = tmp_path / "routes.toml"
        path.write_text(file(route(path='"/single_shot/*"', max_in_flight=1, max_waiting=1)))
        async with Gated() as server, Running(path, line("s1", server.port)) as world:
            first, client, third = [await Raw(world.port).connect() for _ in range(3)]
            ask = lambda rid: request("single_shot/1", rid=rid)  # noqa: E731
            await first.send(ask("first"))
            await server.came.acquire()
            await client.send(ask("left"))
            await until(lambda: any(c.waits for c in world.sidecar.core.calls.values()))
            client.leave(how)
            await until(lambda: len(world.sidecar.core.calls) == 1)
            await third.send(ask("third"))  # its place in the queue of one is free
            await until(lambda: any(c.waits for c in world.sidecar.core.calls.values()))
            server.let.release()
            await server.came.acquire()
            assert [call.headers["x-request-id"] for call in server.calls] == ["first", "third"]
            server.let.release()
            await until(lambda: not world.sidecar.core.calls)

    play(scene)


@WAYS
def test_one_that_leaves_while_servers_are_asked_for_their_load(how):
    async def scene():
        probed, go = asyncio.Event(), asyncio.Event()

        async def script(talk, call):
            if call.target == "/-/load":
                probed.set()
                await go.wait()
                await talk.answer(200, b'{"inflight": 0, "queue": 0}')
            else:
                await ok(talk, call)

        raw = settings(reporting={"how": "probe"}, limits={"mayProbe": True})
        async with Server(script) as server, sidecar(line("s1", server.port), raw=raw) as world:
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="left"))
            await probed.wait()
            client.leave(how)
            await until(lambda: not calls(world))
            go.set()
            await until(lambda: not any(s.askers for s in world.sidecar.core.module._servers.values()))
            assert (await (await world.client()).ask("single_shot", rid="next"))[0] == 200
            ids = [call.headers.get("x-request-id") for call in server.calls if call.target != "/-/load"]
            assert ids == ["next"]

    play(scene)


@WAYS
def test_one_that_leaves_between_two_attempts_is_not_tried_again(how):
    async def scene():
        async with Gated() as first, Server(ok) as second:

            async def falls(talk, call):
                first.came.release()
                await first.let.acquire()
                talk.reset()

            first.script = falls
            async with sidecar(line("s1", first.port)) as world:
                client = await Raw(world.port).connect()
                await client.send(request("free", rid="left"))
                await first.came.acquire()
                more = {"index": 2, "snapshot": True, "endpoints": [line("s1", first.port), line("s2", second.port)]}
                world.sidecar._told(read_listing(more, world.sidecar._settings))
                client.leave(how)
                await until(lambda: all(c.over for c in calls(world).values()))
                first.let.release()
                await until(lambda: not calls(world))
                assert not second.calls and len(first.calls) == 1

    play(scene)


def test_many_that_leave_in_one_turn_cost_those_behind_them_nothing():
    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            module = world.sidecar.core.module
            clients = [await Raw(world.port).connect() for _ in range(30)]
            await held(world, server, clients[0])
            for client in clients[1:]:
                await client.send(request("single_shot"))
            await until(lambda: len(module._held) == len(clients))
            for client in clients:
                client.close()
            await until(lambda: not module._held)
            for _ in range(FULL + 1):
                server.let.release()
            assert (await (await world.client()).ask("single_shot", rid="next"))[0] == 200
            assert len(server.calls) == FULL + 1

    play(scene)


def test_a_client_that_ends_its_sending_side_and_never_reads_does_not_stay(monkeypatch):
    """Found on reading: its connection waits until all is written, and stood in no queue meanwhile."""
    monkeypatch.setattr(listener, "LINGER_S", 0.1)

    async def scene():
        async def large(talk, call):
            await talk.answer(200, b"x" * (16 << 20))

        async with Server(large) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port, receive=4096).connect()
            await client.send(request())
            await until(lambda: any(c.unsent() for c in world.sidecar._listener.connections))
            client.sock.shutdown(1)
            await until(lambda: not world.sidecar._listener.connections)
            client.close()

    play(scene)
