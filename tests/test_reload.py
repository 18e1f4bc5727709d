"""Settings that change under way: the file's check, the swap, and what stays as it was."""

from __future__ import annotations

import asyncio
import copy
import dataclasses
import json
import signal

import pytest
from backend import Call, Client, Conversation, Server, figures, line, listing, ok, operate, play, settings, sidecar
from build import MS, SECOND, accept, balancer, fleet, only, outcome
from build import settings as built
from test_process import LIMIT_S, config, free_port, logged, start, written

from rosechute.load_balancing import Accept, Reconfigure, RequestClass, Response, Settings, Submit
from rosechute.proxy.http1 import admission
from rosechute.sidecar.config import ConfigError, load
from rosechute.sidecar.reload import read_again


def changed(raw: dict, path: str, value: object) -> dict:
    made = copy.deepcopy(raw)
    *way, last = path.split(".")
    item = made
    for key in way:
        item = item[int(key)] if isinstance(item, list) else item[key]
    if value is None:
        del item[last]
    else:
        item[last] = value
    return made


WHOLE = config(control="127.0.0.1:0")


@pytest.mark.parametrize(
    ("raw", "told"),
    [
        ("", "NODE_CONFIG"),
        (json.dumps(WHOLE)[:200], "NODE_CONFIG"),
        ("[]", "object"),
        ("null", "object"),
        (changed(WHOLE, "settings", None), "settings"),
        (changed(WHOLE, "known", None), "known"),
        (changed(WHOLE, "discovery", None), "discovery"),
        (changed(WHOLE, "seed", None), "seed"),
        (changed(WHOLE, "limits", None), "limits"),
        (changed(WHOLE, "control", None), "control"),
        (changed(WHOLE, "settings.classes", None), "classes"),
        (changed(WHOLE, "settings.classes", []), "classes"),
        (changed(WHOLE, "settings.limits", None), "limits"),
        (changed(WHOLE, "settings.limits.maxAttempts", None), "maxAttempts"),
        (changed(WHOLE, "settings.classes.1.hardLimitNs", None), "hardLimitNs"),
        (changed(WHOLE, "settings.classes.1.repeat", None), "repeat"),
        (changed(WHOLE, "settings.classes.1.repeat", "often"), "repeat"),
        (changed(WHOLE, "settings.classes.1.name", "free"), "name"),
        *[
            (changed(WHOLE, "settings.classes.0.hardLimitNs", value), "hardLimitNs")
            for value in (0, -1, "1200000000", True, [], 1e400)
        ],
        *[
            (changed(WHOLE, "settings.limits.maxAttempts", value), "maxAttempts")
            for value in (0, -3, "5", True, 2.5, {})
        ],
    ],
)
def test_a_broken_file_is_turned_down_and_the_key_is_named(tmp_path, raw, told):
    old = load(written(tmp_path, WHOLE))
    with pytest.raises(ConfigError, match=told):
        read_again(written(tmp_path, raw), old)


def test_a_whole_file_is_taken_and_optional_keys_may_go(tmp_path):
    old = load(written(tmp_path, changed(WHOLE, "settings.classes.0.aimStretch", 1.5)))
    new = changed(WHOLE, "settings.limits.maxAttempts", 5)
    new["settings"]["classes"].append({**new["settings"]["classes"][0], "name": "added"})
    made = read_again(written(tmp_path, new), old)
    assert made.settings.limits.max_attempts == 5 and made.settings.classes[3].name == "added"


def test_sighup_swaps_whole_and_counts_and_a_broken_file_changes_nothing(tmp_path):
    async def scene():
        port, control = free_port(), free_port()
        async with Server(ok) as server:
            raw = config(
                listen=f"127.0.0.1:{port}", control=f"127.0.0.1:{control}", known=listing(line("s1", server.port))
            )
            env = written(tmp_path, raw)
            process = await start(env)
            assert b"listening" in await logged(process)
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.ask("added"))[0] == 404

            written(tmp_path, changed(raw, "settings.limits.maxAttempts", -1))
            for _ in range(2):
                process.send_signal(signal.SIGHUP)
                assert b"old_configuration_kept" in await logged(process)
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.ask("free"))[0] == 200

            new = copy.deepcopy(raw)
            new["settings"]["classes"].insert(0, {**raw["settings"]["classes"][0], "name": "added"})
            written(tmp_path, new)
            process.send_signal(signal.SIGHUP)
            assert b"reload.taken" in await logged(process)
            assert (await client.ask("added", method="GET"))[0] == (await client.ask("free"))[0] == 200
            told = figures((await operate(control, "GET /stats"))[1])
            assert told["node_reconfig_ok_total"] == 1 and told["node_reconfig_failed_total"] == 2
            assert told['node_success_total{tier="added"}'] == 1
            assert told['node_success_total{tier="free"}'] == 2

            written(tmp_path, raw)  # the class is dropped: its counter stays
            for _ in range(2):
                process.send_signal(signal.SIGHUP)
                assert b"reload.taken" in await logged(process)
            told = figures((await operate(control, "GET /stats"))[1])
            assert told['node_success_total{tier="added"}'] == 1 and told["node_reconfig_ok_total"] == 3
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    play(scene)


def test_an_open_request_keeps_the_class_that_it_was_taken_with():
    """By its old class it may not run twice; by the new one it might."""

    async def scene():
        came, go = asyncio.Event(), asyncio.Event()

        async def breaks(talk: Conversation, call: Call) -> None:
            came.set()
            await go.wait()
            talk.reset()

        async with Server(breaks) as server, sidecar(line("s1", server.port), line("s2", server.port)) as world:
            asking = asyncio.ensure_future((await world.client()).ask("single_shot", "old"))
            await came.wait()
            raw = settings(discovery="subscribe")
            raw["classes"][1]["repeat"] = "free"
            raw["classes"].insert(0, {**raw["classes"][0], "name": "added"})
            made = world.sidecar._config
            world.sidecar.reconfigure(dataclasses.replace(made, settings=Settings.parse(raw)))
            go.set()
            assert (await asking)[0] == 502 and len(server.calls) == 1
            status, _, _ = await (await world.client()).ask("single_shot", "new", method="GET")
            assert status == 503 and len(server.calls) == 3  # by its new class it may run again

    play(scene)


@pytest.mark.plain
def test_the_form_before_is_taken_for_a_while_and_by_its_own_rules(monkeypatch):
    """Clients follow new settings a second later: until then they ask as before."""
    monkeypatch.setattr(admission, "OLD_FORM_S", 0.2)

    async def scene():
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

    play(scene)


# --- the module -------------------------------------------------------------------------------------


def other(**changes) -> Settings:
    """The usual classes, another in front of them."""
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


def test_the_module_keeps_what_it_has_learnt_where_positions_shift():
    b = balancer(servers=2)
    now = 0
    for i in range(40):
        now += 20 * MS
        sends = only(b.handle(now, accept(f"c{i}", cls=2)), Submit)
        b.handle(now + 30 * MS, outcome(sends[0], lag_ns=30 * MS))
    before, servers = b._extra[2], dict(b._servers)
    b.handle(now, Reconfigure(other()))
    assert b._servers == servers
    number, cls = b._table.find(3, None)
    assert cls.name == "guarded" and b._extra[number] == before
    assert b._table.find(0, None)[1].name == "added" and b._table.find(99, None)[1].repeat == "single_shot"
    assert only(b.handle(now, Accept("new", 0, SECOND)), Submit)


def test_open_calls_keep_class_and_attempts_and_new_ones_get_the_new():
    b = balancer(servers=4)
    old = only(b.handle(0, accept("old", cls=1)), Submit)[0]
    loose = Settings.parse(
        {
            "classes": [{"name": "single_shot", "hardLimitNs": SECOND, "repeat": "free"}],
            "limits": {"maxAttempts": 1},
        }
    )
    b.handle(MS, Reconfigure(loose))
    b.handle(2 * MS, fleet(4))
    assert not only(b.handle(3 * MS, outcome(old, 305)), Submit)  # may have run, and was never to run twice
    send = only(b.handle(4 * MS, Accept("new", 0, SECOND)), Submit)[0]
    assert not only(b.handle(5 * MS, outcome(send, 305)), Submit)  # free, but one attempt is all there is
    kept = Response("old", 306, MS, old.server, 0, False)
    assert b.handle(6 * MS, kept) == []


def test_the_census_counts_what_is_listed_and_what_is_avoided():
    b = balancer(servers=4)
    assert b.census(0) == (4, 0)
    b._servers["10.0.0.1:80"].k = 0
    assert b.census(0) == (4, 1)
    b.handle(0, fleet(2))
    assert b.census(0) == (2, 1)
