"""Configuration of a sidecar: environment variables and a JSON file, validated and typed."""

from __future__ import annotations

import json
import os
import socket
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from rosechute.load_balancing.interface import Settings, SettingsError
from rosechute.proxy.core.address import Address, parse_address

REPEAT_MODES = frozenset({"free", "guarded", "single_shot"})
RETRY_GROUPS = frozenset({"all", "zone", "cell"})
DISCOVERY_MODES = frozenset({"automatic", "subscribe"})
REPORT_MODES = frozenset({"none", "answers", "probe"})


class ConfigError(ValueError):
    """The configuration is invalid; the message names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one sidecar."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: Mapping[str, Any]
    settings: Settings
    control: Address | None = None  # address for operators
    listen_fd: int | None = None  # listening socket for clients, if the platform passes one
    memory_mb: int = 192
    folder: str = ""  # directory of the takeover socket
    raw: Mapping[str, Any] = field(default_factory=dict)  # content of the file


def load(env: Mapping[str, str], is_reload: bool = False) -> Config:
    """Read the configuration. Environment variables override keys of the file that NODE_CONFIG names.

    On a reload, the file's discovery address wins: the variables date from the start of the process.
    """
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"NODE_CONFIG: {path}: {' '.join(str(error).split())}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG: {path} does not hold an object")
    unmodified = dict(raw)
    for key in ("name", "listen", "discovery", "control"):
        override = None if is_reload and key == "discovery" else env.get(f"NODE_{key.upper()}")
        raw[key] = override or raw.get(key)
    limits = raw.get("limits", {})
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 32:
        raise ConfigError(f"limits.sockets must be an integer of at least 32, not {sockets!r}")
    memory = limits.get("memory_mb", 192)
    if not isinstance(memory, int | float) or isinstance(memory, bool) or not 8 <= memory < 1 << 30:
        raise ConfigError(f"limits.memory_mb must be a number of at least 8, not {memory!r}")
    known = raw.get("known")
    if not isinstance(known, dict) or not isinstance(known.get("endpoints"), list):
        raise ConfigError("known.endpoints is not a list")
    if not isinstance(raw["name"], str):
        raise ConfigError(f"name is not a string: {raw['name']!r}")
    try:
        settings = Settings.parse(raw.get("settings"))
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    _check_enums(raw["settings"])
    return Config(
        name=raw["name"],
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        seed=_seed(raw.get("seed")),
        sockets=sockets,
        known=known,
        settings=settings,
        control=_address(raw, "control") if raw["control"] is not None else None,
        memory_mb=int(memory),
        listen_fd=_descriptor(env.get("NODE_LISTEN_FD")),
        folder=env.get("TMPDIR") or tempfile.gettempdir(),
        raw=unmodified,
    )


def _check_enums(settings: Mapping[str, Any]) -> None:
    """Raise ConfigError for an unknown value of an enumerated setting."""
    names: set[str] = set()
    for i, item in enumerate(settings["classes"]):
        at = f"settings.classes[{i}]"
        name = item.get("name")
        if not name or name in names:
            raise ConfigError(f"{at}.name is missing or not unique: {name!r}")
        names.add(name)
        _check_enum(item, "repeat", REPEAT_MODES, at)
        _check_enum(item, "group", RETRY_GROUPS, at)
    _check_enum(settings, "discovery", DISCOVERY_MODES, "settings")
    _check_enum(settings.get("reporting") or {}, "how", REPORT_MODES, "settings.reporting")


def _check_enum(item: Mapping[str, Any], key: str, allowed: frozenset[str], path: str) -> None:
    choice = item.get(key)
    if choice is not None and choice not in allowed:
        raise ConfigError(f"{path}.{key} is unknown: {choice!r}; expected one of {', '.join(sorted(allowed))}")


def _address(raw: Mapping[str, Any], key: str) -> Address:
    try:
        return parse_address(raw[key])
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def _descriptor(text: str | None) -> int | None:
    """Return the descriptor of the listening socket that was passed to this process; None without one."""
    if not text:
        return None
    try:
        number = int(text)
        with socket.socket(fileno=os.dup(number)) as copy:
            if not copy.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise ValueError("not a listening socket")
    except (ValueError, OSError) as error:
        raise ConfigError(f"NODE_LISTEN_FD: {text!r}: {error}") from None
    return number


def _seed(value: Any) -> int:
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed is not a string of hexadecimal digits: {value!r}") from None
