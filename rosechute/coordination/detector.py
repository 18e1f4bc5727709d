"""Which core machines are there, which of them work, and which of them reach each other.

A machine counts as healthy only while answers to recent heartbeats come back, so a path that works one way only is as
good as none.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from rosechute.coordination.types import Identity, Timing
from rosechute.messages import coordination_pb2 as pb

NEVER = float("-inf")
STRANGER_S = 5.0  # a machine outside of the view is forgotten after such a silence


@dataclass(slots=True)
class Peer:
    """What is known of another core machine."""

    identity: Identity
    boot: int
    beat: pb.Heartbeat
    heard: float  # when its newest heartbeat came
    echo: float  # newest stamp of ours that it has sent back
    answered: float  # the same, moved by the time for which this machine did not run
    healthy: bool = False
    healthy_since: float = 0.0
    removals: list[float] = field(default_factory=list)  # times when it was taken out of the chain
    past_boots: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Detector:
    """State of the failure detection."""

    own: Identity
    boot: int
    timing: Timing
    started: float
    peers: dict[str, Peer] = field(default_factory=dict)
    _conflicts: dict[tuple[str, str], float] = field(default_factory=dict)

    def heard(self, now: float, identity: Identity, boot: int, beat: pb.Heartbeat) -> Peer:
        """A heartbeat came."""
        peer = self.peers.get(identity.id)
        if peer is None:
            peer = self.peers[identity.id] = Peer(identity, boot, beat, now, NEVER, NEVER)
        elif boot in peer.past_boots and now - peer.heard <= self._unreached_after():
            return peer  # a late one of a process that has ended
        elif boot != peer.boot:
            peer.past_boots.add(peer.boot)
            peer.past_boots.discard(boot)
            peer.boot, peer.healthy = boot, False
            peer.echo = peer.answered = NEVER
        elif beat.stamp < peer.beat.stamp:
            return peer  # overtaken by a newer one
        peer.identity, peer.beat, peer.heard = identity, beat, now
        if beat.echo_boot == self.boot and beat.echo <= now:
            peer.echo = max(peer.echo, beat.echo)
            peer.answered = max(peer.answered, beat.echo)
        self._judge(now, peer)
        return peer

    def _unreached_after(self) -> float:
        """Silence after which a machine counts as not reached.

        A process that was taken for an ended one is heard again after such a silence of its supposed successor: bytes
        of a process that has ended may come after those of the one that runs. They end, and that one goes on.
        """
        return self.timing.suspect + self.timing.heartbeat

    def awoke(self, gap: float) -> None:
        """This machine had not run for a while: that time counts for nobody's silence."""
        for peer in self.peers.values():
            peer.answered += gap
            peer.heard += gap
            peer.healthy_since += gap
        self._conflicts.clear()

    def tick(self, now: float, kept: Iterable[str], planning: bool) -> None:
        """Judge all; forget silent machines that are not among the kept ones. Conflicts matter to who plans views."""
        keep = set(kept)
        for machine_id, peer in list(self.peers.items()):
            self._judge(now, peer)
            if machine_id not in keep and now - peer.heard > STRANGER_S:
                del self.peers[machine_id]
        if planning:
            self._note_conflicts(now)
        else:
            self._conflicts.clear()

    def _judge(self, now: float, peer: Peer) -> None:
        healthy = bool(peer.beat.healthy) and self.reaches(now, peer.identity.id)
        if healthy and not peer.healthy:
            peer.healthy_since = now
        peer.healthy = healthy

    def reaches(self, now: float, machine_id: str) -> bool:
        """Whether answers come from this machine."""
        if machine_id == self.own.id:
            return True
        peer = self.peers.get(machine_id)
        if peer is None:
            return False
        return now - peer.answered <= self._unreached_after()

    def reached(self, now: float) -> list[str]:
        """The machines from which answers come."""
        return [machine_id for machine_id in self.peers if self.reaches(now, machine_id)]

    def reached_by_another(self, now: float, machine_id: str) -> bool:
        """Whether a machine that this one reaches gets answers from that one."""
        return any(
            machine_id in peer.beat.reached for peer in self.peers.values() if self.reaches(now, peer.identity.id)
        )

    def healthy(self, machine_id: str) -> bool:
        """Whether another machine is reached, its disk works and it is not about to end."""
        peer = self.peers.get(machine_id)
        return peer is not None and peer.healthy

    def settled(self, now: float, machine_id: str) -> bool:
        """Whether a machine outside of the chain has been healthy for long enough to come back."""
        peer = self.peers.get(machine_id)
        if peer is None or not peer.healthy:
            return False
        recent = sum(1 for when in peer.removals if now - when < self.timing.removal_memory)
        wait = min(self.timing.readmit * (1 << max(0, recent - 1)), self.timing.readmit_longest)
        return now - peer.healthy_since >= wait

    def removed(self, now: float, machine_id: str) -> None:
        """This machine was taken out of the chain because it is not healthy."""
        peer = self.peers.get(machine_id)
        if peer is not None:
            peer.removals = [when for when in peer.removals if now - when < self.timing.removal_memory]
            peer.removals.append(now)

    def silent_for(self, now: float, machine_id: str) -> float:
        """How long nothing was heard of a machine."""
        if machine_id == self.own.id:
            return 0.0
        peer = self.peers.get(machine_id)
        return now - (peer.heard if peer else self.started)

    def conflicts(self, now: float) -> set[tuple[str, str]]:
        """Pairs of other machines that have not reached each other for a while."""
        return {pair for pair, since in self._conflicts.items() if now - since >= self.timing.conflict}

    def _note_conflicts(self, now: float) -> None:
        healthy = [peer for peer in self.peers.values() if peer.healthy]
        seen = set()
        reached = {peer.identity.id: set(peer.beat.reached) for peer in healthy}
        for one, other in itertools.combinations(healthy, 2):
            if other.identity.id not in reached[one.identity.id] or one.identity.id not in reached[other.identity.id]:
                pair = (one.identity.id, other.identity.id)
                pair = pair if pair[0] < pair[1] else (pair[1], pair[0])
                seen.add(pair)
                self._conflicts.setdefault(pair, now)
        for pair in self._conflicts.keys() - seen:
            del self._conflicts[pair]
