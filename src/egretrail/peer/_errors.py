"""Failures of message exchanges with peers."""

from dataclasses import dataclass

from egretrail.identity import InstanceName


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """No stream to the peer could be opened, so the message was certainly not delivered."""

    #: The peer that was addressed.
    peer: InstanceName
    #: The transport's description of the failure.
    cause: str

    def __str__(self) -> str:
        return f"{self.peer} cannot be reached: {self.cause}"


@dataclass(frozen=True, slots=True)
class PeerUnresponsive:
    """The message was sent but no reply was received; the peer may have handled it."""

    #: The peer that was addressed.
    peer: InstanceName
    #: The time limit for the reply.
    waited_s: float

    def __str__(self) -> str:
        return f"{self.peer} did not reply within {self.waited_s:.3f} s"


PeerFailure = PeerUnreachable | PeerUnresponsive
