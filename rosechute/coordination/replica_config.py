"""Settings of a replica: identity, addresses and time-outs. All times are seconds of the machine's steady clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class MachineIdentity:
    """Identity and addresses of a core machine.

    Attributes:
        id: identifies the machine and its disk; a machine whose disk was wiped has a new id.
        name: name of the machine in the settings.
        zone: failure domain.
        control_address: host and port of the operator's API.
        peer_address: host and port for the other core machines.
    """

    id: str
    name: str
    zone: str
    control_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods and time-outs, in seconds."""

    heartbeat_period_s: float = 0.15  # period of heartbeats
    suspect_after_s: float = 0.7  # silence, or age of a sync, after which a machine is removed from the chain
    lease_s: float = 1.2  # duration of the leader lease
    lease_margin_s: float = 0.1  # the leader stops leading this long before its lease ends, to allow for clock drift
    renew_period_s: float = 0.3  # period of lease renewals
    candidate_timeout_s: float = 0.4  # a candidate gives up after this long without a majority of grants
    candidate_stagger_s: float = 0.1  # candidates start this much apart, by their position in the chain
    proposal_timeout_s: float = 0.5  # an attempt is aborted after this long without a decision
    sealed_recovery_s: float = 0.6  # any acceptor may propose the next view once an epoch is sealed for this long
    resend_after_s: float = 0.12  # delay before an unanswered message is sent once more
    resend_write_after_s: float = 0.25  # delay before an uncommitted write is sent once more; doubles each time
    request_deadline_s: float = 0.9  # a request is answered by then: the operator's client gives up after a second
    readmit_after_s: float = 0.3  # a machine that has been healthy for this long may rejoin the chain
    max_readmit_after_s: float = 5.0  # upper bound of `readmit_after_s` after several removals
    removal_memory_s: float = 15.0  # each earlier removal within this time doubles `readmit_after_s`
    conflict_after_s: float = 0.5  # two machines that can't reach each other for this long don't share a chain
    remove_after_silence_s: float = 1.0  # silence after which a surplus acceptor is removed
    freeze_gap_s: float = 0.35  # a gap between two calls that counts as a freeze of this machine
    disk_retry_s: float = 0.5  # delay before a failed disk is written again
    probe_deadline_s: float = 0.3  # a probe that is synced within this time ends the suspicion against a disk


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """Settings of one core machine.

    Attributes:
        name: name of the machine.
        zone: failure domain.
        control_address: host and port of the operator's API.
        peer_address: host and port for the other core machines.
        bootstrap: whether the machine belongs to the first start of the system.
        seeds: (control address, peer address) of the core machines that the settings name.
        timing: periods and time-outs.
    """

    name: str
    zone: str
    control_address: str
    peer_address: str
    bootstrap: bool
    seeds: tuple[tuple[str, str], ...]
    timing: Timing = field(default_factory=Timing)
