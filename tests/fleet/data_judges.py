"""Judges of what a data plane did: each compares what servers ran with what clients got. Pure."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator

from tests.fleet.data_model import EVENTS, MAX_ATTEMPTS, TIMEOUT_S, Asked, Records, Run

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
UNCHANGED = ("x-rosechute-model", "x-rosechute-token-count", "x-rosechute-prompt-prefix")
LATE_TIMER_S = 0.5  # the pages' bound, for all that is to be done in time
SENDING_S = 0.25  # a client may pause for so long within a request
EARLY_S = 0.05  # by how much a simulated clock and an edge's margin may differ
EVENT = re.compile(rb"(?:versions:(\d+)\n)?id: (\d+)\ndata: piece (\d+) of (\S+) by (\d+)\n\n")
Judge = Callable[[Records], Iterator[str]]


def judge_own_response(records: Records) -> Iterator[str]:
    """Each answer is that of a run of its own request, whole or marked as cut."""
    for asked in records.asked.values():
        if not asked.status:
            continue
        echoed = [value for name, value in asked.headers if name == "x-rosechute-request-id"]
        if echoed != [asked.name]:
            yield f"{asked.name}: answer {asked.status} names {echoed}"
        stamp = asked.value("x-rosechute-server-stamp")
        runs = {run.stamp: run for run in records.runs.get(asked.name, [])}
        if asked.status == 200 and stamp not in runs:
            yield f"{asked.name}: a success with the stamp {stamp}, and not of {sorted(runs)}"
        elif stamp is not None and stamp not in runs:
            yield f"{asked.name}: the stamp {stamp} is of no run of it"
        elif asked.status == 200 and not asked.streaming:
            yield from _plain_body(asked, runs[str(stamp)])
        elif asked.status != 200 and asked.got and (stamp is None or asked.got != runs[stamp].body):
            yield f"{asked.name}: failure with the body {asked.got[:60]!r}"


def _plain_body(asked: Asked, run: Run) -> Iterator[str]:
    if not run.body.startswith(asked.got):
        yield f"{asked.name}: bytes that are not of {run.stamp}: {asked.got[:60]!r}"
    if not run.success:
        yield f"{asked.name}: an answer of {run.stamp} that is no success"


def judge_whole(records: Records) -> Iterator[str]:
    """What a client takes for whole is whole: no answer that was cut, reset or has no end passes for it."""
    for asked in records.asked.values():
        if asked.status != 200 or not asked.whole or asked.streaming:
            continue
        stamp = asked.value("x-rosechute-server-stamp")
        run = next((run for run in records.runs.get(asked.name, []) if run.stamp == stamp), None)
        if run is not None and (asked.got != run.body or run.reset):
            yield f"{asked.name}: {len(asked.got)} of {len(run.body)} bytes as whole, reset: {run.reset}"


def judge_at_most_once(records: Records) -> Iterator[str]:
    """What may not be repeated runs once at the most."""
    for name, runs in records.runs.items():
        asked = records.asked.get(name)
        if asked is not None and len(runs) > 1 and not _might_repeat(asked, runs[-1].at, records):
            yield f"{name} {asked.path}: ran at {[run.server for run in runs]}"


def _might_repeat(asked: Asked, at: float, records: Records) -> bool:
    """Whether the configurations by which it was taken, and sent last, allow a request to be repeated."""
    slack_s = SENDING_S + records.stood_still_s
    at_last = any(since <= at - slack_s and until > at for since, until in records.strict)
    when_taken = any(since <= asked.sent_at and until > asked.sent_at + slack_s for since, until in records.strict)
    return asked.repeatable and not (at_last or when_taken)


def judge_promises(records: Records) -> Iterator[str]:
    """No promise that it has not run once it may have, for what may not be repeated."""
    for asked in records.asked.values():
        runs = records.runs.get(asked.name, [])
        if asked.status in NOT_EXECUTED_STATUSES and runs and not asked.repeatable:
            yield f"{asked.name} {asked.path}: {asked.status} after a run at {runs[0].server}"


def judge_streams(records: Records) -> Iterator[str]:
    """Events without gap, repeat or piece; of one run, unless the stream may be resumed with the same weights."""
    for asked in records.asked.values():
        if asked.status == 200 and asked.streaming:
            yield from _stream(asked, records)


def _stream(asked: Asked, records: Records) -> Iterator[str]:
    events = list(EVENT.finditer(asked.got))
    rest = asked.got[events[-1].end() :] if events else asked.got
    if b"".join(found[0] for found in events) != asked.got[: len(asked.got) - len(rest)]:
        yield f"{asked.name}: events are mixed up: {asked.got!r}"
        return
    numbers = [int(found[2]) for found in events]
    first = asked.last_event_id + 1
    if numbers != list(range(first, first + len(numbers))):
        yield f"{asked.name}: events {numbers} behind {asked.last_event_id}"
    stamps = {found[4].decode() for found in events}
    known = {run.stamp: run for run in records.runs.get(asked.name, [])}
    if not stamps <= set(known):
        yield f"{asked.name}: events of another request"
        return
    if len(stamps) > 1 and not asked.repeatable:
        yield f"{asked.name}: two runs are joined"
    if len({found[5] for found in events}) > 1:
        yield f"{asked.name}: runs with different weights are joined"
    if rest and (asked.whole or not _passed_on_raw(asked, records)):
        yield f"{asked.name}: part of an event: {rest!r}, whole: {asked.whole}"
    if asked.whole and numbers and numbers[-1] != EVENTS:
        yield f"{asked.name}: ended as whole behind {numbers[-1]}"
    if asked.whole and not any(run.ended_whole and not run.reset and run.success for run in known.values()):
        yield f"{asked.name}: whole, though no run came to its end"
    if any(not known[stamp].success for stamp in stamps):
        yield f"{asked.name}: events of a run that was no success"


def _passed_on_raw(asked: Asked, records: Records) -> bool:
    """Whether its stream may have been passed on without regard to events, as it was not to be resumed."""
    until_s = asked.sent_at + SENDING_S + records.stood_still_s
    return not asked.repeatable or any(since <= until_s and until > asked.sent_at for since, until in records.strict)


def judge_attempts(records: Records) -> Iterator[str]:
    """No request runs at more servers than its route allows."""
    for name, runs in records.runs.items():
        asked = records.asked.get(name)
        servers = {run.server for run in runs}
        if asked is not None and len(servers) > MAX_ATTEMPTS[asked.path]:
            yield f"{name} {asked.path}: ran at {sorted(servers)}"


def judge_unchanged(records: Records) -> Iterator[str]:
    """Servers get what the client sent: method, path, body and the headers that go on as they are."""
    yield from (f"a server could not read {data!r}" for data in records.malformed)
    for name, arrivals in records.arrivals.items():
        asked = records.asked.get(name)
        if asked is None:
            yield from (f"nobody sent {name!r}: {vars(arrival)}" for arrival in arrivals)
            continue
        sent = _by_name((key.lower(), value.strip(" \t")) for key, value in asked.told)
        for arrival in arrivals:
            got = _by_name((key, value) for key, value in arrival.headers if key in UNCHANGED)
            if got != sent:
                yield f"{name}: headers {got} for {sent}"
            if (arrival.method, arrival.target) != ("POST", asked.path):
                yield f"{name}: {arrival.method} {arrival.target} for POST {asked.path}"
            if arrival.body is not None and arrival.body != asked.body:
                yield f"{name}: another body: {arrival.body[:40]!r} for {asked.body[:40]!r}"
            if not asked.body.startswith(arrival.part):
                yield f"{name}: other bytes within its body, which ends with {arrival.part[-60:]!r}"


def _by_name(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Headers by name; those of one name in their order."""
    return sorted(headers, key=lambda pair: pair[0])


def judge_deadlines(records: Records) -> Iterator[str]:
    """Every server is told how long its client still waits, and no longer."""
    for name, arrivals in records.arrivals.items():
        asked = records.asked.get(name)
        if asked is None:
            continue
        for arrival in arrivals:
            told = arrival.value("x-rosechute-deadline-ms")
            if told is None:
                yield f"{name}: no deadline"
            elif (
                arrival.at + int(told) / 1e3 > asked.sent_at + asked.deadline_s + LATE_TIMER_S + records.stood_still_s
            ):
                yield f"{name}: {told} ms at {arrival.at - asked.sent_at:.2f} s of {asked.deadline_s}"


def judge_gone(records: Records) -> Iterator[str]:
    """Once its client has left, nothing of a request reaches a server, and no server works on."""
    late_s = LATE_TIMER_S + records.stood_still_s
    for asked in records.asked.values():
        if asked.left_at is None:
            continue
        for arrival in records.arrivals.get(asked.name, []):
            if arrival.at > asked.left_at + late_s:
                yield f"{asked.name}: arrived {arrival.at - asked.left_at:.2f} s after its client left"
            if arrival.gone_at is not None and arrival.gone_at > asked.left_at + late_s:
                yield f"{asked.name}: at work for {arrival.gone_at - asked.left_at:.2f} s after its client left"


def judge_answered_in_time(records: Records) -> Iterator[str]:
    """Everyone who waits is answered before the route's time and the client's are over."""
    for asked in records.asked.values():
        if asked.left_at is not None:
            continue
        if asked.answered_at is None:
            closed_unread = records.shutdown_at is not None and asked.name not in records.arrivals
            if not closed_unread:
                yield f"{asked.name} {asked.path}: no answer"
            continue
        limit = asked.sent_at + min(asked.deadline_s, TIMEOUT_S)
        if asked.answered_at > limit + EARLY_S + SENDING_S + records.stood_still_s:
            yield f"{asked.name} {asked.path}: answered {asked.answered_at - limit:.2f} s late"


def judge_nothing_else(records: Records) -> Iterator[str]:
    """Nothing comes to a client unasked, and nothing is left over."""
    yield from (f"left over: {text}" for text in records.leftovers)
    for asked in records.asked.values():
        if asked.surplus:
            yield f"{asked.name}: {asked.surplus!r} behind its answer"


JUDGES: tuple[Judge, ...] = (
    judge_own_response,
    judge_whole,
    judge_at_most_once,
    judge_promises,
    judge_streams,
    judge_attempts,
    judge_unchanged,
    judge_deadlines,
    judge_gone,
    judge_answered_in_time,
    judge_nothing_else,
)


def verdicts(records: Records) -> list[str]:
    """All that any judge finds."""
    return [f"{judge.__name__}: {text}" for judge in JUDGES for text in judge(records)]
