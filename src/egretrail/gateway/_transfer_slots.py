"""Limits concurrent transfers of a configuration, and refers requesters to other sources."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

#: The number of concurrent transfers: three replies of a few kilobytes occupy a link of 10 Mbit/s
#: for some 20 ms, and a hub's sections are delayed little longer.
_SLOTS = 3
#: The limit while hubs are served, one of each zone: each has a whole zone waiting.
_SLOTS_WITH_HUBS = 12
#: A slot whose holder requests nothing for this long is given to others until the holder goes on:
#: it has failed, is paused, or waits for a lost packet. Three replies take some 20 ms.
_SLOT_IDLE_S = 0.12
#: The maximum wait for a slot; less than the time after which a requester asks another peer as
#: well.
_WAIT_S = 0.2
#: A source is named to this many requesters, then rests for the time that those transfers take.
_REFERRALS_PER_SOURCE, _REST_S = 3, 0.25
#: After this time a source is no longer named, since it may be gone.
_SOURCE_S = 5.0


@dataclass(slots=True)
class _Source:
    """An instance that has received a whole configuration."""

    #: The digest of its configuration.
    digest: int
    #: Until when it may be named.
    until_s: float
    #: How often it was named since its last rest.
    referral_count: int = 0
    #: When its rest ends.
    rests_until_s: float = float("-inf")


@dataclass(slots=True)
class TransferSlots:
    """Slots for large transfers of a configuration.

    All 70 instances of a zone may request 60 KB each at the same moment. If all were served at once
    over a link of 10 Mbit/s, none would have the configuration for two seconds, and the hub's
    sections would be lost behind it. With three transfers at a time, and each receiver serving
    three others, all have it after a second.
    """

    #: The clock.
    clock: Callable[[], float]
    #: Returns the zone of an instance; None for one that is not known to be alive.
    zone_of: Callable[[str], str | None]
    #: Returns the digest of the configuration in force here; 0 if there is none.
    held_digest: Callable[[], int]
    _holders: dict[int, float] = field(default_factory=dict)
    _sources: dict[str, _Source] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def acquire(self, connection_id: int, requester: str, *, is_hub: bool) -> str | None:
        """Acquire a slot and return None, or return another source.

        An empty address means that the requester should ask this instance again.
        """
        slots = _SLOTS_WITH_HUBS if is_hub else _SLOTS
        deadline_s = self.clock() + _WAIT_S
        while True:
            now_s = self.clock()
            self._forget_old(now_s)
            in_use = [until_s for until_s in self._holders.values() if until_s > now_s]
            if connection_id in self._holders or len(in_use) < slots:
                self._holders[connection_id] = now_s + _SLOT_IDLE_S
                return None
            source = self._pick_source(requester, now_s)
            if source or now_s >= deadline_s:
                return source
            wait_s = min(deadline_s, *in_use) - now_s
            try:
                async with asyncio.timeout(max(wait_s, 0.01)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def renew(self, connection_id: int) -> None:
        """Extend the slot of a connection that requests more."""
        if connection_id in self._holders:
            self._holders[connection_id] = self.clock() + _SLOT_IDLE_S

    def release(self, connection_id: int) -> None:
        """Release the slot of a connection."""
        if self._holders.pop(connection_id, None) is not None:
            self._notify_waiters()

    def add_source(self, requester: str) -> None:
        """Add an instance that has the configuration in force here as a source for others."""
        self._sources[requester] = _Source(self.held_digest(), self.clock() + _SOURCE_S)
        self._notify_waiters()

    def _pick_source(self, requester: str, now_s: float) -> str:
        # No requester is referred to a hub of another zone that fetched from here.
        own = self.zone_of(requester)
        for address, source in self._sources.items():
            zone = self.zone_of(address)
            if address == requester or source.rests_until_s > now_s or zone is None:
                continue
            if own not in (None, zone):
                continue
            source.referral_count += 1
            if source.referral_count >= _REFERRALS_PER_SOURCE:
                source.referral_count, source.rests_until_s = 0, now_s + _REST_S
            return address
        return ""

    def _forget_old(self, now_s: float) -> None:
        held = self.held_digest()
        for address in [
            one
            for one, source in self._sources.items()
            if source.until_s <= now_s or source.digest != held
        ]:
            del self._sources[address]

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
