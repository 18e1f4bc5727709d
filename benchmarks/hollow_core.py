"""Eight real core processes on loopback, each with its own settings file and data folder, and what they cost."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.fleet_size import ZONES
from rosechute.configuration.process import SETTINGS_VARIABLE

CONTROL_PORT, PORT_RANGE = 8367, (7500, 7515)
SEEDS = 3
TICKS = os.sysconf("SC_CLK_TCK")
STOP_WITHIN_S = 3.0
ROOT = Path(__file__).resolve().parents[1]


def waited_s(pid: int) -> float:
    """For how long a process, all its threads summed, was ready to run and got no processor; 0 where it is gone."""
    total = 0
    for thread in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):
            total += int(thread.read_text().split()[1])
    return total / 1e9


@dataclass(slots=True)
class CoreMachine:
    """One core process."""

    name: str
    zone: str
    ip: str
    folder: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    spent_s: float = 0.0  # by processes of this machine that have ended

    @property
    def control(self) -> str:
        """Where it takes the operator's calls."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def link(self) -> str:
        """Where it takes links."""
        return f"{self.ip}:{PORT_RANGE[0]}"

    @property
    def data(self) -> Path:
        """Its data folder."""
        return self.folder / f"{self.name}-data"

    def cpu_s(self) -> float:
        """Processor time of all its processes so far."""
        return self.spent_s + self._cpu_of_process()

    def _cpu_of_process(self) -> float:
        try:
            told = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        except (OSError, AttributeError):
            return 0.0
        return (int(told[11]) + int(told[12])) / TICKS

    @property
    def pid(self) -> int:
        """Of its process, or 0."""
        return self.process.pid if self.process is not None else 0

    def memory_mb(self) -> float:
        """Memory that is resident."""
        try:
            lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS")), 0.0)

    def disk_bytes(self) -> int:
        """Bytes of its files."""
        return sum(file.stat().st_size for file in self.data.iterdir()) if self.data.exists() else 0


@dataclass(slots=True)
class Core:
    """The core machines of one run."""

    folder: Path
    network: int
    list_address: str
    rate_per_s: float
    count: int
    machines: list[CoreMachine] = field(default_factory=list)

    def __post_init__(self) -> None:
        for number in range(self.count):
            zone = ZONES[number % len(ZONES)]
            ip = f"127.{self.network}.2.{number + 1}"
            self.machines.append(CoreMachine(f"core-{number}", zone, ip, self.folder))

    def controls(self) -> list[str]:
        """Control addresses."""
        return [machine.control for machine in self.machines]

    def seeds(self) -> list[str]:
        """Link addresses of the seeds."""
        return [machine.link for machine in self.machines[:SEEDS]]

    async def start(self, machine: CoreMachine) -> None:
        """Start a process, or start it again with what it has on its disk."""
        path = self.folder / f"{machine.name}.json"
        machine.data.mkdir(exist_ok=True)
        path.write_bytes(msgspec.json.encode(self._settings(machine)))
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rosechute.processes.core",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
            )
        machine.starts += 1

    async def kill(self, machine: CoreMachine, wipe: bool = False) -> None:
        """End a process at once; `wipe` empties its disk."""
        process = machine.process
        if process is not None and process.returncode is None:
            machine.spent_s += machine._cpu_of_process()
            process.kill()
            await process.wait()
        machine.process = None
        if wipe:
            shutil.rmtree(machine.data)

    def freeze(self, machine: CoreMachine, frozen: bool) -> None:
        """Hold a process, or let it go on."""
        if machine.process is not None and machine.process.returncode is None:
            machine.process.send_signal(signal.SIGSTOP if frozen else signal.SIGCONT)

    async def stop(self) -> None:
        """End all."""
        for machine in self.machines:
            self.freeze(machine, False)
            await self.kill(machine)

    def _settings(self, machine: CoreMachine) -> dict[str, Any]:
        return {
            "node_name": machine.name,
            "role": "core",
            "machine_class": "core",
            "serves": ["control_plane"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": machine.zone[:4],
            "zones": {zone: zone[:4] for zone in ZONES},
            "listen": {"control": machine.control},
            "port_range": PORT_RANGE,
            "seeds": self.controls()[:SEEDS],
            "bootstrap": machine.starts == 0,
            "counts_for_quorum": True,
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": 296,
                "max_fds": 4096,
                "link_mbps": 1000.0,
                "disk_mb": 128,
            },
            "data_dir": str(machine.data),
            "heartbeat_ms": 1200,
            "bounds": {"quota_overshoot": 0.1, "quota_slack": 110000},
            "cloud_api": {
                "address": self.list_address,
                "rate_per_s": self.rate_per_s,
                "duties": [],
                "max_lag_ms": 800,
            },
        }
