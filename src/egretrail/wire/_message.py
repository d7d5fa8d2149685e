"""The registry of message types. Each package defines the messages of its own protocol."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar


class Message:
    """Base of every message between instances; subclasses are frozen, slotted data classes."""

    __slots__ = ()


M = TypeVar("M", bound=Message)

_types: dict[str, type[Message]] = {}
_tags: dict[type[Message], str] = {}


def message(tag: str) -> Callable[[type[M]], type[M]]:
    """Register a data class as the message type that ``tag`` names on the wire."""

    def register(cls: type[M]) -> type[M]:
        if tag in _types:
            raise ValueError(f"message tag {tag!r} is taken by {_types[tag].__name__}")
        _types[tag] = cls
        _tags[cls] = tag
        return cls

    return register


def message_type(tag: str) -> type[Message] | None:
    """Return the message type that a tag names, None when this version knows none."""
    return _types.get(tag)


def message_tag(cls: type[Message]) -> str:
    """Return the tag of a registered message type."""
    return _tags[cls]


@message("ack")
@dataclass(frozen=True, slots=True)
class Acknowledged(Message):
    """The reply to a message that only needs to be known as received and acted upon."""
