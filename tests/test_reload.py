"""Reload of the configuration: checks of the file, replacement, and state that is kept."""

from __future__ import annotations

import asyncio
import copy
import dataclasses
import json
import signal

import pytest
from backend import Call, Client, Conversation, Server, figures, line, listing, ok, operate, play, settings, sidecar
from build import MS, SECOND, accept, balancer, fleet, of_type, outcome
from build import settings as built
from test_process import LIMIT_S, config, free_port, next_log_line, start, write_config

from rosechute.load_balancing import Accept, Reconfigure, RequestClass, Response, Settings, Submit
from rosechute.proxy.http1 import admission
from rosechute.sidecar.config import ConfigError, load
from rosechute.sidecar.reload import read_again


def changed(raw: dict, path: str, value: object) -> dict:
    made = copy.deepcopy(raw)
    *parents, last = path.split(".")
    item = made
    for key in parents:
        item = item[int(key)] if isinstance(item, list) else item[key]
    if value is None:
        del item[last]
    else:
        item[last] = value
    return made


COMPLETE = config(control="127.0.0.1:0")


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        ("", "NODE_CONFIG"),
        (json.dumps(COMPLETE)[:200], "NODE_CONFIG"),
        ("[]", "object"),
        ("null", "object"),
        (changed(COMPLETE, "settings", None), "settings"),
        (changed(COMPLETE, "known", None), "known"),
        (changed(COMPLETE, "discovery", None), "discovery"),
        (changed(COMPLETE, "seed", None), "seed"),
        (changed(COMPLETE, "limits", None), "limits"),
        (changed(COMPLETE, "control", None), "control"),
        (changed(COMPLETE, "settings.classes", None), "classes"),
        (changed(COMPLETE, "settings.classes", []), "classes"),
        (changed(COMPLETE, "settings.limits", None), "limits"),
        (changed(COMPLETE, "settings.limits.maxAttempts", None), "maxAttempts"),
        (changed(COMPLETE, "settings.classes.1.hardLimitNs", None), "hardLimitNs"),
        (changed(COMPLETE, "settings.classes.1.repeat", None), "repeat"),
        (changed(COMPLETE, "settings.classes.1.repeat", "often"), "repeat"),
        (changed(COMPLETE, "settings.classes.1.name", "free"), "name"),
        *[
            (changed(COMPLETE, "settings.classes.0.hardLimitNs", value), "hardLimitNs")
            for value in (0, -1, "1200000000", True, [], 1e400)
        ],
        *[
            (changed(COMPLETE, "settings.limits.maxAttempts", value), "maxAttempts")
            for value in (0, -3, "5", True, 2.5, {})
        ],
    ],
)
def test_invalid_file_is_rejected_and_its_key_named(tmp_path, raw, expected):
    old = load(write_config(tmp_path, COMPLETE))
    with pytest.raises(ConfigError, match=expected):
        read_again(write_config(tmp_path, raw), old)


def test_valid_file_is_accepted_and_optional_keys_may_be_removed(tmp_path):
    old = load(write_config(tmp_path, changed(COMPLETE, "settings.classes.0.aimStretch", 1.5)))
    new = changed(COMPLETE, "settings.limits.maxAttempts", 5)
    new["settings"]["classes"].append({**new["settings"]["classes"][0], "name": "added"})
    made = read_again(write_config(tmp_path, new), old)
    assert made.settings.limits.max_attempts == 5 and made.settings.classes[3].name == "added"


def test_sighup_reloads_and_counts_and_an_invalid_file_changes_nothing(tmp_path):
    async def scenario():
        port, control = free_port(), free_port()
        async with Server(ok) as server:
            raw = config(
                listen=f"127.0.0.1:{port}", control=f"127.0.0.1:{control}", known=listing(line("s1", server.port))
            )
            env = write_config(tmp_path, raw)
            process = await start(env)
            assert b"listening" in await next_log_line(process)
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.ask("added"))[0] == 404

            write_config(tmp_path, changed(raw, "settings.limits.maxAttempts", -1))
            for _ in range(2):
                process.send_signal(signal.SIGHUP)
                assert b"old_configuration_kept" in await next_log_line(process)
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.ask("free"))[0] == 200

            new = copy.deepcopy(raw)
            new["settings"]["classes"].insert(0, {**raw["settings"]["classes"][0], "name": "added"})
            write_config(tmp_path, new)
            process.send_signal(signal.SIGHUP)
            assert b"reload.taken" in await next_log_line(process)
            assert (await client.ask("added", method="GET"))[0] == (await client.ask("free"))[0] == 200
            metrics = figures((await operate(control, "GET /stats"))[1])
            assert metrics["node_reconfig_ok_total"] == 1 and metrics["node_reconfig_failed_total"] == 2
            assert metrics['node_success_total{tier="added"}'] == 1
            assert metrics['node_success_total{tier="free"}'] == 2

            write_config(tmp_path, raw)  # the class is removed: its counter stays
            for _ in range(2):
                process.send_signal(signal.SIGHUP)
                assert b"reload.taken" in await next_log_line(process)
            metrics = figures((await operate(control, "GET /stats"))[1])
            assert metrics['node_success_total{tier="added"}'] == 1 and metrics["node_reconfig_ok_total"] == 3
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    play(scenario)


def test_open_request_keeps_its_class():
    """The old class forbids a second run, the new one allows it."""

    async def scenario():
        received, proceed = asyncio.Event(), asyncio.Event()

        async def breaks(talk: Conversation, call: Call) -> None:
            received.set()
            await proceed.wait()
            talk.reset()

        async with Server(breaks) as server, sidecar(line("s1", server.port), line("s2", server.port)) as world:
            asking = asyncio.ensure_future((await world.client()).ask("single_shot", "old"))
            await received.wait()
            raw = settings(discovery="subscribe")
            raw["classes"][1]["repeat"] = "free"
            raw["classes"].insert(0, {**raw["classes"][0], "name": "added"})
            made = world.sidecar._config
            world.sidecar.reconfigure(dataclasses.replace(made, settings=Settings.parse(raw)))
            proceed.set()
            assert (await asking)[0] == 502 and len(server.calls) == 1
            status, _, _ = await (await world.client()).ask("single_shot", "new", method="GET")
            assert status == 503 and len(server.calls) == 3  # the new class allows retries

    play(scenario)


@pytest.mark.plain
def test_previous_request_form_is_accepted_for_a_while_by_its_own_rules(monkeypatch):
    """Clients apply new settings up to a second later, and use the previous form until then."""
    monkeypatch.setattr(admission, "PREVIOUS_FORM_S", 0.2)

    async def scenario():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            taken = []
            handle = world.sidecar.core.module.handle
            world.sidecar.core.module.handle = lambda now, e: (taken.append(e), handle(now, e))[1]
            raw = settings(discovery="subscribe")
            raw["classes"][1]["repeat"] = "free"
            del raw["classes"][2]
            made = world.sidecar._config
            world.sidecar.reconfigure(dataclasses.replace(made, settings=Settings.parse(raw)))
            for cls, method, more in (
                ("single_shot", "POST", {}),
                ("single_shot", "GET", {}),
                ("guarded", "POST", {"Idempotency_Key": "k"}),
            ):
                assert (await (await world.client()).ask(cls, method=method, **more))[0] == 200
            kinds = [event.kind for event in taken if isinstance(event, Accept)]
            assert [k and k.repeat for k in kinds] == ["single_shot", None, "guarded"]
            await asyncio.sleep(0.25)
            assert (await (await world.client()).ask("single_shot", method="POST"))[0] == 405
            assert (await (await world.client()).ask("guarded", Idempotency_Key="k"))[0] == 404

    play(scenario)


# --- Decision module -------------------------------------------------------------------------------------


def extended_settings(**changes) -> Settings:
    """Return the default settings with another class before the others."""
    old = built()
    return built(
        **changes,
        classes=[
            {
                "name": c.name,
                "onTimeNs": c.aim_ns,
                "hardLimitNs": c.deadline_ns,
                "repeat": c.repeat,
                "credit": c.worth,
            }
            for c in (RequestClass("added", 200 * MS, SECOND), *old.classes)
        ],
    )


def test_module_keeps_its_state_if_class_positions_shift():
    b = balancer(servers=2)
    now = 0
    for i in range(40):
        now += 20 * MS
        sends = of_type(b.handle(now, accept(f"c{i}", cls=2)), Submit)
        b.handle(now + 30 * MS, outcome(sends[0], lag_ns=30 * MS))
    before, servers = b._class_latency[2], dict(b._servers)
    b.handle(now, Reconfigure(extended_settings()))
    assert b._servers == servers
    number, cls = b._class_table.find(3, None)
    assert cls.name == "guarded" and b._class_latency[number] == before
    assert (
        b._class_table.find(0, None)[1].name == "added" and b._class_table.find(99, None)[1].repeat == "single_shot"
    )
    assert of_type(b.handle(now, Accept("new", 0, SECOND)), Submit)


def test_open_calls_keep_class_and_attempts_and_new_calls_get_the_new_settings():
    b = balancer(servers=4)
    old = of_type(b.handle(0, accept("old", cls=1)), Submit)[0]
    loose = Settings.parse(
        {
            "classes": [{"name": "single_shot", "hardLimitNs": SECOND, "repeat": "free"}],
            "limits": {"maxAttempts": 1},
        }
    )
    b.handle(MS, Reconfigure(loose))
    b.handle(2 * MS, fleet(4))
    assert not of_type(b.handle(3 * MS, outcome(old, 305)), Submit)  # may have run, and must not run twice
    send = of_type(b.handle(4 * MS, Accept("new", 0, SECOND)), Submit)[0]
    assert not of_type(b.handle(5 * MS, outcome(send, 305)), Submit)  # repeatable, but only one attempt is allowed
    kept = Response("old", 306, MS, old.server, 0, False)
    assert b.handle(6 * MS, kept) == []


def test_census_counts_listed_and_avoided_servers():
    b = balancer(servers=4)
    assert b.census(0) == (4, 0)
    b._servers["10.0.0.1:80"].k = 0
    assert b.census(0) == (4, 1)
    b.handle(0, fleet(2))
    assert b.census(0) == (2, 1)
