"""State of a core machine for operators: the `core` section of the state page. This module does no I/O."""

import msgspec

from rosechute.coordination.replica import Replica
from rosechute.coordination.replica_config import MachineIdentity


class CoreReport(msgspec.Struct, frozen=True):
    """Snapshot of the state of a core machine; the field names are JSON keys of the state page.

    Machines are listed by the names in their settings. docs/fleet/state.md documents the fields for operators.
    """

    id: str
    leader: bool
    leader_name: str  # empty if unknown
    term: int
    epoch: int
    acceptors: list[str]
    chain: list[str]  # head first
    config_sequence: int  # of the newest configuration known to be committed; 0 if none
    config_version: int
    config_age_ms: int | None  # time since it was last confirmed to be the newest; None if never
    write_age_ms: int  # age of the oldest unfinished disk write; 0 if none
    edges: int  # number of live edges; 0 if this machine is not the leader


def build_core_report(replica: Replica, now: float, write_age_s: float, edges: int) -> CoreReport:
    """Return the report of a core machine.

    Args:
        replica: The replica of this machine.
        now: Monotonic time in seconds.
        write_age_s: Age of the oldest unfinished disk write in seconds; 0 if there is none.
        edges: Number of live edges; 0 if this machine is not the leader.
    """
    view, committed, freshness = replica.view, replica.committed, replica.freshness(now)
    names = {each.id: each.name for each in view.acceptors}
    return CoreReport(
        id=replica.identity.id,
        leader=replica.is_leader(now),
        leader_name=_machine_name(replica.leader_hint()),
        term=replica.term,
        epoch=view.epoch,
        acceptors=list(names.values()),
        chain=[names.get(member, member) for member in view.chain],
        config_sequence=committed.sequence if committed is not None else 0,
        config_version=committed.version if committed is not None else 0,
        config_age_ms=round(freshness[1] * 1000.0) if freshness is not None else None,
        write_age_ms=round(write_age_s * 1000.0),
        edges=edges,
    )


def _machine_name(machine: MachineIdentity | None) -> str:
    return machine.name if machine is not None else ""
