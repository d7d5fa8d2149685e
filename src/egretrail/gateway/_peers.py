"""The peers' datagrams: heartbeats, news, and who is told of whom."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

import xxhash
from result import Err

from egretrail.cluster import (
    BEAT_INTERVAL_S,
    Beat,
    Datagram,
    Path,
    Peer,
    Relay,
    decode_datagram,
    encode_datagrams,
)
from egretrail.gateway._interfaces import GatewaySettings, StoreLayout
from egretrail.gateway._log import EventLog
from egretrail.gateway._state_exchange import StateExchange
from egretrail.gateway._view import FleetView

#: News wait this long for more news, so that a burst of requests makes one datagram. In a zone of
#: more instances than this they wait longer in proportion, so that what each instance receives
#: stays within 800 datagrams a second.
_BATCH_S = 0.02
_BATCH_INSTANCES = 16
#: The instance that broadcasts a beat in another zone changes this often, so that one that has just
#: died is passed by with the next beat.
_BROADCASTER_TURN_S = 0.3
#: Seeds are told of this instance with each beat until so many peers are known, and with its first
#: beats, which follow each other sooner: an instance that has just started serves once it has
#: learned the configuration from a peer.
_SEEDED_PEERS = 3
_FIRST_BEATS = 6
_FIRST_INTERVAL_S = 0.06
#: Later one seed is told now and then, which joins two parts of a fleet that lost each other.
_SEED_INTERVAL_BEATS = 8
#: Instances that introduce a newcomer to their zone: each may know a part of it.
_INTRODUCERS = 4
#: The same instance is introduced again after this time. Those that were taken as gone by mistake,
#: as with full links, would else be sent the whole zone again and again.
_INTRODUCTION_INTERVAL_S = 1.0
#: Introductions that are remembered; forgetting them costs one more each.
_INTRODUCED_MAX = 1_000
#: The time between two tellings of the known instances to one of them.
_TELL_INTERVAL_S = 1.0
#: The same for some time after an instance was found: whom one has just heard of others may miss.
_TELL_SOON_S = 0.4
_TELL_SOON_FOR_S = 3.0
_TELL_ACROSS_SHARE = 0.1


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, peers: "PeerLinks") -> None:
        self._peers = peers

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._peers.received(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """An unreachable peer is seen by its silence."""


class PeerLinks:
    """Tells peers what this instance knows, and hears what they know."""

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        layout: StoreLayout,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._settings = settings
        self._view = view
        self._log = log
        self._exchange = StateExchange(settings, view, layout, log)
        self._loop = asyncio.get_running_loop()
        self._relay = Relay()
        self._extra_seeds: list[str] = []
        self._beats_sent = 0
        #: When the last beat was sent, and when a peer was last told of others.
        self._beat_s = self._told_s = float("-inf")
        #: When an instance was last found.
        self._newcomer_s = float("-inf")
        self._last_beat: Beat | None = None
        self._flush: asyncio.TimerHandle | None = None
        self._across: asyncio.TimerHandle | None = None
        self._across_due_s = 0.0
        #: The lifetime of each instance that was introduced lately, and when.
        self._introductions: dict[str, tuple[int, float]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        #: Bytes that were sent to other zones by what they are, for the metrics.
        self.bytes_across: Counter[str] = Counter()
        view.on_news = self._has_news

    async def open(self) -> None:
        """Listen for datagrams and for questions about state."""
        address = (self._settings.ip, self._settings.peer_port)
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=address
        )
        self._transport = transport
        await self._exchange.open()

    async def beat_forever(self) -> None:
        """Send a beat at the interval, unless news went out meanwhile, and drop silent peers."""
        while True:
            for origin in self._view.expire():
                self._relay.forget(origin)
            self._tell_now_and_then()
            first = self._beats_sent < _FIRST_BEATS
            interval_s = _FIRST_INTERVAL_S if first else BEAT_INTERVAL_S
            left_s = self._beat_s + interval_s - self._loop.time()
            if left_s <= 0:
                self.send_beat()
                left_s = interval_s
            await asyncio.sleep(left_s)

    def add_seeds(self, addresses: list[str]) -> None:
        """Take addresses of instances that the store listed."""
        self._extra_seeds = [a for a in addresses if a != self._settings.ip]

    def send_beat(self) -> None:
        """Send this instance's beat to its zone now."""
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
        beat = self._last_beat = self._view.own_beat()
        self._beat_s = self._loop.time()
        self._beats_sent += 1
        targets = [*self._view.membership.zone_addresses(), *self._seeds_to_tell()]
        for data in encode_datagrams(Path.DIRECT, [beat]):
            for target in dict.fromkeys(targets):
                self._send(data, target)
        self._offer(beat)

    def received(self, data: bytes, sender: str) -> None:
        """Take a datagram."""
        decoded = decode_datagram(data)
        if isinstance(decoded, Err):
            self._log.event("datagram_dropped", peer=sender, cause=decoded.err_value)
            return
        datagram = decoded.ok_value
        if datagram.path is Path.INTRODUCED:
            self._introduced(datagram.beats)
            return
        for beat in datagram.beats:
            known = self._view.membership.knows(beat)
            peer = self._view.hear(beat)
            if peer is not None:
                self._heard(peer, datagram, sender, newcomer=not known)
        if datagram.path is Path.ACROSS:
            for relayed in encode_datagrams(Path.RELAYED, datagram.beats):
                for target in self._view.membership.zone_addresses():
                    self._send(relayed, target)

    def _introduced(self, beats: Sequence[Beat]) -> None:
        for beat in beats:
            peer = self._view.introduce(beat)
            if peer is not None:
                self._newcomer_s = self._loop.time()
                self._exchange.fetch_if_newer(beat)

    def _heard(self, peer: Peer, datagram: Datagram, sender: str, *, newcomer: bool) -> None:
        beat = peer.beat
        if newcomer:
            self._newcomer_s = self._loop.time()
        if datagram.path is Path.DIRECT:
            zone = self._settings.availability_zone
            if beat.availability_zone == zone:
                self._offer(beat)
                if newcomer and self._introduces(beat):
                    self._introduce(beat)
            elif beat.sequence <= _FIRST_BEATS:
                self._tell(sender, self._known_beats())
            else:
                self._tell(sender, self._relay_beats())
        self._exchange.fetch_if_newer(beat)

    def _introduces(self, newcomer: Beat) -> bool:
        zone = self._settings.availability_zone
        return self._view.membership.rank_for(f"introduce {newcomer.origin}", zone) < _INTRODUCERS

    def _introduce(self, newcomer: Beat) -> None:
        """Tell an instance that has just started whom this one knows."""
        now_s = self._loop.time()
        incarnation, told_s = self._introductions.get(newcomer.origin, (0, float("-inf")))
        if newcomer.incarnation == incarnation and now_s - told_s < _INTRODUCTION_INTERVAL_S:
            return
        if len(self._introductions) >= _INTRODUCED_MAX:
            self._introductions.clear()
        self._introductions[newcomer.origin] = (newcomer.incarnation, now_s)
        self._tell(newcomer.origin, self._known_beats())

    def _tell(self, receiver: str, beats: Sequence[Beat]) -> None:
        """Tell an instance of others, and of this one."""
        # Not as a direct beat, which would be answered in turn; and not as a new one, whose news
        # the other instances would miss.
        own = self._last_beat or self._view.own_beat()
        across = self._view.membership.zone_of(receiver) != self._settings.availability_zone
        for data in encode_datagrams(Path.INTRODUCED, [*beats, own]):
            if across:
                self.bytes_across["introductions"] += len(data)
            self._send(data, receiver)

    def _known_beats(self) -> list[Beat]:
        return [peer.beat for peer in self._view.membership.peers()]

    def _relay_beats(self) -> list[Beat]:
        """Return the beats of each zone's relay, which suffice to find the rest."""
        membership = self._view.membership
        relays = {membership.relays(zone)[0] for zone in membership.zones() if self._has(zone)}
        return [beat for beat in self._known_beats() if beat.origin in relays]

    def _has(self, availability_zone: str) -> bool:
        return bool(self._view.membership.relays(availability_zone))

    def _tell_now_and_then(self) -> None:
        """Tell one instance, chosen by chance, whom this one knows of its zone.

        Instances that start at the same moment, or on both sides of a cut, may each know a part of
        their zone. Told to one more each second, what any of them knows reaches all. Few of these
        messages go to other zones, where the bytes cost money.
        """
        now_s = self._loop.time()
        soon = now_s - self._newcomer_s < _TELL_SOON_FOR_S
        if now_s - self._told_s < (_TELL_SOON_S if soon else _TELL_INTERVAL_S):
            return
        zone = self._settings.availability_zone
        peers = list(self._view.membership.peers())
        near = [peer for peer in peers if peer.beat.availability_zone == zone]
        if not near or self._rng.random() < _TELL_ACROSS_SHARE:
            near = peers
        if not near:
            return
        self._told_s = now_s
        told = self._rng.choice(near).beat
        beats = [b for b in self._known_beats() if b.availability_zone == told.availability_zone]
        self._tell(told.origin, beats)

    def _seeds_to_tell(self) -> list[str]:
        seeds = [seed for seed in self._settings.seeds if seed != self._settings.ip]
        known = sum(1 for _ in self._view.membership.peers())
        if known < _SEEDED_PEERS or self._beats_sent <= _FIRST_BEATS:
            return [*seeds, *self._extra_seeds]
        if self._beats_sent % _SEED_INTERVAL_BEATS or not seeds:
            return []
        return [seeds[self._beats_sent // _SEED_INTERVAL_BEATS % len(seeds)]]

    def _has_news(self, urgent: bool) -> None:
        if urgent and self._flush is not None:
            self._flush.cancel()
            self._flush = None
        if self._flush is None:
            crowd = max(self._view.membership.zone_size() / _BATCH_INSTANCES, 1.0)
            delay_s = 0.0 if urgent else _BATCH_S * crowd
            self._flush = self._loop.call_later(delay_s, self._flush_now)

    def _flush_now(self) -> None:
        self._flush = None
        self.send_beat()

    def _offer(self, beat: Beat) -> None:
        if self._view.membership.own_rank() != 0:
            return
        now_s = self._loop.time()
        delay_s = self._relay.offer(beat, now_s, self._view.membership.size())
        if delay_s is not None:
            self._pass_across_at(now_s + delay_s)

    def _pass_across_at(self, due_s: float) -> None:
        if self._across is not None:
            if self._across_due_s <= due_s:
                return
            self._across.cancel()
        self._across_due_s = due_s
        self._across = self._loop.call_at(due_s, self._pass_across)

    def _pass_across(self) -> None:
        self._across = None
        now_s = self._loop.time()
        beats = self._relay.take(now_s)
        membership = self._view.membership
        for zone in membership.zones() - {self._settings.availability_zone}:
            broadcasters = membership.broadcasters(zone)
            if broadcasters:
                self._pass_to(broadcasters, beats, int(now_s / _BROADCASTER_TURN_S))
        next_s = self._relay.next_due_s()
        if next_s is not None:
            self._pass_across_at(next_s)

    def _pass_to(self, broadcasters: Sequence[str], beats: Sequence[Beat], turn: int) -> None:
        """Share beats among the instances that broadcast them in their zone."""
        shares: dict[str, list[Beat]] = {}
        for beat in beats:
            number = (xxhash.xxh32_intdigest(beat.origin.encode()) + turn) % len(broadcasters)
            shares.setdefault(broadcasters[number], []).append(beat)
        for broadcaster, share in shares.items():
            for data in encode_datagrams(Path.ACROSS, share):
                self.bytes_across["beats"] += len(data)
                self._send(data, broadcaster)

    def _send(self, data: bytes, target: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (target, self._settings.peer_port))
