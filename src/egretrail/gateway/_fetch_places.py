"""Who is sent much of a configuration at a time, and whom the others are told to ask."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

#: Instances that are sent much at a time: three replies of a few kilobytes wait for a link of
#: 10 Mbit/s some 20 ms, and what a hub has to tell not much longer.
_PLACES = 3
#: The same with hubs, each of which has a zone waiting: one of each zone.
_PLACES_WITH_HUBS = 12
#: Whoever asks for nothing more for this long leaves its place to others until it goes on: it is
#: dead, frozen, or waits for something that was lost. Three replies take some 20 ms.
_LAPSE_S = 0.12
#: An asker waits so long for a place, less than the time after which it asks another peer beside.
_WAIT_S = 0.2
#: An instance that has got all is named to so many, then rests for the time that these take.
_NAMED_MAX, _REST_S = 3, 0.25
#: After this time it is no longer named: it may be gone.
_NAMED_S = 5.0


@dataclass(slots=True)
class _Teller:
    """An instance that was sent all of a configuration."""

    #: The digest of the configuration.
    digest: int
    #: Until when it is named.
    until_s: float
    #: How often it was named since its last rest.
    named: int = 0
    #: When it is named again.
    rested_s: float = float("-inf")


@dataclass(slots=True)
class FetchPlaces:
    """The places for those that are sent much.

    Load: 70 instances of a zone ask at the same moment for 60 KB each. Sent to all at once over a
    link of 10 Mbit/s nobody has all of it for two seconds, and the hub's word is lost behind it.
    Sent to three at a time, each of whom tells three others, all have it after a second.
    """

    #: The clock.
    clock: Callable[[], float]
    #: The zone of an instance; None for one that is not known to live.
    zone_of: Callable[[str], str | None]
    #: The digest of the configuration in force here; 0 for none.
    held: Callable[[], int]
    _taken: dict[int, float] = field(default_factory=dict)
    _tellers: dict[str, _Teller] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def admit(self, visit: int, asker: str, *, is_hub: bool) -> str | None:
        """Give a place; else return whom to ask, empty for this instance again."""
        places = _PLACES_WITH_HUBS if is_hub else _PLACES
        deadline_s = self.clock() + _WAIT_S
        while True:
            now_s = self.clock()
            self._forget_old(now_s)
            in_use = [until_s for until_s in self._taken.values() if until_s > now_s]
            if visit in self._taken or len(in_use) < places:
                self._taken[visit] = now_s + _LAPSE_S
                return None
            teller = self._name(asker, now_s)
            if teller or now_s >= deadline_s:
                return teller
            wait_s = min(deadline_s, *in_use) - now_s
            try:
                async with asyncio.timeout(max(wait_s, 0.01)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def keep(self, visit: int) -> None:
        """Take that one with a place asks for more."""
        if visit in self._taken:
            self._taken[visit] = self.clock() + _LAPSE_S

    def leave(self, visit: int) -> None:
        """Free a place."""
        if self._taken.pop(visit, None) is not None:
            self._wake()

    def completed(self, asker: str) -> None:
        """Take that an instance has the configuration in force here, and can tell others."""
        self._tellers[asker] = _Teller(self.held(), self.clock() + _NAMED_S)
        self._wake()

    def _name(self, asker: str, now_s: float) -> str:
        # Nobody is told to ask a hub of another zone that was told here.
        own = self.zone_of(asker)
        for address, teller in self._tellers.items():
            zone = self.zone_of(address)
            if address == asker or teller.rested_s > now_s or zone is None:
                continue
            if own not in (None, zone):
                continue
            teller.named += 1
            if teller.named >= _NAMED_MAX:
                teller.named, teller.rested_s = 0, now_s + _REST_S
            return address
        return ""

    def _forget_old(self, now_s: float) -> None:
        held = self.held()
        for address in [
            one
            for one, teller in self._tellers.items()
            if teller.until_s <= now_s or teller.digest != held
        ]:
            del self._tellers[address]

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
