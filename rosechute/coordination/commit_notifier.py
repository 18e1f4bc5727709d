"""Notification of the runtime: each committed configuration is reported once, in the order of its sequence."""

from __future__ import annotations

from dataclasses import dataclass

from rosechute.coordination.actions import ConfigurationCommitted
from rosechute.coordination.context import Context


@dataclass(slots=True)
class CommitNotifier:
    """Reporter of committed configurations.

    Attributes:
        context: what the parts of the replica share.
        last_sequence: sequence of the newest configuration that was reported.
    """

    context: Context
    last_sequence: int = 0

    def notify(self) -> None:
        """Report the committed configuration, if it is newer than the last one that was reported."""
        configuration = self.context.replica_state.committed.committed_configuration()
        if configuration is not None and configuration.sequence > self.last_sequence:
            self.last_sequence = configuration.sequence
            self.context.outbox.actions.append(ConfigurationCommitted(configuration))
