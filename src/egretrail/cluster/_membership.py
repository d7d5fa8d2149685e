"""The instances that are known, and which of them do the tasks that a few do for all."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from egretrail.cluster._beat import Beat, InstanceState
from egretrail.identity import rendezvous_order

#: Time between heartbeats without news.
BEAT_INTERVAL_S = 0.25
#: An instance of the own zone that was silent for four beats is taken as gone: it leaves the
#: directory's answers well before callers' connect timeouts of a second pile up.
_ZONE_SILENCE_S = 1.1
#: Beats of other zones come by their relays, at least every half second.
_OTHER_ZONE_SILENCE_S = 2.2
#: An instance that is known by another's word only is gone after this silence: it beats four times
#: in a second, and relays tell of it twice.
_INTRODUCED_SILENCE_S = 1.0
#: One of so many instances of a zone broadcasts what comes from other zones: it sends each beat to
#: all of its zone, which is 3 Mbit/s for each of five that share the work of 31.
_INSTANCES_PER_BROADCASTER = 6
#: Instances with at least this part of the largest one's capacity share a zone's tasks. Where sizes
#: are unlike, small ones have links that the tasks alone would fill.
_STRONG_SHARE = 0.5
#: How long the last beat of an instance that is gone is remembered: all have taken it as gone by
#: then. Not longer, since a clock that was set back gives a new lifetime a lower number.
_GONE_S = 4.0
#: Instances that are remembered as gone, about a kilobyte each.
_GONE_MAX = 1_000


@dataclass(slots=True)
class Peer:
    """Another instance, as its last beat described it."""

    #: Its last beat.
    beat: Beat
    #: When it arrived, by this instance's clock.
    heard_s: float
    #: The number of the next observation that is news.
    next_observation: int


class Membership:
    """The living instances by address."""

    def __init__(self, own_address: str, availability_zone: str, own_capacity: float = 1.0) -> None:
        self._own_address = own_address
        self._own_capacity = own_capacity
        self._zone = availability_zone
        self._own_leaving = False
        self._peers: dict[str, Peer] = {}
        #: The last beats of instances that were taken as gone.
        self._gone: dict[str, tuple[Beat, float]] = {}
        self._relays: dict[str, Sequence[str]] = {}

    def hear(self, beat: Beat, now_s: float) -> Peer | None:
        """Take a beat; return the peer where the beat is news, None for an old or own one."""
        if beat.origin == self._own_address:
            return None
        peer = self._peers.get(beat.origin)
        if self._is_old_word(beat, now_s):
            return None
        if peer is None:
            peer = Peer(beat, now_s, beat.first_observation)
            self._peers[beat.origin] = peer
            self._relays.clear()
            return peer
        known = (peer.beat.incarnation, peer.beat.sequence)
        if (beat.incarnation, beat.sequence) <= known:
            return None
        if beat.incarnation != peer.beat.incarnation:
            peer.next_observation = beat.first_observation
        if beat.state is not peer.beat.state:
            self._relays.clear()
        peer.beat = beat
        peer.heard_s = now_s
        return peer

    def introduce(self, beat: Beat, now_s: float) -> Peer | None:
        """Take an instance that another one knows; return the peer where it was unknown.

        It is taken as gone soon unless it is heard of by itself or by its zone's relay: a word that
        is told on and on must not keep a dead instance alive.
        """
        if beat.origin in self._peers:
            return None
        peer = self.hear(beat, now_s)
        if peer is not None:
            peer.heard_s = now_s - self._silence_s(peer) + _INTRODUCED_SILENCE_S
        return peer

    def knows(self, beat: Beat) -> bool:
        """Return whether a beat's lifetime was heard of before."""
        peer = self._peers.get(beat.origin)
        return peer is not None and peer.beat.incarnation >= beat.incarnation

    def expire(self, now_s: float) -> list[Peer]:
        """Remove and return the peers that were silent for too long."""
        gone = [
            peer for peer in self._peers.values() if now_s - peer.heard_s > self._silence_s(peer)
        ]
        for peer in gone:
            del self._peers[peer.beat.origin]
            self._gone.pop(peer.beat.origin, None)
            self._gone[peer.beat.origin] = (peer.beat, now_s)
            if len(self._gone) > _GONE_MAX:
                del self._gone[next(iter(self._gone))]
        if gone:
            self._relays.clear()
        return gone

    def leave(self) -> None:
        """Give up this instance's own tasks: it is stopping."""
        self._own_leaving = True
        self._relays.clear()

    def peers(self) -> Iterable[Peer]:
        """Return all living peers."""
        return self._peers.values()

    def zone_addresses(self) -> list[str]:
        """Return the living peers of the own zone."""
        return [
            address
            for address, peer in self._peers.items()
            if peer.beat.availability_zone == self._zone
        ]

    def zone_of(self, address: str) -> str | None:
        """Return the zone of a living peer; None for an address that is not known."""
        peer = self._peers.get(address)
        return None if peer is None else peer.beat.availability_zone

    def zones(self) -> set[str]:
        """Return the zones of all living peers and the own."""
        return {peer.beat.availability_zone for peer in self._peers.values()} | {self._zone}

    def relays(self, availability_zone: str) -> Sequence[str]:
        """Return a zone's instances, the relay first, then who takes over when it is gone."""
        relays = self._relays.get(availability_zone)
        if relays is None:
            order = rendezvous_order(f"relay {availability_zone}", self._staying(availability_zone))
            strongest = max((self._capacity(address) for address in order), default=0.0)
            strong = strongest * _STRONG_SHARE
            # The sort keeps the order among equals.
            relays = sorted(order, key=lambda address: self._capacity(address) < strong)
            self._relays[availability_zone] = relays
        return relays

    def broadcasters(self, availability_zone: str) -> Sequence[str]:
        """Return the instances of a zone that share the broadcast of other zones' beats in it."""
        relays = self.relays(availability_zone)
        strongest = max((self._capacity(address) for address in relays), default=0.0)
        strong = [one for one in relays if self._capacity(one) >= strongest * _STRONG_SHARE]
        return strong[: max(len(relays) // _INSTANCES_PER_BROADCASTER, 1)]

    def size(self) -> int:
        """Return the number of living instances with this one."""
        return len(self._peers) + 1

    def zone_size(self) -> int:
        """Return the number of living instances of the own zone with this one."""
        return len(self.zone_addresses()) + 1

    def own_rank(self) -> int:
        """Return this instance's place in the order of its zone's relays; 0 is the relay."""
        self.relays(self._zone)
        order = self._relays[self._zone]
        return order.index(self._own_address) if self._own_address in order else len(order)

    def rank_for(self, task: str, availability_zone: str) -> int:
        """Return this instance's place for a task of a zone; others follow the zone's own."""
        own_zone = availability_zone == self._zone
        members = self._staying(availability_zone)
        if own_zone or not members:
            return rendezvous_order(task, {*members, self._own_address}).index(self._own_address)
        order = rendezvous_order(task, [*self._staying(self._zone), self._own_address])
        return len(members) + order.index(self._own_address)

    def _is_old_word(self, beat: Beat, now_s: float) -> bool:
        """Return whether a beat is an old one of a dead instance, told on by another."""
        gone = self._gone.get(beat.origin)
        if gone is None or now_s - gone[1] > _GONE_S:
            return False
        last = gone[0]
        return (beat.incarnation, beat.sequence) <= (last.incarnation, last.sequence)

    def _capacity(self, address: str) -> float:
        peer = self._peers.get(address)
        return self._own_capacity if peer is None else peer.beat.capacity

    def _staying(self, availability_zone: str) -> list[str]:
        staying = [
            address
            for address, peer in self._peers.items()
            if peer.beat.availability_zone == availability_zone
            and peer.beat.state is not InstanceState.LEAVING
        ]
        if availability_zone == self._zone and not self._own_leaving:
            staying.append(self._own_address)
        return staying

    def _silence_s(self, peer: Peer) -> float:
        own_zone = peer.beat.availability_zone == self._zone
        return _ZONE_SILENCE_S if own_zone else _OTHER_ZONE_SILENCE_S
