"""Control interface: responses, malformed and incomplete requests, metrics and drain."""

from __future__ import annotations

import asyncio

import pytest
from backend import Call, Client, Conversation, Server, line, ok, operate, play, sidecar

from rosechute.sidecar import control
from rosechute.sidecar.stats import Gauges, Stats


@pytest.mark.parametrize(
    ("call", "status"),
    [
        ("GET /healthcheck", 200),
        ("GET /healthcheck?verbose", 200),
        ("GET /stats", 200),
        ("PUT /healthcheck/ok", 200),
        ("GET /nothing", 404),
        ("GET /", 404),
        ("GET /-/ready", 404),
        ("PUT /stats", 405),
        ("GET /healthcheck/fail", 405),
        ("POST /healthcheck/ok", 405),
        ("DELETE /nothing", 404),
    ],
)
def test_each_request_gets_one_response_and_a_close(call, status):
    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            assert (await world.operate(call))[0] == status
            assert world.sidecar.ready()  # only PUT /healthcheck/fail drains

    play(scenario)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /stats HTTP/1.1\r\nHost ops\r\n\r\n", 400),
        (b"PUT /healthcheck/fail HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET /" + b"p" * (control.MAX_REQUEST_BYTES + 1), 431),
        (b"PUT /healthcheck/fail HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" + b"x" * 9000, 431),
        (b"CONNECT a:1 HTTP/1.1\r\n\r\n", 404),
    ],
)
def test_malformed_requests_get_an_error_and_change_nothing(sent, status):
    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = Client(*await asyncio.open_connection("127.0.0.1", world.control))
            await client.send(sent)
            assert (await client.answer())[0] == status
            assert await client.reader.read() == b""
            assert world.sidecar.ready()

    play(scenario)


def test_idle_and_incomplete_requests_block_no_others_and_time_out(monkeypatch):
    monkeypatch.setattr(control, "REQUEST_TIMEOUT_S", 0.3)

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            idle = [Client(*await asyncio.open_connection("127.0.0.1", world.control)) for _ in range(40)]
            for client in idle[::2]:
                await client.send(b"GET /sta")
            assert (await world.operate("GET /healthcheck"))[0] == 200
            assert len(world.sidecar._control.connections) <= control.MAX_CONNECTIONS
            while world.sidecar._control.connections:
                await asyncio.sleep(0.01)
            assert b"408" in await idle[-2].reader.read()
            for client in idle:
                client.writer.close()

    play(scenario)


def test_pipelined_requests_get_one_response():
    async def scenario():
        async with sidecar() as world:
            client = Client(*await asyncio.open_connection("127.0.0.1", world.control))
            await client.send(b"GET /stats HTTP/1.1\r\nHost: o\r\n\r\nPUT /healthcheck/fail HTTP/1.1\r\n\r\n")
            assert (await client.reader.read()).count(b"HTTP/1.1 ") == 1
            assert not world.sidecar._listener.draining

    play(scenario)


def test_metrics_count_requests_and_attempts():
    async def scenario():
        received, proceed = asyncio.Event(), asyncio.Event()

        async def script(talk: Conversation, call: Call) -> None:
            rid = call.headers["x-request-id"]
            if rid == "slow":
                received.set()
                await proceed.wait()
            await talk.answer(*((500,) if rid == "bad" else (200, b"done")))

        async with (
            Server(script) as server,
            sidecar(line("s1", server.port), line("s2", server.port, status="DRAINING")) as world,
        ):
            empty = await world.figures()
            assert empty['node_success_total{tier="free"}'] == 0 and empty["node_backend_calls_total"] == 0
            assert empty["node_hosts_listed"] == 2 and empty["node_hosts_down"] == 1
            client = await world.client()
            for _ in range(3):
                assert (await client.ask("single_shot"))[0] == 200
            assert (await client.ask("single_shot", "bad"))[0] == 502
            asking = asyncio.ensure_future((await world.client()).ask("single_shot", "slow"))
            await received.wait()
            assert (await world.figures())["node_inflight"] == 1
            proceed.set()
            assert (await asking)[0] == 200
            assert (await client.ask("nosuch"))[0] == 404  # counts for no class
            metrics = await world.figures()
            assert metrics['node_success_total{tier="single_shot"}'] == 4
            assert metrics['node_failure_total{tier="single_shot"}'] == 1
            assert metrics["node_backend_calls_total"] == 5 and metrics["node_inflight"] == 0

    play(scenario)


def test_refusal_counts_as_busy_and_unsent_attempts_do_not_count():
    async def scenario():
        gone = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = gone.sockets[0].getsockname()[1]
        gone.close()
        await gone.wait_closed()
        async with sidecar(line("s1", port)) as world:
            assert (await (await world.client()).ask("single_shot"))[0] == 503
            metrics = await world.figures()
            assert metrics['node_busy_total{tier="single_shot"}'] == 1
            assert metrics["node_backend_calls_total"] == 0

    play(scenario)


def test_labels_are_escaped_and_removed_classes_keep_their_counters():
    stats = Stats(['odd"\\\n'])
    stats.ended('odd"\\\n', 200)
    stats.add_classes(["other"])
    text = stats.render(Gauges(0, 0, 0)).decode()
    assert 'node_success_total{tier="odd\\"\\\\\\n"} 1\n' in text
    assert 'node_success_total{tier="other"} 0\n' in text


def test_draining_sidecar_is_not_ready_still_serves_and_can_be_reactivated():
    async def scenario():
        received, proceed = asyncio.Event(), asyncio.Event()

        async def slow(talk: Conversation, call: Call) -> None:
            if call.headers["x-request-id"] == "slow":
                received.set()
                await proceed.wait()
            await ok(talk, call)

        async with Server(slow) as server, sidecar(line("s1", server.port)) as world:
            clients = [await world.client() for _ in range(2)]
            for client in clients:
                assert (await client.ask())[0] == 200
            waiting = await world.client()  # connects now: one that sends nothing for 2.1 s is closed
            asking = asyncio.ensure_future(waiting.ask("single_shot", "slow"))
            await received.wait()
            for _ in range(2):  # a repeated drain has no further effect
                assert (await world.operate("PUT /healthcheck/fail"))[0] == 200
            assert (await world.operate("GET /healthcheck"))[0] == 503
            status, headers, _ = await clients[0].ask()  # sent on a connection that was open before the drain
            assert status == 200 and headers["connection"] == "close"
            assert await clients[0].reader.read() == b""
            front = await world.client()
            await front.send(b"GET /-/ready HTTP/1.1\r\nHost: app\r\n\r\n")
            status, headers, _ = await front.answer()
            assert status == 503 and headers["connection"] == "close"
            assert await clients[1].reader.read() == b""  # an idle connection is closed without an answer
            proceed.set()
            status, headers, _ = await asking
            assert status == 200 and headers["connection"] == "close"
            while world.sidecar._listener.connections:
                await asyncio.sleep(0.01)
            assert (await world.operate("PUT /healthcheck/ok"))[0] == 200
            assert (await world.operate("GET /healthcheck"))[0] == 200
            status, headers, _ = await (await world.client()).ask()
            assert status == 200 and "connection" not in headers

    play(scenario)


def test_drain_under_load_loses_no_request_and_closes_all_connections():
    """Clients use their connections until the sidecar closes these."""

    async def scenario():
        served, ended = [], []

        async def use(client: Client) -> None:
            while True:
                try:
                    status, headers, _ = await client.ask()
                except (asyncio.IncompleteReadError, ConnectionError):
                    ended.append("cut")
                    return
                served.append(status)
                if headers.get("connection") == "close":
                    ended.append("told")
                    return
                await asyncio.sleep(0.002)

        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            using = [asyncio.ensure_future(use(await world.client())) for _ in range(20)]
            await asyncio.sleep(0.1)
            await world.operate("PUT /healthcheck/fail")
            start = asyncio.get_running_loop().time()
            await asyncio.gather(*using)
            assert ended == ["told"] * 20 and set(served) <= {200, 503}
            assert asyncio.get_running_loop().time() - start < 2.0

    play(scenario)


def test_stop_after_drain_closes_the_control_listener():
    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            await world.operate("PUT /healthcheck/fail")
            await world.sidecar.stop()
            with pytest.raises(ConnectionError):
                await operate(world.control, "GET /healthcheck")

    play(scenario)
