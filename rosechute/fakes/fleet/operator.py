"""A fake operator, which sends configurations until they are acknowledged or rejected, and reads them back."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from rosechute.fakes.fleet import words

CALL_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))


@dataclass(frozen=True, slots=True)
class OperationResult:
    """The result of an operation: last status (0 if no response arrived in time), body, and number of calls."""

    status: int
    body: bytes = b""
    calls: int = 0


class Operator:
    """A client of the control plane that retries on random addresses until a response is final."""

    def __init__(self, addresses: Sequence[str], seed: int = 1) -> None:
        self.addresses = list(addresses)
        self._random = random.Random(seed)

    async def replace(
        self, configuration: dict[str, Any], base_version: int, within_s: float = 10.0
    ) -> OperationResult:
        """Replace the configuration of version `base`."""
        body = msgspec.json.encode(configuration)
        headers = {words.BASE_VERSION: str(base_version), "Content-Type": "application/json"}
        return await self._retry("POST", "/config/replace", headers, body, within_s)

    async def read(self, within_s: float = 10.0) -> OperationResult:
        """Read the current configuration."""
        return await self._retry("GET", "/config/read", {}, b"", within_s)

    async def _retry(
        self, method: str, path: str, headers: dict[str, str], body: bytes, within_s: float
    ) -> OperationResult:
        """Retry until a response is final or `within_s` seconds have passed."""
        loop = asyncio.get_running_loop()
        deadline, retry_delay, calls, status = loop.time() + within_s, MIN_RETRY_DELAY_S, 0, 0
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)) as session:
            while loop.time() < deadline:
                calls += 1
                status, response = await self._call_once(session, method, path, headers, body)
                if status == 200 or status in FINAL_STATUSES:
                    return OperationResult(status, response, calls)
                await asyncio.sleep(retry_delay)
                retry_delay = min(MAX_RETRY_DELAY_S, 2 * retry_delay)
        return OperationResult(status, b"", calls)

    async def _call_once(
        self, session: aiohttp.ClientSession, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Call a random address and follow its redirects; return status 0 if there is no response."""
        url = f"http://{self._random.choice(self.addresses)}{path}"
        try:
            for _ in range(MAX_REDIRECTS + 1):
                async with session.request(
                    method, url, headers=headers, data=body or None, allow_redirects=False
                ) as response:
                    if response.status != 307:
                        return response.status, await response.read()
                    url = response.headers.get("Location", "")
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        return 0, b""
