"""A simulated deployment whose core acts for itself: leases, views and replacements under cuts, freezes and losses.
Its edges spend quota tokens all along.

The core is scripted as the coordination promises it: a machine that runs and reaches a majority of the view both ways
may hold the leader lease, and hears what is committed; one that does not hears nothing, and its lease runs out on its
own clock. A grant binds the core for the lease, on true time; the holder counts from when it asked and stops a margin
earlier.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rosechute.coordination.replica_config import Timing

from .distribution_machines import Machine, Process
from .distribution_world import TENANT, World
from .quota_world import RequestLog, max_tokens_per_window

TIMING = Timing()
ROUND_S = 0.1  # of the core: leases, views, paths
ASKED_BEFORE_S = 0.05  # at most: how long before a grant came it was asked for
CAMPAIGN_S = 0.6  # at most: how long the lease is free while somebody can have it
REMOVED_AFTER_S = 0.9  # a removed member is replaced in the view
REQUEST_TOKENS = (300, 700, 2_000)
LEAST_REQUESTS_PER_S = 0.5
LEAVING_S = 4.0  # from the signal to the end of a process


@dataclass
class DayWorld(World):
    """A deployment for the operators' worst days."""

    request_tokens: tuple[int, ...] = REQUEST_TOKENS

    def __post_init__(self) -> None:
        self.view: list[Machine] = []
        self.granted_until = 0.0
        self.elected_at = math.inf
        self.core_worked = False  # as it was noted last
        self.counted = RequestLog()
        self.demand: dict[str, float] = {}  # by edge, in tokens a second
        self.terms = self.replacements = 0
        super().__post_init__()
        self.view = list(self.core)
        self.timeline.every(ROUND_S, self._round)
        for machine in self.edge:
            self._next_request(machine)

    # the core

    def reaches_majority(self, machine: Machine) -> bool:
        """Whether a core machine runs, and reaches more than half of the view both ways."""
        if not machine.running:
            return False
        reached = sum(1 for one in self.view if one is machine or (one.running and self.network.joined(machine, one)))
        return reached > len(self.view) // 2

    def knows_commits(self, machine: Machine) -> bool:
        return self.reaches_majority(machine)

    def core_works(self) -> bool:
        """Whether the core can commit and elect."""
        return any(self.reaches_majority(one) for one in self.view)

    def _round(self) -> None:
        self._renew_lease()
        if self.leader is None and self.now >= self.granted_until:
            self._campaign()
        self._change_view()
        self.note_paths()
        self.tell_core()
        self._tell_leader()

    def _renew_lease(self) -> None:
        leader = self.leader
        if leader is None:
            return
        core = leader.process.core if leader.process is not None else None
        holds = core is not None and core.replica.is_leader(leader.clock.local(self.now))
        if core is not None and holds and leader in self.view and self.reaches_majority(leader):
            core.replica.lease_until = self._lease_end(leader)
            self.granted_until = self.now + TIMING.lease_s
        elif self.now >= self.granted_until:
            self.leader = None  # the machine finds that out by itself, once it runs

    def _lease_end(self, machine: Machine) -> float:
        """By the machine's clock, of a lease that is granted now."""
        asked_at = self.now - self.random.uniform(0.0, ASKED_BEFORE_S)
        return machine.clock.local(asked_at) + TIMING.lease_s - TIMING.lease_margin_s

    def _campaign(self) -> None:
        """The lease is free: after a short while a machine that can have it has it."""
        candidates = [one for one in self.view if self.reaches_majority(one)]
        if not candidates:
            self.elected_at = math.inf
        elif self.elected_at == math.inf:
            self.elected_at = self.now + self.random.uniform(0.0, CAMPAIGN_S)
        if self.now >= self.elected_at:
            self.elected_at = math.inf
            machine = self.random.choice(candidates)
            assert machine.process is not None and machine.process.core is not None
            machine.process.core.notice_lease()
            self.granted_until = self.now + TIMING.lease_s
            self.terms += 1
            self.members_changed = self.now  # a new leader has to learn who lives
            self.begin_lease(machine, self._lease_end(machine))

    def resign(self) -> None:
        """The leader gives its lease back: the next one may be elected at once."""
        if self.leader is not None and self.leader.running:
            self.end_lease()
            self.granted_until = self.now

    def replace(self, machine: Machine) -> None:
        """A core machine is taken away for good; another one starts at a new address."""
        self.kill(machine)
        machine.removed = True
        self.replacements += 1
        newcomer = self._machine(f"core-{len(self.core)}", len(self.core), is_core=True)
        self.core.append(newcomer)
        self.at(self.random.uniform(0.0, 1.0), lambda: self.start(newcomer))

    def _change_view(self) -> None:
        """The leader puts a newcomer in the place of a member that is gone."""
        if self.leader is None or not self.reaches_majority(self.leader):
            return
        gone = [one for one in self.view if one.removed and self.now - one.calm_since >= REMOVED_AFTER_S]
        newcomers = [
            one for one in self.core if one not in self.view and one.running and self.network.joined(one, self.leader)
        ]
        if gone and newcomers:
            self.view[self.view.index(gone[0])] = newcomers[0]

    def tell_core(self) -> None:
        known = [one for one in self.core if one in self.view or one.running]
        machines = [one.process.core.replica.identity for one in known if one.process and one.process.core]
        for machine, core in self.core_processes():
            if self.reaches_majority(machine):
                core.replica.machines = machines

    def start(self, machine: Machine) -> None:
        if machine.is_core:
            self.core_troubled_until = self.now
        super().start(machine)

    def trouble(self, machine: Machine, over: bool) -> None:
        machine.troubles += -1 if over else 1
        machine.calm_since = self.now
        if machine.is_core:
            self.core_troubled_until = self.now

    def core_cut(self, over: bool) -> None:
        self.core_troubled_until = self.now

    # edges

    def reaches_core(self, machine: Machine) -> bool:
        return all(self.network.joined(machine, one) for one in self.core if self.reaches_majority(one))

    def note_paths(self) -> None:
        """Edges without a path both ways to every core machine that itself reaches a majority are out of touch."""
        self.core_worked = self.core_works()
        for machine in self.edge:
            if not self.reaches_core(machine):
                machine.path_lost_at = self.now

    def in_touch(self, machine: Machine) -> bool:
        return self.core_worked and super().in_touch(machine)

    def add_edge(self) -> None:
        """One more edge comes."""
        machine = self._machine(f"edge-{len(self.edge)}", len(self.edge), is_core=False)
        self.edge.append(machine)
        self.start(machine)
        self._next_request(machine)

    def leave(self, machine: Machine) -> None:
        """An edge is told to end: it serves on for a while, and is no home any more."""
        process = machine.process
        assert process is not None and process.subscriber is not None
        process.subscriber.leave(process.local_now())
        self._wake_now(process)
        self.at(LEAVING_S, lambda: self.kill(machine, restart_after=0.2) if machine.process is process else None)

    def remove_edge(self, machine: Machine) -> None:
        """An edge goes for good."""
        self.kill(machine)
        machine.removed = True

    # quota

    def press(self, demand: float, even: bool = False) -> None:
        """Clients ask for so many tokens a second, evenly over the edges or not."""
        weights = [1.0 if even else self.random.choice((0.1, 1.0, 5.0)) for _ in self.edge]
        for machine, weight in zip(self.edge, weights, strict=True):
            self.demand[machine.name] = demand * weight / sum(weights)

    def _next_request(self, machine: Machine) -> None:
        mean = sum(self.request_tokens) / len(self.request_tokens)
        rate = max(self.demand.get(machine.name, 0.0) / mean, LEAST_REQUESTS_PER_S)

        def request() -> None:
            if machine.process is not None and machine.process.quota is not None:
                self._request(machine.process)
            self._next_request(machine)

        if not machine.removed:
            self.at(self.random.expovariate(rate), request)

    def _request(self, process: Process) -> None:
        tokens = self.random.choice(self.request_tokens)
        came = self.now
        self.counted.requested.append((came, tokens))

        def decided(allowed: bool, retry_after_s: float) -> None:
            if allowed:
                self.counted.admitted.append((self.now, tokens))
            else:
                self.counted.rejected.append((came, self.now - came, retry_after_s))

        quota = process.quota
        assert quota is not None
        process.run(lambda: quota.acquire(TENANT, tokens, decided))

    def quota_excess(self) -> float:
        """By how many tokens any window exceeds the rule; none where it is not above 0."""
        most = max_tokens_per_window(self.bounds, self.limit)
        return self.counted.max_excess(self.bounds.quota_window_s, lambda _: most)
