"""Operator files for the tests, and the settings that they are checked against."""

from __future__ import annotations

from typing import Any

from rosechute.load_balancing import Settings
from rosechute.sidecar.operator_configuration.effective import Site
from rosechute.sidecar.operator_configuration.proof import CHECKS, Check, CheckedFile, prove
from rosechute.sidecar.operator_configuration.reading import read

MS = 1_000_000

RAW: dict[str, Any] = {
    "classes": [
        {"name": "hold-desk", "onTimeNs": 600 * MS, "hardLimitNs": 1200 * MS, "repeat": "single_shot"},
        {
            "name": "confirm-booking",
            "onTimeNs": 600 * MS,
            "hardLimitNs": 2500 * MS,
            "repeat": "guarded",
            "group": "cell",
            "windowNs": 5000 * MS,
        },
        {"name": "list-rooms", "onTimeNs": 300 * MS, "hardLimitNs": 1500 * MS, "repeat": "free"},
    ],
    "failureDomains": ["a"],
    "kinds": ["m"],
    "projects": [{"name": "charity-partners", "share": 0.64}, {"name": "community-hirers", "share": 0.36}],
    "limits": {
        "maxAttempts": 5,
        "secondCopies": True,
        "retryAfter": True,
        "maxRetryAfterNs": 1200 * MS,
        "connectTimeoutNs": 250 * MS,
        "cancel": True,
    },
    "invariants": {"drainGraceNs": 250 * MS},
}


def settings(**changes: Any) -> Settings:
    raw = {**RAW}
    for key, value in changes.items():
        raw[key] = {**raw.get(key, {}), **value} if isinstance(value, dict) else value
    return Settings.parse(raw)


def site(**changes: Any) -> Site:
    return Site.from_settings(settings(**changes), 1024, 64)


def proven(text: str, against: Site | None = None, without: Check | None = None) -> CheckedFile:
    parsed = read(text)
    checks = tuple(check for check in CHECKS if check is not without)
    return prove(parsed.file, against or site(), parsed.lines, checks)


def route(**keys: Any) -> str:
    """Return a route as TOML; values are inserted verbatim."""
    own = {"name": '"r"', "path": '"/list-rooms"'} | {key.rstrip("_"): value for key, value in keys.items()}
    lines = [f"{key} = {value}" for key, value in own.items() if value is not None]
    return "[[route]]\n" + "\n".join(lines) + "\n"


def file(*tables: str) -> str:
    return "version = 1\n" + "".join(tables)
