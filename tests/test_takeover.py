"""Takeover between two processes of one sidecar, and failures of either process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest
from backend import Call, Client, Conversation, Server, line, listing, ok, operate, play
from build import MS, SECOND, accept, balancer, fleet, of_type, outcome
from test_process import LIMIT_S, SIDECAR_COMMAND, config, free_port

from rosechute.load_balancing import Directory, Entry, Submit, memory
from rosechute.sidecar import takeover
from rosechute.sidecar.config import ConfigError, load
from rosechute.sidecar.takeover import LENGTH_PREFIX, Takeover

ROOT = Path(__file__).parent.parent


class Platform:
    """Holds the listening socket for clients and starts sidecar processes on it."""

    def __init__(self, folder: Path, *lines: dict) -> None:
        self.folder, self.lines = folder, lines
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.socket.getsockname()[1]
        self.started: list[asyncio.subprocess.Process] = []

    async def __aenter__(self) -> Platform:
        return self

    async def __aexit__(self, *exc: object) -> None:
        for process in self.started:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.socket.close()

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        """Start a process; return it and its control port once it is ready."""
        control, number = free_port(), len(self.started)
        path = self.folder / f"config{number}.json"
        path.write_text(json.dumps(config(listen=f"127.0.0.1:{self.port}", known=listing(*self.lines))))
        env = {
            **os.environ,
            "NODE_CONFIG": str(path),
            "NODE_CONTROL": f"127.0.0.1:{control}",
            "NODE_LISTEN_FD": str(self.socket.fileno()),
            "TMPDIR": str(self.folder),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *SIDECAR_COMMAND,
            cwd=ROOT,
            env=env,
            pass_fds=[self.socket.fileno()],
            stderr=asyncio.subprocess.PIPE,
        )
        self.started.append(process)
        await wait_for_log(process, b"listening")
        assert (await operate(control, "GET /healthcheck"))[0] == 200
        return process, control

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


async def wait_for_log(process: asyncio.subprocess.Process, text: bytes) -> None:
    while text not in (frame_bytes := await process.stderr.readline()):
        assert frame_bytes, "the log ended"


def test_new_process_continues_without_loss(tmp_path):
    """No request is refused or lost, both processes know all ids, and queued connections are served."""

    async def scenario():
        received, proceed = asyncio.Event(), asyncio.Event()

        async def slow(talk: Conversation, call: Call) -> None:
            if call.headers["x-request-id"] == "slow":
                received.set()
                await proceed.wait()
            await ok(talk, call)

        async with Server(slow) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            kept = await platform.client()
            assert (await kept.ask("single_shot", "once"))[0] == 200
            waiting = asyncio.ensure_future((await platform.client()).ask("single_shot", "slow"))
            await received.wait()
            new, control = await platform.start()
            old.send_signal(signal.SIGTERM)
            await wait_for_log(new, b"takeover.clients_taken")
            fresh = await platform.client()
            assert (await fresh.ask("single_shot", "slow"))[0] == 409  # still open in the old process
            assert (await (await platform.client()).ask("single_shot", "once"))[0] == 409
            assert (await (await platform.client()).ask("single_shot", "next"))[0] == 200
            proceed.set()
            status, headers, _ = await waiting
            assert status == 200 and headers["connection"] == "close"
            assert await asyncio.wait_for(old.wait(), LIMIT_S) == 0
            assert (await (await platform.client()).ask())[0] == 200
            assert (await operate(control, "GET /healthcheck"))[0] == 200
            third, _ = await platform.start()  # a second takeover
            new.send_signal(signal.SIGTERM)
            await wait_for_log(third, b"takeover.clients_taken")
            assert (await (await platform.client()).ask())[0] == 200
            assert await asyncio.wait_for(new.wait(), LIMIT_S) == 0
            assert (await (await platform.client()).ask())[0] == 200

    play(scenario)


def test_ids_accepted_after_the_takeover_are_known_to_both(tmp_path):
    async def scenario():
        async with Server(ok) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            kept = [await platform.client() for _ in range(2)]
            for client in kept:
                assert (await client.ask())[0] == 200
            new, _ = await platform.start()
            old.send_signal(signal.SIGTERM)
            await wait_for_log(new, b"takeover.clients_taken")
            assert (await kept[0].ask("single_shot", "at-old"))[0] == 200  # on a connection of the old process
            assert (await (await platform.client()).ask("single_shot", "at-old"))[0] == 409
            assert (await (await platform.client()).ask("single_shot", "at-new"))[0] == 200
            assert (await kept[1].ask("single_shot", "at-new"))[0] == 409

    play(scenario)


def test_new_process_accepts_clients_if_the_old_one_is_killed(tmp_path):
    async def scenario():
        async with Server(ok) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            new, _ = await platform.start()
            old.kill()
            await wait_for_log(new, b"takeover.clients_taken")
            assert (await (await platform.client()).ask())[0] == 200

    play(scenario)


def test_new_process_killed_before_it_is_ready_changes_nothing(tmp_path):
    async def scenario():
        async with Server(ok) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            _, link = await asyncio.open_unix_connection(str(tmp_path / takeover.SOCKET_NAME))
            await wait_for_log(old, b"takeover.called")
            link.close()
            assert (await (await platform.client()).ask())[0] == 200
            new, _ = await platform.start()
            new.kill()
            await new.wait()
            assert (await (await platform.client()).ask())[0] == 200
            last, _ = await platform.start()  # the next process still finds the old one
            old.send_signal(signal.SIGTERM)
            await wait_for_log(last, b"takeover.clients_taken")
            assert (await (await platform.client()).ask())[0] == 200

    play(scenario)


def test_listen_queue_survives_without_a_new_process(tmp_path):
    """Shutting down the socket would also close it for the platform and the next process."""

    async def scenario():
        async with Server(ok) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            old.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.wait(), LIMIT_S) == 0
            early = await platform.client()
            asking = asyncio.ensure_future(early.ask())
            await platform.start()  # the socket file exists, but no process listens
            assert (await asking)[0] == 200

    play(scenario)


@pytest.mark.parametrize(
    "frame_bytes",
    [
        b"",
        b"\xff" * 40,
        LENGTH_PREFIX.pack(4) + b"nope",
        LENGTH_PREFIX.pack(2) + b"[]",
        *[
            LENGTH_PREFIX.pack(len(text)) + text
            for text in (
                b'{"kind": "hello", "v": 99}',
                b'{"kind": "hello", "v": 1}',
                b'{"kind": "hello", "v": 1, "list": [], "ids": [[1]], "memory": {"version": 1, "own": 3}}',
                b'{"kind": "hello", "v": 1, "list": {"index": 9, "lines": [["s1", 2]]}, "ids": 7, "memory": []}',
            )
        ],
    ],
)
def test_invalid_hello_leads_to_a_cold_start(monkeypatch, tmp_path, frame_bytes):
    monkeypatch.setattr(takeover, "HELLO_TIMEOUT_S", 0.2)

    async def scenario():
        from backend import settings

        from rosechute.load_balancing import Settings
        from rosechute.proxy.core.address import Address
        from rosechute.sidecar.config import Config
        from rosechute.sidecar.sidecar import Sidecar

        async def greet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(frame_bytes)
            await reader.read()
            writer.close()

        listening = socket.create_server(("127.0.0.1", 0))
        async with Server(ok) as server:
            await asyncio.start_unix_server(greet, str(tmp_path / takeover.SOCKET_NAME))
            made = Sidecar(
                Config(
                    "n0",
                    Address("127.0.0.1", 0),
                    Address("127.0.0.1", 1),
                    7,
                    1024,
                    listing(line("s1", server.port)),
                    Settings.parse(settings()),
                    listen_fd=os.dup(listening.fileno()),
                    folder=str(tmp_path),
                ),
                asyncio.get_running_loop(),
            )
            port = await made.start()
            assert made.healthy()  # first positive health check: the timeout for the predecessor starts
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.ask())[0] == 200
        listening.close()

    play(scenario)


def test_invalid_listen_descriptor_is_rejected(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    with socket.socket() as idle:
        for text in ("x", "-1", "9999", str(idle.fileno())):
            with pytest.raises(ConfigError, match="NODE_LISTEN_FD"):
                load({"NODE_CONFIG": str(path), "NODE_LISTEN_FD": text})


def test_two_processes_halve_the_limits(tmp_path):
    async def scenario():
        shares: list[int] = []

        class FakeSidecar:
            def set_process_count(self, processes: int) -> None:
                shares.append(processes)

            def state(self) -> dict:
                return {}

            def adopt(self, state: dict) -> None: ...
            def receive_frame(self, frame: dict) -> None: ...
            def open_to_clients(self) -> None: ...

        loop = asyncio.get_running_loop()
        old, new = Takeover(FakeSidecar(), loop, str(tmp_path)), Takeover(FakeSidecar(), loop, str(tmp_path))
        await old.serve()
        assert await new.find_predecessor()
        assert shares == [2, 2]
        new.close()
        while len(shares) < 4:
            await asyncio.sleep(0.01)
        assert shares == [2, 2, 1, 1] and not old.is_linked()
        old.close()

    play(scenario)


# --- State of the decision module -----------------------------------------------------------------------


def trained_balancer():
    b = balancer(servers=3)
    for i in range(60):
        for send in of_type(b.handle(i * 20 * MS, accept(f"c{i}", cls=2)), Submit):
            b.handle(i * 20 * MS + 15 * MS, outcome(send, lag_ns=15 * MS))
    b._servers["10.0.0.1:80"].k = 0
    b._servers["10.0.0.1:80"].retry_at = 9 * SECOND
    return b


def test_module_state_is_transferred_as_plain_data():
    old, new = trained_balancer(), balancer(servers=3)
    assert memory.restore_state(new, SECOND, json.loads(json.dumps(memory.export_state(old, SECOND))))
    assert new._class_latency[2] == old._class_latency[2] and new._stretch == old._stretch
    for name, server in old._servers.items():
        assert new._servers[name].stretch == server.stretch and new._servers[name].k == server.k
    assert new.census(SECOND) == (3, 1) and new._live_count == 2
    sent = {s.server for i in range(40) for s in of_type(new.handle(SECOND + i, accept(f"n{i}")), Submit)}
    assert sent and "10.0.0.1:80" not in sent


def test_state_of_a_restarted_server_is_ignored():
    new = balancer(servers=0)
    new.handle(0, Directory("FULL", (Entry("10.0.0.1:80", started_ns=SECOND),)))
    assert memory.restore_state(new, 2 * SECOND, memory.export_state(trained_balancer(), SECOND))
    assert new._servers["10.0.0.1:80"].k == 1


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda m: None,
        lambda m: [],
        lambda m: {**m, "version": 0},
        lambda m: {**m, "own": {}},
        lambda m: {**m, "crowding": float("nan")},
        lambda m: {**m, "classes": {"free": []}},
        lambda m: {**m, "servers": {"10.0.0.1:80": {"started": 0}}},
        lambda m: {**m, "servers": 7},
    ],
)
def test_invalid_module_state_changes_nothing(corrupt):
    new = balancer(servers=3)
    before = memory.export_state(new, 0)
    assert not memory.restore_state(new, SECOND, corrupt(memory.export_state(trained_balancer(), SECOND)))
    assert memory.export_state(new, 0) == before


def test_only_one_process_sends_to_cold_servers():
    b = balancer(servers=0)
    b.handle(0, fleet(1))
    now = 100 * SECOND
    b.handle(now, Directory("FULL", (Entry("10.0.0.0:80", started_ns=now),)))
    b._servers["10.0.0.0:80"].credit = 1.0
    b.ceded = True
    assert not of_type(b.handle(now + 1, accept("a")), Submit)
    b.ceded = False
    assert of_type(b.handle(now + 2, accept("b")), Submit)
