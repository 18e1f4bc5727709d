"""The processes of a fleet on loopback, each with its own address, settings file and log."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import sysconfig
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from rosechute.configuration.process import SETTINGS_VARIABLE
from rosechute.fakes.fleet.entry import EdgeEndpoint

ROOT = Path(__file__).resolve().parents[3]
START_SCRIPT = ROOT / "deploy" / "start.py"
LIBRARIES = sysconfig.get_path("purelib")  # for a start without the module `site`
FRONT_PORT, READINESS_PORT, CONTROL_PORT = 8360, 8365, 8367
PORT_RANGE = (7500, 7515)
STOP_TIMEOUT_S = 10.0
EDGE_SUBNET, CORE_SUBNET = 3, 2
FIRST_FURTHER_SUBNET = 10  # of the second and further edges of a zone


@dataclass(slots=True)
class FleetNode:
    """One process of the fleet."""

    name: str
    role: str
    zone: str
    ip: str
    folder: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0

    @property
    def control(self) -> str:
        """The control address of a core process."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def state(self) -> str:
        """The address that serves the state of the process."""
        return self.control if self.role == "core" else f"{self.ip}:{READINESS_PORT}"

    @property
    def log(self) -> Path:
        """The path of the log file."""
        return self.folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Fleet:
    """A fleet of three zones with a core process and an edge process in each.

    `network` is the second octet of all addresses (127.NETWORK.x.y), which keeps parallel fleets apart.
    `memory_mb` and `max_fds` are the limits in the settings of every process. Each zone has `edges_per_zone` edges.
    `spawn_options` are further options of `asyncio.create_subprocess_exec`, such as another destination of the log.
    """

    folder: Path
    network: int
    cloud_api: str
    zones: tuple[str, ...] = ("north", "middle", "south")
    nodes: dict[str, FleetNode] = field(default_factory=dict)
    memory_mb: int = 300
    max_fds: int = 2048
    edges_per_zone: int = 1
    spawn_options: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for index, zone in enumerate(self.zones, 1):
            self._add(f"core-{zone}", "core", zone, f"127.{self.network}.{CORE_SUBNET}.{index}")
            self._add(f"edge-{zone}", "edge", zone, f"127.{self.network}.{EDGE_SUBNET}.{index}")
            for number in range(2, self.edges_per_zone + 1):
                ip = f"127.{self.network}.{FIRST_FURTHER_SUBNET + number}.{index}"
                self._add(f"edge-{zone}-{number}", "edge", zone, ip)

    def _add(self, name: str, role: str, zone: str, ip: str) -> None:
        self.nodes[name] = FleetNode(name, role, zone, ip, self.folder)

    def by_role(self, role: str) -> list[FleetNode]:
        """Return the processes of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    def edge_endpoints(self) -> list[EdgeEndpoint]:
        """Return the edge addresses for the entry."""
        return [
            EdgeEndpoint(node.name, node.zone, f"{node.ip}:{FRONT_PORT}", f"{node.ip}:{READINESS_PORT}")
            for node in self.by_role("edge")
        ]

    def control_addresses(self) -> list[str]:
        """Return the control addresses."""
        return [node.control for node in self.by_role("core")]

    async def start(self, name: str) -> None:
        """Start or restart a process."""
        node = self.nodes[name]
        path = self.write_settings(node)
        with node.log.open("ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *_start_arguments(node.role),
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": LIBRARIES, SETTINGS_VARIABLE: str(path)},
                **{"stdout": log, "stderr": log, **self.spawn_options},
            )
        node.starts += 1

    def write_settings(self, node: FleetNode) -> Path:
        """Write the settings file of a process; return its path."""
        path = self.folder / f"{node.name}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self._settings(node))))
        return path

    async def start_all(self) -> None:
        """Start every process."""
        for name in self.nodes:
            await self.start(name)

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.nodes[name].process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    async def stop_all(self) -> None:
        """Stop every running process with SIGTERM, and kill those that do not exit in time."""
        processes = [node.process for node in self.nodes.values() if node.running]
        for process in processes:
            if process is not None:
                process.send_signal(signal.SIGTERM)
        await asyncio.gather(*(self._wait_stopped(process) for process in processes if process is not None))

    @staticmethod
    async def _wait_stopped(process: asyncio.subprocess.Process) -> None:
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    def _settings(self, node: FleetNode) -> dict[str, Any]:
        """Return the content of the settings file of a process."""
        core = node.role == "core"
        listen = (
            {"control": node.control}
            if core
            else {"front": f"{node.ip}:{FRONT_PORT}", "readiness": f"{node.ip}:{READINESS_PORT}"}
        )
        data = self.folder / f"{node.name}-data"
        if core:
            data.mkdir(exist_ok=True)
        return {
            "node_name": node.name,
            "role": node.role,
            "machine_class": node.role,
            "serves": ["control_plane" if core else "edge"],
            "ip": node.ip,
            "zone": node.zone,
            "region": "loopback",
            "zones": dict.fromkeys(self.zones, "loopback"),
            "listen": listen,
            "port_range": PORT_RANGE,
            "seeds": self.control_addresses(),
            "bootstrap": node.starts == 0,
            "counts_for_quorum": core,
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": self.memory_mb,
                "max_fds": self.max_fds,
                "link_mbps": 1000.0,
                "disk_mb": 128 if core else 0,
            },
            "data_dir": str(data) if core else None,
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"grace_s": 4, "quota_overshoot": 0.1, "quota_slack": 10000},
            "cloud_api": {"address": self.cloud_api, "rate_per_s": 40.0, "duties": [], "max_lag_ms": 500},
        }


def _start_arguments(role: str) -> tuple[str, ...]:
    """Return the interpreter's arguments: those of the platform, or the role's module where there is no checkout."""
    if START_SCRIPT.is_file():
        return ("-S", str(START_SCRIPT), role)
    return ("-m", f"rosechute.processes.{role}")
