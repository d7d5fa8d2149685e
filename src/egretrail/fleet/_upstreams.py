"""Directory of the upstreams of each served service, with the signs that some are draining."""

import enum
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from egretrail.identity import AvailabilityZone, ServiceName, UpstreamName
from egretrail.wire import Message, message

#: Lifetime of a drain sign, even if the row of the upstream never disappeared: an upstream that
#: stays is no longer draining, and one that still drains reports it again. Ten times the maximum
#: lag of the list, so that no stale row outlives the sign that contradicts it.
DRAIN_TTL_S = 600.0
#: Minimum absence of a row before its return counts as a new registration. Readers of the list
#: have different lags, so an older reading may contain a removed row again.
REGISTRATION_GAP_S = 60.0
#: How long departed upstreams remain visible to operators.
_DEPARTED_SHOWN_S = 600.0


class UpstreamListing(enum.Enum):
    """Whether an upstream may receive new requests, according to lists and drain signs."""

    #: It is listed, and there is no sign that it is leaving.
    LIVE = "live"
    #: The platform's list marks it as leaving.
    LEAVING = "leaving"
    #: It announced its draining itself, to this instance or to a peer.
    DRAINED = "drained"
    #: It was listed before and no longer is.
    DEPARTED = "departed"


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """One upstream as it appears in the platform's list."""

    #: The upstream's name, unique in the list.
    name: UpstreamName
    #: The availability zone it runs in.
    availability_zone: AvailabilityZone
    #: Address at which it accepts requests.
    host: str
    port: int
    #: Whether the list marks it as leaving.
    leaving: bool = False

    @property
    def registration(self) -> tuple[UpstreamName, str, int]:
        """Return the key of drain signs; an upstream at another address is another process."""
        return (self.name, self.host, self.port)


@dataclass(frozen=True, slots=True)
class DrainSign:
    """A report that an upstream is draining and must get no new requests."""

    #: The draining upstream and its address.
    upstream: UpstreamName
    host: str
    port: int
    #: Seconds since it was observed; an age rather than a time, since instances share no clock.
    age_s: float
    #: Whether it comes from the list rather than from the upstream itself.
    listed: bool = False


@message("fleet.upstreams-ask")
@dataclass(frozen=True, slots=True)
class FetchListedUpstreams(Message):
    """Requests the rows of one service from a reader of the list.

    Answered by ``ListedUpstreams``.
    """

    #: The service asked about.
    service: ServiceName


@message("fleet.listed-upstreams")
@dataclass(frozen=True, slots=True)
class ListedUpstreams(Message):
    """All rows of one service, from an instance that read them from the list."""

    #: The service the rows belong to.
    service: ServiceName
    #: The rows.
    rows: Sequence[UpstreamRow]
    #: Seconds since the list was read; None if the responder has never read it.
    age_s: float | None


@message("fleet.drains-ask")
@dataclass(frozen=True, slots=True)
class FetchDrainSigns(Message):
    """Requests the drain signs of a service from a member of its group.

    Answered by ``DrainSigns``.
    """

    #: The service asked about.
    service: ServiceName


@message("fleet.drain-signs")
@dataclass(frozen=True, slots=True)
class DrainSigns(Message):
    """Drain signs of one service, sent as soon as a new one is observed; acknowledged."""

    #: The service the upstreams belong to.
    service: ServiceName
    #: The signs.
    signs: Sequence[DrainSign]


@dataclass(slots=True)
class _Sign:
    #: When it was observed, on this instance's clock.
    seen_s: float
    #: Whether it comes from the list.
    listed: bool


class _Service:
    """Rows and drain signs of one service."""

    def __init__(self) -> None:
        self.rows: dict[UpstreamName, UpstreamRow] = {}
        self.read_s = float("-inf")
        self.departed: dict[UpstreamName, float] = {}
        self.missing_since_s: dict[tuple[UpstreamName, str, int], float] = {}
        self.signs: dict[tuple[UpstreamName, str, int], _Sign] = {}

    def apply_rows(self, rows: Iterable[UpstreamRow], read_s: float, now_s: float) -> bool:
        """Apply a reading unless a later one is known; return whether the rows changed."""
        if read_s < self.read_s:
            return False
        self.read_s = read_s
        current = {row.name: row for row in rows}
        changed = current != self.rows
        for row in self.rows.values():
            if current.get(row.name) is None:
                self.departed[row.name] = now_s
            if row.name not in current or current[row.name].registration != row.registration:
                self.missing_since_s.setdefault(row.registration, now_s)
        for row in current.values():
            self._record_listed(row, now_s)
            if row.leaving:
                self.add_sign(row.registration, now_s, listed=True)
        self.rows = current
        return changed

    def add_sign(
        self, registration: tuple[UpstreamName, str, int], seen_s: float, listed: bool
    ) -> bool:
        """Record a sign; return whether it is new. The latest observation counts."""
        known = self.signs.get(registration)
        if known is not None:
            known.seen_s = max(known.seen_s, seen_s)
            known.listed = known.listed and listed
            return False
        self.signs[registration] = _Sign(seen_s, listed)
        return True

    def expire(self, now_s: float) -> bool:
        """Drop expired entries; return whether an upstream may receive requests again."""
        overdue = [key for key, sign in self.signs.items() if now_s - sign.seen_s > DRAIN_TTL_S]
        for key in overdue:
            del self.signs[key]
        for name, since_s in list(self.departed.items()):
            if now_s - since_s > _DEPARTED_SHOWN_S:
                del self.departed[name]
        for registration, since_s in list(self.missing_since_s.items()):
            if now_s - since_s > DRAIN_TTL_S:
                del self.missing_since_s[registration]
        return bool(overdue)

    def _record_listed(self, row: UpstreamRow, now_s: float) -> None:
        self.departed.pop(row.name, None)
        since_s = self.missing_since_s.pop(row.registration, None)
        if since_s is not None and now_s - since_s >= REGISTRATION_GAP_S:
            self.signs.pop(row.registration, None)


class UpstreamDirectory:
    """The upstreams of the services that this instance serves.

    Rows are kept only for services for which ``serves`` returns true: at 110,000 upstreams no
    instance can hold them all. A leaving upstream gets no new requests from the first sign on. A
    stale row of the same registration does not revoke the sign.
    """

    def __init__(self, serves: Callable[[ServiceName], bool]) -> None:
        self._serves = serves
        self._services: dict[ServiceName, _Service] = {}
        #: Incremented on every change that may be visible in ``upstreams``.
        self.changes = 0

    def services(self) -> Sequence[ServiceName]:
        """Return the services with an entry in this directory."""
        return list(self._services)

    def apply_rows(
        self, service: ServiceName, rows: Iterable[UpstreamRow], read_s: float, now_s: float
    ) -> None:
        """Apply all rows of one service, read from the list at ``read_s``."""
        if not self._serves(service):
            return
        known = self._services.setdefault(service, _Service())
        if known.apply_rows(rows, read_s, now_s):
            self.changes += 1

    def record_drain(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Record the upstream's own report that it drains; return whether the sign is new."""
        known = self._services.get(service)
        row = known.rows.get(upstream) if known is not None else None
        if known is None or row is None:
            return False
        self.changes += 1
        return known.add_sign(row.registration, now_s, listed=False)

    def merge_signs(self, service: ServiceName, signs: Iterable[DrainSign], now_s: float) -> None:
        """Merge the drain signs reported by a peer."""
        if not self._serves(service):
            return
        known = self._services.setdefault(service, _Service())
        for sign in signs:
            if sign.age_s <= DRAIN_TTL_S:
                key = (sign.upstream, sign.host, sign.port)
                known.add_sign(key, now_s - max(0.0, sign.age_s), sign.listed)
        self.changes += 1

    def drain_signs(self, service: ServiceName, now_s: float) -> Sequence[DrainSign]:
        """Return the drain signs of a service, for sending to a peer."""
        known = self._services.get(service)
        if known is None:
            return []
        return [
            DrainSign(name, host, port, now_s - sign.seen_s, sign.listed)
            for (name, host, port), sign in known.signs.items()
        ]

    def upstreams(self, service: ServiceName) -> Sequence[UpstreamRow]:
        """Return the upstreams that may receive new requests, ordered by name."""
        known = self._services.get(service)
        if known is None:
            return []
        return [row for _, row in sorted(known.rows.items()) if row.registration not in known.signs]

    def listings(self, service: ServiceName) -> Mapping[UpstreamName, UpstreamListing]:
        """Return the listing of each upstream; departed ones are included for a limited time."""
        known = self._services.get(service)
        if known is None:
            return {}
        states = dict.fromkeys(known.departed, UpstreamListing.DEPARTED)
        for name, row in known.rows.items():
            sign = known.signs.get(row.registration)
            if sign is None:
                states[name] = UpstreamListing.LIVE
            else:
                states[name] = UpstreamListing.LEAVING if sign.listed else UpstreamListing.DRAINED
        return states

    def tick(self, now_s: float) -> None:
        """Drop expired signs, and services that are no longer served."""
        for service, known in list(self._services.items()):
            if not self._serves(service):
                del self._services[service]
                self.changes += 1
            elif known.expire(now_s):
                self.changes += 1
