"""A day of the bench as a value, and as the TOML file that the bench reads."""

from __future__ import annotations

from dataclasses import dataclass, fields

ONE = 0.9  # marks between which the bench scores a day; of no account for rules
ZERO = 0.4
FLOOR = 0.2  # of the worth owed: these days are there for the rules
PLANNED_KINDS = frozenset(
    {
        "bad_config",
        "config_change",
        "config_race",
        "config_storm",
        "hup",
        "release",
        "revoke",
        "roll_term",
        "scale_in",
        "scale_out",
        "seed_turnover",
    }
)


@dataclass(frozen=True, slots=True)
class Trouble:
    """One entry of a day: `at` seconds from the start of traffic. What is None is left to the bench."""

    at: float
    kind: str
    how: str | None = None
    for_s: float | None = None
    gap_s: float | None = None
    share: float | None = None
    count: int | None = None
    x: float | None = None
    on: str | None = None

    @property
    def planned(self) -> bool:
        """Whether it is work that the operator does on purpose."""
        return self.kind in PLANNED_KINDS


@dataclass(frozen=True, slots=True)
class Closing:
    """The final fault, right after one more configuration was acknowledged."""

    kind: str
    down_s: float
    how: str | None = None


@dataclass(frozen=True, slots=True)
class Day:
    """A day of `length_s` seconds of traffic before the final fault."""

    name: str
    seed: int
    length_s: float
    troubles: tuple[Trouble, ...]
    closing: Closing | None = None

    def toml(self) -> str:
        """The file, as the bench reads it."""
        head: dict[str, str | float | int] = {
            "name": self.name,
            "slot": "trouble",
            "seed": self.seed,
            "length_s": self.length_s,
            "one": ONE,
            "zero": ZERO,
        }
        lines = [f"{name} = {_value(value)}" for name, value in head.items()]
        lines += [f"goal = {{ floor = {FLOOR} }}", "labels = []"]
        if self.closing is not None:
            lines.append(f"closing = {_table(self.closing)}")
        for name, planned in (("plan", True), ("faults", False)):
            lines.append(f"{name} = [")
            lines += [f"  {_table(each)}," for each in self.troubles if each.planned is planned]
            lines.append("]")
        return "\n".join(lines) + "\n"


def _table(entry: Trouble | Closing) -> str:
    told = {field.name: getattr(entry, field.name) for field in fields(entry)}
    return "{ " + ", ".join(f"{name} = {_value(value)}" for name, value in told.items() if value is not None) + " }"


def _value(value: str | float | int) -> str:
    return f'"{value}"' if isinstance(value, str) else str(value)
