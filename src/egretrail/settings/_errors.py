"""Validation errors of settings: all faults of a text are reported together."""

from collections.abc import Sequence
from dataclasses import dataclass

from pydantic import ValidationError


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault: its location and description."""

    #: The dotted key; empty when the fault concerns the whole text.
    key: str
    #: What is wrong and what is expected.
    reason: str

    def __str__(self) -> str:
        return f"{self.key}: {self.reason}" if self.key else self.reason


@dataclass(frozen=True, slots=True)
class InvalidSettings:
    """Settings that were refused; no part of them was applied."""

    #: The file or path that the text was read from.
    source: str
    #: Every fault that was found.
    faults: Sequence[SettingsFault]

    def __str__(self) -> str:
        lines = [f"{self.source}: {len(self.faults)} fault(s)"]
        lines += [f"  {fault}" for fault in self.faults]
        return "\n".join(lines)


def faults_of(error: ValidationError) -> list[SettingsFault]:
    """Return the faults that pydantic found, in the order of the text."""
    return [
        SettingsFault(".".join(str(part) for part in item["loc"]), item["msg"])
        for item in error.errors()
    ]
