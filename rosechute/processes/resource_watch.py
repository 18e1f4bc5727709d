"""The start, the end, the memory and the descriptors of a process: log lines, figures, and the memory guard.

They tell apart the reasons for which a process may end or be ended: see docs/fleet/run.md.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import platform
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import loguru
from loguru import logger

from rosechute.configuration.process import ProcessSettings
from rosechute.process_start import STARTED_AT_S
from rosechute.proxy.core.memory_guard import CHECK_INTERVAL_S, MEGABYTE, MemoryConsumer, MemoryGuard
from rosechute.proxy.core.process_memory import release_free_memory, resident_bytes

DESCRIPTOR_CHECKS = 4  # checks of the memory between two of the descriptors
WARNING_SHARE = 0.8  # of a limit
RECOVERED_SHARE = 0.7  # of a limit; below it the next warning is logged again
PROCESS_DESCRIPTORS = Path("/proc/self/fd")


class Usage(NamedTuple):
    """Resources that this process uses; None for one that the system doesn't tell."""

    memory_mb: float | None
    descriptors: int | None


def current_usage() -> Usage:
    """Return the resources that this process uses now."""
    return Usage(_memory_mb(), _count_descriptors())


class _Limit:
    """A limit, and whether the use was near it at the last check."""

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self._is_near = False

    def is_neared(self, used: float | None) -> bool:
        """Return whether the use has come near the limit since the last check."""
        was_near = self._is_near
        share = RECOVERED_SHARE if was_near else WARNING_SHARE
        self._is_near = used is not None and self.limit > 0 and used >= share * self.limit
        return self._is_near and not was_near


class ResourceWatch:
    """Keeps the memory of this process below its limit, and logs when its memory or descriptors come near theirs.

    Args:
        settings: Settings with the limits.
        consumer: Holds memory for callers, and can be restricted; None if there is none.
        read_unread: Returns the bytes that the kernel holds unread for this process.

    Attributes:
        largest_delay_s: Largest delay of a check since the start: for so long the event loop did nothing else.
        descriptors: Open descriptors at the last check of them; None if unknown.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        consumer: MemoryConsumer | None = None,
        read_unread: Callable[[], int] = int,
    ) -> None:
        limits = settings.limits
        self._guard = MemoryGuard(limits.memory_mb, resident_bytes, release_free_memory, consumer, read_unread)
        self._memory = _Limit(limits.memory_mb)
        self._descriptors = _Limit(limits.max_fds)
        self.largest_delay_s = 0.0
        self.descriptors: int | None = None

    @property
    def resident_bytes(self) -> int:
        """Resident memory at the last check."""
        return self._guard.resident_bytes

    @property
    def memory_releases_total(self) -> int:
        """Releases of free memory since the start."""
        return self._guard.releases_total

    def change_settings(self, settings: ProcessSettings) -> None:
        """Use the limits of changed settings."""
        self._guard.set_limit(settings.limits.memory_mb)
        self._memory.limit = settings.limits.memory_mb
        self._descriptors.limit = settings.limits.max_fds

    async def run(self) -> None:
        """Check every `CHECK_INTERVAL_S`, until cancelled."""
        loop = asyncio.get_running_loop()
        for number in itertools.count():
            due_at = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.largest_delay_s = max(self.largest_delay_s, loop.time() - due_at)
            self.check_memory()
            if number % DESCRIPTOR_CHECKS == 0:
                self.check_descriptors(_count_descriptors())

    def check_memory(self) -> None:
        """Release free memory if there is much, and restrict the consumer near the limit."""
        check = self._guard.check()
        if check is None:
            return
        resident_mb = check.resident_bytes / MEGABYTE
        if check.released_bytes is not None:
            logger.info(
                "memory released resident_mb={:.1f} released_mb={:.1f}",
                resident_mb,
                check.released_bytes / MEGABYTE,
            )
        self.warn_of_memory(resident_mb)

    def warn_of_memory(self, resident_mb: float) -> None:
        """Compare the resident memory with its limit."""
        if self._memory.is_neared(resident_mb):
            logger.warning("memory near its limit resident_mb={:.1f} limit_mb={}", resident_mb, self._memory.limit)

    def check_descriptors(self, descriptors: int | None) -> None:
        """Compare the open descriptors with their limit."""
        self.descriptors = descriptors
        if self._descriptors.is_neared(descriptors):
            logger.warning("descriptors near their limit open={} limit={}", descriptors, self._descriptors.limit)


def log_start(settings: ProcessSettings) -> None:
    """Log which program has started, with which libraries, and how much time that has taken."""
    logger.info(
        "process started node={} pid={} python={} machine={} libraries={} startup_s={:.3f} cpu_s={:.3f}",
        settings.node_name,
        os.getpid(),
        platform.python_version(),
        platform.machine(),
        Path(loguru.__file__).parent.parent,
        time.monotonic() - STARTED_AT_S,
        time.process_time(),
    )


def log_end(status: int) -> None:
    """Log that the process ends by its own decision, and with which exit status."""
    usage = current_usage()
    logger.info(
        "process ended status={} resident_mb={} descriptors={}",
        status,
        None if usage.memory_mb is None else round(usage.memory_mb, 1),
        usage.descriptors,
    )


def _memory_mb() -> float | None:
    resident = resident_bytes()
    return None if resident is None else resident / MEGABYTE


def _count_descriptors() -> int | None:
    try:
        return len(os.listdir(PROCESS_DESCRIPTORS)) - 1  # less the one that reads the directory
    except OSError:
        return None
