"""Data that arrives during a close, incomplete responses, and connections that open late."""

from __future__ import annotations

import asyncio
import socket

import pytest
from backend import Server, line, ok, play, sidecar
from peers import RESET_ON_CLOSE, GatedServer, Raw, SlowConnectServer, request, until
from test_races_leaving import open_idle_connections


@pytest.mark.parametrize("end", ["idle", "last"])
def test_request_arriving_during_close_is_not_forwarded(end):
    """The request arrives after the close of an idle connection, or after the end of the sidecar's output."""

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            await open_idle_connections(world, server)
            sidecar_listener = world.sidecar._listener
            client = await Raw(world.port).connect()
            server.permits.release()
            await client.ask("single_shot", rid="first")
            await until(lambda: len(sidecar_listener.idle) == 1)
            connection = next(iter(sidecar_listener.idle))
            if end == "idle":
                assert connection.has_no_unread_data()
                connection.close()
            else:
                connection._close_lingering()
            client.sock.send(request("single_shot", rid="late"))
            await client.read()
            client.close()
            await until(lambda: not sidecar_listener.connections)
            assert server.ids() == ["first"]

    play(scenario)


def test_nagle_is_disabled_on_all_connections():
    """A close with unread data resets the connection and discards output that the kernel holds back."""

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            assert (await client.ask()).startswith(b"HTTP/1.1 200")
            connections = [*world.sidecar._listener.connections, *world.sidecar._upstream._connections]
            assert len(connections) == 2
            for end in connections:
                sock = end._transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play(scenario)


@pytest.mark.parametrize("cls", ["free", "single_shot"])
@pytest.mark.parametrize("size", [0, 1000, 1 << 20])
def test_reset_does_not_complete_a_response_without_length(cls, size):
    """Only a regular close ends such a response."""

    async def scenario():
        async def breaks(conversation, call):
            conversation.writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * size)
            await conversation.writer.drain()
            await asyncio.sleep(0.02 if size < 65536 else 0.3)
            conversation.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            conversation.writer.transport.abort()

        async with Server(breaks) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(request(cls))
            answer = await client.read() if size > 65536 else await client.answer()
            if size > 65536:
                assert answer.startswith(b"HTTP/1.1 200") and not answer.endswith(b"\r\n0\r\n\r\n")
            else:
                assert answer.startswith(b"HTTP/1.1 50") and server.calls
                assert len(server.calls) == 1 or cls == "free"

    play(scenario)


def test_late_connection_still_serves_the_waiting_request():
    async def scenario():
        slow = SlowConnectServer()
        async with sidecar(line("s1", slow.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="waits"))
            await until(lambda: world.sidecar._upstream._opening)
            accepted = await slow.accept_waiting()
            asked = await asyncio.get_running_loop().sock_recv(accepted, 65536)
            assert b"waits" in asked
            accepted.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert (await client.answer()).startswith(b"HTTP/1.1 200")
            accepted.close()
        slow.close()

    play(scenario)
