"""Estimate of the contents of the prefix caches of servers, in bounded memory.

A prefix consists of the model and the first parts of a prompt, in order. Servers do not report what they cache. The
table infers it from the prompts that were sent to them; the probability falls with time, as other prompts evict it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from rosechute.routing.model import PromptPart
from rosechute.routing.server import Server

MAX_SERVERS_PER_PREFIX = 8  # beyond this, the least recently used server is replaced
CACHE_DECAY_S = 20.0  # time constant of the probability that an unused prefix is still cached
EXPIRY_CHECKS_PER_INSERT = 2  # oldest entries that are checked for expiry with each new entry


@dataclass(frozen=True, slots=True)
class Prefix:
    """One prefix of a prompt.

    Attributes:
        key: Hash of the service, the model and the parts.
        tokens: Sum of the tokens of its parts.
    """

    key: int
    tokens: int


def prefixes_of(service: str, model: str, parts: Sequence[PromptPart]) -> tuple[Prefix, ...]:
    """Return all prefixes of a prompt, shortest first. The last one is the complete prompt."""
    key = xxhash.xxh64_intdigest(f"{service}\0{model}".encode())
    tokens = 0
    prefixes = []
    for part in parts:
        key = xxhash.xxh64_intdigest(part.id.encode(), key)
        tokens += part.tokens
        prefixes.append(Prefix(key, tokens))
    return tuple(prefixes)


class PrefixServers:
    """The servers that one prefix was sent to, and when it was last sent to each."""

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
        """Remove a server that no longer caches the prefix."""
        if server in self.servers:
            index = self.servers.index(server)
            del self.servers[index], self.times[index]

    def remove_unlisted(self) -> None:
        """Remove the servers that have left the endpoint list."""
        for server in [server for server in self.servers if not server.listed]:
            self.remove(server)

    def cached_chance(self, now: float, server: Server) -> float:
        """Return the probability that a server still caches the prefix."""
        if server not in self.servers:
            return 0.0
        return math.exp((self.times[self.servers.index(server)] - now) / CACHE_DECAY_S)


class RecentPrefixes:
    """Servers by prefix, with LRU eviction and expiry.

    Args:
        max_entries: The maximum number of prefixes.
        idle_s: Time in seconds after which an unused prefix expires.
    """

    def __init__(self, max_entries: int, idle_s: float) -> None:
        self._max_entries, self._idle_s = max_entries, idle_s
        self._servers: OrderedDict[int, PrefixServers] = OrderedDict()

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, key: int) -> PrefixServers | None:
        """Return the servers of a prefix, or None if it is unknown."""
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

    Complete prompts are stored separately: few of them are sent again, and they must not evict shared prefixes.

    Args:
        max_shared: The maximum number of shared prefixes.
        max_prompts: The maximum number of complete prompts.
        idle_s: Time in seconds after which an unused entry expires.
    """

    def __init__(self, max_shared: int, max_prompts: int, idle_s: float) -> None:
        self._shared = RecentPrefixes(max_shared, idle_s)
        self._prompts = RecentPrefixes(max_prompts, idle_s)

    def __len__(self) -> int:
        return len(self._shared) + len(self._prompts)

    def record(self, now: float, prefixes: Sequence[Prefix], server: Server) -> None:
        """Record that a prompt was sent to a server."""
        for prefix in prefixes[:-1]:
            self._shared.record(now, prefix.key, server)
        self._prompts.record(now, prefixes[-1].key, server)

    def remove(self, prefixes: Sequence[Prefix], server: Server) -> None:
        """Remove a server from the entries of a prompt, as its cache is lost or the prompt did not reach it."""
        for servers in self._lookup(prefixes):
            if servers is not None:
                servers.remove(server)

    def servers_with(self, prefixes: Sequence[Prefix]) -> Sequence[Server]:
        """Return the servers that the complete prompt was sent to, or else those of all its shared parts."""
        for servers in (self._prompts.get(prefixes[-1].key), self._shared.get(prefixes[-2].key)):
            if servers is not None:
                servers.remove_unlisted()
                if servers.servers:
                    return servers.servers
        return ()

    def expected_cached_tokens(self, now: float, prefixes: Sequence[Prefix], server: Server) -> float:
        """Return the expected number of tokens of a prompt that a server has cached."""
        cached, tokens_before = 0.0, 0
        for prefix, servers in zip(prefixes, self._lookup(prefixes), strict=True):
            chance = servers.cached_chance(now, server) if servers is not None else 0.0
            if not chance:
                break
            cached += chance * (prefix.tokens - tokens_before)
            tokens_before = prefix.tokens
        return cached

    def _lookup(self, prefixes: Sequence[Prefix]) -> list[PrefixServers | None]:
        entries = [self._shared.get(prefix.key) for prefix in prefixes[:-1]]
        return [*entries, self._prompts.get(prefixes[-1].key)]
