"""Tests of an edge process on loopback: signals, readiness, reload of settings, shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp
import msgspec

from rosechute.configuration.process import SETTINGS_VARIABLE
from rosechute.distribution.values import ListedServer
from tests.fleet.configuration_samples import configuration, encode
from tests.fleet.test_distribution_loopback import Core, free_ports

HOST = "127.0.0.5"
TIMEOUT_S = 30.0
ROOT = Path(__file__).parents[2]


async def start_edge(settings: Path) -> asyncio.subprocess.Process:
    """Start an edge process."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rosechute.processes.edge",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
    )


class EdgeProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "node.json"
        front, readiness, first, second = free_ports(HOST, 4)
        self.front, self.readiness = f"{HOST}:{front}", f"{HOST}:{readiness}"
        self.settings = {
            "node_name": "edge-1",
            "role": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": "z",
            "listen": {"front": self.front, "readiness": self.readiness},
            "port_range": sorted((first, second)),
            "seeds": ["127.0.0.6:1"],
            "limits": {"memory_mb": 260, "max_fds": 1000},
            "bounds": {"grace_s": 4},
            "unknown": {"x": None},
        }
        self.write_settings()
        self.core = Core(f"127.0.0.6:{min(first, second)}")
        self.process = await start_edge(self.path)

    async def asyncTearDown(self) -> None:
        self.core.server.close()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.communicate()

    def write_settings(self) -> None:
        self.path.write_bytes(msgspec.json.encode(self.settings))

    async def wait_for_log(self, text: str) -> None:
        """Wait for a log line that contains this text."""
        assert self.process.stderr is not None
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                line = await self.process.stderr.readline()
                self.assertTrue(line, "the process ended")
                if text in line.decode():
                    return

    async def readiness_status(self) -> int:
        async with aiohttp.ClientSession() as session, session.get(f"http://{self.readiness}/readiness") as response:
            return response.status

    async def wait_for_exit(self) -> int:
        async with asyncio.timeout(TIMEOUT_S):
            return await self.process.wait()

    async def start_core(self) -> None:
        await self.core.server.start()
        publisher, now = self.core.publisher, self.core.now()
        publisher.leadership_gained(now, 1)
        value = configuration()
        publisher.configuration_committed(now, 1, value["config_version"], encode(value))
        publisher.update_freshness(now, 1, 0.0)
        name = value["services"][0]["name"]
        publisher.endpoint_list_read(now, [ListedServer("i-1", name, "127.0.0.9:80", "z", 4, True)])

    async def test_readiness_holds_from_configuration_and_servers_until_shutdown(self) -> None:
        await self.wait_for_log("edge started")
        self.assertEqual(await self.readiness_status(), 503)
        await self.start_core()
        await self.wait_for_log("in force")
        async with asyncio.timeout(TIMEOUT_S):
            while await self.readiness_status() != 200:
                await asyncio.sleep(0)
        self.process.send_signal(signal.SIGTERM)
        await self.wait_for_log("edge shutting down")
        self.assertEqual(await self.readiness_status(), 503)
        self.assertEqual(await self.wait_for_exit(), 0)

    async def test_repeated_signals_shut_down_an_edge_without_configuration(self) -> None:
        await self.wait_for_log("edge started")
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.process.send_signal(number)
        await self.wait_for_log("edge shutting down")
        self.assertEqual(await self.readiness_status(), 503)
        self.process.send_signal(signal.SIGHUP)
        self.assertEqual(await self.wait_for_exit(), 0)

    async def test_settings_are_reloaded_on_sighup_and_on_change(self) -> None:
        await self.wait_for_log("edge started")
        self.settings["seeds"] = ["127.0.0.7:1"]
        self.write_settings()
        self.process.send_signal(signal.SIGHUP)
        await self.wait_for_log("settings changed")
        self.path.write_bytes(b"{")
        self.process.send_signal(signal.SIGHUP)
        await self.wait_for_log("WARNING")
        self.settings["seeds"] = ["127.0.0.6:1"]
        self.write_settings()
        await self.wait_for_log("settings changed")

    async def test_sighup_during_start_is_ignored(self) -> None:
        """A SIGHUP that arrives before the handlers are installed must not end the process.

        The signal is sent once the process ignores SIGHUP; until then the interpreter itself is starting.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while not self.ignores_sighup() and self.process.returncode is None:
                await asyncio.sleep(0)
        self.process.send_signal(signal.SIGHUP)
        await self.wait_for_log("edge started")

    def ignores_sighup(self) -> bool:
        """Return whether the kernel lists SIGHUP among the signals that the process ignores."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        ignored = next((line for line in status.splitlines() if line.startswith("SigIgn")), "SigIgn: 0")
        return bool(int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1))

    async def test_unusable_settings_end_the_process(self) -> None:
        await self.wait_for_log("edge started")
        self.process.kill()
        await self.wait_for_exit()
        broken = self.path.with_name("broken.json")
        broken.write_bytes(b'{"node_name": 5}')
        process = await start_edge(broken)
        async with asyncio.timeout(TIMEOUT_S):
            _, errors = await process.communicate()
        self.assertEqual(process.returncode, 2)
        self.assertIn(b"node_name", errors)


if __name__ == "__main__":
    unittest.main()
