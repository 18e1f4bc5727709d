"""What a sidecar is told at its start: the environment and a JSON file, checked and typed."""

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

REPEATS = frozenset({"free", "guarded", "single_shot"})
GROUPS = frozenset({"all", "zone", "cell"})
LISTS = frozenset({"automatic", "subscribe"})
REPORTS = frozenset({"none", "answers", "probe"})


class ConfigError(ValueError):
    """The configuration cannot be used; the message names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that one sidecar is told."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: Mapping[str, Any]
    settings: Settings
    control: Address | None = None  # where operators call
    listen_fd: int | None = None  # the clients' socket, where the platform holds it
    memory_mb: int = 192
    folder: str = ""  # where two processes of one sidecar find each other
    raw: Mapping[str, Any] = field(default_factory=dict)  # the file as it was read


def load(env: Mapping[str, str], again: bool = False) -> Config:
    """Read the configuration; single variables win over the file that NODE_CONFIG names.

    Read again, a running sidecar's file wins: the variables tell what held at the start and can't change.
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
    read = dict(raw)
    for key in ("name", "listen", "discovery", "control"):
        told = None if again and key == "discovery" else env.get(f"NODE_{key.upper()}")
        raw[key] = told or raw.get(key)
    limits = raw.get("limits", {})
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 32:
        raise ConfigError(f"limits.sockets must be a whole number from 32 up, is {sockets!r}")
    memory = limits.get("memory_mb", 192)
    if not isinstance(memory, int | float) or isinstance(memory, bool) or not 8 <= memory < 1 << 30:
        raise ConfigError(f"limits.memory_mb must be a number from 8 up, is {memory!r}")
    known = raw.get("known")
    if not isinstance(known, dict) or not isinstance(known.get("endpoints"), list):
        raise ConfigError("known.endpoints is not a list")
    if not isinstance(raw["name"], str):
        raise ConfigError(f"name is not a text: {raw['name']!r}")
    try:
        settings = Settings.parse(raw.get("settings"))
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    _known_words(raw["settings"])
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
        raw=read,
    )


def _known_words(settings: Mapping[str, Any]) -> None:
    """Raise on a word that the settings' description does not have: what it asks for can't be guessed."""
    names: set[str] = set()
    for i, item in enumerate(settings["classes"]):
        at = f"settings.classes[{i}]"
        name = item.get("name")
        if not name or name in names:
            raise ConfigError(f"{at}.name is absent or there twice: {name!r}")
        names.add(name)
        _known_word(item, "repeat", REPEATS, at)
        _known_word(item, "group", GROUPS, at)
    _known_word(settings, "discovery", LISTS, "settings")
    _known_word(settings.get("reporting") or {}, "how", REPORTS, "settings.reporting")


def _known_word(item: Mapping[str, Any], key: str, words: frozenset[str], path: str) -> None:
    word = item.get(key)
    if word is not None and word not in words:
        raise ConfigError(f"{path}.{key} is unknown: {word!r}; it can be {', '.join(sorted(words))}")


def _address(raw: Mapping[str, Any], key: str) -> Address:
    try:
        return parse_address(raw[key])
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def _descriptor(text: str | None) -> int | None:
    """The descriptor of a listening socket that this process was started with."""
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
        raise ConfigError(f"seed is not a text of hex digits: {value!r}") from None
