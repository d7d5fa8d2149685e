"""The aggregates of the zone's other instances, derived from those that include this instance."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from egretrail.cluster._heartbeat import Heartbeat
from egretrail.cluster._section import LoadSlice, Section
from egretrail.dispatch import AccountReport, RetryCounts

#: Maximum heartbeats that are remembered until they are acknowledged; at most 50 are sent a second.
_HEARTBEATS_MAX = 100
#: A new hub receives the counts since the last acknowledged heartbeat if that was sent within this
#: time. Older counts are not relevant for the period of the hub's aggregates.
_COUNTS_VALID_S = 2.0


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
    _totals: Mapping[str, RetryCounts] = field(default_factory=dict)
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
        self._totals = {}
        self._peer_counts = {}

    def apply_acknowledgement(self, section: Section, ack_index: int | None) -> None:
        """Apply the acknowledgement and the retry counts of a section.

        ``ack_index`` is the index of this instance in the acknowledgements; None when unknown.
        """
        if not section.acknowledged:
            return
        previous = self._acknowledged
        if ack_index is not None and ack_index < len(section.acknowledged):
            self._acknowledge(section.acknowledged[ack_index])
        self._add_retries(section.retries, previous)

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
        """Return the requests and retries of the peers since the first section of this hub."""
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

    def _add_retries(
        self, totals: Mapping[str, RetryCounts], previous: _SentHeartbeat | None
    ) -> None:
        """Add the zone's counts since the previous section, less this instance's own counts."""
        if not totals and not self._totals:
            return
        now = self._acknowledged
        # Without two acknowledgements, this instance's own share of the difference is unknown.
        is_attributable = previous is not None and now is not None
        for service, total in totals.items():
            last = self._totals.get(service, RetryCounts())
            own = _own_difference(service, previous, now)
            peer_counts = self._peer_counts.get(service, RetryCounts())
            if is_attributable:
                peer_counts = RetryCounts(
                    peer_counts.requests + max(total.requests - last.requests - own.requests, 0),
                    peer_counts.retries + max(total.retries - last.retries - own.retries, 0),
                )
            self._peer_counts[service] = peer_counts
        self._totals = totals


def replace_slice(loads: dict[int, int], load_slice: LoadSlice) -> set[int]:
    """Replace a slice of loads by its rows; return the keys whose loads may have changed."""
    index, total = load_slice.index, load_slice.total
    replaced = {key for key in loads if key % total == index} if total > 1 else set(loads)
    rows = dict(zip(load_slice.rows.keys, load_slice.rows.counts, strict=True))
    for key in replaced - rows.keys():
        del loads[key]
    loads.update(rows)
    return replaced | rows.keys()


def _own_difference(
    service: str, previous: _SentHeartbeat | None, now: _SentHeartbeat | None
) -> RetryCounts:
    """Return this instance's counts between two acknowledged heartbeats."""
    if previous is None or now is None or previous is now:
        return RetryCounts()
    old = previous.retries.get(service, RetryCounts())
    new = now.retries.get(service, RetryCounts())
    return RetryCounts(new.requests - old.requests, new.retries - old.retries)
