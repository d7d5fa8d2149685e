"""The interface through which drivers talk to other instances."""

import abc
from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Result

from egretrail.identity import Incarnation, InstanceName
from egretrail.peer._errors import PeerFailure
from egretrail.wire import Message

M = TypeVar("M", bound=Message)
R = TypeVar("R", bound=Message)

#: Receives the sender and its message; what it returns is the reply, None replies nothing.
Handler = Callable[[Incarnation, M], Awaitable[Message | None]]


class PeerNetwork(abc.ABC):
    """Sends messages to instances by name. Messages may be lost, late, doubled or reordered."""

    @abc.abstractmethod
    def on(self, cls: type[M], handler: Handler[M]) -> None:
        """Let ``handler`` act on every message of one type."""

    @abc.abstractmethod
    async def ask(
        self, peer: InstanceName, body: Message, reply_type: type[R], timeout_s: float
    ) -> Result[R, PeerFailure]:
        """Send a message and wait for its reply for at most ``timeout_s``."""

    @abc.abstractmethod
    def send(self, peer: InstanceName, body: Message) -> None:
        """Send a message without waiting; it is dropped when the peer cannot be reached."""
