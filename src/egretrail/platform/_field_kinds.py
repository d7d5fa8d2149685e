"""Kinds of fields: each turns a decoded value of any type into a bounded one, or refuses it.

They are declared by hand. Pydantic would add half to the memory of a gateway process.
"""

import abc
import ipaddress
import re
from collections.abc import Mapping, Sequence
from typing import Any, Generic, TypeVar

T_co = TypeVar("T_co", covariant=True)

_PORT_MAX = 65_535
_PORT_DIGITS_MAX = 5
#: An IPv6 address with a scope, and a port.
_ADDRESS_BYTES_MAX = 64
#: A JSON number without a sign, and a unit. The lengths bound the cost of the conversion.
_DURATION = re.compile(r"([0-9]{1,30}(?:\.[0-9]{1,30})?(?:[eE][+-]?[0-9]{1,3})?)(ms|s)", re.ASCII)
_UNITS_S = {"ms": 0.001, "s": 1.0}
_HEXADECIMAL = re.compile("[0-9a-fA-F]+", re.ASCII)
_SHOWN_CHARACTERS_MAX = 60
_SHOWN_BITS_MAX = 64


class FieldKind(abc.ABC, Generic[T_co]):
    """What a field may hold."""

    #: What an invalid field reads as, so that the other fields can be checked, too.
    empty: T_co

    @abc.abstractmethod
    def decode(self, value: object) -> T_co:
        """Return the field's value; raises ValueError for any value that it may not hold."""


class Text(FieldKind[str]):
    """Printable text that can be encoded as UTF-8, with a size in bytes."""

    empty = ""

    def __init__(self, max_bytes: int, min_bytes: int = 0) -> None:
        self._min_bytes = min_bytes
        self._max_bytes = max_bytes

    def decode(self, value: object) -> str:
        """Return the text; raises ValueError for any other value."""
        if not isinstance(value, str):
            raise _wrong_type(value)
        if not value.isprintable():
            raise ValueError(f"{shown(value)} has unprintable characters")
        size_bytes = len(value) if value.isascii() else len(value.encode())
        if not self._min_bytes <= size_bytes <= self._max_bytes:
            raise ValueError(f"{size_bytes} bytes, not {self._min_bytes} to {self._max_bytes}")
        return value


class HeaderText(Text):
    """Text that a header field can hold; never empty."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(max_bytes, min_bytes=1)

    def decode(self, value: object) -> str:
        """Return the text; raises ValueError for any other value."""
        text = super().decode(value)
        if not text.isascii() or text != text.strip():
            raise ValueError(f"{shown(text)} is no value of a header field")
        return text


class RequestPath(Text):
    """A path that stands in a request's first line."""

    def decode(self, value: object) -> str:
        """Return the path; raises ValueError for any other value."""
        path = super().decode(value)
        if not path.startswith("/") or not path.isascii() or " " in path:
            raise ValueError(f"{shown(path)} is no path of a request")
        return path


class PathPrefix(Text):
    """The beginning of paths, up to a slash."""

    def decode(self, value: object) -> str:
        """Return the prefix; raises ValueError for any other value."""
        prefix = super().decode(value)
        if not (prefix.startswith("/") and prefix.endswith("/")):
            raise ValueError(f"{shown(prefix)} does not begin and end with a slash")
        return prefix


class Integer(FieldKind[int]):
    """An integer within bounds."""

    def __init__(self, minimum: int, maximum: int) -> None:
        self._minimum = minimum
        self._maximum = maximum
        self.empty = minimum

    def decode(self, value: object) -> int:
        """Return the integer; raises ValueError for any other value."""
        if not isinstance(value, int) or isinstance(value, bool):
            raise _wrong_type(value)
        if not self._minimum <= value <= self._maximum:
            raise ValueError(f"{shown(value)} is not {self._minimum} to {self._maximum}")
        return value


class HexInteger(FieldKind[int]):
    """An integer that is written as hexadecimal digits only."""

    empty = 0

    def __init__(self, max_digits: int) -> None:
        self._max_digits = max_digits

    def decode(self, value: object) -> int:
        """Return the integer; raises ValueError for any other value."""
        if not isinstance(value, str):
            raise _wrong_type(value)
        if not 1 <= len(value) <= self._max_digits or not _HEXADECIMAL.fullmatch(value):
            raise ValueError(f"{shown(value)} is not 1 to {self._max_digits} hexadecimal digits")
        return int(value, 16)


class Number(FieldKind[float]):
    """A number within finite bounds."""

    def __init__(self, minimum: float, maximum: float) -> None:
        self._minimum = minimum
        self._maximum = maximum
        self.empty = minimum

    def decode(self, value: object) -> float:
        """Return the number; raises ValueError for any other value."""
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise _wrong_type(value)
        # False for NaN, and exact for integers that no float can hold.
        if not self._minimum <= value <= self._maximum:
            raise ValueError(f"{shown(value)} is not {self._minimum:g} to {self._maximum:g}")
        return float(value)


class Duration(FieldKind[float]):
    """A duration such as ``1500ms`` or ``2.5s``, in seconds."""

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self.empty = min_s

    def decode(self, value: object) -> float:
        """Return the duration in seconds; raises ValueError for any other value."""
        if not isinstance(value, str):
            raise _wrong_type(value)
        match = _DURATION.fullmatch(value)
        if match is None:
            raise ValueError(f"not a duration: {shown(value)}")
        duration_s = float(match[1]) * _UNITS_S[match[2]]
        if not self._min_s <= duration_s <= self._max_s:
            raise ValueError(f"{shown(value)} is not {self._min_s:g} to {self._max_s:g} s")
        return duration_s


class Flag(FieldKind[bool]):
    """A boolean."""

    empty = False

    def decode(self, value: object) -> bool:
        """Return the boolean; raises ValueError for any other value."""
        if not isinstance(value, bool):
            raise _wrong_type(value)
        return value


class Choice(FieldKind[T_co]):
    """One of several texts; any other text stands for ``other``, or is refused without one."""

    def __init__(self, values: Mapping[str, T_co], empty: T_co, other: T_co | None = None) -> None:
        self._values = values
        self._other = other
        self.empty = empty

    def decode(self, value: object) -> T_co:
        """Return what the text stands for; raises ValueError for any other value."""
        if not isinstance(value, str):
            raise _wrong_type(value)
        chosen = self._values.get(value, self._other)
        if chosen is None:
            raise ValueError(f"{shown(value)} is none of {', '.join(self._values)}")
        return chosen


class Address(FieldKind[str]):
    """An IP address and a port above 0."""

    empty = ""
    _TEXT = HeaderText(_ADDRESS_BYTES_MAX)

    def decode(self, value: object) -> str:
        """Return the address; raises ValueError for any other value."""
        address = self._TEXT.decode(value)
        host, _, port = address.rpartition(":")
        ipaddress.ip_address(host)
        is_port = port.isdecimal() and len(port) <= _PORT_DIGITS_MAX
        if not is_port or not 0 < int(port) <= _PORT_MAX:
            raise ValueError(f"{shown(port)} is no port")
        return address


class InstanceIP(FieldKind[str]):
    """The IP address of an instance; rosters of peers hold IPv4 addresses."""

    empty = ""
    _TEXT = HeaderText(_ADDRESS_BYTES_MAX)

    def decode(self, value: object) -> str:
        """Return the IP address; raises ValueError for any other value."""
        return str(ipaddress.IPv4Address(self._TEXT.decode(value)))


class Rows(FieldKind[Sequence[Any]]):
    """A list of a bounded length, whose rows are decoded by other kinds."""

    empty: Sequence[Any] = ()

    def __init__(self, max_rows: int) -> None:
        self._max_rows = max_rows

    def decode(self, value: object) -> Sequence[Any]:
        """Return the list; raises ValueError for any other value."""
        if not isinstance(value, list):
            raise _wrong_type(value)
        if len(value) > self._max_rows:
            raise ValueError(f"{len(value)} rows, more than {self._max_rows}")
        return value


def shown(value: str | int | float) -> str:
    """Return a value as it is shown in a fault; of a long one, the start."""
    if isinstance(value, int) and value.bit_length() > _SHOWN_BITS_MAX:
        return f"an integer of {value.bit_length()} bits"
    if not isinstance(value, str):
        return repr(value)
    rest = "..." if len(value) > _SHOWN_CHARACTERS_MAX else ""
    return f"'{escaped(value, _SHOWN_CHARACTERS_MAX)}{rest}'"


def escaped(text: str, max_characters: int) -> str:
    """Return the start of a text in printable ASCII."""
    return text[:max_characters].encode("unicode_escape").decode("ascii")[:max_characters]


def _wrong_type(value: object) -> ValueError:
    # The message leaves the value out, because it may be a secret.
    return ValueError(f"wrong type: {type(value).__name__}")
