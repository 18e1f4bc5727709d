"""Orders at a process's end, on the list, and between a server's answer and our next request; see docs/races.md."""

from __future__ import annotations

import asyncio
import gc
import sys

import pytest
from backend import Server, dump, line, listing, ok, play, settings, sidecar
from peers import Gated, Raw, request, until
from test_servers import GOOD, outcomes
from test_watch import Registry

from rosechute.load_balancing import Defer, Directory, How, Settings
from rosechute.load_balancing.rules import SILENCE_NS, Balancer
from rosechute.proxy.core.address import Address
from rosechute.proxy.http1 import upstream as upstream_side
from rosechute.proxy.http1.client import ClientConnection
from rosechute.proxy.http1.upstream import Upstream
from rosechute.sidecar import sidecar as process
from rosechute.sidecar.discovery import SILENT_S, read_listing


def ends_soon(monkeypatch, accepting: float = 0.05, live_on: float = 0.3) -> None:
    monkeypatch.setattr(process, "KEEP_ACCEPTING_S", accepting)
    monkeypatch.setattr(process, "LIVE_ON_S", live_on)


@pytest.mark.parametrize(("cls", "status"), [("single_shot", b"504"), ("guarded", b"504"), ("free", b"503")])
def test_a_request_whose_client_waits_for_longer_than_the_process_lives_is_answered(monkeypatch, cls, status):
    """Found on the short days of another deployment: deadlines of 4 s, and the process was gone after 3.45 s with
    requests open that it had taken before SIGTERM."""
    ends_soon(monkeypatch)

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            await client.send(request(cls, timeout=5))
            await server.came.acquire()  # and its server hangs
            reading = asyncio.ensure_future(client.read())
            await world.sidecar.stop()
            assert not world.sidecar.core.calls or all(c.over for c in world.sidecar.core.calls.values())
            assert (await reading).startswith(b"HTTP/1.1 " + status)

    play(scene)


def test_a_request_in_order_is_answered_before_the_end(monkeypatch):
    ends_soon(monkeypatch)

    async def scene():
        async with sidecar() as world:  # no server is there to take it
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", timeout=5))
            reading = asyncio.ensure_future(client.read())
            await until(lambda: world.sidecar.core.calls)
            await world.sidecar.stop()
            assert (await reading).startswith(b"HTTP/1.1 503")

    play(scene)


@pytest.mark.parametrize("size", [60_000, 8 << 20])
def test_an_answer_half_taken_by_a_slow_reader_goes_on_past_the_end(monkeypatch, size):
    """Found on reading: the process left with part of the answer in its own memory."""
    ends_soon(monkeypatch, live_on=0.1)

    async def scene():
        async def large(talk, call):
            await talk.answer(200, b"x" * size)

        async with Server(large) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port, receive=4096).connect()
            await client.send(request())
            await until(lambda: server.calls)
            held = world.sidecar._listener
            if size > 1 << 20:
                await until(held.sending)
            else:
                await until(lambda: not world.sidecar.core.calls)
            loop = asyncio.get_running_loop()
            stopping = asyncio.ensure_future(world.sidecar.stop())
            late = loop.time() + 0.05 + 0.1
            await until(lambda: stopping.done() or loop.time() > late + 0.1)
            assert stopping.done() != held.sending()
            answer = await client.read()
            assert len(answer.partition(b"\r\n\r\n")[2]) == size
            await stopping

    play(scene)


def test_a_connection_that_has_just_come_up_is_not_closed_before_it_can_ask():
    """Found on reading: at the end of a process what had said nothing yet was closed with the idle ones."""

    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            held = world.sidecar._listener
            client = await Raw(world.port).connect()
            await until(lambda: held.silent)
            held.last_requests()
            held.close()
            await client.send(request(rid="late"))
            assert (await client.read()).endswith(b"late")

    play(scene)


def test_an_answer_that_closes_is_not_taken_along_by_a_reset():
    """Closing with bytes unread resets the connection; what the client has not read by then is lost."""

    async def scene():
        async with Gated() as server, sidecar(line("s1", server.port)) as world:
            world.sidecar._listener.last_requests()
            client = await Raw(world.port).connect()
            await client.send(request("single_shot", rid="whole"))
            await server.came.acquire()
            connection = next(iter(world.sidecar._listener.connections))
            connection._transport.pause_reading()  # as if its bytes came in this very turn
            await client.send(b"GET /half HTTP/1.1\r\n")
            await until(lambda: not connection.quiet())
            server.let.release()
            assert (await client.read()).endswith(b"whole")
            assert not connection._transport.is_closing() or connection not in world.sidecar._listener.connections

    play(scene)


# --- attempts and answers


def test_an_answer_before_the_request_was_out_serves_nobody():
    """Found on reading: a server begins with the last byte, so an answer before it is another request's."""

    async def scene():
        class Early(Server):
            async def _serve(self, reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(GOOD)
                await asyncio.Event().wait()  # and reads no further

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

    play(scene)


@pytest.mark.plain
def test_what_comes_unasked_on_a_new_connection_is_no_answer(monkeypatch):
    """Found on reading: bytes that stand in the kernel as the first request is written."""
    connect = Upstream.connect

    async def unread(self, address):
        connection = await connect(self, address)
        connection._transport.pause_reading()
        await until(lambda: connection._poll.poll(0))
        connection._transport.resume_reading()
        return connection

    monkeypatch.setattr(Upstream, "connect", unread)

    async def scene():
        class Eager(Server):
            async def _serve(self, reader, writer):
                writer.write(GOOD)
                await super()._serve(reader, writer)

        monkeypatch.setattr("test_servers.Server", Eager)
        found, _ = await outcomes(lambda talk, call: asyncio.Event().wait())
        assert found == [(How.CONNECT_FAILED, b"")]

    play(scene)


# --- the list


def test_a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts():
    """Found on reading: it was noticed as late as what it missed counted, and then a pause for a failed call came."""

    async def scene():
        raw = settings(discovery="subscribe", invariants={"mustAskInNs": 10**9})
        registry = Registry(503, 503, listing())  # failures before have made the pause longer
        async with Server(registry) as place, sidecar(discovery=place.port, raw=raw):
            for _ in range(3):
                await registry.asked.get()
            _, query, at = await registry.asked.get()  # and says nothing more
            wait = int(query["wait_ms"][0]) / 1e3
            _, query, again = await registry.asked.get()
            assert query["wait_ms"] == ["0"] and wait > 0
            assert wait + SILENT_S <= again - at < wait + 2.0

    play(scene)


def test_a_pushed_list_that_falls_silent_is_opened_anew_at_once():
    async def scene():
        raw = settings(discovery="automatic", invariants={"mustAskInNs": 10**9})
        registry = Registry(listing())
        async with Server(registry) as agent, sidecar(discovery=agent.port, raw=raw):
            await registry.asked.get()
            _, query, at = await registry.asked.get()
            _, _, again = await registry.asked.get()
            assert again - at < int(query["wait_ms"][0]) / 1e3 + 2.0

    play(scene)


def test_the_pause_before_a_silent_watch_is_opened_anew_does_not_grow():
    raw = settings(discovery="subscribe", invariants={"mustAskInNs": 60 * 10**9})
    balancer = Balancer(Settings.parse(raw), 1, 0)
    balancer.handle(0, Directory("SAVED"))
    for now in (1, 2, 3):
        balancer.handle(now, Directory("FAILED"))
    balancer.handle(4, Directory("FULL"))
    for now in (5, 6, 7, 8):
        pauses = [a.in_ns for a in balancer.handle(now, Directory("SILENT")) if isinstance(a, Defer)]
        assert len(pauses) == 1 and pauses[0] <= SILENCE_NS + 1


def test_a_discovery_that_does_not_wait_is_not_called_as_fast_as_it_answers():
    async def scene():
        raw = settings(discovery="subscribe", invariants={"mustAskInNs": 4 * 10**9})
        nothing = listing(index=1, snapshot=False)
        registry = Registry(listing(), *[nothing] * 100)
        async with Server(registry) as place, sidecar(discovery=place.port, raw=raw):
            for _ in range(3):
                _, _, first = await registry.asked.get()
            _, _, second = await registry.asked.get()
            assert 0.09 <= second - first < 0.2  # a watch goes on for 0.2 s

    play(scene)


@pytest.mark.parametrize("bad", [503, None, b"{not json", dump([1]), dump({"index": "x", "endpoints": []})])
def test_a_bad_list_leaves_the_good_one_in_use_and_the_log_says_so_once(bad, capfd):
    async def scene():
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
                assert world.sidecar._index == 4

    play(scene)
    said = capfd.readouterr().err
    assert said.count("event=discovery.lost") == 1 and said.count("event=discovery.back") == 1


# --- memory


def test_a_request_leaves_nothing_behind_in_memory():
    """Found on the long day: compiled, each answer left a bytes object behind, 9 MB in 15 minutes."""

    async def scene():
        # So few descriptors that none is opened ahead: a connection more is no part of what a request leaves behind.
        async with Server(ok) as server, sidecar(line("s1", server.port), sockets=36) as world:
            client = await world.client()

            async def ask(number: int) -> int:
                for _ in range(number):
                    assert (await client.ask())[0] == 200
                server.calls.clear()
                world.sidecar.core._ids.clear()  # they stay for twice a deadline
                gc.collect()
                return sys.getallocatedblocks()

            before = await ask(300)
            most = 600
            assert await ask(most) - before < most / 4

    play(scene)


def test_connections_are_of_the_compiled_class_where_that_is_asked_for(request):
    """The leak above shows in compiled modules alone: this says which ones it was looked for in."""
    compiled = not hasattr(ClientConnection.answer, "__code__")
    assert compiled == bool(request.config.getoption("--compiled"))


def test_a_second_answer_that_comes_late_is_never_the_next_requests(monkeypatch):
    """Found on reading: the next request went out at once, and what then came late was taken for its answer."""
    monkeypatch.setattr(upstream_side, "REST_S", 0.5)

    async def scene():
        late, asked = asyncio.Event(), asyncio.Event()

        async def script(talk, call):
            rid = call.headers["x-request-id"].encode()
            if rid == b"first":
                await talk.answer(200, rid)
                await asyncio.wait(
                    [asyncio.ensure_future(e.wait()) for e in (late, asked)], return_when=asyncio.FIRST_COMPLETED
                )
                await talk.answer(200, rid)  # once more: late, or on the heels of the next request
            else:
                asked.set()
                await asyncio.sleep(0.02)
                await talk.answer(200, rid)

        async with Server(script) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            assert (await client.ask("single_shot", rid="first"))[2] == b"first"
            asking = asyncio.ensure_future(client.ask("single_shot", rid="second"))
            await until(lambda: any(c.out for c in world.sidecar.core.calls.values()))
            late.set()
            assert (await asking)[2] == b"second"
            assert server.connections == 2

    play(scene)


def test_a_call_that_ends_while_its_connection_rests_gives_it_back(monkeypatch):
    monkeypatch.setattr(upstream_side, "REST_S", 30.0)

    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await Raw(world.port).connect()
            assert (await (await world.client()).ask("single_shot"))[0] == 200
            await client.send(request("single_shot"))
            await until(lambda: any(c.out for c in world.sidecar.core.calls.values()))
            client.close()
            await until(lambda: not world.sidecar.core.calls)
            assert [len(t.idle) for t in world.sidecar._upstream._targets.values()] == [1]
            assert len(server.calls) == 1

    play(scene)


def test_nothing_goes_to_a_server_that_begins_to_drain_while_its_connection_rests(monkeypatch):
    monkeypatch.setattr(upstream_side, "REST_S", 0.2)

    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            assert (await client.ask("single_shot"))[0] == 200
            asking = asyncio.ensure_future(client.ask("single_shot", timeout="1"))
            await until(lambda: any(c.out for c in world.sidecar.core.calls.values()))
            drains = listing(line("s1", server.port, status="DRAINING"), index=2)
            world.sidecar._told(read_listing(drains, world.sidecar._settings))
            assert (await asking)[0] == 503 and len(server.calls) == 1

    play(scene)
