"""Planning of the next view (reconfiguration): which acceptors, and which chain, should follow the current ones.

Pure functions of the current view and of the status of the machines. One view replaces, adds or removes one acceptor
at most. Majorities of two views need not overlap: a view is decided, together with the state that it starts from, by
a majority of the acceptors before it (see `proposer`)."""

from __future__ import annotations

import itertools
from collections.abc import Collection
from dataclasses import replace

from rosechute.coordination.cluster_status import ClusterStatus, JoinCandidate
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import View


def next_view_if_needed(view: View, status: ClusterStatus) -> View | None:
    """Return the view that should follow, or None if the current one needs no change.

    The base state and the leader term of the result are those of the current view; the proposer sets them.
    """
    for plan in _plans(view, status):
        if plan is None:
            continue
        if plan.chain != view.chain or plan.acceptors != view.acceptors:
            return plan
        if set(plan.chain) & set(status.restarted_ids):
            return plan
        return None
    return None


def next_view_of_sealed_epoch(view: View, status: ClusterStatus, promised_ids: Collection[str]) -> View:
    """Return a view to follow an epoch that is sealed: the best one, else one of the machines that have promised."""
    for plan in _plans(view, status):
        if plan is not None:
            return plan
    chain = [machine_id for machine_id in view.chain if machine_id in promised_ids]
    chain += [each.id for each in view.acceptors if each.id in promised_ids and each.id not in chain]
    return replace(view, epoch=view.epoch + 1, chain=tuple(chain))


def _plans(view: View, status: ClusterStatus) -> list[View | None]:
    """Return the possible next views, best first: with a change of the acceptors, and without one."""
    updated = _with_newest_identities(view, status)
    changed = _change_acceptors(updated, status)
    plans = [_with_chain(changed, status)] if changed is not None else []
    return [*plans, _with_chain(updated, status)]


def _with_newest_identities(view: View, status: ClusterStatus) -> View:
    acceptors = tuple(status.newest_identity(acceptor.id) or acceptor for acceptor in view.acceptors)
    return replace(view, epoch=view.epoch + 1, acceptors=acceptors)


def _change_acceptors(view: View, status: ClusterStatus) -> View | None:
    """Return the view with one acceptor replaced, added or removed, or None if no change is needed."""
    for candidate in sorted(status.join_candidates, key=lambda each: each.identity.control_address):
        changed = _join(view, candidate, status)
        if changed is not None:
            return changed
    return _remove_surplus(view, status)


def _remove_surplus(view: View, status: ClusterStatus) -> View | None:
    """Return the view without one surplus acceptor that is leaving or silent, or None."""
    if len(view.acceptors) <= view.target_size:
        return None
    leaving = next((acceptor for acceptor in view.acceptors if acceptor.id in status.leaving_ids), None)
    if leaving is not None:  # so that no majority depends on it, neither now nor once it has ended
        return _without(view, leaving)
    most_silent = _most_silent(view, status)
    if status.silence_s(most_silent.id) < status.remove_after_s:
        return None
    return _without(view, most_silent)


def _without(view: View, removed: MachineIdentity) -> View:
    return replace(view, acceptors=tuple(acceptor for acceptor in view.acceptors if acceptor.id != removed.id))


def _replace_acceptor(view: View, old: MachineIdentity, new: MachineIdentity) -> View:
    acceptors = tuple(new if acceptor.id == old.id else acceptor for acceptor in view.acceptors)
    return replace(view, acceptors=acceptors)


def _most_silent(view: View, status: ClusterStatus) -> MachineIdentity:
    return max(view.acceptors, key=lambda acceptor: status.silence_s(acceptor.id))


def _join(view: View, candidate: JoinCandidate, status: ClusterStatus) -> View | None:
    """Return the view with the candidate as an acceptor, or None where it has to wait."""
    identity = candidate.identity
    predecessor = _predecessor(view, identity, status)
    if predecessor is not None:
        return _replace_acceptor(view, predecessor, identity)
    most_silent = _most_silent(view, status)
    if not candidate.is_newcomer and status.silence_s(most_silent.id) >= status.remove_after_s:
        return _replace_acceptor(view, most_silent, identity)
    grown = replace(view, acceptors=(*view.acceptors, identity), target_size=view.target_size + candidate.is_newcomer)
    if status.granting_acceptors < grown.majority:
        return None  # a new acceptor grants nothing at first, so the leader would lose its lease
    return grown if candidate.is_newcomer or len(view.acceptors) <= view.target_size else None


def _predecessor(view: View, identity: MachineIdentity, status: ClusterStatus) -> MachineIdentity | None:
    """Return the acceptor that a machine was before its disk or its address changed, or None."""
    for acceptor in view.acceptors:
        is_wiped = acceptor.control_address == identity.control_address
        is_moved = bool(acceptor.name) and acceptor.name == identity.name
        if is_wiped or (status.silence_s(acceptor.id) >= status.suspect_after_s and is_moved):
            return acceptor
    return None


def _with_chain(view: View, status: ClusterStatus) -> View | None:
    """Return the view with its chain: remaining members in their order, then others; None without a majority.

    Machines that are healthy, but not for long enough, are members only where the others are no majority.
    """
    acceptor_ids = [acceptor.id for acceptor in view.acceptors]
    ordered = [machine_id for machine_id in view.chain if machine_id in acceptor_ids]
    ordered += [machine_id for machine_id in acceptor_ids if machine_id not in ordered]
    members = _mutually_reachable([each for each in ordered if each in status.chain_eligible_ids], status)
    if len(members) < view.majority:
        eligible_ids = {*status.chain_eligible_ids, *status.recovering_ids}
        members = _mutually_reachable([each for each in ordered if each in eligible_ids], status)
    if len(members) < view.majority:
        return None
    return replace(view, chain=tuple(members))


def _mutually_reachable(members: list[str], status: ClusterStatus) -> list[str]:
    """Leave out members until all that remain reach each other; first those in the most unreachable pairs."""
    pairs = [
        pair
        for pair in itertools.combinations(members, 2)
        if pair in status.unreachable_pairs or (pair[1], pair[0]) in status.unreachable_pairs
    ]
    while pairs:
        counts = {each: sum(each in pair for pair in pairs) for each in members if each != status.own_id}
        worst = max(reversed(list(counts)), key=lambda machine_id: counts[machine_id])
        members = [each for each in members if each != worst]
        pairs = [pair for pair in pairs if worst not in pair]
    return members
