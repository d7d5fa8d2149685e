"""Hub election: the hub that an instance follows, and whether the instance is the hub itself."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.cluster._takeover import (
    HUB_TIMEOUT_S,
    SUCCESSOR_LEAD_S,
    TAKEOVER_SPREAD_S,
    random_backoff_s,
)

#: Without an acknowledgement of heartbeats for this time, the network path to the hub is taken as
#: broken.
_ACK_TIMEOUT_S = 0.6
#: The number of instances that receive a heartbeat while no working network path is known: each
#: relays it.
FALLBACK_TARGETS = 3
#: Heartbeats that reach the hub through a relay are also sent to it directly at this interval.
_DIRECT_INTERVAL_S = 1.0
#: The hub of a zone exchanges messages directly with this many instances. Further instances are
#: reached through relays, each for as many instances. This bounds the messages that one instance
#: sends in a zone of any size.
_GROUP_SIZE = 80


@dataclass(slots=True)
class HubElection:
    """Tracks the followed hub, the network path to it, and whether this instance is the hub.

    Hubs are killed or paused, lose one direction of their network, or are behind a saturated link.
    Zones start with instances that know a few of the others. No step needs consensus. Two instances
    may act as hubs at a time, each with the aggregates of a part of the zone, until the one that is
    later in the hub order receives sections of the other.

    The hub order contains instances that were lost with the hub until a new hub's roster shows who
    is left. So only the first successor relies on its rank, and all others on random delays.
    """

    #: The address of this instance.
    own_address: str
    #: When this instance started.
    started_s: float
    #: The followed hub; None before the first one.
    hub: str | None = None
    #: When a section of the followed hub was last received.
    last_section_s: float = float("-inf")
    #: The instance to which heartbeats are sent; None while no working network path is known.
    next_hop: str | None = None
    #: When the newest heartbeat that the hub acknowledged was sent, or when the hub was first
    #: followed if that is later.
    acknowledged_s: float = float("-inf")
    #: The source of random delays.
    rng: random.Random = field(default_factory=random.Random)
    #: When a heartbeat was last sent to the preferred next hop in addition to the one in use.
    _preferred_sent_s: float = field(default=float("-inf"))
    #: The random delay before this instance takes over from a lost hub; None until one is drawn.
    _backoff_s: float | None = None

    def accepts_hub(self, hub: str, order: Sequence[str], now_s: float) -> bool:
        """Return whether to apply a hub's sections.

        Sections of another hub than the followed one are applied if that hub is earlier in the
        order, or if the followed hub has timed out.
        """
        if self.hub is None or hub == self.hub or now_s - self.last_section_s > HUB_TIMEOUT_S:
            return True
        return _rank(hub, order) < _rank(self.hub, order)

    def record_section(self, hub: str, sender: str, order: Sequence[str], now_s: float) -> None:
        """Record that a section of an accepted hub was received from ``sender``."""
        if hub != self.hub:
            self.hub = hub
            self.next_hop = None
            self.acknowledged_s = now_s
        self.last_section_s = now_s
        self._backoff_s = None
        if self.next_hop is None or sender == self._preferred_next_hop(order):
            self.next_hop = sender

    def record_acknowledgement(self, sent_s: float) -> None:
        """Record that the hub acknowledged the heartbeat that was sent at ``sent_s``."""
        self.acknowledged_s = max(self.acknowledged_s, sent_s)

    def is_hub(self, order: Sequence[str], now_s: float) -> bool:
        """Return whether this instance is the hub of its zone now."""
        if self.own_address not in order:
            return False
        rank = order.index(self.own_address)
        if rank == 0:
            return True
        return self.hub == self.own_address or now_s > self.takeover_due_s(order)

    def takeover_due_s(self, order: Sequence[str]) -> float:
        """Return when this instance becomes the hub unless it receives a section before."""
        rank = _rank(self.own_address, order)
        if rank == 1 and self.hub is not None and _rank(self.hub, order) > rank:
            # The followed hub comes later in the order.
            return self.started_s + HUB_TIMEOUT_S
        if rank == 1:
            return self.hub_lost_s
        if self._backoff_s is None:
            self._backoff_s = random_backoff_s(TAKEOVER_SPREAD_S, self.rng)
        return self.hub_lost_s + SUCCESSOR_LEAD_S + self._backoff_s

    @property
    def hub_lost_s(self) -> float:
        """When the followed hub is taken as lost unless a section of it is received before."""
        return max(self.last_section_s, self.started_s) + HUB_TIMEOUT_S

    def extend_deadlines(self, pause_s: float) -> None:
        """Extend the hub's time-out by the time in which this process was paused."""
        self.last_section_s += pause_s

    def heartbeat_targets(self, order: Sequence[str], now_s: float) -> Sequence[str]:
        """Return the instances to which the next heartbeat is sent."""
        others = [address for address in order if address != self.own_address]
        healthy = (
            self.next_hop is not None
            and now_s - self.last_section_s <= HUB_TIMEOUT_S
            and now_s - self.acknowledged_s <= _ACK_TIMEOUT_S
        )
        if not healthy or self.next_hop is None:
            self.next_hop = None
            return others[:FALLBACK_TARGETS]
        preferred = self._preferred_next_hop(order)
        if self.next_hop == preferred or now_s - self._preferred_sent_s < _DIRECT_INTERVAL_S:
            return [self.next_hop]
        self._preferred_sent_s = now_s
        return [self.next_hop, preferred]

    def _preferred_next_hop(self, order: Sequence[str]) -> str:
        """Return the next hop to the hub while all network paths work."""
        groups = -(-len(order) // _GROUP_SIZE)
        if groups <= 1 or self.own_address not in order:
            return order[0] if order else self.own_address
        rank = order.index(self.own_address)
        return order[0] if rank <= groups else order[1 + rank % groups]


def _rank(address: str, order: Sequence[str]) -> int:
    return order.index(address) if address in order else len(order)
