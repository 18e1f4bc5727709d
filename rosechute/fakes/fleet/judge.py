"""Checks of a run against the service rules, each with its result and the figures behind it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.clients import RequestResult
from rosechute.fakes.fleet.engine import Engine

MIN_SERVED_SHARE = 0.97
"""Minimum fraction of requests that a fleet serves while one process at a time is down."""


class RuleResult(NamedTuple):
    """The result of the check of one rule."""

    rule: str
    is_kept: bool
    figures: str


def count_endings(results: Iterable[RequestResult]) -> str:
    """Return the counts of attempts by status, or by failure without a status, most frequent first."""
    counts = Counter(str(attempt.status or attempt.failure) for result in results for attempt in result.attempts)
    return ", ".join(f"{ending}: {count}" for ending, count in counts.most_common())


def check_run(results: Sequence[RequestResult], engines: Iterable[Engine]) -> list[RuleResult]:
    """Check every rule and return the results."""
    engines = list(engines)
    run_counts = Counter(request.request_id for engine in engines for request in engine.stats.started_requests)
    return [
        _check_responses(results),
        _check_single_runs(results, run_counts),
        _check_rejected(results, run_counts),
        _check_known(results, run_counts),
        _check_api_keys(engines),
        _check_served(results),
    ]


def _check_responses(results: Sequence[RequestResult]) -> RuleResult:
    wrong = [
        attempt.failure
        for result in results
        for attempt in result.attempts
        if attempt.status == 200 and " " in attempt.failure
    ]
    return RuleResult(
        "every success is the server's complete response",
        not wrong,
        f"{len(wrong)} wrong" + (f", first: {wrong[0]}" if wrong else ""),
    )


def _check_single_runs(results: Sequence[RequestResult], run_counts: Counter[str]) -> RuleResult:
    duplicated = [
        attempt
        for result in results
        if not result.kind.repeatable
        for attempt in result.attempts
        if run_counts[attempt.request_id] > 1
    ]
    return RuleResult("non-repeatable requests run at most once", not duplicated, f"{len(duplicated)} ran more often")


def _check_rejected(results: Sequence[RequestResult], run_counts: Counter[str]) -> RuleResult:
    ran = [
        attempt
        for result in results
        if not result.kind.repeatable
        for attempt in result.attempts
        if attempt.status in words.NOT_RUN_STATUSES and run_counts[attempt.request_id]
    ]
    return RuleResult("rejected requests have not run", not ran, f"{len(ran)} ran")


def _check_known(results: Sequence[RequestResult], run_counts: Counter[str]) -> RuleResult:
    sent = {attempt.request_id for result in results for attempt in result.attempts}
    unknown = [request_id for request_id in run_counts if request_id not in sent]
    return RuleResult("servers run only requests that a client sent", not unknown, f"{len(unknown)} unknown requests")


def _check_api_keys(engines: Sequence[Engine]) -> RuleResult:
    received = sum(engine.stats.received_keys for engine in engines)
    return RuleResult("no API key reaches a server", not received, f"{received} received")


def _check_served(results: Sequence[RequestResult]) -> RuleResult:
    share = sum(result.is_served for result in results) / len(results) if results else 0.0
    attempts = sum(len(result.attempts) for result in results) / max(1, len(results))
    return RuleResult(
        f"at least {MIN_SERVED_SHARE:.0%} of all requests are served",
        share >= MIN_SERVED_SHARE,
        f"{share:.2%} of {len(results)}, {attempts:.2f} attempts each",
    )
