"""Chooses the upstreams that are kept free for a service's more urgent requests."""

import math
from collections.abc import Sequence

from egretrail.traffic import UpstreamRecord, upstream_key

#: Upstreams are reserved in proportion to the slots that urgent requests need, with a margin for
#: their uneven arrival and for upstreams that fail.
_MARGIN_FACTOR = 2.0


class UrgentReserve:
    """The same part of a service's upstreams at all instances, without messages between them.

    Made for overloads in which few requests are more urgent than the others. If these bounded the
    queues of all upstreams, a route with one request in fifty and a short objective would have most
    other requests refused that can be served in time.
    """

    def __init__(self) -> None:
        self._ranks: dict[str, int] = {}
        self._listed: tuple[str, ...] = ()

    def is_partial(self, ready: Sequence[UpstreamRecord], slot_share: float) -> bool:
        """Return whether some upstreams are left to less urgent requests.

        ``slot_share`` is the share of the service's slots that urgent requests need.
        """
        return _reserved_count(ready, slot_share) < len(ready)

    def includes(
        self, upstream_id: str, ready: Sequence[UpstreamRecord], slot_share: float
    ) -> bool:
        """Return whether an upstream is reserved."""
        listed = tuple(record.id for record in ready)
        if listed != self._listed:
            self._listed = listed
            order = sorted(listed, key=upstream_key)
            self._ranks = {name: rank for rank, name in enumerate(order)}
        return self._ranks.get(upstream_id, 0) < _reserved_count(ready, slot_share)


def _reserved_count(ready: Sequence[UpstreamRecord], slot_share: float) -> int:
    return max(math.ceil(slot_share * _MARGIN_FACTOR * len(ready)), 1)
