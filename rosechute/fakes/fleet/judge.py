"""What a run of the stand-ins says about the rules: each with whether it was kept, and its figures."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.clients import Done
from rosechute.fakes.fleet.engine import Engine

SERVED_LEAST = 0.97
"""The share of requests that a fleet serves while one process at a time is down."""


class Verdict(NamedTuple):
    """One rule."""

    rule: str
    kept: bool
    figures: str


def endings(done: Iterable[Done]) -> str:
    """How tries ended, the most frequent first: statuses, or why there was none."""
    counts = Counter(str(tried.status or tried.problem) for one in done for tried in one.tries)
    return ", ".join(f"{ending}: {count}" for ending, count in counts.most_common())


def judge(done: Sequence[Done], engines: Iterable[Engine]) -> list[Verdict]:
    """The verdict on every rule."""
    engines = list(engines)
    runs = Counter(run.request_id for engine in engines for run in engine.seen.runs)
    return [
        _answers(done),
        _twice(done, runs),
        _refused(done, runs),
        _asked(done, runs),
        _keys(engines),
        _served(done),
    ]


def _answers(done: Sequence[Done]) -> Verdict:
    wrong = [tried.problem for one in done for tried in one.tries if tried.status == 200 and " " in tried.problem]
    return Verdict(
        "every success is the server's whole answer",
        not wrong,
        f"{len(wrong)} wrong" + (f", the first: {wrong[0]}" if wrong else ""),
    )


def _twice(done: Sequence[Done], runs: Counter[str]) -> Verdict:
    twice = [tried for one in done if not one.kind.repeatable for tried in one.tries if runs[tried.request_id] > 1]
    return Verdict("what may run once has run once at most", not twice, f"{len(twice)} ran more often")


def _refused(done: Sequence[Done], runs: Counter[str]) -> Verdict:
    ran = [
        tried
        for one in done
        if not one.kind.repeatable
        for tried in one.tries
        if tried.status in words.PROMISES and runs[tried.request_id]
    ]
    return Verdict("what was refused has not run", not ran, f"{len(ran)} ran all the same")


def _asked(done: Sequence[Done], runs: Counter[str]) -> Verdict:
    sent = {tried.request_id for one in done for tried in one.tries}
    unasked = [request_id for request_id in runs if request_id not in sent]
    return Verdict("servers run only what a client sent", not unasked, f"{len(unasked)} runs unasked")


def _keys(engines: Sequence[Engine]) -> Verdict:
    shown = sum(engine.seen.keys for engine in engines)
    return Verdict("no server is shown a key", not shown, f"{shown} shown")


def _served(done: Sequence[Done]) -> Verdict:
    share = sum(one.served for one in done) / len(done) if done else 0.0
    tries = sum(len(one.tries) for one in done) / max(1, len(done))
    return Verdict(
        f"at least {SERVED_LEAST:.0%} of all requests are served",
        share >= SERVED_LEAST,
        f"{share:.2%} of {len(done)}, {tries:.2f} tries each",
    )
