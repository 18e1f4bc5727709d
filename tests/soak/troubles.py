"""A schedule of signals, restarts and changes that come in series and overlap, drawn from a seed."""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass

SERIES_PAUSE_S = (0.5, 3.0)  # between two series
STEP_PAUSE_S = (0.0, 0.8)  # between two troubles of a series
SERIES_LENGTH = (1, 5)


class TroubleKind(enum.Enum):
    """What is done to a process, or to the fleet."""

    STOP = "stop"  # SIGTERM, and a new start once it has ended
    STOP_TWICE = "stop twice"  # a second SIGTERM while it ends
    KILL = "kill"  # SIGKILL, and a new start
    RELOAD = "reload"  # SIGHUP
    CHANGE = "change"  # the operator changes the configuration


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble: seconds from the start, kind, and the name of the process; empty for a change."""

    at: float
    kind: TroubleKind
    node: str = ""


def draw_troubles(seed: int, nodes: Sequence[str], seconds: float) -> list[Trouble]:
    """Return the troubles of a run of this length."""
    draw = random.Random(seed)
    troubles: list[Trouble] = []
    at = draw.uniform(*SERIES_PAUSE_S)
    while at < seconds:
        for _ in range(draw.randint(*SERIES_LENGTH)):
            kind = draw.choice(list(TroubleKind))
            node = "" if kind is TroubleKind.CHANGE else draw.choice(list(nodes))
            troubles.append(Trouble(at, kind, node))
            at += draw.uniform(*STEP_PAUSE_S)
        at += draw.uniform(*SERIES_PAUSE_S)
    return [one for one in troubles if one.at < seconds]
