"""Which instances read the store for the fleet."""

import random
from collections.abc import Callable

from egretrail.gateway._view import FleetView
from egretrail.identity import rendezvous_order

#: The number of zones whose hubs read the store for the fleet: one zone may be cut off from the
#: store, or its reader refused. With five zones, each change of an upstream costs two calls instead
#: of five.
_READING_ZONES = 2
#: An instance that has just started leaves the store to the hubs for this long, and up to half of
#: it longer, at random.
_START_DELAY_S = 0.8
#: While no peer is in contact with the store, further instances try in time slots of this length:
#: the store may refuse the hubs and some of those, and a change is due within seconds. The expected
#: number in each slot and zone keeps a store that is down for all from being queried by all.
_SLOT_S = 0.25
_TRIES_PER_SLOT = 0.5
#: An instance that has taken over from the readers goes on for at least this time, and for at most
#: twice as long.
_STAND_IN_S = 3.0


class ReaderRole:
    """Decides whether this instance reads the store itself.

    Each call costs money and the store's rate is shared, so the hubs of two zones read for all; a
    zone whose reader is refused learns changes from the others. While no peer is known to be in
    contact with the store, the other hubs read as well, and further instances in time slots: all
    instances would otherwise query a store that is down. An instance also reads after its start if
    no peer has sent it the configuration.

    The hub is the instance that leads the zone now. After a loss of many instances, the first ones
    of the hub order may be gone.
    """

    def __init__(
        self,
        view: FleetView,
        is_hub: Callable[[], bool],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._is_hub = is_hub
        self._clock = clock
        self._rng = rng
        self._start_read_s = clock() + _START_DELAY_S * (1.0 + rng.random() / 2)
        #: Until when this instance reads in place of others even if they read again.
        self._stands_in_until_s = float("-inf")
        #: The last time slot, and whether this instance tries to read the store in it.
        self._slot, self._tries_in_slot = -1, False

    def should_read(self) -> bool:
        """Return whether this instance reads the store now."""
        if self._view.leaving:
            return False
        is_first = self._view.membership.own_rank() == 0
        leads = is_first or (self._is_hub() and self._view.ready)
        if leads and self._is_reading_zone():
            return True
        now_s = self._clock()
        if not self._view.ready:
            return is_first or now_s > self._start_read_s
        if self._view.others_reach_store():
            # All that took over learn of each other. If they stopped at once, none would read.
            return self._view.store_contact and now_s < self._stands_in_until_s
        if not leads and not self._view.store_contact and not self._has_slot(now_s):
            return False
        if now_s >= self._stands_in_until_s:
            self._stands_in_until_s = now_s + _STAND_IN_S * (1.0 + self._rng.random())
        return True

    def _has_slot(self, now_s: float) -> bool:
        """Return whether this instance is one of those that try in the current time slot.

        They are drawn at random: instances that are lost, or that the store refuses, may hold any
        ranks of the zone.
        """
        slot = int(now_s / _SLOT_S)
        if slot != self._slot:
            size = self._view.zones.own_zone_size(now_s) or self._view.membership.zone_size()
            self._slot = slot
            # A hub that counts only itself hears no other instance, and tells them of no change.
            self._tries_in_slot = size == 1 or self._rng.random() * size < _TRIES_PER_SLOT
        return self._tries_in_slot

    def _is_reading_zone(self) -> bool:
        zones = rendezvous_order("read the store", self._view.membership.zones())
        return self._view.own_zone in zones[:_READING_ZONES]
