"""Invalid, slow and excessive input of clients; mostly regression tests."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import Counter

import pytest
from backend import Call, Client, Conversation, Server, line, ok, play, sidecar

from rosechute.proxy.core.receive_buffers import KERNEL_BUFFER_FACTOR, MIN_RECEIVE_BUFFER_BYTES
from rosechute.proxy.http1 import client as client_side
from rosechute.proxy.http1 import listener
from rosechute.proxy.http1.client import MAX_HEAD, MAX_PIPELINED, MAX_STARTED_PER_READ

HEAD = b"GET /free HTTP/1.1\r\nHost: app\r\nX-Request-ID: %s\r\nX-Timeout: 5\r\n"
LIMIT_S = 5.0
POST = b"POST /single_shot HTTP/1.1\r\nHost: app\r\nX-Request-ID: p1\r\nX-Timeout: 5\r\n"


async def read_until_closed(client: Client) -> bytes:
    """Return all data until the sidecar closes the connection; a reset counts as a close."""
    try:
        return await client.reader.read()
    except ConnectionError:
        return b""


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"\x16\x03\x01\x02 nonsense\r\n\r\n", 400),
        (b"GET 000000\r\n\r\n", 400),
        (
            HEAD % b"a" + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + HEAD % b"b" + b"\r\n",
            400,
        ),
        (POST + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400),
        (POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (POST + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400),
        (POST + b"Content-Length: -1\r\n\r\n", 400),
        (POST + b"Content-Length: +3\r\n\r\nabc", 400),
        (POST + b"Content-Length: 99999999999999999999999\r\n\r\n", 400),
        (POST + b"Content-Length: 62914560\r\n\r\n", 413),
        (POST + b"Expect: magic\r\nContent-Length: 3\r\n\r\nabc", 417),
        (b"GET /free HTTP/1.1\r\nX-Request-ID: h\r\nX-Timeout: 5\r\n\r\n", 400),
        (HEAD % b"h" + b"Host: other\r\n\r\n", 400),
        (HEAD % b"s" + b"X-Odd : 1\r\n\r\n", 400),
        (HEAD % b"e" + b"X-Pad: " + b"p" * (MAX_HEAD + 1), 431),
        (b"GET /" + b"p" * (MAX_HEAD + 1), 431),
        (HEAD % b"t" + b"X-Timeout: 5\r\n\r\n", 400),
        (HEAD % b"" + b"\r\n", 400),
        (HEAD.replace(b"free", b"nosuch") % b"c" + b"\r\n", 404),
        (HEAD.replace(b"GET", b"POST") % b"m" + b"Content-Length: 0\r\n\r\n", 405),
        (POST.replace(b"POST", b"GET") + b"\r\n", 405),
        (b"CONNECT app:1 HTTP/1.1\r\nHost: app\r\n\r\n" + HEAD % b"n" + b"\r\n", 405),
        (POST + b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400),
        (POST + b"Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n", 400),
        *[
            (HEAD.replace(b": 5", b": " + text) % b"d" + b"\r\n", 400)
            for text in (b"soon", b"nan", b"inf", b"-1", b"1e3", b"", b"0", b"0x1", b"1_0", b"9" * 400)
        ],
    ],
)
def test_invalid_request_is_rejected_and_closed_and_reaches_no_server(sent, status):
    """Invalid requests reached servers, which close a connection that other requests wait for."""

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            await client.send(sent)
            assert (await client.answer())[0] == status
            assert await read_until_closed(client) == b""
            assert (await (await world.client()).ask())[0] == 200
            assert len(server.calls) == 1

    play(scenario)


@pytest.mark.parametrize(
    "offer", [b"Connection: Upgrade\r\nUpgrade: h2c\r\n", b"Upgrade: x\r\nConnection: a, upgrade\r\n"]
)
@pytest.mark.parametrize("body", [b"", b"pass for desk 7", b"floor plan " * 50_000], ids=["none", "short", "long"])
def test_request_that_offers_a_protocol_is_served_with_its_body(offer, body):
    """Guards against requests that run without their body and get no response (incident of review case 1)."""

    async def scenario():
        async def echo_size(conversation: Conversation, call: Call) -> None:
            await conversation.answer(200, b"%d" % len(call.body))

        head = POST.replace(b"p1", b"offer-%d") + offer + b"Content-Length: %d\r\n\r\n" % len(body)
        async with Server(echo_size) as server, sidecar(line("s1", server.port)) as world:
            for number, cut in enumerate((len(head), 40, len(head) - 1, len(head) + 3, 1)):
                client = await world.client()
                wire = head % number + body
                await client.send(wire[:cut])
                await asyncio.sleep(0)
                await client.send(wire[cut:])
                assert (await client.answer())[::2] == (200, b"%d" % len(body)), cut
                assert (await client.ask(rid=f"after-{number}"))[0] == 200
                client.writer.close()
            assert [call.body for call in server.calls[::2]] == [body] * 5

    play(scenario)


def test_error_response_is_readable_while_client_sends_a_large_body():
    """A close while data arrives resets the connection, and the client loses the response."""

    async def scenario():
        async with sidecar() as world:
            client = await world.client()
            await client.send(POST + b"Content-Length: 62914560\r\n\r\n")
            for _ in range(256):
                await client.send(b"x" * 65536)
            assert (await client.answer())[0] == 413

    play(scenario)


def test_duplicate_request_id_is_rejected_while_open_and_shortly_after():
    """A copy of an unsafe request must not be executed beside the first one, nor shortly after it."""

    async def scenario():
        arrived, go = asyncio.Event(), asyncio.Event()

        async def slow(conversation: Conversation, call: Call) -> None:
            arrived.set()
            await go.wait()
            await ok(conversation, call)

        async with Server(slow) as server, sidecar(line("s1", server.port)) as world:
            asking = asyncio.ensure_future((await world.client()).ask("single_shot", "same"))
            await arrived.wait()
            assert (await (await world.client()).ask("single_shot", "same"))[0] == 409
            go.set()
            assert (await asking)[0] == 200
            assert (await (await world.client()).ask("single_shot", "same"))[0] == 409
            assert len(server.calls) == 1

    play(scenario)


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"", b""),
        (b"POST /single", b"408"),
        (POST + b"Content-Length: 9\r\n\r\nhalf", b"408"),
        (b"\r\n", b"408"),
    ],
)
def test_incomplete_request_times_out(monkeypatch, sent, expected):
    """Such connections were kept forever and used up the descriptors."""
    monkeypatch.setattr(client_side, "HEAD_TIMEOUT_S", 0.2)
    monkeypatch.setattr(client_side, "BODY_PAUSE_S", 0.2)
    monkeypatch.setattr(listener, "FIRST_BYTE_TIMEOUT_S", 0.2)

    async def scenario():
        async with sidecar() as world:
            client = await world.client()
            await client.send(sent)
            assert expected in await read_until_closed(client)
            assert not world.sidecar._listener.receiving and not world.sidecar._listener.new

    play(scenario)


def test_client_that_neither_reads_nor_closes_after_an_error_is_disconnected(monkeypatch):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_S", 0.1)

    async def scenario():
        async with sidecar() as world:
            client = await world.client()
            await client.send(b"nonsense\r\n\r\n")
            await client.answer()
            while world.sidecar._listener.connections:  # the client's end stays open
                await asyncio.sleep(0.01)

    play(scenario)


def test_silent_connections_are_evicted_for_active_clients(monkeypatch):
    """Idle connections used all 256 of 256 descriptors, and none was left for requests."""
    monkeypatch.setattr(listener, "EVICT_IDLE_S", 0.1)

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port), sockets=64) as world:
            sidecar_listener = world.sidecar._listener
            kept = [await world.client() for _ in range(sidecar_listener.max_connections)]
            for client in kept[:4]:
                assert (await client.ask())[0] == 200
            silent = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(200)]
            assert (await (await world.client()).ask())[0] == 200
            assert len(sidecar_listener.connections) <= sidecar_listener.max_connections
            for _, writer in silent:
                writer.close()

    play(scenario)


def test_connection_with_a_pending_response_is_never_evicted(monkeypatch):
    monkeypatch.setattr(listener, "EVICT_IDLE_S", 0.0)
    monkeypatch.setattr(listener, "EVICT_SILENT_S", 0.0)

    async def scenario():
        arrivals, go = asyncio.Semaphore(0), asyncio.Event()

        async def slow(conversation: Conversation, call: Call) -> None:
            arrivals.release()
            await go.wait()
            await ok(conversation, call)

        async with Server(slow) as server, sidecar(line("s1", server.port), sockets=40) as world:
            sidecar_listener = world.sidecar._listener
            asks = [asyncio.ensure_future((await world.client()).ask("single_shot")) for _ in range(2)]
            for _ in asks:
                await arrivals.acquire()
            flood = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(20)]
            go.set()
            assert [(await asking)[0] for asking in asks] == [200, 200]
            assert sidecar_listener.max_connections == 5
            for _, writer in flood:
                writer.close()

    play(scenario)


def test_pipelined_requests_beyond_the_limit_stay_unparsed():
    """One read of 256 KB started thousands of requests at once; found by code review."""

    async def scenario():
        go, pipelined = asyncio.Event(), []

        async def slow(conversation: Conversation, call: Call) -> None:
            await go.wait()
            pipelined.append(max(len(c._pipelined) for c in world.sidecar._listener.connections))
            await ok(conversation, call)

        async with Server(slow) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            ids = [b"%d" % number for number in range(100)]
            await client.send(b"".join(HEAD % rid + b"X-Pad: " + b"p" * 400 + b"\r\n\r\n" for rid in ids))
            go.set()
            answers = [await client.answer() for _ in ids]
            assert all(body in (rid, b"refused\n") for rid, (_, _, body) in zip(ids, answers, strict=True))
            assert max(pipelined) < MAX_PIPELINED + 10

    play(scenario)


def test_no_further_requests_are_handled_for_a_client_that_does_not_read():
    """Its responses would accumulate in memory."""

    async def scenario():
        async def large(conversation: Conversation, call: Call) -> None:
            await conversation.answer(200, b"x" * 65536)

        async with Server(large) as server, sidecar(line("s1", server.port)) as world:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", world.port))
            client = Client(*await asyncio.open_connection(sock=sock, limit=1))
            client.reader._transport.pause_reading()
            await client.send(b"".join(HEAD % b"%d" % n + b"\r\n" for n in range(200)))
            while not any(c._is_write_paused for c in world.sidecar._listener.connections):
                await asyncio.sleep(0.01)
            assert len(server.calls) < 200
            client.writer.transport.abort()

    play(scenario)


def test_readiness_only_connections_are_evicted_for_active_clients():
    """In an incident, such connections were evicted after 2 s only, and other clients waited in the listen queue."""

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port), sockets=64) as world:
            sidecar_listener = world.sidecar._listener
            active_client = await world.client()
            assert (await active_client.ask())[0] == 200
            probers = [await world.client() for _ in range(10 * sidecar_listener.max_connections)]
            for visitor in probers:
                await visitor.send(b"GET /-/ready HTTP/1.1\r\nHost: app\r\n\r\n")
            start = asyncio.get_running_loop().time()
            assert (await (await world.client()).ask())[0] == 200
            # After that time the idle connection may be evicted, too.
            if asyncio.get_running_loop().time() - start < listener.EVICT_IDLE_LAST_RESORT_S:
                assert (await active_client.ask())[0] == 200
            for visitor in probers:
                visitor.writer.close()

    play(scenario)


def test_responses_close_connections_above_the_keep_alive_limit():
    """In an incident, connections that stayed open after one request used up the connection limit."""

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port), sockets=64) as world:
            clients = [await world.client() for _ in range(18)]
            status, headers, body = await clients[0].ask(rid="a")
            assert (status, headers.get("connection"), body) == (200, "close", b"a")
            assert await read_until_closed(clients[0]) == b""
            for client in clients[2:]:
                client.writer.close()
            while world.sidecar._listener.exceeds_keep_alive_limit():
                await asyncio.sleep(0.005)
            assert "connection" not in (await clients[1].ask())[1]

    play(scenario)


def test_data_behind_an_error_in_the_same_read_gets_no_second_error():
    """The second error was written after the end of the stream, which aborted the connection."""

    async def scenario():
        broken = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: broken.append(context))
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            await client.send(HEAD.replace(b"free", b"nosuch") % b"c" + b"\r\n\x16\x03\x01 nonsense\r\n\r\n")
            assert (await client.answer())[0] == 404
            assert await read_until_closed(client) == b"" and not broken

    play(scenario)


def test_absolute_form_target_is_accepted():
    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            await client.send((HEAD % b"u").replace(b"GET /free", b"GET HTTP://app:80/free?q=/x") + b"\r\n")
            assert (await client.answer())[0] == 200
            assert server.calls[0].target == "/free?q=/x"
            await client.send(b"GET http://app HTTP/1.1\r\nHost: app\r\n\r\n")
            assert (await client.answer())[0] == 400

    play(scenario)


def test_pipelined_requests_of_one_read_do_not_hold_up_the_event_loop():
    """A crowd's reads of a thousand requests each stopped the loop of an edge for 14 s."""

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            loop, turn, handled = asyncio.get_running_loop(), 0, Counter()

            def count_turn():
                nonlocal turn
                turn += 1
                loop.call_soon(count_turn)

            def refuse(message):
                handled[turn] += 1
                message.reply(429)

            count_turn()
            world.sidecar.request = refuse
            client = await world.client()
            await client.send((HEAD % b"a" + b"\r\n") * 100)
            assert {(await client.answer())[0] for _ in range(100)} == {429}
            assert max(handled.values()) <= MAX_STARTED_PER_READ

    play(scenario)


def test_pipelined_requests_of_a_lost_connection_are_not_handled():
    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            handled = []

            def lose_connection(message):
                handled.append(message)
                message.connection.abort()

            world.sidecar.request = lose_connection
            client = await world.client()
            await client.send((HEAD % b"a" + b"\r\n") * 100)
            await read_until_closed(client)
            assert len(handled) == 1

    play(scenario)


def receive_buffer_bytes(target):
    return target.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)


def test_receive_buffer_of_a_connection_that_waited_to_be_accepted_is_never_narrowed(monkeypatch):
    """On loopback, a client whose window was narrowed sent 0.2 MB/s."""
    before_accept = []
    widen = listener.Listener._widen_receive_buffer

    def note_and_widen(self, client_socket):
        before_accept.append((client_socket.fileno(), receive_buffer_bytes(client_socket)))
        widen(self, client_socket)

    monkeypatch.setattr(listener.Listener, "_widen_receive_buffer", note_and_widen)

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port), sockets=2000) as world:
            world.sidecar._budget.resize(64, 1)
            waiting = [socket.create_connection(("127.0.0.1", world.port)) for _ in range(200)]
            while len(before_accept) < len(waiting):
                await asyncio.sleep(0.005)
            for descriptor, size in before_accept:
                with socket.socket(fileno=os.dup(descriptor)) as accepted:
                    assert receive_buffer_bytes(accepted) >= size
            assert max(size for _, size in before_accept) <= KERNEL_BUFFER_FACTOR * MIN_RECEIVE_BUFFER_BYTES
            for client in waiting:
                client.close()

    play(scenario)


def test_reading_goes_on_after_pipelined_requests_that_ended_with_a_read():
    """A connection whose read held many whole requests was never read again once they were answered."""

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            first = MAX_PIPELINED + 2
            await client.send(b"".join(HEAD % b"a%d" % number + b"\r\n" for number in range(first)))
            assert {(await client.answer())[0] for _ in range(first)} == {200}
            await client.send(HEAD % b"last" + b"\r\n")
            assert (await asyncio.wait_for(client.answer(), LIMIT_S))[0] == 200

    play(scenario)
