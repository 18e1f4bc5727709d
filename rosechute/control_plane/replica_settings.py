"""Conversion of process settings to replica settings."""

from rosechute.configuration.process import ProcessSettings
from rosechute.coordination.replica_config import ReplicaConfig


def seed_addresses(settings: ProcessSettings) -> tuple[tuple[str, str], ...]:
    """Return the control address and link address of each seed machine."""
    return tuple(zip(settings.seeds, settings.seed_peers, strict=True))


def replica_config(settings: ProcessSettings) -> ReplicaConfig:
    """Return the replica settings for this process."""
    return ReplicaConfig(
        name=settings.node_name,
        zone=settings.zone,
        control_address=settings.listen.control,
        peer_address=settings.core_link_address,
        bootstrap=settings.bootstrap,
        seeds=seed_addresses(settings),
    )
