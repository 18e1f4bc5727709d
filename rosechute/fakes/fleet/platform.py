"""A fake of the platform's server list: `GET /instances` with pages and a rate limit over all callers."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

PAGE_ENTRIES = 50
READY, DRAINING = "ready", "draining"


class Instance(msgspec.Struct, kw_only=True):
    """An entry of the server list."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str = READY
    config_version: str = "v1"
    cold_remaining_ms: int = 0


@dataclass(slots=True)
class ListStats:
    """Counters and times of the calls to the list."""

    calls: int = 0
    refused: int = 0
    times: list[float] = field(default_factory=list)


class PlatformList:
    """A server list at a loopback address. `clock` returns monotonic seconds."""

    def __init__(self, rate_per_s: float = 40.0, page_entries: int = PAGE_ENTRIES) -> None:
        self.instances: dict[str, Instance] = {}
        self.stats = ListStats()
        self.clock = time.monotonic
        self._rate, self._page_entries = rate_per_s, page_entries
        self._tokens, self._refilled_at = rate_per_s, self.clock()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int = 0) -> str:
        """Listen, by default on any free port, and return the address."""
        application = web.Application()
        application.router.add_get("/instances", self._handle_list)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return f"{host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, instance: Instance) -> None:
        """Add or update a server."""
        self.instances[instance.id] = instance

    def drain(self, instance_id: str) -> None:
        """Mark a server as draining."""
        self.instances[instance_id].state = DRAINING

    def remove(self, instance_id: str) -> None:
        """Remove a server from the list."""
        self.instances.pop(instance_id, None)

    def page(self, zone: str, token: str) -> tuple[list[Instance], str | None]:
        """Return one page in the order of ids and the token of the next page, if there is one.

        A token is the last id of the previous page, so that changes between two calls shift no entry.
        """
        ids = sorted(key for key, value in self.instances.items() if key > token and zone in ("", value.zone))
        shown = ids[: self._page_entries]
        return [self.instances[key] for key in shown], shown[-1] if len(ids) > len(shown) else None

    def _take_token(self) -> bool:
        """Take a token of the rate limit and return whether there was one."""
        now = self.clock()
        self._tokens = min(self._rate, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _handle_list(self, request: web.Request) -> web.Response:
        self.stats.calls += 1
        self.stats.times.append(self.clock())
        if not self._take_token():
            self.stats.refused += 1
            return web.Response(status=429)
        instances, token = self.page(request.query.get("zone", ""), request.query.get("page_token", ""))
        body = msgspec.json.encode({"instances": instances, "next_token": token})
        return web.Response(body=body, content_type="application/json")
