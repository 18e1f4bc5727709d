"""A deployment in which every name, limit and form differs: no code depends on the names of another deployment."""

from __future__ import annotations

import asyncio

from backend import Server, line, listing, play, sidecar

from rosechute.sidecar.discovery import read_listing

CHANGED_SETTINGS = {
    "classes": [
        {"name": "zx-9", "onTimeNs": 7 * 10**8, "hardLimitNs": 14 * 10**8, "repeat": "single_shot", "credit": 0.5},
        {"name": "q", "onTimeNs": 31 * 10**8, "hardLimitNs": 62 * 10**8, "repeat": "free", "credit": 40.0},
        {
            "name": "Zeile_3",
            "onTimeNs": 9 * 10**8,
            "hardLimitNs": 29 * 10**8,
            "repeat": "guarded",
            "group": "zone",
            "windowNs": 17 * 10**8,
        },
    ],
    "failureDomains": ["north of the river", "7"],
    "zone": 1,
    "kinds": ["", "kind two"],
    "projects": [{"name": "one & two", "share": 0.9}, {"name": "-", "share": 0.1}],
    "limits": {
        "maxAttempts": 2,
        "retryAfter": False,
        "connectTimeoutNs": 9 * 10**8,
        "connIdleNs": 3 * 10**9,
        "cancel": False,
        "mayProbe": True,
    },
    "invariants": {"drainGraceNs": 77 * 10**6, "mustAskInNs": 5 * 10**9, "coldNs": 10**9},
    "reporting": {"how": "answers", "columns": ["inflight"]},
    "prices": {"probe": 1.0, "somethingNew": 3.5},
    "discovery": "automatic",
    "aKeyThatNobodyKnows": {"deep": [1, 2]},
}


def test_requests_are_handled_with_every_name_and_limit_changed():
    async def scenario():
        ran: list[tuple[str, str]] = []
        fail = asyncio.Event()

        async def serve(talk, call):
            rid = call.headers["x-request-id"]
            ran.append((call.target.partition("?")[0], rid))
            if fail.is_set():
                await talk.answer(500)
            else:
                await talk.answer(200, rid.encode(), 'X-Server-Load: {"inflight": 3}')

        async with Server(serve) as a, Server(serve) as b:
            lines = [
                line("α", a.port, zone="7", type="kind two", group=4),
                line("b b", b.port, zone="7", type="", group=9),
            ]
            async with sidecar(*lines, raw=CHANGED_SETTINGS) as world:
                client = await world.client()
                key = {"Idempotency_Key": "k", "X_Tenant_Id": "one & two"}
                assert (await client.ask("zx-9", "r1", timeout="1.2"))[::2] == (200, b"r1")
                assert (await client.ask("q", "r2", method="GET"))[::2] == (200, b"r2")
                assert (await client.ask("Zeile_3", "r3", **key))[::2] == (200, b"r3")
                assert (await (await world.client()).ask("hold-desk"))[0] == 404  # a class of another deployment
                assert (await (await world.client()).ask("q", method="POST"))[0] == 405
                assert (await (await world.client()).ask("zx-9", Idempotency_Key="k"))[0] == 400
                fail.set()
                ran.clear()
                assert (await (await world.client()).ask("zx-9", "u", timeout="1.2"))[0] == 502
                assert (await (await world.client()).ask("q", "f", method="GET"))[0] == 503
                assert (await (await world.client()).ask("Zeile_3", "g", **key))[0] in (502, 503)
                count = [sum(rid == name for _, rid in ran) for name in "ufg"]
                assert (
                    count[0] == 1 and count[1] == 2 and 1 <= count[2] <= 2
                )  # as the repeat modes and maxAttempts allow
                drained = listing(*[{**each, "status": "DRAINING"} for each in lines], index=2)
                world.sidecar._on_discovery(read_listing(drained, world.sidecar._settings))
                status, headers, _ = await (await world.client()).ask("q", "d", method="GET", timeout="0.5")
                assert status == 503 and "retry-after" not in headers
                metrics = await world.figures()
                assert metrics['node_success_total{tier="Zeile_3"}'] == 1

    play(scenario)
