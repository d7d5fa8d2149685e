"""Messages of the membership protocol (gossip with direct and indirect probes)."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import AvailabilityZone, Incarnation, InstanceName
from egretrail.wire import Message, message


class RumourState(enum.IntEnum):
    """State of a process in a rumour; at equal version the higher state takes precedence."""

    #: Reported by the process itself.
    ALIVE = 0
    #: Another instance could not reach it, directly or through others; it may still refute that.
    SUSPECT = 1
    #: It did not refute the suspicion in time. It may still be running.
    UNREACHABLE = 2
    #: It reports that it is stopping; only ``ENDED`` can follow.
    LEAVING = 3
    #: It reports that it has stopped acting; final.
    ENDED = 4


@dataclass(frozen=True, slots=True)
class Rumour:
    """A gossiped statement about the state of one process of an instance."""

    #: The instance's name.
    instance: InstanceName
    #: The incarnation number of the process.
    number: int
    #: Incremented only by the process itself, on a change or to refute a suspicion.
    version: int
    #: The reported state.
    state: RumourState
    #: Whether it holds the settings and may be announced to clients.
    ready: bool
    #: The availability zone it runs in.
    availability_zone: AvailabilityZone
    #: Address for clients.
    caller_host: str
    caller_port: int
    #: Address for other instances.
    peer_host: str
    peer_port: int
    #: The instance that suspects it if the state is ``SUSPECT``, otherwise empty.
    accuser: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that the rumour describes."""
        return Incarnation(self.instance, self.number)


@message("fleet.ping")
@dataclass(frozen=True, slots=True)
class Ping(Message):
    """A direct probe; answered by ``Pong``."""

    #: The current state of the sender.
    sender: Rumour
    #: A bounded number of recent rumours.
    rumours: Sequence[Rumour]


@message("fleet.pong")
@dataclass(frozen=True, slots=True)
class Pong(Message):
    """The response to a ``Ping``."""

    #: The current state of the responding process.
    sender: Rumour
    #: A bounded number of recent rumours.
    rumours: Sequence[Rumour]


@message("fleet.indirect-ping")
@dataclass(frozen=True, slots=True)
class IndirectPing(Message):
    """Requests a probe of a third instance; answered by ``IndirectPong``."""

    #: The instance to probe.
    target: InstanceName
    #: The requester's newest rumour of the target, which enables the target to refute a suspicion.
    known: Rumour


@message("fleet.indirect-pong")
@dataclass(frozen=True, slots=True)
class IndirectPong(Message):
    """Reports whether the third instance answered the probe."""

    #: The state reported by the third instance, None if it did not answer in time.
    answer: Rumour | None


@message("fleet.sync-ask")
@dataclass(frozen=True, slots=True)
class SyncRequest(Message):
    """Starts an anti-entropy comparison of two tables; answered by ``SyncReply``."""

    #: One digest for each bucket of names.
    digests: Sequence[int]


@message("fleet.sync-reply")
@dataclass(frozen=True, slots=True)
class SyncReply(Message):
    """Rumours of buckets that differ, a bounded number."""

    #: The responder's rumours in those buckets.
    rumours: Sequence[Rumour]
