"""Disconnects of clients whose requests wait: such a request is not forwarded, and its resources are released.

Each kind of wait is tested with a close and a reset, over real connections. See docs/races.md.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from backend import Server, line, ok, play, settings, sidecar
from peers import GatedServer, Raw, SlowConnectServer, request, until
from samples import file, route
from test_operated import RunningSidecar

from rosechute.proxy.http1 import listener
from rosechute.sidecar.discovery import read_listing

DISCONNECTS = pytest.mark.parametrize("how", ["close", "reset"])
MAX_NOTICE_S = 0.3  # after this time, no request of a disconnected client may be forwarded


def calls(world):
    return world.sidecar.core.calls


def read_available(sock) -> bytes:
    """Return the data that has arrived on a connection."""
    sock.setblocking(False)
    try:
        return sock.recv(65536)
    except BlockingIOError:
        return b""


@DISCONNECTS
@pytest.mark.parametrize("cls", ["free", "single_shot"])
def test_disconnect_while_connecting_to_the_server(how, cls):
    """The attempt was not cancelled, and was written a second later when its connection opened."""

    async def scenario():
        slow = SlowConnectServer()
        async with sidecar(line("s1", slow.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(request(cls))
            await until(lambda: world.sidecar._upstream._opening)
            client.disconnect(how)
            await until(lambda: not calls(world))
            assert not world.sidecar.core.module._attempts
            accepted = await slow.accept_waiting()
            await until(lambda: world.sidecar._upstream._connections)
            assert read_available(accepted) == b""
            # The connection is kept, as its cost is spent.
            assert sum(len(t.idle) for t in world.sidecar._upstream._pools.values()) == 1
            accepted.close()
        slow.close()

    play(scenario)


@DISCONNECTS
def test_disconnect_while_a_streamed_body_waits_for_its_connection(how):
    """Reading is paused while a body is too long to buffer, so that the disconnect went unnoticed."""

    async def scenario():
        slow = SlowConnectServer()
        async with sidecar(line("s1", slow.port), memory_mb=32) as world:
            client = await Raw(world.port).connect()
            # The data fits into the buffers; otherwise the client's kernel would send the close only after the rest.
            await client.send(request("single_shot", body=b"x" * (2 << 20))[: 300 << 10])
            await until(lambda: any(c._paused for c in world.sidecar._listener.connections))
            await until(lambda: world.sidecar._upstream._opening)
            client.disconnect(how)
            await until(lambda: not calls(world))
            accepted = await slow.accept_waiting()
            await until(lambda: not world.sidecar._upstream._opening)
            assert read_available(accepted) == b""
            accepted.close()
        slow.close()

    play(scenario)


SERVER_CAPACITY = 3  # a server's initial budget, plus the one trial request if all servers are at their budgets


async def queue_request(world, server, client, more: bytes = b"") -> None:
    """Fill the only server's budget, then queue a request of this client."""
    module = world.sidecar.core.module
    # The list keeps references, as garbage collection would close the connections.
    server.filling = [await Raw(world.port).connect() for _ in range(SERVER_CAPACITY)]
    for filling in server.filling:
        await filling.send(request("single_shot"))
        await server.arrivals.acquire()
    await client.send(request("single_shot", rid="left") + more)
    await until(lambda: module._held)


@DISCONNECTS
def test_disconnect_while_queued(how):
    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await queue_request(world, server, client)
            client.disconnect(how)
            await until(lambda: not world.sidecar.core.module._held)
            for _ in range(SERVER_CAPACITY + 1):
                server.permits.release()
            assert (await (await world.client()).ask("single_shot", rid="next"))[0] == 200
            assert "left" not in [call.headers["x-request-id"] for call in server.calls]

    play(scenario)


@DISCONNECTS
@pytest.mark.parametrize("queued", [1, 40])
def test_disconnect_behind_pipelined_requests(how, queued):
    """Reading is paused at the limit of pipelined requests, so that the disconnect went unnoticed and the request was
    forwarded when the server had room.
    """

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await queue_request(world, server, client, b"".join(request("single_shot") for _ in range(queued)))
            paused = lambda: any(c._paused for c in world.sidecar._listener.connections)  # noqa: E731
            if queued > 8:
                await until(paused)
            before = time.monotonic()
            client.disconnect(how)
            await until(lambda: not world.sidecar.core.module._held)
            assert time.monotonic() - before < MAX_NOTICE_S
            assert len(calls(world)) == SERVER_CAPACITY and not world.sidecar._listener.paused
            for _ in range(SERVER_CAPACITY + 1):
                server.permits.release()
            assert (await (await world.client()).ask("single_shot", rid="next"))[0] == 200
            assert [call.headers["x-request-id"] for call in server.calls][SERVER_CAPACITY:] == ["next"]

    play(scenario)


@DISCONNECTS
def test_disconnect_while_queued_for_a_route_limit(how, tmp_path):
    async def scenario():
        path = tmp_path / "routes.toml"
        path.write_text(file(route(path='"/single_shot/*"', max_in_flight=1, max_waiting=1)))
        async with GatedServer() as server, RunningSidecar(path, line("s1", server.port)) as world:
            first, client, third = [await Raw(world.port).connect() for _ in range(3)]
            ask = lambda rid: request("single_shot/1", rid=rid)  # noqa: E731
            await first.send(ask("first"))
            await server.arrivals.acquire()
            await client.send(ask("left"))
            await until(lambda: any(c.waits_for_limits for c in world.sidecar.core.calls.values()))
            client.disconnect(how)
            await until(lambda: len(world.sidecar.core.calls) == 1)
            await third.send(ask("third"))  # the queue of one has room again
            await until(lambda: any(c.waits_for_limits for c in world.sidecar.core.calls.values()))
            server.permits.release()
            await server.arrivals.acquire()
            assert [call.headers["x-request-id"] for call in server.calls] == ["first", "third"]
            server.permits.release()
            await until(lambda: not world.sidecar.core.calls)

    play(scenario)


@DISCONNECTS
def test_disconnect_while_load_probes_are_pending(how):
    async def scenario():
        probed, go = asyncio.Event(), asyncio.Event()

        async def script(conversation, call):
            if call.target == "/-/load":
                probed.set()
                await go.wait()
                await conversation.answer(200, b'{"inflight": 0, "queue": 0}')
            else:
                await ok(conversation, call)

        raw = settings(reporting={"how": "probe"}, limits={"mayProbe": True})
        async with Server(script) as server, sidecar(line("s1", server.port), raw=raw) as world:
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="left"))
            await probed.wait()
            client.disconnect(how)
            await until(lambda: not calls(world))
            go.set()
            await until(lambda: not any(s.probing_calls for s in world.sidecar.core.module._servers.values()))
            assert (await (await world.client()).ask("single_shot", rid="next"))[0] == 200
            ids = [call.headers.get("x-request-id") for call in server.calls if call.target != "/-/load"]
            assert ids == ["next"]

    play(scenario)


@DISCONNECTS
def test_disconnect_between_attempts_prevents_a_retry(how):
    async def scenario():
        async with GatedServer() as first, Server(ok) as second:

            async def falls(conversation, call):
                first.arrivals.release()
                await first.permits.acquire()
                conversation.reset()

            first.script = falls
            async with sidecar(line("s1", first.port)) as world:
                client = await Raw(world.port).connect()
                await client.send(request("free", rid="left"))
                await first.arrivals.acquire()
                more = {"index": 2, "snapshot": True, "endpoints": [line("s1", first.port), line("s2", second.port)]}
                world.sidecar._on_discovery(read_listing(more, world.sidecar._settings))
                client.disconnect(how)
                await until(lambda: all(c.is_over for c in calls(world).values()))
                first.permits.release()
                await until(lambda: not calls(world))
                assert not second.calls and len(first.calls) == 1

    play(scenario)


def test_many_disconnects_in_one_turn_do_not_delay_other_requests():
    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            module = world.sidecar.core.module
            clients = [await Raw(world.port).connect() for _ in range(30)]
            await queue_request(world, server, clients[0])
            for client in clients[1:]:
                await client.send(request("single_shot"))
            await until(lambda: len(module._held) == len(clients))
            for client in clients:
                client.close()
            await until(lambda: not module._held)
            for _ in range(SERVER_CAPACITY + 1):
                server.permits.release()
            assert (await (await world.client()).ask("single_shot", rid="next"))[0] == 200
            assert len(server.calls) == SERVER_CAPACITY + 1

    play(scenario)


def test_half_closed_client_that_never_reads_is_disconnected(monkeypatch):
    """Its connection waits until all is written, and was in no queue meanwhile; found by code review."""
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_S", 0.1)

    async def scenario():
        async def large(conversation, call):
            await conversation.answer(200, b"x" * (16 << 20))

        async with Server(large) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port, receive=4096).connect()
            await client.send(request())
            await until(lambda: any(c.unsent_bytes() for c in world.sidecar._listener.connections))
            client.sock.shutdown(1)
            await until(lambda: not world.sidecar._listener.connections)
            client.close()

    play(scenario)
