"""Unit tests of `proxy.core.memory_guard` and of the budget that it restricts."""

from __future__ import annotations

import os
import socket

import pytest

from rosechute.proxy.core.flow import MIN_TOTAL_BYTES, Budget
from rosechute.proxy.core.memory_guard import MAX_RETRY_CHECKS, MEGABYTE, RETRY_CHECKS, MemoryGuard
from rosechute.proxy.core.process_memory import resident_bytes, unread_bytes

LIMIT_MB = 160
STEP_MB = 10


class Process:
    """A process whose resident size is its own, what the budget holds, and what is free inside."""

    def __init__(self, limit_mb=LIMIT_MB):
        self.own_mb, self.free_mb, self.unread_mb, self.pinned_mb = 40, 0, 0, 0
        self.budget = Budget(limit_mb)
        self.guard = MemoryGuard(
            limit_mb, self.resident, self.release, self.budget, lambda: self.unread_mb * MEGABYTE
        )
        self.guard.check()

    def resident(self):
        return (self.own_mb + self.free_mb + self.pinned_mb) * MEGABYTE + self.budget.used

    def release(self):
        self.free_mb = 0

    def checks(self, number):
        """Return how many of so many checks released memory."""
        before = self.guard.releases_total
        for _ in range(number):
            self.guard.check()
        return self.guard.releases_total - before


def test_free_memory_is_released_once_a_crowd_has_left():
    process = Process()
    process.budget.take(60 * MEGABYTE)
    process.guard.check()
    process.budget.give(60 * MEGABYTE)
    process.free_mb = 60
    check = process.guard.check()
    assert check.released_bytes == 60 * MEGABYTE
    assert check.resident_bytes == process.guard.resident_bytes == 40 * MEGABYTE


def test_ordinary_changes_release_nothing():
    process = Process()
    process.free_mb = STEP_MB - 1
    assert process.checks(1000) == 0


def test_memory_that_was_pinned_at_a_release_is_released_later():
    process = Process()
    process.pinned_mb = 30
    assert process.checks(1) == 1
    process.pinned_mb, process.free_mb = 0, 30
    assert process.checks(RETRY_CHECKS) == 1
    assert process.resident() == 40 * MEGABYTE


def test_releases_that_are_of_no_use_become_rare():
    process = Process()
    process.own_mb += 30
    assert process.checks(10 * MAX_RETRY_CHECKS) < 20


def test_no_limit_means_no_release_and_no_restriction():
    process = Process()
    process.guard.set_limit(0)
    process.free_mb = 10_000
    assert process.checks(10) == 0
    assert process.budget.total == Budget(LIMIT_MB).total


def test_budget_is_restricted_by_what_the_whole_process_holds_and_freed_again():
    process = Process()
    whole = process.budget.total
    process.own_mb = 120
    process.unread_mb = 10
    process.guard.check()
    assert process.budget.total == max(MIN_TOTAL_BYTES, (136 - 120 - 10) * MEGABYTE // 2)
    process.own_mb, process.unread_mb = 40, 0
    process.guard.check()
    assert process.budget.total == whole


def test_budget_is_spent_when_the_process_is_at_its_limit():
    process = Process()
    process.budget.take(20 * MEGABYTE)
    process.own_mb = 130
    process.guard.check()
    assert not process.budget.is_spent
    process.budget.take(2 * MEGABYTE)
    assert process.budget.is_spent


def test_unknown_resident_memory_changes_nothing():
    budget = Budget(LIMIT_MB)
    guard = MemoryGuard(LIMIT_MB, lambda: None, pytest.fail, budget)
    assert guard.check() is None
    assert budget.total == Budget(LIMIT_MB).total


def test_unread_bytes_are_those_of_open_sockets():
    left, right = socket.socketpair()
    with left, right:
        left.sendall(b"x" * 1000)
        assert unread_bytes([right.fileno(), -1]) == 1000
    closed = os.open(os.devnull, os.O_RDONLY)
    os.close(closed)
    assert unread_bytes([closed]) == 0


def test_resident_memory_of_this_process_is_known():
    assert resident_bytes() > MEGABYTE
