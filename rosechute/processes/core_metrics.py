"""What a core machine tells as metrics. docs/fleet/metrics.md explains the names to operators."""

from __future__ import annotations

import math
from collections.abc import Callable

from rosechute.control_plane.core_machine import CoreMachine
from rosechute.control_plane.core_report import CoreReport
from rosechute.processes.metrics import Family, by_kind, single


def core_families(machine: CoreMachine) -> list[Family]:
    """The figures of one core process. Until its records are loaded, only those that need none."""

    def figure(read: Callable[[CoreReport], float | None]) -> Callable[[], float]:
        def value() -> float:
            report = machine.report()
            found = read(report) if report is not None else None
            return math.nan if found is None else float(found)

        return value

    return [
        Family("leader", "Whether this machine leads.", (), single(figure(lambda report: report.leader))),
        Family(
            "term",
            "Newest term of the leader lease that is known here.",
            (),
            single(figure(lambda report: report.term)),
        ),
        Family("epoch", "Number of the agreed view.", (), single(figure(lambda report: report.epoch))),
        Family("acceptors", "Machines of the view.", (), single(figure(lambda report: len(report.acceptors)))),
        Family("chain_length", "Machines of the chain.", (), single(figure(lambda report: len(report.chain)))),
        Family(
            "config_version",
            "Version of the newest configuration that is known to stay.",
            (),
            single(figure(lambda report: report.config_version)),
        ),
        Family(
            "config_sequence",
            "Its place among all that were taken.",
            (),
            single(figure(lambda report: report.config_sequence)),
        ),
        Family(
            "config_age_seconds",
            "For how long it is not confirmed to be the newest.",
            (),
            single(figure(lambda report: None if report.config_age_ms is None else report.config_age_ms / 1e3)),
        ),
        Family(
            "disk_write_age_seconds",
            "Age of the oldest write that the disk has not finished.",
            (),
            single(figure(lambda report: report.write_age_ms / 1e3)),
        ),
        Family("edges", "Living edges; of use at the leader.", (), single(figure(lambda report: report.edges))),
        Family(
            "quota_tokens_total",
            "Tokens of quotas: asked for, issued, and put into stores of leases.",
            ("state",),
            by_kind(machine.quota_counts),
        ),
        Family(
            "rate_leases_known",
            "Whether all rate leases that may run are known; of use at the leader.",
            (),
            single(lambda: float(machine.rate_leases_known())),
        ),
    ]
