"""Metrics of a core machine. docs/fleet/metrics.md explains them to operators.

Names follow the conventions of Prometheus: base units, `_total` for counters. A metric that an edge exports as
well has the same name and meaning there.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from rosechute.control_plane.core_machine import CoreMachine
from rosechute.control_plane.core_report import CoreReport
from rosechute.processes.metrics import Family, ProcessResources, by_kind, process_families, shed_family, single

MILLISECONDS_PER_S = 1e3

ReportValue = Callable[[CoreReport], float | None]


class ReportMetric(NamedTuple):
    """A metric whose value is part of the core's report; a value of None is omitted from the output."""

    name: str
    help_text: str
    value: ReportValue


REPORT_METRICS = (
    ReportMetric("is_leader", "Whether this machine holds the leader lease: 1 or 0.", lambda report: report.leader),
    ReportMetric("leader_term", "Highest term of the leader lease that is known here.", lambda report: report.term),
    ReportMetric("view_epoch", "Epoch of the agreed view.", lambda report: report.epoch),
    ReportMetric("view_acceptors", "Acceptors of the view.", lambda report: len(report.acceptors)),
    ReportMetric("chain_replicas", "Replicas of the chain.", lambda report: len(report.chain)),
    ReportMetric(
        "config_version", "Version of the newest committed configuration.", lambda report: report.config_version
    ),
    ReportMetric(
        "config_sequence", "Sequence number of the newest committed write.", lambda report: report.config_sequence
    ),
    ReportMetric(
        "config_confirmed_age_seconds",
        "Time since the configuration was confirmed to be the newest.",
        lambda report: _seconds(report.config_age_ms),
    ),
    ReportMetric(
        "disk_oldest_pending_write_seconds",
        "Age of the oldest write that the disk has not finished.",
        lambda report: _seconds(report.write_age_ms),
    ),
    ReportMetric("live_edges", "Live edges; 0 where this machine is not the leader.", lambda report: report.edges),
)


def core_families(
    machine: CoreMachine,
    listener_failures: Callable[[], Mapping[str, float]] = dict[str, float],
    resources: ProcessResources | None = None,
) -> list[Family]:
    """Return the metrics of a core machine; those of its report are omitted until its records are loaded.

    Args:
        machine: The machine.
        listener_failures: Returns the failed attempts to open a listener, by listener.
        resources: Resources of the process; None if they are not watched.
    """
    families = [
        Family(metric.name, metric.help_text, (), single(_report_reader(machine, metric.value)))
        for metric in REPORT_METRICS
    ]
    families.append(shed_family(machine.shed_counts))
    families.append(
        Family(
            "quota_tokens_total",
            "Tokens of quotas: requested, issued, and deposited with rate leases.",
            ("state",),
            by_kind(machine.quota_counts),
        )
    )
    families.append(
        Family(
            "all_rate_leases_known",
            "Whether the leader knows every rate lease that may be in force: 1 or 0.",
            (),
            single(lambda: float(machine.rate_leases_known())),
        )
    )
    return families + process_families(listener_failures, resources)


def _report_reader(machine: CoreMachine, value: ReportValue) -> Callable[[], float]:
    """Return a function that reads one value of the machine's report; NaN where it is unknown."""

    def read() -> float:
        report = machine.report()
        reported = value(report) if report is not None else None
        return math.nan if reported is None else float(reported)

    return read


def _seconds(milliseconds: int | None) -> float | None:
    return None if milliseconds is None else milliseconds / MILLISECONDS_PER_S
