"""The data plane of an edge process."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable, Sequence

from rosechute.configuration.operator import Configuration, Tenant
from rosechute.configuration.process import ProcessSettings
from rosechute.data_plane.admission import ActiveConfiguration, AdmittedRequest, Rejection
from rosechute.data_plane.client_listener import ClientListener
from rosechute.data_plane.client_statistics import ClientStatistics
from rosechute.data_plane.connection_pool import ConnectionPool
from rosechute.data_plane.dispatcher import Dispatcher, RouterPort
from rosechute.data_plane.ports import Freshness, QuotaTokens
from rosechute.data_plane.request import SHUTDOWN_RETRY_AFTER_S, ClientRequest
from rosechute.data_plane.route_durations import RouteDurations
from rosechute.data_plane.shutdown import Shutdown
from rosechute.data_plane.traffic_split import SplitSequences
from rosechute.listening.limits import edge_link_limits
from rosechute.proxy.core.flow import Budget
from rosechute.proxy.core.shares import Descriptors, descriptors
from rosechute.proxy.http1.message import Message
from rosechute.routing.counts import Counts
from rosechute.routing.model import AttemptResult, ServerEntry

OTHER_PLANES_MEMORY_MB = 36  # memory that the rest of the process needs
DESCRIPTORS_RESERVED = 200  # file descriptors for files and listening sockets
OTHER_LISTENERS_RESERVED = 64  # file descriptors for readiness, metrics, and links that this edge opens
MIN_CONNECTIONS = 64  # lower bound of the connections that clients and servers share
LEASE_MARGIN_S = 0.3  # no request is sent this close to the expiry of the lease on the configuration
LEASE_EXPIRED_RETRY_AFTER_S = 1.0  # `Retry-After` after that lease has expired
# After this time without a confirmation there may be a newer configuration. Confirmations are due every 0.4 s.
CONFIRMATION_MAX_AGE_S = 1.0
STARTUP_ALLOWANCE_S = 2.0  # time in which configuration and endpoint lists arrive after a start of the whole fleet
NOT_READY_RETRY_AFTER_S = 0.35  # minimum `Retry-After` while they are missing
REQUESTS, REJECTED = "requests", "rejected"  # counter names
RETRY_AFTER_JITTER = 0.15  # relative jitter of `Retry-After`, so that clients do not retry simultaneously


class DataPlane:
    """Accepts requests, routes them, and forwards them and their responses. Implements `RequestContext`.

    Args:
        loop: The event loop.
        settings: Settings of the process.
        router: Selects servers.
        quota: Tokens of tenants with a quota.
        freshness: Time at which the configuration in force was confirmed last.
        clock: Returns the steady time in seconds, on the event loop's time base. It is read separately because an
            event loop may cache its time during an iteration.
        draw: Returns random numbers in [0, 1).

    Attributes:
        counts: Number of finished requests by route type and outcome, and of rejected ones by status.
        budget: Memory budget for bodies.
        pool: Connections to model servers.
        client_listener: Accepts connections of clients.
        port: Port at which it accepts them; 0 before the start.
    """

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
        self._clock = clock
        shares = _descriptors(settings)
        self.budget = Budget(_memory_mb(settings))
        self.pool = ConnectionPool(loop, self.budget, shares.servers)
        self.client_listener = ClientListener(loop, self.budget, shares.clients, self._admit, self._accept)
        self._dispatcher = Dispatcher(loop, router, self.pool)
        self._durations = RouteDurations()
        self._active_configuration: ActiveConfiguration | None = None
        self._edges = 1
        self._started = loop.time()
        self._lists: dict[str, Sequence[ServerEntry]] = {}
        self._dispatcher.apply_retry_budget(settings.bounds, self._edges)
        self._shutdown: Shutdown | None = None
        self.port = 0

    # --- start and shutdown

    async def start(self) -> None:
        """Start accepting connections of clients."""
        self._started = self.loop.time()
        self.port = self.client_listener.listen(self._settings.listen.front)

    def ready(self) -> bool:
        """Return whether requests can be served.

        This needs a configuration that was confirmed, a server that accepts requests, and no shutdown in progress.
        """
        active = self._active_configuration
        if active is None or self._shutdown is not None or self._freshness.confirmed_at() == -math.inf:
            return False
        return any(self.pool.has_ready_server(service.name) for service in active.configuration.services)

    def begin_shutdown(self) -> None:
        """Report not ready, and start draining clients' connections. Idempotent."""
        if self._shutdown is None:
            self._shutdown = Shutdown(self.loop, self.client_listener, self._durations, self._settings.bounds.grace_s)

    async def finish_shutdown(self) -> None:
        """Serve until no request is in progress or the grace period is over."""
        self.begin_shutdown()
        assert self._shutdown is not None
        await self._shutdown.finish()
        self.pool.close_all_idle()

    def unread_bytes(self) -> int:
        """Return the bytes that clients have sent and this process has not read."""
        return self.client_listener.listener.unread_bytes()

    def clients(self) -> ClientStatistics:
        """Return statistics of this edge's clients."""
        version = 0 if self._active_configuration is None else self._active_configuration.configuration.config_version
        return ClientStatistics(
            self.ready(),
            version,
            len(self.client_listener.listener.connections),
            len(self.client_listener.requests),
            self.budget.used,
            self.budget.total,
        )

    # --- from the control plane

    def apply_configuration(self, configuration: Configuration, sequence: int) -> None:
        """Apply a configuration, in one iteration of the event loop. An older sequence number is ignored."""
        previous = self._active_configuration
        if previous is not None and sequence <= previous.sequence:
            return
        self._active_configuration = ActiveConfiguration(configuration, sequence)
        self.client_listener.apply_limits(configuration.limits)
        routes = {route.name for route in configuration.routes}
        self._durations.retain(routes)
        self._splits.retain(routes)
        services = {service.name for service in configuration.services}
        self._dispatcher.forget_services(services)
        previous_services = (
            {service.name for service in previous.configuration.services} if previous is not None else set()
        )
        for name in services - previous_services:
            if name in self._lists:  # the list arrived before the service, or the service was configured again
                self._dispatcher.apply_servers(name, self._lists[name])
        self._apply_limits()

    def apply_servers(self, service: str, entries: Sequence[ServerEntry]) -> None:
        """Apply the endpoint list of a service."""
        self._lists[service] = entries
        self.pool.apply(service, entries)
        self._dispatcher.apply_servers(service, entries)

    def apply_settings(self, settings: ProcessSettings) -> None:
        """Apply changed settings, except for the listening address."""
        self._settings = settings
        shares = _descriptors(settings)
        self.budget.resize(_memory_mb(settings), 1)
        self.client_listener.resize(shares.clients)
        self.pool.resize(shares.servers)
        self._dispatcher.apply_retry_budget(settings.bounds, self._edges)

    def apply_edges(self, count: int) -> None:
        """Divide the limits of the whole fleet among this many live edges."""
        if count != self._edges:
            self._edges = max(1, count)
            self._dispatcher.apply_retry_budget(self._settings.bounds, self._edges)
            self._apply_limits()

    def _apply_limits(self) -> None:
        if self._active_configuration is None:
            return
        for service in self._active_configuration.configuration.services:
            limit = int(service.max_connections)
            self.pool.set_server_limit(service.name, max(1, limit // self._edges))
            self._dispatcher.apply_limits(service.name, limit, self._edges)

    # --- admission

    def _admit(self, message: Message, ticket: int) -> AdmittedRequest | Rejection:
        """Admit or reject a request by the configuration in force."""
        active = self._active_configuration
        if active is None:
            return self._not_ready_rejection()
        admitted = active.admit(message, ticket, self.loop.time(), self._splits.next_point)
        if isinstance(admitted, Rejection):
            self.counts.add(REJECTED, str(admitted.status))
            return self._final_or_retryable(admitted)
        if active.requires_credential(admitted.route) and not self._is_lease_valid():
            return self._not_ready_rejection()
        if admitted.service not in self._lists:
            return self._not_ready_rejection()
        if self._shutdown is not None and not self._shutdown.can_finish_in_time(admitted):
            return Rejection(503, SHUTDOWN_RETRY_AFTER_S)
        return admitted

    def _final_or_retryable(self, rejection: Rejection) -> Rejection:
        """Return the rejection, or 503 if the configuration may be outdated.

        Clients don't retry after 404 and 401, but they do after 503.
        """
        return (
            rejection if rejection.status == 400 or self._is_configuration_recent() else self._not_ready_rejection()
        )

    def _is_configuration_recent(self) -> bool:
        """Return whether the configuration in force was confirmed as the newest within `CONFIRMATION_MAX_AGE_S`."""
        return self._clock() - self._freshness.confirmed_at() < CONFIRMATION_MAX_AGE_S

    def _not_ready_rejection(self) -> Rejection:
        """Return a 503 whose `Retry-After` estimates when this edge will be ready."""
        if self._freshness.confirmed_at() == -math.inf:
            retry_s = max(NOT_READY_RETRY_AFTER_S, self._started + STARTUP_ALLOWANCE_S - self.loop.time())
        else:
            retry_s = LEASE_EXPIRED_RETRY_AFTER_S if not self._is_confirmed() else NOT_READY_RETRY_AFTER_S
        return Rejection(503, retry_s * (1.0 + RETRY_AFTER_JITTER * self._draw()))

    def _is_confirmed(self) -> bool:
        """Return whether the configuration was ever confirmed and its lease is valid."""
        return self._freshness.confirmed_at() > -math.inf and self._is_lease_valid()

    def _accept(self, message: Message, admitted: AdmittedRequest) -> ClientRequest:
        return ClientRequest(self, message, admitted)

    def _is_lease_valid(self) -> bool:
        """Return whether requests with credentials may be served.

        This needs a recent confirmation of the configuration: a newer one can't have revoked a credential for longer
        than the operator allows (`revoke_ms`).
        """
        bounds = self._settings.bounds
        if not bounds.strict_revoke:
            return True
        return self._clock() - self._freshness.confirmed_at() < bounds.revoke_ms / 1e3 - LEASE_MARGIN_S

    # --- RequestContext

    def request_quota(self, request: ClientRequest) -> None:
        """See `RequestContext`."""
        admitted = request.admitted
        if admitted.tenant is None or not admitted.cost:
            request.on_quota_decision(True, 0.0)
        else:
            self._quota.acquire(admitted.tenant.name, admitted.cost, request.on_quota_decision, admitted.priority)

    def dispatch(self, request: ClientRequest) -> None:
        """See `RequestContext`."""
        self._dispatcher.dispatch(request)

    def report_attempt(self, request: ClientRequest, server_id: str, result: AttemptResult, will_retry: bool) -> None:
        """See `RequestContext`. Also records the duration of a complete response."""
        if result is AttemptResult.DONE and not will_retry:
            self._durations.add(request.admitted.route.name, self.loop.time() - request.admitted.arrived)
        self._dispatcher.report_attempt(request, server_id, result, will_retry)

    def can_retry_elsewhere(self, request: ClientRequest) -> bool:
        """See `RequestContext`."""
        return self._dispatcher.can_retry_elsewhere(request)

    def cancel(self, request: ClientRequest) -> None:
        """See `RequestContext`."""
        self._dispatcher.cancel(request)

    def current_rejection(self, admitted: AdmittedRequest) -> Rejection | None:
        """See `RequestContext`. The route or credential was removed, or the lease has expired."""
        active = self._active_configuration
        assert active is not None
        if admitted.sequence != active.sequence:
            authorized = active.authorize(admitted.host, admitted.path, admitted.credential)
            if isinstance(authorized, Rejection):
                return self._final_or_retryable(authorized)
            if authorized[1] != admitted.tenant and _name(authorized[1]) != _name(admitted.tenant):
                return Rejection(503, NOT_READY_RETRY_AFTER_S)  # the credential now belongs to another tenant
            admitted.sequence = active.sequence
            admitted.repeatable = admitted.repeatable and authorized[0].repeatable
        if active.requires_credential(admitted.route) and not self._is_lease_valid():
            return self._not_ready_rejection()
        return None

    def on_request_finished(self, request: ClientRequest) -> None:
        """See `RequestContext`."""
        self.counts.add(REQUESTS, f"{request.admitted.route.route_type} {request.outcome}")
        self._dispatcher.on_request_finished(request)
        self.client_listener.on_request_finished(request)


def _descriptors(settings: ProcessSettings) -> Descriptors:
    """Return the connection limits of clients and of servers."""
    limits = settings.limits
    links = edge_link_limits(limits.memory_mb, limits.max_fds).connections
    reserved = DESCRIPTORS_RESERVED + OTHER_LISTENERS_RESERVED + links
    return descriptors(max(MIN_CONNECTIONS, limits.max_fds - reserved))


def _memory_mb(settings: ProcessSettings) -> int:
    """Return the memory for bodies in megabytes."""
    return max(1, int(settings.limits.memory_mb) - OTHER_PLANES_MEMORY_MB)


def _name(tenant: Tenant | None) -> str:
    return tenant.name if tenant is not None else ""
