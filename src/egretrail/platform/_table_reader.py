"""Reads the fields of decoded documents and collects their faults, a bounded number of them."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

from egretrail.platform._field_kinds import FieldKind, Flag, Rows, Text

T = TypeVar("T")

#: Faults that are collected, and the length of each; together they fit into one log line.
_FAULTS_MAX = 16
_FAULT_CHARACTERS_MAX = 200

#: Fields of settings files.
_TEXT = Text(max_bytes=8_000)
_FLAG = Flag()
_ROWS = Rows(max_rows=2**16)


def decode_json(text: str | bytes, max_bytes: int) -> object:
    """Return a decoded JSON document; raises ValueError for any malformed or larger input."""
    # Bytes that are not UTF-8 arrive as lone surrogates, which cannot be encoded.
    data = text.encode() if isinstance(text, str) else text
    if len(data) > max_bytes:
        raise ValueError(f"{len(data)} bytes, more than {max_bytes}")
    try:
        document: object = json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deep") from error
    return document


class TableReader:
    """Reads the fields of one table; a missing or invalid field is a fault and reads as empty."""

    def __init__(self, table: object, path: str, faults: list[str]) -> None:
        self._table: Mapping[str, Any] = table if isinstance(table, dict) else {}
        #: Where the table stands in its document.
        self.path = path
        self._faults = faults
        if not isinstance(table, dict):
            self._append_fault(f"{path}: not a table")

    def read(self, name: str, kind: FieldKind[T], default: T | None = None) -> T:
        """Return a field of a kind; a field without a default must be present."""
        value = self._table.get(name)
        if value is not None:
            return self.decode(name, kind, value)
        if default is None:
            self.add_fault(name, "missing")
            return kind.empty
        return default

    def decode(self, name: str, kind: FieldKind[T], value: object) -> T:
        """Return a value of a kind that belongs to a field."""
        try:
            return kind.decode(value)
        except ValueError as error:
            self.add_fault(name, str(error))
            return kind.empty

    def text(self, name: str, default: str | None = None) -> str:
        """Return printable text."""
        return self.read(name, _TEXT, default)

    def boolean(self, name: str) -> bool:
        """Return a boolean; a missing field is False."""
        return self.read(name, _FLAG, False)

    def rows(self, name: str) -> Sequence[Any]:
        """Return a list."""
        return self.read(name, _ROWS)

    def table(self, name: str) -> "TableReader":
        """Return a reader of a nested table."""
        return TableReader(self._table.get(name), f"{self.path}.{name}", self._faults)

    def is_present(self, name: str) -> bool:
        """Return whether a field has a value."""
        return self._table.get(name) is not None

    def check(self, name: str, is_valid: bool, fault: str) -> None:
        """Add a fault if a field's value is invalid, unless the field has a fault already."""
        has_fault = any(known.startswith(f"{self.path}.{name}: ") for known in self._faults)
        if not is_valid and not has_fault:
            self.add_fault(name, fault)

    @property
    def has_enough_faults(self) -> bool:
        """Whether no further fault of the document would be reported."""
        return len(self._faults) > _FAULTS_MAX

    def add_fault(self, name: str, fault: str) -> None:
        """Add a fault of a field."""
        self._append_fault(f"{self.path}.{name}: {fault}")

    def _append_fault(self, fault: str) -> None:
        if len(self._faults) < _FAULTS_MAX:
            self._faults.append(fault[:_FAULT_CHARACTERS_MAX])
        elif len(self._faults) == _FAULTS_MAX:
            self._faults.append("and more")
