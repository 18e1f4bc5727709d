"""Look-up of routes and tenants in a configuration."""

from __future__ import annotations

from rosechute.configuration.operator import Configuration, Route, Tenant


class RouteTable:
    """The routes by host and prefix, and the tenants by key. Never changes once it is made."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._hosts = {host: _HostRoutes(routes) for host, routes in hosts.items()}
        self._tenants = {key: tenant for tenant in configuration.tenants for key in tenant.api_keys}

    @property
    def has_tenants(self) -> bool:
        """Whether requests need a key, unless their route is public."""
        return bool(self.configuration.tenants)

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of this path at this host, which may carry a port."""
        routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(host_name(host))
        return None if routes is None else routes.find(path)

    def tenant(self, key: str) -> Tenant | None:
        """The tenant that holds this key."""
        return self._tenants.get(key)


class _HostRoutes:
    """The routes of one host: a look-up costs one access for each length that a prefix has."""

    def __init__(self, routes: dict[str, Route]) -> None:
        self._routes = routes
        self._lengths = sorted({len(prefix) for prefix in routes}, reverse=True)

    def find(self, path: str) -> Route | None:
        """The route with the longest prefix of this path."""
        available = len(path)
        for length in self._lengths:
            if length <= available:
                route = self._routes.get(path[:length])
                if route is not None:
                    return route
        return None


def host_name(host: str) -> str:
    """The name in a `Host` header: without port, in lower case."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()
