"""The data plane of an edge process, put together from its parts."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable, Sequence

from hollyport.core.flow import Budget
from hollyport.core.shares import Descriptors, descriptors
from hollyport.http1.message import Message
from rosechute.configuration.operator import Configuration, Tenant
from rosechute.configuration.process import ProcessSettings
from rosechute.data_plane.admission import ActiveConfiguration, AdmittedRequest, Rejection
from rosechute.data_plane.client_listener import Front
from rosechute.data_plane.client_statistics import ClientStatistics
from rosechute.data_plane.connection_pool import Servers
from rosechute.data_plane.dispatcher import Dispatcher, RouterPort
from rosechute.data_plane.ports import Freshness, QuotaTokens
from rosechute.data_plane.request import SHUTDOWN_RETRY_AFTER_S, ClientRequest
from rosechute.data_plane.route_durations import RouteDurations
from rosechute.data_plane.shutdown import Shutdown
from rosechute.data_plane.traffic_split import SplitSequences
from rosechute.routing.counts import Counts
from rosechute.routing.model import AttemptResult, ServerEntry

OTHER_PLANES_MEMORY_MB = 36  # memory of the program beyond the data plane's own
DESCRIPTORS_RESERVED = 200  # of all: for files outside the data folder
LINKS_RESERVED = 128  # descriptors for the links between processes
MIN_CONNECTIONS = 64  # descriptors that clients and servers get in any case
LEASE_MARGIN_S = 0.3  # a request is sent no later than so long before the lease on the configuration ends
LEASE_EXPIRED_RETRY_AFTER_S = 1.0  # when to come back where the lease has ended
CONFIRMATION_MAX_AGE_S = (
    1.0  # without a confirmation for so long there may be a newer configuration; one is due every 0.4 s
)
STARTUP_ALLOWANCE_S = 2.0  # after a start of everything at once, configuration and lists are here within so long
NOT_READY_RETRY_AFTER_S = 0.35  # when to come back at the earliest where they are not
REQUESTS, REJECTED = "requests", "turned_away"  # events that are counted
RETRY_AFTER_JITTER = 0.15  # part of such a time by which clients are spread


class DataPlane:
    """Takes requests of clients, has them routed, and carries them to servers and back. The requests' desk."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: ProcessSettings,
        router: RouterPort,
        quota: QuotaTokens,
        freshness: Freshness,
        clock: Callable[[], float] = time.monotonic,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.loop = loop
        self._settings, self._quota, self._freshness, self._draw = settings, quota, freshness, draw
        self._splits = SplitSequences(draw)
        self.counts = Counts()
        self._clock = clock  # the loop's clock, read anew: the loop's own time stands still while a turn lasts
        shares = _descriptors(settings)
        self.budget = Budget(_memory_mb(settings))
        self.servers = Servers(loop, self.budget, shares.servers)
        self.front = Front(loop, self.budget, shares.clients, self._admit, self._take)
        self._dispatcher = Dispatcher(loop, router, self.servers)
        self._durations = RouteDurations()
        self._active_configuration: ActiveConfiguration | None = None
        self._edges = 1
        self._started = loop.time()
        self._lists: dict[str, Sequence[ServerEntry]] = {}
        self._dispatcher.apply_retry_budget(settings.bounds, self._edges)
        self._shutdown: Shutdown | None = None
        self.port = 0  # at which clients are taken

    # --- life

    async def start(self) -> None:
        """Listen for clients."""
        self._started = self.loop.time()
        self.port = self.front.listen(self._settings.listen.front)

    def ready(self) -> bool:
        """Whether requests can be served."""
        active = self._active_configuration
        if active is None or self._shutdown is not None or self._freshness.confirmed_at() == -math.inf:
            return False
        return any(self.servers.any_of(service.name) for service in active.configuration.services)

    def begin_shutdown(self) -> None:
        """Be no longer ready, and let each answer be the last on its connection. Told twice, the first one holds."""
        if self._shutdown is None:
            self._shutdown = Shutdown(self.loop, self.front, self._durations, self._settings.bounds.grace_s)

    async def finish_shutdown(self) -> None:
        """Serve on until nothing is open or the time is over."""
        self.begin_shutdown()
        assert self._shutdown is not None
        await self._shutdown.finish()
        self.servers.close_all_idle()

    def clients(self) -> ClientStatistics:
        """What it tells of its clients."""
        version = 0 if self._active_configuration is None else self._active_configuration.configuration.config_version
        return ClientStatistics(
            self.ready(),
            version,
            len(self.front.listener.connections),
            len(self.front.requests),
            self.budget.used,
            self.budget.total,
        )

    # --- what the control plane says

    def apply_configuration(self, configuration: Configuration, sequence: int) -> None:
        """Go by this configuration from now on, whole and in one turn. An older one is left aside."""
        before = self._active_configuration
        if before is not None and sequence <= before.sequence:
            return
        self._active_configuration = ActiveConfiguration(configuration, sequence)
        self.front.apply_limits(configuration.limits)
        routes = {route.name for route in configuration.routes}
        self._durations.keep(routes)
        self._splits.keep(routes)
        kept = {service.name for service in configuration.services}
        self._dispatcher.forget_services(kept)
        had = {service.name for service in before.configuration.services} if before is not None else set()
        for name in kept - had:
            if name in self._lists:  # it came before its service, or from a time when the service was known
                self._dispatcher.apply_servers(name, self._lists[name])
        self._apply_limits()

    def apply_servers(self, service: str, entries: Sequence[ServerEntry]) -> None:
        """Go by this list of a service's servers from now on."""
        self._lists[service] = entries
        self.servers.apply(service, entries)
        self._dispatcher.apply_servers(service, entries)

    def apply_settings(self, settings: ProcessSettings) -> None:
        """Go by these settings from now on; the address at which clients are taken stays."""
        self._settings = settings
        shares = _descriptors(settings)
        self.budget.resize(_memory_mb(settings), 1)
        self.front.resize(shares.clients)
        self.servers.resize(shares.servers)
        self._dispatcher.apply_retry_budget(settings.bounds, self._edges)

    def apply_edges(self, count: int) -> None:
        """So many edges share what is limited over all of them."""
        if count != self._edges:
            self._edges = max(1, count)
            self._dispatcher.apply_retry_budget(self._settings.bounds, self._edges)
            self._apply_limits()

    def _apply_limits(self) -> None:
        if self._active_configuration is None:
            return
        for service in self._active_configuration.configuration.services:
            most = int(service.max_connections)
            self.servers.share(service.name, max(1, most // self._edges))
            self._dispatcher.apply_limits(service.name, most, self._edges)

    # --- requests in

    def _admit(self, message: Message, ticket: int) -> AdmittedRequest | Rejection:
        """Read a request by the configuration in force."""
        active = self._active_configuration
        if active is None:
            return self._not_ready_rejection()
        admitted = active.admit(message, ticket, self.loop.time(), self._splits.next_point)
        if isinstance(admitted, Rejection):
            self.counts.add(REJECTED, str(admitted.status))
            return self._refusal(admitted)
        if active.requires_credential(admitted.route) and not self._is_lease_valid():
            return self._not_ready_rejection()
        if admitted.service not in self._lists:
            return self._not_ready_rejection()
        if self._shutdown is not None and not self._shutdown.can_finish_in_time(admitted):
            return Rejection(503, SHUTDOWN_RETRY_AFTER_S)
        return admitted

    def _refusal(self, refusal: Rejection) -> Rejection:
        """A refusal by the configuration in force. While that may be out of date, nobody is told for good that there
        is no such route or key: 503 may be tried again."""
        return refusal if refusal.status == 400 or self._is_configuration_recent() else self._not_ready_rejection()

    def _is_configuration_recent(self) -> bool:
        """Whether no newer configuration than the one in force can have been acknowledged for more than a moment."""
        return self._clock() - self._freshness.confirmed_at() < CONFIRMATION_MAX_AGE_S

    def _not_ready_rejection(self) -> Rejection:
        """Come back when this edge is likely to know what it needs."""
        if self._freshness.confirmed_at() == -math.inf:
            retry_s = max(NOT_READY_RETRY_AFTER_S, self._started + STARTUP_ALLOWANCE_S - self.loop.time())
        else:
            retry_s = LEASE_EXPIRED_RETRY_AFTER_S if not self._is_confirmed() else NOT_READY_RETRY_AFTER_S
        return Rejection(503, retry_s * (1.0 + RETRY_AFTER_JITTER * self._draw()))

    def _is_confirmed(self) -> bool:
        """Whether the configuration in force is the newest one, as far as its lease says."""
        return self._freshness.confirmed_at() > -math.inf and self._is_lease_valid()

    def _take(self, message: Message, admitted: AdmittedRequest) -> ClientRequest:
        return ClientRequest(self, message, admitted)

    def _is_lease_valid(self) -> bool:
        """Whether keys may be served: the configuration was known to be the newest one so lately that a newer one
        can't have taken a key away for too long."""
        bounds = self._settings.bounds
        if not bounds.strict_revoke:
            return True
        return self._clock() - self._freshness.confirmed_at() < bounds.revoke_ms / 1e3 - LEASE_MARGIN_S

    # --- the requests' Desk

    def request_quota(self, request: ClientRequest) -> None:
        """Ask whether the tenant's quota allows it."""
        admitted = request.admitted
        if admitted.tenant is None or not admitted.cost:
            request.on_quota_decision(True, 0.0)
        else:
            self._quota.acquire(admitted.tenant.name, admitted.cost, request.on_quota_decision, admitted.priority)

    def dispatch(self, request: ClientRequest) -> None:
        """Hand it to the router."""
        self._dispatcher.dispatch(request)

    def report_attempt(self, request: ClientRequest, server_id: str, result: AttemptResult, again: bool) -> None:
        """Tell the router how an attempt ended or went on."""
        if result is AttemptResult.DONE and not again:
            self._durations.add(request.admitted.route.name, self.loop.time() - request.admitted.arrived)
        self._dispatcher.report_attempt(request, server_id, result, again)

    def can_retry_elsewhere(self, request: ClientRequest) -> bool:
        """Whether the router would send it to another server now if the one that it is at failed it."""
        return self._dispatcher.can_retry_elsewhere(request)

    def cancel(self, request: ClientRequest) -> None:
        """Tell the router that nothing more is wanted for it."""
        self._dispatcher.cancel(request)

    def current_rejection(self, admitted: AdmittedRequest) -> Rejection | None:
        """Why it may not be sent now: its route or key is gone, or the lease on the configuration has ended."""
        active = self._active_configuration
        assert active is not None
        if admitted.sequence != active.sequence:
            allowed = active.allows(admitted.host, admitted.path, admitted.key)
            if isinstance(allowed, Rejection):
                return self._refusal(allowed)
            if allowed[1] != admitted.tenant and _name(allowed[1]) != _name(admitted.tenant):
                return Rejection(503, NOT_READY_RETRY_AFTER_S)  # the key is another tenant's by now
            admitted.sequence = active.sequence
            admitted.repeatable = admitted.repeatable and allowed[0].repeatable
        if active.requires_credential(admitted.route) and not self._is_lease_valid():
            return self._not_ready_rejection()
        return None

    def on_request_finished(self, request: ClientRequest) -> None:
        """It is over: nothing more comes of it."""
        self.counts.add(REQUESTS, f"{request.admitted.route.route_type} {request.outcome}")
        self._dispatcher.on_request_finished(request)
        self.front.on_request_finished(request)


def _descriptors(settings: ProcessSettings) -> Descriptors:
    """How many connections clients and servers may hold."""
    return descriptors(max(MIN_CONNECTIONS, settings.limits.max_fds - DESCRIPTORS_RESERVED - LINKS_RESERVED))


def _memory_mb(settings: ProcessSettings) -> int:
    """Memory of the data plane."""
    return max(1, int(settings.limits.memory_mb) - OTHER_PLANES_MEMORY_MB)


def _name(tenant: Tenant | None) -> str:
    return tenant.name if tenant is not None else ""
