"""Reads typed fields from decoded documents and collects every fault."""

import json
import math
from collections.abc import Mapping, Sequence
from typing import Any

_INTEGER_BOUND = 2**63
_UNITS_S = {"ms": 0.001, "s": 1.0}


def parse_duration_s(text: str) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds; raises ValueError."""
    for unit, factor in _UNITS_S.items():
        number = text.removesuffix(unit)
        if number != text and not number.endswith("m"):
            seconds = float(number) * factor
            if math.isfinite(seconds) and seconds >= 0:
                return seconds
    raise ValueError(f"not a duration: {text!r}")


def decode_json(text: str | bytes) -> object:
    """Return a decoded JSON document; raises ValueError for any malformed input."""
    try:
        if isinstance(text, str):
            # Bytes that are not UTF-8 arrive as lone surrogates, which cannot be encoded.
            text.encode()
        document: object = json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deep") from error
    return document


class TableReader:
    """Reads the fields of one table; a missing or invalid field is a fault and reads as empty."""

    def __init__(self, table: object, path: str, faults: list[str]) -> None:
        self._table: Mapping[str, Any] = table if isinstance(table, dict) else {}
        self._path = path
        self._faults = faults
        if not isinstance(table, dict):
            faults.append(f"{path}: not a table")

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string that can be encoded as UTF-8."""
        text = str(self._typed_value(name, str, "", default))
        try:
            text.encode()
        except UnicodeEncodeError as error:
            self._add_fault(name, str(error))
            return ""
        return text

    def integer(self, name: str, default: int | None = None) -> int:
        """Return a signed 64-bit integer, the widest that messages between instances can hold."""
        number = int(self._typed_value(name, int, 0, default))
        if not -_INTEGER_BOUND <= number < _INTEGER_BOUND:
            self._add_fault(name, "out of bounds")
            return 0
        return number

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number."""
        try:
            number = float(self._typed_value(name, (int, float), 0.0, default))
        except OverflowError:
            number = math.inf
        if not math.isfinite(number):
            self._add_fault(name, "not finite")
            return 0.0
        return number

    def duration_s(self, name: str, default: str | None = None) -> float:
        """Return a duration in seconds."""
        text = self.text(name, default)
        try:
            return parse_duration_s(text)
        except ValueError as error:
            self._add_fault(name, str(error))
            return 0.0

    def boolean(self, name: str) -> bool:
        """Return a boolean; a missing field is False."""
        return bool(self._typed_value(name, bool, False, False))

    def rows(self, name: str) -> Sequence[Any]:
        """Return a list."""
        return list(self._typed_value(name, list, [], None))

    def table(self, name: str) -> "TableReader":
        """Return a reader of a nested table."""
        return TableReader(self._table.get(name), f"{self._path}.{name}", self._faults)

    def is_present(self, name: str) -> bool:
        """Return whether a field has a value."""
        return self._table.get(name) is not None

    def check(self, name: str, is_valid: bool, fault: str) -> None:
        """Add a fault if a field's value is invalid, unless the field has a fault already."""
        has_fault = any(known.startswith(f"{self._path}.{name}: ") for known in self._faults)
        if not is_valid and not has_fault:
            self._add_fault(name, fault)

    def _typed_value(self, name: str, kind: Any, empty: Any, default: Any) -> Any:
        value = self._table.get(name)
        if value is None and default is not None:
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            # The message leaves the value out, because it may be a secret.
            stated = type(value).__name__
            self._add_fault(name, "missing" if value is None else f"wrong type: {stated}")
            return empty
        return value

    def _add_fault(self, name: str, fault: str) -> None:
        self._faults.append(f"{self._path}.{name}: {fault}")
