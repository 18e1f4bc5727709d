"""Errors of frames and links."""

from __future__ import annotations

from dataclasses import dataclass


class MessageError(Exception):
    """Base of the exceptions of this package."""


class FrameError(MessageError, ValueError):
    """A frame that is over the size limit or of an unknown kind. The stream cannot be read any further."""


@dataclass(frozen=True, slots=True)
class LinkError:
    """The reason why a link could not be opened, or has ended. Passed to the owner of a pool, not raised."""

    step: str
    """The step that failed: `connect`, or `open` for a link that was in use."""
    peer: str
    """The address of the other side, `host:port`."""
    reason: str
    """One sentence, from the operating system or from this package."""
