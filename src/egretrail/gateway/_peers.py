"""The peers' datagrams: heartbeats to the hub of the zone, and what hubs tell."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

from result import Err

from egretrail.cluster import (
    BEAT_INTERVAL_S,
    HUB_SILENCE_S,
    Beat,
    BeatsDatagram,
    Following,
    Instance,
    Introduction,
    Section,
    SectionsDatagram,
    decode_datagram,
    encode_beats,
    encode_passed_on,
)
from egretrail.gateway._hub_links import HubLinks, is_urgent
from egretrail.gateway._interfaces import GatewaySettings
from egretrail.gateway._introducer import Introducer
from egretrail.gateway._log import EventLog
from egretrail.gateway._peer_streams import StateOffer
from egretrail.gateway._state_exchange import StateExchange
from egretrail.gateway._timer import Timer
from egretrail.gateway._view import FleetView

#: How often this instance looks who is its hub and whether a beat is due.
_LOOK_S = 0.1
#: How often it drops who is silent, of whole seconds that silence takes.
_EXPIRE_S = 0.4
#: A longer time between two looks is a pause of the whole process: nobody else was silent.
_PAUSE_S = 0.5
#: News wait this long for more news in a zone of so many instances, in others in proportion: a hub
#: hears 480 beats a second of any number.
_BATCH_S = 0.1
_BATCH_INSTANCES = 48
_BATCH_MIN_S = 0.03
#: The same for news that bear on an upstream's standing.
_URGENT_BATCH_S = 0.02
#: A beat with such news is followed by another one, in case that it was lost.
_AGAIN_S = 0.03
#: Seeds are told of this instance with each beat until it has a hub and knows so many peers, and
#: with its first beats, which follow each other sooner: an instance that has just started serves
#: once it has learned the configuration from a peer.
_SEEDED_PEERS = 3
_FIRST_BEATS = 6
_FIRST_INTERVAL_S = 0.06
#: Later a hub tells one seed of itself once a second, which joins two parts of a fleet that lost
#: each other.
_SEED_INTERVAL_BEATS = 4
#: A hub tells so many of those who come after it in the order that it is there, and so many whom it
#: does not hear itself: one of them may be the hub of another part of the zone, or know it.
_GREETED = 2
#: Instances that are remembered as such; forgetting them costs them one message each.
_CLIENTS_MAX = 1_000
#: Instances whose beats came by this one hear the hub by it for this long.
_CLIENT_S = 1.0
#: A datagram that was passed on so often does not arrive.
_HOPS_MAX = 3


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, peers: "PeerLinks") -> None:
        self._peers = peers

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._peers.received(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """An unreachable peer is seen by its silence."""


class PeerLinks:
    """Tells the hub of the zone what this instance knows, and hears what hubs tell."""

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._log = log
        self._loop = asyncio.get_running_loop()
        #: Fetches upstreams and configurations from peers.
        self.state = StateExchange(settings, view, log, rng)
        self._following = Following(settings.ip, self._loop.time())
        self._hub: HubLinks | None = None
        #: How often this process was the hub: each time its sums and their numbers begin anew.
        self._terms = 0
        self._extra_seeds: list[str] = []
        self._beats_sent = 0
        self._beat_s = float("-inf")
        self._looked_s = self._expired_s = self._loop.time()
        self._beat_timer = Timer(self._loop, self.send_beat)
        #: Whether the next beat is to be followed by another one soon.
        self._again = False
        #: When beats last came that are passed on, by the address that they came from.
        self._clients_s: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        #: Bytes that were sent to other zones by what they are, for the metrics.
        self.bytes_across: Counter[str] = Counter()
        self._introducer = Introducer(view, self._send_now, self.bytes_across)
        view.on_news = self._has_news

    async def open(self) -> None:
        """Listen for datagrams and for questions about state."""
        address = (self._settings.ip, self._settings.peer_port)
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=address
        )
        self._transport = transport
        await self.state.open()

    async def beat_forever(self) -> None:
        """Send a beat at the interval, drop who is silent, and take or give up the hub's part."""
        while True:
            self._look()
            first = self._beats_sent < _FIRST_BEATS
            interval_s = _FIRST_INTERVAL_S if first else BEAT_INTERVAL_S
            if self._loop.time() - self._beat_s >= interval_s:
                self.send_beat()
            await asyncio.sleep(_FIRST_INTERVAL_S if first else _LOOK_S)

    def add_seeds(self, addresses: list[str]) -> None:
        """Take addresses of instances that the store listed."""
        self._extra_seeds = [a for a in addresses if a != self._settings.ip]

    def take_settings(self, settings: GatewaySettings) -> None:
        """Go on with changed settings."""
        self._settings = settings

    @property
    def is_hub(self) -> bool:
        """Whether this instance is the hub of its zone, or of a part of it."""
        return self._hub is not None

    def end(self) -> None:
        """Send nothing more."""
        self._beat_timer.stop()
        if self._hub is not None:
            self._hub.stop()
            self._hub = None

    def leave(self) -> None:
        """Tell that this instance is stopping; another one takes over where it was the hub."""
        self._view.membership.leave()
        if self._hub is not None:
            self._hub.tell_last()
            self._hub = None
        self.send_beat()

    def send_beat(self) -> None:
        """Send this instance's beat to the hub now, and to whoever may know one."""
        self._beat_timer.stop()
        self._beat_s = self._loop.time()
        self._beats_sent += 1
        order = self._order()
        if self._hub is None:
            targets = [*self._following.targets(order, self._beat_s), *self._seeds_to_tell()]
        else:
            targets = [*self._greeted(order), *self._seeds_to_tell()]
        if targets:
            data = encode_beats(BeatsDatagram(0, [self._view.own_beat()]))
            for target in dict.fromkeys(targets):
                self._send(data, target)
        if self._again:
            self._again = False
            self._beat_timer.at(self._beat_s + _AGAIN_S)

    def received(self, data: bytes, sender: str) -> None:
        """Take a datagram."""
        decoded = decode_datagram(data)
        if isinstance(decoded, Err):
            self._log.event("datagram_dropped", peer=sender, cause=decoded.err_value)
            return
        match decoded.ok_value:
            case BeatsDatagram() as datagram:
                for beat in datagram.beats:
                    self._hear_beat(beat, datagram.hops, sender)
            case SectionsDatagram() as datagram:
                if datagram.across:
                    self._hear_across(datagram)
                else:
                    self._hear_zone(datagram, sender)
            case Introduction() as introduction:
                self._hear_introduction(introduction)

    def _look(self) -> None:
        now_s = self._loop.time()
        pause_s = now_s - self._looked_s
        self._looked_s = now_s
        if pause_s > _PAUSE_S:
            self._view.membership.postpone(pause_s)
        if self._hub is not None:
            self._hub.expire(pause_s if pause_s > _PAUSE_S else 0.0)
        if now_s - self._expired_s >= _EXPIRE_S:
            self._expired_s = now_s
            self._view.expire()
        self._take_part(now_s)

    def _take_part(self, now_s: float) -> None:
        """Become the hub, or stop to be it."""
        acts = not self._view.leaving and self._following.acts(self._order(), now_s)
        if acts and self._hub is None:
            self._log.event("hub_started", known=self._view.membership.zone_size())
            self._terms += 1
            self._hub = HubLinks(
                self._settings,
                self._view,
                self._view.incarnation + self._terms,
                self._send_now,
                self._take_own_section,
                self.bytes_across,
            )
        elif not acts and self._hub is not None:
            self._log.event("hub_stopped", follows=self._following.hub)
            self._hub.stop()
            self._hub = None
            self.send_beat()

    def _order(self) -> Sequence[str]:
        return self._view.membership.order(self._settings.availability_zone)

    def _greeted(self, order: Sequence[str]) -> Sequence[str]:
        """Return whom a hub tells of itself: one that should be it, or the next ones."""
        own = self._settings.ip
        rank = order.index(own) if own in order else 0
        following = order[:1] if rank else order[1 : 1 + _GREETED]
        return [*following, *self._view.membership.strangers()[:_GREETED]]

    def _hear_beat(self, beat: Beat, hops: int, sender: str) -> None:
        if beat.origin == self._settings.ip:
            return
        now_s = self._loop.time()
        if beat.availability_zone != self._settings.availability_zone:
            self._meet(beat.instance(), now_s)
            self._introducer.answer(beat.origin, beat.availability_zone, now_s)
        elif self._hub is not None:
            newcomer = self._view.membership.hear(beat.instance(), now_s)
            if newcomer:
                self._introducer.answer(beat.origin, beat.availability_zone, now_s)
            self._hub.hear(beat, direct=hops == 0)
        else:
            self._meet(beat.instance(), now_s)
            self._pass_to_hub(beat, hops, sender, now_s)
        offer = StateOffer(
            beat.origin, beat.availability_zone, beat.config_version, beat.upstreams_revision
        )
        self.state.fetch_if_newer(offer, at_once=self._hub is not None)

    def _pass_to_hub(self, beat: Beat, hops: int, sender: str, now_s: float) -> None:
        """Pass a beat on: its way to the hub is cut, or it knows no hub yet."""
        if len(self._clients_s) >= _CLIENTS_MAX:
            self._clients_s.clear()
        self._clients_s[sender] = now_s
        if hops >= _HOPS_MAX:
            return
        data = encode_beats(BeatsDatagram(hops + 1, [beat]))
        for target in self._ways(now_s):
            if target not in (sender, beat.origin):
                self._send(data, target)

    def _ways(self, now_s: float) -> Sequence[str]:
        following = self._following
        if following.hub is not None and now_s - following.heard_s <= HUB_SILENCE_S:
            return [following.way or following.hub]
        return [address for address in self._order() if address != self._settings.ip][:1]

    def _hear_zone(self, datagram: SectionsDatagram, sender: str) -> None:
        news = False
        for section in datagram.sections:
            if section.availability_zone == self._settings.availability_zone:
                news |= self._hear_own_zone(section, sender)
            else:
                news |= self._take(section)
        if news and datagram.hops < _HOPS_MAX:
            self._pass_to_clients(datagram, sender)

    def _hear_own_zone(self, section: Section, sender: str) -> bool:
        now_s = self._loop.time()
        order = self._order()
        if not self._following.accepts(section.hub, order, now_s):
            self._view.take_section(section, followed=False)
            return False
        news = self._view.take_section(section, followed=True)
        before = self._following.hub
        self._following.heard(section.hub, sender, self._order(), now_s)
        sent_s = self._view.zones.acknowledged_s()
        if sent_s is not None:
            self._following.acknowledged(sent_s)
        self._offered(section)
        if before != section.hub:
            self._log.event("hub_followed", hub=section.hub, before=before, sender=sender)
            self._take_part(now_s)
            self._beat_timer.at(now_s)
        return news

    def _take_own_section(self, section: Section) -> bool:
        """Take what this instance itself tells as the hub, as all others do."""
        now_s = self._loop.time()
        if not self._following.accepts(section.hub, self._order(), now_s):
            return self._view.take_section(section, followed=False)
        self._following.heard(section.hub, section.hub, self._order(), now_s)
        return self._view.take_section(section, followed=True)

    def _hear_across(self, datagram: SectionsDatagram) -> None:
        now_s = self._loop.time()
        if self._hub is None:
            if datagram.hops < _HOPS_MAX:
                data = encode_passed_on(datagram)
                for target in self._ways(now_s):
                    self._send(data, target)
            return
        for section, encoded in zip(datagram.sections, datagram.encoded, strict=True):
            hub_before = self._view.zones.hub(section.availability_zone)
            news = self._take(section)
            self._hub.hear_proof(section)
            if news:
                self._hub.pass_on([encoded], urgent=is_urgent(section))
            if hub_before != section.hub:
                self._hub.tell_roster()

    def _take(self, section: Section) -> bool:
        """Take a section of another zone."""
        news = self._view.take_section(section, followed=True)
        if news:
            self._offered(section)
        return news

    def _offered(self, section: Section) -> None:
        offer = StateOffer(
            section.hub,
            section.availability_zone,
            section.config_version,
            section.upstreams_revision,
        )
        self.state.fetch_if_newer(offer, at_once=self._hub is not None)

    def _pass_to_clients(self, datagram: SectionsDatagram, sender: str) -> None:
        now_s = self._loop.time()
        for old in [who for who, at_s in self._clients_s.items() if now_s - at_s > _CLIENT_S]:
            del self._clients_s[old]
        clients = [client for client in self._clients_s if client != sender]
        if clients:
            data = encode_passed_on(datagram)
            for client in clients:
                self._send(data, client)

    def _hear_introduction(self, introduction: Introduction) -> None:
        now_s = self._loop.time()
        sender = introduction.sender
        for instance in [sender, *introduction.instances]:
            self._meet(instance, now_s)
        offer = StateOffer(
            sender.address,
            sender.availability_zone,
            introduction.config_version,
            introduction.upstreams_revision,
        )
        self.state.fetch_if_newer(offer, at_once=self._hub is not None)

    def _meet(self, instance: Instance, now_s: float) -> None:
        """Take an instance by another's word, and name one of the own zone to the hub.

        A zone may begin in several parts, each with its hub; any of their members may be the one
        that hears of another part.
        """
        if not self._view.membership.introduce(instance, now_s):
            return
        if self._hub is not None:
            if self._view.zones.hub(instance.availability_zone) is None:
                self._hub.tell_roster()
        elif instance.availability_zone == self._settings.availability_zone:
            for target in self._ways(now_s):
                if target != instance.address:
                    self._introducer.tell([instance], target)

    def _seeds_to_tell(self) -> list[str]:
        all_seeds = [*self._settings.seeds, *self._extra_seeds]
        seeds = [seed for seed in all_seeds if seed != self._settings.ip]
        lonely = self._view.membership.size() <= _SEEDED_PEERS or self._following.hub is None
        if lonely or self._beats_sent <= _FIRST_BEATS:
            return seeds
        if self._hub is None or self._beats_sent % _SEED_INTERVAL_BEATS or not seeds:
            return []
        return [seeds[self._beats_sent // _SEED_INTERVAL_BEATS % len(seeds)]]

    def _has_news(self, urgent: bool) -> None:
        if self._hub is not None:
            if urgent:
                self._hub.has_news()
            return
        usual_s = max(_BATCH_S * len(self._order()) / _BATCH_INSTANCES, _BATCH_MIN_S)
        delay_s = _URGENT_BATCH_S if urgent else usual_s
        self._again |= urgent
        self._beat_timer.at(max(self._beat_s + delay_s, self._loop.time()))

    def _send_now(self, data: bytes, target: str) -> None:
        """Send by whatever means this object has now: tests replace them."""
        self._send(data, target)

    def _send(self, data: bytes, target: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (target, self._settings.peer_port))
