"""Fast path for ordinary messages: parses a complete message with simple headers, or declines. Pure: no I/O.

Most requests and responses arrive in one read and in the same simple form. For these, a regular expression and a
split replace the parser and its callback for each field, at a fraction of the cost. Anything unusual is left to the
parser: fields about framing or the connection, a second length, a folded line, trailing bytes, an incomplete body.
The fast path accepts nothing that the parser would reject, and returns the same result as the parser. Tests compare
the two.
"""

from __future__ import annotations

import re

Fields = list[tuple[bytes, bytes]]

_FIELD = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*\r\n"
REQUEST = re.compile(rb"(GET|POST) (/[!-~]*) HTTP/1\.1\r\n((?:" + _FIELD + rb")+)\r\n")
REPLY = re.compile(rb"HTTP/1\.1 200 [ -~]*\r\n((?:" + _FIELD + rb")+)\r\n")
LENGTH = re.compile(rb"[0-9]{1,8}")
# Fields that affect the framing of the message or the persistence of the connection.
SPECIAL_FIELDS = frozenset(
    {b"transfer-encoding", b"upgrade", b"expect", b"keep-alive", b"proxy-connection", b"te", b"trailer"}
)
# Values of the field `connection` that have the default meaning.
KEEP_ALIVE_VALUES = (None, b"keep-alive", b"Keep-Alive")
# A complete request: method, target, fields, fields by name (no name is repeated), body.
Request = tuple[bytes, bytes, Fields, dict[bytes, bytes], bytes]


def request(data: bytes, max_head: int, max_body: int) -> Request | None:
    """Parse `data` as exactly one complete request; return `None` if the parser is needed."""
    matched = REQUEST.match(data, 0, max_head)
    if matched is None:
        return None
    end = matched.end()
    fields = _fields(matched[3])
    fields_by_name = dict(fields)
    if (
        len(fields_by_name) != len(fields)
        or b"host" not in fields_by_name
        or not SPECIAL_FIELDS.isdisjoint(fields_by_name)
    ):
        return None
    if fields_by_name.get(b"connection") not in KEEP_ALIVE_VALUES:
        return None
    length = fields_by_name.get(b"content-length")
    size = len(data) - end
    if length is None:
        if size:
            return None
    elif LENGTH.fullmatch(length) is None or int(length) != size or size > max_body:
        return None
    return matched[1], matched[2], fields, fields_by_name, data[end:] if size else b""


def reply(data: bytes, max_head: int, max_body: int) -> tuple[Fields, bytes] | None:
    """Parse `data` as exactly one complete response with status 200.

    Return its fields and its body, or `None` if the parser is needed.
    """
    matched = REPLY.match(data, 0, max_head)
    if matched is None:
        return None
    end = matched.end()
    fields = _fields(matched[1])
    length = None
    for name, value in fields:
        if name == b"content-length":
            if length is not None:
                return None
            length = value
        elif name in SPECIAL_FIELDS or (name == b"connection" and value not in KEEP_ALIVE_VALUES):
            return None
    size = len(data) - end
    if length is None or LENGTH.fullmatch(length) is None or int(length) != size:
        return None
    if size > max_body:
        return None
    return fields, data[end:]


def _fields(text: bytes) -> Fields:
    """Return the fields of a head that matches the regular expression."""
    parts = [line.partition(b":") for line in text[:-2].split(b"\r\n")]  # the expression guarantees the colon
    return [(name.lower(), value.strip(b" \t")) for name, _, value in parts]
