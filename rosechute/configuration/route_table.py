"""Look-up of routes by host and path, and of tenants by API key."""

from __future__ import annotations

from rosechute.configuration.operator import Configuration, Route, Tenant


class RouteTable:
    """An immutable index of a configuration."""

    def __init__(self, configuration: Configuration) -> None:
        """Index a configuration."""
        self.configuration = configuration
        hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._hosts = {host: _HostRoutes(routes) for host, routes in hosts.items()}
        self._tenants = {key: tenant for tenant in configuration.tenants for key in tenant.api_keys}

    @property
    def has_tenants(self) -> bool:
        """Return whether requests need an API key, unless their route is public."""
        return bool(self.configuration.tenants)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest one that matches.

        Args:
            host: Value of the `Host` header, with or without a port.
            path: Path of the request.

        Returns:
            The route; None if no prefix matches.
        """
        routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(host_name(host))
        return None if routes is None else routes.find(path)

    def find_tenant(self, key: str) -> Tenant | None:
        """Return the tenant that an API key belongs to; None if it belongs to none."""
        return self._tenants.get(key)


class _HostRoutes:
    """The routes of one host. A look-up costs one dictionary access for each distinct length of a prefix."""

    def __init__(self, routes: dict[str, Route]) -> None:
        self._routes = routes
        self._lengths = sorted({len(prefix) for prefix in routes}, reverse=True)

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path; None if no prefix matches."""
        available = len(path)
        for length in self._lengths:
            if length <= available:
                route = self._routes.get(path[:length])
                if route is not None:
                    return route
        return None


def host_name(host: str) -> str:
    """Return the name in a `Host` header, without its port and in lower case; an IPv6 address keeps its brackets."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()
