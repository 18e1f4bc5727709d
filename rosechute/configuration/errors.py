"""Errors of process settings and of the operator's configuration.

They are returned as the failure of a `Result`, not raised. Operators read their texts, so tests check the format.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

_DECODER_MESSAGE = re.compile(r"^(?P<reason>.*?)(?: - at `(?P<path>[^`]*)`)?$", re.DOTALL)
_ROOT = "$"  # how the decoder denotes the root of the document


@dataclass(frozen=True, slots=True)
class InvalidInputError:
    """The reason why a document cannot be used. Base class of the errors of this package."""

    step: str
    """The step that failed: `read`, `decode` or `check`."""
    field: str
    """The field, for example `routes[3].timeout_ms`; empty if the error concerns the document as a whole."""
    reason: str
    """One sentence, which names the invalid value where there is one."""
    source: str = ""
    """The file or address that the document came from; empty if the caller knows it."""

    def __str__(self) -> str:
        """Return the error in one line, as operators see it."""
        source = f"{self.source}: " if self.source else ""
        field = f"{self.field}: " if self.field else ""
        return f"{source}{self.step}: {field}{self.reason}"


class SettingsError(InvalidInputError):
    """A settings file that cannot be used."""

    __slots__ = ()


class ConfigurationError(InvalidInputError):
    """An operator's configuration that is invalid."""

    __slots__ = ()


def split_field_and_reason(message: str) -> tuple[str, str]:
    """Split a message of the JSON decoder.

    Args:
        message: The decoder's text, such as "Expected `int`, got `str` - at `$.routes[0].priority`".

    Returns:
        The field in the notation of `InvalidInputError.field`, and the reason.
    """
    match = _DECODER_MESSAGE.match(message)
    if match is None:
        return "", message
    field = (match["path"] or "").removeprefix(_ROOT).removeprefix(".")
    return field, match["reason"]
