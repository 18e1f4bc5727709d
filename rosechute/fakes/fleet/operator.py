"""The operator: sends configurations until one is acknowledged or refused, and reads the newest one back."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from rosechute.fakes.fleet import words

SILENCE_S = 1.0
REDIRECTS = 2
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
FINAL = frozenset((400, 409, 412, 413, 422))


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a call: the last status (0 where no answer came in time), its body and the calls it took."""

    status: int
    body: bytes = b""
    calls: int = 0


class Operator:
    """Calls one control address after the other, as long as there is no clear answer."""

    def __init__(self, addresses: Sequence[str], seed: int = 1) -> None:
        self.addresses = list(addresses)
        self._random = random.Random(seed)

    async def replace(self, configuration: dict[str, Any], base: int, within_s: float = 10.0) -> Outcome:
        """Send a configuration on top of version `base`."""
        body = msgspec.json.encode(configuration)
        headers = {words.BASE_VERSION: str(base), "Content-Type": "application/json"}
        return await self._call("POST", "/config/replace", headers, body, within_s)

    async def read(self, within_s: float = 10.0) -> Outcome:
        """Read the newest configuration."""
        return await self._call("GET", "/config/read", {}, b"", within_s)

    async def _call(self, method: str, path: str, headers: dict[str, str], body: bytes, within_s: float) -> Outcome:
        """Call until the answer is final or time is up."""
        loop = asyncio.get_running_loop()
        until, pause, calls, status = loop.time() + within_s, FIRST_PAUSE_S, 0, 0
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=SILENCE_S)) as session:
            while loop.time() < until:
                calls += 1
                status, answer = await self._once(session, method, path, headers, body)
                if status == 200 or status in FINAL:
                    return Outcome(status, answer, calls)
                await asyncio.sleep(pause)
                pause = min(LONGEST_PAUSE_S, 2 * pause)
        return Outcome(status, b"", calls)

    async def _once(
        self, session: aiohttp.ClientSession, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """One call to an address drawn at random, with its redirects; status 0 where there is no answer."""
        url = f"http://{self._random.choice(self.addresses)}{path}"
        try:
            for _ in range(REDIRECTS + 1):
                async with session.request(
                    method, url, headers=headers, data=body or None, allow_redirects=False
                ) as answer:
                    if answer.status != 307:
                        return answer.status, await answer.read()
                    url = answer.headers.get("Location", "")
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        return 0, b""
