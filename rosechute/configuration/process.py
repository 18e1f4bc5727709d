"""The settings file of a process: its form, reading it, and the addresses that follow from it."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from rosechute.configuration.errors import SettingsError, split_field_and_reason

SETTINGS_VARIABLE = "ROSECHUTE_NODE_FILE"
"""The environment variable with the path of the settings file."""
SERVES_EDGE = "edge"
"""What a process serves that takes the requests of clients."""
SERVES_CONTROL_PLANE = "control_plane"
"""What a process serves that takes the orders of the operator."""


REQUIRED_FIELDS = {
    SERVES_EDGE: ("listen.front", "listen.readiness"),
    SERVES_CONTROL_PLANE: ("listen.control", "data_dir"),
}
"""Fields that a process needs for what it serves, beyond those that every process needs."""


class ProcessLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What the machine grants to the process."""

    cpu_share: float = 1.0
    cores: float = 1
    memory_mb: float = 256
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of the rules in force; the default holds where a deployment names none."""

    seed_lag_s: float = 3.0
    reuse_delay_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.0
    drain_ms: float = 3000.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2000.0
    rollback_slack_ms: float = 250.0
    max_skew_ms: float = 5000.0
    strict_revoke: bool = True
    revoke_ms: float = 5000.0
    retry_budget_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_slack: float = 10.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    recovery_s: float = 12.0
    pass_ms: float = 120.0
    again_s: float = 8.0


class CloudApi(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of servers."""

    address: str = ""
    rate_per_s: float = 10.0
    duties: tuple[str, ...] = ()
    max_lag_ms: float = 1000.0


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, `host:port`, for what the role serves; empty where it does not."""

    front: str = ""
    readiness: str = ""
    control: str = ""


class FaultTolerance(msgspec.Struct, frozen=True, kw_only=True):
    """What may be lost at once while every rule holds."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings file. Fields that are not named here are ignored; null counts as left out."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    role: str = ""
    machine_class: str = ""
    serves: tuple[str, ...] = ()
    region: str = ""
    zones: dict[str, str] = {}
    listen: Listen = Listen()
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    counts_for_quorum: bool = False
    limits: ProcessLimits = ProcessLimits()
    data_dir: str = ""
    heartbeat_ms: float = 1000.0
    log_level: str = ""
    contracts: tuple[str, ...] = ()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    cloud_api: CloudApi = CloudApi()

    @property
    def core_link_port(self) -> int:
        """The port at which a core process takes the links of other processes."""
        return self.port_range[0]

    @property
    def edge_link_port(self) -> int:
        """The port at which an edge process takes the links of other processes."""
        return self.port_range[1]

    @property
    def core_link_address(self) -> str:
        """Where a core process on this machine takes links."""
        return f"{self.ip}:{self.core_link_port}"

    @property
    def edge_link_address(self) -> str:
        """Where an edge process on this machine takes links."""
        return f"{self.ip}:{self.edge_link_port}"

    def peer_address(self, control_address: str) -> str:
        """The link address of the core machine with this control address."""
        return f"{host_of(control_address)}:{self.core_link_port}"

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """The link addresses of the seeds."""
        return tuple(self.peer_address(seed) for seed in self.seeds)


def load_settings(path: str | os.PathLike[str]) -> Result[ProcessSettings, SettingsError]:
    """Read the settings file."""
    name = os.fspath(path)
    try:
        body = Path(name).read_bytes()
    except OSError as error:
        return Failure(SettingsError("read", "", error.strerror or str(error), name))
    return decode_settings(body, name)


def load_settings_from_environment() -> Result[ProcessSettings, SettingsError]:
    """Read the settings file that the environment names."""
    name = os.environ.get(SETTINGS_VARIABLE)
    if not name:
        return Failure(SettingsError("read", "", f"the variable {SETTINGS_VARIABLE} names no file"))
    return load_settings(name)


def decode_settings(body: bytes, source: str = "") -> Result[ProcessSettings, SettingsError]:
    """Read settings from the bytes of the file; `source` is named in problems."""
    try:
        raw = msgspec.json.decode(body)
        settings = msgspec.convert(_without_null(raw), ProcessSettings, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        place, reason = split_field_and_reason(str(error))
        return Failure(SettingsError("decode", place, reason, source))
    wrong = _check(settings)
    if wrong is not None:
        return Failure(SettingsError("check", wrong[0], wrong[1], source))
    return Success(settings)


def find_missing_setting(settings: ProcessSettings, side: str, source: str = "") -> SettingsError | None:
    """The first field that is missing for serving this side, `edge` or `control_plane`."""
    for place in REQUIRED_FIELDS.get(side, ()):
        value: Any = settings
        for name in place.split("."):
            value = getattr(value, name)
        if not value:
            return SettingsError("check", place, f"is needed to serve {side}", source)
    return None


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port`; raises ValueError where it is not of that form."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdecimal() or not 0 < int(port) < 1 << 16:
        raise ValueError(f"{address!r} is not of the form host:port")
    return host, int(port)


def host_of(address: str) -> str:
    """The host of `host:port`."""
    return split_address(address)[0]


def _without_null(value: Any) -> Any:
    """The value without fields that are null."""
    if isinstance(value, dict):
        return {key: _without_null(item) for key, item in value.items() if item is not None}
    return value


def _check(settings: ProcessSettings) -> tuple[str, str] | None:
    """The place and the reason of the first thing that is wrong between fields."""
    first, last = settings.port_range
    if not 0 < first < last < 1 << 16:
        return "port_range", "needs two ports, the second above the first"
    addresses = [(f"seeds[{index}]", seed) for index, seed in enumerate(settings.seeds)]
    addresses += [(f"listen.{name}", getattr(settings.listen, name)) for name in Listen.__struct_fields__]
    addresses.append(("cloud_api.address", settings.cloud_api.address))
    for place, address in addresses:
        if address:
            try:
                split_address(address)
            except ValueError as error:
                return place, str(error)
    return None
