"""Chooses the upstreams that are kept free for a service's more urgent requests."""

import math
from collections.abc import Collection, Sequence

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
        #: By service: the ids of the upstreams in the order in which they are reserved.
        self._orders: dict[str, tuple[frozenset[str], Sequence[str]]] = {}

    def reserved(
        self, service: str, ready: Sequence[UpstreamRecord], slot_share: float
    ) -> Collection[str] | None:
        """Return the ids of the reserved upstreams; None if urgent requests need most of them.

        ``slot_share`` is the share of the service's slots that urgent requests need.
        """
        count = max(math.ceil(slot_share * _MARGIN_FACTOR * len(ready)), 1)
        if count >= len(ready):
            return None
        listed = frozenset(record.id for record in ready)
        known = self._orders.get(service)
        if known is None or known[0] != listed:
            known = self._orders[service] = listed, sorted(listed, key=upstream_key)
        return known[1][:count]
