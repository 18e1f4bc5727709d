"""The proposer of single-decree Paxos for the view that follows the current one.

What is decided is the view together with the state that it starts from. So every machine that adopts a view holds at
least that state, and no view depends on its first head alone.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from rosechute.coordination.context import Context
from rosechute.coordination.types import Identity
from rosechute.coordination.views import Ballot, LeaderTerm, Proposal, RegisterState, View
from rosechute.messages import coordination_pb2 as pb

PAUSE_LEAST_S = 0.05  # between two proposals of a machine
PAUSE_SPREAD_S = 0.2


class Phase(enum.Enum):
    """What the proposer waits for."""

    IDLE = "idle"
    PREPARING = "preparing"
    ACCEPTING = "accepting"


@dataclass(slots=True)
class _Promise:
    accepted: Proposal | None
    state: RegisterState
    term: LeaderTerm


@dataclass(slots=True)
class _Round:
    epoch: int
    ballot: Ballot
    since: float
    sent: float
    own_state: RegisterState
    promises: dict[str, _Promise] = field(default_factory=dict)
    proposal: Proposal | None = None
    accepted: set[str] = field(default_factory=set)


def _newest_term(terms: list[LeaderTerm]) -> LeaderTerm:
    """The highest term; without a holder where two machines have asked for it."""
    number = max(each.number for each in terms)
    holders = {each for each in terms if each.number == number}
    return holders.pop() if len(holders) == 1 else LeaderTerm(number)


class Proposer:
    """One proposal at a time."""

    def __init__(
        self,
        context: Context,
        choose: Callable[[set[str]], View],
        decided: Callable[[Proposal], None],
    ) -> None:
        self._context = context
        self._choose = choose
        self._decided = decided
        self._round: _Round | None = None
        self._highest = 0  # ballot round seen, in any epoch: no ballot of this process names two proposals
        self.not_before = 0.0

    @property
    def phase(self) -> Phase:
        """What it waits for."""
        if self._round is None:
            return Phase.IDLE
        return Phase.PREPARING if self._round.proposal is None else Phase.ACCEPTING

    def begin(self) -> None:
        """Ask the acceptors to seal the epoch and to promise."""
        context = self._context
        if self._round is not None or context.now < self.not_before:
            return
        memory = context.memory
        promised = memory.promised.round if memory.promised is not None else 0
        self._highest = max(self._highest, promised) + 1
        ballot = Ballot(self._highest, context.own.id, context.incarnation)
        self._round = _Round(memory.view.epoch, ballot, context.now, context.now, memory.newest)
        self._send_prepare(self._round)

    def tick(self) -> None:
        """Repeat what was not answered; give up a proposal that takes too long."""
        context, current = self._context, self._round
        if current is None:
            return
        if current.epoch != context.memory.view.epoch:
            self._round = None
        elif context.now - current.since > context.timing.proposal_timeout:
            self._give_up()
        elif context.now - current.sent >= context.timing.resend:
            current.sent = context.now
            if current.proposal is None:
                self._send_prepare(current)
            else:
                self._send_accept(current)

    def stop(self) -> None:
        """The epoch has changed."""
        self._round = None

    def on_promise(self, sender: Identity, promise: pb.Promise) -> None:
        """An acceptor promises."""
        current = self._matching(sender, promise.epoch, promise.ballot)
        if current is None or current.proposal is not None:
            return
        accepted = Proposal.from_message(promise.accepted) if promise.HasField("accepted") else None
        state = RegisterState.from_message(promise.state) if promise.HasField("state") else current.own_state
        current.promises[sender.id] = _Promise(accepted, state, LeaderTerm.from_message(promise.term))
        if len(current.promises) >= self._context.memory.view.majority:
            current.proposal = self._value(current)
            current.sent = self._context.now
            self._send_accept(current)

    def on_accepted(self, sender: Identity, accepted: pb.Accepted) -> None:
        """An acceptor has accepted."""
        current = self._matching(sender, accepted.epoch, accepted.ballot)
        if current is None or current.proposal is None:
            return
        current.accepted.add(sender.id)
        if len(current.accepted) >= self._context.memory.view.majority:
            self._round = None
            self._tell(current, current.proposal)
            self._decided(current.proposal)

    def on_refused(self, refused: pb.Refused) -> None:
        """An acceptor has promised a higher ballot."""
        current = self._round
        promised = Ballot.from_message(refused.promised)
        self._highest = max(self._highest, promised.round)
        if (
            current is not None
            and current.epoch == refused.epoch
            and current.ballot == Ballot.from_message(refused.ballot)
        ):
            self._give_up()

    def _matching(self, sender: Identity, epoch: int, ballot: pb.Ballot) -> _Round | None:
        current, view = self._round, self._context.memory.view
        if current is None or epoch != current.epoch or epoch != view.epoch:
            return None
        return current if Ballot.from_message(ballot) == current.ballot and view.is_acceptor(sender.id) else None

    def _value(self, current: _Round) -> Proposal:
        """The proposal that may be decided already, else a new one from the newest state that was promised."""
        earlier = [each.accepted for each in current.promises.values() if each.accepted is not None]
        if earlier:
            return replace(max(earlier, key=lambda each: each.ballot), ballot=current.ballot)
        state = max((each.state for each in current.promises.values()), key=lambda each: each.tag)
        term = _newest_term([each.term for each in current.promises.values()])
        view = replace(self._choose(set(current.promises)), base_tag=state.tag, term=term)
        return Proposal(current.ballot, view, state.with_epoch(view.epoch))

    def _send_prepare(self, current: _Round) -> None:
        for acceptor in self._context.memory.view.acceptors:
            if acceptor.id not in current.promises:
                epoch, sequence = current.own_state.tag
                prepare = pb.Prepare(
                    epoch=current.epoch,
                    ballot=current.ballot.to_message(),
                    state_epoch=epoch,
                    state_sequence=sequence,
                )
                self._context.outbox.send(acceptor, pb.CoreMessage(prepare=prepare))

    def _send_accept(self, current: _Round) -> None:
        assert current.proposal is not None
        message = current.proposal.to_message()
        for acceptor in self._context.memory.view.acceptors:
            if acceptor.id not in current.accepted:
                accept = pb.Accept(epoch=current.epoch, proposal=message)
                self._context.outbox.send(acceptor, pb.CoreMessage(accept=accept))

    def _tell(self, current: _Round, proposal: Proposal) -> None:
        """Tell the outcome: shortly to those that have the proposal, whole to the new machines."""
        acceptors = {each.id: each for each in (*self._context.memory.view.acceptors, *proposal.view.acceptors)}
        for acceptor in acceptors.values():
            if acceptor.id == self._context.own.id:
                continue
            if acceptor.id in current.accepted:
                chosen = pb.Chosen(epoch=current.epoch, ballot=current.ballot.to_message())
                self._context.outbox.send(acceptor, pb.CoreMessage(chosen=chosen))
            else:
                decided = pb.Decided(view=proposal.view.to_message(), state=proposal.state.to_message())
                self._context.outbox.send(acceptor, pb.CoreMessage(decided=decided))

    def _give_up(self) -> None:
        self._round = None
        self.not_before = self._context.now + PAUSE_LEAST_S + PAUSE_SPREAD_S * self._context.draw()
