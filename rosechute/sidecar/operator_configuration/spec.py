"""Schema of the operator configuration file as typed structs.

The meaning, unit, default and valid range of each key are described in docs/operators-file.md.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from rosechute.sidecar.operator_configuration.units import Span

VERSION = 1
CAUSES = ("connect-failed", "full", "reset", "error", "timeout")
SCOPES = ("route", "tenant", "key")
REPEATS = ("free", "guarded", "single_shot")  # in ascending order of strictness
GROUPS = ("all", "zone", "cell")  # scopes in which a guarded request may be retried, in ascending order of strictness
MAX_COUNT = 1_000_000

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Waiting = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Cause = Literal["connect-failed", "full", "reset", "error", "timeout"]
Repeat = Literal["free", "guarded", "single_shot"]


class Budget(Struct, frozen=True, forbid_unknown_fields=True):
    """A retry budget: a ratio of retries to first attempts, and a minimum rate for times of low traffic."""

    ratio: Annotated[float, Meta(ge=0, le=10)]
    min_per_s: Annotated[float, Meta(ge=0, le=MAX_COUNT)] = 0.0


class Rate(Struct, frozen=True, forbid_unknown_fields=True):
    """A token bucket; exactly one of the three rates is set."""

    per_s: Annotated[float, Meta(gt=0, le=MAX_COUNT)] | None = None
    per_min: Annotated[float, Meta(gt=0, le=MAX_COUNT)] | None = None
    per_h: Annotated[float, Meta(gt=0, le=MAX_COUNT)] | None = None
    burst: Count = 1


class Class(Struct, frozen=True, forbid_unknown_fields=True):
    """A request class; it may only be stricter than the platform's class of the same name."""

    name: Name
    repeat: Repeat | None = None
    deadline: Span | None = None
    aim: Span | None = None
    window: Span | None = None
    group: Literal["all", "zone", "cell"] | None = None


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """A route: the match condition and the limits of matching requests."""

    name: Name
    path: str
    method: Literal["GET", "POST"] | None = None
    tenant: str | None = None
    headers: dict[str, str] = {}
    class_: str | None = msgspec.field(default=None, name="class")
    timeout: Span | None = None
    try_timeout: Span | None = None
    attempts: Count | None = None
    second_copy_after: Span | None = None
    retry_on: tuple[Cause, ...] | None = None
    retry_budget: Budget | None = None
    max_in_flight: Count | None = None
    max_waiting: Waiting | None = None
    rate: Rate | None = None
    limit_by: Literal["route", "tenant", "key"] = "route"


class Log(Struct, frozen=True, forbid_unknown_fields=True):
    """Log settings of the sidecar."""

    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"
    repeats_per_s: Annotated[float, Meta(gt=0, le=MAX_COUNT)] = 5.0


class File(Struct, frozen=True, forbid_unknown_fields=True):
    """The complete file."""

    version: Literal[1] = 1
    class_: tuple[Class, ...] = msgspec.field(default=(), name="class")
    route: tuple[Route, ...] = ()
    log: Log = Log()
