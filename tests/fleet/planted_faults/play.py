"""Playing many faults, several at a time, each in a scratch copy of its own."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed

from tests.fleet.planted_faults.faults import Fault
from tests.fleet.planted_faults.records import Row
from tests.fleet.planted_faults.trial import Finding, Scratch


class WrongBaseline(Exception):
    """A test fails without any fault: nothing can be said."""


class Player:
    """Scratch copies, one for each process."""

    def __init__(self, processes: int) -> None:
        self._pool = ThreadPoolExecutor(processes)
        self._copies: queue.SimpleQueue[Scratch] = queue.SimpleQueue()
        self._scratches = [Scratch() for _ in range(processes)]
        for each in self._scratches:
            self._copies.put(each)
        self._lock = threading.Lock()

    def close(self) -> None:
        """Remove the copies."""
        self._pool.shutdown(cancel_futures=True)
        for each in self._scratches:
            each.close()

    def check_baseline(self, tests: Sequence[str]) -> None:
        """All tests hold without a fault."""
        found = list(self._pool.map(lambda test: self._in_copy(lambda copy: copy.run([test])), tests))
        failed = [each for each in found if each is not None]
        if failed:
            raise WrongBaseline(str(failed))

    def play(
        self, faults: Iterable[Fault], tests: Sequence[str], known: dict[str, Row], told: Callable[[Row, str], None]
    ) -> list[Row]:
        """Plant each fault: first against the test that found it before, then against all."""
        waiting = [self._pool.submit(self._play_one, fault, tests, known.get(fault.id)) for fault in faults]
        rows = []
        for each in as_completed(waiting):
            row, cause = each.result()
            told(row, cause)
            rows.append(row)
        return rows

    def unfound(self, faults: Sequence[tuple[Fault, Row]], tests: Sequence[str]) -> list[str]:
        """Plant each fault against its recorded test, then against these; the ids of those that none finds."""
        waiting = [self._pool.submit(self._play_one, fault, tests, row) for fault, row in faults]
        rows = [each.result()[0] for each in waiting]
        return [row.id for row in rows if not row.found]

    def _play_one(self, fault: Fault, tests: Sequence[str], known: Row | None) -> tuple[Row, str]:
        began = time.monotonic()
        finding = None
        if known is not None and known.found:
            finding = self._in_copy(lambda copy: copy.try_fault(fault, [known.test]))
        if finding is None:
            finding = self._in_copy(lambda copy: copy.try_fault(fault, tests))
        return _row(fault, finding), f"{finding.cause if finding else ''} ({time.monotonic() - began:.1f} s)"

    def _in_copy(self, call: Callable[[Scratch], Finding | None]) -> Finding | None:
        copy = self._copies.get()
        try:
            return call(copy)
        finally:
            self._copies.put(copy)


def _row(fault: Fault, finding: Finding | None) -> Row:
    return Row(fault.id, finding.test if finding is not None else "")
