"""Bytes that come in the instant of a close, answers that break off, and connections that come up late."""

from __future__ import annotations

import asyncio
import socket

import pytest
from backend import Server, line, ok, play, sidecar
from peers import NO_LINGER, Gated, Raw, Slow, request, until
from test_races_leaving import warmed


@pytest.mark.parametrize("end", ["idle", "last"])
def test_a_request_that_comes_as_its_connection_is_closed_is_not_sent_on(end):
    """Behind the close of a resting connection, or behind the end of our sending side."""

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            await warmed(world, server)
            held = world.sidecar._listener
            client = await Raw(world.port).connect()
            server.let.release()
            await client.ask("single_shot", rid="first")
            await until(lambda: len(held.kept) == 1)
            ours = next(iter(held.kept))
            if end == "idle":
                assert ours.quiet()
                ours.close()
            else:
                ours._leave()
            client.sock.send(request("single_shot", rid="late"))
            await client.read()
            client.close()
            await until(lambda: not held.connections)
            assert server.ids() == ["first"]

    play(scene)


def test_nothing_small_is_held_back_by_the_system():
    """A close over unread bytes resets the connection, and what the system still held back would go with it."""

    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            assert (await client.ask()).startswith(b"HTTP/1.1 200")
            ours = [*world.sidecar._listener.connections, *world.sidecar._upstream._open]
            assert len(ours) == 2
            for end in ours:
                sock = end._transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play(scene)


@pytest.mark.parametrize("cls", ["free", "single_shot"])
@pytest.mark.parametrize("size", [0, 1000, 1 << 20])
def test_an_answer_with_no_length_that_is_reset_is_not_taken_for_whole(cls, size):
    """A close is the end of such an answer, and a reset is none."""

    async def scene():
        async def breaks(talk, call):
            talk.writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * size)
            await talk.writer.drain()
            await asyncio.sleep(0.02 if size < 65536 else 0.3)
            talk.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            talk.writer.transport.abort()

        async with Server(breaks) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(request(cls))
            answer = await client.read() if size > 65536 else await client.answer()
            if size > 65536:
                assert answer.startswith(b"HTTP/1.1 200") and not answer.endswith(b"\r\n0\r\n\r\n")
            else:
                assert answer.startswith(b"HTTP/1.1 50") and server.calls
                assert len(server.calls) == 1 or cls == "free"

    play(scene)


def test_a_connection_that_comes_up_late_still_serves_whoever_waits():
    async def scene():
        slow = Slow()
        async with sidecar(line("s1", slow.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="waits"))
            await until(lambda: world.sidecar._upstream._dialling)
            made = await slow.open_up()
            asked = await asyncio.get_running_loop().sock_recv(made, 65536)
            assert b"waits" in asked
            made.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert (await client.answer()).startswith(b"HTTP/1.1 200")
            made.close()
        slow.close()

    play(scene)
