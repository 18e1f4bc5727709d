"""The sidecar as a process: configuration, readiness, signals and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest
from backend import LIMIT_S, Call, Client, Conversation, Server, line, listing, play, settings

from rosechute.sidecar.config import ConfigError, load

ROOT = Path(__file__).parent.parent
SIDECAR_COMMAND = ("-S", "deploy/start_sidecar.py")  # the interpreter's arguments, as the platform starts it


def config(**changes):
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "ff",
        "limits": {"sockets": 1024},
        "known": listing(),
        "settings": settings(),
        **changes,
    }


def write_config(tmp_path, raw):
    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw), encoding="utf-8")
    return {"NODE_CONFIG": str(path)}


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def test_environment_variables_override_the_file(tmp_path):
    env = {**write_config(tmp_path, config()), "NODE_LISTEN": "127.0.0.2:80", "NODE_NAME": "n9"}
    made = load(env)
    assert made.listen == ("127.0.0.2", 80) and made.name == "n9" and made.seed == 255


@pytest.mark.parametrize(
    ("raw", "key"),
    [
        ("{", "NODE_CONFIG"),
        ("[]", "NODE_CONFIG"),
        (config(listen="here"), "listen"),
        (config(seed=7), "seed"),
        (config(discovery=None), "discovery"),
        (config(known=[]), "known"),
        (config(name=1), "name"),
        (config(limits={"sockets": "many"}), "limits.sockets"),
        (config(settings={}), "settings.classes"),
        (config(settings=None), "settings"),
        (config(listen="127.0.0.1:99999"), "listen"),
        (
            config(settings=settings(classes=[{"name": "a", "hardLimitNs": 1, "repeat": "often"}])),
            r"classes\[0\].repeat",
        ),
        (
            config(settings=settings(classes=[{"name": "a", "hardLimitNs": 1, "group": "rack"}])),
            r"classes\[0\].group",
        ),
        (config(settings=settings(classes=[{"name": "a", "hardLimitNs": 1}] * 2)), r"classes\[1\].name"),
        (config(settings=settings(classes=[{"hardLimitNs": 1}])), r"classes\[0\].name"),
        (config(settings=settings(discovery="gossip")), "settings.discovery"),
        (config(settings=settings(reporting={"how": "mail"})), "settings.reporting.how"),
    ],
)
def test_invalid_configuration_names_its_key(tmp_path, raw, key):
    with pytest.raises(ConfigError, match=key) as caught:
        load(write_config(tmp_path, raw))
    assert "\n" not in str(caught.value)


async def start(env):
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rosechute.sidecar", cwd=ROOT, env={**os.environ, **env}, stderr=asyncio.subprocess.PIPE
    )


async def wait_until_stopping(client):
    """Poll readiness until it fails after the signal; return the headers of that response."""
    while True:
        await client.send(b"GET /-/ready HTTP/1.1\r\nHost: app\r\n\r\n")
        status, headers, _ = await client.answer()
        if status == 503:
            return headers


UNRELATED_EVENTS = (b"event=discovery.", b"event=loop.stood_still")  # no discovery runs, and the machine may be busy


async def next_log_line(process):
    """Return the next log line that is about neither the missing discovery nor a busy machine."""
    log_line = await process.stderr.readline()
    while any(event in log_line for event in UNRELATED_EVENTS):
        log_line = await process.stderr.readline()
    return log_line


def test_invalid_configuration_exits_with_2_and_one_line(tmp_path):
    async def scenario():
        process = await start(write_config(tmp_path, config(seed="xyz")))
        _, errors = await process.communicate()
        assert process.returncode == 2 and errors.count(b"\n") == 1 and b"seed" in errors

    play(scenario)


def test_sigterm_answers_open_requests_and_still_accepts_new_ones(tmp_path):
    async def scenario():
        received, proceed = asyncio.Event(), asyncio.Event()

        async def slow(talk: Conversation, call: Call) -> None:
            if call.headers["x-request-id"] == "slow":
                received.set()
                await proceed.wait()
            await talk.answer(200, b"done")

        port = free_port()
        async with Server(slow) as server:
            raw = config(listen=f"127.0.0.1:{port}", known=listing(line("s1", server.port)))
            process = await start(write_config(tmp_path, raw))
            assert b"listening" in await next_log_line(process)
            clients = [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(3)]
            taken = asyncio.ensure_future(clients[0].ask("single_shot", "slow"))
            await received.wait()
            process.send_signal(signal.SIGTERM)
            assert (await wait_until_stopping(clients[1]))["connection"] == "close"
            late = Client(*await asyncio.open_connection("127.0.0.1", port))
            status, headers, _ = await late.ask("single_shot", "late")
            assert status == 200 and headers["connection"] == "close"
            assert await clients[2].reader.read() == b""  # an idle connection is closed
            proceed.set()
            assert (await taken)[2] == b"done"
            assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    play(scenario)


def test_reloaded_file_overrides_the_environment_variable(tmp_path):
    """NODE_DISCOVERY keeps its value from the start, and must not override a new address in the file."""
    env = {**write_config(tmp_path, config(discovery="127.0.0.1:7")), "NODE_DISCOVERY": "127.0.0.1:5"}
    assert load(env).discovery == ("127.0.0.1", 5)
    assert load(env, is_reload=True).discovery == ("127.0.0.1", 7)


def test_sighup_switches_discovery_and_an_invalid_file_changes_nothing(tmp_path):
    """Regression test: SIGHUP killed the process. Versions of the new discovery may be lower."""

    async def scenario():
        port, asked = free_port(), {"old": asyncio.Queue(), "new": asyncio.Queue()}

        def place(name: str, answer: dict):
            async def script(talk: Conversation, call: Call) -> None:
                asked[name].put_nowait(call.target)
                if "wait_ms=0" in call.target or "?" not in call.target:
                    await talk.answer(200, json.dumps(answer).encode())
                else:
                    await asyncio.sleep(60)

            return script

        async def serve(talk: Conversation, call: Call) -> None:
            await talk.answer(200, b"done")

        async with (
            Server(serve) as one,
            Server(serve) as two,
            Server(place("old", listing(line("s1", one.port), index=900))) as old,
            Server(place("new", listing(line("s2", two.port), index=3))) as new,
        ):
            raw = config(
                listen=f"127.0.0.1:{port}",
                discovery=f"127.0.0.1:{old.port}",
                settings=settings(discovery="subscribe", invariants={"mustAskInNs": 10**9}),
            )
            env = {**write_config(tmp_path, raw), "NODE_DISCOVERY": f"127.0.0.1:{old.port}"}
            process = await start(env)
            assert b"listening" in await next_log_line(process)
            while "wait_ms=0" in await asked["old"].get():
                pass  # the watch is running
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.ask())[0] == 200 and len(one.calls) == 1

            write_config(tmp_path, "{")
            process.send_signal(signal.SIGHUP)
            assert b"old_configuration_kept" in await next_log_line(process)
            assert (await client.ask())[0] == 200 and len(one.calls) == 2

            write_config(tmp_path, {**raw, "discovery": f"127.0.0.1:{new.port}"})
            process.send_signal(signal.SIGHUP)
            assert b"reload.taken" in await next_log_line(process)
            assert await asked["new"].get() == "/api/targets"  # the complete list first
            assert "after=3&" in await asked["new"].get()  # then its own versions
            assert (await client.ask())[0] == 200 and len(two.calls) == 1
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    play(scenario)


def test_sighup_during_start_does_not_kill(tmp_path):
    async def scenario():
        process = await start(write_config(tmp_path, config()))
        while process.returncode is None:  # until the process ignores or handles SIGHUP
            status = Path(f"/proc/{process.pid}/status").read_text()
            masks = dict(text.split(":\t") for text in status.splitlines() if text.startswith("Sig"))
            if (int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) & 1:
                break
            await asyncio.sleep(0)
        process.send_signal(signal.SIGHUP)
        assert b"listening" in await next_log_line(process)
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    play(scenario)


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    ],
)
def test_signals_in_any_order_stop_once_and_lose_no_request(tmp_path, signals):
    async def scenario():
        received, proceed = asyncio.Event(), asyncio.Event()

        async def slow(talk: Conversation, call: Call) -> None:
            received.set()
            await proceed.wait()
            await talk.answer(200, b"done")

        port = free_port()
        async with Server(slow) as server:
            raw = config(listen=f"127.0.0.1:{port}", known=listing(line("s1", server.port)))
            process = await start(write_config(tmp_path, raw))
            assert b"listening" in await next_log_line(process)
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            taken = asyncio.ensure_future(client.ask("single_shot", "slow"))
            await received.wait()
            for number in signals:
                process.send_signal(number)
            visitor = Client(*await asyncio.open_connection("127.0.0.1", port))
            await wait_until_stopping(visitor)
            proceed.set()
            assert (await taken)[2] == b"done"
            _, errors = await asyncio.wait_for(process.communicate(), LIMIT_S)
            assert process.returncode == 0 and b"Traceback" not in errors

    play(scenario)
