"""The leader lease as this machine requests and holds it (leases: Gray & Cheriton, 1989; terms as in Raft).

    FOLLOWER --a majority would grant it--> CANDIDATE --a majority has granted it--> LEADER
    CANDIDATE --time-out, not eligible--> FOLLOWER
    LEADER --lease expired, released, not eligible--> FOLLOWER

A machine is eligible while it is in the chain and healthy. The leader counts its lease from when it sent the
request that a majority has granted, and stops leading a margin before the end, since clocks may drift apart. Clocks
of different machines are never compared.

A new leader knows the edges that may own rate leases of earlier terms by the newest statement among the grants of the
majority that made it the leader (see `owner_replication`).
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from rosechute.coordination.actions import LeadershipGained, LeadershipLost
from rosechute.coordination.context import Context
from rosechute.coordination.lease_grantor import LeaseGrantor, count_available_grantors
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import RateLeaseOwners, View, unknown_owners
from rosechute.messages import coordination_pb2 as pb

MAX_BACKOFF_STEPS = 3  # a candidate that got no majority waits for 1 to 1 + 3 steps, so that candidates don't collide


class LeaseRole(enum.Enum):
    """Role of a machine with regard to the leader lease."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class LeaderLease:
    """The leader lease at this machine. Times are of its steady clock, in seconds.

    Attributes:
        context: what the parts of a replica share.
        grantor: the grantor of this machine.
        role: current role.
        term: term of the current or latest candidacy.
        valid_until: end of the lease; meaningful while leader.
        next_candidacy_at: earliest time of the next candidacy.
    """

    context: Context
    grantor: LeaseGrantor
    role: LeaseRole = LeaseRole.FOLLOWER
    term: int = 0
    valid_until: float = 0.0
    next_candidacy_at: float = 0.0
    _requested_at: float = 0.0
    _candidate_since: float = 0.0
    _granted_stamps: dict[str, float] = field(default_factory=dict)  # acceptor id to its newest granted stamp
    _granted_epoch: int = 0  # epoch of these grants
    _rate_lease_owners: RateLeaseOwners = RateLeaseOwners()  # newest statement of the grants for `term`

    def is_held(self, now: float) -> bool:
        """Return whether this machine holds the lease."""
        return self.role is LeaseRole.LEADER and now < self.valid_until

    def count_granting_acceptors(self) -> int:
        """Return how many acceptors of the view granted a request younger than `Timing.suspect_after_s`."""
        since = self.context.now - self.context.timing.suspect_after_s
        return sum(
            1
            for acceptor in self.context.replica_state.view.acceptors
            if self._granted_stamps.get(acceptor.id, since) > since
        )

    def expire(self) -> None:
        """Stop leading once the lease has ended. The replica calls this before anything else in each of its calls."""
        if self.role is LeaseRole.LEADER and self.context.now >= self.valid_until:
            self._become_follower()

    def release(self) -> None:
        """Stop being leader or candidate, and let the acceptors grant the lease to another machine at once."""
        if self.role is LeaseRole.FOLLOWER:
            return
        self._become_follower()
        for acceptor in self.context.replica_state.view.acceptors:
            release = pb.LeaseRelease(term=self.term)
            self.context.outbox.send(acceptor, pb.CoreMessage(lease_release=release))

    def tick(self) -> None:
        """Renew the lease, repeat or end a candidacy, or begin one."""
        if not (self.context.is_in_chain and self.context.is_healthy):
            self.release()
        elif self.role is LeaseRole.LEADER:
            self._tick_leader()
        elif self.role is LeaseRole.CANDIDATE:
            self._tick_candidate()
        else:
            self._tick_follower()

    def _tick_leader(self) -> None:
        if self.context.now - self._requested_at >= self.context.timing.renew_period_s:
            self._request()

    def _tick_candidate(self) -> None:
        context, timing = self.context, self.context.timing
        if context.now - self._candidate_since > timing.candidate_timeout_s:
            self.release()
            self.next_candidacy_at = context.now + timing.candidate_stagger_s * (
                1 + MAX_BACKOFF_STEPS * context.draw()
            )
        elif context.now - self._requested_at >= timing.resend_after_s:
            self._request()

    def _tick_follower(self) -> None:
        context = self.context
        majority = context.replica_state.view.majority
        if not context.is_epoch_adopted or count_available_grantors(context, self.grantor) < majority:
            # Members of the chain try one after the other, in the order of the chain.
            delay_s = context.timing.candidate_stagger_s * context.chain_position()
            self.next_candidacy_at = max(self.next_candidacy_at, context.now + delay_s)
        elif context.now >= self.next_candidacy_at:
            self._become_candidate()

    def on_grant(self, sender: MachineIdentity, grant: pb.LeaseGrant) -> None:
        """Count the grant of an acceptor; with a majority, become the leader or extend the lease."""
        view = self.context.replica_state.view
        if not self._is_current(sender, grant, view):
            return
        if self._granted_epoch != view.epoch:
            self._granted_stamps, self._granted_epoch = {}, view.epoch
        self._granted_stamps[sender.id] = max(grant.stamp, self._granted_stamps.get(sender.id, grant.stamp))
        if self.role is LeaseRole.CANDIDATE:
            self._collect_rate_lease_owners(grant)
        stamps = sorted(self._granted_stamps.values(), reverse=True)
        if len(stamps) >= view.majority:
            timing = self.context.timing
            self._extend(stamps[view.majority - 1] + timing.lease_s - timing.lease_margin_s)

    def _is_current(self, sender: MachineIdentity, grant: pb.LeaseGrant, view: View) -> bool:
        """Return whether a grant is an acceptor's answer to the current candidacy or leadership of this process."""
        if self.role is LeaseRole.FOLLOWER or grant.term != self.term or grant.epoch != view.epoch:
            return False
        return view.is_acceptor(sender.id) and grant.boot == self.context.incarnation

    def _extend(self, valid_until: float) -> None:
        if valid_until <= self.context.now:
            return
        self.valid_until = max(self.valid_until, valid_until)
        if self.role is LeaseRole.CANDIDATE:
            self._become_leader()

    def _collect_rate_lease_owners(self, grant: pb.LeaseGrant) -> None:
        """Adopt the statement in a grant if it is the newest; the grant of an earlier version holds none."""
        owners = unknown_owners(grant.term)
        if grant.HasField("rate_lease_owners"):
            owners = RateLeaseOwners.from_message(grant.rate_lease_owners)
        if owners.order > self._rate_lease_owners.order:
            self._rate_lease_owners = owners

    def _request(self) -> None:
        """Request the lease, or its renewal, from all acceptors."""
        context = self.context
        self._requested_at = context.now
        for acceptor in context.replica_state.view.acceptors:
            request = pb.LeaseRequest(
                epoch=context.replica_state.view.epoch,
                term=self.term,
                stamp=context.now,
                renewal=self.role is LeaseRole.LEADER,
                replicates_owners=True,
            )
            context.outbox.send(acceptor, pb.CoreMessage(lease_request=request))

    def _become_candidate(self) -> None:
        """Begin a candidacy under a term that is greater than all known ones."""
        context = self.context
        known_terms = (peer.heartbeat.term for peer in context.failure_detector.peers.values())
        self.role = LeaseRole.CANDIDATE
        self.term = max(max(known_terms, default=0), context.replica_state.term.number, self.term) + 1
        self._candidate_since = context.now
        self._granted_stamps, self._granted_epoch = {}, context.replica_state.view.epoch
        self._rate_lease_owners = RateLeaseOwners()
        self._request()

    def _become_leader(self) -> None:
        self.role = LeaseRole.LEADER
        self.context.heartbeat_due = True
        self.context.outbox.actions.append(LeadershipGained(self.term, self._rate_lease_owners.known_edges()))

    def _become_follower(self) -> None:
        if self.role is LeaseRole.LEADER:
            self.context.outbox.actions.append(LeadershipLost())
            self.context.heartbeat_due = True
        self.role = LeaseRole.FOLLOWER
        self.valid_until = 0.0
