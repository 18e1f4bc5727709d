"""Races at the end of the process, on the server list, and between a response and the next request on its connection.

See docs/races.md.
"""

from __future__ import annotations

import asyncio
import gc
import sys

import pytest
from backend import Server, dump, line, listing, ok, play, settings, sidecar
from peers import GatedServer, Raw, request, until
from test_servers import GOOD, outcomes
from test_watch import Registry

from rosechute.load_balancing import Defer, Directory, How, Settings
from rosechute.load_balancing.rules import MAX_RESUBSCRIBE_PAUSE_NS, Balancer
from rosechute.proxy.core.address import Address
from rosechute.proxy.http1 import upstream as upstream_side
from rosechute.proxy.http1.client import ClientConnection
from rosechute.proxy.http1.upstream import Upstream
from rosechute.sidecar import sidecar as process
from rosechute.sidecar.discovery import WATCH_GRACE_S, read_listing


def shorten_shutdown(monkeypatch, accepting: float = 0.05, live_on: float = 0.3) -> None:
    monkeypatch.setattr(process, "KEEP_ACCEPTING_S", accepting)
    monkeypatch.setattr(process, "MAX_STOP_S", live_on)


@pytest.mark.parametrize(("cls", "status"), [("single_shot", b"504"), ("guarded", b"504"), ("free", b"503")])
def test_open_request_is_answered_before_the_process_ends(monkeypatch, cls, status):
    """With deadlines of 4 s, the process ended after 3.45 s while requests were open that it had accepted before
    SIGTERM.
    """
    shorten_shutdown(monkeypatch)

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(request(cls, timeout=5))
            await server.arrivals.acquire()  # the server does not respond
            reading = asyncio.ensure_future(client.read())
            await world.sidecar.stop()
            assert not world.sidecar.core.calls or all(c.is_over for c in world.sidecar.core.calls.values())
            assert (await reading).startswith(b"HTTP/1.1 " + status)

    play(scenario)


def test_queued_request_is_answered_before_the_process_ends(monkeypatch):
    shorten_shutdown(monkeypatch)

    async def scenario():
        async with sidecar() as world:  # without servers
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", timeout=5))
            reading = asyncio.ensure_future(client.read())
            await until(lambda: world.sidecar.core.calls)
            await world.sidecar.stop()
            assert (await reading).startswith(b"HTTP/1.1 503")

    play(scenario)


@pytest.mark.parametrize("size", [60_000, 8 << 20])
def test_response_to_a_slow_reader_is_completed_past_the_end(monkeypatch, size):
    """The process ended with a part of the response in its own memory; found by code review."""
    shorten_shutdown(monkeypatch, live_on=0.1)

    async def scenario():
        async def large(conversation, call):
            await conversation.answer(200, b"x" * size)

        async with Server(large) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port, receive=4096).connect()
            await client.send(request())
            await until(lambda: server.calls)
            sidecar_listener = world.sidecar._listener
            if size > 1 << 20:
                await until(sidecar_listener.sending)
            else:
                await until(lambda: not world.sidecar.core.calls)
            loop = asyncio.get_running_loop()
            stopping = asyncio.ensure_future(world.sidecar.stop())
            late = loop.time() + 0.05 + 0.1
            await until(lambda: stopping.done() or loop.time() > late + 0.1)
            assert stopping.done() != sidecar_listener.sending()
            answer = await client.read()
            assert len(answer.partition(b"\r\n\r\n")[2]) == size
            await stopping

    play(scenario)


def test_new_connection_is_not_closed_before_its_first_request():
    """At the end of the process, new connections were closed like idle ones; found by code review."""

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            sidecar_listener = world.sidecar._listener
            client = await Raw(world.port).connect()
            await until(lambda: sidecar_listener.new)
            sidecar_listener.disable_keep_alive()
            sidecar_listener.close()
            await client.send(request(rid="late"))
            assert (await client.read()).endswith(b"late")

    play(scenario)


def test_last_response_is_not_lost_to_a_reset():
    """A close with unread data resets the connection, and the client loses what it has not read."""

    async def scenario():
        async with GatedServer() as server, sidecar(line("s1", server.port)) as world:
            world.sidecar._listener.disable_keep_alive()
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="whole"))
            await server.arrivals.acquire()
            connection = next(iter(world.sidecar._listener.connections))
            connection._transport.pause_reading()  # as if the data arrived in the same turn of the loop
            await client.send(b"GET /half HTTP/1.1\r\n")
            await until(lambda: not connection.has_no_unread_data())
            server.permits.release()
            assert (await client.read()).endswith(b"whole")
            assert not connection._transport.is_closing() or connection not in world.sidecar._listener.connections

    play(scenario)


# --- attempts and responses


def test_response_before_the_end_of_the_request_is_rejected():
    """Servers begin after the last byte, so an earlier response belongs to another request; found by code review."""

    async def scenario():
        class Early(Server):
            async def _serve(self, reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(GOOD)
                await asyncio.Event().wait()  # reads no further

        async with Early(ok) as server:
            loop = asyncio.get_running_loop()
            upstream, done = Upstream(loop, 10**9, 10**10, 10), loop.create_future()
            upstream.update("s1", Address("127.0.0.1", server.port), 0, True)
            upstream.exchange(
                "s1",
                lambda: request("single_shot", body=b"x" * (16 << 20)),
                15.0,
                lambda how, reply: done.set_result((how, reply)),
            ).start()
            assert await done == (How.CONNECT_FAILED, None)

    play(scenario)


@pytest.mark.plain
def test_unsolicited_data_on_a_new_connection_is_no_response(monkeypatch):
    """Unread data in the kernel when the first request is written; found by code review."""
    connect = Upstream.connect

    async def unread(self, address):
        connection = await connect(self, address)
        connection._transport.pause_reading()
        await until(lambda: connection._poll.poll(0))
        connection._transport.resume_reading()
        return connection

    monkeypatch.setattr(Upstream, "connect", unread)

    async def scenario():
        class Eager(Server):
            async def _serve(self, reader, writer):
                writer.write(GOOD)
                await super()._serve(reader, writer)

        monkeypatch.setattr("test_servers.Server", Eager)
        found, _ = await outcomes(lambda conversation, call: asyncio.Event().wait())
        assert found == [(How.CONNECT_FAILED, b"")]

    play(scenario)


# --- the list


def test_silent_watch_is_reopened_before_missed_updates_matter():
    """It was noticed only when missed updates mattered, and then a failure pause followed; found by code review."""

    async def scenario():
        raw = settings(discovery="subscribe", invariants={"mustAskInNs": 10**9})
        registry = Registry(503, 503, listing())  # the failures have increased the pause
        async with Server(registry) as place, sidecar(discovery=place.port, raw=raw):
            for _ in range(3):
                await registry.asked.get()
            _, query, at = await registry.asked.get()  # gets no response
            wait = int(query["wait_ms"][0]) / 1e3
            _, query, again = await registry.asked.get()
            assert query["wait_ms"] == ["0"] and wait > 0
            assert wait + WATCH_GRACE_S <= again - at < wait + 2.0

    play(scenario)


def test_silent_push_subscription_is_reopened_at_once():
    async def scenario():
        raw = settings(discovery="automatic", invariants={"mustAskInNs": 10**9})
        registry = Registry(listing())
        async with Server(registry) as agent, sidecar(discovery=agent.port, raw=raw):
            await registry.asked.get()
            _, query, at = await registry.asked.get()
            _, _, again = await registry.asked.get()
            assert again - at < int(query["wait_ms"][0]) / 1e3 + 2.0

    play(scenario)


def test_pause_before_reopening_a_silent_watch_does_not_grow():
    raw = settings(discovery="subscribe", invariants={"mustAskInNs": 60 * 10**9})
    balancer = Balancer(Settings.parse(raw), 1, 0)
    balancer.handle(0, Directory("SAVED"))
    for now in (1, 2, 3):
        balancer.handle(now, Directory("FAILED"))
    balancer.handle(4, Directory("FULL"))
    for now in (5, 6, 7, 8):
        pauses = [a.in_ns for a in balancer.handle(now, Directory("SILENT")) if isinstance(a, Defer)]
        assert len(pauses) == 1 and pauses[0] <= MAX_RESUBSCRIBE_PAUSE_NS + 1


def test_discovery_that_answers_at_once_is_polled_at_a_limited_rate():
    async def scenario():
        raw = settings(discovery="subscribe", invariants={"mustAskInNs": 4 * 10**9})
        nothing = listing(index=1, snapshot=False)
        registry = Registry(listing(), *[nothing] * 100)
        async with Server(registry) as place, sidecar(discovery=place.port, raw=raw):
            for _ in range(3):
                _, _, first = await registry.asked.get()
            _, _, second = await registry.asked.get()
            assert 0.09 <= second - first < 0.2  # a watch lasts for 0.2 s

    play(scenario)


@pytest.mark.parametrize("bad", [503, None, b"{not json", dump([1]), dump({"index": "x", "endpoints": []})])
def test_invalid_list_keeps_the_previous_one_and_is_logged_once(bad, capfd):
    async def scenario():
        async with Server(ok) as server:
            raw = settings(discovery="subscribe", invariants={"mustAskInNs": 10**9})
            registry = Registry(
                listing(line("s1", server.port), index=3),
                bad,
                bad,
                bad,
                dump(listing(line("s1", server.port), index=4)).replace(b", ", b",\r\n\t  "),
            )
            async with Server(registry) as place, sidecar(discovery=place.port, raw=raw) as world:
                for _ in range(4):
                    await registry.asked.get()
                assert (await (await world.client()).ask())[0] == 200
                for _ in range(2):
                    await registry.asked.get()
                assert world.sidecar._list_version == 4

    play(scenario)
    log_output = capfd.readouterr().err
    assert log_output.count("event=discovery.lost") == 1 and log_output.count("event=discovery.back") == 1


# --- memory


@pytest.mark.parametrize("headers", [{}, {"TE": "trailers"}], ids=["simple", "parsed"])
def test_requests_leak_no_memory(headers):
    """When compiled, each response leaked a bytes object, 9 MB in 15 minutes; later, each request its headers."""

    async def scenario():
        # With so few descriptors, no connection is opened ahead, whose memory would count as leaked.
        async with Server(ok) as server, sidecar(line("s1", server.port), sockets=36) as world:
            client = await world.client()

            async def ask(number: int) -> int:
                for _ in range(number):
                    assert (await client.ask(**headers))[0] == 200
                server.calls.clear()
                world.sidecar.core._ids.clear()  # ids are kept for twice a deadline
                gc.collect()
                return sys.getallocatedblocks()

            before = await ask(600)
            count = 600
            assert await ask(count) - before < count / 4

    play(scenario)


def test_connection_class_is_compiled_iff_requested(request):
    """The leak above occurs in compiled modules only, so the tests must run with the modules that were asked for."""
    compiled = not hasattr(ClientConnection.answer, "__code__")
    assert compiled == bool(request.config.getoption("--compiled"))


def test_late_duplicate_response_is_not_taken_for_the_next_response(monkeypatch):
    """The next request was sent at once, and late data was taken for its response; found by code review."""
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 0.5)

    async def scenario():
        late, asked = asyncio.Event(), asyncio.Event()

        async def script(conversation, call):
            rid = call.headers["x-request-id"].encode()
            if rid == b"first":
                await conversation.answer(200, rid)
                await asyncio.wait(
                    [asyncio.ensure_future(e.wait()) for e in (late, asked)], return_when=asyncio.FIRST_COMPLETED
                )
                await conversation.answer(200, rid)  # the duplicate: late, or right after the next request
            else:
                asked.set()
                await asyncio.sleep(0.02)
                await conversation.answer(200, rid)

        async with Server(script) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            assert (await client.ask("single_shot", rid="first"))[2] == b"first"
            asking = asyncio.ensure_future(client.ask("single_shot", rid="second"))
            await until(lambda: any(c.in_flight for c in world.sidecar.core.calls.values()))
            late.set()
            assert (await asking)[2] == b"second"
            assert server.connections == 2

    play(scenario)


def test_call_cancelled_in_the_quiet_time_returns_its_connection(monkeypatch):
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 30.0)

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            assert (await (await world.client()).ask("single_shot"))[0] == 200
            await client.send(request("single_shot"))
            await until(lambda: any(c.in_flight for c in world.sidecar.core.calls.values()))
            client.close()
            await until(lambda: not world.sidecar.core.calls)
            assert [len(t.idle) for t in world.sidecar._upstream._pools.values()] == [1]
            assert len(server.calls) == 1

    play(scenario)


def test_no_request_is_sent_if_the_server_drains_in_the_quiet_time(monkeypatch):
    monkeypatch.setattr(upstream_side, "QUIET_TIME_S", 0.2)

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            assert (await client.ask("single_shot"))[0] == 200
            asking = asyncio.ensure_future(client.ask("single_shot", timeout="1"))
            await until(lambda: any(c.in_flight for c in world.sidecar.core.calls.values()))
            drains = listing(line("s1", server.port, status="DRAINING"), index=2)
            world.sidecar._on_discovery(read_listing(drains, world.sidecar._settings))
            assert (await asking)[0] == 503 and len(server.calls) == 1

    play(scenario)
