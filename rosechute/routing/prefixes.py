"""Which servers were sent which prefixes of prompts, in bounded memory.

A prefix is the model and the parts of a prompt from the first up to one of them, in order. Nobody tells what a server
keeps; it follows from what was sent there, and becomes less likely with time, as other prompts take the memory.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from rosechute.routing.model import PromptPart
from rosechute.routing.server import Server

HOLDERS_MOST = 8  # servers that are remembered of one prefix; the one used longest ago gives way
KEPT_S = 20.0  # a part that is not used is still kept after so long with a chance of 1/e
SWEEP = 2  # entries that are looked at for their age with each new one


@dataclass(frozen=True, slots=True)
class Prefix:
    """One prefix of a prompt."""

    key: int
    tokens: int  # of all its parts


def prefixes_of(service: str, model: str, parts: Sequence[PromptPart]) -> tuple[Prefix, ...]:
    """All prefixes of a prompt, the shortest first. The last one is the whole prompt."""
    key = xxhash.xxh64_intdigest(f"{service}\0{model}".encode())
    tokens = 0
    prefixes = []
    for part in parts:
        key = xxhash.xxh64_intdigest(part.id.encode(), key)
        tokens += part.tokens
        prefixes.append(Prefix(key, tokens))
    return tuple(prefixes)


class Holders:
    """The servers that were sent one prefix, with the time of the last sending to each."""

    __slots__ = ("servers", "times")

    def __init__(self) -> None:
        self.servers: list[Server] = []
        self.times: list[float] = []

    def note(self, now: float, server: Server) -> None:
        """It was sent there."""
        if server in self.servers:
            self.times[self.servers.index(server)] = now
        elif len(self.servers) < HOLDERS_MOST:
            self.servers.append(server)
            self.times.append(now)
        else:
            place = self.times.index(min(self.times))
            self.servers[place], self.times[place] = server, now

    def drop(self, server: Server) -> None:
        """It is not there after all."""
        if server in self.servers:
            place = self.servers.index(server)
            del self.servers[place], self.times[place]

    def drop_gone(self) -> None:
        """Forget servers that have left the list."""
        for server in [server for server in self.servers if not server.listed]:
            self.drop(server)

    def chance(self, now: float, server: Server) -> float:
        """How likely the server still keeps the prefix."""
        if server not in self.servers:
            return 0.0
        return math.exp((self.times[self.servers.index(server)] - now) / KEPT_S)


class RecentHolders:
    """Holders by prefix; those that were used longest ago give way, and those that were not used for a time."""

    def __init__(self, most: int, idle_s: float) -> None:
        self._most, self._idle_s = most, idle_s
        self._holders: OrderedDict[int, Holders] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def get(self, key: int) -> Holders | None:
        """The holders of a prefix."""
        return self._holders.get(key)

    def note(self, now: float, key: int, server: Server) -> None:
        """A prefix was sent to a server."""
        holders = self._holders.get(key)
        if holders is None:
            self._sweep(now)
            holders = self._holders[key] = Holders()
        else:
            self._holders.move_to_end(key)
        holders.note(now, server)

    def _sweep(self, now: float) -> None:
        if len(self._holders) >= self._most:
            self._holders.popitem(last=False)
        for _ in range(SWEEP):
            oldest = next(iter(self._holders), None)
            if oldest is None or max(self._holders[oldest].times, default=now) > now - self._idle_s:
                return
            del self._holders[oldest]


class PrefixTable:
    """What this edge has sent where. Whole prompts are kept apart: few of them come again, and they must not take the
    place of shared prefixes."""

    def __init__(self, most: int, most_whole: int, idle_s: float) -> None:
        self._shared = RecentHolders(most, idle_s)
        self._whole = RecentHolders(most_whole, idle_s)

    def __len__(self) -> int:
        return len(self._shared) + len(self._whole)

    def note(self, now: float, prefixes: Sequence[Prefix], server: Server) -> None:
        """A prompt was sent to a server."""
        for prefix in prefixes[:-1]:
            self._shared.note(now, prefix.key, server)
        self._whole.note(now, prefixes[-1].key, server)

    def drop(self, prefixes: Sequence[Prefix], server: Server) -> None:
        """A prompt did not run at a server after all."""
        for holders in self._levels(prefixes):
            if holders is not None:
                holders.drop(server)

    def holders(self, prefixes: Sequence[Prefix]) -> Sequence[Server]:
        """The servers that were sent the whole prompt, or else all its shared parts."""
        for holders in (self._whole.get(prefixes[-1].key), self._shared.get(prefixes[-2].key)):
            if holders is not None:
                holders.drop_gone()
                if holders.servers:
                    return holders.servers
        return ()

    def kept(self, now: float, prefixes: Sequence[Prefix], server: Server) -> float:
        """Tokens of a prompt that a server is expected to keep."""
        kept, before = 0.0, 0
        for prefix, holders in zip(prefixes, self._levels(prefixes), strict=True):
            chance = holders.chance(now, server) if holders is not None else 0.0
            if not chance:
                break
            kept += chance * (prefix.tokens - before)
            before = prefix.tokens
        return kept

    def _levels(self, prefixes: Sequence[Prefix]) -> list[Holders | None]:
        levels = [self._shared.get(prefix.key) for prefix in prefixes[:-1]]
        return [*levels, self._whole.get(prefixes[-1].key)]
