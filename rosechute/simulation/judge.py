"""Invariant checker: reads a trace, knows the scenario, and reports each violation of the platform's rules.

It shares no code with the model, the instances or the load balancing module, so that a bug in one of them cannot hide
itself. The platform documentation states these rules:

1. *Answer*: each request gets exactly one final answer before its client times out. Requests of a killed instance
   are lost and need no answer.
2. *Repeat*: a `single_shot` request is not sent again once an attempt may have run. A `guarded` request is sent again
   only within its key's window, counted from the first attempt that may have run, and within its group.
3. *Drain*: no new request is sent to a draining server after the grace period, which begins when the instance learns
   of the drain.
4. *Cold*: a cold server is not sent more than `fall_multiple` times its capacity over the window `fall`. Only windows
   count in which two thirds of the work come from instances that know of the server's start.

In addition *conservation*: every attempt has one outcome or is lost with its instance, begins only at the server to
which it was sent, and the number of attempts stays within the configured limit.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

from rosechute.simulation.spec import Scenario
from rosechute.simulation.trace import (
    ARRIVE,
    BEGIN,
    CRASHED,
    END,
    INSTANCE,
    LOST,
    NOTIFIED,
    OUTCOME,
    REQUEST,
    SEND,
    SERVED,
    SERVER,
    STOPPED,
    TIMED_OUT,
    UP,
    Record,
)

NEVER_RAN = frozenset({302, 304, 307})  # full, connect failed, withdrawn before its first byte
MAX_BREACHES = 200  # breaches kept with a description; all are counted
RULES = ("answer", "repeat", "drain", "cold", "conservation")


class Breach(NamedTuple):
    """Rule violation: time, name of the rule and description."""

    at_ns: int
    rule: str
    text: str


class _AttemptState:
    __slots__ = ("server", "at", "how", "began")

    def __init__(self, server: int, at: int) -> None:
        self.server, self.at = server, at
        self.how: int | None = None
        self.began = False


class _RequestState:
    __slots__ = ("at", "instance", "cls", "until", "sent", "ended", "ended_at", "out")

    def __init__(self, at: int, instance: int, cls: int, until: int) -> None:
        self.at, self.instance, self.cls, self.until = at, instance, cls, until
        self.sent: list[_AttemptState] = []
        self.ended = False
        self.ended_at = 0
        self.out = 0


class Judge:
    """Trace reader that collects rule violations; call `finish` after the last record.

    Args:
        scenario: The scenario of the run.
        slack_ns: Tolerance in nanoseconds for runs with real processes, where both ends observe an event at different
            times: an answer may be late by this much, and a server may see an attempt this long after the end of the
            request or after its drain was announced.
    """

    def __init__(self, scenario: Scenario, slack_ns: int = 0) -> None:
        self._scenario = scenario
        self._slack = slack_ns
        self._ended: deque[tuple[int, int]] = deque()  # ended requests, kept for the slack time
        self.breaches: list[Breach] = []
        self.counts: Counter[str] = Counter({rule: 0 for rule in RULES})
        self._open: dict[int, _RequestState] = {}
        self._at = 0
        self._draining: dict[tuple[int, int], int] = {}
        self._starts: dict[int, tuple[int, float, float]] = {}  # by server: start, capacity, share when cold
        self._informed: dict[int, set[int]] = {}
        self._arrived: dict[int, deque[tuple[int, float, bool]]] = {}
        self._overloaded: set[tuple[int, int]] = set()  # (server, start time) of cold starts already reported

    def __call__(self, record: Record) -> None:
        """Process a trace record."""
        at, kind = record[0], record[1]
        if at < self._at:
            self._breach("conservation", f"record at {at} follows a record at {self._at}")
        self._at = at
        while self._ended and self._ended[0][0] < at - self._slack:
            self._forget(self._ended.popleft()[1])
        if kind == ARRIVE:
            self._arrive(at, *record[2:])
        elif kind == SEND:
            self._send(at, *record[2:])
        elif kind == BEGIN:
            self._begin(*record[2:])
        elif kind == OUTCOME:
            self._outcome(*record[2:])
        elif kind == REQUEST:
            rid, _, instance, cls, _, _, wait, _ = record[2:]
            if rid in self._open:
                self._breach("conservation", f"request {rid} was received twice")
            self._open[rid] = _RequestState(at, instance, cls, at + wait)
        elif kind == END:
            self._end(at, *record[2:4])
        elif kind == NOTIFIED:
            self._told(at, *record[2:])
        elif kind == SERVER:
            self._server(at, *record[2:])
        elif kind == INSTANCE and not record[3]:
            for key in [k for k in self._draining if k[0] == record[2]]:
                del self._draining[key]  # a restarted instance knows only its last saved list
            for informed in self._informed.values():
                informed.discard(record[2])

    def finish(self) -> None:
        """Report requests still open past their deadline as unanswered, at the end of the run."""
        for rid, request in self._open.items():
            if not request.ended and self._at > request.until + self._slack:
                self._breach("answer", f"request {rid} got no answer by its deadline {request.until}")

    def _breach(self, rule: str, text: str) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < MAX_BREACHES:
            self.breaches.append(Breach(self._at, rule, text))

    # --- rules 1 and 2

    def _send(self, at: int, rid: int, number: int, server: int) -> None:
        request = self._open.get(rid)
        if request is None or (request.ended and at > request.ended_at + self._slack):
            self._breach("conservation", f"request {rid} was sent to {server} though it was not open")
            return
        if number != len(request.sent):
            self._breach("conservation", f"attempt {number} of request {rid} came after {len(request.sent)} others")
        if number >= self._scenario.instances.attempts:
            self._breach("conservation", f"request {rid} was sent {number + 1} times")
        if at >= request.until + self._slack:
            self._breach("answer", f"request {rid} was sent after its client's timeout")
        risky = [s for s in request.sent if s.how is None or s.how not in NEVER_RAN]
        cls = self._scenario.classes[request.cls]
        if risky and cls.repeat == "single_shot":
            self._breach("repeat", f"request {rid} of {cls.name} was sent again after it may have run")
        elif risky and cls.repeat == "guarded":
            first = min(risky, key=lambda s: s.at)
            if at >= first.at + cls.window:
                self._breach("repeat", f"request {rid} of {cls.name} was repeated after its key's window")
            zones = self._scenario.fleet.zones
            if cls.group != "all" and (
                server % zones != first.server % zones if cls.group == "zone" else server != first.server
            ):
                self._breach("repeat", f"request {rid} of {cls.name} was repeated outside its {cls.group}")
        drained_at = self._draining.get((request.instance, server))
        if drained_at is not None and at > drained_at + self._scenario.instances.grace + self._slack:
            self._breach("drain", f"request {rid} was sent to {server} {at - drained_at} ns after its drain notice")
        request.sent.append(_AttemptState(server, at))
        request.out += 1

    def _begin(self, rid: int, number: int, server: int) -> None:
        request = self._open.get(rid)
        if request is None:
            return  # the request has ended; the server ran an abandoned attempt
        if number >= len(request.sent) or request.sent[number].server != server:
            self._breach("conservation", f"attempt {number} of request {rid} began at {server}, not sent there")
            return
        sent = request.sent[number]
        if sent.began:
            self._breach("conservation", f"attempt {number} of request {rid} began twice")
        sent.began = True
        if sent.how in NEVER_RAN:
            self._breach("conservation", f"attempt {number} of request {rid} began after a never-ran outcome")

    def _outcome(self, rid: int, number: int, how: int) -> None:
        request = self._open.get(rid)
        if request is None or number >= len(request.sent) or request.sent[number].how is not None:
            self._breach("conservation", f"attempt {number} of request {rid} ended, but was not in flight")
            return
        request.sent[number].how = how
        request.out -= 1
        self._release(rid, request)

    def _end(self, at: int, rid: int, ending: int) -> None:
        request = self._open.get(rid)
        if request is None or request.ended:
            self._breach("answer", f"request {rid} got a second final answer")
            return
        request.ended, request.ended_at = True, self._at
        if ending == TIMED_OUT:
            self._breach("answer", f"request {rid} was not answered before its client timed out")
        elif ending == LOST:
            request.out = 0  # its attempts are lost with it
        elif at > request.until + self._slack:
            self._breach("answer", f"request {rid} was answered {at - request.until} ns late")
        elif ending == SERVED and not any(s.how == 100 for s in request.sent):
            self._breach("conservation", f"request {rid} was served, but no attempt succeeded")
        self._release(rid, request)

    def _release(self, rid: int, request: _RequestState) -> None:
        if not request.ended or request.out > 0:
            return
        if self._slack:
            self._ended.append((self._at, rid))
        else:
            del self._open[rid]

    def _forget(self, rid: int) -> None:
        request = self._open.get(rid)
        if request is not None and request.out <= 0:  # else a late attempt is in flight; its outcome releases it
            del self._open[rid]

    # --- rules 3 and 4

    def _told(self, at: int, instance: int, server: int, state: int, started: int) -> None:
        if state == UP:
            self._draining.pop((instance, server), None)
            start = self._starts.get(server)
            if start is not None and started == start[0]:
                self._informed.setdefault(server, set()).add(instance)
        else:
            self._draining.setdefault((instance, server), at)

    def _server(self, at: int, server: int, state: int, capacity: float, cold_from: float) -> None:
        if state == UP and at:
            self._starts[server] = (at, capacity, cold_from)
            self._informed[server] = set()
            self._arrived[server] = deque()
        elif state in (STOPPED, CRASHED):
            self._starts.pop(server, None)
            self._arrived.pop(server, None)

    def _arrive(self, at: int, rid: int, number: int, server: int, instance: int, work: float, taken: int) -> None:
        start = self._starts.get(server)
        if start is None:
            return
        fleet = self._scenario.fleet
        began, capacity, cold_from = start
        age = at - began
        if age >= fleet.cold:
            del self._starts[server]
            return
        arrived = self._arrived[server]
        arrived.append((at, work, instance in self._informed[server]))
        while arrived[0][0] <= at - fleet.fall:
            arrived.popleft()
        if age < fleet.fall or (server, began) in self._overloaded:
            return
        limit = fleet.fall_multiple * capacity * (cold_from + (1.0 - cold_from) * age / fleet.cold) * fleet.fall
        total = sum((w for _, w, _ in arrived), 0.0)
        if total > limit and sum((w for _, w, informed in arrived if informed), 0.0) >= total * 2 / 3:
            self._overloaded.add((server, began))
            self._breach("cold", f"server {server}, up since {began}, was sent {total / limit:.2f} times its limit")
