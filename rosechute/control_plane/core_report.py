"""What a core machine tells an operator about itself."""

import msgspec

from rosechute.coordination.replica import Replica
from rosechute.coordination.types import MachineIdentity


class CoreReport(msgspec.Struct, frozen=True):
    """The state of a core machine at one moment. Machines are named as in their settings."""

    id: str
    leader: bool
    leader_name: str  # empty where none is known
    term: int
    epoch: int
    acceptors: list[str]
    chain: list[str]  # head first
    config_sequence: int  # of the newest configuration that is known to stay; 0 for none
    config_version: int
    config_age_ms: int | None  # age of the knowledge which configuration is the newest; None where there is none
    write_age_ms: int  # of the oldest write that the disk has not finished
    edges: int  # living ones, as the leader knows them


def build_core_report(replica: Replica, now: float, write_age_s: float, edges: int) -> CoreReport:
    """The report of a replica and of what stands around it."""
    view, committed, fresh = replica.view, replica.committed, replica.freshness(now)
    names = {each.id: each.name for each in view.acceptors}
    return CoreReport(
        id=replica.identity.id,
        leader=replica.is_leader(now),
        leader_name=_name(replica.leader_hint()),
        term=replica.term,
        epoch=view.epoch,
        acceptors=list(names.values()),
        chain=[names.get(member, member) for member in view.chain],
        config_sequence=committed.sequence if committed is not None else 0,
        config_version=committed.version if committed is not None else 0,
        config_age_ms=round(fresh[1] * 1000.0) if fresh is not None else None,
        write_age_ms=round(write_age_s * 1000.0),
        edges=edges,
    )


def _name(machine: MachineIdentity | None) -> str:
    return machine.name if machine is not None else ""
