"""What the other instances of the own zone do, from sums that include this instance."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from egretrail.cluster._beat import Beat
from egretrail.cluster._section import LoadSlice, Section
from egretrail.dispatch import AccountReport, RepeatCounts

#: Beats that are remembered until they are acknowledged; at most 50 are sent a second.
_BEATS_MAX = 100
#: Counts are told to a new hub from those that were acknowledged within this time; older ones say
#: nothing about the moments that its sums are for.
_TOLD_VALID_S = 2.0


@dataclass(frozen=True, slots=True)
class _Sent:
    """A beat that was sent."""

    #: Its number.
    sequence: int
    #: When.
    sent_s: float
    #: The loads that it told.
    loads: Mapping[int, int]
    #: The counts that it told.
    repeats: Mapping[str, RepeatCounts]
    #: What it told of accounts.
    accounts: Mapping[int, AccountReport]


@dataclass(slots=True)
class ZoneShare:
    """Takes this instance's own part out of its zone's sums.

    The hub acknowledges the last beat that is in its sums, so that what this instance told with it
    is known exactly, whatever was lost or is on its way.
    """

    _sent: deque[_Sent] = field(default_factory=lambda: deque(maxlen=_BEATS_MAX))
    _sums: dict[int, int] = field(default_factory=dict)
    _acknowledged: _Sent | None = None
    #: The last beat that any hub acknowledged.
    _told: _Sent | None = None
    _totals: Mapping[str, RepeatCounts] = field(default_factory=dict)
    _others: dict[str, RepeatCounts] = field(default_factory=dict)

    def sent(self, beat: Beat, now_s: float) -> None:
        """Remember a beat."""
        self._sent.append(_Sent(beat.sequence, now_s, beat.loads, beat.repeats, beat.accounts))

    def told_repeats(self, now_s: float) -> Mapping[str, RepeatCounts]:
        """Return this instance's counts that the zone has, or all where that is long ago.

        Load: a hub dies, and the next one hears of each member first. What they counted meanwhile
        would be in nobody's sums.
        """
        if self._told is not None and now_s - self._told.sent_s <= _TOLD_VALID_S:
            return self._told.repeats
        return self._sent[-1].repeats if self._sent else {}

    def start_anew(self) -> None:
        """Forget a hub's sums: another one has none of them."""
        self._sums.clear()
        self._acknowledged = None
        self._totals = {}
        self._others = {}

    def take(self, section: Section, place: int | None) -> None:
        """Take the counts of a section; ``place`` is this instance's acknowledgement in it."""
        if not section.acknowledged:
            return
        before = self._acknowledged
        if place is not None and place < len(section.acknowledged):
            self._acknowledge(section.acknowledged[place])
        self._sum_repeats(section.repeats, before)

    @property
    def acknowledged_s(self) -> float | None:
        """When the newest beat was sent that is in the sums; None for none."""
        return None if self._acknowledged is None else self._acknowledged.sent_s

    @property
    def acknowledged_sequence(self) -> int | None:
        """The number of the newest beat that is in the sums; None for none."""
        return None if self._acknowledged is None else self._acknowledged.sequence

    @property
    def acknowledged_accounts(self) -> Mapping[int, AccountReport]:
        """What this instance counted of accounts that is in the sums."""
        return {} if self._acknowledged is None else self._acknowledged.accounts

    def loads(self, section: Section) -> Mapping[int, int]:
        """Take the loads of a section; return what the others have under way where it changed."""
        touched: set[int] = set()
        for key, count in zip(section.changed.keys, section.changed.counts, strict=True):
            self._set(key, count)
            touched.add(key)
        if section.loads is not None:
            touched.update(replace_part(self._sums, section.loads))
        return {key: self._of_others(key) for key in touched}

    def own_keys(self) -> Iterable[int]:
        """Return the upstreams of which this instance's part is taken out."""
        return self._acknowledged.loads.keys() if self._acknowledged is not None else ()

    def of_others(self, keys: Iterable[int]) -> Mapping[int, int]:
        """Return what the others have under way at some upstreams."""
        return {key: self._of_others(key) for key in keys}

    def repeats(self) -> Mapping[str, RepeatCounts]:
        """Return what the others counted since this hub was first heard."""
        return self._others

    def _acknowledge(self, low_byte: int) -> None:
        newest = self._acknowledged.sequence if self._acknowledged is not None else -1
        for sent in reversed(self._sent):
            if sent.sequence <= newest:
                return
            if sent.sequence & 0xFF == low_byte:
                self._acknowledged = self._told = sent
                return

    def _of_others(self, key: int) -> int:
        own = self._acknowledged.loads.get(key, 0) if self._acknowledged is not None else 0
        return max(self._sums.get(key, 0) - own, 0)

    def _set(self, key: int, count: int) -> None:
        if count:
            self._sums[key] = count
        else:
            self._sums.pop(key, None)

    def _sum_repeats(self, totals: Mapping[str, RepeatCounts], before: _Sent | None) -> None:
        """Add what the zone counted since the last section, less this instance's own counts."""
        if not totals and not self._totals:
            return
        now = self._acknowledged
        # Without two acknowledgements it is not known how much of the difference is this one's own.
        counted = before is not None and now is not None
        for service, total in totals.items():
            last = self._totals.get(service, RepeatCounts())
            own = _difference(service, before, now)
            others = self._others.get(service, RepeatCounts())
            if counted:
                others = RepeatCounts(
                    others.requests + max(total.requests - last.requests - own.requests, 0),
                    others.repeats + max(total.repeats - last.repeats - own.repeats, 0),
                )
            self._others[service] = others
        self._totals = totals


def replace_part(sums: dict[int, int], part: LoadSlice) -> set[int]:
    """Replace a part of loads by its rows; return the keys whose loads may have changed."""
    number, of = part.number, part.of
    held = {key for key in sums if key % of == number} if of > 1 else set(sums)
    rows = dict(zip(part.rows.keys, part.rows.counts, strict=True))
    for key in held - rows.keys():
        del sums[key]
    sums.update(rows)
    return held | rows.keys()


def _difference(service: str, before: _Sent | None, now: _Sent | None) -> RepeatCounts:
    """Return what this instance counted between two acknowledged beats."""
    if before is None or now is None or before is now:
        return RepeatCounts()
    old = before.repeats.get(service, RepeatCounts())
    new = now.repeats.get(service, RepeatCounts())
    return RepeatCounts(new.requests - old.requests, new.repeats - old.repeats)
