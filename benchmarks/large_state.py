"""Disk and memory of core machines whose configuration is as large as the operator's API accepts.

Starts three real core processes on loopback, writes configurations that can't be compressed well, wipes one machine,
and prints the largest data directory and the largest resident memory that were seen. About a minute.

    python -m benchmarks.large_state --megabytes 7.5 --changes 8
"""

from __future__ import annotations

import asyncio
import json
import secrets
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import fire

from rosechute.control_plane.operator_api import BASE_VERSION_HEADER

MACHINES = 3
SAMPLE_S = 0.05
WRITE_WITHIN_S = 30.0
CALL_TIMEOUT_S = 5.0
RETRY_S = 0.1
NAME_BYTES = 48
SERVICE_BYTES = 2 * NAME_BYTES + 22  # of one service in the JSON text


@dataclass
class Peaks:
    """Largest values seen, in bytes."""

    directory: int = 0
    memory: int = 0


@dataclass
class CoreProcess:
    """One core machine."""

    settings: Path
    data: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process on what the directory holds."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "rosechute.processes.core"],
            env={"ROSECHUTE_NODE_FILE": str(self.settings), "PATH": "/usr/bin:/bin"},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def stop(self) -> None:
        """End the process."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def sample(self, peaks: Peaks) -> None:
        """Take the size of the directory and of the memory into account."""
        peaks.directory = max(peaks.directory, sum(file.stat().st_size for file in self.data.iterdir()))
        if self.process is not None and self.process.poll() is None:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    peaks.memory = max(peaks.memory, int(line.split()[1]) * 1024)


def main(megabytes: float = 7.5, changes: int = 8) -> None:
    """Write configurations of this size; print the peaks."""
    with tempfile.TemporaryDirectory() as place:
        control, link = _free_ports(2)
        cores = [_core(Path(place), number, control, link) for number in range(MACHINES)]
        for core in cores:
            core.start()
        try:
            peaks, seconds = asyncio.run(_write_all(cores, control, int(megabytes * 1e6), changes))
        finally:
            for core in cores:
                core.stop()
    print(f"{changes} changes of {megabytes} MB: {seconds:.2f} s at most for one")
    print(f"largest data directory {peaks.directory / 2**20:.1f} MiB, memory {peaks.memory / 2**20:.1f} MiB")


async def _write_all(cores: list[CoreProcess], control: int, size: int, changes: int) -> tuple[Peaks, float]:
    peaks, longest_s = Peaks(), 0.0
    sampling = asyncio.create_task(_sample(cores, peaks))
    for number in range(changes):
        if number == changes // 2:
            cores[-1].stop()
            shutil.rmtree(cores[-1].data)
            cores[-1].data.mkdir()
            cores[-1].start()
        began = time.monotonic()
        await _write(control, _configuration(number + 1, size), number)
        longest_s = max(longest_s, time.monotonic() - began)
    sampling.cancel()
    for core in cores:
        core.sample(peaks)
    return peaks, longest_s


async def _write(control: int, configuration: dict[str, object], base: int) -> None:
    """Send a configuration to one machine after the other until it is acknowledged."""
    body, end = json.dumps(configuration).encode(), time.monotonic() + WRITE_WITHIN_S
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    answers: list[str] = []
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while time.monotonic() < end:
            url = f"http://{_ip(len(answers) % MACHINES)}:{control}/config/replace"
            try:
                async with session.post(url, data=body, headers={BASE_VERSION_HEADER: str(base)}) as answer:
                    answers.append(f"{answer.status} {(await answer.text())[:80]}")
            except (OSError, TimeoutError, aiohttp.ClientError) as error:
                answers.append(type(error).__name__)
            if answers[-1].startswith("200"):
                return
            await asyncio.sleep(RETRY_S)
    raise SystemExit(f"change {base + 1} was not acknowledged: {answers[-1]}")


async def _sample(cores: list[CoreProcess], peaks: Peaks) -> None:
    while True:
        for core in cores:
            core.sample(peaks)
        await asyncio.sleep(SAMPLE_S)


def _configuration(version: int, size: int) -> dict[str, object]:
    services = [{"name": secrets.token_hex(NAME_BYTES)} for _ in range(size // SERVICE_BYTES)]
    return {"config_version": version, "routes": [], "services": services, "tenants": []}


def _ip(number: int) -> str:
    """Return the address of a machine: all have the same ports."""
    return f"127.0.0.{number + 2}"


def _core(place: Path, number: int, control: int, link: int) -> CoreProcess:
    data = place / f"data-{number}"
    data.mkdir()
    settings = place / f"core-{number}.json"
    values = {
        "node_name": f"core-{number}",
        "ip": _ip(number),
        "zone": "z",
        "port_range": [link, link + 1],
        "serves": ["control_plane"],
        "listen": {"control": f"{_ip(number)}:{control}"},
        "seeds": [f"{_ip(seed)}:{control}" for seed in range(MACHINES)],
        "bootstrap": True,
        "data_dir": str(data),
        "cloud_api": {"address": "127.0.0.1:9", "rate_per_s": 1.0},
        "fault_tolerance": {"machines": 1},
    }
    settings.write_text(json.dumps(values))
    return CoreProcess(settings, data)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports: list[int] = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


if __name__ == "__main__":
    fire.Fire(main)
