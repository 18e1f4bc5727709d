"""Which sources are planted in, and which tests concern them."""

from __future__ import annotations

import fnmatch
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

TESTS = "tests/fleet"
PACKAGE = "tests.fleet."


@dataclass(frozen=True, slots=True)
class Area:
    """Sources and test modules, both by patterns; test modules that come first are run first."""

    name: str
    sources: Sequence[str]
    tests: Sequence[str]
    slow: Sequence[str] = ()  # of these tests, those that `--quick` leaves out

    def paths(self, root: Path) -> list[str]:
        """The source files, from the root of the tree."""
        found = {str(path.relative_to(root)) for pattern in self.sources for path in root.glob(pattern)}
        return sorted(path for path in found if not path.endswith(("__init__.py", "_pb2.py")))

    def test_modules(self, root: Path, quick: bool = False) -> list[str]:
        """The dotted names of the test modules; the quick ones only, where these are asked for."""
        names = sorted(path.stem for path in (root / TESTS).glob("test_*.py"))
        found: list[str] = []
        for pattern in self.tests:
            found += [name for name in names if fnmatch.fnmatch(name, pattern) and name not in found]
        # These plant faults of their own, to show that the simulations' checks object to them.
        found = [name for name in found if not name.endswith("_planted")]
        if quick:
            found = [name for name in found if not any(fnmatch.fnmatch(name, pattern) for pattern in self.slow)]
        return [f"{PACKAGE}{name}" for name in found]


# Fast and direct ones first.
AREAS = (
    Area(
        "coordination",
        ["rosechute/coordination/*.py"],
        [
            "test_planted_coordination*",
            "test_coordination_calm",
            "test_coordination_worst_days",
            "test_coordination_schedules",
            "test_coordination_snapshots",
            "test_coordination_random",
            "test_coordination_*",
            "test_control_replica_runtime",
        ],
        ["test_coordination_[!c]*", "test_control_replica_runtime"],
    ),
    Area(
        "storage",
        ["rosechute/storage/*.py"],
        ["test_planted_storage*", "test_storage_*", "test_processes_state", "test_control_replica_runtime"],
    ),
    Area(
        "distribution",
        ["rosechute/distribution/*.py"],
        [
            "test_planted_distribution*",
            "test_distribution_values",
            "test_distribution_message_order",
            "test_distribution_*",
            "test_messages_*",
        ],
        [
            "test_distribution_clusters",
            "test_distribution_token_cache",
            "test_distribution_lo*",
            "test_messages_links",
        ],
    ),
    Area(
        "control",
        ["rosechute/control_plane/*.py"],
        [
            "test_planted_control*",
            "test_control_*",
            "test_quota_rate_leases",
            "test_distribution_token_cache",
            "test_quota_*",
        ],
        ["test_distribution_token_cache", "test_quota_sum", "test_control_replica_runtime"],
    ),
    Area(
        "token_cache",
        [
            f"rosechute/routing/{name}.py"
            for name in (
                "token_cache",
                "tenant_tokens",
                "waiting_queue",
                "demand_meter",
                "leader_requests",
                "token_cache_policy",
                "rate_lease",
                "lease_exchange",
            )
        ],
        [
            "test_planted_token_cache*",
            "test_routing_waiting_queue",
            "test_quota_rate_leases",
            "test_distribution_token_cache",
            "test_quota_*",
        ],
        ["test_quota_sum"],
    ),
    Area(
        "requests",
        [
            "rosechute/data_plane/request*.py",
            "rosechute/data_plane/client_response.py",
            "rosechute/data_plane/server_request.py",
            "rosechute/data_plane/inactivity.py",
            "rosechute/data_plane/route_durations.py",
            *(
                f"rosechute/data_plane/{name}.py"
                for name in ("attempt", "attempt_outcome", "connection_pool", "admission", "shutdown")
            ),
        ],
        [
            "test_planted_data_plane*",
            "test_data_plane_route_durations",
            "test_data_plane_requests",
            "test_data_plane_races",
            "test_data_plane_protocol",
            "test_data_plane_connection_pool",
            "test_data_plane_event_stream",
            "test_data_plane_streams",
            "test_data_plane_shutdown",
            "test_data_*",
        ],
        ["test_data_plane_checkers", "test_data_plane_random_schedules", "test_data_plane_uvloop"],
    ),
)


def area_of(path: str, root: Path) -> Area:
    """The area that a source file belongs to."""
    return next(area for area in AREAS if path in area.paths(root))
