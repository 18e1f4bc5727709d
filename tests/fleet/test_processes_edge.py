"""The program of an edge machine as a process on loopback: signals, readiness, settings, its end."""

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
WITHIN_S = 30.0
ROOT = Path(__file__).parents[2]


async def program(settings: Path) -> asyncio.subprocess.Process:
    """An edge process."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rosechute.processes.edge",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
    )


class EdgeProgramTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.json"
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
        self.write()
        self.core = Core(f"127.0.0.6:{min(first, second)}")
        self.process = await program(self.path)

    async def asyncTearDown(self) -> None:
        self.core.server.close()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.communicate()

    def write(self) -> None:
        self.path.write_bytes(msgspec.json.encode(self.settings))

    async def line(self, part: str) -> None:
        """Wait for a line of the log."""
        assert self.process.stderr is not None
        async with asyncio.timeout(WITHIN_S):
            while True:
                line = await self.process.stderr.readline()
                self.assertTrue(line, "the process ended")
                if part in line.decode():
                    return

    async def status(self) -> int:
        async with aiohttp.ClientSession() as session, session.get(f"http://{self.readiness}/readiness") as answer:
            return answer.status

    async def ends(self) -> int:
        async with asyncio.timeout(WITHIN_S):
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

    async def test_ready_with_a_configuration_and_servers_and_unready_at_its_end(self) -> None:
        await self.line("edge started")
        self.assertEqual(await self.status(), 503)
        await self.start_core()
        await self.line("in force")
        async with asyncio.timeout(WITHIN_S):
            while await self.status() != 200:
                await asyncio.sleep(0)
        self.process.send_signal(signal.SIGTERM)
        await self.line("edge shutting down")
        self.assertEqual(await self.status(), 503)
        self.assertEqual(await self.ends(), 0)

    async def test_it_ends_by_signals_in_any_order_also_before_it_knows_anything(self) -> None:
        await self.line("edge started")
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.process.send_signal(number)
        await self.line("edge shutting down")
        self.assertEqual(await self.status(), 503)
        self.process.send_signal(signal.SIGHUP)
        self.assertEqual(await self.ends(), 0)

    async def test_settings_are_read_again(self) -> None:
        await self.line("edge started")
        self.settings["seeds"] = ["127.0.0.7:1"]
        self.write()
        self.process.send_signal(signal.SIGHUP)
        await self.line("settings changed")
        self.path.write_bytes(b"{")
        self.process.send_signal(signal.SIGHUP)
        await self.line("WARNING")
        self.settings["seeds"] = ["127.0.0.6:1"]
        self.write()
        await self.line("settings changed")

    async def test_a_signal_before_it_listens(self) -> None:
        """SIGHUP may come at any time; the interpreter itself is given the time to start."""
        async with asyncio.timeout(WITHIN_S):
            while not self.ignores_hangup() and self.process.returncode is None:
                await asyncio.sleep(0)
        self.process.send_signal(signal.SIGHUP)
        await self.line("edge started")

    def ignores_hangup(self) -> bool:
        """As the kernel tells it."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        ignored = next((line for line in status.splitlines() if line.startswith("SigIgn")), "SigIgn: 0")
        return bool(int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1))

    async def test_unusable_settings_end_it(self) -> None:
        await self.line("edge started")
        self.process.kill()
        await self.ends()
        broken = self.path.with_name("broken.json")
        broken.write_bytes(b'{"node_name": 5}')
        process = await program(broken)
        async with asyncio.timeout(WITHIN_S):
            _, errors = await process.communicate()
        self.assertEqual(process.returncode, 2)
        self.assertIn(b"node_name", errors)


if __name__ == "__main__":
    unittest.main()
