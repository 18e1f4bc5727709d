"""Learned state of a balancer, exported for the process that takes over from it and restored there.

The state is plain data. Times need no conversion, as both processes use the same clock. Attribute names of `Balancer`
and `Server` are the keys of the state that two versions of the process exchange, so the attributes below must not be
renamed.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from rosechute.load_balancing.rules import Balancer
from rosechute.load_balancing.state import Server

VERSION = 1
SERVER_INTEGERS = ("k", "backoff", "retry_at", "seen", "heard", "struck", "mute_until", "credit_at")
SERVER_NUMBERS = ("figure", "stretch", "load", "credit")
BALANCER_NUMBERS = ("_stretch", "_rate", "_served", "_tokens")
BALANCER_TIMES = ("_heard_at", "_served_at", "_begun_at")
MAX_STEPS = 10  # upper bound of `k`, as in `rules`


def export_state(balancer: Balancer, now: int) -> dict[str, Any]:
    """Return the learned state of a balancer as plain data."""
    table = balancer._class_table
    return {
        "version": VERSION,
        "own": {key: getattr(balancer, key) for key in (*BALANCER_NUMBERS, *BALANCER_TIMES)},
        "crowding": balancer._crowding.level,
        "classes": {table.known[n].name: list(balancer._class_latency[n]) for n in table.listed_ids},
        "servers": {s.name: _server_state(s, balancer) for s in balancer._servers.values() if not s.is_removed},
    }


def _server_state(server: Server, balancer: Balancer) -> dict[str, Any]:
    known = balancer._class_table.known
    return {
        "started": server.started,
        "erred": server.erred,
        "mute": {known[class_id].name: list(pair) for class_id, pair in server.mute.items()},
        **{key: getattr(server, key) for key in (*SERVER_INTEGERS, *SERVER_NUMBERS)},
    }


def restore_state(balancer: Balancer, now: int, memory: Any) -> bool:
    """Restore the state exported by another process; return False and change nothing if it is unusable.

    The state of a server is restored only if the server has not been restarted since.
    """
    try:
        if memory["version"] != VERSION:
            return False
        own = {key: _number(memory["own"][key]) for key in BALANCER_NUMBERS}
        own |= {key: int(_number(memory["own"][key])) for key in BALANCER_TIMES}
        level = _number(memory["crowding"])
        class_ids = {balancer._class_table.known[n].name: n for n in balancer._class_table.listed_ids}
        latencies = {
            class_ids[name]: (_number(value[0]), int(_number(value[1])), int(_number(value[2])))
            for name, value in memory["classes"].items()
            if name in class_ids
        }
        servers = {
            name: _parse_server(raw, class_ids)
            for name, raw in memory["servers"].items()
            if name in balancer._servers and balancer._servers[name].started == raw["started"]
        }
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError):
        return False
    for key, value in own.items():
        setattr(balancer, key, value)
    balancer._crowding.level = level
    for class_id, sample in latencies.items():
        balancer._class_latency[class_id] = sample
    for name, values in servers.items():
        server = balancer._servers[name]
        for key, value in values.items():
            setattr(server, key, value)
        balancer._update_availability(server)
    balancer.rebuild_roster()
    return True


def _parse_server(raw: Mapping[str, Any], class_ids: Mapping[str, int]) -> dict[str, Any]:
    values: dict[str, Any] = {key: int(_number(raw[key])) for key in SERVER_INTEGERS}
    values |= {key: _number(raw[key]) for key in SERVER_NUMBERS}
    values["k"] = max(0, min(values["k"], MAX_STEPS))
    values["figure"] = max(0.1, values["figure"])
    values["stretch"] = max(0.0, values["stretch"])
    values["credit"] = min(values["credit"], 1.0)
    values["erred"] = bool(raw["erred"])
    values["mute"] = {
        class_ids[name]: (int(_number(pair[0])), int(_number(pair[1])))
        for name, pair in raw["mute"].items()
        if name in class_ids
    }
    return values


def _number(value: Any) -> float:
    if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value):
        return value
    raise ValueError(f"not a usable number: {value!r}")
