"""Datagrams between peers: heartbeats to the zone's hub, and sections from hubs."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

from result import Err

from egretrail.cluster import (
    FALLBACK_TARGETS,
    HEARTBEAT_INTERVAL_S,
    HUB_TIMEOUT_S,
    Heartbeat,
    HeartbeatsDatagram,
    HubElection,
    Instance,
    Introduction,
    Section,
    SectionsDatagram,
    decode_datagram,
    encode_heartbeats,
    encode_relayed,
)
from egretrail.gateway._hub_links import HubLinks, is_urgent
from egretrail.gateway._interfaces import GatewaySettings
from egretrail.gateway._introducer import Introducer
from egretrail.gateway._log import EventLog
from egretrail.gateway._peer_streams import StateOffer
from egretrail.gateway._state_exchange import StateExchange
from egretrail.gateway._timer import Timer
from egretrail.gateway._view import FleetView

#: Interval of the checks of the hub role and of whether a heartbeat is due.
_TICK_S = 0.1
#: A check for something that is due at a moment follows this much later.
_DUE_MARGIN_S = 0.001
#: Interval of the removal of silent instances; the silence that leads to removal takes whole
#: seconds.
_EXPIRE_S = 0.4
#: A longer gap between two checks means that this whole process was paused, so that peers only seem
#: to have been silent.
_PAUSE_S = 0.5
#: In a zone of this many instances, updates are batched for this time, and in other zones in
#: proportion: a hub then receives 480 heartbeats a second at any zone size.
_BATCH_S = 0.1
_BATCH_INSTANCES = 48
#: Updates are batched for at least this time, also in small zones.
_BATCH_MIN_S = 0.03
#: The batching time of updates that concern an upstream's health.
_URGENT_BATCH_S = 0.02
#: A heartbeat with such updates is followed by another one after this time, in case it was lost.
_REPEAT_S = 0.03
#: Each heartbeat also goes to the seeds until a hub and this many peers are known. The first
#: heartbeats go to them in any case, at a shorter interval: an instance that has just started can
#: serve clients only once it has learned the configuration from a peer.
_SEEDED_PEERS = 3
_FIRST_HEARTBEATS = 6
_FIRST_INTERVAL_S = 0.06
#: Later a hub contacts one seed a second, which rejoins two parts of a fleet that lost each other.
_SEED_INTERVAL_HEARTBEATS = 4
#: A hub announces itself to this many of its successors in the hub order, and to this many
#: instances from which it receives nothing: one of them may be the hub of another part of the zone
#: or know that hub.
_GREETED_PEERS = 2
#: The maximum number of remembered relay clients; forgetting them costs one message each.
_RELAY_CLIENTS_MAX = 1_000
#: Sections are relayed for this long to instances whose heartbeats were relayed here.
_RELAY_CLIENT_S = 1.0
#: A datagram that has been relayed this many times is dropped.
_HOPS_MAX = 3


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, peers: "PeerLinks") -> None:
        self._peers = peers

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._peers.handle_datagram(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: an unreachable peer is detected by its silence."""


class PeerLinks:
    """Sends this instance's state to the hub of its zone, and applies what hubs send."""

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
        self.state_exchange = StateExchange(settings, view, log, rng)
        self._rng = rng
        self._election = HubElection(settings.ip, self._loop.time(), rng=rng)
        self._hub: HubLinks | None = None
        #: How often this process became the hub; aggregates and their numbers restart each time.
        self._hub_terms = 0
        self._extra_seeds: list[str] = []
        self._heartbeats_sent = 0
        self._heartbeat_sent_s = float("-inf")
        self._ticked_s = self._expired_s = self._loop.time()
        self._heartbeat_timer = Timer(self._loop, self.send_heartbeat)
        #: Whether the next heartbeat is to be repeated soon.
        self._repeat_heartbeat = False
        #: When a relayed heartbeat last arrived, by the address that sent it.
        self._relay_clients_s: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        #: Bytes sent to other zones by kind of message, for the metrics.
        self.cross_zone_bytes: Counter[str] = Counter()
        self._introducer = Introducer(view, self._send_now, self.cross_zone_bytes)
        view.on_update = self._schedule_heartbeat

    async def open(self) -> None:
        """Listen for datagrams and for fetch requests of peers; what is open stays open."""
        if self._transport is None or self._transport.is_closing():
            address = (self._settings.ip, self._settings.peer_port)
            self._transport, _ = await self._loop.create_datagram_endpoint(
                lambda: _Datagrams(self), local_addr=address
            )
        await self.state_exchange.open()

    async def run(self) -> None:
        """Send heartbeats, remove silent instances, and take or give up the hub role."""
        while True:
            if self._transport is not None and self._transport.is_closing():
                # The loop closes it at an error that is none of the network's.
                await self.open()
            self._tick()
            first = self._heartbeats_sent < _FIRST_HEARTBEATS
            interval_s = _FIRST_INTERVAL_S if first else HEARTBEAT_INTERVAL_S
            is_due = self._loop.time() - self._heartbeat_sent_s >= interval_s
            if is_due or self._has_just_lost_hub():
                self.send_heartbeat()
            await asyncio.sleep(self._tick_interval_s(_FIRST_INTERVAL_S if first else _TICK_S))

    def _tick_interval_s(self, interval_s: float) -> float:
        """Return the time until the next check, which is earlier if the loss of the hub is due."""
        if self._hub is not None:
            return interval_s
        now_s = self._loop.time()
        due_s = [self._election.hub_lost_s, self._election.takeover_due_s(self._order())]
        due_in_s = min((one_s - now_s for one_s in due_s if one_s > now_s), default=interval_s)
        return min(due_in_s + _DUE_MARGIN_S, interval_s)

    def _has_just_lost_hub(self) -> bool:
        """Return whether the hub was lost after the last heartbeat was sent.

        The next one goes to instances that may still receive sections of the hub, and relay them.
        """
        lost_s = self._election.hub_lost_s
        return self._hub is None and self._heartbeat_sent_s < lost_s < self._loop.time()

    def add_seeds(self, addresses: list[str]) -> None:
        """Set the additional seeds: instances that the store lists."""
        self._extra_seeds = [a for a in addresses if a != self._settings.ip]

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        if self._hub is not None:
            self._hub.apply_settings()

    @property
    def is_hub(self) -> bool:
        """Whether this instance is the hub of its zone, or of a part of it."""
        return self._hub is not None

    def stop(self) -> None:
        """Stop sending."""
        self._heartbeat_timer.cancel()
        if self._hub is not None:
            self._hub.stop()
            self._hub = None

    def leave(self) -> None:
        """Announce that this instance is stopping, so that another one takes over as the hub."""
        self._view.membership.withdraw()
        if self._hub is not None:
            self._hub.send_final()
            self._hub = None
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the hub now, and to instances that may know a hub."""
        self._heartbeat_timer.cancel()
        self._heartbeat_sent_s = self._loop.time()
        self._heartbeats_sent += 1
        order = self._order()
        if self._hub is None:
            targets = [
                *self._election.heartbeat_targets(order, self._heartbeat_sent_s),
                *self._seeds_to_contact(),
            ]
        else:
            targets = [*self._peers_to_greet(order), *self._seeds_to_contact()]
        if targets:
            data = encode_heartbeats(HeartbeatsDatagram(0, [self._view.next_heartbeat()]))
            for target in dict.fromkeys(targets):
                self._send(data, target)
        if self._repeat_heartbeat:
            self._repeat_heartbeat = False
            self._heartbeat_timer.schedule_at(self._heartbeat_sent_s + _REPEAT_S)

    def handle_datagram(self, data: bytes, sender: str) -> None:
        """Handle a received datagram."""
        decoded = decode_datagram(data)
        if isinstance(decoded, Err):
            self._log.event("datagram_dropped", peer=sender, cause=decoded.err_value)
            return
        self._view.record_peer_contact()
        match decoded.ok_value:
            case HeartbeatsDatagram() as datagram:
                for heartbeat in datagram.heartbeats:
                    self._handle_heartbeat(heartbeat, datagram.hops, sender)
            case SectionsDatagram() as datagram:
                if datagram.is_cross_zone:
                    self._handle_cross_zone_sections(datagram)
                else:
                    self._handle_zone_sections(datagram, sender)
            case Introduction() as introduction:
                self._handle_introduction(introduction)

    def _tick(self) -> None:
        now_s = self._loop.time()
        pause_s = now_s - self._ticked_s
        self._ticked_s = now_s
        if pause_s > _PAUSE_S:
            self._view.membership.extend_deadlines(pause_s)
            self._election.extend_deadlines(pause_s)
            self._view.store_outage.extend_deadlines(pause_s)
        if self._hub is not None:
            self._hub.expire(pause_s if pause_s > _PAUSE_S else 0.0)
        if now_s - self._expired_s >= _EXPIRE_S:
            self._expired_s = now_s
            self._view.expire()
        if self._view.overload.sample_report(now_s):
            self._view.on_update(False)
        self._update_hub_role(now_s)

    def _update_hub_role(self, now_s: float) -> None:
        """Become the hub, or give up the hub role."""
        should_act = not self._view.leaving and self._election.is_hub(self._order(), now_s)
        if should_act and self._hub is None:
            self._log.event(
                "hub_started",
                known=self._view.membership.zone_size(),
                rank=self._view.membership.own_rank(),
                silent_s=now_s - self._election.last_section_s,
            )
            self._hub_terms += 1
            self._hub = HubLinks(
                self._settings,
                self._view,
                self._view.incarnation + self._hub_terms,
                self._send_now,
                self._apply_own_hub_section,
                self.cross_zone_bytes,
                self._rng,
            )
        elif not should_act and self._hub is not None:
            self._log.event("hub_stopped", follows=self._election.hub)
            self._hub.send_final()
            self._hub = None
            self.send_heartbeat()

    def _order(self) -> Sequence[str]:
        return self._view.membership.hub_order(self._settings.availability_zone)

    def _peers_to_greet(self, order: Sequence[str]) -> Sequence[str]:
        """Return the peers to which a hub announces itself.

        The first hub of the order does so to its successors, and any other to those before it: they
        relay the sections of the rightful hub if only this instance has lost it.
        """
        own = self._settings.ip
        rank = order.index(own) if own in order else 0
        known = order[: min(rank, FALLBACK_TARGETS)] if rank else order[1 : 1 + _GREETED_PEERS]
        return [*known, *self._view.membership.unlisted_instances()[:_GREETED_PEERS]]

    def _handle_heartbeat(self, heartbeat: Heartbeat, hops: int, sender: str) -> None:
        if heartbeat.origin == self._settings.ip:
            return
        now_s = self._loop.time()
        if heartbeat.availability_zone != self._settings.availability_zone:
            self._introduce(heartbeat.instance(), now_s)
            self._introducer.reply(heartbeat.origin, heartbeat.availability_zone, now_s)
        elif self._hub is not None:
            newcomer = self._view.membership.record_heartbeat(heartbeat.instance(), now_s)
            if newcomer:
                self._introducer.reply(heartbeat.origin, heartbeat.availability_zone, now_s)
            self._hub.apply_heartbeat(heartbeat, direct=hops == 0)
        else:
            self._introduce(heartbeat.instance(), now_s)
            self._relay_to_hub(heartbeat, hops, sender, now_s)
        offer = StateOffer(
            heartbeat.origin,
            heartbeat.availability_zone,
            heartbeat.config_version,
            heartbeat.upstreams_revision,
        )
        self.state_exchange.fetch_if_newer(offer, at_once=self._hub is not None)

    def _relay_to_hub(self, heartbeat: Heartbeat, hops: int, sender: str, now_s: float) -> None:
        """Relay a heartbeat whose sender cannot reach the hub or knows none."""
        if len(self._relay_clients_s) >= _RELAY_CLIENTS_MAX:
            self._relay_clients_s.clear()
        self._relay_clients_s[sender] = now_s
        if hops >= _HOPS_MAX:
            return
        data = encode_heartbeats(HeartbeatsDatagram(hops + 1, [heartbeat]))
        for target in self._next_hops(now_s):
            if target not in (sender, heartbeat.origin):
                self._send(data, target)

    def _next_hops(self, now_s: float) -> Sequence[str]:
        election = self._election
        if election.hub is not None and now_s - election.last_section_s <= HUB_TIMEOUT_S:
            return [election.next_hop or election.hub]
        return [address for address in self._order() if address != self._settings.ip][:1]

    def _handle_zone_sections(self, datagram: SectionsDatagram, sender: str) -> None:
        is_new = False
        for section in datagram.sections:
            if section.availability_zone == self._settings.availability_zone:
                is_new |= self._apply_own_zone_section(section, sender)
            else:
                is_new |= self._apply_other_zone_section(section)
        if is_new and datagram.hops < _HOPS_MAX:
            self._relay_to_clients(datagram, sender)

    def _apply_own_zone_section(self, section: Section, sender: str) -> bool:
        now_s = self._loop.time()
        order = self._order()
        if not self._election.accepts_hub(section.hub, order, now_s):
            self._view.apply_section(section, followed=False)
            if self._hub is not None:
                self._hub.answer_rival(section.hub)
            return False
        is_new = self._view.apply_section(section, followed=True)
        before = self._election.hub
        self._election.record_section(section.hub, sender, self._order(), now_s)
        sent_s = self._view.zones.acknowledged_s()
        if sent_s is not None:
            self._election.record_acknowledgement(sent_s)
        self._handle_section_offer(section)
        if before != section.hub:
            self._log.event("hub_followed", hub=section.hub, before=before, sender=sender)
            self._update_hub_role(now_s)
            self._heartbeat_timer.schedule_at(now_s)
        return is_new

    def _apply_own_hub_section(self, section: Section) -> bool:
        """Apply a section that this instance sent as the hub, as its receivers do."""
        now_s = self._loop.time()
        if not self._election.accepts_hub(section.hub, self._order(), now_s):
            return self._view.apply_section(section, followed=False)
        self._election.record_section(section.hub, section.hub, self._order(), now_s)
        return self._view.apply_section(section, followed=True)

    def _handle_cross_zone_sections(self, datagram: SectionsDatagram) -> None:
        if self._hub is None:
            if datagram.hops < _HOPS_MAX:
                data = encode_relayed(datagram)
                for target in self._next_hops(self._loop.time()):
                    self._send(data, target)
            return
        for section, encoded in zip(datagram.sections, datagram.encoded, strict=True):
            hub_before = self._view.zones.hub(section.availability_zone)
            urgent = is_urgent(section) or self._view.has_new_draining(section)
            is_new = self._apply_other_zone_section(section)
            self._hub.apply_hub_confirmation(section)
            if is_new:
                self._hub.relay([encoded], urgent=urgent)
            if hub_before != section.hub:
                self._hub.send_roster()

    def _apply_other_zone_section(self, section: Section) -> bool:
        """Apply a section of another zone."""
        is_new = self._view.apply_section(section, followed=True)
        if is_new:
            self._handle_section_offer(section)
        return is_new

    def _handle_section_offer(self, section: Section) -> None:
        offer = StateOffer(
            section.hub,
            section.availability_zone,
            section.config_version,
            section.upstreams_revision,
        )
        self.state_exchange.fetch_if_newer(offer, at_once=self._hub is not None)

    def _relay_to_clients(self, datagram: SectionsDatagram, sender: str) -> None:
        now_s = self._loop.time()
        for old in [
            who for who, at_s in self._relay_clients_s.items() if now_s - at_s > _RELAY_CLIENT_S
        ]:
            del self._relay_clients_s[old]
        clients = [client for client in self._relay_clients_s if client != sender]
        if clients:
            data = encode_relayed(datagram)
            for client in clients:
                self._send(data, client)

    def _handle_introduction(self, introduction: Introduction) -> None:
        sender = introduction.sender
        for instance in [sender, *introduction.instances]:
            self._introduce(instance, self._loop.time())
        offer = StateOffer(
            sender.address,
            sender.availability_zone,
            introduction.config_version,
            introduction.upstreams_revision,
        )
        self.state_exchange.fetch_if_newer(offer, at_once=self._hub is not None)

    def _introduce(self, instance: Instance, now_s: float) -> None:
        """Record an instance that a peer reported, and report one of the own zone to the hub.

        A zone may start as several parts, each with a hub of its own; any member may be the first
        that learns of another part.
        """
        if not self._view.membership.record_introduction(instance, now_s):
            return
        if self._hub is not None:
            if self._view.zones.hub(instance.availability_zone) is None:
                self._hub.send_roster()
        elif instance.availability_zone == self._settings.availability_zone:
            for target in self._next_hops(now_s):
                if target != instance.address:
                    self._introducer.introduce([instance], target)

    def _seeds_to_contact(self) -> list[str]:
        seeds = [s for s in (*self._settings.seeds, *self._extra_seeds) if s != self._settings.ip]
        needs_seeds = self._view.membership.size() <= _SEEDED_PEERS or self._election.hub is None
        if needs_seeds or self._heartbeats_sent <= _FIRST_HEARTBEATS:
            return seeds
        if self._hub is None or self._heartbeats_sent % _SEED_INTERVAL_HEARTBEATS or not seeds:
            return []
        return [seeds[self._heartbeats_sent // _SEED_INTERVAL_HEARTBEATS % len(seeds)]]

    def _schedule_heartbeat(self, urgent: bool) -> None:
        if self._hub is not None:
            if urgent:
                self._hub.schedule_urgent_send()
            return
        batch_s = max(_BATCH_S * len(self._order()) / _BATCH_INSTANCES, _BATCH_MIN_S)
        delay_s = _URGENT_BATCH_S if urgent else batch_s
        self._repeat_heartbeat |= urgent
        self._heartbeat_timer.schedule_at(max(self._heartbeat_sent_s + delay_s, self._loop.time()))

    def _send_now(self, data: bytes, target: str) -> None:
        """Send with the current ``_send``, which tests replace."""
        self._send(data, target)

    def _send(self, data: bytes, target: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (target, self._settings.peer_port))
