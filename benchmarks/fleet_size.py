"""The size that the router fleet is built towards, and configurations and lists of any size. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec

from rosechute.distribution.values import ListedServer

DAY_S = 86_400.0
ZONES = ("east-1", "east-2", "west-1", "west-2")  # the first two are one region, the last two the other
HOST = "fleet.example"


@dataclass(frozen=True, slots=True)
class Size:
    """What issue 27 names."""

    edges: int = 350
    servers: int = 6_800
    services: int = 13
    tenants: int = 210
    sessions: int = 2_600_000
    prefixes: int = 11_000
    requests_per_s: float = 3_700.0
    tokens_per_s: float = 1_100_000.0
    changes_a_day: float = 37_000.0
    in_force_s: float = 5.0
    control_core: float = 0.012  # of a core, each edge
    control_mb: float = 256.0
    control_kb_s: float = 10.0
    core_machines: int = 8
    fail_a_day: int = 61
    restart_a_day: int = 370

    @property
    def changes_per_s(self) -> float:
        """Changes of the configuration a second, in the mean over a day."""
        return self.changes_a_day / DAY_S

    @property
    def edges_a_zone(self) -> float:
        """Edges of one zone."""
        return self.edges / len(ZONES)

    @property
    def servers_a_service(self) -> float:
        """Servers of one service."""
        return self.servers / self.services


SIZE = Size()


def service_name(number: int) -> str:
    """The name of a service."""
    return f"model-{number:02d}"


def configuration(routes: int, tenants: int, version: int = 1, services: int = SIZE.services) -> bytes:
    """A configuration of so many routes and tenants, with keys of 20 random characters; the same for equal sizes."""
    draw = random.Random(1)
    letters = "0123456789abcdefghijklmnopqrstuvwxyz"
    key = lambda: "".join(draw.choices(letters, k=20))  # noqa: E731
    return msgspec.json.encode(
        {
            "config_version": version,
            "routes": [
                {
                    "name": f"r-{key()[:7]}",
                    "host": HOST,
                    "path_prefix": f"/{key()[:6]}/",
                    "route_type": "streaming",
                    "timeout_ms": 30_000 + version % 997 if number == 0 else 30_000,
                    "target_latency_ms": 1500,
                    "priority": number % 3,
                    "service": service_name(number % services),
                    "max_attempts": 2,
                    "public_access": False,
                    "sticky": True,
                    "stream_resume": True,
                    "gap_aim_ms": 600,
                }
                for number in range(routes)
            ],
            "services": [
                {
                    "name": service_name(number),
                    "health_path": "/health",
                    "max_connections": 830,
                    "protocol": "h1",
                    "tls": False,
                    "engine": {
                        "slots": 64,
                        "kv_capacity": 400_000,
                        "kv_token_bytes": 18_432,
                        "link_mbps": 280_000.0,
                        "stride": 6,
                        "models": [{"name": "m"}],
                    },
                }
                for number in range(services)
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [
                {
                    "name": f"t-{number:04d}",
                    "api_keys": [key(), key()],
                    "priority": number % 3,
                    "unit": "token_stream",
                    "uncached_tokens": 200,
                    "rate_per_s": 81_813,
                    "burst": 81_813,
                }
                for number in range(tenants)
            ],
        }
    )


def server(number: int, services: int = SIZE.services, ready: bool = True) -> ListedServer:
    """One entry of the list; services and zones in turn."""
    return ListedServer(
        id=f"i-{number * 2654435761 % 2**32:08x}",
        service=service_name(number % services),
        address=f"10.{1 + number // 62_500}.{number // 250 % 250}.{number % 250}:8080",
        zone=ZONES[number // services % len(ZONES)],
        slots=64,
        ready=ready,
    )


def servers(count: int, services: int = SIZE.services) -> list[ListedServer]:
    """The list."""
    return [server(number, services) for number in range(count)]
