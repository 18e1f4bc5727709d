"""The leader lease: who grants it, who asks for it, who holds it.

A grant binds the grantor for one lease on its steady clock. The holder counts from the moment when it asked and stops
a margin earlier. Grants are given within one epoch only, and not once that epoch is sealed.

A grantor that was restarted doesn't know how long its last grant runs, but its disk tells to whom it was given: the
machine is synced before it is granted for the first time. That machine alone may have the lease again at once; all
others wait for one lease. A machine that has become an acceptor knows of no grants, and waits with everybody; to whom
it then grants renewals it notes beside its next record, as nothing depends on that and a sync would delay orders.

With a grant for a new term a grantor tells the newest term that it had synced before. Every term that was gained had
been synced by a majority, and a new view begins with the newest term among the promises for it, so the greatest that
a majority tells is no smaller than the last term that was gained. Where that is the very term for which this machine
noted which edges may hold rate leases, nobody led in between, and the note still holds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import partial

from rosechute.coordination.context import Context
from rosechute.coordination.types import Identity, LeaseGained, LeaseLost
from rosechute.coordination.views import Term
from rosechute.messages import coordination_pb2 as pb


def free_grantors(context: Context, grantor: Grantor) -> int:
    """How many acceptors of the view would grant the lease, by what they told last."""
    view = context.memory.view
    free = 0
    for acceptor in view.acceptors:
        peer = context.detector.peers.get(acceptor.id)
        if acceptor.id == context.own.id:
            free += grantor.free() or grantor.kept_for() == context.own.id
        elif peer is not None and context.detector.reaches(context.now, acceptor.id):
            would = peer.beat.lease_free or peer.beat.lease_kept_for == context.own.id
            free += would and peer.beat.epoch == view.epoch
    return free


@dataclass(slots=True)
class Grantor:
    """Grants of this machine."""

    context: Context
    abstain_until: float
    holder: Term = Term()  # to whom the grant that runs was given
    until: float = 0.0
    kept: str = ""  # the machine to which the grant of the process before was given
    _previous: tuple[Term, int] = (Term(), 0)  # a term that was synced by this process, and the one before it
    _number: int = 0  # of the newest record with a term or a grantee

    def free(self) -> bool:
        """Whether another machine could have the lease from this grantor now."""
        context = self.context
        return context.is_acceptor and context.settled and context.now >= max(self.until, self.abstain_until)

    def kept_for(self) -> str:
        """The only machine that could have the lease from this grantor now; empty for none or any."""
        context = self.context
        if not context.is_acceptor or not context.settled:
            return ""
        if context.now < self.until:
            return self.holder.holder
        return self.kept if context.now < self.abstain_until else ""

    def abstain(self) -> None:
        """Grant nothing for one lease: grants may run elsewhere that this machine doesn't know."""
        self.kept = ""
        self.context.disk.defer(None)  # a note of a grantee in an older view says nothing of the grants in this one
        self.abstain_until = max(self.abstain_until, self.context.now + self.context.timing.lease)

    def on_request(self, sender: Identity, boot: int, request: pb.LeaseRequest) -> None:
        """A machine asks for the lease or renews it."""
        context = self.context
        asked = Term(request.term, sender.id, boot)
        if not self._may_grant(sender, request, asked):
            return
        self.holder, self.until = asked, context.now + context.timing.lease
        if context.memory.grantee != sender.id:
            self._note(sender, request)
        if not request.renewal and asked != context.memory.term:
            self._previous = asked, context.memory.term.number
            self._record(pb.Record(term=asked.message()))
        context.disk.after(self._number, partial(self._grant, sender, request, asked))

    def _note(self, sender: Identity, request: pb.LeaseRequest) -> None:
        memory, disk = self.context.memory, self.context.disk
        note = pb.Record(grantee=pb.GranteeRecord(holder=sender.id, number=memory.grantee_number + 1))
        if request.renewal and not memory.grantee:
            disk.defer(note)
        else:
            self._record(note)

    def _record(self, record: pb.Record) -> None:
        self.context.disk.write(record)
        self._number = self.context.disk.number

    def on_release(self, sender: Identity, boot: int, release: pb.LeaseRelease) -> None:
        """The holder or a candidate gives its grant back."""
        if self.holder == Term(release.term, sender.id, boot):
            self.holder, self.until = Term(), min(self.until, self.context.now)
            self.context.announce = True

    def _may_grant(self, sender: Identity, request: pb.LeaseRequest, asked: Term) -> bool:
        context, memory = self.context, self.context.memory
        if request.epoch != memory.view.epoch or not context.is_acceptor or not context.settled:
            return False
        if context.now < self.abstain_until and sender.id != self.kept:
            return False
        if not context.detector.reaches(context.now, sender.id):
            return False
        if context.now < self.until and self.holder.holder != sender.id:
            return False
        # A term is gained once: by a majority that has synced it for one holder. To hold it longer takes time only.
        return request.renewal or asked == memory.term or asked.number > memory.term.number

    def _grant(self, sender: Identity, request: pb.LeaseRequest, asked: Term) -> None:
        context = self.context
        if not context.settled or context.memory.view.epoch != request.epoch:
            return
        if self.holder != asked or not (request.renewal or context.memory.term == asked):
            return
        self.until = context.now + context.timing.lease
        grant = pb.LeaseGrant(
            epoch=request.epoch,
            term=request.term,
            stamp=request.stamp,
            boot=asked.boot,
            previous=self._previous[1] if self._previous[0] == asked else request.term,
        )
        context.outbox.send(sender, pb.CoreMessage(lease_grant=grant))


class Standing(enum.Enum):
    """What a machine is in the leader lease."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Holder:
    """The lease as this machine asks for it and holds it."""

    context: Context
    grantor: Grantor
    standing: Standing = Standing.FOLLOWER
    term: int = 0
    until: float = 0.0  # own clock; valid while leader
    not_before: float = 0.0
    _asked: float = 0.0
    _since: float = 0.0
    _stamps: dict[str, float] = field(default_factory=dict)  # newest stamp of ours that each acceptor granted
    _stamps_epoch: int = 0
    _previous: int = 0  # newest term before the one asked for that any acceptor told

    def holds(self, now: float) -> bool:
        """Whether this machine holds the lease."""
        return self.standing is Standing.LEADER and now < self.until

    def granting(self) -> int:
        """How many acceptors of the view have granted lately."""
        since = self.context.now - self.context.timing.suspect
        return sum(1 for each in self.context.memory.view.acceptors if self._stamps.get(each.id, since) > since)

    def expire(self) -> None:
        """Stop in time. Comes before anything else in every call of the replica."""
        if self.standing is Standing.LEADER and self.context.now >= self.until:
            self._become_follower()

    def give_up(self) -> None:
        """Stop now, and let the others grant to another machine at once."""
        if self.standing is Standing.FOLLOWER:
            return
        term = self.term
        self._become_follower()
        for acceptor in self.context.memory.view.acceptors:
            release = pb.LeaseRelease(term=term)
            self.context.outbox.send(acceptor, pb.CoreMessage(lease_release=release))

    def tick(self) -> None:
        """Renew, or become a candidate."""
        context = self.context
        eligible = context.in_chain and context.healthy
        if not eligible:
            self.give_up()
        elif self.standing is Standing.LEADER:
            if context.now - self._asked >= context.timing.renew:
                self._ask()
        elif self.standing is Standing.CANDIDATE:
            if context.now - self._since > context.timing.candidate_timeout:
                self.give_up()
                self.not_before = context.now + context.timing.candidate_step * (1 + 3 * context.draw())
            elif context.now - self._asked >= context.timing.resend:
                self._ask()
        elif not context.settled or free_grantors(context, self.grantor) < context.memory.view.majority:
            self.not_before = max(self.not_before, context.now + context.timing.candidate_step * context.place())
        elif context.now >= self.not_before:
            self._become_candidate()

    def on_grant(self, sender: Identity, grant: pb.LeaseGrant) -> None:
        """An acceptor granted."""
        view = self.context.memory.view
        if self.standing is Standing.FOLLOWER or grant.term != self.term or grant.epoch != view.epoch:
            return
        if not view.accepts(sender.id) or grant.boot != self.context.boot:
            return
        if self._stamps_epoch != view.epoch:
            self._stamps, self._stamps_epoch = {}, view.epoch
        self._stamps[sender.id] = max(grant.stamp, self._stamps.get(sender.id, grant.stamp))
        self._previous = max(self._previous, grant.previous)
        stamps = sorted(self._stamps.values(), reverse=True)
        if len(stamps) >= view.majority:
            timing = self.context.timing
            self._extend(stamps[view.majority - 1] + timing.lease - timing.lease_margin)

    def _extend(self, until: float) -> None:
        if until <= self.context.now:
            return
        self.until = max(self.until, until)
        if self.standing is Standing.CANDIDATE:
            self.standing = Standing.LEADER
            self.context.announce = True
            self.context.outbox.actions.append(LeaseGained(self.term, self._known_holders()))

    def _known_holders(self) -> frozenset[str] | None:
        """The only edges that may hold rate leases of earlier terms; None where that is not known here."""
        noted = self.context.memory.holders
        return noted.edges if self._previous == noted.term else None

    def _ask(self) -> None:
        context = self.context
        self._asked = context.now
        for acceptor in context.memory.view.acceptors:
            request = pb.LeaseRequest(
                epoch=context.memory.view.epoch,
                term=self.term,
                stamp=context.now,
                renewal=self.standing is Standing.LEADER,
            )
            context.outbox.send(acceptor, pb.CoreMessage(lease_request=request))

    def _become_candidate(self) -> None:
        context = self.context
        known = max((peer.beat.term for peer in context.detector.peers.values()), default=0)
        self.standing = Standing.CANDIDATE
        self.term = max(known, context.memory.term.number, self.term) + 1
        self.until = 0.0
        self._since = context.now
        self._stamps, self._stamps_epoch = {}, context.memory.view.epoch
        self._previous = 0
        self._ask()

    def _become_follower(self) -> None:
        if self.standing is Standing.LEADER:
            self.context.outbox.actions.append(LeaseLost())
            self.context.announce = True
        self.standing = Standing.FOLLOWER
        self.until = 0.0
