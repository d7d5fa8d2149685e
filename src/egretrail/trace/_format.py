"""The text format of a trace: JSON lines, the header first."""

import dataclasses
import enum
import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from egretrail.trace._records import (
    Expectation,
    Fault,
    MemberLost,
    Trace,
    TracedRequest,
    TraceHeader,
)

#: Version of the format; the reader rejects other versions.
TRACE_VERSION = 1

_HEADER = TypeAdapter(TraceHeader)
_RECORDS: Mapping[str, TypeAdapter[Any]] = {
    "request": TypeAdapter(TracedRequest),
    "fault": TypeAdapter(Fault),
    "lost-member": TypeAdapter(MemberLost),
    "expectation": TypeAdapter(Expectation),
}
_OPTIONAL_BOUNDS = ("least", "most")


@dataclass(frozen=True, slots=True)
class MalformedTrace:
    """The text is not a trace of this version."""

    #: Number of the invalid line, from 1.
    line: int
    #: Why the line is invalid.
    reason: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.reason}"


def trace_lines(trace: Trace) -> Iterator[str]:
    """Yield the lines of a trace."""
    yield _line("header", trace.header, version=TRACE_VERSION)
    for request in trace.requests:
        yield _line("request", request)
    for fault in trace.faults:
        yield _line("fault", fault)
    for lost in trace.lost_members:
        yield _line("lost-member", lost)
    for expectation in trace.expectations:
        yield _line("expectation", expectation)


def parse_trace(lines: Iterable[str]) -> Result[Trace, MalformedTrace]:
    """Parse a trace; fails at the first invalid line."""
    header: TraceHeader | None = None
    records: dict[str, list[Any]] = {kind: [] for kind in _RECORDS}
    for number, line in enumerate(lines, 1):
        try:
            record = json.loads(line)
            kind = record.pop("record")
            if header is None:
                if kind != "header" or record.pop("version") != TRACE_VERSION:
                    reason = f"a header of version {TRACE_VERSION} is expected"
                    return Err(MalformedTrace(number, reason))
                header = _HEADER.validate_python(record)
            else:
                records[kind].append(_RECORDS[kind].validate_python(record))
        except (json.JSONDecodeError, AttributeError, KeyError, ValidationError) as error:
            return Err(MalformedTrace(number, f"{type(error).__name__}: {error}"))
    if header is None:
        return Err(MalformedTrace(1, "the text is empty"))
    requests = sorted(records["request"], key=lambda each: float(each.at_s))
    return Ok(
        Trace(header, requests, records["fault"], records["lost-member"], records["expectation"])
    )


def _line(kind: str, record: Any, **extra: int) -> str:
    fields = {"record": kind, **extra, **dataclasses.asdict(record)}
    if kind == "expectation":
        # JSON has no infinity, so a bound that is not set is omitted.
        bounds = {
            name: fields[name] for name in _OPTIONAL_BOUNDS if abs(fields[name]) != float("inf")
        }
        fields = {"record": kind, "figure": fields["figure"], **bounds}
    return json.dumps(fields, separators=(",", ":"), default=_to_json_value)


def _to_json_value(value: object) -> object:
    return value.value if isinstance(value, enum.Enum) else str(value)
