"""A core machine: connects replica, records, links, publisher, operator API, endpoint list reader and quotas.

The machine listens as soon as it starts. Until its records are loaded, it answers every write and read with "outcome
unknown" (HTTP 503). Everything runs on one event loop, except for disk reads and writes, which run in threads.

The runtime drives the replica and notifies this machine (`ReplicaObserver`). The operator API proposes writes to this
machine (`ConfigurationStore`). The links deliver messages from core machines and edges. The endpoint list reader
delivers the platform's list while this machine is the leader. docs/architecture.md has a diagram.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from aiohttp import web
from loguru import logger

from rosechute.configuration.process import ProcessSettings
from rosechute.coordination.outcomes import CommittedConfiguration, Outcome, OutcomeUnknown
from rosechute.coordination.replica import Replica
from rosechute.distribution.actions import SendMessage
from rosechute.distribution.core_directory import CoreAddress
from rosechute.distribution.publisher import Publisher, PublisherState
from rosechute.distribution.values import ListedServer
from rosechute.listening.limits import control_limits, core_link_limits
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.coordination_pb2 import CoreMessage
from rosechute.messages.link_connection import LinkConnection
from rosechute.proxy.core.listener_supervisor import ListenerSupervisor
from rosechute.storage.writer import StoreWriter

from .core_links import CoreLinks
from .core_report import CoreReport, build_core_report
from .endpoint_list_client import EndpointListClient
from .endpoint_list_reader import EndpointListReader
from .handover import hand_over
from .operator_api import OperatorApi
from .quota_service import QUOTA_TOKENS, QuotaService
from .rate_lease_owners import OwnerStatement
from .record_loading import load_records_until_readable
from .replica_runtime import TICK_S, ReplicaRuntime
from .replica_settings import replica_config, seed_addresses

LINKS, CONTROL = "links", "control"  # names of the listeners
STALL_LOG_THRESHOLD_S = 0.5  # delay of a tick that is logged; far above the scheduling jitter of a loaded machine


class CoreMachine:
    """One core machine; all its parts run on one event loop.

    Attributes:
        has_failed: Set once a fault in the program has ended its work.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        extend_api: Callable[[web.Application], None] | None = None,
        listeners: ListenerSupervisor | None = None,
    ) -> None:
        """Create the parts without starting them.

        Args:
            settings: Settings of the process.
            extend_api: Adds routes, such as the state page, to the operator API; called once, by `start`.
            listeners: Opens the listeners; one of its own by default, which reports nothing.
        """
        self.has_failed = asyncio.Event()
        self._settings = settings
        self._listeners = listeners or ListenerSupervisor(lambda event: None)
        self._clock = time.monotonic
        self._draw = random.SystemRandom().random
        self._runtime: ReplicaRuntime | None = None
        self._writer: StoreWriter | None = None
        self._quota = QuotaService(settings.bounds)
        self._publisher = Publisher(self._quota.answer)
        self._core_addresses: tuple[CoreAddress, ...] = ()
        memory_mb, max_fds = settings.limits.memory_mb, settings.limits.max_fds
        self._links = CoreLinks(
            settings.core_link_address,
            self._on_coordination,
            self._on_distribution,
            self._on_link_closed,
            core_link_limits(memory_mb, max_fds),
        )
        self._api = OperatorApi(self, settings.listen.control, extend_api, control_limits(memory_mb, max_fds))
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

    # Start and stop

    async def start(self) -> None:
        """Listen, and start everything else in the background."""
        await self._listeners.open(LINKS, self._links.start)
        await self._listeners.open(CONTROL, self._api.start)
        self._task = asyncio.create_task(self._run(), name="core machine")

    async def stop(self) -> None:
        """Hand over to the other core machines, then close everything. Writes in flight may be lost."""
        self._listeners.close()
        if self._task is not None:
            self._task.cancel()
        if self._runtime is not None:
            await hand_over(self._runtime, self._clock)
        if self._next_tick is not None:
            self._next_tick.cancel()
        if self._writer is not None:
            self._writer.stop()
        await self._api.stop()
        await self._endpoint_list_client.close()
        self._links.close()

    async def _run(self) -> None:
        """Do the work of the machine until cancelled, or until a fault in the program ends it."""
        try:
            await self._work()
        except Exception:
            logger.exception("core machine fault")
            self.has_failed.set()

    async def _work(self) -> None:
        """Load the records, start the replica, then read the endpoint list until cancelled.

        The addresses come first: a process that still holds one may also still write the records.
        """
        for listener in (LINKS, CONTROL):
            await self._listeners.wait_until_open(listener)
        store, records = await load_records_until_readable(self._settings.data_dir)
        loop = asyncio.get_running_loop()
        self._writer = StoreWriter(store, loop.call_soon_threadsafe, self._clock)
        self._writer.start()
        replica = Replica(replica_config(self._settings), records, self._clock(), self._draw)
        self._runtime = ReplicaRuntime(
            replica,
            self._writer,
            self._links.send_to_core,
            self,
            self._clock,
            snapshot_first=not store.can_append,
        )
        self._runtime.start()
        logger.info("records loaded replica={} records={}", replica.identity.id, len(records))
        self._tick(self._runtime, self._clock())
        await self._endpoint_list_reader.run()

    def _tick(self, runtime: ReplicaRuntime, due_at: float) -> None:
        """Advance replica and publisher; the next tick is scheduled first, in case this one raises."""
        now = self._clock()
        self._next_tick = asyncio.get_running_loop().call_later(TICK_S, self._tick, runtime, now + TICK_S)
        if now - due_at > STALL_LOG_THRESHOLD_S:
            logger.warning("event loop stalled seconds={:.1f}", now - due_at)
        runtime.tick()
        self._persist_rate_lease_owners(now, runtime)
        self._send_to_edges(self._publisher.tick(now))

    # Settings and reports

    def change_settings(self, settings: ProcessSettings) -> None:
        """Apply changed settings. Changed addresses of this machine take effect at its next start."""
        self._settings = settings
        self._quota.change_bounds(self._clock(), settings.bounds)
        self._endpoint_list_client.address = settings.cloud_api.address
        if self._runtime is not None:
            self._runtime.replica.update_seeds(seed_addresses(settings))

    def report(self) -> CoreReport | None:
        """Return the state of this machine for operators; None until its records are loaded."""
        if self._runtime is None or self._writer is None:
            return None
        now = self._clock()
        pending_since = self._writer.oldest_pending_since()
        write_age_s = 0.0 if pending_since is None else now - pending_since
        return build_core_report(self._runtime.replica, now, write_age_s, self._publisher.edges_total(now))

    def shed_counts(self) -> dict[str, float]:
        """Return the connections closed since the start to keep to the limits of a listener, by listener."""
        return {"control": self._api.shed_total(), "links": self._links.shed_total()}

    def quota_counts(self) -> dict[str, float]:
        """Return the quota tokens requested, issued and deposited by this machine since its start, by kind."""
        return self._quota.counts.of(QUOTA_TOKENS)

    def rate_leases_known(self) -> bool:
        """Return whether this machine, as the leader, knows all rate leases that may be in force."""
        return self._quota.all_leases_known(self._clock())

    # ConfigurationStore, called by the operator API

    def propose_write(self, base_version: int, version: int, body: bytes, digest: bytes) -> asyncio.Future[Outcome]:
        """Propose a configuration to the replica; return `OutcomeUnknown` until the records are loaded."""
        if self._runtime is None:
            return _outcome_unknown()
        return self._runtime.propose_write(base_version, version, body, digest)

    def read(self) -> asyncio.Future[Outcome]:
        """Read the newest acknowledged configuration; return `OutcomeUnknown` until the records are loaded."""
        return _outcome_unknown() if self._runtime is None else self._runtime.read()

    # ReplicaObserver, called by the runtime

    def committed(self, configuration: CommittedConfiguration) -> None:
        """Publish a newly committed configuration and apply its quotas."""
        now = self._clock()
        self._quota.configuration_committed(now, configuration.body)
        sequence, version, body = configuration.sequence, configuration.version, configuration.body
        self._send_to_edges(self._publisher.configuration_committed(now, sequence, version, body))

    def leadership_gained(self, term: int, rate_lease_owners: frozenset[str] | None = None) -> None:
        """Act as the leader from now on.

        Args:
            term: Term of the leader lease; higher than every earlier term.
            rate_lease_owners: Names of all edges that may own rate leases of earlier terms; None if unknown.
        """
        now = self._clock()
        owners = "unknown" if rate_lease_owners is None else len(rate_lease_owners)
        logger.info("became leader term={} rate_lease_owners={}", term, owners)
        self._quota.leadership_gained(now, term, rate_lease_owners)
        self._send_to_edges(self._publisher.leadership_gained(now, term))
        self._endpoint_list_reader.leadership_gained()

    def leadership_lost(self) -> None:
        """Stop acting as the leader; do nothing if this machine is not the leader."""
        if self._publisher.state is not PublisherState.LEADER:
            return
        logger.info("lost leadership term={}", self._publisher.term)
        self._send_to_edges(self._publisher.leadership_lost(self._clock()))

    def rate_lease_owners_persisted(self, term: int, edges: frozenset[str] | None) -> None:
        """Allow rate leases for these edges, whose names a majority has stored; None allows any edge."""
        self._quota.rate_lease_owners_persisted(term, OwnerStatement(edges))

    def _persist_rate_lease_owners(self, now: float, runtime: ReplicaRuntime) -> None:
        """Replicate the set of possible rate lease owners if it has changed and this machine is the leader."""
        if self._publisher.state is not PublisherState.LEADER or not runtime.replica.is_leader(now):
            return
        statement = self._quota.rate_lease_owners_to_persist(now)
        if statement is not None:
            runtime.persist_rate_lease_owners(self._publisher.term, statement.edges)

    # Endpoint list

    def _list_calls_per_s(self) -> float:
        """Return the rate of calls that the platform accepts from all core machines together."""
        return self._settings.cloud_api.rate_per_s

    def _leader_term(self) -> int | None:
        """Return the term of the leader lease that this machine holds; None if it holds none."""
        is_leader = self._runtime is not None and self._runtime.replica.is_leader(self._clock())
        return self._publisher.term if is_leader else None

    def _publish_servers(self, servers: Sequence[ListedServer]) -> None:
        self._send_to_edges(self._publisher.endpoint_list_read(self._clock(), servers))

    # Messages from core machines and edges

    def _on_coordination(self, data: bytes) -> None:
        """Pass a message from another core machine to the replica; drop it until the records are loaded."""
        if self._runtime is not None:
            self._runtime.receive(CoreMessage.FromString(data))

    def _on_distribution(self, connection: LinkConnection, data: bytes) -> None:
        """Answer a message from an edge, based on the current state of the replica."""
        now = self._clock()
        if self._runtime is not None:
            self._refresh_publisher(now, self._runtime.replica)
        self._send_to_edges(self._publisher.receive(now, connection, pb.Distribution.FromString(data)))

    def _on_link_closed(self, connection: LinkConnection) -> None:
        self._publisher.connection_closed(self._clock(), connection)

    def _send_to_edges(self, messages: Sequence[SendMessage]) -> None:
        self._links.send_to_edges(messages)

    def _refresh_publisher(self, now: float, replica: Replica) -> None:
        """Update the publisher from the replica: leadership, freshness, leader address and core addresses.

        When a suspended process resumes, a message may arrive before a tick notices that the lease has expired.
        """
        if self._publisher.state is PublisherState.LEADER and not replica.is_leader(now):
            self.leadership_lost()
        freshness = replica.freshness(now)
        if freshness is not None:
            self._publisher.update_freshness(now, *freshness)
        leader = replica.leader_hint()
        is_other = leader is not None and leader.id != replica.identity.id
        self._publisher.set_leader_address(leader.peer_address if leader is not None and is_other else None)
        self._refresh_core_addresses(replica)

    def _refresh_core_addresses(self, replica: Replica) -> None:
        """Update the addresses of the core machines in the publisher if they have changed."""
        machines = replica.core_machines()
        addresses = tuple(CoreAddress(each.id, each.peer_address, each.control_address) for each in machines)
        if addresses != self._core_addresses:
            self._core_addresses = addresses
            self._publisher.set_core_machines(addresses)


def _outcome_unknown() -> asyncio.Future[Outcome]:
    future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
    future.set_result(OutcomeUnknown())
    return future
