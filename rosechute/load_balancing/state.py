"""State of one balancer: servers, open calls and attempts in flight. Times are in nanoseconds."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Sequence
from zlib import crc32

from rosechute.load_balancing.interface import Bounds, Entry, Invariants, RequestClass

EWMA_GAIN = 0.3  # weight of a new sample in exponentially weighted means
MAX_FIGURE = 2.0  # concurrent calls per budget step: the initial value and upper bound of `Server.figure`


def smoothed_rate(rate: float, gap: int, span: int) -> float:
    """Return an event rate after one more event, smoothed over about `span`.

    Args:
        rate: Rate before the event, per nanosecond.
        gap: Time since the last event, in nanoseconds.
        span: Smoothing time, in nanoseconds.
    """
    return rate + (1.0 - rate * gap) / span if gap < span else 1.0 / gap


class Server:
    """State of one server as this sidecar knows it.

    `memory` writes some attributes to the process that takes over under their own names; they must not be renamed.
    """

    __slots__ = (
        "name",
        "zone",
        "kind",
        "cell",
        "list_weight",
        "utilisation",
        "request_rate",
        "reported_at",
        "error_rate",
        "up",
        "is_removed",
        "started",
        "inflight",
        "k",
        "figure",
        "has_trial",
        "backoff",
        "retry_at",
        "stretch",
        "seen",
        "peak",
        "last_used",
        "idle_before",
        "available_index",
        "mute",
        "load",
        "mute_until",
        "heard",
        "struck",
        "erred",
        "probing_calls",
        "credit",
        "credit_at",
        "entry",
        "rank",
    )

    def __init__(self, entry: Entry) -> None:
        self.name = entry.server
        self.entry: Entry | None = None  # list entry that was last applied
        self.rank = 0  # position in the order of the subset
        self.zone, self.cell, self.list_weight = entry.zone, entry.cell, entry.weight
        self.kind = entry.kind
        self.inflight = 0
        self.peak = 0  # open connections, estimated from own calls in flight
        self.last_used = 0  # when a connection was last used
        self.idle_before = 0  # idle time of the connection before its last use
        self.available_index = -1  # index in the list of available servers, -1 if absent
        self.probing_calls: list[Call] = []  # calls that wait for the pending probe
        self.up = self.is_removed = False
        self.started = -1
        self.reset()

    def reset(self) -> None:
        """Discard what was learned, as a new process has started on the server."""
        self.k, self.figure = 1, MAX_FIGURE  # budget in steps, and concurrent calls per step
        self.has_trial = False
        self.backoff = self.retry_at = 0
        self.stretch = 0.0
        self.error_rate = 0.0  # recent share of errors and timeouts
        self.reported_at = 0  # time of the last load report
        self.utilisation = self.request_rate = 0.0  # as reported, requests per second; 0 if unknown
        self.seen = 0  # time of the last latency sample; 0 if none, then the mean of all servers applies
        self.heard = 0  # time of the last response to a call or probe
        self.struck = 0  # time of the last broken or silent connection
        self.erred = False  # whether the last outcome was an error
        self.load = 0.0  # requests at the server: last probe result plus own sends since
        self.mute_until = 0  # no probes before this time, after a failed one
        self.mute: dict[int, tuple[int, int]] = {}  # by class left unanswered: muted until, length of the pause
        self.credit = 0.0  # calls that may be sent while the server may be cold, at `credit_at`
        self.credit_at = 0

    def ramp(self, now: int, inv: Invariants) -> float:
        """Return the lowest share of its capacity that a server may have after its start, from above 0 to 1."""
        if self.started <= 0 or now - self.started >= inv.cold_ns:
            return 1.0
        age = now - self.started
        return inv.cold_from + (1.0 - inv.cold_from) * max(age, 0) / inv.cold_ns

    def is_avoided(self, now: int, classes: Sequence[int]) -> bool:
        """Return whether no call but a trial would be sent here: the server is draining, ejected or muted."""
        muted = all(now < self.mute.get(number, (0, 0))[0] for number in classes)
        return not self.up or not self.k or muted or now < self.mute_until

    @property
    def budget(self) -> int:
        """Return how many calls may be in flight; 0 for an ejected server."""
        if not self.k:
            return 0
        return int(self.k * self.figure) or 1


def _rank(server: Server) -> tuple[int, str]:
    return server.rank, server.name


class Roster:
    """Servers that are up, in all orders that draws use.

    Adding or removing a server costs a binary search and a shift per order. The orders are the same as after a full
    sort.
    """

    __slots__ = ("up", "subset", "groups", "weights", "max_weight", "_index", "_seed")

    def __init__(self) -> None:
        self.up: list[Server] = []  # sorted by name
        self.subset: list[Server] = []  # in a pseudo-random order of this sidecar
        self.groups: dict[int, list[Server]] = {}  # by zone (key -1 - zone) and by cell, each sorted by name
        self.weights: dict[float, int] = {}  # number of servers by list weight
        self.max_weight = 1.0  # largest list weight
        self._index: int | None = None
        self._seed = 0

    def rebuild(self, index: int, servers: Iterable[Server]) -> None:
        """Rebuild all orders for the sidecar with this index."""
        self._index, self._seed = index, crc32(f"{index}/".encode())
        self.up[:] = sorted([s for s in servers if s.up], key=lambda s: s.name)
        self.groups.clear()
        self.weights.clear()
        for server in self.up:
            server.rank = crc32(server.name.encode(), self._seed)
            self.groups.setdefault(-1 - server.zone, []).append(server)
            self.groups.setdefault(server.cell, []).append(server)
            self.weights[server.list_weight] = self.weights.get(server.list_weight, 0) + 1
        self.subset[:] = sorted(self.up, key=_rank)
        self.max_weight = max(self.weights, default=1.0)

    def is_stale(self, index: int) -> bool:
        """Return whether the subset has the order of a sidecar with another index."""
        return index != self._index

    def add(self, server: Server) -> None:
        """Add a server that is up now."""
        server.rank = crc32(server.name.encode(), self._seed)
        self.up.insert(self._by_name(self.up, server.name), server)
        self.subset.insert(bisect_left(self.subset, _rank(server), key=_rank), server)
        for key in (-1 - server.zone, server.cell):
            members = self.groups.setdefault(key, [])
            members.insert(self._by_name(members, server.name), server)
        self.weights[server.list_weight] = self.weights.get(server.list_weight, 0) + 1
        if server.list_weight > self.max_weight or len(self.up) == 1:
            self.max_weight = server.list_weight

    def discard(self, server: Server) -> None:
        """Remove a server. It must be called before the name, zone, cell or weight of the server changes."""
        del self.up[self._by_name(self.up, server.name)]
        del self.subset[bisect_left(self.subset, _rank(server), key=_rank)]
        for key in (-1 - server.zone, server.cell):
            members = self.groups[key]
            del members[self._by_name(members, server.name)]
            if not members:
                del self.groups[key]
        left = self.weights.get(server.list_weight, 0) - 1
        if left > 0:
            self.weights[server.list_weight] = left
        else:
            self.weights.pop(server.list_weight, None)
            if server.list_weight == self.max_weight or not self.up:
                self.max_weight = max(self.weights, default=1.0)

    @staticmethod
    def _by_name(servers: list[Server], name: str) -> int:
        """Return the leftmost insertion index of a name."""
        low, high = 0, len(servers)
        while low < high:
            middle = (low + high) // 2
            if servers[middle].name < name:
                low = middle + 1
            else:
                high = middle
        return low


class Classes:
    """Request classes by stable ids.

    What is learned of a class is stored under its id, so ids do not change with the settings. A class that is removed
    from the settings keeps its id in case it is added again.
    """

    def __init__(self) -> None:
        self.known: list[RequestClass] = []
        self._ids_by_name: dict[str, int] = {}
        self._class_ids: list[int] = []  # by index of the class in the settings
        self.unknown_id = 0

    def adopt(self, classes: Sequence[RequestClass]) -> None:
        """Apply the classes of the settings. An unknown class is treated as one that must not run twice."""
        longest = max(c.deadline_ns for c in classes)
        unknown = RequestClass("", longest, longest)
        if not self.known:
            self.known = [*classes, unknown]
            self.unknown_id = len(classes)
            self._class_ids = list(range(len(classes)))
            self._ids_by_name = {c.name: i for i, c in enumerate(classes)}
            return
        self.known[self.unknown_id] = unknown
        for cls in classes:
            if cls.name not in self._ids_by_name:
                self._ids_by_name[cls.name] = len(self.known)
                self.known.append(cls)
            self.known[self._ids_by_name[cls.name]] = cls
        self._class_ids = [self._ids_by_name[c.name] for c in classes]

    @property
    def listed_ids(self) -> Sequence[int]:
        """Return the ids of the classes in the settings."""
        return self._class_ids

    def find(self, setting_index: int, kind: RequestClass | None) -> tuple[int, RequestClass]:
        """Return the id and the class of a request.

        Args:
            setting_index: Index of the class in the settings; an unknown one selects the class for unknown requests.
            kind: Class with which the request was accepted, or None for the one in the settings.
        """
        if kind is not None:
            return self._ids_by_name.get(kind.name, self.unknown_id), kind
        class_id = self._class_ids[setting_index] if 0 <= setting_index < len(self._class_ids) else self.unknown_id
        return class_id, self.known[class_id]


class Call:
    """Request that awaits its final answer."""

    __slots__ = (
        "tid",
        "class_id",
        "cls",
        "attempt_limit",
        "deadline",
        "aim_at",
        "size",
        "tried",
        "in_flight",
        "attempts",
        "ran_on",
        "ran_at",
        "is_streaming",
        "hold_until",
        "pending_probes",
        "probe_rounds",
        "best_server",
        "cost_hint",
        "shortest_queue",
        "best_wait",
        "bounds",
        "first_at",
        "first_on",
    )

    def __init__(
        self,
        tid: str,
        class_id: int,
        cls: RequestClass,
        attempt_limit: int,
        deadline: int,
        aim_at: int,
        cost_hint: float,
        size: float,
        bounds: Bounds | None = None,
    ) -> None:
        self.tid, self.class_id, self.cls = tid, class_id, cls
        self.bounds = bounds  # limits set by operators for its route
        self.attempt_limit = attempt_limit
        self.deadline, self.aim_at = deadline, aim_at
        self.cost_hint = cost_hint  # cost given with the request in nanoseconds, or 0
        self.size = size  # expected latency at an idle server, in nanoseconds
        self.tried: list[Server] = []
        self.in_flight = 0  # attempts without an outcome
        self.attempts = 0
        self.ran_on: Server | None = None  # first server that may have executed it
        self.ran_at = 0
        # The first attempt that may have been executed: when it was sent, and where.
        self.first_at = 0
        self.first_on: Server | None = None
        self.is_streaming = False
        self.hold_until = deadline
        self.pending_probes = self.probe_rounds = 0  # probes without a result, and rounds started
        self.shortest_queue = math.inf  # among the servers probed in this round
        self.best_server: Server | None = None  # probed server with the shortest expected wait
        self.best_wait = 0.0  # expected wait at the best server, in multiples of `size`


class Attempt:
    """Attempt in flight. It may outlive its call."""

    __slots__ = ("server", "is_trial", "sent_at", "size", "class_id", "cost_hint", "idle_before", "overtaken_by")

    def __init__(self, server: Server, trial: bool, sent_at: int, call: Call) -> None:
        self.server, self.is_trial, self.sent_at, self.idle_before = server, trial, sent_at, server.idle_before
        self.size, self.class_id, self.cost_hint = call.size, call.class_id, call.cost_hint
        self.overtaken_by = 0  # later calls that the server has answered first
