"""What one balancer remembers: servers, calls it owes an answer, attempts that are out."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Sequence
from zlib import crc32

from rosechute.load_balancing.interface import Bounds, Entry, Invariants, RequestClass

GAIN = 0.3  # weight of one new observation against what was known
FIGURE = 2.0  # concurrency figure of a server nothing is known of, and its ceiling: each step admits so many


def pulse(rate: float, gap: int, span: int) -> float:
    """A rate of events, smoothed over about `span`, after one more event `gap` after the last."""
    return rate + (1.0 - rate * gap) / span if gap < span else 1.0 / gap


class Server:
    """What this sidecar knows of one server."""

    __slots__ = (
        "name",
        "zone",
        "kind",
        "cell",
        "heft",
        "use",
        "flow",
        "told_at",
        "fails",
        "up",
        "gone",
        "started",
        "inflight",
        "k",
        "figure",
        "trial",
        "backoff",
        "retry_at",
        "stretch",
        "seen",
        "peak",
        "used",
        "idle",
        "slot",
        "mute",
        "load",
        "mute_until",
        "heard",
        "struck",
        "erred",
        "askers",
        "credit",
        "credit_at",
        "entry",
        "rank",
    )

    def __init__(self, entry: Entry) -> None:
        self.name = entry.server
        self.entry: Entry | None = None  # its line as it was last taken up
        self.rank = 0  # its place in the subset's order
        self.zone, self.cell, self.heft = entry.zone, entry.cell, entry.weight
        self.kind = entry.kind
        self.inflight = 0
        self.peak = 0  # connections open, as far as own calls in flight tell
        self.used = 0  # when a connection was last used
        self.idle = 0  # how long it had been idle before that
        self.slot = -1  # place in the list of servers under budget, -1 when not in it
        self.askers: list[Call] = []  # calls that wait for the probe that is out, if there are any
        self.up = self.gone = False
        self.started = -1
        self.reset()

    def reset(self) -> None:
        """A new process: nothing learned of the old one holds."""
        self.k, self.figure = 1, FIGURE
        self.trial = False
        self.backoff = self.retry_at = 0
        self.stretch = 0.0
        self.fails = 0.0  # share of errors and time-outs in its outcomes of late
        self.told_at = 0  # when it last told of its load
        self.use = self.flow = 0.0  # told utilisation, and requests a second; 0 where nothing is
        self.seen = 0  # 0: never heard of, so the fleet's mean stands in
        self.heard = 0  # when it last answered anything at all
        self.struck = 0  # when something last broke or fell silent there
        self.erred = False  # whether its last verdict was an error
        self.load = 0.0  # requests held, by the last echo and own sends since
        self.mute_until = 0  # no probes before this: the last one failed
        self.mute: dict[int, tuple[int, int]] = {}  # classes left unanswered: until when, for how long
        self.credit = 0.0  # calls that a server which may be cold may be sent, as of when
        self.credit_at = 0

    def ramp(self, now: int, inv: Invariants) -> float:
        """The share of its capacity that a server has at worst, being cold."""
        if self.started <= 0 or now - self.started >= inv.cold_ns:
            return 1.0
        age = now - self.started
        return inv.cold_from + (1.0 - inv.cold_from) * max(age, 0) / inv.cold_ns

    def avoided(self, now: int, classes: Sequence[int]) -> bool:
        """Whether no new call would go here, but for a trial: draining, at k = 0, or passed over."""
        muted = all(now < self.mute.get(number, (0, 0))[0] for number in classes)
        return not self.up or not self.k or muted or now < self.mute_until

    @property
    def budget(self) -> int:
        if not self.k:
            return 0
        return int(self.k * self.figure) or 1


def _rank(server: Server) -> tuple[int, str]:
    return server.rank, server.name


class Roster:
    """The servers that are up, in every order that draws go over. One that comes or goes costs a search by halves
    and a shift in each, however long the list is; and the orders are those that sorting anew would give."""

    __slots__ = ("up", "subset", "groups", "weights", "heaviest", "_index", "_seed")

    def __init__(self) -> None:
        self.up: list[Server] = []  # by name
        self.subset: list[Server] = []  # in this sidecar's own random order
        self.groups: dict[int, list[Server]] = {}  # of each zone, as -1 - zone, and of each cell, by name
        self.weights: dict[float, int] = {}  # how many have each
        self.heaviest = 1.0  # the largest of them
        self._index: int | None = None
        self._seed = 0

    def rebuild(self, index: int, servers: Iterable[Server]) -> None:
        """Sort all of them anew, for the sidecar of this number."""
        self._index, self._seed = index, crc32(f"{index}/".encode())
        self.up[:] = sorted([s for s in servers if s.up], key=lambda s: s.name)
        self.groups.clear()
        self.weights.clear()
        for server in self.up:
            server.rank = crc32(server.name.encode(), self._seed)
            self.groups.setdefault(-1 - server.zone, []).append(server)
            self.groups.setdefault(server.cell, []).append(server)
            self.weights[server.heft] = self.weights.get(server.heft, 0) + 1
        self.subset[:] = sorted(self.up, key=_rank)
        self.heaviest = max(self.weights, default=1.0)

    def stale(self, index: int) -> bool:
        """Whether the subset is in the order of a sidecar of another number."""
        return index != self._index

    def add(self, server: Server) -> None:
        """One is up that was not."""
        server.rank = crc32(server.name.encode(), self._seed)
        self.up.insert(self._by_name(self.up, server.name), server)
        self.subset.insert(bisect_left(self.subset, _rank(server), key=_rank), server)
        for key in (-1 - server.zone, server.cell):
            members = self.groups.setdefault(key, [])
            members.insert(self._by_name(members, server.name), server)
        self.weights[server.heft] = self.weights.get(server.heft, 0) + 1
        if server.heft > self.heaviest or len(self.up) == 1:
            self.heaviest = server.heft

    def discard(self, server: Server) -> None:
        """One that was up no longer is, or not as it was: it must be told before any of it changes."""
        del self.up[self._by_name(self.up, server.name)]
        del self.subset[bisect_left(self.subset, _rank(server), key=_rank)]
        for key in (-1 - server.zone, server.cell):
            members = self.groups[key]
            del members[self._by_name(members, server.name)]
            if not members:
                del self.groups[key]
        left = self.weights.get(server.heft, 0) - 1
        if left > 0:
            self.weights[server.heft] = left
        else:
            self.weights.pop(server.heft, None)
            if server.heft == self.heaviest or not self.up:
                self.heaviest = max(self.weights, default=1.0)

    @staticmethod
    def _by_name(servers: list[Server], name: str) -> int:
        """The first place at which a server of this name may stand."""
        low, high = 0, len(servers)
        while low < high:
            middle = (low + high) // 2
            if servers[middle].name < name:
                low = middle + 1
            else:
                high = middle
        return low


class Classes:
    """The request classes under numbers of the module's own, which stay when settings change: what was learnt
    of a class is kept by its number. One that is dropped keeps its number, should it come back."""

    def __init__(self) -> None:
        self.known: list[RequestClass] = []
        self._numbers: dict[str, int] = {}
        self._places: list[int] = []  # the number of the class at each place of the settings
        self.unknown = 0

    def adopt(self, classes: Sequence[RequestClass]) -> None:
        """Take over the settings' classes. What they do not name may be a class that must never run twice."""
        longest = max(c.deadline_ns for c in classes)
        unknown = RequestClass("", longest, longest)
        if not self.known:
            self.known = [*classes, unknown]
            self.unknown = len(classes)
            self._places = list(range(len(classes)))
            self._numbers = {c.name: i for i, c in enumerate(classes)}
            return
        self.known[self.unknown] = unknown
        for cls in classes:
            if cls.name not in self._numbers:
                self._numbers[cls.name] = len(self.known)
                self.known.append(cls)
            self.known[self._numbers[cls.name]] = cls
        self._places = [self._numbers[c.name] for c in classes]

    @property
    def listed(self) -> Sequence[int]:
        """The numbers of the classes that the settings name."""
        return self._places

    def find(self, place: int, kind: RequestClass | None) -> tuple[int, RequestClass]:
        """The number and the class of a request."""
        if kind is not None:
            return self._numbers.get(kind.name, self.unknown), kind
        number = self._places[place] if 0 <= place < len(self._places) else self.unknown
        return number, self.known[number]


class Call:
    """A request this sidecar owes an answer."""

    __slots__ = (
        "tid",
        "number",
        "cls",
        "most",
        "deadline",
        "aim_at",
        "size",
        "tried",
        "out",
        "attempts",
        "ran_on",
        "ran_at",
        "begun",
        "give_up",
        "pending",
        "rounds",
        "best",
        "hint",
        "queue",
        "best_wait",
        "bounds",
        "first_at",
        "first_on",
    )

    def __init__(
        self,
        tid: str,
        number: int,
        cls: RequestClass,
        most: int,
        deadline: int,
        aim_at: int,
        hint: float,
        size: float,
        bounds: Bounds | None = None,
    ) -> None:
        self.tid, self.number, self.cls = tid, number, cls
        self.bounds = bounds  # what operators have set for its route
        self.most = most  # attempts that it was taken with
        self.deadline, self.aim_at = deadline, aim_at
        self.hint = hint  # work as told, 0 where nothing is
        self.size = size  # expected time to answer of an idle server
        self.tried: list[Server] = []
        self.out = 0  # attempts without an outcome
        self.attempts = 0
        self.ran_on: Server | None = None  # first server that may have run it
        self.ran_at = 0
        # Of the attempts not known to have never run, when the first was sent, and where.
        self.first_at = 0
        self.first_on: Server | None = None
        self.begun = False
        self.give_up = deadline
        self.pending = self.rounds = 0  # probes whose echo is due; rounds of probes asked for
        self.queue = math.inf  # the shortest queue among those that echoed in this round
        self.best: Server | None = None  # the server that echoed and answers soonest
        self.best_wait = 0.0  # in how many times the call's size


class Attempt:
    """One attempt whose outcome is due; it outlives its call."""

    __slots__ = ("server", "trial", "sent", "size", "cls", "hint", "idle", "passed")

    def __init__(self, server: Server, trial: bool, sent: int, call: Call) -> None:
        self.server, self.trial, self.sent, self.idle = server, trial, sent, server.idle
        self.size, self.cls, self.hint = call.size, call.number, call.hint
        self.passed = 0  # later calls that the server has answered before this one
