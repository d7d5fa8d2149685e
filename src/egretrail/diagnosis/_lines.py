"""Parses log lines of ``key=value`` pairs."""

import math
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log event of one instance."""

    #: The time of the event by the instance's wall clock, in seconds.
    time_s: float
    #: The instance that logged the event.
    instance: str
    #: The event's name.
    event: str
    #: All other fields.
    fields: Mapping[str, str]

    def __str__(self) -> str:
        pairs = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time_s:.3f} {self.instance} {self.event} {pairs}".rstrip()


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of a log; lines in any other format are skipped.

    A process that is killed may leave a line without its end, to which the next line of the file is
    appended. The fields are therefore read from the last start of a line on. A line that ends with
    a request's id is skipped: fields follow it in every event, so the id may lack its end and be
    that of another request.
    """
    for line in lines:
        start = line.rfind("time=", 0, max(line.rfind(" instance="), 0))
        if start < 0:
            continue
        fields = _parse_fields(line[start:])
        try:
            time_s = float(fields.pop("time"))
            if not math.isfinite(time_s) or next(reversed(fields), "") == "id":
                continue
            yield LogLine(time_s, fields.pop("instance"), fields.pop("event"), fields)
        except (KeyError, ValueError):
            continue


def _parse_fields(text: str) -> dict[str, str]:
    """Return the fields of a line.

    Most values have no quotation marks, and splitting at blanks takes half the time of the pattern.
    """
    plain, mark, _ = text.partition('"')
    quoted_start = plain.rfind(" ") if mark else len(text)
    try:
        fields = dict([pair.split("=", 1) for pair in text[:quoted_start].split()])
    except ValueError:
        fields, quoted_start = {}, 0
    if mark or not quoted_start:
        for key, value in _PAIR.findall(text, quoted_start):
            fields[key] = _unquote(value)
    return fields


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(lambda match: "\n" if match[1] == "n" else match[1], value[1:-1])
