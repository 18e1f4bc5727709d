"""The fleet's own processes on loopback: each with an address, a settings file and a log; started, killed, ended."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from rosechute.configuration.process import SETTINGS_VARIABLE
from rosechute.fakes.fleet.entry import Gate

ROOT = Path(__file__).resolve().parents[3]
FRONT_PORT, READINESS_PORT, CONTROL_PORT = 8360, 8365, 8367
PORT_RANGE = (7500, 7515)
STOP_WITHIN_S = 10.0
EDGE_NETWORK, CORE_NETWORK = 3, 2


@dataclass(slots=True)
class Member:
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
        """Where a core process takes the operator's calls."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def state(self) -> str:
        """Where it tells its state."""
        return self.control if self.role == "core" else f"{self.ip}:{READINESS_PORT}"

    @property
    def log(self) -> Path:
        """Its log."""
        return self.folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Whether there is a process."""
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Fleet:
    """Three zones, a core process and an edge process in each.

    `network` is the second number of all addresses: 127.NETWORK.x.y; fleets with different ones do not meet.
    """

    folder: Path
    network: int
    cloud_api: str
    zones: tuple[str, ...] = ("north", "middle", "south")
    members: dict[str, Member] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for index, zone in enumerate(self.zones, 1):
            for role, third in (("core", CORE_NETWORK), ("edge", EDGE_NETWORK)):
                name = f"{role}-{zone}"
                ip = f"127.{self.network}.{third}.{index}"
                self.members[name] = Member(name, role, zone, ip, self.folder)

    def of(self, role: str) -> list[Member]:
        """The processes of a role."""
        return [member for member in self.members.values() if member.role == role]

    def gates(self) -> list[Gate]:
        """The edges as the entry sees them."""
        return [
            Gate(member.name, member.zone, f"{member.ip}:{FRONT_PORT}", f"{member.ip}:{READINESS_PORT}")
            for member in self.of("edge")
        ]

    def controls(self) -> list[str]:
        """The control addresses."""
        return [member.control for member in self.of("core")]

    async def start(self, name: str) -> None:
        """Start a process, or start it again."""
        member = self.members[name]
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self._settings(member))))
        with member.log.open("ab") as log:
            member.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"rosechute.processes.{member.role}",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
            )
        member.starts += 1

    async def start_all(self) -> None:
        """Start every process."""
        for name in self.members:
            await self.start(name)

    async def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.members[name].process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    async def stop_all(self) -> None:
        """End every process that was started here, with SIGTERM first."""
        processes = [member.process for member in self.members.values() if member.running]
        for process in processes:
            if process is not None:
                process.send_signal(signal.SIGTERM)
        await asyncio.gather(*(self._ended(process) for process in processes if process is not None))

    @staticmethod
    async def _ended(process: asyncio.subprocess.Process) -> None:
        try:
            async with asyncio.timeout(STOP_WITHIN_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    def _settings(self, member: Member) -> dict[str, Any]:
        """The settings file of a process."""
        core = member.role == "core"
        listen = (
            {"control": member.control}
            if core
            else {"front": f"{member.ip}:{FRONT_PORT}", "readiness": f"{member.ip}:{READINESS_PORT}"}
        )
        data = self.folder / f"{member.name}-data"
        if core:
            data.mkdir(exist_ok=True)
        return {
            "node_name": member.name,
            "role": member.role,
            "machine_class": member.role,
            "serves": ["control_plane" if core else "edge"],
            "ip": member.ip,
            "zone": member.zone,
            "region": "loopback",
            "zones": dict.fromkeys(self.zones, "loopback"),
            "listen": listen,
            "port_range": PORT_RANGE,
            "seeds": self.controls(),
            "bootstrap": member.starts == 0,
            "counts_for_quorum": core,
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 2048,
                "link_mbps": 1000.0,
                "disk_mb": 128 if core else 0,
            },
            "data_dir": str(data) if core else None,
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"grace_s": 4, "quota_overshoot": 0.1, "quota_slack": 10000},
            "cloud_api": {"address": self.cloud_api, "rate_per_s": 40.0, "duties": [], "max_lag_ms": 500},
        }
