"""A core machine: puts together replica, records, links, distribution, operator's API, list reader and quotas.

It listens at once and answers `unsure` until its records are loaded; a disk that can't be read is tried again.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from aiohttp import web
from loguru import logger
from returns.result import Failure

from rosechute.configuration.process import ProcessSettings
from rosechute.coordination.replica import Replica
from rosechute.coordination.types import CommittedConfiguration, Outcome, OutcomeUnknown, ReplicaConfig
from rosechute.distribution.actions import DialedLink, SendMessage
from rosechute.distribution.core_directory import CoreAddress
from rosechute.distribution.publisher import Publisher, PublisherState
from rosechute.distribution.values import ListedServer
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.coordination_pb2 import CoreMessage
from rosechute.messages.framing import MessageKind
from rosechute.messages.link_connection import LinkConnection
from rosechute.messages.link_pool import LinkPool
from rosechute.messages.link_server import LinkServer
from rosechute.storage.files import DiskDirectory
from rosechute.storage.loading import load_records
from rosechute.storage.record_store import RecordStore
from rosechute.storage.writer import StoreWriter

from .core_report import CoreReport, build_core_report
from .endpoint_list_client import EndpointListClient
from .endpoint_list_reader import EndpointListReader
from .operator_api import OperatorApi
from .quota_service import QUOTA_TOKENS, QuotaService
from .replica_runtime import TICK_S, ReplicaRuntime

LOAD_RETRY_S = 0.2
HAND_OVER_WITHIN_S = 1.0  # for the others to go on without a machine that is about to end
HAND_OVER_POLL_S = 0.02
FAREWELL_S = 0.05  # for the last messages to leave before their links are closed
LATE_TICK_S = 0.5  # a tick so late is worth a line in the log


class CoreMachine:
    """Everything that runs on one core machine, on one event loop."""

    def __init__(
        self, settings: ProcessSettings, extend_api: Callable[[web.Application], None] | None = None
    ) -> None:
        self._settings = settings
        self._clock = time.monotonic
        self._draw = random.SystemRandom().random
        self._runtime: ReplicaRuntime | None = None
        self._writer: StoreWriter | None = None
        self._quota = QuotaService(settings.bounds)
        self._publisher = Publisher(self._quota.answer)
        self._core: tuple[CoreAddress, ...] = ()
        self._pool = LinkPool(self._received)
        self._server = LinkServer(settings.core_link_address, self._received, self._closed)
        self._api = OperatorApi(self, settings.listen.control, extend_api)
        self._endpoint_list_client = EndpointListClient(settings.cloud_api.address)
        self._endpoint_list_reader = EndpointListReader(
            self._endpoint_list_client.fetch,
            self._list_calls_per_s,
            self._leader_term,
            self._publish_servers,
            self._draw,
            self._clock,
        )
        self._task: asyncio.Task[None] | None = None
        self._next_tick: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen, and begin with everything else in the background."""
        await self._server.start()
        await self._api.start()
        self._task = asyncio.create_task(self._run(), name="core machine")

    async def stop(self) -> None:
        """End: hand over to the other machines, then close. Records that are under way may be lost."""
        if self._task is not None:
            self._task.cancel()
        if self._runtime is not None:
            await self._hand_over(self._runtime)
        if self._next_tick is not None:
            self._next_tick.cancel()
        if self._writer is not None:
            self._writer.stop()
        await self._api.stop()
        await self._endpoint_list_client.close()
        self._server.close()
        self._pool.close()

    def change_settings(self, settings: ProcessSettings) -> None:
        """The settings file has changed. Addresses of this machine hold until the next start."""
        self._settings = settings
        self._quota.change_bounds(self._clock(), settings.bounds)
        self._endpoint_list_client.address = settings.cloud_api.address
        if self._runtime is not None:
            self._runtime.replica.update_seeds(_seeds(settings))

    def report(self) -> CoreReport | None:
        """What an operator may want to know; None until the records are loaded."""
        if self._runtime is None or self._writer is None:
            return None
        now = self._clock()
        pending = self._writer.oldest_pending_since()
        waits_s = 0.0 if pending is None else now - pending
        return build_core_report(self._runtime.replica, now, waits_s, self._publisher.edges_total(now))

    def quota_counts(self) -> dict[str, float]:
        """Tokens of quotas that were asked for and issued here, by kind."""
        return self._quota.counts.of(QUOTA_TOKENS)

    def rate_leases_known(self) -> bool:
        """Whether, as the leader, it knows of all rate leases that may run."""
        return self._quota.all_leases_known(self._clock())

    # What the operator's API asks

    def propose_write(self, base_version: int, version: int, body: bytes, digest: bytes) -> asyncio.Future[Outcome]:
        """Order a configuration."""
        if self._runtime is None:
            return _unsure()
        return self._runtime.propose_write(base_version, version, body, digest)

    def read(self) -> asyncio.Future[Outcome]:
        """The newest acknowledged configuration."""
        return _unsure() if self._runtime is None else self._runtime.read()

    # What the replica has come to

    def committed(self, configuration: CommittedConfiguration) -> None:
        """A newer configuration is known to stay."""
        now = self._clock()
        self._quota.configuration_committed(now, configuration.body)
        sequence, version, body = configuration.sequence, configuration.version, configuration.body
        self._send_all(self._publisher.configuration_committed(now, sequence, version, body))

    def leadership_gained(self, term: int, rate_lease_owners: frozenset[str] | None = None) -> None:
        """This machine leads from here on. Only `rate_lease_owners` may hold earlier rate leases."""
        now = self._clock()
        told = "not known" if rate_lease_owners is None else f"{len(rate_lease_owners)} at most"
        logger.info("leads with term {}, edges with rate leases: {}", term, told)
        self._quota.leadership_gained(now, term, rate_lease_owners)
        self._send_all(self._publisher.leadership_gained(now, term))
        self._endpoint_list_reader.leadership_gained()

    def leadership_lost(self) -> None:
        """This machine leads no more."""
        if self._publisher.state is not PublisherState.LEADER:
            return
        logger.info("leads no more")
        self._send_all(self._publisher.leadership_lost(self._clock()))

    def rate_lease_owners_persisted(self, term: int, edges: frozenset[str]) -> None:
        """The names of the edges that may hold rate leases are synced."""
        self._quota.rate_lease_owners_persisted(term, edges)

    def _persist_rate_lease_owners(self, now: float, runtime: ReplicaRuntime) -> None:
        """Have the edges noted that may hold rate leases, where they have changed."""
        if self._publisher.state is not PublisherState.LEADER or not runtime.replica.is_leader(now):
            return
        edges = self._quota.rate_lease_owners_to_persist(now)
        if edges is not None:
            runtime.persist_rate_lease_owners(self._publisher.term, edges)

    # Running

    async def _run(self) -> None:
        store, saved = await self._load()
        loop = asyncio.get_running_loop()
        self._writer = StoreWriter(store, loop.call_soon_threadsafe, self._clock)
        self._writer.start()
        replica = Replica(_replica_config(self._settings), saved, self._clock(), self._draw)
        snapshot_first = not store.can_append
        self._runtime = ReplicaRuntime(replica, self._writer, self._send_core, self, self._clock, snapshot_first)
        self._runtime.start()
        logger.info("replica {} of {} records", replica.identity.id, len(saved))
        self._tick(self._runtime, self._clock())
        await self._endpoint_list_reader.run()

    async def _load(self) -> tuple[RecordStore, list[bytes]]:
        """Load the records in a thread; a disk that hangs doesn't hold up the loop."""
        path = self._settings.data_dir
        while True:
            folder = DiskDirectory(path)
            loaded = await load_records(folder)
            if not isinstance(loaded, Failure):
                return loaded.unwrap()
            folder.close()  # the next try opens its own files
            logger.warning("records: {}", loaded.failure())
            await asyncio.sleep(LOAD_RETRY_S)

    async def _hand_over(self, runtime: ReplicaRuntime) -> None:
        """Serve on until no other machine counts on this one; it may be that none can go on without it."""
        runtime.resign()
        ends = self._clock() + HAND_OVER_WITHIN_S
        while not runtime.replica.is_handed_over and self._clock() < ends:
            await asyncio.sleep(HAND_OVER_POLL_S)
        await asyncio.sleep(FAREWELL_S)

    def _list_calls_per_s(self) -> float:
        return self._settings.cloud_api.rate_per_s

    def _leader_term(self) -> int | None:
        """The term for which this machine holds the leader lease at this moment."""
        leads = self._runtime is not None and self._runtime.replica.is_leader(self._clock())
        return self._publisher.term if leads else None

    def _publish_servers(self, servers: Sequence[ListedServer]) -> None:
        self._send_all(self._publisher.endpoint_list_read(self._clock(), servers))

    def _tick(self, runtime: ReplicaRuntime, due: float) -> None:
        """Once in `TICK_S`, also after one that failed."""
        now = self._clock()
        self._next_tick = asyncio.get_running_loop().call_later(TICK_S, self._tick, runtime, now + TICK_S)
        if now - due > LATE_TICK_S:
            logger.warning("the loop stood still for {:.1f} s", now - due)
        runtime.tick()
        self._persist_rate_lease_owners(now, runtime)
        self._send_all(self._publisher.tick(now))

    def _inform_publisher(self, now: float, replica: Replica) -> None:
        """What the replica knows at this moment, for the answers to edges.

        After a freeze a message may come before the replica has noticed that its lease has run out.
        """
        if self._publisher.state is PublisherState.LEADER and not replica.is_leader(now):
            self.leadership_lost()
        fresh = replica.freshness(now)
        if fresh is not None:
            self._publisher.update_freshness(now, *fresh)
        leader = replica.leader_hint()
        other = leader is not None and leader.id != replica.identity.id
        self._publisher.set_leader_address(leader.peer_address if leader is not None and other else None)
        core = tuple(CoreAddress(one.id, one.peer_address, one.control_address) for one in replica.core_machines())
        if core != self._core:
            self._core = core
            self._publisher.set_core_machines(core)

    # Links

    def _received(self, connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
        if kind == MessageKind.COORDINATION:
            if self._runtime is not None:
                self._runtime.receive(CoreMessage.FromString(data))
            return
        now = self._clock()
        if self._runtime is not None:
            self._inform_publisher(now, self._runtime.replica)
        self._send_all(self._publisher.receive(now, connection, pb.Distribution.FromString(data)))

    def _closed(self, connection: LinkConnection) -> None:
        self._publisher.connection_closed(self._clock(), connection)

    def _send_core(self, address: str, message: CoreMessage) -> None:
        self._pool.send(address, MessageKind.COORDINATION, message.SerializeToString())

    def _send_all(self, sends: Sequence[SendMessage]) -> None:
        for send in sends:
            data = send.message.SerializeToString()
            if isinstance(send.connection, LinkConnection):
                send.connection.send(MessageKind.DISTRIBUTION, data)
            elif isinstance(send.connection, DialedLink):
                self._pool.send(send.connection.address, MessageKind.DISTRIBUTION, data)


def _unsure() -> asyncio.Future[Outcome]:
    answer: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
    answer.set_result(OutcomeUnknown())
    return answer


def _seeds(settings: ProcessSettings) -> tuple[tuple[str, str], ...]:
    return tuple(zip(settings.seeds, settings.seed_peers, strict=True))


def _replica_config(settings: ProcessSettings) -> ReplicaConfig:
    return ReplicaConfig(
        name=settings.node_name,
        zone=settings.zone,
        control_address=settings.listen.control,
        peer_address=settings.core_link_address,
        bootstrap=settings.bootstrap,
        seeds=_seeds(settings),
    )
