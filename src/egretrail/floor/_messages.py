"""The messages by which ejection rights are shown, passed on and reissued."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import InstanceName, ServiceName, UpstreamName
from egretrail.wire import Message, message


@dataclass(frozen=True, slots=True)
class Right:
    """One of a service's numbered rights to keep one upstream out of service."""

    #: Rights are numbered from 0; one counts while its number is below the allowance.
    number: int
    #: Which registration in the store it descends from.
    epoch: int
    #: The only instances that it may pass to without the store.
    heirs: Sequence[InstanceName]


@dataclass(frozen=True, slots=True)
class Ejection:
    """An upstream kept out of service, and the right that covers it."""

    #: The right's number.
    number: int
    #: The upstream.
    upstream: UpstreamName


@message("floor.ejections-ask")
@dataclass(frozen=True, slots=True)
class EjectionsAsk(Message):
    """Asks a holder what it ejects; answered by ``EjectionsAnswer``."""

    #: The service asked about.
    service: ServiceName


@message("floor.ejections-answer")
@dataclass(frozen=True, slots=True)
class EjectionsAnswer(Message):
    """What a holder ejects now; honoured for a while from when it was asked for."""

    #: The service.
    service: ServiceName
    #: The holder's ejections.
    ejections: Sequence[Ejection]
    #: Rights that the holder could pass on now.
    free: Sequence[int]


@message("floor.ejections-changed")
@dataclass(frozen=True, slots=True)
class EjectionsChanged(Message):
    """A hint to ask the sender anew; honoured by nobody."""

    #: The service.
    service: ServiceName


@message("floor.right-ask")
@dataclass(frozen=True, slots=True)
class RightAsk(Message):
    """Asks a holder to pass on a right; answered by ``RightAnswer``."""

    #: The service.
    service: ServiceName
    #: Rights from this number on are of no use to the asker.
    allowance: int


@message("floor.right-answer")
@dataclass(frozen=True, slots=True)
class RightAnswer(Message):
    """Passes a right on: the sender has given it up, whether or not this arrives."""

    #: The service.
    service: ServiceName
    #: The right; None when the holder has none to spare.
    right: Right | None


@message("floor.promise-ask")
@dataclass(frozen=True, slots=True)
class PromiseAsk(Message):
    """Asks an heir to take no right of this registration any more; answered by ``Promise``."""

    #: The service.
    service: ServiceName
    #: The right's number.
    number: int
    #: The registration that is to be replaced.
    epoch: int


@message("floor.promise")
@dataclass(frozen=True, slots=True)
class Promise(Message):
    """Says whether the heir holds the right. If not, it will take none of that registration."""

    #: Whether it holds the right.
    holds: bool
