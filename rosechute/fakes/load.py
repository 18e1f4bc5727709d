"""An open-loop HTTP load generator with persistent connections, and the result of each request."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from dataclasses import dataclass, field

LIMIT_S = 10.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A type of request and its arrival rate."""

    path: str
    per_s: float
    tenant: str = ""
    repeat: str = "free"
    wait_s: float = 2.0
    """The timeout of the client in seconds."""
    key: str = ""


@dataclass(slots=True)
class RequestResult:
    """The result of one request."""

    kind: RequestKind
    rid: str
    at: float
    took_s: float
    status: int
    """The HTTP status, or 0 if no complete response arrived in time."""
    retry_after: float | None = None


@dataclass
class LoadResult:
    """The results of all requests of a load."""

    results: list[RequestResult] = field(default_factory=list)

    def filter(self, **wanted: str) -> LoadResult:
        """Return the results of the requests whose kind has the given field values."""
        return LoadResult([d for d in self.results if all(getattr(d.kind, k) == v for k, v in wanted.items())])

    def share(self, status: int = 200) -> float:
        """Return the fraction of requests that were answered with `status`."""
        return sum(d.status == status for d in self.results) / len(self.results) if self.results else 0.0

    def quantile_ms(self, q: float, status: int = 200) -> float:
        """Return a quantile of the response times with `status` in milliseconds, or 0 if there are none."""
        times = sorted(d.took_s for d in self.results if d.status == status)
        return times[min(len(times) - 1, math.ceil(q * len(times)) - 1)] * 1e3 if times else 0.0


class Application:
    """An application that sends requests to a sidecar at their due times without waiting for earlier responses."""

    def __init__(self, port: int, seed: int = 1) -> None:
        self._port, self._random = port, random.Random(seed)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._ids = itertools.count()
        self._prefix = f"{self._random.getrandbits(64):x}"
        self.outcome = LoadResult()
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, kinds: list[RequestKind], seconds: float) -> LoadResult:
        """Send each kind of request as a Poisson process for `seconds`, then wait until all have finished."""
        await asyncio.gather(*(self._generate(kind, seconds) for kind in kinds))
        await self.wait_idle()
        return self.outcome

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def _generate(self, kind: RequestKind, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        at, end = loop.time(), loop.time() + seconds
        while kind.per_s > 0:
            at += self._random.expovariate(kind.per_s)
            if at >= end:
                break
            await asyncio.sleep(max(0.0, at - loop.time()))
            self.send(kind)

    def send(self, kind: RequestKind) -> None:
        """Start one request in the background."""
        task = asyncio.get_running_loop().create_task(self._run_request(kind))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_request(self, kind: RequestKind) -> None:
        loop = asyncio.get_running_loop()
        rid = f"{self._prefix}-{next(self._ids)}"
        start, status, retry_after = loop.time(), 0, None
        try:
            async with asyncio.timeout(kind.wait_s + 0.05):
                status, retry_after = await self._exchange(kind, rid)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.outcome.results.append(RequestResult(kind, rid, start, loop.time() - start, status, retry_after))

    async def _exchange(self, kind: RequestKind, rid: str) -> tuple[int, float | None]:
        reader, writer = self._idle.pop() if self._idle else await asyncio.open_connection("127.0.0.1", self._port)
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
            headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            await reader.readexactly(int(headers.get("content-length", 0)))
            keep = headers.get("connection") != "close"
            retry_after_value = headers.get("retry-after")
            return int(head.split(" ")[1]), float(retry_after_value) if retry_after_value is not None else None
        finally:
            if keep:
                self._idle.append((reader, writer))
            else:
                writer.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop()[1].close()
