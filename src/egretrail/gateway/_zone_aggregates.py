"""The zones' aggregates as their hubs send them, and how fresh they are."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from egretrail.cluster import (
    HUB_TIMEOUT_S,
    ZONE_TIMEOUT_S,
    Heartbeat,
    HubTerm,
    HubTerms,
    RosterSlice,
    Scope,
    Section,
    SectionEcho,
    ZonePeers,
    replace_slice,
    roster_slice_index,
)
from egretrail.dispatch import AccountQuotas, FleetLoad, FleetRetryBudget, RetryCounts

#: After this time without a section, the loads of a zone are worthless: most of that work has
#: ended. The hub of the own zone sends ten sections a second, those of other zones send two.
_OWN_ZONE_SILENCE_S = 1.0
_ZONE_SILENCE_S = 2.2
#: All members of a new hub have sent it a heartbeat after this time.
_MEMBERS_REPORT_S = 0.4
#: The time after which a hub's next section is overdue: three times the sending interval, which
#: grows with the size of the zone.
_LATE_INSTANCE_S = 0.0065
_LATE_MIN_S, _LATE_MAX_S = 0.1, 0.35
#: The time after which another zone's account counters are overdue; hubs send them four times a
#: second.
_ZONE_LATE_S = 0.8
#: After this time without a section, a hub may restart with a lower number, since its clock may
#: have been set back.
_RESTART_SILENCE_S = 4.0
#: After this time without a section, a zone's retries are taken as unknown.
_RETRY_COUNTS_LATE_S = 1.0
#: How long the counts of a hub's lifetime are remembered after its last section. Two hubs of a zone
#: may alternate for seconds, and a hub may return after an interruption of the network. Account
#: counts have no bound on what one report adds, so theirs is shorter than the window of quotas.
_RETRY_COUNTS_RETENTION_S = 30.0
_ACCOUNT_COUNTS_RETENTION_S = 4.0
#: The number of sections that may arrive out of order: those of half a second.
_REORDER_WINDOW = 16
_REORDER_MASK = (1 << _REORDER_WINDOW) - 1

_Key = TypeVar("_Key")


@dataclass(slots=True)
class _ReceivedSections:
    """The state of receiving one hub's sections of one scope."""

    #: The hub's lifetime.
    incarnation: int
    #: The highest sequence number received.
    sequence: int
    #: The number of the next outcome report that is new.
    next_outcome: int
    #: When the last section arrived.
    received_s: float
    #: Bit mask of the received sequence numbers; the lowest bit stands for the highest number.
    received_mask: int = 1

    def record_number(self, sequence: int) -> bool:
        """Record a sequence number; return False for a duplicate or a number that is too old.

        Datagrams sent at nearly the same time may arrive in another order.
        """
        ahead = sequence - self.sequence
        if ahead > 0:
            self.received_mask = (
                self.received_mask << min(ahead, _REORDER_WINDOW) | 1
            ) & _REORDER_MASK
            self.sequence = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= _REORDER_WINDOW or self.received_mask & bit:
            return False
        self.received_mask |= bit
        return True


@dataclass(slots=True)
class _Zone:
    """The last known state of one zone."""

    #: The address of the hub.
    hub: str
    #: The hub's address and incarnation.
    lifetime: str
    #: When the first section of this lifetime arrived, and the last one.
    since_s: float
    received_s: float
    #: The number of instances in the aggregates.
    instances: int
    #: The number of those instances that are in contact with the store.
    store_readers: int
    #: Requests in flight by upstream key; for other zones only.
    loads: dict[int, int]


class ZoneAggregates:
    """Feeds the aggregates of all zones into the load, retry and quota tables.

    The memory that it uses grows with the number of zones and upstreams; it holds no counts of
    single instances.
    """

    def __init__(
        self, own_zone: str, load: FleetLoad, retry_budget: FleetRetryBudget, quotas: AccountQuotas
    ) -> None:
        self._own_zone = own_zone
        self._load = load
        self._retry_budget = retry_budget
        self._quotas = quotas
        self._zone_peers = ZonePeers()
        #: Retry counts of the hubs of the own zone.
        self.hub_terms = HubTerms()
        self._ack_index: int | None = None
        self._zones: dict[str, _Zone] = {}
        self._received: dict[tuple[str, Scope], _ReceivedSections] = {}
        #: When a section of each hub lifetime last arrived, for the counts that are remembered.
        self._retry_counts_heard_s: dict[str, float] = {}
        self._account_counts_heard_s: dict[str, float] = {}
        #: When a section of each zone last arrived, also of zones that are silent now.
        self._zones_heard_s: dict[str, float] = {}
        #: When a section of each hub last arrived, by its zone and address.
        self._hubs_heard_s: dict[tuple[str, str], float] = {}

    def record_sent(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Remember a heartbeat of this instance, which the own zone's aggregates will include."""
        self._zone_peers.record_heartbeat(heartbeat, now_s)

    def known_retries(self, now_s: float) -> Mapping[str, RetryCounts]:
        """Return the part of this instance's retry counts that the zone's hub has aggregated."""
        return self._zone_peers.known_retries(now_s)

    def register_section(self, section: Section, now_s: float) -> int | None:
        """Register a section; return how many of its outcome reports are known.

        None means that the whole section is a duplicate or out of date.
        """
        key = (section.hub, section.scope)
        received = self._received.get(key)
        end = section.first_outcome + len(section.outcomes)
        silent = received is not None and now_s - received.received_s > _RESTART_SILENCE_S
        if received is None or silent or received.incarnation < section.incarnation:
            self._received[key] = _ReceivedSections(
                section.incarnation, section.sequence, end, now_s
            )
            return 0
        if received.incarnation > section.incarnation or not received.record_number(
            section.sequence
        ):
            return None
        received.received_s = now_s
        skip = max(received.next_outcome - section.first_outcome, 0)
        received.next_outcome = max(received.next_outcome, end)
        return skip

    def apply_section(self, section: Section, ids_by_key: Mapping[int, str], now_s: float) -> None:
        """Apply the aggregates of a section; ``ids_by_key`` holds the listed upstreams."""
        zone = self._update_zone(section, now_s)
        if section.scope is Scope.ZONE:
            self._apply_own_zone(section, zone, ids_by_key, now_s)
            return
        if section.loads is not None:
            changed_keys = replace_slice(zone.loads, section.loads)
            counts = {
                ids_by_key[key]: zone.loads.get(key, 0) for key in changed_keys if key in ids_by_key
            }
            self._load.update_peer_counts(section.availability_zone, counts, now_s)
        self._quotas.apply_zone_reports(zone.lifetime, section.accounts, now_s)
        for term in [*section.earlier_terms, _hub_term(section)]:
            self._apply_retries(term, now_s)

    def record_hub_term(self, section: Section, now_s: float) -> None:
        """Record the retry counts of a hub of the own zone, whether it is followed or not."""
        if section.scope is Scope.ZONE and section.retries:
            self.hub_terms.record(_hub_term(section), now_s)

    def update_ack_index(self, roster: RosterSlice, own_address: str) -> None:
        """Look up this instance's index in its hub's acknowledgements."""
        if roster_slice_index(own_address, roster.total) != roster.index:
            return
        # An instance that is no longer listed loses its index to another instance.
        self._ack_index = None
        for instance, ack_index in zip(roster.instances, roster.ack_indexes, strict=True):
            if instance.address == own_address:
                self._ack_index = ack_index

    def acknowledged_s(self) -> float | None:
        """Return when the newest acknowledged heartbeat was sent; None if none is acknowledged."""
        return self._zone_peers.acknowledged_s

    def acknowledged_sequence(self) -> int | None:
        """Return the number of the newest acknowledged heartbeat; None if none is acknowledged."""
        return self._zone_peers.acknowledged_sequence

    def echoes(self) -> Sequence[SectionEcho]:
        """Return the ids of the last sections received from the hubs of other zones."""
        return [
            echo
            for name, zone in self._zones.items()
            if name != self._own_zone
            and (echo := self._echo(zone.hub, Scope.CROSS_ZONE)) is not None
        ]

    def own_echo(self) -> SectionEcho | None:
        """Return the id of the last section of the own zone's hub; None for a silent zone."""
        zone = self._zones.get(self._own_zone)
        return None if zone is None else self._echo(zone.hub, Scope.ZONE)

    def hub(self, availability_zone: str) -> str | None:
        """Return the hub that last sent a section for a zone; None for a silent zone."""
        zone = self._zones.get(availability_zone)
        return None if zone is None else zone.hub

    def hubs(self, availability_zone: str, since_s: float) -> Sequence[str]:
        """Return the hubs that sent a section for a zone since a moment; several if it is split."""
        return [
            hub
            for (zone, hub), heard_s in self._hubs_heard_s.items()
            if zone == availability_zone and heard_s >= since_s
        ]

    def last_received_s(self, availability_zone: str) -> float:
        """Return when the last section of a zone arrived; minus infinity for a silent zone."""
        zone = self._zones.get(availability_zone)
        return float("-inf") if zone is None else zone.received_s

    def expire(self, now_s: float) -> Sequence[str]:
        """Remove and return the zones that have been silent for too long."""
        silent = [
            name for name, zone in self._zones.items() if not self._is_fresh(name, zone, now_s)
        ]
        for name in silent:
            del self._zones[name]
            self._load.remove_peer(name)
            if name == self._own_zone:
                self._reset_own_zone()
        _pop_older(self._hubs_heard_s, now_s - _ZONE_SILENCE_S)
        for lifetime in _pop_older(self._retry_counts_heard_s, now_s - _RETRY_COUNTS_RETENTION_S):
            self._retry_budget.remove_peer(lifetime)
        for lifetime in _pop_older(
            self._account_counts_heard_s, now_s - _ACCOUNT_COUNTS_RETENTION_S
        ):
            self._quotas.remove_hub(lifetime)
        return silent

    def instances(self, now_s: float) -> int:
        """Return the number of instances whose counts arrive here, including this one."""
        reported = 0
        for name, zone in self._zones.items():
            # Until a heartbeat is acknowledged, the own zone's aggregates can't be split into own
            # and peers' counts.
            counts = name != self._own_zone or self._zone_peers.acknowledged_s is not None
            if counts and self._is_fresh(name, zone, now_s):
                reported += zone.instances
        return max(reported, 1)

    def is_late(self, now_s: float) -> bool:
        """Return whether the own hub's section is overdue, so that a takeover may follow."""
        zone = self._zones.get(self._own_zone)
        if zone is None:
            return False
        late_s = min(max(zone.instances * _LATE_INSTANCE_S, _LATE_MIN_S), _LATE_MAX_S)
        return late_s < now_s - zone.received_s <= _OWN_ZONE_SILENCE_S

    def receives_all_retry_counts(self, now_s: float, window_s: float) -> bool:
        """Return whether all zones still report that have reported within a window.

        The own zone's counts can't be split into own and peers' counts until its hub acknowledges a
        heartbeat.
        """
        if self._own_zone in self._zones and self._zone_peers.acknowledged_s is None:
            return False
        return all(
            now_s - heard_s <= _RETRY_COUNTS_LATE_S or now_s - heard_s > window_s
            for heard_s in self._zones_heard_s.values()
        )

    def receives_all_zones(self, now_s: float) -> bool:
        """Return whether the sections of all known zones arrive on time."""
        if self._own_zone not in self._zones or self.is_late(now_s):
            return False
        return all(now_s - zone.received_s <= _ZONE_LATE_S for zone in self._zones.values())

    def store_readers(self, now_s: float) -> int:
        """Return the number of instances in contact with the store, including this one.

        A zone's last report shows its readers for a shorter time than its loads: while nobody
        reads the store, no instance learns of a change.
        """
        return sum(
            zone.store_readers
            for zone in self._zones.values()
            if now_s - zone.received_s <= ZONE_TIMEOUT_S
        )

    def own_zone_size(self, now_s: float) -> int | None:
        """Return the number of instances that report to the own zone's hub.

        None means that there is no hub, or that its members have just begun to report to it.
        """
        zone = self._zones.get(self._own_zone)
        if zone is None or now_s - zone.received_s > HUB_TIMEOUT_S:
            return None
        return zone.instances if now_s - zone.since_s > _MEMBERS_REPORT_S else None

    def _echo(self, hub: str, scope: Scope) -> SectionEcho | None:
        received = self._received.get((hub, scope))
        return (
            None if received is None else SectionEcho(hub, received.incarnation, received.sequence)
        )

    def _is_fresh(self, name: str, zone: _Zone, now_s: float) -> bool:
        limit_s = _OWN_ZONE_SILENCE_S if name == self._own_zone else _ZONE_SILENCE_S
        return now_s - zone.received_s <= limit_s

    def _apply_retries(self, term: HubTerm, now_s: float) -> None:
        lifetime = _lifetime(term.hub, term.incarnation)
        self._retry_counts_heard_s[lifetime] = now_s
        for service, total in term.retries.items():
            recent = term.recent_retries.get(service)
            self._retry_budget.apply_peer_counts(lifetime, service, total, now_s, recent)

    def _update_zone(self, section: Section, now_s: float) -> _Zone:
        name = section.availability_zone
        lifetime = _lifetime(section.hub, section.incarnation)
        zone = self._zones.get(name)
        if zone is None or zone.lifetime != lifetime:
            if name == self._own_zone:
                self._reset_own_zone()
            loads = zone.loads if zone is not None else {}
            zone = self._zones[name] = _Zone(section.hub, lifetime, now_s, now_s, 0, 0, loads)
        self._account_counts_heard_s[lifetime] = now_s
        self._zones_heard_s[name] = now_s
        self._hubs_heard_s[name, section.hub] = now_s
        zone.received_s = now_s
        zone.instances = section.instances
        zone.store_readers = section.store_readers
        return zone

    def _reset_own_zone(self) -> None:
        """Discard the state of the previous hub: aggregates and acknowledgement indexes differ."""
        self._zone_peers.reset()
        self._load.remove_peer(self._own_zone)
        self._ack_index = None

    def _apply_own_zone(
        self, section: Section, zone: _Zone, ids_by_key: Mapping[int, str], now_s: float
    ) -> None:
        own_before = set(self._zone_peers.own_upstream_keys())
        new_retries = self._zone_peers.apply_acknowledgement(section, self._ack_index)
        for service, new in new_retries.items():
            self._retry_budget.add_peer_counts(service, new, now_s)
        if section.accounts:
            self._quotas.apply_acknowledgement(self._zone_peers.acknowledged_accounts)
            self._quotas.apply_zone_reports(zone.lifetime, section.accounts, now_s)
        changed_keys = own_before | set(self._zone_peers.own_upstream_keys())
        counts = {
            **self._zone_peers.peer_loads(changed_keys),
            **self._zone_peers.apply_loads(section),
        }
        reported = {ids_by_key[key]: count for key, count in counts.items() if key in ids_by_key}
        self._load.update_peer_counts(self._own_zone, reported, now_s)


def _lifetime(hub: str, incarnation: int) -> str:
    """Return the name of an instance in the time for which it is the hub."""
    return f"{hub}~{incarnation}"


def _hub_term(section: Section) -> HubTerm:
    return HubTerm(section.hub, section.incarnation, section.retries, section.recent_retries)


def _pop_older(times_s: dict[_Key, float], before_s: float) -> list[_Key]:
    """Remove and return the keys whose time is before a moment."""
    old = [key for key, at_s in times_s.items() if at_s < before_s]
    for key in old:
        del times_s[key]
    return old
