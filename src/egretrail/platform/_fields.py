"""Reads typed fields out of decoded documents, collecting every fault."""

import json
import math
from collections.abc import Mapping, Sequence
from typing import Any

_WHOLE_BOUND = 2**63
_UNITS_S = {"ms": 0.001, "s": 1.0}


def duration_s(text: str) -> float:
    """Return the seconds of ``1500ms`` or ``2.5s``; raises ValueError."""
    for unit, factor in _UNITS_S.items():
        number = text.removesuffix(unit)
        if number != text and not number.endswith("m"):
            seconds = float(number) * factor
            if math.isfinite(seconds) and seconds >= 0:
                return seconds
    raise ValueError(f"not a duration: {text!r}")


def decode_json(text: str | bytes) -> object:
    """Return a JSON document; raises ValueError for anything else, however it is wrong."""
    try:
        if isinstance(text, str):
            # Bytes that are no text come as lone surrogates, which cannot be encoded.
            text.encode()
        document: object = json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deep") from error
    return document


class Fields:
    """The fields of one table. A missing or wrong one is a fault and reads as a default."""

    def __init__(self, table: object, path: str, faults: list[str]) -> None:
        self._table: Mapping[str, Any] = table if isinstance(table, dict) else {}
        self._path = path
        self._faults = faults
        if not isinstance(table, dict):
            faults.append(f"{path}: not a table")

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string that can be written as UTF-8."""
        text = str(self._typed(name, str, "", default))
        try:
            text.encode()
        except UnicodeEncodeError as error:
            self._fault(name, str(error))
            return ""
        return text

    def whole(self, name: str, default: int | None = None) -> int:
        """Return a whole number of 64 bits, the most that peers can be told."""
        number = int(self._typed(name, int, 0, default))
        if not -_WHOLE_BOUND <= number < _WHOLE_BOUND:
            self._fault(name, "out of bounds")
            return 0
        return number

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number."""
        try:
            number = float(self._typed(name, (int, float), 0.0, default))
        except OverflowError:
            number = math.inf
        if not math.isfinite(number):
            self._fault(name, "not finite")
            return 0.0
        return number

    def time_s(self, name: str, default: str | None = None) -> float:
        """Return the seconds of a duration."""
        text = self.text(name, default)
        try:
            return duration_s(text)
        except ValueError as error:
            self._fault(name, str(error))
            return 0.0

    def flag(self, name: str) -> bool:
        """Return a boolean; a missing one is False."""
        return bool(self._typed(name, bool, False, False))

    def rows(self, name: str) -> Sequence[Any]:
        """Return a list."""
        return list(self._typed(name, list, [], None))

    def table(self, name: str) -> "Fields":
        """Return a table within this one."""
        return Fields(self._table.get(name), f"{self._path}.{name}", self._faults)

    def has(self, name: str) -> bool:
        """Return whether a field is there."""
        return self._table.get(name) is not None

    def check(self, name: str, holds: bool, fault: str) -> None:
        """Add a fault of a field where something does not hold, unless it has one already."""
        known = any(one.startswith(f"{self._path}.{name}: ") for one in self._faults)
        if not holds and not known:
            self._fault(name, fault)

    def _typed(self, name: str, kind: Any, empty: Any, default: Any) -> Any:
        value = self._table.get(name)
        if value is None and default is not None:
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            # The value itself may be a secret.
            stated = type(value).__name__
            self._fault(name, "missing" if value is None else f"wrong type: {stated}")
            return empty
        return value

    def _fault(self, name: str, fault: str) -> None:
        self._faults.append(f"{self._path}.{name}: {fault}")
