"""How a request's path and host are read before they are compared with routes.

A path is passed to the upstream as the caller wrote it; only the comparison reads it. What two
programs might read differently is refused, so that no request reaches a service by one reading and
a resource by another: dot segments, encoded slashes and backslashes, control characters, escapes
that are cut short, and any of these hidden by a second encoding. Empty segments count for nothing.
"""

import enum
import re
from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from result import Err, Ok, Result

#: Most paths have nothing of what is looked at more closely.
_SUSPECT = re.compile(r"/\.\.?(?:/|$)|[\\%\x00-\x1f\x7f]")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_SEPARATORS = re.compile(r"[/\\]")
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")


class PathFault(enum.Enum):
    """Why a path is refused."""

    NOT_ABSOLUTE = "the path does not begin with /"
    DOT_SEGMENT = "the path has a . or .. segment"
    ENCODED_SEPARATOR = "the path has a backslash or an encoded slash"
    CONTROL_CHARACTER = "the path has a control character"
    BAD_ESCAPE = "the path has a % that two hexadecimal digits do not follow"


@dataclass(frozen=True, slots=True)
class UnsafePath:
    """A path that is refused because programs may read it differently."""

    #: The path as the caller wrote it.
    path: str
    #: What is wrong with it.
    fault: PathFault

    def __str__(self) -> str:
        return f"{self.path!r}: {self.fault.value}"


def path_segments(path: str) -> Result[Sequence[str], UnsafePath]:
    """Return a path's decoded, non-empty segments; a query is cut off."""
    bare = path.partition("?")[0]
    if not bare.startswith("/"):
        return Err(UnsafePath(path, PathFault.NOT_ABSOLUTE))
    segments = [segment for segment in bare.split("/") if segment]
    if not _SUSPECT.search(bare):
        return Ok(segments)
    if "%" in bare:
        if _BAD_ESCAPE.search(bare):
            return Err(UnsafePath(path, PathFault.BAD_ESCAPE))
        segments = [_decoded(segment) for segment in segments]
    fault = _fault(segments)
    # An upstream that decodes twice must not find what was refused to one that decodes once.
    if fault is None and any("%" in segment for segment in segments):
        fault = _fault([_decoded(segment) for segment in segments])
    return Ok(segments) if fault is None else Err(UnsafePath(path, fault))


def normalised_host(host: str) -> str:
    """Return a Host in lower case without its port and final dot."""
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
