"""Record what a simulation does as one digest per step, without the names of anything in the source."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
from typing import Any

DIGEST_BYTES = 8  # of one step; a collision hides a difference of that step only
MAX_DEPTH = 8  # of nested values; deeper ones are left out


class Recorder:
    """Digests of the steps of one run, in order; a step ends where the simulated clock takes its next event."""

    def __init__(self, detailed_step: int | None = None) -> None:
        """Start with an empty run.

        Args:
            detailed_step: step whose records are kept as text too.
        """
        self.digests = bytearray()
        self.details: list[str] = []
        self.error: str | None = None  # that ended the run
        self._detailed_step = detailed_step
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)

    @property
    def steps(self) -> int:
        """Return the number of completed steps."""
        return len(self.digests) // DIGEST_BYTES

    def record(self, kind: str, *values: Any) -> None:
        """Add values to the current step; `kind` names the hook."""
        text = f"{kind} {' '.join(flatten(values))}\n"
        self._hash.update(text.encode("utf-8", "surrogatepass"))
        if self.steps == self._detailed_step:
            self.details.append(text.rstrip())

    def end_step(self) -> None:
        """Complete the current step and begin the next one."""
        self.digests += self._hash.digest()
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)


def flatten(value: Any, depth: int = 0) -> list[str]:
    """Return the plain values inside a value in order, without names of classes and fields.

    Tuples, dataclasses and named tuples of the same values are the same. Callables and other objects are left out.
    """
    if isinstance(value, int) and not isinstance(value, bool):
        return [hex(value)]  # `repr` refuses integers of more than 4,300 digits
    if value is None or isinstance(value, (bool, float, bytes, str)):
        return [repr(value.value if isinstance(value, enum.Enum) else value)]
    if isinstance(value, enum.Enum):
        return flatten(value.value, depth)
    if hasattr(value, "SerializeToString"):
        return [value.SerializeToString(deterministic=True).hex()]
    if depth >= MAX_DEPTH:
        return []
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        value = [getattr(value, field.name) for field in dataclasses.fields(value)]
    elif isinstance(value, (set, frozenset)):
        return sorted(part for each in value for part in flatten(each, depth + 1))
    elif isinstance(value, dict):
        value = list(value.items())
    if isinstance(value, (list, tuple)):
        return [part for each in value for part in flatten(each, depth + 1)]
    return []
