"""The hub's side of the peers' datagrams: when a zone and the other zones are told."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence

from egretrail.cluster import (
    Beat,
    Hub,
    HubState,
    Scope,
    Section,
    SectionEcho,
    SendTimes,
    encode_sections,
)
from egretrail.gateway._interfaces import StartSettings
from egretrail.gateway._timer import Timer
from egretrail.gateway._view import FleetView

#: A zone of so many instances is told ten times a second, since work lasts longer than that. A
#: smaller one is told more often in proportion, and a larger one less often, so that what an
#: instance receives stays the same: more of the upstreams change in each interval. The longest is
#: well below the silence after which a hub is taken as dead.
_ZONE_INTERVAL_S = 0.1
_ZONE_INSTANCES = 48
_ZONE_INTERVAL_MIN_S, _ZONE_INTERVAL_MAX_S = 0.03, 0.15
#: The same with what bears on an upstream's standing, since each request that meets a failing
#: upstream meanwhile fails: 25 times a second however much fails in a zone of that size.
_ZONE_URGENT_INTERVAL_S = 0.04
_ACROSS_URGENT_INTERVAL_S = 0.05
_URGENT_INTERVAL_MIN_S = 0.01
#: What an instance hears of the sums of all other zones: a larger list is told less often. Eleven
#: instances a zone hear loads a quarter of a second old, and each row of 5 bytes beyond adds to it;
#: up to an age at which most of the work that was told has ended.
_ACROSS_BYTES_PER_S = 1_500
_SECTION_BYTES, _ROW_BYTES = 36, 5
_ACROSS_INTERVAL_MIN_S, _ACROSS_INTERVAL_MAX_S = 0.2, 1.5
#: What was told once is told again after this time, in case that the datagram was lost.
_ACROSS_AGAIN_S = 0.1
#: While there are accounts, hubs tell each other what they counted of them, and how old the proof
#: of their configuration is, at least this often.
_ACCOUNTS_INTERVAL_S = 0.25
#: Timers come a little early.
_CLOCK_STEP_S = 0.005
#: A hub that was not heard for this long is looked for among its zone's instances.
_HUB_KNOWN_S = 1.5
#: Instances of a zone that are told where its hub is not known; each passes it on.
_HUB_CANDIDATES = 2


class HubLinks:
    """What this instance does while it is its zone's hub."""

    def __init__(
        self,
        settings: StartSettings,
        view: FleetView,
        incarnation: int,
        send: Callable[[bytes, str], None],
        take: Callable[[Section], bool],
        bytes_across: Counter[str],
    ) -> None:
        loop = asyncio.get_running_loop()
        self._settings = settings
        self._view = view
        self._clock = loop.time
        self._incarnation = incarnation
        #: When sections were sent, by the clock of the configuration's proof.
        self._sent = {scope: SendTimes() for scope in Scope}
        self._accounts_told_s = float("-inf")
        self._send = send
        self._take = take
        self._bytes_across = bytes_across
        self._hub = Hub(settings.ip, settings.availability_zone, incarnation, loop.time())
        self._zone_timer = Timer(loop, self._tell_zone)
        self._across_timer = Timer(loop, self._tell_across)
        self._zone_told_s = self._across_told_s = float("-inf")
        #: When the sums are due next.
        self._sums_due_s = self._across_sums_due_s = float("-inf")
        #: Sections of other zones that wait for the next datagram to the own zone.
        self._passed_on: list[bytes] = []
        self._zone_timer.at(loop.time())
        self._across_timer.at(loop.time())

    def stop(self) -> None:
        """Stop to tell: another instance is the hub."""
        self._zone_timer.stop()
        self._across_timer.stop()

    def hear(self, beat: Beat, *, direct: bool) -> None:
        """Take a beat of the own zone."""
        if self._hub.hear(beat, self._clock(), direct=direct):
            self._hurry()
        if beat.heard is not None:
            asked_s = self._asked_s(Scope.ZONE, [beat.heard])
            self._view.take_proof(beat.config_version, beat.config_proof_age_s, asked_s)

    def hear_proof(self, section: Section) -> None:
        """Take the proof of another zone's hub, which names the last section it heard from here."""
        asked_s = self._asked_s(Scope.ACROSS, section.heard)
        self._view.take_proof(section.config_version, section.config_proof_age_s, asked_s)

    def _asked_s(self, scope: Scope, heard: Sequence[SectionEcho]) -> float | None:
        """Return when the section was sent that others say they heard of this hub last."""
        own = [
            echo.sequence
            for echo in heard
            if echo.hub == self._settings.ip and echo.incarnation == self._incarnation
        ]
        return self._sent[scope].time_of(own[0]) if own else None

    def has_news(self) -> None:
        """Tell soon what this instance itself found."""
        self._hurry()

    def tell_roster(self) -> None:
        """Tell who lives in the zone: the hub of another one may not know."""
        self._hub.tell_roster()
        self._hurry()

    def pass_on(self, encoded: Sequence[bytes], *, urgent: bool) -> None:
        """Tell the own zone what the hub of another one told."""
        self._passed_on += encoded
        if urgent:
            self._zone_timer.at(self._zone_told_s + self._crowd_s(_ZONE_URGENT_INTERVAL_S))

    def expire(self, pause_s: float) -> None:
        """Drop silent members; ``pause_s`` is the time in which this instance did not run."""
        if pause_s:
            self._hub.postpone(pause_s)
        if self._hub.expire(self._clock()):
            self._hurry()

    def tell_last(self) -> None:
        """Tell at once that this instance leaves, so that the next one takes over at once."""
        self._tell_zone()
        self._tell_across()
        self.stop()

    def _hurry(self) -> None:
        now_s = self._clock()
        zone_s = self._zone_told_s + self._crowd_s(_ZONE_URGENT_INTERVAL_S)
        self._zone_timer.at(max(zone_s, now_s))
        self._hurry_across(now_s)

    def _hurry_across(self, now_s: float) -> None:
        across_s = self._across_told_s + self._crowd_s(_ACROSS_URGENT_INTERVAL_S)
        self._across_timer.at(max(across_s, now_s))

    def _crowd_s(self, interval_s: float) -> float:
        """Return an interval for a zone of the usual size in proportion to this one, or less."""
        zone_size = self._view.membership.zone_size()
        in_proportion_s = interval_s * zone_size / _ZONE_INSTANCES
        return min(max(in_proportion_s, _URGENT_INTERVAL_MIN_S), interval_s)

    def _state(self) -> HubState:
        view = self._view
        return HubState(
            view.config_version,
            view.upstreams.revision,
            config_proof_age_s=view.told_proof_age_s(),
            heard=view.zones.echoes() if view.needs_proof else (),
        )

    def _note_sent(self, scope: Scope, sections: Sequence[Section]) -> None:
        now_s = self._view.proof.clock()
        for section in sections:
            self._sent[scope].sent(section.sequence, now_s)

    def _tell_zone(self) -> None:
        now_s = self._zone_told_s = self._clock()
        if self._hub.hear(self._view.own_beat(), now_s, direct=True):
            self._hurry_across(now_s)
        if now_s >= self._sums_due_s - _CLOCK_STEP_S:
            interval_s = _ZONE_INTERVAL_S * self._view.membership.zone_size() / _ZONE_INSTANCES
            interval_s = min(max(interval_s, _ZONE_INTERVAL_MIN_S), _ZONE_INTERVAL_MAX_S)
            self._sums_due_s = now_s + interval_s
            sections = list(self._hub.zone_sections(self._state(), now_s))
        else:
            sections = list(self._hub.urgent_sections(Scope.ZONE, self._state(), now_s))
        self._note_sent(Scope.ZONE, sections)
        passed_on, self._passed_on = self._passed_on, []
        receivers = self._hub.receivers()
        for data in encode_sections(sections, passed_on, across=False):
            for receiver in receivers:
                self._send(data, receiver)
        for section in sections:
            self._take(section)
        self._zone_timer.at(self._sums_due_s)

    def _tell_across(self) -> None:
        now_s = self._across_told_s = self._clock()
        self._hub.hear(self._view.own_beat(), now_s, direct=True)
        is_due = True
        if now_s >= self._across_sums_due_s - _CLOCK_STEP_S:
            self._across_sums_due_s = now_s + self._across_interval_s()
            sections = list(self._hub.across_sections(self._state(), now_s))
        else:
            is_due = now_s - self._accounts_told_s >= _ACCOUNTS_INTERVAL_S - _CLOCK_STEP_S
            sections = list(
                self._hub.urgent_sections(
                    Scope.ACROSS,
                    self._state(),
                    now_s,
                    with_accounts=self._view.has_accounts and is_due,
                )
            )
        if is_due:
            self._accounts_told_s = now_s
        self._note_sent(Scope.ACROSS, sections)
        targets = [target for zone in self._other_zones() for target in self._hubs(zone, now_s)]
        for data in encode_sections(sections, across=True):
            for target in targets:
                self._bytes_across["sections"] += len(data)
                self._send(data, target)
        self._across_timer.at(self._across_sums_due_s)
        if self._view.has_accounts:
            self._across_timer.at(self._accounts_told_s + _ACCOUNTS_INTERVAL_S)
        if self._hub.repeats_findings():
            self._across_timer.at(now_s + _ACROSS_AGAIN_S)

    def _across_interval_s(self) -> float:
        size_bytes = _SECTION_BYTES + _ROW_BYTES * self._hub.loaded_upstreams()
        interval_s = len(self._other_zones()) * size_bytes / _ACROSS_BYTES_PER_S
        return min(max(interval_s, _ACROSS_INTERVAL_MIN_S), _ACROSS_INTERVAL_MAX_S)

    def _other_zones(self) -> set[str]:
        return self._view.membership.zones() - {self._settings.availability_zone}

    def _hubs(self, zone: str, now_s: float) -> Sequence[str]:
        hub = self._view.zones.hub(zone)
        if hub is not None and now_s - self._view.zones.heard_s(zone) <= _HUB_KNOWN_S:
            return [hub]
        return self._view.membership.order(zone)[:_HUB_CANDIDATES]


def is_urgent(section: Section) -> bool:
    """Return whether a section of another zone should be told in the own one at once."""
    return bool(section.findings or section.losses or section.dropped or section.limits)
