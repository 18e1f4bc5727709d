"""Which view should follow the current one."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace

from rosechute.coordination.types import MachineIdentity
from rosechute.coordination.views import View


@dataclass(frozen=True, slots=True)
class Joiner:
    """A machine that is not an acceptor and asks to be one."""

    identity: MachineIdentity
    newcomer: bool  # it started with the system: the view grows for it


@dataclass(frozen=True, slots=True)
class Situation:
    """What the proposer knows of the machines."""

    own: str
    usable: Collection[str]  # may be in the chain
    restarted: Collection[str]  # members of the chain that have to adopt a view anew
    joiners: Sequence[Joiner]
    details: Callable[
        [str], MachineIdentity | None
    ]  # newest identity of a machine: the first view knows addresses only
    leaving: Collection[str]  # acceptors whose processes are about to end
    returning: Collection[str]  # healthy, but not for long enough: in the chain only where it lacks a majority
    silence_s: Callable[[str], float]
    silent_removed: float
    suspect: float
    conflicts: Collection[tuple[str, str]]
    granting: int  # acceptors that grant the leader lease to this machine


def needed_view(view: View, situation: Situation) -> View | None:
    """The view that should follow, without its base; None where the current one is right."""
    for planned in _plans(view, situation):
        if planned is None:
            continue
        if planned.chain != view.chain or planned.acceptors != view.acceptors:
            return planned
        if set(planned.chain) & set(situation.restarted):
            return planned
        return None
    return None


def any_view(view: View, situation: Situation, answering: Collection[str]) -> View:
    """A view for an epoch that is sealed already: the best one, else one of the machines that have answered."""
    for planned in _plans(view, situation):
        if planned is not None:
            return planned
    chain = [each for each in view.chain if each in answering]
    chain += [each.id for each in view.acceptors if each.id in answering and each.id not in chain]
    return replace(view, epoch=view.epoch + 1, chain=tuple(chain))


def _plans(view: View, situation: Situation) -> list[View | None]:
    """With a change of the acceptors, and without one."""
    known = _with_details(view, situation)
    changed = _change_acceptors(known, situation)
    plans = [_with_chain(changed, situation)] if changed is not None else []
    return [*plans, _with_chain(known, situation)]


def _with_details(view: View, situation: Situation) -> View:
    acceptors = tuple(situation.details(each.id) or each for each in view.acceptors)
    return replace(view, epoch=view.epoch + 1, acceptors=acceptors)


def _change_acceptors(view: View, situation: Situation) -> View | None:
    for joiner in sorted(situation.joiners, key=lambda each: each.identity.control_address):
        changed = _join(view, joiner, situation)
        if changed is not None:
            return changed
    if len(view.acceptors) <= view.size:
        return None
    ending = next((each for each in view.acceptors if each.id in situation.leaving), None)
    if ending is not None:  # the others need not count on it, neither now nor once it has ended
        return _without(view, ending)
    longest = max(view.acceptors, key=lambda each: situation.silence_s(each.id))
    if situation.silence_s(longest.id) < situation.silent_removed:
        return None
    return _without(view, longest)


def _without(view: View, acceptor: MachineIdentity) -> View:
    return replace(view, acceptors=tuple(each for each in view.acceptors if each.id != acceptor.id))


def _join(view: View, joiner: Joiner, situation: Situation) -> View | None:
    identity = joiner.identity
    for old in view.acceptors:
        gone = situation.silence_s(old.id) >= situation.suspect
        wiped = old.control_address == identity.control_address
        if wiped or (gone and old.name and old.name == identity.name):
            replaced = tuple(identity if each.id == old.id else each for each in view.acceptors)
            return replace(view, acceptors=replaced)
    longest = max(view.acceptors, key=lambda each: situation.silence_s(each.id))
    if not joiner.newcomer and situation.silence_s(longest.id) >= situation.silent_removed:
        replaced = tuple(identity if each.id == longest.id else each for each in view.acceptors)
        return replace(view, acceptors=replaced)
    grown = replace(view, acceptors=(*view.acceptors, identity), size=view.size + joiner.newcomer)
    if situation.granting < grown.majority:
        return None  # a new acceptor grants nothing at first: the leader would lose its lease
    return grown if joiner.newcomer or len(view.acceptors) <= view.size else None


def _with_chain(view: View, situation: Situation) -> View | None:
    """The view with its chain: the members that stay in their order, then those that come back."""
    ids = [each.id for each in view.acceptors]
    ordered = [each for each in view.chain if each in ids]
    ordered += [each for each in ids if each not in ordered]
    members = [each for each in ordered if each in situation.usable]
    members = _without_conflicts(members, situation)
    if len(members) < view.majority:
        members = [each for each in ordered if each in situation.usable or each in situation.returning]
        members = _without_conflicts(members, situation)
    if len(members) < view.majority or not members:
        return None
    return replace(view, chain=tuple(members))


def _without_conflicts(members: list[str], situation: Situation) -> list[str]:
    """Leave out machines until all that stay reach each other."""
    pairs = [
        pair
        for pair in itertools.combinations(members, 2)
        if pair in situation.conflicts or (pair[1], pair[0]) in situation.conflicts
    ]
    while pairs:
        count = {each: sum(each in pair for pair in pairs) for each in members if each != situation.own}
        worst = max(reversed(list(count)), key=lambda each: count[each])
        members = [each for each in members if each != worst]
        pairs = [pair for pair in pairs if worst not in pair]
    return members
