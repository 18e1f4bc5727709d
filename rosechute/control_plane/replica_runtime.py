"""Runtime of a replica: drives it with time, messages and completed writes, and performs the actions it returns.

The replica itself does no I/O and returns actions. This module sends its messages over links, writes its records and
completes the futures of requests. Large fields of messages are sent separately, in chunks
(`coordination.blob_transfer`).

After a failed write, the next write is a full snapshot, since it is unknown how much of the failed write reached the
disk. A snapshot is also written when the log exceeds `LOG_LIMIT_BYTES`. A snapshot replaces the log and includes the
records of the write that triggered it, so these are not appended as well.
"""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

from loguru import logger
from returns.result import Failure

from rosechute.coordination.actions import (
    Action,
    ConfigurationCommitted,
    LeadershipGained,
    LeadershipLost,
    PersistRecords,
    RateLeaseOwnersPersisted,
    Reply,
    SendMessage,
)
from rosechute.coordination.blob_transfer import BlobTransfer
from rosechute.coordination.outcomes import CommittedConfiguration, Outcome, WriteRequest
from rosechute.coordination.replica import Replica
from rosechute.messages.coordination_pb2 import CoreMessage
from rosechute.storage.writer import WriteResult

TICK_S = 0.04  # interval between two ticks; well below the shortest timeout of the replica
LOG_LIMIT_BYTES = 512 * 1024  # a longer log is replaced by a snapshot, to keep loading fast

WriteCallback = Callable[[WriteResult], None]


class RecordLog(Protocol):
    """Durable storage of records, written in order; implemented by `rosechute.storage.writer.StoreWriter`.

    Both methods return immediately and call `done` on the event loop when the write is synced or has failed.
    """

    @property
    def log_size(self) -> int:
        """Return the size of the log since the last snapshot, in bytes."""

    def append(self, records: Sequence[bytes], done: WriteCallback) -> None:
        """Append records to the log."""

    def write_snapshot(self, records: Sequence[bytes], done: WriteCallback) -> None:
        """Replace the previous snapshot and the log by a new snapshot."""


class ReplicaObserver(Protocol):
    """Receiver of state changes of the replica."""

    def committed(self, configuration: CommittedConfiguration) -> None:
        """Handle a newer committed configuration."""

    def leadership_gained(self, term: int, rate_lease_owners: frozenset[str] | None) -> None:
        """Handle the acquisition of the leader lease; only these edges may own rate leases, None means any edge."""

    def leadership_lost(self) -> None:
        """Handle the loss of the leader lease."""

    def rate_lease_owners_persisted(self, term: int, edges: frozenset[str] | None) -> None:
        """Handle that a majority has stored the only edges that may own rate leases; None means any edge."""


class ReplicaRuntime:
    """Runtime of one replica.

    Call `start` once, then `tick` every `TICK_S`. All methods must be called on the event loop.
    """

    def __init__(
        self,
        replica: Replica,
        records: RecordLog,
        send: Callable[[str, CoreMessage], None],
        observer: ReplicaObserver,
        clock: Callable[[], float],
        *,
        snapshot_first: bool,
    ) -> None:
        """Create the runtime; `start` starts the replica.

        Args:
            replica: The replica, not yet started.
            records: Log to which its records are written.
            send: Sends a message to the link address of a core machine.
            observer: Notified of commits and changes of leadership.
            clock: Returns the monotonic time in seconds.
            snapshot_first: Whether the first write has to be a snapshot because the log cannot be appended to.
        """
        self.replica = replica
        self._records = records
        self._send = send
        self._blobs = BlobTransfer(replica.identity, replica.large_contents)
        self._observer = observer
        self._clock = clock
        self._snapshot_first = snapshot_first
        self._is_compacting = False  # a snapshot is being written
        self._is_failing = False  # whether the last write failed
        self._pending: dict[int, asyncio.Future[Outcome]] = {}  # futures of outcomes by request number
        self._request_count = 0

    def start(self) -> None:
        """Start the replica; the caller then calls `tick` every `TICK_S`."""
        self._perform(self.replica.start(self._clock()))

    def tick(self) -> None:
        """Advance the replica to the current time."""
        now = self._clock()
        for request in self._blobs.tick(now):
            self._send(request.address, request.message)
        self._perform(self.replica.tick(now))

    def receive(self, message: CoreMessage) -> None:
        """Handle a message from another core machine as soon as all its large fields have arrived."""
        now = self._clock()
        received = self._blobs.receive(now, message)
        if received.problem:
            logger.warning("core message rejected peer={} reason={}", message.sender.peer, received.problem)
        for send in received.sends:
            self._send(send.address, send.message)
        for complete in received.complete:
            self._perform(self.replica.receive(now, complete))

    def propose_write(self, base_version: int, version: int, body: bytes, digest: bytes) -> asyncio.Future[Outcome]:
        """Propose a configuration.

        Args:
            base_version: Version that the configuration is based on; 0 for the first.
            version: Version of the configuration.
            body: The configuration, byte for byte.
            digest: `write_requests.write_request_digest` of base version and body.

        Returns:
            A future of the outcome. It may never complete; a caller that gives up must cancel it.
        """
        request, answer = self._new_request()
        self._perform(
            self.replica.propose_write(self._clock(), WriteRequest(request, base_version, version, body, digest))
        )
        return answer

    def read(self) -> asyncio.Future[Outcome]:
        """Read the newest acknowledged configuration; return a future of the outcome, which may never complete."""
        request, answer = self._new_request()
        self._perform(self.replica.read(self._clock(), request))
        return answer

    def persist_rate_lease_owners(self, term: int, edges: frozenset[str] | None) -> None:
        """Store at a majority which edges may own rate leases in a term, None for any; then notify the observer."""
        self._perform(self.replica.persist_rate_lease_owners(self._clock(), term, edges))

    def resign(self) -> None:
        """Release the leader lease if this machine holds it, and leave the chain."""
        self._perform(self.replica.resign(self._clock()))

    def _new_request(self) -> tuple[int, asyncio.Future[Outcome]]:
        """Return the number of a new request and a future of its outcome."""
        self._request_count += 1
        request = self._request_count
        answer: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._pending[request] = answer
        answer.add_done_callback(lambda _: self._pending.pop(request, None))
        return request, answer

    def _perform(self, actions: Sequence[Action]) -> None:
        """Perform the actions of the replica in order."""
        for action in actions:
            match action:
                case SendMessage(address, message):
                    self._send(address, self._blobs.prepare(address, message))
                case PersistRecords(token, records):
                    self._persist(token, records)
                case Reply(request, outcome):
                    self._reply(request, outcome)
                case ConfigurationCommitted(configuration):
                    self._observer.committed(configuration)
                case LeadershipGained(term, rate_lease_owners):
                    self._observer.leadership_gained(term, rate_lease_owners)
                case LeadershipLost():
                    self._observer.leadership_lost()
                case RateLeaseOwnersPersisted(term, edges):
                    self._observer.rate_lease_owners_persisted(term, edges)

    def _reply(self, request: int, outcome: Outcome) -> None:
        answer = self._pending.get(request)
        if answer is not None and not answer.done():
            answer.set_result(outcome)

    def _persist(self, token: int, records: Sequence[bytes]) -> None:
        is_log_too_long = self._records.log_size > LOG_LIMIT_BYTES and not self._is_compacting
        if self._snapshot_first or is_log_too_long:
            self._snapshot_first = False
            self._is_compacting = True
            self._records.write_snapshot(self.replica.snapshot(), partial(self._on_snapshot_written, token))
        else:
            self._records.append(records, partial(self._on_written, token))

    def _on_snapshot_written(self, token: int, outcome: WriteResult) -> None:
        self._is_compacting = False
        self._on_written(token, outcome)

    def _on_written(self, token: int, outcome: WriteResult) -> None:
        now = self._clock()
        self._log_change(outcome)
        if isinstance(outcome, Failure):
            self._snapshot_first = True
            self._perform(self.replica.on_persist_failed(now, token))
        else:
            self._perform(self.replica.on_persisted(now, token))

    def _log_change(self, outcome: WriteResult) -> None:
        """Log the first of consecutive failed writes, and the first success after them."""
        is_failing = isinstance(outcome, Failure)
        if is_failing and not self._is_failing:
            logger.warning("record write failed error={}", outcome.failure())
        elif self._is_failing and not is_failing:
            logger.info("record writes recovered")
        self._is_failing = is_failing
