"""Two processes that are one sidecar: handing over, and all the ways in which one of them is not there."""

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
from build import MS, SECOND, accept, balancer, fleet, only, outcome
from test_process import LIMIT_S, config, free_port

from rosechute.load_balancing import Directory, Entry, Submit, memory
from rosechute.sidecar import takeover
from rosechute.sidecar.config import ConfigError, load
from rosechute.sidecar.takeover import LENGTH, Takeover

ROOT = Path(__file__).parent.parent


class Platform:
    """Holds the clients' socket and starts processes on it."""

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
        """One process, once it says that it is ready; and its operators' port."""
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
            "-m",
            "rosechute.sidecar",
            cwd=ROOT,
            env=env,
            pass_fds=[self.socket.fileno()],
            stderr=asyncio.subprocess.PIPE,
        )
        self.started.append(process)
        await heard(process, b"listening")
        assert (await operate(control, "GET /healthcheck"))[0] == 200
        return process, control

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


async def heard(process: asyncio.subprocess.Process, text: bytes) -> None:
    while text not in (said := await process.stderr.readline()):
        assert said, "the log ended"


def test_the_new_process_goes_on_where_the_old_one_stands(tmp_path):
    """Nothing refused, nothing lost, ids known across both, and nothing taken back from the queue."""

    async def scene():
        came, go = asyncio.Event(), asyncio.Event()

        async def slow(talk: Conversation, call: Call) -> None:
            if call.headers["x-request-id"] == "slow":
                came.set()
                await go.wait()
            await ok(talk, call)

        async with Server(slow) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            kept = await platform.client()
            assert (await kept.ask("single_shot", "once"))[0] == 200
            waiting = asyncio.ensure_future((await platform.client()).ask("single_shot", "slow"))
            await came.wait()
            new, control = await platform.start()
            old.send_signal(signal.SIGTERM)
            await heard(new, b"takeover.clients_taken")
            fresh = await platform.client()
            assert (await fresh.ask("single_shot", "slow"))[0] == 409  # open at the old one
            assert (await (await platform.client()).ask("single_shot", "once"))[0] == 409
            assert (await (await platform.client()).ask("single_shot", "next"))[0] == 200
            go.set()
            status, headers, _ = await waiting
            assert status == 200 and headers["connection"] == "close"
            assert await asyncio.wait_for(old.wait(), LIMIT_S) == 0
            assert (await (await platform.client()).ask())[0] == 200
            assert (await operate(control, "GET /healthcheck"))[0] == 200
            third, _ = await platform.start()  # and once more
            new.send_signal(signal.SIGTERM)
            await heard(third, b"takeover.clients_taken")
            assert (await (await platform.client()).ask())[0] == 200
            assert await asyncio.wait_for(new.wait(), LIMIT_S) == 0
            assert (await (await platform.client()).ask())[0] == 200

    play(scene)


def test_an_id_taken_by_either_after_the_handover_is_known_to_both(tmp_path):
    async def scene():
        async with Server(ok) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            kept = [await platform.client() for _ in range(2)]
            for client in kept:
                assert (await client.ask())[0] == 200
            new, _ = await platform.start()
            old.send_signal(signal.SIGTERM)
            await heard(new, b"takeover.clients_taken")
            assert (await kept[0].ask("single_shot", "at-old"))[0] == 200  # its connection is the old one's
            assert (await (await platform.client()).ask("single_shot", "at-old"))[0] == 409
            assert (await (await platform.client()).ask("single_shot", "at-new"))[0] == 200
            assert (await kept[1].ask("single_shot", "at-new"))[0] == 409

    play(scene)


def test_the_old_process_dying_early_leaves_the_clients_to_the_new_one(tmp_path):
    async def scene():
        async with Server(ok) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            new, _ = await platform.start()
            old.kill()
            await heard(new, b"takeover.clients_taken")
            assert (await (await platform.client()).ask())[0] == 200

    play(scene)


def test_a_new_process_that_dies_before_its_yes_changes_nothing(tmp_path):
    async def scene():
        async with Server(ok) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            _, link = await asyncio.open_unix_connection(str(tmp_path / takeover.NAME))
            await heard(old, b"takeover.called")
            link.close()
            assert (await (await platform.client()).ask())[0] == 200
            new, _ = await platform.start()
            new.kill()
            await new.wait()
            assert (await (await platform.client()).ask())[0] == 200
            last, _ = await platform.start()  # the next one still finds the old one
            old.send_signal(signal.SIGTERM)
            await heard(last, b"takeover.clients_taken")
            assert (await (await platform.client()).ask())[0] == 200

    play(scene)


def test_without_a_new_process_the_queue_is_left_as_it_is(tmp_path):
    """Shutting the socket down would end it for the platform and for whoever comes next."""

    async def scene():
        async with Server(ok) as server, Platform(tmp_path, line("s1", server.port)) as platform:
            old, _ = await platform.start()
            old.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.wait(), LIMIT_S) == 0
            early = await platform.client()
            asking = asyncio.ensure_future(early.ask())
            await platform.start()  # the path is there, and nobody behind it
            assert (await asking)[0] == 200

    play(scene)


@pytest.mark.parametrize(
    "said",
    [
        b"",
        b"\xff" * 40,
        LENGTH.pack(4) + b"nope",
        LENGTH.pack(2) + b"[]",
        *[
            LENGTH.pack(len(text)) + text
            for text in (
                b'{"kind": "hello", "v": 99}',
                b'{"kind": "hello", "v": 1}',
                b'{"kind": "hello", "v": 1, "list": [], "ids": [[1]], "memory": {"version": 1, "own": 3}}',
                b'{"kind": "hello", "v": 1, "list": {"index": 9, "lines": [["s1", 2]]}, "ids": 7, "memory": []}',
            )
        ],
    ],
)
def test_an_old_process_that_says_nothing_usable_means_a_cold_start(monkeypatch, tmp_path, said):
    monkeypatch.setattr(takeover, "HELLO_S", 0.2)

    async def scene():
        from backend import settings

        from rosechute.load_balancing import Settings
        from rosechute.proxy.core.address import Address
        from rosechute.sidecar.config import Config
        from rosechute.sidecar.sidecar import Sidecar

        async def greet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(said)
            await reader.read()
            writer.close()

        held = socket.create_server(("127.0.0.1", 0))
        async with Server(ok) as server:
            await asyncio.start_unix_server(greet, str(tmp_path / takeover.NAME))
            made = Sidecar(
                Config(
                    "n0",
                    Address("127.0.0.1", 0),
                    Address("127.0.0.1", 1),
                    7,
                    1024,
                    listing(line("s1", server.port)),
                    Settings.parse(settings()),
                    listen_fd=os.dup(held.fileno()),
                    folder=str(tmp_path),
                ),
                asyncio.get_running_loop(),
            )
            port = await made.start()
            assert made.healthy()  # a first yes; the old one's word is due
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.ask())[0] == 200
        held.close()

    play(scene)


def test_a_socket_that_is_none_is_turned_down(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    with socket.socket() as idle:
        for text in ("x", "-1", "9999", str(idle.fileno())):
            with pytest.raises(ConfigError, match="NODE_LISTEN_FD"):
                load({"NODE_CONFIG": str(path), "NODE_LISTEN_FD": text})


def test_two_processes_keep_to_half_the_descriptors_each(tmp_path):
    async def scene():
        shares: list[int] = []

        class Half:
            def share(self, processes: int) -> None:
                shares.append(processes)

            def state(self) -> dict:
                return {}

            def adopt(self, state: dict) -> None: ...
            def hear(self, frame: dict) -> None: ...
            def open_up(self) -> None: ...

        loop = asyncio.get_running_loop()
        old, new = Takeover(Half(), loop, str(tmp_path)), Takeover(Half(), loop, str(tmp_path))
        await old.serve()
        assert await new.find()
        assert shares == [2, 2]
        new.close()
        while len(shares) < 4:
            await asyncio.sleep(0.01)
        assert shares == [2, 2, 1, 1] and not old.linked()
        old.close()

    play(scene)


# --- what the module hands on -----------------------------------------------------------------------


def taught():
    b = balancer(servers=3)
    for i in range(60):
        for send in only(b.handle(i * 20 * MS, accept(f"c{i}", cls=2)), Submit):
            b.handle(i * 20 * MS + 15 * MS, outcome(send, lag_ns=15 * MS))
    b._servers["10.0.0.1:80"].k = 0
    b._servers["10.0.0.1:80"].retry_at = 9 * SECOND
    return b


def test_what_was_learnt_passes_on_as_plain_data():
    old, new = taught(), balancer(servers=3)
    assert memory.recall(new, SECOND, json.loads(json.dumps(memory.told(old, SECOND))))
    assert new._extra[2] == old._extra[2] and new._stretch == old._stretch
    for name, server in old._servers.items():
        assert new._servers[name].stretch == server.stretch and new._servers[name].k == server.k
    assert new.census(SECOND) == (3, 1) and new._live == 2
    sent = {s.server for i in range(40) for s in only(new.handle(SECOND + i, accept(f"n{i}")), Submit)}
    assert sent and "10.0.0.1:80" not in sent


def test_memory_of_another_process_of_a_server_is_left_aside():
    new = balancer(servers=0)
    new.handle(0, Directory("FULL", (Entry("10.0.0.1:80", started_ns=SECOND),)))
    assert memory.recall(new, 2 * SECOND, memory.told(taught(), SECOND))
    assert new._servers["10.0.0.1:80"].k == 1


@pytest.mark.parametrize(
    "spoil",
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
def test_useless_memory_changes_nothing(spoil):
    new = balancer(servers=3)
    before = memory.told(new, 0)
    assert not memory.recall(new, SECOND, spoil(memory.told(taught(), SECOND)))
    assert memory.told(new, 0) == before


def test_one_process_alone_feeds_cold_servers():
    b = balancer(servers=0)
    b.handle(0, fleet(1))
    now = 100 * SECOND
    b.handle(now, Directory("FULL", (Entry("10.0.0.0:80", started_ns=now),)))
    b._servers["10.0.0.0:80"].credit = 1.0
    b.ceded = True
    assert not only(b.handle(now + 1, accept("a")), Submit)
    b.ceded = False
    assert only(b.handle(now + 2, accept("b")), Submit)
