"""The hub's side of the peers' datagrams: when sections go to the own and to other zones."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence

from egretrail.cluster import (
    ZONE_REPORT_INTERVAL_S,
    ZONE_SECTION_INTERVAL_MAX_S,
    ZONE_TIMEOUT_S,
    Heartbeat,
    Hub,
    HubState,
    Scope,
    Section,
    SectionEcho,
    SendTimes,
    encode_sections,
)
from egretrail.gateway._interfaces import StartupSettings
from egretrail.gateway._timer import Timer
from egretrail.gateway._view import FleetView

#: A zone of this many instances receives ten sections a second, since work takes longer than that.
#: The interval grows with the zone, so that each instance receives the same amount: in a larger
#: zone, more upstreams change in each interval. The maximum is well below the silence after which a
#: hub is taken as failed.
_ZONE_INTERVAL_S = 0.1
_ZONE_INSTANCES = 48
_ZONE_INTERVAL_MIN_S = 0.03
#: The interval of sections that bear on an upstream's health, since each request to a failing
#: upstream fails meanwhile: at most 25 a second in a zone of that size, however many upstreams
#: fail.
_ZONE_URGENT_INTERVAL_S = 0.04
_CROSS_ZONE_URGENT_INTERVAL_S = 0.05
_URGENT_INTERVAL_MIN_S = 0.01
#: The data rate at which an instance receives the aggregates of all other zones; a larger list is
#: sent less often. With eleven instances a zone, the loads are a quarter of a second old; each
#: further row of 5 bytes adds to that, up to an age at which most of the reported work has ended.
_CROSS_ZONE_BYTES_PER_S = 1_500
_SECTION_BYTES, _ROW_BYTES = 36, 5
_CROSS_ZONE_INTERVAL_MIN_S, _CROSS_ZONE_INTERVAL_MAX_S = 0.2, 1.5
#: Outcome reports to other zones are sent a second time after this interval, in case the datagram
#: was lost, and draining upstreams several times.
_CROSS_ZONE_RESEND_S = 0.1
#: A new hub announces itself to all instances of its zone for this time, at this interval. They may
#: not know that its predecessor is lost, and it may come late in the hub order.
_ANNOUNCE_S, _ANNOUNCE_INTERVAL_S = 0.5, 0.1
#: Timers may fire this much early.
_TIMER_TOLERANCE_S = 0.005
#: All hubs of a zone that sent sections within this time get those of other zones, while services
#: are watched for overload. A split zone has two, and one of them received nothing for seconds:
#: the other one had always sent last when sections were due.
_PARTS_HEARD_S = 0.6
#: The number of instances tried in a zone whose hub is unknown: the first of the hub order, and
#: further ones at random, since the first ones may be lost. Each of them relays the sections.
_HUB_CANDIDATES = 8


class HubLinks:
    """Sends sections while this instance is its zone's hub."""

    def __init__(
        self,
        settings: StartupSettings,
        view: FleetView,
        incarnation: int,
        send: Callable[[bytes, str], None],
        apply_own: Callable[[Section], bool],
        cross_zone_bytes: Counter[str],
        rng: random.Random,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._settings = settings
        self._view = view
        self._clock = loop.time
        self._incarnation = incarnation
        #: When sections were sent, by the clock of the configuration's confirmation.
        self._sent = {scope: SendTimes() for scope in Scope}
        self._rng = rng
        #: When the last full report was sent to other zones.
        self._reported_s = float("-inf")
        #: When this hub started, and when it last announced itself to the whole zone.
        self._started_s = loop.time()
        self._announced_s = float("-inf")
        #: Other hubs of the zone to which the next sections are sent as well.
        self._rivals: dict[str, None] = {}
        self._send = send
        self._apply_own = apply_own
        self._cross_zone_bytes = cross_zone_bytes
        self._hub = Hub(
            settings.ip,
            settings.availability_zone,
            incarnation,
            loop.time(),
            view.retry_budget.window_s,
            view.zones.hub_terms,
        )
        self._zone_timer = Timer(loop, self._send_to_zone)
        self._cross_zone_timer = Timer(loop, self._send_cross_zone)
        self._zone_sent_s = self._cross_zone_sent_s = float("-inf")
        #: When the next aggregates are due.
        self._zone_due_s = self._cross_zone_due_s = float("-inf")
        #: Sections of other zones to relay with the next datagram to the own zone.
        self._relayed: list[bytes] = []
        self._zone_timer.schedule_at(loop.time())
        self._cross_zone_timer.schedule_at(loop.time())

    def stop(self) -> None:
        """Stop sending, since another instance is the hub."""
        self._zone_timer.cancel()
        self._cross_zone_timer.cancel()

    def apply_settings(self) -> None:
        """Apply changed settings of the retry budget."""
        self._hub.set_retry_window(self._view.retry_budget.window_s)

    def apply_heartbeat(self, heartbeat: Heartbeat, *, direct: bool) -> None:
        """Apply a heartbeat of the own zone."""
        if self._hub.record_heartbeat(heartbeat, self._clock(), direct=direct):
            self._schedule_urgent()
        if self._view.apply_replaced(heartbeat.replaced, f"peer {heartbeat.origin}"):
            self._schedule_urgent()
        if heartbeat.last_section is not None:
            sent_s = self._echoed_sent_s(Scope.ZONE, [heartbeat.last_section])
            self._view.apply_peer_confirmation(
                heartbeat.config_version, heartbeat.config_freshness_age_s, sent_s
            )

    def apply_hub_confirmation(self, section: Section) -> None:
        """Apply the confirmation in a section of another zone's hub, which names an own section."""
        sent_s = self._echoed_sent_s(Scope.CROSS_ZONE, section.received_sections)
        self._view.apply_peer_confirmation(
            section.config_version, section.config_freshness_age_s, sent_s
        )

    def _echoed_sent_s(self, scope: Scope, echoes: Sequence[SectionEcho]) -> float | None:
        """Return when the newest own section was sent that others name; None if it is unknown."""
        own = [
            echo.sequence
            for echo in echoes
            if echo.hub == self._settings.ip and echo.incarnation == self._incarnation
        ]
        return self._sent[scope].time_of(own[0]) if own else None

    def schedule_urgent_send(self) -> None:
        """Send soon, since this instance has an urgent update."""
        self._schedule_urgent()

    def send_roster(self) -> None:
        """Send the roster of the zone, which another zone's hub may not know."""
        self._hub.schedule_roster()
        self._schedule_urgent()

    def answer_rival(self, hub: str) -> None:
        """Send the next sections to a hub that comes later in the order, so that it gives up."""
        self._rivals[hub] = None

    def relay(self, encoded: Sequence[bytes], *, urgent: bool) -> None:
        """Relay sections of other zones' hubs to the own zone."""
        self._relayed += encoded
        if urgent:
            self._zone_timer.schedule_at(
                self._zone_sent_s + self._scaled_interval_s(_ZONE_URGENT_INTERVAL_S)
            )

    def expire(self, pause_s: float) -> None:
        """Remove silent members; ``pause_s`` is the time for which this process was paused."""
        if pause_s:
            self._hub.extend_deadlines(pause_s)
        now_s = self._clock()
        has_lost_readers = self._hub.expire_readers(now_s)
        if self._hub.remove_silent(now_s) or has_lost_readers:
            self._schedule_urgent()

    def send_final(self) -> None:
        """Send the last counts before this instance gives up the hub role or leaves.

        The next hub continues from them: members do not report again what this one has counted.
        """
        self._zone_due_s = self._cross_zone_due_s = float("-inf")
        self._send_to_zone()
        self._send_cross_zone()
        self.stop()

    def _schedule_urgent(self) -> None:
        now_s = self._clock()
        zone_s = self._zone_sent_s + self._scaled_interval_s(_ZONE_URGENT_INTERVAL_S)
        self._zone_timer.schedule_at(max(zone_s, now_s))
        self._schedule_urgent_cross_zone(now_s)

    def _schedule_urgent_cross_zone(self, now_s: float) -> None:
        cross_zone_s = self._cross_zone_sent_s + self._scaled_interval_s(
            _CROSS_ZONE_URGENT_INTERVAL_S
        )
        self._cross_zone_timer.schedule_at(max(cross_zone_s, now_s))

    def _scaled_interval_s(self, interval_s: float) -> float:
        """Scale an interval for a zone of the reference size down to this zone's size."""
        zone_size = self._view.membership.zone_size()
        in_proportion_s = interval_s * zone_size / _ZONE_INSTANCES
        return min(max(in_proportion_s, _URGENT_INTERVAL_MIN_S), interval_s)

    def _state(self) -> HubState:
        view = self._view
        return HubState(
            view.config_version,
            view.upstreams.revision,
            config_freshness_age_s=view.reported_freshness_age_s(),
            received_sections=view.zones.echoes() if view.requires_fresh_config else (),
            draining={
                Scope.ZONE: view.recently_draining(),
                # The other hubs that learn it from this one need not report it to each other.
                Scope.CROSS_ZONE: view.recently_draining(cross_zone=True),
            },
            busy_services=view.overload.busy_services(self._clock()),
        )

    def _record_sent(self, scope: Scope, sections: Sequence[Section]) -> None:
        now_s = self._view.config_freshness.clock()
        for section in sections:
            self._sent[scope].record(section.sequence, now_s)

    def _send_to_zone(self) -> None:
        now_s = self._zone_sent_s = self._clock()
        if self._hub.record_heartbeat(self._view.next_heartbeat(), now_s, direct=True):
            self._schedule_urgent_cross_zone(now_s)
        if now_s >= self._zone_due_s - _TIMER_TOLERANCE_S:
            interval_s = _ZONE_INTERVAL_S * self._view.membership.zone_size() / _ZONE_INSTANCES
            interval_s = min(max(interval_s, _ZONE_INTERVAL_MIN_S), ZONE_SECTION_INTERVAL_MAX_S)
            self._zone_due_s = now_s + interval_s
            sections = list(self._hub.zone_sections(self._state(), now_s))
        else:
            sections = list(self._hub.urgent_sections(Scope.ZONE, self._state(), now_s))
        self._record_sent(Scope.ZONE, sections)
        relayed, self._relayed = self._relayed, []
        datagrams = list(encode_sections(sections, relayed, cross_zone=False))
        if datagrams:
            receivers = [*self._hub.receivers(), *self._rivals, *self._to_announce(now_s)]
            self._rivals.clear()
            for data, receiver in itertools.product(datagrams, dict.fromkeys(receivers)):
                self._send(data, receiver)
        for section in sections:
            self._apply_own(section)
        self._zone_timer.schedule_at(self._zone_due_s)

    def _to_announce(self, now_s: float) -> Sequence[str]:
        """Return the instances of the zone if this hub is to announce itself to them now."""
        is_due = now_s - self._announced_s >= _ANNOUNCE_INTERVAL_S - _TIMER_TOLERANCE_S
        if not is_due or now_s - self._started_s > _ANNOUNCE_S:
            return []
        self._announced_s = now_s
        zone = self._settings.availability_zone
        return [one.address for one in self._view.membership.zone_instances(zone)]

    def _send_cross_zone(self) -> None:
        now_s = self._cross_zone_sent_s = self._clock()
        self._hub.record_heartbeat(self._view.next_heartbeat(), now_s, direct=True)
        is_due = True
        if now_s >= self._cross_zone_due_s - _TIMER_TOLERANCE_S:
            self._cross_zone_due_s = now_s + self._cross_zone_interval_s()
            sections = list(self._hub.cross_zone_sections(self._state(), now_s))
        else:
            is_due = now_s - self._reported_s >= ZONE_REPORT_INTERVAL_S - _TIMER_TOLERANCE_S
            sections = list(
                self._hub.urgent_sections(
                    Scope.CROSS_ZONE,
                    self._state(),
                    now_s,
                    with_accounts=self._view.has_accounts and is_due,
                    always=is_due,
                )
            )
        if is_due:
            self._reported_s = now_s
        self._record_sent(Scope.CROSS_ZONE, sections)
        targets = [target for zone in self._other_zones() for target in self._hubs(zone, now_s)]
        for data in encode_sections(sections, cross_zone=True):
            for target in targets:
                self._cross_zone_bytes["sections"] += len(data)
                self._send(data, target)
        self._cross_zone_timer.schedule_at(self._cross_zone_due_s)
        self._cross_zone_timer.schedule_at(self._reported_s + ZONE_REPORT_INTERVAL_S)
        if self._hub.has_outcomes_to_resend() or any(one.draining for one in sections):
            self._cross_zone_timer.schedule_at(now_s + _CROSS_ZONE_RESEND_S)

    def _cross_zone_interval_s(self) -> float:
        size_bytes = _SECTION_BYTES + _ROW_BYTES * self._hub.loaded_upstreams()
        interval_s = len(self._other_zones()) * size_bytes / _CROSS_ZONE_BYTES_PER_S
        return min(max(interval_s, _CROSS_ZONE_INTERVAL_MIN_S), _CROSS_ZONE_INTERVAL_MAX_S)

    def _other_zones(self) -> set[str]:
        return self._view.membership.zones() - {self._settings.availability_zone}

    def _hubs(self, zone: str, now_s: float) -> Sequence[str]:
        hub = self._view.zones.hub(zone)
        heard_s = self._view.zones.last_received_s(zone)
        if hub is not None and now_s - heard_s <= ZONE_TIMEOUT_S:
            if not self._view.overload.services:
                return [hub]
            return self._view.zones.hubs(zone, min(now_s - _PARTS_HEARD_S, heard_s))
        order = self._view.membership.hub_order(zone)
        further = self._rng.sample(order[1:], min(_HUB_CANDIDATES, len(order)) - 1) if order else []
        return [*order[:1], *further]


def is_urgent(section: Section) -> bool:
    """Return whether a section of another zone should be relayed to the own zone at once."""
    return bool(section.outcomes or section.losses or section.dropped or section.limits)
