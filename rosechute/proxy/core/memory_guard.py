"""Keeps the resident memory of a process in proportion to what it holds, and below its limit.

Pure: reading and releasing memory are passed in.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

MEGABYTE = 1 << 20
CHECK_INTERVAL_S = 0.5
RELEASE_DIVISOR = 16  # free memory is released once this fraction of the limit was added, or is held no longer
RETRY_CHECKS = 4  # checks until another release while the process is that much above its smallest size
MAX_RETRY_CHECKS = 128  # the number doubles up to this one
RESTRICT_SHARE = 0.5  # of the limit, from which on unread bytes are counted too
USABLE_SHARE = 0.85  # of the limit; the rest is for what arrives between two checks


class MemoryConsumer(Protocol):
    """The part of a process that holds memory for its callers."""

    @property
    def used(self) -> int:
        """Bytes that it holds."""

    def restrict(self, free_bytes: int | None) -> None:
        """Hold at most so many bytes more than now; any number within its own limit if None."""


class MemoryCheck(NamedTuple):
    """Result of a check.

    Attributes:
        resident_bytes: Resident memory, after the release if there was one.
        released_bytes: Memory that was returned to the system; None if there was no release.
    """

    resident_bytes: int
    released_bytes: int | None


class MemoryGuard:
    """Releases free memory, and restricts the consumer when the process nears its limit.

    Args:
        limit_mb: Memory limit of the process in megabytes; 0 if there is none.
        read_resident: Returns the resident memory in bytes, None if unknown.
        release: Returns free memory to the system.
        consumer: Holds memory for callers; None if nothing is to be restricted.
        read_unread: Returns the bytes that the kernel holds unread for this process.

    Attributes:
        resident_bytes: Resident memory at the last check; 0 before the first one.
        releases_total: Releases since the start.
    """

    def __init__(
        self,
        limit_mb: float,
        read_resident: Callable[[], int | None],
        release: Callable[[], None],
        consumer: MemoryConsumer | None = None,
        read_unread: Callable[[], int] = int,
    ) -> None:
        self._read_resident, self._release = read_resident, release
        self._consumer, self._read_unread = consumer, read_unread
        self._baseline: int | None = None  # resident memory after the last release
        self._baseline_used = 0  # memory that the consumer held then
        self._smallest = 0  # smallest resident memory after a release
        self._retry_checks = RETRY_CHECKS  # checks between the last release and another one without a cause
        self._checks_until_retry = RETRY_CHECKS
        self.resident_bytes = 0
        self.releases_total = 0
        self.set_limit(limit_mb)

    def set_limit(self, limit_mb: float) -> None:
        """Change the memory limit, in megabytes; 0 if there is none."""
        self._limit = int(limit_mb * MEGABYTE)

    def check(self) -> MemoryCheck | None:
        """Release free memory and restrict the consumer if necessary; None if the resident memory is unknown."""
        resident = self._read_resident()
        if resident is None:
            return None
        released = None
        if self._is_release_due(resident):
            self._release()
            before, resident = resident, self._read_resident() or resident
            self._set_baseline(resident)
            self.releases_total += 1
            released = before - resident
        self.resident_bytes = resident
        self._restrict(resident)
        return MemoryCheck(resident, released)

    def _is_release_due(self, resident: int) -> bool:
        if self._limit <= 0:
            return False
        if self._baseline is None:
            self._smallest = resident
            self._set_baseline(resident)
            return False
        step = self._limit // RELEASE_DIVISOR
        if resident - self._baseline >= step or self._baseline_used - self._used() >= step:
            self._retry_checks = self._checks_until_retry = RETRY_CHECKS
            return True
        return resident - self._smallest >= step and self._is_retry_due()

    def _is_retry_due(self) -> bool:
        """Return whether to try again: what was in use at the last release may be free by now."""
        self._checks_until_retry -= 1
        if self._checks_until_retry > 0:
            return False
        self._retry_checks = min(MAX_RETRY_CHECKS, 2 * self._retry_checks)
        self._checks_until_retry = self._retry_checks
        return True

    def _set_baseline(self, resident: int) -> None:
        self._baseline, self._baseline_used = resident, self._used()
        self._smallest = min(self._smallest, resident)

    def _used(self) -> int:
        return self._consumer.used if self._consumer is not None else 0

    def _restrict(self, resident: int) -> None:
        if self._consumer is None or self._limit <= 0:
            return
        if resident < self._limit * RESTRICT_SHARE:
            self._consumer.restrict(None)
            return
        usable = int(self._limit * USABLE_SHARE)
        self._consumer.restrict(max(0, usable - resident - self._read_unread()))
