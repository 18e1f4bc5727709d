"""One sidecar as a process of its own: its configuration, its start and its end."""

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

READY_S = 20.0
LOOK_S = 0.02
ANSWER_S = 0.5


def told(settings: Settings) -> dict[str, Any]:
    """Settings as the platform writes them; `Settings.parse` reads them back."""
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
    """So many ports of the loopback that nobody listens on."""
    with contextlib.ExitStack() as kept:
        made = [kept.enter_context(socket.socket()) for _ in range(count)]
        for one in made:
            one.bind(("127.0.0.1", 0))
        return [int(one.getsockname()[1]) for one in made]


class Process:
    """A sidecar that can be started, killed and started again, always on the same port.

    Args:
        folder: Its own, for its configuration and what it logs.
    """

    def __init__(self, folder: Path, name: str, port: int, discovery: int, settings: Settings, seed: int) -> None:
        self._folder, self.port = folder, port
        self._config = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": told(settings),
        }
        self._process: asyncio.subprocess.Process | None = None

    @property
    def log(self) -> Path:
        """What it has written to standard error."""
        return self._folder / "log"

    async def start(self, known: dict[str, Any]) -> None:
        """Start it with the list that it knows from before, and wait until it takes requests.

        Raises RuntimeError with the last of its log where it does not.
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
            async with asyncio.timeout(READY_S):
                while not await self._ready():
                    if self._process.returncode is not None:
                        break
                    await asyncio.sleep(LOOK_S)
                else:
                    return
        except TimeoutError:
            pass
        self.kill()
        last = self.log.read_text(encoding="utf-8", errors="replace").splitlines()[-3:]
        raise RuntimeError(f"sidecar {self._config['name']} did not come up: {' / '.join(last) or 'it said nothing'}")

    async def _ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        with contextlib.closing(writer):
            try:
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: lab\r\n\r\n")
                async with asyncio.timeout(ANSWER_S):  # whoever holds the port instead may say nothing
                    return b" 200 " in await reader.readline()
            except OSError:  # TimeoutError is one
                return False

    def kill(self) -> None:
        """End it at once."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()

    async def gone(self) -> None:
        """Wait for its end."""
        if self._process is not None:
            await self._process.wait()
