"""Generates the reference page of all settings from the settings classes."""

import dataclasses
import enum
from collections.abc import Iterator, Sequence
from typing import Annotated, Any, get_args, get_origin, get_type_hints

from pydantic.fields import FieldInfo

from egretrail.settings._fleet import RouteSettings, ServiceSettings
from egretrail.settings._instance import InstanceSettings

_UNITS = {"_s": "seconds", "_bytes": "bytes"}
_RANGE_FORMATS = {"ge": "from {}", "gt": "above {}", "le": "to {}", "lt": "below {}"}
_HEADER = """# Settings

Made from the models by `make docs-settings`; CI checks that it is current. Names match
`^[a-z0-9][a-z0-9-]{0,62}$`. Unknown keys, values out of range and contradictions are refused, all
at once, each with its key and reason.
"""
_TABLE_HEADER = "| Key | Type | Unit | Range | Default | Meaning |\n|---|---|---|---|---|---|"


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    key: str
    kind: str
    unit: str
    limits: str
    default: str
    meaning: str

    def __str__(self) -> str:
        cells = (self.key, self.kind, self.unit, self.limits, self.default, self.meaning)
        return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def settings_reference() -> str:
    """Return the reference page in Markdown."""
    parts = [
        _HEADER,
        "## An instance's file\n",
        "Given to `egretraild --settings FILE`; keys with a dot are in the table before the dot.\n",
        _table(InstanceSettings),
        "\n## A service\n",
        "Under `TEAM/services/NAME`. Accepted changes are in force on every instance in seconds.\n",
        _table(ServiceSettings),
        "\n## A route\n",
        "Under `TEAM/routes/NAME`. The service has to be there first; a service that a route uses",
        "cannot be deleted; two routes cannot have the same host and prefix.\n",
        _table(RouteSettings),
    ]
    return "\n".join(parts) + "\n"


def _table(model: type[Any]) -> str:
    return "\n".join([_TABLE_HEADER, *(str(row) for row in _rows(model, ""))])


def _rows(model: type[Any], prefix: str) -> Iterator[_Row]:
    hints = get_type_hints(model, include_extras=True)
    for field in dataclasses.fields(model):
        hint = hints[field.name]
        if dataclasses.is_dataclass(hint):
            yield from _rows(hint, f"{prefix}{field.name}.")  # type: ignore[arg-type]
        else:
            yield _row(f"{prefix}{field.name}", field, hint)


def _row(key: str, field: dataclasses.Field[Any], hint: Any) -> _Row:
    infos = _field_infos(hint)
    limits = [text for info in infos for text in _constraints(info)]
    meanings = [info.description for info in infos if info.description]
    unit = next((unit for suffix, unit in _UNITS.items() if key.endswith(suffix)), "")
    return _Row(
        f"`{key}`", _type_name(hint), unit, " ".join(limits), _default_text(field), meanings[-1]
    )


def _field_infos(hint: Any) -> Sequence[FieldInfo]:
    if get_origin(hint) is not Annotated:
        return []
    return [part for part in get_args(hint)[1:] if isinstance(part, FieldInfo)]


def _constraints(info: FieldInfo) -> Iterator[str]:
    for limit in info.metadata:
        for name, words in _RANGE_FORMATS.items():
            if hasattr(limit, name):
                yield words.format(getattr(limit, name))
        if getattr(limit, "pattern", None):
            yield f"matches `{limit.pattern}`"
        if hasattr(limit, "max_length"):
            yield f"at most {limit.max_length} characters"
        if hasattr(limit, "min_length"):
            yield f"at least {limit.min_length} character(s)"


def _type_name(hint: Any) -> str:
    bare = get_args(hint)[0] if get_origin(hint) is Annotated else hint
    bare = getattr(bare, "__supertype__", bare)
    if isinstance(bare, type) and issubclass(bare, enum.Enum):
        return "one of " + ", ".join(f'`"{member.value}"`' for member in bare)
    names = {str: "text", int: "integer", float: "number", bool: "boolean"}
    if bare in names:
        return names[bare]
    return "list of text" if get_origin(bare) is not None and "Sequence" in str(bare) else "text"


def _default_text(field: dataclasses.Field[Any]) -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    value = field.default
    if value is None:
        return "none"
    if isinstance(value, enum.Enum):
        return f'`"{value.value}"`'
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, tuple):
        return "`[" + ", ".join(f'"{item}"' for item in value) + "]`"
    return f'`"{value}"`' if isinstance(value, str) else f"`{value}`"
