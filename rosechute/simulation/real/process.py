"""Sidecar process: configuration, start and stop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
from pathlib import Path
from typing import Any

from rosechute.load_balancing.interface import Settings

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
PROBE_TIMEOUT_S = 0.5


def encode_settings(settings: Settings) -> dict[str, Any]:
    """Encode settings in the format of the platform, which `Settings.parse` reads."""
    limits, rules = settings.limits, settings.invariants
    return {
        "classes": [
            {
                "name": c.name,
                "onTimeNs": c.aim_ns,
                "hardLimitNs": c.deadline_ns,
                "credit": c.worth,
                "lateWorth": c.late_worth,
                "repeat": c.repeat,
                "group": c.group,
                "windowNs": c.window_ns,
            }
            for c in settings.classes
        ],
        "failureDomains": list(settings.zones),
        "zone": settings.zone,
        "kinds": list(settings.kinds),
        "index": settings.index,
        "replicasOfMe": settings.replicas,
        "discovery": "subscribe" if settings.must_ask else "automatic",
        "clients": {"marksRetry": settings.marks_retry},
        "familyInfo": {"warmKeys": settings.warm_keys},
        "reporting": {"how": settings.reports, "columns": list(settings.columns)},
        "limits": {
            "maxAttempts": limits.max_attempts,
            "secondCopies": limits.second_copies,
            "retryAfter": limits.retry_after,
            "maxRetryAfterNs": limits.max_retry_after_ns,
            "connIdleNs": limits.conn_idle_ns,
            "connectTimeoutNs": limits.connect_timeout_ns,
            "cancel": limits.cancel,
            "mayProbe": limits.may_probe,
        },
        "invariants": {
            "coldFrom": rules.cold_from,
            "coldNs": rules.cold_ns,
            "fallMultiple": rules.fall_multiple,
            "fallNs": rules.fall_ns,
            "drainGraceNs": rules.drain_grace_ns,
        },
        "projects": [{"name": t.name, "share": t.share} for t in settings.tenants],
    }


def free_ports(count: int) -> list[int]:
    """Return different unused ports of the loopback interface."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for bound in sockets:
            bound.bind(("127.0.0.1", 0))
        return [int(bound.getsockname()[1]) for bound in sockets]


class Process:
    """Sidecar process that can be killed and restarted on the same port.

    Args:
        folder: Directory for its configuration and log.
        name: Name of the sidecar.
        port: Port on which it accepts requests.
        discovery: Port of the discovery service.
        settings: Load balancing settings.
        seed: Seed of the load balancing module.
    """

    def __init__(self, folder: Path, name: str, port: int, discovery: int, settings: Settings, seed: int) -> None:
        self._folder, self.port = folder, port
        self._config = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": encode_settings(settings),
        }
        self._process: asyncio.subprocess.Process | None = None

    @property
    def log(self) -> Path:
        """File with the standard error output of the process."""
        return self._folder / "log"

    async def start(self, known: dict[str, Any]) -> None:
        """Start the process and wait until it is ready.

        Args:
            known: Server list saved by the previous process.

        Raises:
            RuntimeError: The process did not become ready; has the last lines of its log.
        """
        path = self._folder / "config.json"
        path.write_text(json.dumps({**self._config, "known": known}), encoding="utf-8")
        env = {
            **os.environ,
            "NODE_CONFIG": str(path),
            "TMPDIR": str(self._folder),
            "PYTHONPATH": os.pathsep.join(part for part in sys.path if part),
        }
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rosechute.sidecar",
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self._ready():
                    if self._process.returncode is not None:
                        break
                    await asyncio.sleep(POLL_INTERVAL_S)
                else:
                    return
        except TimeoutError:
            pass
        self.kill()
        last = self.log.read_text(encoding="utf-8", errors="replace").splitlines()[-3:]
        raise RuntimeError(f"sidecar {self._config['name']} did not start: {' / '.join(last) or 'no output'}")

    async def _ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        with contextlib.closing(writer):
            try:
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: lab\r\n\r\n")
                async with asyncio.timeout(PROBE_TIMEOUT_S):  # another process on the port may never answer
                    return b" 200 " in await reader.readline()
            except OSError:  # TimeoutError is one
                return False

    def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()

    async def gone(self) -> None:
        """Wait for the process to exit."""
        if self._process is not None:
            await self._process.wait()
