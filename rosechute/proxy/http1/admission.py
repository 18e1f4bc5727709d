"""Validation of requests: reads a request's class, deadline and attributes from its head, or rejects it."""

from __future__ import annotations

import math
import re

from rosechute.load_balancing.interface import RequestClass, Settings
from rosechute.proxy.core.ports import RequestInfo, Routes
from rosechute.proxy.http1.message import Message

REQUEST_ID = re.compile(rb"[!-~]{1,256}")
# Time in which requests in the form of the previous settings are still accepted: clients switch up to 1.2 s later.
PREVIOUS_FORM_S = 2.0
SECONDS_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,12})?")
SINGLE_VALUED_HEADERS = (b"x-request-id", b"x-timeout", b"idempotency-key", b"x-tenant-id")


class RequestValidator:
    """Validates requests against the settings.

    Servers reject requests that they can't use and close the connection on requests that they can't parse.
    Neither kind may reach them.

    Args:
        settings: The current settings.
        previous: The validator of the previous settings, if there was one.
        now: Time of the change of settings, in seconds.
        client_settings: The settings that clients know, where operators have made `settings` stricter.
        routes: Routes of the operators' configuration.
    """

    def __init__(
        self,
        settings: Settings,
        previous: RequestValidator | None = None,
        now: float = 0.0,
        client_settings: Settings | None = None,
        routes: Routes | None = None,
    ) -> None:
        self._classes = {c.name.encode(): (i, c) for i, c in enumerate(settings.classes)}
        self._client_classes = {c.name.encode(): c for c in (client_settings or settings).classes}
        self._routes = routes
        self._previous_classes: dict[bytes, tuple[int, RequestClass]] = {}
        self._previous_until = now + PREVIOUS_FORM_S
        if previous is not None:
            self._previous_classes = dict(previous._previous_classes) if now < previous._previous_until else {}
            self._previous_classes.update({name: (-1, c) for name, (_, c) in previous._classes.items()})
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def validate(self, message: Message, now: float) -> RequestInfo | int:
        """Return the attributes of a request, or the status with which to reject it.

        The method and the idempotency key determine how a request may be repeated. A request in the form of the
        previous settings is recognized by these two and accepted under the previous settings.
        """
        headers_by_name = message.headers_by_name
        if headers_by_name is None:
            headers_by_name = {}
            for name, value in message.headers:
                if name in headers_by_name and name in SINGLE_VALUED_HEADERS:
                    return 400  # ambiguous: two readers could each use a different value
                headers_by_name.setdefault(name, value)
        request_id = headers_by_name.get(b"x-request-id", b"")
        if REQUEST_ID.fullmatch(request_id) is None or message.target[:1] != b"/":
            return 400
        rule = None
        if self._routes is not None:
            rule = self._routes.find(
                message.method, message.target, headers_by_name.get(b"x-tenant-id"), headers_by_name
            )
        name = message.target[1:].partition(b"?")[0].partition(b"/")[0] if rule is None else rule.cls.encode()
        has_key = b"idempotency-key" in headers_by_name
        entry = self._classes.get(name)
        error_status = 404 if entry is None else _form_error(self._client_classes[name], message, has_key)
        if error_status and name in self._previous_classes and now < self._previous_until:
            entry = self._previous_classes[name]
            error_status = _form_error(entry[1], message, has_key)
        if error_status or entry is None:
            return error_status
        class_index, cls = entry
        wait_ns = cls.deadline_ns
        timeout = headers_by_name.get(b"x-timeout")
        if timeout is not None:
            if SECONDS_PATTERN.fullmatch(timeout) is None or not (seconds := float(timeout)):
                return 400
            wait_ns = min(wait_ns, int(seconds * 1e9))
        cost = _parse_number(headers_by_name.get(b"x-cost"))
        return RequestInfo(
            request_id,
            class_index,
            cls,
            wait_ns,
            int(min(max(cost, 0.0), 1e9) * 1e3),
            self._tenants.get(headers_by_name.get(b"x-tenant-id", b""), -1 if self._tenants else 0),
            _find_cookie(headers_by_name.get(b"cookie"), b"key"),
            headers_by_name.get(b"x-retried") == b"1",
            b"x-attrs" in headers_by_name and _parse_attributes(headers_by_name[b"x-attrs"]).get("write") == "1",
            rule,
        )


def _form_error(cls: RequestClass, message: Message, has_key: bool) -> int:
    """Return the status for a request whose method, body or key contradicts its class; 0 if it is valid."""
    if message.method != (b"GET" if cls.repeat == "free" else b"POST"):
        return 405
    if message.method == b"GET" and message.body:
        return 400
    return 400 if (cls.repeat == "guarded") != has_key else 0


def _parse_number(text: bytes | None) -> float:
    """Parse a finite number; return 0 for anything else."""
    if text is None:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if math.isfinite(value) else 0.0


def _find_cookie(header: bytes | None, name: bytes) -> str:
    """Return the value of a cookie; empty if the header does not contain it."""
    if not header:
        return ""
    for part in header.split(b";"):
        key, _, value = part.strip().partition(b"=")
        if key == name:
            return value.decode("latin-1")
    return ""


def _parse_attributes(header: bytes) -> dict[str, str]:
    """Parse `name=value` pairs that are separated by commas."""
    pairs = (part.partition("=") for part in header.decode("latin-1").split(","))
    return {name.strip(): value.strip() for name, _, value in pairs}
