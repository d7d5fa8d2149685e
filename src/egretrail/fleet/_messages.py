"""The messages by which instances learn of each other."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import AvailabilityZone, Incarnation, InstanceName
from egretrail.wire import Message, message


class RumourState(enum.IntEnum):
    """What a rumour says of a process; a later state wins over an earlier one of equal version."""

    #: The process says so itself.
    ALIVE = 0
    #: Somebody could not reach it, directly or through others; it may still refute that.
    SUSPECT = 1
    #: It did not refute in time. It may be running all the same.
    UNREACHABLE = 2
    #: It says that it is stopping; final but for ``ENDED``.
    LEAVING = 3
    #: It says that it stops now and acts no more; final.
    ENDED = 4


@dataclass(frozen=True, slots=True)
class Rumour:
    """One process of an instance, as somebody knows it."""

    #: The instance's name.
    instance: InstanceName
    #: The process's incarnation number.
    number: int
    #: Raised by the process itself, when it changes or refutes; others only repeat it.
    version: int
    #: What is said of it.
    state: RumourState
    #: Whether it holds the settings and may be named to callers.
    ready: bool
    #: The availability zone it runs in.
    availability_zone: AvailabilityZone
    #: Where callers connect.
    caller_host: str
    caller_port: int
    #: Where other instances connect.
    peer_host: str
    peer_port: int
    #: Who suspects it, when the state is ``SUSPECT``; else empty.
    accuser: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Return the process that the rumour is about."""
        return Incarnation(self.instance, self.number)


@message("fleet.ping")
@dataclass(frozen=True, slots=True)
class Ping(Message):
    """A heartbeat question; answered by ``Pong``."""

    #: The asking process as it knows itself.
    sender: Rumour
    #: A bounded number of recent rumours.
    rumours: Sequence[Rumour]


@message("fleet.pong")
@dataclass(frozen=True, slots=True)
class Pong(Message):
    """The answer to a heartbeat question."""

    #: The answering process as it knows itself.
    sender: Rumour
    #: A bounded number of recent rumours.
    rumours: Sequence[Rumour]


@message("fleet.indirect-ping")
@dataclass(frozen=True, slots=True)
class IndirectPing(Message):
    """Asks another instance whether it reaches a third; answered by ``IndirectPong``."""

    #: The instance to probe.
    target: InstanceName
    #: What the asker last heard of it, so that it can refute a suspicion.
    known: Rumour


@message("fleet.indirect-pong")
@dataclass(frozen=True, slots=True)
class IndirectPong(Message):
    """Says whether the third instance answered."""

    #: The third instance's own word, None when it did not answer in time.
    answer: Rumour | None


@message("fleet.sync-ask")
@dataclass(frozen=True, slots=True)
class SyncAsk(Message):
    """Compares two tables bucket by bucket; answered by ``SyncReply``."""

    #: One digest for each bucket of names.
    digests: Sequence[int]


@message("fleet.sync-reply")
@dataclass(frozen=True, slots=True)
class SyncReply(Message):
    """Rumours of buckets that differ, a bounded number."""

    #: The answerer's knowledge of those buckets.
    rumours: Sequence[Rumour]
