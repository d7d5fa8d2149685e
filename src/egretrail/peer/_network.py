"""The interface through which drivers exchange messages with other instances."""

import abc
from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Result

from egretrail.identity import Incarnation, InstanceName
from egretrail.peer._errors import PeerFailure
from egretrail.wire import Message

M = TypeVar("M", bound=Message)
R = TypeVar("R", bound=Message)

#: Called with the sender and its message; returns the reply, or None to send no reply.
Handler = Callable[[Incarnation, M], Awaitable[Message | None]]


class PeerNetwork(abc.ABC):
    """Sends messages to instances by name.

    Messages may be lost, delayed, duplicated or reordered.
    """

    @abc.abstractmethod
    def on(self, cls: type[M], handler: Handler[M]) -> None:
        """Register ``handler`` for messages of type ``cls``."""

    @abc.abstractmethod
    async def ask(
        self, peer: InstanceName, body: Message, reply_type: type[R], timeout_s: float
    ) -> Result[R, PeerFailure]:
        """Send a message and wait for its reply for at most ``timeout_s``."""

    @abc.abstractmethod
    def send(self, peer: InstanceName, body: Message) -> None:
        """Send a message without waiting; it is dropped if the peer cannot be reached."""
