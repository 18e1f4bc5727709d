"""The settings file of a process: its schema, loading it, and the addresses that are derived from it."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from rosechute.configuration.errors import SettingsError, split_field_and_reason

SETTINGS_VARIABLE = "ROSECHUTE_NODE_FILE"
"""Name of the environment variable that holds the path of the settings file."""
SERVES_EDGE = "edge"
"""Value in `serves` of a process that serves the requests of clients."""
SERVES_CONTROL_PLANE = "control_plane"
"""Value in `serves` of a process that serves the operator's API."""

PORT_LIMIT = 1 << 16
"""Exclusive upper bound of port numbers."""

REQUIRED_FIELDS = {
    SERVES_EDGE: ("listen.front", "listen.readiness"),
    SERVES_CONTROL_PLANE: ("listen.control", "data_dir"),
}
"""Additional required settings, by value in `serves`."""


class ProcessLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Resources of the machine that the process may use.

    The data plane bounds its connections by `max_fds` and the memory of requests by `memory_mb`; the others are only
    validated.
    """

    cpu_share: float = 1.0
    cores: float = 1
    memory_mb: float = 256
    max_fds: int = 1024  # open file descriptors
    link_mbps: float = 1000.0
    disk_mb: float = 0


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the deployment's guarantees; durations end in `_ms` or `_s`.

    Fields without a comment bound what operators may observe. They are only validated, not used: the shorter periods
    that the program keeps internally are constants of the respective modules.
    """

    seed_lag_s: float = 3.0
    reuse_delay_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.0
    drain_ms: float = 3000.0
    grace_s: float = 8.0  # time from SIGTERM to the exit of an edge process that has requests in flight
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2000.0
    rollback_slack_ms: float = 250.0
    max_skew_ms: float = 5000.0
    strict_revoke: bool = True  # an edge rejects requests with API keys while its configuration is unconfirmed
    revoke_ms: float = 5000.0  # time without confirmation of the newest configuration before `strict_revoke` applies
    retry_budget_ratio: float = 0.1  # maximum ratio of retries to requests in `retry_window_s`
    retry_window_s: float = 10.0
    retry_slack: float = 10.0  # retries that all edges together may make in excess of the ratio
    quota_window_s: float = 8.0  # length of the window that a tenant's quota is checked over
    quota_overshoot: float = 0.0  # allowed excess over a tenant's limit, as a share of the limit
    quota_slack: float = 0.0  # allowed excess over a tenant's limit on top of that, in tokens or requests
    recovery_s: float = 12.0
    pass_ms: float = 120.0
    again_s: float = 8.0


class CloudApi(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's API with the list of servers."""

    address: str = ""  # host:port
    rate_per_s: float = 10.0  # rate of calls that all machines together may make
    duties: tuple[str, ...] = ()
    max_lag_ms: float = 1000.0  # maximum age of the list when it is read; only validated


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, `host:port`, that the process listens at; empty for what it does not serve."""

    front: str = ""  # serves the requests of clients
    readiness: str = ""  # serves readiness probes and the state page of an edge
    control: str = ""  # serves the operator's API and the state page of a core machine


class FaultTolerance(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of failure domains that may be lost at once while every guarantee holds."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The content of a settings file. Unknown fields are ignored; null counts as absent."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]  # core processes accept links at the first port, edge processes at the last
    role: str = ""
    machine_class: str = ""
    serves: tuple[str, ...] = ()  # values: `SERVES_EDGE`, `SERVES_CONTROL_PLANE`
    region: str = ""
    zones: dict[str, str] = {}
    listen: Listen = Listen()
    seeds: tuple[str, ...] = ()  # control addresses of the core machines that are contacted first
    bootstrap: bool = False  # true only at the first start of the whole fleet, with empty disks
    counts_for_quorum: bool = False
    limits: ProcessLimits = ProcessLimits()
    data_dir: str = ""  # directory where a core machine stores its records
    heartbeat_ms: float = 1000.0
    log_level: str = ""
    contracts: tuple[str, ...] = ()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    cloud_api: CloudApi = CloudApi()

    @property
    def core_link_port(self) -> int:
        """Return the port that a core process accepts links at."""
        return self.port_range[0]

    @property
    def edge_link_port(self) -> int:
        """Return the port that an edge process accepts links at."""
        return self.port_range[1]

    @property
    def core_link_address(self) -> str:
        """Return the link address of a core process on this machine, `host:port`."""
        return f"{self.ip}:{self.core_link_port}"

    @property
    def edge_link_address(self) -> str:
        """Return the link address of an edge process on this machine, `host:port`."""
        return f"{self.ip}:{self.edge_link_port}"

    def peer_address(self, control_address: str) -> str:
        """Return the link address of the core machine with this control address."""
        return f"{host_of(control_address)}:{self.core_link_port}"

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """Return the link addresses of the seeds."""
        return tuple(self.peer_address(seed) for seed in self.seeds)


def load_settings(path: str | os.PathLike[str]) -> Result[ProcessSettings, SettingsError]:
    """Load a settings file; return the settings or the first error in them."""
    name = os.fspath(path)
    try:
        body = Path(name).read_bytes()
    except OSError as error:
        return Failure(SettingsError("read", "", error.strerror or str(error), name))
    return decode_settings(body, name)


def load_settings_from_environment() -> Result[ProcessSettings, SettingsError]:
    """Load the settings file that the environment variable `ROSECHUTE_NODE_FILE` names."""
    name = os.environ.get(SETTINGS_VARIABLE)
    if not name:
        return Failure(SettingsError("read", "", f"the variable {SETTINGS_VARIABLE} names no file"))
    return load_settings(name)


def decode_settings(body: bytes, source: str = "") -> Result[ProcessSettings, SettingsError]:
    """Decode and validate settings.

    Args:
        body: The content of the file, JSON.
        source: Name of the file, for errors.

    Returns:
        The settings, or the first error in them.
    """
    try:
        raw = msgspec.json.decode(body)
        settings = msgspec.convert(_without_null(raw), ProcessSettings, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        field, reason = split_field_and_reason(str(error))
        return Failure(SettingsError("decode", field, reason, source))
    error_found = _first_error(settings, source)
    return Success(settings) if error_found is None else Failure(error_found)


def find_missing_setting(settings: ProcessSettings, side: str, source: str = "") -> SettingsError | None:
    """Return an error for the first setting that is missing for serving a side; None if all are set.

    Args:
        settings: Valid settings.
        side: `SERVES_EDGE` or `SERVES_CONTROL_PLANE`.
        source: Name of the settings file, for the error.
    """
    for field in REQUIRED_FIELDS.get(side, ()):
        value: Any = settings
        for name in field.split("."):
            value = getattr(value, name)
        if not value:
            return SettingsError("check", field, f"is needed to serve {side}", source)
    return None


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`.

    Raises:
        ValueError: The address is not of that form.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdecimal() or not 0 < int(port) < PORT_LIMIT:
        raise ValueError(f"{address!r} is not of the form host:port")
    return host, int(port)


def host_of(address: str) -> str:
    """Return the host of `host:port`."""
    return split_address(address)[0]


def _without_null(value: Any) -> Any:
    """Return a decoded JSON value without the fields that are null."""
    if isinstance(value, dict):
        return {key: _without_null(item) for key, item in value.items() if item is not None}
    return value


def _first_error(settings: ProcessSettings, source: str) -> SettingsError | None:
    """Return the first violation of a rule that the types do not express."""
    first, last = settings.port_range
    if not 0 < first < last < PORT_LIMIT:
        return SettingsError("check", "port_range", "needs two ports, the second above the first", source)
    for field, address in _addresses(settings):
        if address:
            try:
                split_address(address)
            except ValueError as error:
                return SettingsError("check", field, str(error), source)
    return None


def _addresses(settings: ProcessSettings) -> Iterator[tuple[str, str]]:
    """Yield the field and the value of every address; the value is empty if the address is not set."""
    for index, seed in enumerate(settings.seeds):
        yield f"seeds[{index}]", seed
    for name in Listen.__struct_fields__:
        yield f"listen.{name}", getattr(settings.listen, name)
    yield "cloud_api.address", settings.cloud_api.address
