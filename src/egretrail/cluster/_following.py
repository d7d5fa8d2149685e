"""Which hub an instance follows, on which way its beats go there, and whether it is one itself."""

from collections.abc import Sequence
from dataclasses import dataclass, field

#: A hub that told nothing for this long, of ten sections a second, is taken as dead or cut off.
HUB_SILENCE_S = 0.35
#: Each further instance of the order waits so much longer for those before it to take over.
_TURN_S = 0.3
_TURNS_MAX = 5
#: Beats that the hub did not acknowledge for this long do not arrive: the way there is cut.
_UNHEARD_S = 0.6
#: Without a way that is known to work, beats go to so many instances: each passes them on.
_WAYS = 3
#: A beat that reached the hub by another instance is also sent straight this often.
_STRAIGHT_INTERVAL_S = 1.0
#: A zone's hub hears so many instances itself and tells them; more go by others, each of whom
#: passes on for as many. What an instance sends is bounded so at any size of a zone.
_GROUP = 80


@dataclass(slots=True)
class Following:
    """One instance's place in its zone, by what it heard of hubs.

    Load: hubs are killed, freeze, are cut off one way or behind a full link, and zones begin with
    instances that know a few of the others. No step needs an agreement: two hubs at a time tell
    sums of a part of the zone each, until the one that is later in the order hears the other.
    """

    #: This instance's address.
    own_address: str
    #: When it started.
    since_s: float
    #: The hub that is followed; None for none yet.
    hub: str | None = None
    #: When it was last heard.
    heard_s: float = float("-inf")
    #: The instance to which beats go; None while no way is known to work.
    way: str | None = None
    #: When the newest beat was sent that the hub acknowledged, or the hub was first heard.
    acknowledged_s: float = float("-inf")
    _straight_s: float = field(default=float("-inf"))

    def accepts(self, hub: str, order: Sequence[str], now_s: float) -> bool:
        """Return whether a hub's sums are taken: the first in the order that can be heard."""
        if self.hub is None or hub == self.hub or now_s - self.heard_s > HUB_SILENCE_S:
            return True
        return _rank(hub, order) < _rank(self.hub, order)

    def heard(self, hub: str, sender: str, order: Sequence[str], now_s: float) -> None:
        """Take that sections of an accepted hub came, by a sender."""
        if hub != self.hub:
            self.hub = hub
            self.way = None
            self.acknowledged_s = now_s
        self.heard_s = now_s
        if self.way is None or sender == self._first(order):
            self.way = sender

    def acknowledged(self, sent_s: float) -> None:
        """Take that the hub has the beat that was sent at a time."""
        self.acknowledged_s = max(self.acknowledged_s, sent_s)

    def acts(self, order: Sequence[str], now_s: float) -> bool:
        """Return whether this instance is its zone's hub now."""
        if self.own_address not in order:
            return False
        rank = order.index(self.own_address)
        if rank == 0:
            return True
        before = self.hub is not None and _rank(self.hub, order) < rank
        quiet_s = now_s - max(self.heard_s if before else self.since_s, self.since_s)
        return quiet_s > HUB_SILENCE_S + _TURN_S * min(rank - 1, _TURNS_MAX)

    def targets(self, order: Sequence[str], now_s: float) -> Sequence[str]:
        """Return where a beat goes."""
        others = [address for address in order if address != self.own_address]
        healthy = (
            self.way is not None
            and now_s - self.heard_s <= HUB_SILENCE_S
            and now_s - self.acknowledged_s <= _UNHEARD_S
        )
        if not healthy or self.way is None:
            self.way = None
            return others[:_WAYS]
        first = self._first(order)
        if self.way == first or now_s - self._straight_s < _STRAIGHT_INTERVAL_S:
            return [self.way]
        self._straight_s = now_s
        return [self.way, first]

    def _first(self, order: Sequence[str]) -> str:
        """Return the instance to which beats go where all ways work."""
        groups = -(-len(order) // _GROUP)
        if groups <= 1 or self.own_address not in order:
            return order[0] if order else self.own_address
        rank = order.index(self.own_address)
        return order[0] if rank <= groups else order[1 + rank % groups]


def _rank(address: str, order: Sequence[str]) -> int:
    return order.index(address) if address in order else len(order)
