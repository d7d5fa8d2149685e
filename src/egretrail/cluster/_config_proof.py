"""Up to which moment an instance knows that no newer configuration existed.

An API key that has ended must be refused everywhere within a bound, also by an instance that hears
of nothing. Silence proves nothing, so each instance keeps the moment up to which its configuration
was proved to be the newest: the store answered a linearizable read that was asked for then, or a
peer told the age of its own proof in reply to a message that was sent then. What a message took on
its way, and for how long it lay unread, then only makes the proof older than it is.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

#: Messages whose sending is remembered until they are echoed, a few seconds of them.
_SENT_MAX = 128


@dataclass(frozen=True, slots=True)
class SectionEcho:
    """The last section that was heard of a hub, for the hub to know that it arrived."""

    #: The address of the hub.
    hub: str
    #: The lifetime of the hub.
    incarnation: int
    #: The number of the section.
    sequence: int


@dataclass(slots=True)
class SendTimes:
    """When numbered messages were sent."""

    _sent: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def sent(self, sequence: int, now_s: float) -> None:
        """Remember when a message was sent."""
        self._sent[sequence] = now_s
        if len(self._sent) > _SENT_MAX:
            self._sent.popitem(last=False)

    def time_of(self, sequence: int) -> float | None:
        """Return when a message was sent; None for one that is not remembered."""
        return self._sent.get(sequence)


class ConfigProof:
    """The newest moment at which the configuration in force is known to have been the newest."""

    def __init__(self, clock: Callable[[], float]) -> None:
        #: Counts the time in which the machine was suspended too, in seconds.
        self.clock = clock
        self._proved_s = float("-inf")

    @property
    def age_s(self) -> float:
        """How long ago that moment was; infinite before there was one."""
        return self.clock() - self._proved_s

    def proved(self, at_s: float) -> None:
        """Take that no newer configuration existed at a moment."""
        self._proved_s = max(self._proved_s, at_s)
