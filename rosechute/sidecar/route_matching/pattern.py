"""Path patterns: exact paths, templates and prefixes.

    /confirm-booking              exactly this path
    /confirm-booking/{id}         any single non-empty segment in place of {id}
    /confirm-booking/*            /confirm-booking/ and all paths below it

Paths are compared segment by segment after percent-encoded unreserved characters (letters, digits and -._~)
have been decoded, which is equivalent by RFC 3986, 6.2.2.2. No other normalization is applied, and the path is
forwarded to the server unchanged.
"""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_SEGMENTS = 32
LITERAL = re.compile(rb"[A-Za-z0-9._~!$&'()+,;=:@-]*")
TEMPLATE = re.compile(rb"\{[A-Za-z_][A-Za-z0-9_]*\}")
PERCENT_ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})")
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")


class Pattern(NamedTuple):
    """A path pattern; `parts` holds the bytes of a literal segment, or None for a template."""

    parts: tuple[bytes | None, ...]
    below: bool
    """Whether the pattern is a prefix that also matches all paths below it."""

    @property
    def shape(self) -> tuple[int, ...]:
        """Return the specificity of each segment: 2 for a literal, 1 for a template, 0 for a prefix, 3 for the end.

        Of two patterns that match the same path, the one with the larger shape is the more specific.
        """
        return (*(1 if part is None else 2 for part in self.parts), *((0,) if self.below else (3,)))

    def overlaps(self, other: Pattern) -> bool:
        """Return whether some path matches both patterns."""
        mine, theirs = len(self.parts), len(other.parts)
        if (mine > theirs and not other.below) or (theirs > mine and not self.below):
            return False
        return all(a is None or b is None or a == b for a, b in zip(self.parts, other.parts, strict=False))


def parse(text: str) -> Pattern:
    """Parse a pattern; raise ValueError with a message for the operator."""
    if not text.startswith("/"):
        raise ValueError("a path begins with /")
    if "?" in text or "#" in text:
        raise ValueError("a path has no query and no fragment; requests match regardless of their query")
    try:
        parts = decode_unreserved(text.encode("ascii")).split(b"/")[1:]
    except UnicodeEncodeError:
        raise ValueError("a path is ASCII; write other characters percent-encoded") from None
    below = parts[-1] == b"*"
    if below:
        parts.pop()
        if not parts:
            raise ValueError("it would match every request; name at least the first segment of the path")
    if len(parts) > MAX_SEGMENTS:
        raise ValueError(f"it has {len(parts)} segments; the maximum is {MAX_SEGMENTS}")
    found: list[bytes | None] = []
    names = set()
    for i, part in enumerate(parts):
        if TEMPLATE.fullmatch(part):
            if part in names:
                raise ValueError(f"{part.decode()} appears twice")
            names.add(part)
            found.append(None)
        elif b"*" in part:
            raise ValueError("* matches the rest of a path and must be the whole last segment")
        elif b"{" in part or b"}" in part:
            raise ValueError(f"{part.decode()!r} is not a template; a template is a whole segment, such as {{id}}")
        elif part in (b".", b".."):
            raise ValueError("segments . and .. never reach a route")
        elif not part and (i < len(parts) - 1 or below):
            raise ValueError("it has an empty segment")
        elif PERCENT_ENCODED.sub(b"", part) and LITERAL.fullmatch(PERCENT_ENCODED.sub(b"", part)) is None:
            raise ValueError(f"{part.decode()!r} has a character that is not valid in a path")
        else:
            found.append(part)
    if not found or found[0] is None or not found[0]:
        raise ValueError("the first segment of a path must be a literal, not a template")
    return Pattern(tuple(found), below)


def decode_unreserved(path: bytes) -> bytes:
    """Return a path with percent-encoded unreserved characters decoded and other escapes in upper case."""
    if b"%" not in path:
        return path
    return PERCENT_ENCODED.sub(lambda found: _character(found[0], int(found[1], 16)), path)


def _character(text: bytes, code: int) -> bytes:
    return bytes((code,)) if code in UNRESERVED else text.upper()
