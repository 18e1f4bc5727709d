"""Proposer of single-decree Paxos: one instance decides the view after the current one.

Source: Lamport, "Paxos Made Simple", 2001.

    IDLE --begin--> PREPARING --majority of promises--> ACCEPTING --majority accepted--> IDLE, the view is decided
    PREPARING, ACCEPTING --nack, time-out, another epoch--> IDLE

The value that is decided is the view together with the register state that it starts from. So every machine that
adopts a view holds at least that state, and no view depends on its first head alone.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from rosechute.coordination.context import Context
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import (
    Ballot,
    LeaderTerm,
    Proposal,
    RateLeaseOwners,
    RegisterState,
    View,
    unknown_owners,
)
from rosechute.messages import coordination_pb2 as pb

BACKOFF_MIN_S = 0.05  # minimum time between two attempts of a machine
BACKOFF_SPREAD_S = 0.2  # random time on top, so that two proposers do not preempt each other forever


class Phase(enum.Enum):
    """Phase of the current attempt."""

    IDLE = "idle"
    PREPARING = "preparing"
    ACCEPTING = "accepting"


@dataclass(slots=True)
class _Promise:
    """State that an acceptor reported with its promise."""

    accepted: Proposal | None
    state: RegisterState
    term: LeaderTerm
    rate_lease_owners: RateLeaseOwners


@dataclass(slots=True)
class _Attempt:
    """One attempt to decide the next view. `proposal` is None in the prepare phase."""

    epoch: int
    ballot: Ballot
    started_at: float
    sent_at: float
    own_state: RegisterState
    promises: dict[str, _Promise] = field(default_factory=dict)
    proposal: Proposal | None = None
    accepted_by: set[str] = field(default_factory=set)

    def choose_proposal(self, choose_view: Callable[[set[str]], View]) -> Proposal:
        """Return the accepted proposal with the highest ballot, else a new one.

        An accepted proposal may be decided already. A new one starts from the newest promised state, term and owners
        of rate leases.

        Args:
            choose_view: returns the view to propose for the ids of the acceptors that have promised.
        """
        accepted = [promise.accepted for promise in self.promises.values() if promise.accepted is not None]
        if accepted:
            return replace(max(accepted, key=lambda proposal: proposal.ballot), ballot=self.ballot)
        state = max((promise.state for promise in self.promises.values()), key=lambda state: state.tag)
        term = _newest_term([promise.term for promise in self.promises.values()])
        statements = [promise.rate_lease_owners for promise in self.promises.values()]
        owners = max(statements, key=lambda statement: statement.order)
        chosen_view = choose_view(set(self.promises))
        view = replace(chosen_view, base_tag=state.tag, term=term, rate_lease_owners=owners)
        return Proposal(self.ballot, view, state.with_epoch(view.epoch))


def _newest_term(terms: list[LeaderTerm]) -> LeaderTerm:
    """Return the highest term; without a holder where two processes have requested it."""
    number = max(term.number for term in terms)
    candidates = {term for term in terms if term.number == number}
    if len(candidates) == 1:
        return candidates.pop()
    return LeaderTerm(number, replicates_owners=all(term.replicates_owners for term in candidates))


def _promised_owners(promise: pb.Promise, term: LeaderTerm) -> RateLeaseOwners:
    """Return the statement on owners of rate leases in a promise; an acceptor of an earlier version sends none."""
    if promise.HasField("rate_lease_owners"):
        return RateLeaseOwners.from_message(promise.rate_lease_owners)
    return unknown_owners(term.number)


class Proposer:
    """The proposer role of this machine; it makes one attempt at a time.

    Args:
        context: what the parts of a replica share.
        choose_view: returns the view to propose for the ids of the acceptors that have promised.
        on_decided: called with the decided proposal.

    Attributes:
        next_attempt_at: no attempt begins before this time, in seconds of the steady clock.
    """

    def __init__(
        self,
        context: Context,
        choose_view: Callable[[set[str]], View],
        on_decided: Callable[[Proposal], None],
    ) -> None:
        self._context = context
        self._choose_view = choose_view
        self._on_decided = on_decided
        self._attempt: _Attempt | None = None
        self._highest_round = 0  # seen in any epoch, so that no ballot of this process is used for two proposals
        self.next_attempt_at = 0.0

    @property
    def phase(self) -> Phase:
        """The phase of the current attempt."""
        if self._attempt is None:
            return Phase.IDLE
        return Phase.PREPARING if self._attempt.proposal is None else Phase.ACCEPTING

    def begin(self) -> None:
        """Begin an attempt with phase 1a, unless one runs or the backoff has not passed."""
        context = self._context
        if self._attempt is not None or context.now < self.next_attempt_at:
            return
        replica_state = context.replica_state
        promised_round = replica_state.promised.round if replica_state.promised is not None else 0
        self._highest_round = max(self._highest_round, promised_round) + 1
        ballot = Ballot(self._highest_round, context.own.id, context.incarnation)
        self._attempt = _Attempt(replica_state.view.epoch, ballot, context.now, context.now, replica_state.newest)
        self._send_prepare(self._attempt)

    def tick(self) -> None:
        """Repeat unanswered requests; abort an attempt that takes too long."""
        context, attempt = self._context, self._attempt
        if attempt is None:
            return
        if attempt.epoch != context.replica_state.view.epoch:
            self._attempt = None
        elif context.now - attempt.started_at > context.timing.proposal_timeout_s:
            self._abort()
        elif context.now - attempt.sent_at >= context.timing.resend_after_s:
            attempt.sent_at = context.now
            if attempt.proposal is None:
                self._send_prepare(attempt)
            else:
                self._send_accept(attempt, attempt.proposal)

    def stop(self) -> None:
        """Drop the attempt, because another view was adopted."""
        self._attempt = None

    def on_promise(self, sender: MachineIdentity, promise: pb.Promise) -> None:
        """Handle phase 1b; with a majority of promises, send phase 2a."""
        attempt = self._matching_attempt(sender, promise.epoch, promise.ballot)
        if attempt is None or attempt.proposal is not None:
            return
        accepted = Proposal.from_message(promise.accepted) if promise.HasField("accepted") else None
        state = RegisterState.from_message(promise.state) if promise.HasField("state") else attempt.own_state
        term = LeaderTerm.from_message(promise.term)
        attempt.promises[sender.id] = _Promise(accepted, state, term, _promised_owners(promise, term))
        if len(attempt.promises) >= self._context.replica_state.view.majority:
            attempt.proposal = attempt.choose_proposal(self._choose_view)
            attempt.sent_at = self._context.now
            self._send_accept(attempt, attempt.proposal)

    def on_accepted(self, sender: MachineIdentity, accepted: pb.Accepted) -> None:
        """Handle phase 2b; with a majority, the proposal is decided."""
        attempt = self._matching_attempt(sender, accepted.epoch, accepted.ballot)
        if attempt is None or attempt.proposal is None:
            return
        attempt.accepted_by.add(sender.id)
        if len(attempt.accepted_by) >= self._context.replica_state.view.majority:
            self._attempt = None
            self._send_decision(attempt, attempt.proposal)
            self._on_decided(attempt.proposal)

    def on_refused(self, refused: pb.Refused) -> None:
        """Handle a nack: abort the attempt, and use a higher round next time."""
        attempt = self._attempt
        promised = Ballot.from_message(refused.promised)
        self._highest_round = max(self._highest_round, promised.round)
        ballot = Ballot.from_message(refused.ballot)
        if attempt is not None and attempt.epoch == refused.epoch and attempt.ballot == ballot:
            self._abort()

    def _matching_attempt(self, sender: MachineIdentity, epoch: int, ballot: pb.Ballot) -> _Attempt | None:
        """Return the current attempt if a message of an acceptor answers it, or None."""
        attempt, view = self._attempt, self._context.replica_state.view
        if attempt is None or epoch != attempt.epoch or epoch != view.epoch:
            return None
        is_answer = Ballot.from_message(ballot) == attempt.ballot and view.is_acceptor(sender.id)
        return attempt if is_answer else None

    def _send_prepare(self, attempt: _Attempt) -> None:
        """Send phase 1a to the acceptors that have not promised yet."""
        for acceptor in self._context.replica_state.view.acceptors:
            if acceptor.id not in attempt.promises:
                prepare = pb.Prepare(
                    epoch=attempt.epoch,
                    ballot=attempt.ballot.to_message(),
                    state_epoch=attempt.own_state.tag.epoch,
                    state_sequence=attempt.own_state.tag.sequence,
                )
                self._context.outbox.send(acceptor, pb.CoreMessage(prepare=prepare))

    def _send_accept(self, attempt: _Attempt, proposal: Proposal) -> None:
        """Send phase 2a to the acceptors that have not accepted yet."""
        message = proposal.to_message()
        for acceptor in self._context.replica_state.view.acceptors:
            if acceptor.id not in attempt.accepted_by:
                accept = pb.Accept(epoch=attempt.epoch, proposal=message)
                self._context.outbox.send(acceptor, pb.CoreMessage(accept=accept))

    def _send_decision(self, attempt: _Attempt, proposal: Proposal) -> None:
        """Send the decision: the ballot alone to machines that accepted the proposal, the whole view to others."""
        acceptors = (*self._context.replica_state.view.acceptors, *proposal.view.acceptors)
        for acceptor in {acceptor.id: acceptor for acceptor in acceptors}.values():
            if acceptor.id == self._context.own.id:
                continue
            if acceptor.id in attempt.accepted_by:
                chosen = pb.Chosen(epoch=attempt.epoch, ballot=attempt.ballot.to_message())
                self._context.outbox.send(acceptor, pb.CoreMessage(chosen=chosen))
            else:
                decided = pb.Decided(view=proposal.view.to_message(), state=proposal.state.to_message())
                self._context.outbox.send(acceptor, pb.CoreMessage(decided=decided))

    def _abort(self) -> None:
        """End the attempt, and back off for a random time."""
        self._attempt = None
        self.next_attempt_at = self._context.now + BACKOFF_MIN_S + BACKOFF_SPREAD_S * self._context.draw()
