"""Normalisation of a request's path and host for the comparison with routes.

The upstream receives the path exactly as the client sent it; the normalised form is used only for
matching. Paths that two programs may interpret differently are refused, so that no request is
routed by one interpretation and served by another. These are paths with dot segments, encoded
slashes, backslashes, control characters or truncated escapes, also if a second encoding hides them.
Empty segments are ignored.
"""

import enum
import re
from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from result import Err, Ok, Result

#: Detects the paths that need a closer inspection; most paths do not.
_NEEDS_INSPECTION = re.compile(r"/\.\.?(?:/|$)|[\\%\x00-\x1f\x7f]")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_SEPARATORS = re.compile(r"[/\\]")
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")


class PathFault(enum.Enum):
    """Reason for refusing a path."""

    NOT_ABSOLUTE = "the path does not begin with /"
    DOT_SEGMENT = "the path has a . or .. segment"
    ENCODED_SEPARATOR = "the path has a backslash or an encoded slash"
    CONTROL_CHARACTER = "the path has a control character"
    BAD_ESCAPE = "the path has a % that two hexadecimal digits do not follow"


@dataclass(frozen=True, slots=True)
class UnsafePath:
    """A path that is refused because programs may interpret it differently."""

    #: The path as the client sent it.
    path: str
    #: The reason for the refusal.
    fault: PathFault

    def __str__(self) -> str:
        return f"{self.path!r}: {self.fault.value}"


def path_segments(path: str) -> Result[Sequence[str], UnsafePath]:
    """Return the decoded, non-empty segments of a path without its query."""
    bare = path.partition("?")[0]
    if not bare.startswith("/"):
        return Err(UnsafePath(path, PathFault.NOT_ABSOLUTE))
    segments = [segment for segment in bare.split("/") if segment]
    if not _NEEDS_INSPECTION.search(bare):
        return Ok(segments)
    if "%" in bare:
        if _BAD_ESCAPE.search(bare):
            return Err(UnsafePath(path, PathFault.BAD_ESCAPE))
        segments = [_decoded(segment) for segment in segments]
    fault = _fault(segments)
    # Checks the doubly decoded form as well, for upstreams that decode a path twice.
    if fault is None and any("%" in segment for segment in segments):
        fault = _fault([_decoded(segment) for segment in segments])
    return Ok(segments) if fault is None else Err(UnsafePath(path, fault))


def normalised_host(host: str) -> str:
    """Return a Host in lower case, without port and trailing dot."""
    lowered = host.strip().lower()
    if lowered.startswith("["):
        return lowered.partition("]")[0] + "]"
    return lowered.partition(":")[0].removesuffix(".")


def _fault(segments: Sequence[str]) -> PathFault | None:
    for segment in segments:
        if segment in {".", ".."}:
            return PathFault.DOT_SEGMENT
        if _SEPARATORS.search(segment):
            return PathFault.ENCODED_SEPARATOR
        if _CONTROL.search(segment):
            return PathFault.CONTROL_CHARACTER
    return None


def _decoded(segment: str) -> str:
    return unquote_to_bytes(segment).decode("utf-8", "surrogateescape")
