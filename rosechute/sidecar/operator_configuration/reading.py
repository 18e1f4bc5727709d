"""Parser from TOML text to the structs of `spec`, which reports all problems at once. Pure functions, no I/O."""

from __future__ import annotations

import math
import re
import tomllib
from typing import Any, TypeVar, Union, get_args, get_origin

import msgspec
from msgspec import Struct
from msgspec.structs import fields

from rosechute.sidecar.operator_configuration.problems import FileError, Problem, nearest
from rosechute.sidecar.operator_configuration.spec import Budget, Class, File, Log, Rate, Route
from rosechute.sidecar.operator_configuration.units import Span, parse_duration

MAX_BYTES = 4 << 20
MAX_ROUTES = 10_000
HEADER = re.compile(r"\s*\[(\[)?\s*([A-Za-z0-9_.-]+)\s*\]")
KEY = re.compile(r'\s*"?([A-Za-z0-9_-]+)"?\s*=')
LINE_NUMBER = re.compile(r"line (\d+)")
MESSAGE_PATTERNS = (
    (re.compile(r"Expected `int`, got `float`"), "must be a whole number"),
    (re.compile(r"Expected `(int|float)`, got .*"), "must be a number"),
    (re.compile(r"Expected `str`, got .*"), "must be a string"),
    (re.compile(r"Expected `array`, got .*"), "must be a list"),
    (re.compile(r"Expected `object`, got .*"), "must be a table"),
    (re.compile(r"Expected `(?:int|float)` >= (\S+)"), r"must be \1 or more"),
    (re.compile(r"Expected `(?:int|float)` > (\S+)"), r"must be above \1"),
    (re.compile(r"Expected `(?:int|float)` <= (\S+)"), r"must be \1 or less"),
    (
        re.compile(r"Expected `str` matching regex .*"),
        "must be up to 64 letters, digits, dots, dashes and underscores, the first a letter or digit",
    ),
    (re.compile(r"Integer value out of range"), "is too large"),
)
T = TypeVar("T", bound=Struct)


class ParsedFile:
    """A parsed file, with the line number of each key."""

    def __init__(self, file: File, lines: dict[str, int]) -> None:
        self.file, self.lines = file, lines


def read(text: str | bytes) -> ParsedFile:
    """Parse a file; raise FileError with every syntax and schema problem."""
    if isinstance(text, bytes):
        if len(text) > MAX_BYTES:
            raise FileError([Problem("", None, f"it has {len(text)} bytes; the maximum is {MAX_BYTES}")])
        try:
            text = text.decode("utf-8")
        except UnicodeDecodeError as error:
            raise FileError(
                [Problem("", None, f"it is not UTF-8 text: {error.reason} at byte {error.start}")]
            ) from None
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        at = LINE_NUMBER.search(str(error))
        reason = f"it is not TOML: {str(error) or 'nested too deeply'}"
        raise FileError([Problem("", None, reason, int(at[1]) if at else 0)]) from None
    lines = key_lines(text)
    reader = Reader()
    file = reader.convert_file(raw)
    if reader.problems or file is None:
        raise FileError(p._replace(line=line_of(p.path, lines)) for p in reader.problems)
    return ParsedFile(file, lines)


def line_of(path: str, lines: dict[str, int]) -> int:
    """Return the line number of a key, or of the nearest enclosing table; 0 if there is none."""
    while path:
        if path in lines:
            return lines[path]
        cut = max(path.rfind("."), path.rfind("["))
        path = path[:cut] if cut > 0 else ""
    return 0


def key_lines(text: str) -> dict[str, int]:
    """Return the line number of each key.

    The text is scanned line by line without a TOML parser, which is precise enough for error messages.
    """
    found: dict[str, int] = {}
    counts: dict[str, int] = {}
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        head = HEADER.match(line)
        if head is not None:
            name = head[2]
            if head[1]:
                table = f"{name}[{counts.get(name, 0)}]"
                counts[name] = counts.get(name, 0) + 1
            else:
                first, _, rest = name.partition(".")
                owner = f"{first}[{counts[first] - 1}]" if first in counts else first
                table = f"{owner}.{rest}" if rest else owner
            found.setdefault(table, number)
            continue
        key = KEY.match(line)
        if key is not None:
            found.setdefault(f"{table}.{key[1]}" if table else key[1], number)
    return found


class Reader:
    """Converter of parsed TOML into structs, key by key, so that one invalid value does not hide the next."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def add_problem(self, path: str, value: Any, reason: str) -> None:
        """Record a problem."""
        self.problems.append(Problem(path, value, reason))

    def convert_file(self, raw: dict[str, Any]) -> File | None:
        """Convert a complete file; return None where it has any problem."""
        known = ("version", "class", "route", "log")
        for key in raw.keys() - set(known):
            self.add_problem(key, raw[key], f"there is no such key{nearest(key, known)}")
        if "version" not in raw:
            self.add_problem("version", None, "it is missing; this program reads version = 1")
        elif raw["version"] != 1 or isinstance(raw["version"], bool):
            self.add_problem("version", raw["version"], "this program reads version = 1 and no other")
        classes = self.tables(raw, "class", Class)
        routes = self.tables(raw, "route", Route)
        if len(routes) > MAX_ROUTES:
            self.add_problem("route", None, f"there are {len(routes)} routes; the maximum is {MAX_ROUTES}")
        raw_value = raw.get("log", {})
        log = self.table("log", raw_value, Log)
        if self.problems or log is None:
            return None
        return File(1, tuple(c for c in classes if c), tuple(r for r in routes if r), log)

    def tables(self, raw: dict[str, Any], key: str, kind: type[T]) -> list[T | None]:
        """Convert an array of tables; a table with a problem becomes None."""
        raw_value = raw.get(key, [])
        if not isinstance(raw_value, list) or not all(isinstance(item, dict) for item in raw_value):
            self.add_problem(key, raw_value, f"must be tables, each under [[{key}]]")
            return []
        return [self.table(f"{key}[{i}]", item, kind) for i, item in enumerate(raw_value)]

    def table(self, path: str, raw: Any, kind: type[T]) -> T | None:
        """Convert a table into its struct; return None where it has any problem."""
        before = len(self.problems)
        if not isinstance(raw, dict):
            self.add_problem(path, raw, "must be a table")
            return None
        known = {field.encode_name: field for field in fields(kind)}
        for key in raw:
            if key not in known:
                self.add_problem(f"{path}.{key}", raw[key], f"there is no such key{nearest(key, known)}")
        values: dict[str, Any] = {}
        for key, field in known.items():
            if key in raw:
                values[field.name] = self.value(f"{path}.{key}", raw[key], field.type)
            elif field.required:
                self.add_problem(f"{path}.{key}", None, "it is missing")
        if kind is Rate and sum(raw.get(key) is not None for key in ("per_s", "per_min", "per_h")) != 1:
            self.add_problem(path, raw, "a rate has exactly one of per_s, per_min and per_h")
        return kind(**values) if len(self.problems) == before else None

    def value(self, path: str, raw: Any, kind: Any) -> Any:
        """Convert one value to the type of its field; return None where it is invalid."""
        kinds = get_args(kind) if get_origin(kind) in (Union, type(int | str)) else (kind,)
        for struct in (Rate, Budget):
            if struct in kinds:
                return self.table(path, raw, struct)
        if Span in kinds:
            try:
                return parse_duration(raw)
            except ValueError as error:
                self.add_problem(path, raw, str(error))
                return None
        if isinstance(raw, float) and not math.isfinite(raw):
            self.add_problem(path, raw, "must be a finite number")
            return None
        if isinstance(raw, list) and len(set(map(repr, raw))) < len(raw):
            self.add_problem(path, raw, "lists a value twice")
        try:
            return msgspec.convert(raw, kind)
        except msgspec.ValidationError as error:
            self.add_problem(path, raw, _translate_error(str(error), kind))
            return None


def _translate_error(text: str, kind: Any) -> str:
    """Return a msgspec error message in terms of the configuration file."""
    text = text.replace(" | null", "").replace(".0`", "`")
    for pattern, words in MESSAGE_PATTERNS:
        found = pattern.search(text)
        if found is not None:
            return found.expand(words).replace(".0 or", " or")
    if text.startswith("Invalid enum value"):
        add_problem = text.partition("value ")[2].partition(" - ")[0].strip("'\"")
        return f"{add_problem!r} is not one of {', '.join(_choices(kind))}{nearest(add_problem, _choices(kind))}"
    return text.partition(" - at ")[0]


def _choices(kind: Any) -> list[str]:
    found: list[str] = []
    for part in get_args(kind):
        found += [part] if isinstance(part, str) else _choices(part)
    return found
