"""Assigns the slots of upstreams to instances of the zone, so that they rarely collide."""

from collections.abc import Callable

from egretrail.traffic import UpstreamRecord


class SlotShares:
    """Assigns each upstream's slots to as many instances of the own zone, which prefer it.

    Take 33 instances that send to 30 upstreams of three slots and learn of each other's requests a
    tenth of a second late. In that time more requests arrive than slots are free. All instances
    choose the same slots, and requests wait while other slots are idle. An instance knows its own
    requests in flight at once, so instances that prefer their own slots collide less often. A share
    is no limit: a request goes to the upstream of least cost. If the zone has no more instances
    than an upstream has slots, each instance has a share of every upstream.
    """

    def __init__(self, rank: Callable[[str], int]) -> None:
        #: Rank of this instance among its zone's for a task.
        self._rank = rank
        self._holds_share: dict[str, bool] = {}

    def invalidate(self) -> None:
        """Discard the computed shares, after instances or upstreams were added or removed."""
        self._holds_share.clear()

    def has_share(self, record: UpstreamRecord) -> bool:
        """Return whether one of an upstream's slots is this instance's share."""
        holds_share = self._holds_share.get(record.id)
        if holds_share is None:
            holds_share = self._rank(f"slots {record.id}") < record.slots
            self._holds_share[record.id] = holds_share
        return holds_share
