"""Tracks the last moment at which an instance knows that no newer configuration existed.

A revoked API key must be refused everywhere within a bound, also by an instance that receives
nothing. The absence of messages does not confirm anything. Each instance therefore keeps the moment
at which its configuration was last confirmed as current. The store confirms it with the response to
a linearizable read, as of the moment at which the read was requested. A peer confirms it by
reporting the age of its own confirmation in reply to a message, as of the moment at which that
message was sent. Network and queueing delays can therefore only make the confirmation look older
than it is.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

#: Sent messages whose send times are remembered until they are echoed; a few seconds of messages.
_SENT_MAX = 128


@dataclass(frozen=True, slots=True)
class SectionEcho:
    """The last section received from a hub, returned to the hub to confirm the receipt."""

    #: The address of the hub.
    hub: str
    #: The incarnation of the hub.
    incarnation: int
    #: The sequence number of the section.
    sequence: int


@dataclass(slots=True)
class SendTimes:
    """The send times of recent messages, by their sequence number."""

    _sent: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def record(self, sequence: int, now_s: float) -> None:
        """Record when a message was sent."""
        self._sent[sequence] = now_s
        if len(self._sent) > _SENT_MAX:
            self._sent.popitem(last=False)

    def time_of(self, sequence: int) -> float | None:
        """Return when a message was sent; None for a message that is not remembered."""
        return self._sent.get(sequence)


class ConfigFreshness:
    """The last moment at which the configuration in force is confirmed to have been the newest."""

    def __init__(self, clock: Callable[[], float]) -> None:
        #: A clock in seconds that also counts the time while the machine was suspended.
        self.clock = clock
        self._confirmed_s = float("-inf")

    @property
    def age_s(self) -> float:
        """Seconds since that moment; infinite before the first confirmation."""
        return self.clock() - self._confirmed_s

    def confirm_current_at(self, at_s: float) -> None:
        """Record that no newer configuration existed at a moment."""
        self._confirmed_s = max(self._confirmed_s, at_s)
