"""The messages that report ejections and transfer or reissue ejection rights."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import InstanceName, ServiceName, UpstreamName
from egretrail.wire import Message, message


@dataclass(frozen=True, slots=True)
class Right:
    """One of a service's numbered rights; each may keep one upstream out of service."""

    #: Rights are numbered from 0; a right is valid while its number is below the allowance.
    number: int
    #: Number of the registration in the store; each registration of a right increases it by one.
    epoch: int
    #: The only instances that the right may be transferred to without a registration in the store.
    heirs: Sequence[InstanceName]


@dataclass(frozen=True, slots=True)
class Ejection:
    """An upstream kept out of service, and the right that covers the ejection."""

    #: The right's number.
    number: int
    #: The upstream.
    upstream: UpstreamName


@message("floor.ejections-ask")
@dataclass(frozen=True, slots=True)
class FetchEjections(Message):
    """Asks a holder for its ejections; the reply is ``EjectionsReply``."""

    #: The service.
    service: ServiceName


@message("floor.ejections-answer")
@dataclass(frozen=True, slots=True)
class EjectionsReply(Message):
    """A holder's current ejections; honoured for a limited time from when the request was sent."""

    #: The service.
    service: ServiceName
    #: The holder's ejections.
    ejections: Sequence[Ejection]
    #: Numbers of the rights that the holder could transfer now.
    free: Sequence[int]


@message("floor.ejections-changed")
@dataclass(frozen=True, slots=True)
class EjectionsChanged(Message):
    """A hint to ask the sender for its ejections again; not itself honoured."""

    #: The service.
    service: ServiceName


@message("floor.right-ask")
@dataclass(frozen=True, slots=True)
class RequestRight(Message):
    """Asks a holder to transfer a right; the reply is ``RightTransfer``."""

    #: The service.
    service: ServiceName
    #: Rights from this number on are of no use to the requester.
    allowance: int


@message("floor.right-answer")
@dataclass(frozen=True, slots=True)
class RightTransfer(Message):
    """Transfers a right: the sender has given it up, whether or not this message arrives."""

    #: The service.
    service: ServiceName
    #: The right; None when the holder has no free one.
    right: Right | None


@message("floor.promise-ask")
@dataclass(frozen=True, slots=True)
class RequestPromise(Message):
    """Asks an instance to refuse the right of this registration; the reply is ``PromiseReply``.

    Sent to the possible holders of a right before the right is reissued.
    """

    #: The service.
    service: ServiceName
    #: The right's number.
    number: int
    #: The registration that is to be replaced.
    epoch: int


@message("floor.promise")
@dataclass(frozen=True, slots=True)
class PromiseReply(Message):
    """Tells whether the sender holds the right; if not, it promises to refuse that registration."""

    #: Whether the sender holds the right.
    holds: bool
