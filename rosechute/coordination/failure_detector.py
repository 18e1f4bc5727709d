"""Failure detector: which core machines are up, which are healthy, and which of them reach each other.

Heartbeats carry a stamp of the sender's clock, and each one echoes the newest stamp received from its target. A
machine counts as reachable only while echoes of recent stamps come back, that is while the path works both ways. The
detector is unreliable in the sense of Chandra & Toueg (1996): it may suspect a machine that runs. Safety never
depends on it; Paxos and the leases provide that."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from rosechute.coordination.replica_config import MachineIdentity, Timing
from rosechute.messages import coordination_pb2 as pb

NEVER = float("-inf")
FORGET_UNKNOWN_AFTER_S = 5.0  # silence after which a machine outside of the view is forgotten


@dataclass(slots=True)
class Peer:
    """State of the detector for one other core machine. Times are of this machine's steady clock, in seconds.

    Attributes:
        identity: the machine, as its newest heartbeat names it.
        incarnation: incarnation of its process.
        heartbeat: its newest heartbeat.
        last_received_at: when that heartbeat was received.
        echoed_stamp: newest stamp of this machine that the peer has echoed.
        last_answered_at: `echoed_stamp` plus the pauses of this machine, so that a pause is not taken for silence.
        is_healthy: whether it is reachable and reports that its disk works and that it is not leaving.
        healthy_since: when it became healthy.
        removals: when it was removed from the chain, within `Timing.removal_memory_s`.
        past_incarnations: incarnations that a newer one has replaced.
    """

    identity: MachineIdentity
    incarnation: int
    heartbeat: pb.Heartbeat
    last_received_at: float
    echoed_stamp: float
    last_answered_at: float
    is_healthy: bool = False
    healthy_since: float = 0.0
    removals: list[float] = field(default_factory=list)
    past_incarnations: set[int] = field(default_factory=set)


@dataclass(slots=True)
class FailureDetector:
    """Failure detector of one core machine.

    Attributes:
        own: this machine.
        incarnation: incarnation of this process.
        timing: periods and time-outs.
        started_at: when this process started.
        peers: machine id to what is known of that machine.
    """

    own: MachineIdentity
    incarnation: int
    timing: Timing
    started_at: float
    peers: dict[str, Peer] = field(default_factory=dict)
    _unreachable_since: dict[tuple[str, str], float] = field(default_factory=dict)

    def on_heartbeat(self, now: float, identity: MachineIdentity, incarnation: int, heartbeat: pb.Heartbeat) -> Peer:
        """Record a heartbeat and return its sender.

        A heartbeat that a newer one has overtaken, or that comes late from a process that has ended, is ignored.
        Then the returned peer has another `heartbeat` than the given one.
        """
        peer = self.peers.get(identity.id)
        if peer is None:
            peer = self.peers[identity.id] = Peer(identity, incarnation, heartbeat, now, NEVER, NEVER)
        elif incarnation in peer.past_incarnations and now - peer.last_received_at <= self._unreachable_after_s():
            return peer
        elif incarnation != peer.incarnation:
            peer.past_incarnations.add(peer.incarnation)
            peer.past_incarnations.discard(incarnation)
            peer.incarnation, peer.is_healthy = incarnation, False
            peer.echoed_stamp = peer.last_answered_at = NEVER
        elif heartbeat.stamp < peer.heartbeat.stamp:
            return peer
        peer.identity, peer.heartbeat, peer.last_received_at = identity, heartbeat, now
        if heartbeat.echo_boot == self.incarnation and heartbeat.echo <= now:
            peer.echoed_stamp = max(peer.echoed_stamp, heartbeat.echo)
            peer.last_answered_at = max(peer.last_answered_at, heartbeat.echo)
        self._update_health(now, peer)
        return peer

    def _unreachable_after_s(self) -> float:
        """Return the silence in seconds after which a machine counts as unreachable.

        After the same silence a past incarnation is accepted again: bytes of an ended process may arrive after those
        of its successor, so the incarnation that was taken for ended may be the one that still runs.
        """
        return self.timing.suspect_after_s + self.timing.heartbeat_period_s

    def compensate_pause(self, pause_s: float) -> None:
        """Leave a pause of this process, in seconds, out of the silence of all peers."""
        for peer in self.peers.values():
            peer.last_answered_at += pause_s
            peer.last_received_at += pause_s
            peer.healthy_since += pause_s
        self._unreachable_since.clear()

    def tick(self, now: float, retained_ids: Iterable[str], *, is_planning: bool) -> None:
        """Update the health of all peers, and forget silent ones.

        Args:
            now: current time in seconds.
            retained_ids: machines that are never forgotten: the acceptors of the view.
            is_planning: whether this machine plans views and needs the pairs that do not reach each other.
        """
        retained = set(retained_ids)
        for machine_id, peer in list(self.peers.items()):
            self._update_health(now, peer)
            if machine_id not in retained and now - peer.last_received_at > FORGET_UNKNOWN_AFTER_S:
                del self.peers[machine_id]
        if is_planning:
            self._update_unreachable_pairs(now)
        else:
            self._unreachable_since.clear()

    def _update_health(self, now: float, peer: Peer) -> None:
        is_healthy = bool(peer.heartbeat.healthy) and self.is_reachable(now, peer.identity.id)
        if is_healthy and not peer.is_healthy:
            peer.healthy_since = now
        peer.is_healthy = is_healthy

    def is_reachable(self, now: float, machine_id: str) -> bool:
        """Return whether the machine answers heartbeats, that is whether the path to it works both ways."""
        if machine_id == self.own.id:
            return True
        peer = self.peers.get(machine_id)
        if peer is None:
            return False
        return now - peer.last_answered_at <= self._unreachable_after_s()

    def reachable_ids(self, now: float) -> list[str]:
        """Return the ids of the other machines that are reachable."""
        return [machine_id for machine_id in self.peers if self.is_reachable(now, machine_id)]

    def is_reachable_from_another(self, now: float, machine_id: str) -> bool:
        """Return whether any machine that is reachable from here reports that it reaches the given one."""
        return any(
            machine_id in peer.heartbeat.reached
            for peer in self.peers.values()
            if self.is_reachable(now, peer.identity.id)
        )

    def is_healthy(self, machine_id: str) -> bool:
        """Return whether another machine is reachable, its disk works and it is not leaving."""
        peer = self.peers.get(machine_id)
        return peer is not None and peer.is_healthy

    def is_readmittable(self, now: float, machine_id: str) -> bool:
        """Return whether a machine outside of the chain has been healthy for long enough to be readmitted.

        The wait doubles with each recent removal from the chain, up to `Timing.max_readmit_after_s`, so that a
        machine that flaps does not change the view each time.
        """
        peer = self.peers.get(machine_id)
        if peer is None or not peer.is_healthy:
            return False
        recent_removals = sum(1 for removed_at in peer.removals if now - removed_at < self.timing.removal_memory_s)
        wait_s = min(
            self.timing.readmit_after_s * (1 << max(0, recent_removals - 1)), self.timing.max_readmit_after_s
        )
        return now - peer.healthy_since >= wait_s

    def record_removal(self, now: float, machine_id: str) -> None:
        """Record that a machine was removed from the chain because it is not healthy."""
        peer = self.peers.get(machine_id)
        if peer is not None:
            peer.removals = [
                removed_at for removed_at in peer.removals if now - removed_at < self.timing.removal_memory_s
            ]
            peer.removals.append(now)

    def silence_s(self, now: float, machine_id: str) -> float:
        """Return the seconds since the last heartbeat of a machine, or since the start of this process."""
        if machine_id == self.own.id:
            return 0.0
        peer = self.peers.get(machine_id)
        return now - (peer.last_received_at if peer else self.started_at)

    def unreachable_pairs(self, now: float) -> set[tuple[str, str]]:
        """Return the pairs of healthy peers that have not reached each other for `Timing.conflict_after_s`."""
        return {
            pair for pair, since in self._unreachable_since.items() if now - since >= self.timing.conflict_after_s
        }

    def _update_unreachable_pairs(self, now: float) -> None:
        healthy = [peer for peer in self.peers.values() if peer.is_healthy]
        reached = {peer.identity.id: set(peer.heartbeat.reached) for peer in healthy}
        seen = set()
        for one, other in itertools.combinations(healthy, 2):
            if other.identity.id not in reached[one.identity.id] or one.identity.id not in reached[other.identity.id]:
                pair = (one.identity.id, other.identity.id)
                pair = pair if pair[0] < pair[1] else (pair[1], pair[0])
                seen.add(pair)
                self._unreachable_since.setdefault(pair, now)
        for pair in self._unreachable_since.keys() - seen:
            del self._unreachable_since[pair]
