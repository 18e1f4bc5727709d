"""An application: open-loop requests over kept connections, and what became of each."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from dataclasses import dataclass, field

LIMIT_S = 10.0


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request, and how many of it come a second."""

    path: str
    per_s: float
    tenant: str = ""
    repeat: str = "free"
    wait_s: float = 2.0
    """How long the client waits."""
    key: str = ""


@dataclass(slots=True)
class Done:
    """What became of one request."""

    kind: Kind
    rid: str
    at: float
    took_s: float
    status: int
    """0 where no whole answer came in time."""
    retry_after: float | None = None


@dataclass
class Outcome:
    """All that became of a load."""

    done: list[Done] = field(default_factory=list)

    def of(self, **wanted: str) -> Outcome:
        """Those whose kind has these values."""
        return Outcome([d for d in self.done if all(getattr(d.kind, k) == v for k, v in wanted.items())])

    def share(self, status: int = 200) -> float:
        """The share that was answered so."""
        return sum(d.status == status for d in self.done) / len(self.done) if self.done else 0.0

    def quantile_ms(self, q: float, status: int = 200) -> float:
        """A quantile of the time that those took which were answered so, in milliseconds."""
        times = sorted(d.took_s for d in self.done if d.status == status)
        return times[min(len(times) - 1, math.ceil(q * len(times)) - 1)] * 1e3 if times else 0.0


class Application:
    """Sends requests to a sidecar at the times that a load has, whatever becomes of those before."""

    def __init__(self, port: int, seed: int = 1) -> None:
        self._port, self._random = port, random.Random(seed)
        self._free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._ids = itertools.count()
        self._prefix = f"{self._random.getrandbits(64):x}"
        self.outcome = Outcome()
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, kinds: list[Kind], seconds: float) -> Outcome:
        """Send for so long, each kind as a Poisson process, and wait for all answers."""
        await asyncio.gather(*(self._stream(kind, seconds) for kind in kinds))
        await self.settled()
        return self.outcome

    async def settled(self) -> None:
        """Wait until nothing is open."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def _stream(self, kind: Kind, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        at, end = loop.time(), loop.time() + seconds
        while kind.per_s > 0:
            at += self._random.expovariate(kind.per_s)
            if at >= end:
                break
            await asyncio.sleep(max(0.0, at - loop.time()))
            self.send(kind)

    def send(self, kind: Kind) -> None:
        """Send one request."""
        task = asyncio.get_running_loop().create_task(self._one(kind))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _one(self, kind: Kind) -> None:
        loop = asyncio.get_running_loop()
        rid = f"{self._prefix}-{next(self._ids)}"
        start, status, retry_after = loop.time(), 0, None
        try:
            async with asyncio.timeout(kind.wait_s + 0.05):
                status, retry_after = await self._ask(kind, rid)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.outcome.done.append(Done(kind, rid, start, loop.time() - start, status, retry_after))

    async def _ask(self, kind: Kind, rid: str) -> tuple[int, float | None]:
        reader, writer = self._free.pop() if self._free else await asyncio.open_connection("127.0.0.1", self._port)
        keep = False
        try:
            lines = [
                f"{'GET' if kind.repeat == 'free' else 'POST'} {kind.path} HTTP/1.1",
                "Host: app",
                f"X-Request-ID: {rid}",
                f"X-Timeout: {kind.wait_s:.3f}",
            ]
            lines += [f"X-Tenant-Id: {kind.tenant}"] if kind.tenant else []
            lines += [f"Idempotency-Key: {rid}"] if kind.repeat == "guarded" else []
            lines += [f"Cookie: key={kind.key}"] if kind.key else []
            lines += ["Content-Length: 0"] if kind.repeat != "free" else []
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            told = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            await reader.readexactly(int(told.get("content-length", 0)))
            keep = told.get("connection") != "close"
            after = told.get("retry-after")
            return int(head.split(" ")[1]), float(after) if after is not None else None
        finally:
            if keep:
                self._free.append((reader, writer))
            else:
                writer.close()

    def close(self) -> None:
        """Close the connections that are kept."""
        while self._free:
            self._free.pop()[1].close()
