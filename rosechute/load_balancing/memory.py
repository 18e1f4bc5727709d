"""What one balancer has learnt, for the process that takes over from it: out as plain data, and in again.

Nothing is decided here. Times are on the one clock of both, so they pass on as they are.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from rosechute.load_balancing.rules import Balancer
from rosechute.load_balancing.state import Server

VERSION = 1
SERVER = ("k", "backoff", "retry_at", "seen", "heard", "struck", "mute_until", "credit_at")
FIGURES = ("figure", "stretch", "load", "credit")
OWN = ("_stretch", "_rate", "_served", "_tokens")
OWN_TIMES = ("_heard_at", "_served_at", "_begun_at")
MOST_STEPS = 10


def told(balancer: Balancer, now: int) -> dict[str, Any]:
    """What the balancer has learnt, as plain data."""
    table = balancer._table
    return {
        "version": VERSION,
        "own": {key: getattr(balancer, key) for key in (*OWN, *OWN_TIMES)},
        "crowding": balancer._crowding.level,
        "classes": {table.known[n].name: list(balancer._extra[n]) for n in table.listed},
        "servers": {s.name: _server(s, balancer) for s in balancer._servers.values() if not s.gone},
    }


def _server(server: Server, balancer: Balancer) -> dict[str, Any]:
    known = balancer._table.known
    return {
        "started": server.started,
        "erred": server.erred,
        "mute": {known[number].name: list(pair) for number, pair in server.mute.items()},
        **{key: getattr(server, key) for key in (*SERVER, *FIGURES)},
    }


def recall(balancer: Balancer, now: int, memory: Any) -> bool:
    """Take over what another has learnt; False, and nothing is touched, where it can't be used.

    Of servers, only what is said of the same process counts: a new one must be learnt anew.
    """
    try:
        if memory["version"] != VERSION:
            return False
        own = {key: _number(memory["own"][key]) for key in OWN}
        own |= {key: int(_number(memory["own"][key])) for key in OWN_TIMES}
        level = _number(memory["crowding"])
        numbers = {balancer._table.known[n].name: n for n in balancer._table.listed}
        extra = {
            numbers[name]: (_number(value[0]), int(_number(value[1])), int(_number(value[2])))
            for name, value in memory["classes"].items()
            if name in numbers
        }
        servers = {
            name: _checked(raw, numbers)
            for name, raw in memory["servers"].items()
            if name in balancer._servers and balancer._servers[name].started == raw["started"]
        }
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError):
        return False
    for key, value in own.items():
        setattr(balancer, key, value)
    balancer._crowding.level = level
    for number, sample in extra.items():
        balancer._extra[number] = sample
    for name, values in servers.items():
        server = balancer._servers[name]
        for key, value in values.items():
            setattr(server, key, value)
        balancer._refresh(server)
    balancer.resort()
    return True


def _checked(raw: Mapping[str, Any], numbers: Mapping[str, int]) -> dict[str, Any]:
    values: dict[str, Any] = {key: int(_number(raw[key])) for key in SERVER}
    values |= {key: _number(raw[key]) for key in FIGURES}
    values["k"] = max(0, min(values["k"], MOST_STEPS))
    values["figure"] = max(0.1, values["figure"])
    values["stretch"] = max(0.0, values["stretch"])
    values["credit"] = min(values["credit"], 1.0)
    values["erred"] = bool(raw["erred"])
    values["mute"] = {
        numbers[name]: (int(_number(pair[0])), int(_number(pair[1])))
        for name, pair in raw["mute"].items()
        if name in numbers
    }
    return values


def _number(value: Any) -> float:
    if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value):
        return value
    raise ValueError(f"not a usable number: {value!r}")
