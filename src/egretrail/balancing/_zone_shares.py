"""The slots that an instance prefers: its shares of the upstreams in service."""

from collections.abc import Callable, Collection, Iterable, Sequence

from egretrail.balancing._even_assignment import EvenSlotAssignment
from egretrail.balancing._interfaces import SlotAssignment, SlotOwner
from egretrail.traffic import UpstreamRecord

#: Shares are computed at most this often. Spells of failures last for seconds, and each computation
#: takes up to a few milliseconds in the largest zones.
_INTERVAL_S = 0.25


class EvenSlotShares:
    """This instance's even share of the slots in service, for each service and zone.

    Made for upstreams of which three in ten are out of service at any time, in other places every
    few seconds. Shares of their slots are worth nothing, so only the others are shared.

    The slots of each zone are shared among the instances of the own zone. The requests that a zone
    sends to another zone would otherwise collide there: its instances would all choose the
    upstreams that seemed least loaded in a report that is up to 0.3 s old.

    A share is a preference. An instance that sees other upstreams in service than its peers do
    prefers some other slots, and a wrong view costs a wait.
    """

    def __init__(
        self,
        own_address: str,
        clock: Callable[[], float],
        in_service: Callable[[], Iterable[UpstreamRecord]],
        instances: Callable[[], Collection[str]],
        assignment: SlotAssignment | None = None,
    ) -> None:
        """``instances`` are the addresses of the zone's instances that take shares."""
        self._own_address = own_address
        self._clock = clock
        self._in_service = in_service
        self._instances = instances
        self._assignment = assignment or EvenSlotAssignment()
        self._next_s = float("-inf")
        self._known: tuple[Sequence[SlotOwner], Collection[str]] = ((), ())
        self._own: frozenset[str] = frozenset()

    def has_share(self, record: UpstreamRecord) -> bool:
        """Return whether one of an upstream's slots is this instance's share."""
        now_s = self._clock()
        if now_s >= self._next_s:
            self._next_s = now_s + _INTERVAL_S
            self._update()
        return record.id in self._own

    def _update(self) -> None:
        """Assign the slots anew if instances or upstreams in service have changed."""
        owners = [
            SlotOwner(record.id, record.slots, f"{record.availability_zone} {record.service}")
            for record in self._in_service()
        ]
        known = (owners, frozenset(self._instances()))
        if known == self._known:
            return
        self._known = known
        self._assignment.assign(*known)
        self._own = frozenset(
            owner.upstream_id
            for owner in owners
            if self._assignment.slots_of(owner.upstream_id, self._own_address)
        )
