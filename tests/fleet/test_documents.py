"""The pages for newcomers name only what exists: modules, names, links, commands, log messages."""

from __future__ import annotations

import ast
import importlib
import re
import unittest
from collections.abc import Iterator
from importlib.util import find_spec
from pathlib import Path
from typing import Any

from rosechute.data_plane.request_state import TRANSITIONS
from rosechute.distribution.home_subscriptions import SubscriptionState
from rosechute.distribution.leader_search import SearchState
from rosechute.distribution.publisher import PublisherState
from rosechute.messages.client_link import LinkState

ROOT = Path(__file__).resolve().parents[2]
ARCHITECTURE = ROOT / "docs" / "architecture.md"
GLOSSARY = ROOT / "docs" / "glossary.md"
CONTRIBUTING = ROOT / "CONTRIBUTING.md"
DESIGN = ROOT / "docs" / "design-fleet.md"
CHANGELOG = ROOT / "CHANGELOG.md"
METRICS = ROOT / "docs" / "fleet" / "metrics.md"
README = ROOT / "README.md"
RUN = ROOT / "docs" / "fleet" / "run.md"
DATA_PLANE = ROOT / "docs" / "fleet" / "data-plane.md"
DISTRIBUTION = ROOT / "docs" / "fleet" / "distribution.md"
PAGES = (ARCHITECTURE, GLOSSARY, CONTRIBUTING)
PACKAGES = ("rosechute",)
BASES = (ROOT, ROOT / "rosechute")  # paths of modules are given below either

MODULE_PATH = re.compile(r"[\w./-]+\.py\b")
DOTTED_NAME = re.compile(r"(?<![\w./])(?:rosechute|hollyport|dunefield|benchmarks|tests)(?:\.\w+)+(?![\w/])")
FILE_ENDINGS = ("py", "md", "toml", "txt", "json")
COMMAND = re.compile(r"(?:python3?|/python) -m\s+([a-z_][\w.]*)")
LINK = re.compile(r"(?<!!)\[[^\]]*\]\(([^)\s]+)\)")
MERMAID = re.compile(r"```mermaid\n(.*?)```", re.DOTALL)
MERMAID_STEP = re.compile(r'\["(\d+ [^"]*)"\]')
NAME = re.compile(r"`([A-Za-z_][\w.]*)`")
CLASS_NAME = re.compile(r"`([A-Z][a-z]\w*(?:\.\w+)?)`")

QUOTED_LOG_LINE = re.compile(r"\blog(?: of the \w+)?: `([^`]+)`")
LOG_LEVELS = {"debug", "info", "success", "warning", "error", "exception", "critical"}
LOGGERS = {"logger", "LOG"}
FLEET_PACKAGES = (
    "configuration",
    "control_plane",
    "coordination",
    "data_plane",
    "distribution",
    "listening",
    "messages",
    "processes",
    "routing",
    "storage",
)
LEVEL_OF_CALL = {"exception": "error"}  # by the method of the logger, where it differs


def read(page: Path) -> str:
    """Return the text of a page."""
    return page.read_text(encoding="utf-8")


def module_file(path: str) -> Path | None:
    """Return the file of a module path as the pages give it, or None where there is none."""
    return next((base / path for base in BASES if (base / path).is_file()), None)


def table_rows(text: str) -> Iterator[list[str]]:
    """Yield the cells of each table row, without headers and rules."""
    lines = text.splitlines()
    for number, line in enumerate(lines):
        following = lines[number + 1] if number + 1 < len(lines) else ""
        if line.startswith("|") and not line.startswith("| ---") and not following.startswith("| ---"):
            yield [cell.strip() for cell in re.split(r"(?<!\\)\|", line)[1:-1]]


def resolve(name: str) -> Any:
    """Return what a dotted name stands for, below `rosechute` or in full. Raises LookupError where it is nothing."""
    for root in ("rosechute.", ""):
        parts = (root + name).split(".")
        for split in range(len(parts), 0, -1):
            try:
                found: Any = importlib.import_module(".".join(parts[:split]))
            except ModuleNotFoundError:
                continue
            try:
                for part in parts[split:]:
                    found = getattr(found, part)
            except AttributeError:
                break
            return found
    raise LookupError(name)


def fleet_sources() -> Iterator[Path]:
    """Yield the modules of the fleet's packages."""
    for package in FLEET_PACKAGES:
        yield from sorted((ROOT / "rosechute" / package).glob("*.py"))


def anchors(page: Path) -> set[str]:
    """Return the anchors of a page's headings, as the usual renderers make them."""
    headings = re.findall(r"^#+ (.*)$", read(page), re.MULTILINE)
    plain = (re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings)
    return {heading.strip().replace(" ", "-") for heading in plain}


class Modules(unittest.TestCase):
    """Modules and commands that the pages name."""

    def test_module_paths_exist(self) -> None:
        for page in (*PAGES, README):
            for path in MODULE_PATH.findall(read(page)):
                with self.subTest(page=page.name, path=path):
                    if "/" in path:
                        self.assertIsNotNone(module_file(path), path)
                    else:  # a module named beside its package
                        found = (ROOT / package for package in PACKAGES if any((ROOT / package).rglob(path)))
                        self.assertTrue(any(found), path)

    def test_dotted_names_resolve(self) -> None:
        for page in (*PAGES, README):
            for name in DOTTED_NAME.findall(read(page)):
                if name.rpartition(".")[2] in FILE_ENDINGS:
                    continue
                with self.subTest(page=page.name, name=name):
                    resolve(name)

    def test_commands_name_modules_that_exist(self) -> None:
        for page in (*PAGES, README):
            for module in COMMAND.findall(read(page)):
                with self.subTest(page=page.name, module=module):
                    self.assertIsNotNone(find_spec(module), module)

    def test_every_step_of_a_drawing_names_its_module(self) -> None:
        drawings = MERMAID.findall(read(ARCHITECTURE))
        self.assertGreaterEqual(len(drawings), 4)
        steps = [step for drawing in drawings for step in MERMAID_STEP.findall(drawing)]
        self.assertGreaterEqual(len(steps), 25)
        for step in steps:
            with self.subTest(step=step):
                self.assertTrue(MODULE_PATH.findall(step), step)

    def test_names_in_a_row_stand_in_the_modules_of_that_row(self) -> None:
        """Classes and their methods that the tables of the architecture name."""
        checked = 0
        for row in table_rows(read(ARCHITECTURE)):
            text = " ".join(row)
            paths = [module_file(path) for path in MODULE_PATH.findall(text)]
            modules = [self._import(path) for path in paths if path is not None]
            for name in CLASS_NAME.findall(text):
                with self.subTest(name=name):
                    self.assertTrue(any(self._has(module, name) for module in modules), f"{name} in {text}")
                checked += 1
        self.assertGreaterEqual(checked, 10)

    @staticmethod
    def _import(path: Path) -> Any:
        return importlib.import_module(".".join(path.relative_to(ROOT).with_suffix("").parts))

    @staticmethod
    def _has(module: Any, name: str) -> bool:
        found = module
        for part in name.split("."):
            if not hasattr(found, part):
                return False
            found = getattr(found, part)
        return True


class PackagePages(unittest.TestCase):
    """The pages of single packages: their modules and states."""

    def test_every_module_of_the_package_has_a_row(self) -> None:
        for page, package in ((DATA_PLANE, "data_plane"), (DISTRIBUTION, "distribution")):
            rows = table_rows(read(page).partition("\n## ")[0])
            named = {name for row in rows for name in NAME.findall(row[0])}
            files = {path.stem for path in (ROOT / "rosechute" / package).glob("*.py")} - {"__init__"}
            with self.subTest(package=package):
                self.assertEqual(sorted(named), sorted(files))

    def test_states_of_a_request(self) -> None:
        section = read(DATA_PLANE).partition("\n## States of a request\n")[2].partition("\n## ")[0]
        states = {row[0].strip("`"): set(re.findall(r"`([a-z ]+)`", row[2])) for row in table_rows(section)}
        expected = {state.value: {after.value for after in following} for state, following in TRANSITIONS.items()}
        self.assertEqual(states, expected)

    def test_states_of_the_distribution(self) -> None:
        section = read(DISTRIBUTION).partition("\n## States\n")[2].partition("\n## ")[0]
        states = [set(re.findall(r"`([a-z ]+)`", row[1])) for row in table_rows(section)]
        enums = (PublisherState, SearchState, SubscriptionState, LinkState)
        self.assertEqual(states, [{state.value for state in each} for each in enums])


class Glossary(unittest.TestCase):
    """The table of terms."""

    def test_every_name_in_the_code_resolves(self) -> None:
        rows = list(table_rows(read(GLOSSARY)))
        self.assertGreaterEqual(len(rows), 60)
        for row in rows:
            with self.subTest(row=row[0]):
                self.assertEqual(len(row), 4, row)
                words, term, names, _ = row
                self.assertTrue(words and term, row)
                found = [name for name in NAME.findall(names) if "." in name]
                self.assertTrue(found, f"no name in the code: {row}")
                for name in found:
                    resolve(name)

    def test_no_word_stands_twice(self) -> None:
        words = [row[0] for row in table_rows(read(GLOSSARY))]
        self.assertEqual(sorted(set(words)), sorted(words))


class References(unittest.TestCase):
    """What comments and docstrings of the fleet refer to."""

    def test_pages_named_in_the_code_exist(self) -> None:
        for path in fleet_sources():
            for page in re.findall(r"\bdocs/[\w/-]+\.md", read(path)):
                with self.subTest(module=path.name, page=page):
                    self.assertTrue((ROOT / page).is_file(), page)

    def test_exceptions_named_in_the_code_stand_in_the_design(self) -> None:
        section = read(DESIGN).partition("\n## Routing")[2].partition("\n## ")[0]
        described = {row[0].strip("*") for row in table_rows(section)}
        named: set[str] = set()
        for path in (ROOT / "rosechute" / "routing").glob("*.py"):
            for text in re.findall(r'[Ee]xceptions? ("[a-z ]+"(?: and "[a-z ]+")*)', read(path)):
                named.update(re.findall(r'"([a-z ]+)"', text))
        self.assertEqual(named, described)


class Changelog(unittest.TestCase):
    """The tables of names, before and now."""

    def test_the_names_of_today_exist(self) -> None:
        section = (
            read(CHANGELOG).partition("### The fleet's code in the terms of the field")[2].partition("\n### ")[0]
        )
        modules, types, metrics = (list(table_rows(part)) for part in section.split("\n| ---")[1:])
        for row in modules:
            for name in NAME.findall(row[1]):
                with self.subTest(name=name):
                    resolve(name)
        defined = set().union(*(_top_level_names(path) for path in (ROOT / "rosechute").rglob("*.py")))
        for row in types:
            self.assertEqual(set(NAME.findall(row[1])) - defined, set())
        page = read(METRICS)
        for row in metrics:
            for name in NAME.findall(row[1]):
                with self.subTest(name=name):
                    self.assertIn(f"`{name}`", page)


def _top_level_names(path: Path) -> set[str]:
    return {node.name for node in ast.parse(read(path)).body if isinstance(node, ast.ClassDef | ast.FunctionDef)}


class Links(unittest.TestCase):
    """Relative links and their anchors."""

    def test_links_exist(self) -> None:
        for page in (CONTRIBUTING, README, *sorted((ROOT / "docs").rglob("*.md"))):
            for target in LINK.findall(read(page)):
                if target.startswith(("http://", "https://")):
                    continue
                path, _, anchor = target.partition("#")
                linked = (page.parent / path).resolve() if path else page
                with self.subTest(page=page.name, target=target):
                    self.assertTrue(linked.exists(), target)
                    if anchor:
                        self.assertIn(anchor, anchors(linked))


class LogLines(unittest.TestCase):
    """The table of log messages in run.md is that of the code."""

    def test_the_table_lists_exactly_the_messages_of_the_fleet(self) -> None:
        self.maxDiff = None
        documented = set()
        section = read(RUN).partition("\n## The log\n")[2].partition("\n## ")[0]
        for message, level, module, *_ in table_rows(section):
            documented.add((message.strip("`"), level, module.strip("`")))
        self.assertEqual(sorted(documented), sorted(logged()))

    def test_every_log_line_quoted_on_another_page_is_written_by_the_code(self) -> None:
        """Pages quote the fixed part of a message, as "log: `record write failed`"."""
        messages = [message for message, _, _ in logged()]
        quotes = [
            (page.name, quote)
            for page in sorted((ROOT / "docs" / "fleet").glob("*.md"))
            for quote in QUOTED_LOG_LINE.findall(read(page))
        ]
        self.assertGreaterEqual(len(quotes), 5)
        for page_name, quote in quotes:
            with self.subTest(page=page_name, quote=quote):
                self.assertTrue(any(message.startswith(quote) for message in messages), quote)


def logged() -> set[tuple[str, str, str]]:
    """Return message, level and module of every log call in the fleet's packages."""
    found = set()
    for path in fleet_sources():
        module = path.relative_to(ROOT / "rosechute").as_posix()
        for call in ast.walk(ast.parse(read(path))):
            if isinstance(call, ast.Call) and (level := _level(call)) is not None:
                found.add((_message(call), level, module))
    return found


def _level(call: ast.Call) -> str | None:
    """Return the level of a log call; None for any other call."""
    method = call.func
    if not isinstance(method, ast.Attribute) or method.attr not in LOG_LEVELS:
        return None
    base: ast.expr = method.value
    while isinstance(base, ast.Call) and isinstance(base.func, ast.Attribute):  # logger.bind(...), logger.opt(...)
        base = base.func.value
    if isinstance(base, ast.Name) and base.id in LOGGERS:
        return LEVEL_OF_CALL.get(method.attr, method.attr)
    return None


def _message(call: ast.Call) -> str:
    message = call.args[0]
    if not isinstance(message, ast.Constant):
        raise AssertionError(f"line {call.lineno}: a log message is a fixed text")
    return str(message.value).replace("|", "\\|")
