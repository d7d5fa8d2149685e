"""Which upstreams each served service has, and which of them must get no new work."""

import enum
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from egretrail.identity import AvailabilityZone, ServiceName, UpstreamName
from egretrail.wire import Message, message

#: A sign that an upstream drains is dropped after this long even if its row never went: an
#: upstream that stays is no longer draining, one that still drains says so again. Ten times the
#: longest lag of the list, so that no stale row outlives the sign that contradicts it.
DRAIN_TTL_S = 600.0
#: A row must have been missing for this long before its return counts as a new registration;
#: readers of the list lag differently, and a staler reading may show a row again.
REGISTRATION_GAP_S = 60.0
#: Departed upstreams are shown to operators for this long.
_DEPARTED_SHOWN_S = 600.0


class UpstreamListing(enum.Enum):
    """Whether an upstream may get new work, as far as lists and drain signs go."""

    #: It is listed, and nothing says that it leaves.
    LIVE = "live"
    #: The platform's list says that it leaves.
    LEAVING = "leaving"
    #: It said so itself, here or to a peer.
    DRAINED = "drained"
    #: It was listed and is no longer.
    DEPARTED = "departed"


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """One upstream as the platform's list shows it."""

    #: The upstream's name, unique in the list.
    name: UpstreamName
    #: The availability zone it runs in.
    availability_zone: AvailabilityZone
    #: Where it takes requests.
    host: str
    port: int
    #: Whether the list says that it is leaving.
    leaving: bool = False

    @property
    def registration(self) -> tuple[UpstreamName, str, int]:
        """Return what a drain sign is bound to: another address is another process."""
        return (self.name, self.host, self.port)


@dataclass(frozen=True, slots=True)
class DrainSign:
    """Somebody's word that an upstream must get no new work."""

    #: The upstream and the address that said so.
    upstream: UpstreamName
    host: str
    port: int
    #: How long ago it was seen; ages travel, since instances share no clock.
    age_s: float
    #: Whether the list said so, rather than the upstream itself.
    listed: bool = False


@message("fleet.upstreams-ask")
@dataclass(frozen=True, slots=True)
class UpstreamsAsk(Message):
    """Asks a reader of the list for one service's rows; answered by ``ListedUpstreams``."""

    #: The service asked about.
    service: ServiceName


@message("fleet.listed-upstreams")
@dataclass(frozen=True, slots=True)
class ListedUpstreams(Message):
    """All rows of one service, from an instance that read them off the list."""

    #: The service the rows belong to.
    service: ServiceName
    #: The rows.
    rows: Sequence[UpstreamRow]
    #: How long ago the list was read; None when the answerer has never read it.
    age_s: float | None


@message("fleet.drains-ask")
@dataclass(frozen=True, slots=True)
class DrainsAsk(Message):
    """Asks a member of the group for a service's drain signs; answered by ``DrainSigns``."""

    #: The service asked about.
    service: ServiceName


@message("fleet.drain-signs")
@dataclass(frozen=True, slots=True)
class DrainSigns(Message):
    """Drain signs of one service, told as soon as one is seen; acknowledged."""

    #: The service the upstreams belong to.
    service: ServiceName
    #: The signs.
    signs: Sequence[DrainSign]


@dataclass(slots=True)
class _Sign:
    #: When it was seen, on this instance's clock.
    seen_s: float
    #: Whether the list said so.
    listed: bool


class _Service:
    """One service's rows and signs."""

    def __init__(self) -> None:
        self.rows: dict[UpstreamName, UpstreamRow] = {}
        self.read_s = float("-inf")
        self.departed: dict[UpstreamName, float] = {}
        self.missing_since_s: dict[tuple[UpstreamName, str, int], float] = {}
        self.signs: dict[tuple[UpstreamName, str, int], _Sign] = {}

    def read(self, rows: Iterable[UpstreamRow], read_s: float, now_s: float) -> bool:
        """Take in a reading unless a later one is known; return whether anything changed."""
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
            self._returned(row, now_s)
            if row.leaving:
                self.sign(row.registration, now_s, listed=True)
        self.rows = current
        return changed

    def sign(
        self, registration: tuple[UpstreamName, str, int], seen_s: float, listed: bool
    ) -> bool:
        """Note a sign; return whether it is news. The latest sight counts."""
        known = self.signs.get(registration)
        if known is not None:
            known.seen_s = max(known.seen_s, seen_s)
            known.listed = known.listed and listed
            return False
        self.signs[registration] = _Sign(seen_s, listed)
        return True

    def expire(self, now_s: float) -> bool:
        """Drop what has outlived its use; return whether an upstream may get work again."""
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

    def _returned(self, row: UpstreamRow, now_s: float) -> None:
        self.departed.pop(row.name, None)
        since_s = self.missing_since_s.pop(row.registration, None)
        if since_s is not None and now_s - since_s >= REGISTRATION_GAP_S:
            self.signs.pop(row.registration, None)


class UpstreamDirectory:
    """The upstreams of the services that this instance serves.

    Rows are kept only for services that ``serves`` names: at 110,000 upstreams no instance holds
    them all. A leaving upstream gets no new work from the first sign on, and a stale row of the
    same registration never takes the sign back.
    """

    def __init__(self, serves: Callable[[ServiceName], bool]) -> None:
        self._serves = serves
        self._services: dict[ServiceName, _Service] = {}
        #: Rises with every change that ``upstreams`` shows.
        self.changes = 0

    def services(self) -> Sequence[ServiceName]:
        """Return the services with rows here."""
        return list(self._services)

    def read(
        self, service: ServiceName, rows: Iterable[UpstreamRow], read_s: float, now_s: float
    ) -> None:
        """Take in all rows of one service, read off the list at ``read_s``."""
        if not self._serves(service):
            return
        known = self._services.setdefault(service, _Service())
        if known.read(rows, read_s, now_s):
            self.changes += 1

    def note_drain(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Take in the upstream's own word that it drains; return whether it is news."""
        known = self._services.get(service)
        row = known.rows.get(upstream) if known is not None else None
        if known is None or row is None:
            return False
        self.changes += 1
        return known.sign(row.registration, now_s, listed=False)

    def absorb(self, service: ServiceName, signs: Iterable[DrainSign], now_s: float) -> None:
        """Take in what a peer saw."""
        if not self._serves(service):
            return
        known = self._services.setdefault(service, _Service())
        for sign in signs:
            if sign.age_s <= DRAIN_TTL_S:
                key = (sign.upstream, sign.host, sign.port)
                known.sign(key, now_s - max(0.0, sign.age_s), sign.listed)
        self.changes += 1

    def signs(self, service: ServiceName, now_s: float) -> Sequence[DrainSign]:
        """Return a service's drain signs, to tell a peer."""
        known = self._services.get(service)
        if known is None:
            return []
        return [
            DrainSign(name, host, port, now_s - sign.seen_s, sign.listed)
            for (name, host, port), sign in known.signs.items()
        ]

    def upstreams(self, service: ServiceName) -> Sequence[UpstreamRow]:
        """Return the upstreams that may get new work, ordered by name."""
        known = self._services.get(service)
        if known is None:
            return []
        return [row for _, row in sorted(known.rows.items()) if row.registration not in known.signs]

    def listings(self, service: ServiceName) -> Mapping[UpstreamName, UpstreamListing]:
        """Return what is known of each upstream, the departed ones for a while."""
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
        """Drop signs that have outlived their use, and services no longer served."""
        for service, known in list(self._services.items()):
            if not self._serves(service):
                del self._services[service]
                self.changes += 1
            elif known.expire(now_s):
                self.changes += 1
