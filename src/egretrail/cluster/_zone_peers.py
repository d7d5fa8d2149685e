"""The aggregates of the zone's other instances, derived from those that include this instance."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from egretrail.cluster._heartbeat import Heartbeat
from egretrail.cluster._section import LoadSlice, Section
from egretrail.dispatch import AccountReport, NewRetryCounts, RetryCounts, new_retry_counts

#: Maximum heartbeats that are remembered until they are acknowledged; at most 50 are sent a second.
_HEARTBEATS_MAX = 100
#: A new hub receives the counts since the last acknowledged heartbeat if that was sent within this
#: time. Older counts are not relevant for the period of the hub's aggregates.
_COUNTS_VALID_S = 2.0
#: Maximum hub lifetimes whose totals are remembered, for a hub that is followed again.
_HUBS_MAX = 8


@dataclass(frozen=True, slots=True)
class _SentHeartbeat:
    """A heartbeat that was sent."""

    #: The sequence number of the heartbeat.
    sequence: int
    #: When the heartbeat was sent.
    sent_s: float
    #: The loads in the heartbeat.
    loads: Mapping[int, int]
    #: The counts of requests and retries in the heartbeat.
    retries: Mapping[str, RetryCounts]
    #: The request counts of accounts in the heartbeat.
    accounts: Mapping[int, AccountReport]


@dataclass(slots=True)
class ZonePeers:
    """Subtracts this instance's own contribution from the aggregates of its zone.

    The hub acknowledges the last heartbeat that its aggregates include. The own contribution is
    therefore known exactly, even if datagrams were lost or are still in transit.
    """

    _sent: deque[_SentHeartbeat] = field(default_factory=lambda: deque(maxlen=_HEARTBEATS_MAX))
    _loads: dict[int, int] = field(default_factory=dict)
    _acknowledged: _SentHeartbeat | None = None
    #: The last heartbeat that any hub acknowledged.
    _last_acknowledged: _SentHeartbeat | None = None
    #: The last totals of each hub lifetime by service.
    _totals: dict[tuple[str, int], Mapping[str, RetryCounts]] = field(default_factory=dict)
    #: The part of this instance's counts that was subtracted from totals.
    _subtracted: Mapping[str, RetryCounts] = field(default_factory=dict)
    _peer_counts: dict[str, RetryCounts] = field(default_factory=dict)

    def record_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Remember a sent heartbeat until it is acknowledged."""
        self._sent.append(
            _SentHeartbeat(
                heartbeat.sequence, now_s, heartbeat.loads, heartbeat.retries, heartbeat.accounts
            )
        )

    def known_retries(self, now_s: float) -> Mapping[str, RetryCounts]:
        """Return the part of this instance's counts that the zone's aggregates already include.

        If the last acknowledgement is too old, all counts are returned. When a hub fails, its
        successor receives a first heartbeat from each member. Requests and retries since the last
        acknowledgement of the failed hub would otherwise be missing from all aggregates.
        """
        if (
            self._last_acknowledged is not None
            and now_s - self._last_acknowledged.sent_s <= _COUNTS_VALID_S
        ):
            return self._last_acknowledged.retries
        return self._sent[-1].retries if self._sent else {}

    def reset(self) -> None:
        """Discard the aggregates of a hub: they are not comparable to those of another hub."""
        self._loads.clear()
        self._acknowledged = None

    def apply_acknowledgement(
        self, section: Section, ack_index: int | None
    ) -> Mapping[str, NewRetryCounts]:
        """Apply the acknowledgement of a section; return the peers' new retry counts by service.

        ``ack_index`` is the index of this instance in the acknowledgements; None when unknown.
        """
        if not section.acknowledged:
            return {}
        if ack_index is not None and ack_index < len(section.acknowledged):
            self._acknowledge(section.acknowledged[ack_index])
        return self._add_retries(section)

    @property
    def acknowledged_s(self) -> float | None:
        """When the newest heartbeat in the aggregates was sent; None for none."""
        return None if self._acknowledged is None else self._acknowledged.sent_s

    @property
    def acknowledged_sequence(self) -> int | None:
        """The sequence number of the newest heartbeat in the aggregates; None for none."""
        return None if self._acknowledged is None else self._acknowledged.sequence

    @property
    def acknowledged_accounts(self) -> Mapping[int, AccountReport]:
        """This instance's request counts of accounts that the aggregates include."""
        return {} if self._acknowledged is None else self._acknowledged.accounts

    def apply_loads(self, section: Section) -> Mapping[int, int]:
        """Apply the loads of a section; return the peers' loads at the changed upstreams.

        A load is the number of requests in flight at an upstream.
        """
        changed_keys: set[int] = set()
        for key, count in zip(section.changed.keys, section.changed.counts, strict=True):
            self._set_load(key, count)
            changed_keys.add(key)
        if section.loads is not None:
            changed_keys.update(replace_slice(self._loads, section.loads))
        return {key: self._peer_load(key) for key in changed_keys}

    def own_upstream_keys(self) -> Iterable[int]:
        """Return the keys of the upstreams for which an own load is subtracted."""
        return self._acknowledged.loads.keys() if self._acknowledged is not None else ()

    def peer_loads(self, keys: Iterable[int]) -> Mapping[int, int]:
        """Return the peers' requests in flight at some upstreams."""
        return {key: self._peer_load(key) for key in keys}

    def peer_retries(self) -> Mapping[str, RetryCounts]:
        """Return the requests and retries of the peers that were counted here."""
        return self._peer_counts

    def _acknowledge(self, low_byte: int) -> None:
        newest = self._acknowledged.sequence if self._acknowledged is not None else -1
        for sent in reversed(self._sent):
            if sent.sequence <= newest:
                return
            if sent.sequence & 0xFF == low_byte:
                self._acknowledged = self._last_acknowledged = sent
                return

    def _peer_load(self, key: int) -> int:
        own = self._acknowledged.loads.get(key, 0) if self._acknowledged is not None else 0
        return max(self._loads.get(key, 0) - own, 0)

    def _set_load(self, key: int, count: int) -> None:
        if count:
            self._loads[key] = count
        else:
            self._loads.pop(key, None)

    def _add_retries(self, section: Section) -> Mapping[str, NewRetryCounts]:
        """Add the zone's counts since the last section, less this instance's own counts.

        Until the hub acknowledges a heartbeat, the part of this instance is unknown. The counts
        then wait for the next section, since the totals include them.
        """
        if self._acknowledged is None or not section.retries:
            return {}
        lifetime = (section.hub, section.incarnation)
        totals = self._totals.pop(lifetime, {})
        own, subtracted = self._acknowledged.retries, self._subtracted
        new: dict[str, NewRetryCounts] = {}
        for service, total in section.retries.items():
            before = totals.get(service)
            added = new_retry_counts(total, before, section.recent_retries.get(service))
            own_part = own.get(service, RetryCounts()).since(subtracted.get(service, RetryCounts()))
            peers_part = NewRetryCounts(added.counts.since(own_part), added.is_past)
            new[service] = peers_part
            known = self._peer_counts.get(service, RetryCounts())
            self._peer_counts[service] = known.plus(peers_part.counts)
        self._subtracted = own
        # Sections may arrive out of order.
        self._totals[lifetime] = {
            service: total.higher(totals.get(service, total))
            for service, total in section.retries.items()
        }
        while len(self._totals) > _HUBS_MAX:
            del self._totals[next(iter(self._totals))]
        return new


def replace_slice(loads: dict[int, int], load_slice: LoadSlice) -> set[int]:
    """Replace a slice of loads by its rows; return the keys whose loads may have changed."""
    index, total = load_slice.index, load_slice.total
    replaced = {key for key in loads if key % total == index} if total > 1 else set(loads)
    rows = dict(zip(load_slice.rows.keys, load_slice.rows.counts, strict=True))
    for key in replaced - rows.keys():
        del loads[key]
    loads.update(rows)
    return replaced | rows.keys()
