"""The registry of message types; each package defines the messages of its own protocol."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar


class Message:
    """Base class of all messages between instances; subclasses are frozen, slotted data classes."""

    __slots__ = ()


M = TypeVar("M", bound=Message)

_types_by_tag: dict[str, type[Message]] = {}
_tags_by_type: dict[type[Message], str] = {}


def message(tag: str) -> Callable[[type[M]], type[M]]:
    """Register a data class as the message type with this tag on the wire."""

    def register(cls: type[M]) -> type[M]:
        if tag in _types_by_tag:
            raise ValueError(
                f"message tag {tag!r} is already registered for {_types_by_tag[tag].__name__}"
            )
        _types_by_tag[tag] = cls
        _tags_by_type[cls] = tag
        return cls

    return register


def message_type(tag: str) -> type[Message] | None:
    """Return the message type of a tag, or None if the tag is unknown."""
    return _types_by_tag.get(tag)


def message_tag(cls: type[Message]) -> str:
    """Return the tag of a registered message type."""
    return _tags_by_type[cls]


@message("ack")
@dataclass(frozen=True, slots=True)
class Acknowledged(Message):
    """A reply without content: the message was received and handled."""
