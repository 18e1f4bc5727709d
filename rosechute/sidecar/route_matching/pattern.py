"""Paths as operators write them: exact, with templates, or with everything below. Pure.

    /confirm-booking              that path alone
    /confirm-booking/{id}         any one part in the place of {id}, never an empty one
    /confirm-booking/*            everything below /confirm-booking/, and that itself

Paths are compared part by part after percent-encoded letters, digits and -._~ have been decoded, which by
RFC 3986, 6.2.2.2, name the same resource; nothing else about them is changed, and what goes on to a server
is what came.
"""

from __future__ import annotations

import re
from typing import NamedTuple

MOST_PARTS = 32
LITERAL = re.compile(rb"[A-Za-z0-9._~!$&'()+,;=:@-]*")
TEMPLATE = re.compile(rb"\{[A-Za-z_][A-Za-z0-9_]*\}")
ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})")
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")


class Pattern(NamedTuple):
    """A path pattern. `parts` holds a literal's bytes, or None for a template."""

    parts: tuple[bytes | None, ...]
    below: bool
    """Whether everything below matches, too."""

    @property
    def shape(self) -> tuple[int, ...]:
        """How specific it is, part by part: 2 for a literal, 1 for a template, 0 for everything below. Of two
        patterns that match the same path the one with the larger shape is the more specific."""
        return (*(1 if part is None else 2 for part in self.parts), *((0,) if self.below else (3,)))

    def overlaps(self, other: Pattern) -> bool:
        """Whether some path matches both."""
        mine, theirs = len(self.parts), len(other.parts)
        if (mine > theirs and not other.below) or (theirs > mine and not self.below):
            return False
        return all(a is None or b is None or a == b for a, b in zip(self.parts, other.parts, strict=False))


def parse(text: str) -> Pattern:
    """Read a pattern; raise ValueError with a sentence for the operator."""
    if not text.startswith("/"):
        raise ValueError("a path begins with /")
    if "?" in text or "#" in text:
        raise ValueError("a path has no query and no fragment; requests match whatever their query is")
    try:
        parts = decoded(text.encode("ascii")).split(b"/")[1:]
    except UnicodeEncodeError:
        raise ValueError("a path is ASCII; write other characters percent-encoded") from None
    below = parts[-1] == b"*"
    if below:
        parts.pop()
        if not parts:
            raise ValueError("it would match every request; name at least the first part of the path")
    if len(parts) > MOST_PARTS:
        raise ValueError(f"it has {len(parts)} parts; {MOST_PARTS} are the most")
    found: list[bytes | None] = []
    names = set()
    for i, part in enumerate(parts):
        if TEMPLATE.fullmatch(part):
            if part in names:
                raise ValueError(f"{part.decode()} stands there twice")
            names.add(part)
            found.append(None)
        elif b"*" in part:
            raise ValueError("* stands for all that follows, as the whole last part of a path")
        elif b"{" in part or b"}" in part:
            raise ValueError(f"{part.decode()!r} is no template; one fills a whole part, such as {{id}}")
        elif part in (b".", b".."):
            raise ValueError("parts . and .. never reach a route")
        elif not part and (i < len(parts) - 1 or below):
            raise ValueError("it has an empty part")
        elif ENCODED.sub(b"", part) and LITERAL.fullmatch(ENCODED.sub(b"", part)) is None:
            raise ValueError(f"{part.decode()!r} has a character that no path has")
        else:
            found.append(part)
    if not found or found[0] is None or not found[0]:
        raise ValueError("the first part of a path names what is asked for; it can be no template")
    return Pattern(tuple(found), below)


def decoded(path: bytes) -> bytes:
    """A path with the characters decoded that need no encoding."""
    if b"%" not in path:
        return path
    return ENCODED.sub(lambda found: _character(found[0], int(found[1], 16)), path)


def _character(text: bytes, code: int) -> bytes:
    return bytes((code,)) if code in UNRESERVED else text.upper()
