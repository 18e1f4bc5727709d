"""Checkers of a simulated deployment: of an edge before and after all that comes to it, of all edges now and then,
and of every change that an edge puts in force."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from rosechute.data_plane.plane import LEASE_MARGIN_S
from rosechute.distribution.actions import ConfigurationChanged, ServersChanged
from rosechute.distribution.membership import MEMBERSHIP_LEASE_S
from rosechute.distribution.topics import CONFIG_TOPIC

from .distribution_machines import Process
from .distribution_timeline import InvariantViolationError

if TYPE_CHECKING:
    from .distribution_world import World

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
LIST_APPLY_S = 1.5
FRESH_S = 1.5  # a confirmation is no older, in touch
REVOKE_S = 5.0
TOTAL_APPLY_S = CONTACT_S + MEMBERSHIP_LEASE_S
CHECK_INTERVAL_S = 0.02
CLOCK_ERROR_S = 1e-6  # of the reckoning between clocks


class Checkers:
    """What must hold of every edge, and more of those in touch."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._all_checked_at = -math.inf
        self.checks = 0

    def check_all(self) -> None:
        """After an event. What is not done to an edge changes by time only, so now and then is enough for all."""
        if self._world.now - self._all_checked_at < CHECK_INTERVAL_S:
            return
        self._all_checked_at = self._world.now
        for machine in self._world.edge:
            if machine.process is not None:
                self.check(machine.process)

    def check(self, process: Process) -> None:
        """One edge, before something comes to it, which may end what must not be, and after."""
        machine = process.machine
        if machine.process is not process or process.subscriber is None or machine.frozen:
            return
        self._check_confirmed(process)
        self._check_revoked(process)
        if self._world.in_touch(machine):
            self.checks += 1
            self._check_in_force(process)
            self._check_fresh(process)
            self._check_list(process)
            self._check_total(process)

    def applied_configuration(self, process: Process, change: ConfigurationChanged) -> None:
        """An edge puts a configuration in force."""
        if change.sequence <= process.configuration:
            raise InvariantViolationError(f"configuration back from {process.configuration} to {change.sequence}")
        if change.body != self._world.body(change.sequence) or change.version != change.sequence * 3:
            raise InvariantViolationError(f"configuration {change.sequence} differs from what was committed")
        process.configuration = change.sequence

    def applied_list(self, process: Process, change: ServersChanged) -> None:
        """An edge uses a list."""
        if change.position <= process.lists.get(change.service, (0, 0)):
            raise InvariantViolationError(f"list of {change.service} back to {change.position}")
        process.lists[change.service] = change.position
        slots = {server.id: server.slots for server in change.servers}
        version = slots.get(f"{change.service}-0", 0)
        expected = {f"{change.service}-{number}" for number in range(4) if number == 0 or (version + number) % 3}
        if version and set(slots) != expected:
            raise InvariantViolationError(f"list of {change.service} at version {version} holds {sorted(slots)}")
        if version and version < process.list_versions.get(change.service, 0):
            raise InvariantViolationError(
                f"{process.machine.name}: list of {change.service}: an older reading, {version}"
            )
        process.list_versions[change.service] = version

    def _newer_acknowledged_at(self, process: Process) -> float:
        """When the first configuration newer than the one in force was acknowledged; infinity for never."""
        newer = math.inf
        for _, acknowledged, sequence in reversed(self._world.committed):
            if sequence <= process.configuration:
                break
            newer = acknowledged
        return newer

    def _check_confirmed(self, process: Process) -> None:
        """What the edge believes of its configuration is true, up to the drift of the clocks that reckoned it."""
        assert process.subscriber is not None
        now = self._world.now
        confirmed_at = process.machine.clock.true(process.subscriber.confirmed_at)
        newer = self._newer_acknowledged_at(process)
        drift_s = self._world.drift * max(0.0, now - newer)
        if confirmed_at > min(newer, now) + drift_s + CLOCK_ERROR_S:
            raise InvariantViolationError(
                f"{process.machine.name}: {process.configuration} confirmed after a newer acknowledgement"
            )
        if process.subscriber.position(CONFIG_TOPIC) != (0, process.configuration):
            raise InvariantViolationError("what is held is not what was applied")

    def _check_revoked(self, process: Process) -> None:
        """No request is run with a key that was taken away longer ago than the rule bears: were one sent now with a
        key that only the configuration in force here has, it is refused by the lease, as the data plane asks it."""
        assert process.subscriber is not None
        world = self._world
        if world.now <= self._newer_acknowledged_at(process) + REVOKE_S:
            return
        if process.local_now() - process.subscriber.confirmed_at < REVOKE_S - LEASE_MARGIN_S:
            raise InvariantViolationError(
                f"{process.machine.name}: a request was run with a revoked key at {world.now}"
            )

    def _check_in_force(self, process: Process) -> None:
        due_by = self._world.now - CONFIG_APPLY_S
        due = next(sequence for _, acked, sequence in reversed(self._world.committed) if acked <= due_by)
        if process.configuration < due:
            raise InvariantViolationError(
                f"{process.machine.name}: {process.configuration} in force at {self._world.now}, due is {due}"
            )

    def _check_fresh(self, process: Process) -> None:
        assert process.subscriber is not None
        if process.local_now() - process.subscriber.confirmed_at > FRESH_S:
            raise InvariantViolationError(
                f"{process.machine.name}: confirmed long ago, in touch, at {self._world.now}"
            )

    def _check_list(self, process: Process) -> None:
        due_by = self._world.now - LIST_APPLY_S
        if self._world.platform_calm_since > due_by:
            return
        due = next(version for since, version in reversed(self._world.list_truth) if since <= due_by)
        for service in self._world.services:
            if not self._world.list_down and process.list_versions.get(service, 0) < due:
                raise InvariantViolationError(
                    f"{process.machine.name}: list of {service} is behind at {self._world.now}"
                )

    def _check_total(self, process: Process) -> None:
        world = self._world
        if world.now - world.members_changed < TOTAL_APPLY_S or any(machine.frozen for machine in world.edge):
            return
        if any(one.process is not None and one.troubled_until + TOTAL_APPLY_S > world.now for one in world.edge):
            return
        living = sum(machine.running for machine in world.edge)
        if process.total != living:
            raise InvariantViolationError(f"{process.machine.name}: {process.total} edges told, {living} live")
