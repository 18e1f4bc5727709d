"""A valid operator's configuration and a settings file, as plain data that tests change before they encode it."""

from __future__ import annotations

from typing import Any

import msgspec


def configuration() -> dict[str, Any]:
    """A configuration that uses every field."""
    return {
        "config_version": 4,
        "routes": [
            {
                "name": "berths",
                "host": "Harbour.example",
                "path_prefix": "/berths/",
                "route_type": "streaming",
                "timeout_ms": 2500.0,
                "target_latency_ms": 400,
                "priority": 1,
                "max_attempts": 2,
                "traffic_split": [{"service": "pilot", "weight": 3}, {"service": "ledger", "weight": 1}],
                "public_access": False,
                "sticky": True,
                "stream_resume": True,
                "gap_aim_ms": 300,
            },
            {
                "name": "tides",
                "host": "harbour.example",
                "path_prefix": "/berths/tides/",
                "route_type": "idempotent",
                "timeout_ms": 900,
                "target_latency_ms": 100,
                "priority": 0,
                "service": "ledger",
                "max_attempts": 3,
                "public_access": True,
            },
        ],
        "services": [
            {
                "name": "pilot",
                "health_path": "/well",
                "max_connections": 40,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 16,
                    "kv_capacity": 90000,
                    "kv_token_bytes": 4096,
                    "link_mbps": 5000.0,
                    "stride": 4,
                    "models": [{"name": "m"}],
                },
            },
            {"name": "ledger", "health_path": "/well", "max_connections": 12, "protocol": "h1", "tls": False},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 65536,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 9000,
        },
        "tenants": [
            {
                "name": "ferries",
                "api_keys": ["k-one", "k-two"],
                "priority": 1,
                "unit": "token_stream",
                "uncached_tokens": 150,
                "rate_per_s": 5000,
                "burst": 2500,
            },
            {"name": "tugs", "api_keys": ["k-three"]},
        ],
    }


def settings() -> dict[str, Any]:
    """Settings of an edge process."""
    return {
        "node_name": "edge-pier-1",
        "role": "edge",
        "machine_class": "edge",
        "serves": ["edge"],
        "ip": "127.0.3.1",
        "zone": "pier",
        "region": "bay",
        "zones": {"pier": "bay"},
        "listen": {"front": "127.0.3.1:8080", "readiness": "127.0.3.1:8081"},
        "port_range": [7100, 7115],
        "seeds": ["127.0.2.1:9000", "127.0.2.2:9000"],
        "bootstrap": True,
        "counts_for_quorum": False,
        "limits": {"cpu_share": 0.5, "cores": 2, "memory_mb": 200, "max_fds": 2000, "link_mbps": 100.0, "disk_mb": 0},
        "data_dir": None,
        "discovery": "cloud_api",
        "entry_mode": "vip",
        "heartbeat_ms": 1200,
        "contracts": ["base", "quota"],
        "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": {"drain_ms": 1500, "revoke_ms": 4000, "strict_revoke": False},
        "cloud_api": {"address": "127.0.1.1:8300", "rate_per_s": 20.0, "duties": [], "max_lag_ms": 500},
    }


def encode(value: Any) -> bytes:
    """The value as JSON."""
    return msgspec.json.encode(value)
