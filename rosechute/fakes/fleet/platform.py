"""The platform's list of servers: `GET /instances`, in pages, within a rate over all callers."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

PAGE_ENTRIES = 50
READY, DRAINING = "ready", "draining"


class Instance(msgspec.Struct, kw_only=True):
    """One server in the list."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str = READY
    config_version: str = "v1"
    cold_remaining_ms: int = 0


@dataclass(slots=True)
class Seen:
    """What the platform has seen of its callers."""

    calls: int = 0
    refused: int = 0
    times: list[float] = field(default_factory=list)


class PlatformList:
    """Serves the list at an address of loopback. `clock` gives steady seconds."""

    def __init__(self, rate_per_s: float = 40.0, page_entries: int = PAGE_ENTRIES) -> None:
        self.instances: dict[str, Instance] = {}
        self.seen = Seen()
        self.clock = time.monotonic
        self._rate, self._page_entries = rate_per_s, page_entries
        self._tokens, self._filled = rate_per_s, self.clock()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int = 0) -> str:
        """Listen; return the address."""
        application = web.Application()
        application.router.add_get("/instances", self._answer)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return f"{host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Answer nobody any more."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, instance: Instance) -> None:
        """Add a server, or change one."""
        self.instances[instance.id] = instance

    def drain(self, instance_id: str) -> None:
        """Show a server as draining."""
        self.instances[instance_id].state = DRAINING

    def remove(self, instance_id: str) -> None:
        """Take a server off the list."""
        self.instances.pop(instance_id, None)

    def page(self, zone: str, token: str) -> tuple[list[Instance], str | None]:
        """One page, in the order of ids, and the token of the next. A token is the last id of the page before it, so
        that changes in between shift nothing."""
        ids = sorted(key for key, value in self.instances.items() if key > token and zone in ("", value.zone))
        shown = ids[: self._page_entries]
        return [self.instances[key] for key in shown], shown[-1] if len(ids) > len(shown) else None

    def _granted(self) -> bool:
        """Whether a call is within the rate."""
        now = self.clock()
        self._tokens = min(self._rate, self._tokens + (now - self._filled) * self._rate)
        self._filled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _answer(self, request: web.Request) -> web.Response:
        self.seen.calls += 1
        self.seen.times.append(self.clock())
        if not self._granted():
            self.seen.refused += 1
            return web.Response(status=429)
        instances, token = self.page(request.query.get("zone", ""), request.query.get("page_token", ""))
        body = msgspec.json.encode({"instances": instances, "next_token": token})
        return web.Response(body=body, content_type="application/json")
