"""Status of the machines as the proposer of a view knows it from the failure detector: the input of `planning`."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from functools import partial

from rosechute.coordination.context import Context
from rosechute.coordination.replica_config import MachineIdentity


@dataclass(frozen=True, slots=True)
class JoinCandidate:
    """A healthy machine that is not an acceptor.

    Attributes:
        identity: the machine.
        is_newcomer: whether it started with the system: the view grows for it; other machines replace an acceptor.
    """

    identity: MachineIdentity
    is_newcomer: bool


@dataclass(frozen=True, slots=True)
class ClusterStatus:
    """Status of the machines at one moment, as the proposer sees it.

    Attributes:
        own_id: the proposer.
        chain_eligible_ids: machines that may be in the chain.
        restarted_ids: machines whose process restarted in the current epoch, so that they must adopt a new view.
        join_candidates: machines that may become acceptors.
        newest_identity: returns the identity that a machine last reported, or None. The first view has only
            addresses.
        leaving_ids: acceptors whose processes are about to end.
        recovering_ids: all healthy machines; those not eligible are members only where the chain lacks a majority.
        silence_s: returns the seconds since a machine was last heard from.
        remove_after_s: silence after which a surplus acceptor is removed, or one is replaced by any machine.
        suspect_after_s: silence after which an acceptor is replaced by a machine of its name at another address.
        unreachable_pairs: pairs of machines that do not reach each other.
        granting_acceptors: number of acceptors that grant the leader lease to the proposer.
    """

    own_id: str
    chain_eligible_ids: Collection[str]
    restarted_ids: Collection[str]
    join_candidates: Sequence[JoinCandidate]
    newest_identity: Callable[[str], MachineIdentity | None]
    leaving_ids: Collection[str]
    recovering_ids: Collection[str]
    silence_s: Callable[[str], float]
    remove_after_s: float
    suspect_after_s: float
    unreachable_pairs: Collection[tuple[str, str]]
    granting_acceptors: int


def observe_cluster(context: Context, granting_acceptors: int) -> ClusterStatus:
    """Return the current status of the machines.

    Args:
        context: what the parts of a replica share.
        granting_acceptors: number of acceptors that grant the leader lease to this machine.
    """
    detector, view, now = context.failure_detector, context.replica_state.view, context.now
    eligible_ids = _chain_eligible_ids(context)
    return ClusterStatus(
        own_id=context.own.id,
        chain_eligible_ids=eligible_ids,
        restarted_ids=_restarted_ids(context),
        join_candidates=[
            JoinCandidate(peer.identity, peer.heartbeat.newcomer)
            for machine_id, peer in detector.peers.items()
            if machine_id in eligible_ids and not view.is_acceptor(machine_id)
        ],
        newest_identity=partial(_newest_identity, context),
        leaving_ids={
            machine_id
            for machine_id, peer in detector.peers.items()
            if peer.heartbeat.leaving and detector.is_reachable(now, machine_id)
        },
        recovering_ids={machine_id for machine_id, peer in detector.peers.items() if peer.is_healthy},
        silence_s=partial(detector.silence_s, now),
        remove_after_s=context.timing.remove_after_silence_s,
        suspect_after_s=context.timing.suspect_after_s,
        unreachable_pairs=detector.unreachable_pairs(now),
        granting_acceptors=granting_acceptors,
    )


def _chain_eligible_ids(context: Context) -> set[str]:
    """Return the ids of the machines that may be in the chain.

    These are this machine, healthy members and readmittable machines. Right after the start of this process they also
    include the members that it has not heard from yet.
    """
    detector, view, now = context.failure_detector, context.replica_state.view, context.now
    eligible_ids = {context.own.id}
    for machine_id, peer in detector.peers.items():
        is_healthy_member = machine_id in view.chain and peer.is_healthy
        if is_healthy_member or detector.is_readmittable(now, machine_id):
            eligible_ids.add(machine_id)
    for machine_id in view.chain:
        is_recently_started = detector.silence_s(now, machine_id) < context.timing.suspect_after_s
        if is_recently_started and machine_id not in detector.peers:
            eligible_ids.add(machine_id)
    return eligible_ids


def _restarted_ids(context: Context) -> set[str]:
    """Return the ids of the machines whose process did not adopt the current epoch itself."""
    epoch = context.replica_state.view.epoch
    restarted_ids = {
        machine_id
        for machine_id, peer in context.failure_detector.peers.items()
        if peer.is_healthy and peer.heartbeat.epoch == epoch and not peer.heartbeat.joined
    }
    if context.joined_epoch != epoch and context.adopted_epoch == epoch:
        restarted_ids.add(context.own.id)
    return restarted_ids


def _newest_identity(context: Context, machine_id: str) -> MachineIdentity | None:
    if machine_id == context.own.id:
        return context.own
    peer = context.failure_detector.peers.get(machine_id)
    return peer.identity if peer is not None else None
