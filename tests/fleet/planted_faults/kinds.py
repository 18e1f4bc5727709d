"""The kinds of faults: for each place of a syntax tree, the changes that take one protection away."""

from __future__ import annotations

import ast
import copy
import re
from collections.abc import Iterator
from dataclasses import dataclass

GENERATION_NAMES = re.compile(
    r"term|epoch|ballot|boot|incarnation|sequence|version|generation|stamp|digest|number|round|token|tag\b|checksum|"
    r"_id\b|\.id\b|identity|attempt"
)
SECONDS_NAMES = re.compile(r"(_S|_SECONDS|HEARTBEATS)$")
DURATIONS = re.compile(r"_S$|lease|margin|timing\.|timeout|deadline|grace")
LEASES = re.compile(r"lease")
TIMING_CLASSES = re.compile(r"Timing|Tuning")
SAVING_FUNCTIONS = re.compile(
    r"^(_apply_\w+|message|whole|snapshot_record|after|in_epoch|\w+_of|with_write|with_epoch|(\w+_)?(to|from)_message|"
    r"_?encode\w*|_?decode\w*)$"
)
SYNCS = {"sync", "fsync", "fdatasync", "sync_entries", "_sync_directory_entries"}
SAVES = {"CopyFrom", "write", "defer", "_record", "_note", "_write_record", "_save_grantee", "commit", "truncate"}
ENDS = {"abstain", "expire", "stop", "clear", "give_up", "reject_all", "release", "reset", "cancel", "close"}
WAITS = {"after", "call_when_synced"}
STEPS = SYNCS | SAVES | ENDS
Function = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass(frozen=True, slots=True)
class Change:
    """One node of the tree and the source to put in its place."""

    function: str  # qualified name, or the class or constant
    kind: str
    shown: str  # the source that the id shows
    node: ast.expr | ast.stmt
    replacement: str


def changes(tree: ast.Module) -> Iterator[Change]:
    """All changes for a file."""
    yield from _below(tree, ())


def _below(node: ast.AST, names: tuple[str, ...]) -> Iterator[Change]:
    for child in ast.iter_child_nodes(node):
        if isinstance(child, ast.JoinedStr | ast.Assert):
            continue  # formatted text is for readers only, assertions are for the type checker
        inner = names
        if isinstance(child, Function | ast.ClassDef):
            inner = (*names, child.name)
        for kind, shown, target, replacement in _at(child, node, names):
            yield Change(".".join(names) or "module", kind, shown, target, replacement)
        yield from _below(child, inner)


Found = tuple[str, str, ast.expr | ast.stmt, str]


def _at(node: ast.AST, parent: ast.AST, names: tuple[str, ...]) -> Iterator[Found]:
    if isinstance(node, ast.If | ast.IfExp):
        yield from _conditions(node)
    elif isinstance(node, ast.comprehension):
        yield from _filters(node)
    elif isinstance(node, ast.BoolOp):
        yield from _operands(node)
    elif isinstance(node, ast.Compare):
        yield from _comparisons(node, parent)
    elif isinstance(node, ast.Call):
        yield from _calls(node, names)
    elif isinstance(node, ast.BinOp):
        yield from _durations(node)
    elif isinstance(node, ast.Assign | ast.AugAssign | ast.AnnAssign):
        yield from _constants(node, parent, names)
        yield from _assignments(node, names)
    elif isinstance(node, ast.Expr):
        yield from _steps(node)


def _conditions(node: ast.If | ast.IfExp) -> Iterator[Found]:
    """A condition dropped (a guard never applies, anything else always does) or turned."""
    shown = ast.unparse(node.test)
    if any(isinstance(each, ast.NamedExpr) for each in ast.walk(node.test)):
        return
    guard = isinstance(node, ast.If) and isinstance(node.body[-1], ast.Return | ast.Continue | ast.Break | ast.Raise)
    if guard:
        yield "drop-guard", shown, node.test, "(False)"
    else:
        yield "drop-condition", shown, node.test, "(True)"
    yield "turn-condition", shown, node.test, f"(not ({shown}))"


def _filters(node: ast.comprehension) -> Iterator[Found]:
    for test in node.ifs:
        shown = ast.unparse(test)
        yield "drop-condition", shown, test, "(True)"
        yield "turn-condition", shown, test, f"(not ({shown}))"


def _operands(node: ast.BoolOp) -> Iterator[Found]:
    """One operand of `and` or `or` dropped."""
    word = " and " if isinstance(node.op, ast.And) else " or "
    for place, operand in enumerate(node.values):
        if any(isinstance(each, ast.NamedExpr) for each in ast.walk(operand)):
            continue
        rest = [f"({ast.unparse(each)})" for number, each in enumerate(node.values) if number != place]
        yield "drop-operand", f"{ast.unparse(operand)} of {ast.unparse(node)}", node, f"({word.join(rest)})"


def _comparisons(node: ast.Compare, parent: ast.AST) -> Iterator[Found]:
    """Terms, epochs, sequences and what else tells old from new are not compared."""
    shown = ast.unparse(node)
    if not GENERATION_NAMES.search(shown) or isinstance(parent, ast.If | ast.IfExp | ast.comprehension):
        return  # a whole condition is dropped and turned already
    operator = parent.op if isinstance(parent, ast.BoolOp) else None
    if not isinstance(operator, ast.And):
        yield "compare-true", shown, node, "(True)"  # in `and` the same as an operand that is dropped
    if not isinstance(operator, ast.Or):
        yield "compare-false", shown, node, "(False)"


def _calls(node: ast.Call, names: tuple[str, ...]) -> Iterator[Found]:
    yield from _fields(node, names)
    yield from _waits(node)
    yield from _newest(node)


def _fields(node: ast.Call, names: tuple[str, ...]) -> Iterator[Found]:
    """A field of a record, message or state that isn't filled in."""
    name = node.func.attr if isinstance(node.func, ast.Attribute) else getattr(node.func, "id", "")
    if not name.lstrip("_")[:1].isupper():
        return
    for place, keyword in enumerate(node.keywords):
        if keyword.arg is not None and not isinstance(keyword.value, ast.Constant):
            changed = copy.deepcopy(node)
            del changed.keywords[place]
            yield "drop-field", f"{name}({ast.unparse(keyword)})", node, ast.unparse(changed)
    if not names or not SAVING_FUNCTIONS.match(names[-1]):
        return
    for argument in node.args:
        if not isinstance(argument, ast.Constant | ast.Starred):
            text = ast.unparse(argument)
            yield "empty-field", f"{name}({text})", argument, f"type({text})()"


def _waits(node: ast.Call) -> Iterator[Found]:
    """What should wait for a sync is done at once."""
    if not isinstance(node.func, ast.Attribute) or not ast.unparse(node.func.value).endswith(("disk", "writer")):
        return
    if len(node.args) != 2 or node.func.attr not in {*WAITS, "write"}:
        return
    first, then = ast.unparse(node.args[0]), ast.unparse(node.args[1])
    if node.func.attr in WAITS:
        yield "no-sync", ast.unparse(node), node, f"({then})()"
    else:
        yield "no-sync", ast.unparse(node), node, f"({ast.unparse(node.func)}({first}), ({then})())"


def _newest(node: ast.Call) -> Iterator[Found]:
    """One of several values is taken in place of the greatest."""
    if not isinstance(node.func, ast.Name) or node.func.id != "max":
        return
    shown = ast.unparse(node)
    if len(node.args) > 1:
        for argument in node.args:
            text = ast.unparse(argument)
            yield "no-max", f"{text} for {shown}", node, f"({text})"
    elif not any(each.arg == "default" for each in node.keywords) and not isinstance(node.args[0], ast.Starred):
        yield "no-max", f"last for {shown}", node, f"list({ast.unparse(node.args[0])})[-1]"


def _durations(node: ast.BinOp) -> Iterator[Found]:
    """A margin or lease that isn't added or taken off; a lease that runs for twice as long."""
    if not isinstance(node.op, ast.Add | ast.Sub) or not isinstance(node.right, ast.Name | ast.Attribute):
        return
    right, left = ast.unparse(node.right), ast.unparse(node.left)
    if not DURATIONS.search(right):
        return
    yield "no-margin", f"{right} of {ast.unparse(node)}", node, f"({left})"
    if LEASES.search(right) and isinstance(node.op, ast.Add):
        yield "long-lease", f"{right} of {ast.unparse(node)}", node, f"({left} + 2 * {right})"


def _constants(
    node: ast.Assign | ast.AugAssign | ast.AnnAssign, parent: ast.AST, names: tuple[str, ...]
) -> Iterator[Found]:
    """A time that is zero."""
    if isinstance(node, ast.AugAssign) or not isinstance(node.value, ast.Constant):
        return
    if not isinstance(node.value.value, int | float) or isinstance(node.value.value, bool) or not node.value.value:
        return
    target = node.target if isinstance(node, ast.AnnAssign) else node.targets[0]
    if not isinstance(target, ast.Name):
        return
    timing = isinstance(parent, ast.ClassDef) and TIMING_CLASSES.search(parent.name)
    if timing or (isinstance(parent, ast.Module) and SECONDS_NAMES.search(target.id)):
        yield "zero", target.id, node.value, "0"


def _assignments(node: ast.Assign | ast.AugAssign | ast.AnnAssign, names: tuple[str, ...]) -> Iterator[Found]:
    """A field that isn't set."""
    if not names or names[-1] == "__init__" or isinstance(node, ast.AnnAssign):
        return
    targets = node.targets if isinstance(node, ast.Assign) else [node.target]
    target, value = targets[0], node.value
    shown = ast.unparse(node)
    if len(targets) == 1 and isinstance(target, ast.Tuple) and isinstance(value, ast.Tuple):
        for place, each in enumerate(target.elts):
            if isinstance(each, ast.Attribute) and len(target.elts) == len(value.elts):
                left = ", ".join(ast.unparse(one) for number, one in enumerate(target.elts) if number != place)
                right = ", ".join(ast.unparse(one) for number, one in enumerate(value.elts) if number != place)
                yield "drop-assignment", f"{ast.unparse(each)} of {shown}", node, f"{left} = {right}"
    elif any(isinstance(each, ast.Attribute | ast.Subscript) for each in targets):
        yield "drop-assignment", shown, node, "pass"


def _steps(node: ast.Expr) -> Iterator[Found]:
    """A step that is left out: a sync, a record, a copy of a field, an end."""
    call = node.value.value if isinstance(node.value, ast.Await) else node.value
    if isinstance(call, ast.Call):
        name = call.func.attr if isinstance(call.func, ast.Attribute) else getattr(call.func, "id", "")
        if name in STEPS:
            yield "drop-call", ast.unparse(node), node, "pass"
