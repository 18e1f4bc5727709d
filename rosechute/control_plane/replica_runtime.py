"""Runs a replica of the core: its messages over links, its records through the record writer, its clock.

After a write that failed, the next one is a whole snapshot: nobody knows what of the failed one is on disk. A
snapshot is also written when the log has grown long. A snapshot of the replica holds everything up to the
records that it is written in place of; these are not written again behind it.
"""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

from loguru import logger
from returns.result import Failure

from rosechute.coordination.replica import Replica
from rosechute.coordination.types import (
    Action,
    CommittedConfiguration,
    ConfigurationCommitted,
    LeadershipGained,
    LeadershipLost,
    Outcome,
    PersistRecords,
    RateLeaseOwnersPersisted,
    Reply,
    SendMessage,
    WriteRequest,
)
from rosechute.messages.coordination_pb2 import CoreMessage
from rosechute.storage.writer import WriteResult

TICK_S = 0.04
LOG_LIMIT_BYTES = 512 * 1024

Done = Callable[[WriteResult], None]


class Records(Protocol):
    """Where the records go; `rosechute.storage.writer.StoreWriter`."""

    @property
    def log_size(self) -> int: ...
    def append(self, records: Sequence[bytes], done: Done) -> None: ...
    def write_snapshot(self, records: Sequence[bytes], done: Done) -> None: ...


class Observer(Protocol):
    """Who has to know what the replica has come to."""

    def committed(self, configuration: CommittedConfiguration) -> None: ...
    def leadership_gained(self, term: int, rate_lease_owners: frozenset[str] | None) -> None: ...
    def leadership_lost(self) -> None: ...
    def rate_lease_owners_persisted(self, term: int, edges: frozenset[str]) -> None: ...


class ReplicaRuntime:
    """One replica and everything that it acts on."""

    def __init__(
        self,
        replica: Replica,
        records: Records,
        send: Callable[[str, CoreMessage], None],
        observer: Observer,
        clock: Callable[[], float],
        snapshot_first: bool,
    ) -> None:
        self.replica = replica
        self._records = records
        self._send = send
        self._observer = observer
        self._clock = clock
        self._snapshot_first = snapshot_first
        self._compacting = False
        self._failing = False
        self._waiting: dict[int, asyncio.Future[Outcome]] = {}
        self._requests = 0

    def start(self) -> None:
        """Begin; `tick` has to be called every `TICK_S` from now on."""
        self._act(self.replica.start(self._clock()))

    def tick(self) -> None:
        """Let time pass."""
        self._act(self.replica.tick(self._clock()))

    def receive(self, message: CoreMessage) -> None:
        """A message of another core machine."""
        self._act(self.replica.receive(self._clock(), message))

    def propose_write(self, base_version: int, version: int, body: bytes, digest: bytes) -> asyncio.Future[Outcome]:
        """Order a configuration."""
        request, answer = self._expect()
        self._act(
            self.replica.propose_write(self._clock(), WriteRequest(request, base_version, version, body, digest))
        )
        return answer

    def read(self) -> asyncio.Future[Outcome]:
        """The newest acknowledged configuration."""
        request, answer = self._expect()
        self._act(self.replica.read(self._clock(), request))
        return answer

    def persist_rate_lease_owners(self, term: int, edges: frozenset[str]) -> None:
        """Note which edges may hold rate leases; the observer is told once that is synced."""
        self._act(self.replica.persist_rate_lease_owners(self._clock(), term, edges))

    def resign(self) -> None:
        """Give the leader lease back, if this machine holds it."""
        self._act(self.replica.resign(self._clock()))

    def _expect(self) -> tuple[int, asyncio.Future[Outcome]]:
        self._requests += 1
        request = self._requests
        answer: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._waiting[request] = answer
        answer.add_done_callback(lambda _: self._waiting.pop(request, None))
        return request, answer

    def _act(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(address, message):
                    self._send(address, message)
                case PersistRecords(token, records):
                    self._persist(token, records)
                case Reply(request, outcome):
                    self._answer(request, outcome)
                case ConfigurationCommitted(configuration):
                    self._observer.committed(configuration)
                case LeadershipGained(term, holders):
                    self._observer.leadership_gained(term, holders)
                case LeadershipLost():
                    self._observer.leadership_lost()
                case RateLeaseOwnersPersisted(term, edges):
                    self._observer.rate_lease_owners_persisted(term, edges)

    def _answer(self, request: int, outcome: Outcome) -> None:
        answer = self._waiting.get(request)
        if answer is not None and not answer.done():
            answer.set_result(outcome)

    def _persist(self, token: int, records: Sequence[bytes]) -> None:
        long = self._records.log_size > LOG_LIMIT_BYTES and not self._compacting
        if self._snapshot_first or long:
            self._snapshot_first = False
            self._compacting = True
            self._records.write_snapshot(self.replica.snapshot(), partial(self._replaced, token))
        else:
            self._records.append(records, partial(self._written, token))

    def _replaced(self, token: int, outcome: WriteResult) -> None:
        self._compacting = False
        self._written(token, outcome)

    def _written(self, token: int, outcome: WriteResult) -> None:
        now = self._clock()
        self._tell(outcome)
        if isinstance(outcome, Failure):
            self._snapshot_first = True
            self._act(self.replica.persist_failed(now, token))
        else:
            self._act(self.replica.persisted(now, token))

    def _tell(self, outcome: WriteResult) -> None:
        """Log the first of several failures, and the end of them."""
        failing = isinstance(outcome, Failure)
        if failing and not self._failing:
            logger.warning("records: {}", outcome.failure())
        elif self._failing and not failing:
            logger.info("records are written again")
        self._failing = failing
