"""An estimate of the prefix caches of servers, in bounded memory.

A prefix is the model and the parts of a prompt from the first up to one of them, in order. Servers do not report what
they cache. It is inferred from what was sent to them, and becomes less likely with time, as other prompts evict it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from rosechute.routing.model import PromptPart
from rosechute.routing.server import Server

MAX_SERVERS_PER_PREFIX = 8  # the least recently used one is replaced
CACHE_DECAY_S = 20.0  # the chance that an unused prefix is still cached falls to 1/e in this time
EXPIRY_CHECKS_PER_INSERT = 2  # of the oldest entries, with each new one


@dataclass(frozen=True, slots=True)
class Prefix:
    """One prefix of a prompt.

    Attributes:
        key: Hash of service, model and parts.
        tokens: Of all its parts.
    """

    key: int
    tokens: int


def prefixes_of(service: str, model: str, parts: Sequence[PromptPart]) -> tuple[Prefix, ...]:
    """Return all prefixes of a prompt, the shortest first. The last one is the whole prompt."""
    key = xxhash.xxh64_intdigest(f"{service}\0{model}".encode())
    tokens = 0
    prefixes = []
    for part in parts:
        key = xxhash.xxh64_intdigest(part.id.encode(), key)
        tokens += part.tokens
        prefixes.append(Prefix(key, tokens))
    return tuple(prefixes)


class PrefixServers:
    """The servers that were sent one prefix, and when each was last."""

    __slots__ = ("servers", "times")

    def __init__(self) -> None:
        self.servers: list[Server] = []
        self.times: list[float] = []

    def record(self, now: float, server: Server) -> None:
        """Record that the prefix was sent to a server."""
        if server in self.servers:
            self.times[self.servers.index(server)] = now
        elif len(self.servers) < MAX_SERVERS_PER_PREFIX:
            self.servers.append(server)
            self.times.append(now)
        else:
            index = self.times.index(min(self.times))
            self.servers[index], self.times[index] = server, now

    def remove(self, server: Server) -> None:
        """Remove a server that does not have the prefix."""
        if server in self.servers:
            index = self.servers.index(server)
            del self.servers[index], self.times[index]

    def remove_unlisted(self) -> None:
        """Remove servers that have left the endpoint list."""
        for server in [server for server in self.servers if not server.listed]:
            self.remove(server)

    def cached_chance(self, now: float, server: Server) -> float:
        """Return the chance that a server still caches the prefix."""
        if server not in self.servers:
            return 0.0
        return math.exp((self.times[self.servers.index(server)] - now) / CACHE_DECAY_S)


class RecentPrefixes:
    """Servers by prefix, with LRU eviction and expiry.

    Args:
        max_entries: Prefixes that are kept.
        idle_s: After which an unused one expires.
    """

    def __init__(self, max_entries: int, idle_s: float) -> None:
        self._max_entries, self._idle_s = max_entries, idle_s
        self._servers: OrderedDict[int, PrefixServers] = OrderedDict()

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, key: int) -> PrefixServers | None:
        """Return the servers of a prefix; None where it is not known."""
        return self._servers.get(key)

    def record(self, now: float, key: int, server: Server) -> None:
        """Record that a prefix was sent to a server."""
        servers = self._servers.get(key)
        if servers is None:
            self._evict(now)
            servers = self._servers[key] = PrefixServers()
        else:
            self._servers.move_to_end(key)
        servers.record(now, server)

    def _evict(self, now: float) -> None:
        if len(self._servers) >= self._max_entries:
            self._servers.popitem(last=False)
        for _ in range(EXPIRY_CHECKS_PER_INSERT):
            oldest = next(iter(self._servers), None)
            if oldest is None or max(self._servers[oldest].times, default=now) > now - self._idle_s:
                return
            del self._servers[oldest]


class PrefixTable:
    """The prompts that this edge has sent to each server.

    Whole prompts are kept apart: few of them are sent again, and they must not evict shared prefixes.

    Args:
        max_shared: Shared prefixes that are kept.
        max_whole: Whole prompts that are kept.
        idle_s: After which an unused entry expires.
    """

    def __init__(self, max_shared: int, max_whole: int, idle_s: float) -> None:
        self._shared = RecentPrefixes(max_shared, idle_s)
        self._whole = RecentPrefixes(max_whole, idle_s)

    def __len__(self) -> int:
        return len(self._shared) + len(self._whole)

    def record(self, now: float, prefixes: Sequence[Prefix], server: Server) -> None:
        """Record that a prompt was sent to a server."""
        for prefix in prefixes[:-1]:
            self._shared.record(now, prefix.key, server)
        self._whole.record(now, prefixes[-1].key, server)

    def remove(self, prefixes: Sequence[Prefix], server: Server) -> None:
        """Remove a prompt that a server did not execute."""
        for servers in self._levels(prefixes):
            if servers is not None:
                servers.remove(server)

    def servers_with(self, prefixes: Sequence[Prefix]) -> Sequence[Server]:
        """Return the servers that were sent the whole prompt, or else all its shared parts."""
        for servers in (self._whole.get(prefixes[-1].key), self._shared.get(prefixes[-2].key)):
            if servers is not None:
                servers.remove_unlisted()
                if servers.servers:
                    return servers.servers
        return ()

    def expected_cached_tokens(self, now: float, prefixes: Sequence[Prefix], server: Server) -> float:
        """Return how many tokens of a prompt a server is expected to have cached."""
        cached, tokens_before = 0.0, 0
        for prefix, servers in zip(prefixes, self._levels(prefixes), strict=True):
            chance = servers.cached_chance(now, server) if servers is not None else 0.0
            if not chance:
                break
            cached += chance * (prefix.tokens - tokens_before)
            tokens_before = prefix.tokens
        return cached

    def _levels(self, prefixes: Sequence[Prefix]) -> list[PrefixServers | None]:
        levels = [self._shared.get(prefix.key) for prefix in prefixes[:-1]]
        return [*levels, self._whole.get(prefixes[-1].key)]
