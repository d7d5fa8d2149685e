"""Fetches a configuration that is newer than the one in force, part by part."""

import asyncio
import random

from egretrail.cluster import (
    ConfigOutline,
    MalformedMessage,
    OutlineQuestion,
    PartedConfig,
    PartsCollection,
    PartsQuestion,
    Referral,
    decode_outline,
    decode_parts,
)
from egretrail.gateway._interfaces import StartSettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._peer_streams import (
    SILENCE_S,
    FetchFailed,
    PeerStream,
    PeerStreams,
    StateOffer,
)
from egretrail.gateway._peer_turns import PeerTurns
from egretrail.gateway._upstreams_fetch import SPREAD_S
from egretrail.gateway._view import FleetView

#: A peer that had nothing newer yet is not asked again for this long.
_NO_NEWER_PAUSE_S = 0.1
#: A configuration of another zone's instance is fetched only if nobody of the own zone had it by
#: then; a hub that takes over from a dead one needs some tenths of a second. Sooner at the start,
#: before callers are served.
_OTHER_ZONE_DELAY_S = 0.8
_OTHER_ZONE_START_DELAY_S = 0.3
#: After a fetch inside the own zone failed, other zones' instances are asked at once for this long.
_OWN_ZONE_DISTRUST_S = 2.0
#: How often an outline is asked for on one connection: parts of it may be replaced meanwhile.
_OUTLINES_MAX = 8
#: How often a fetch is told to ask another instance, or the same one again.
_REFERRALS_MAX = 8
#: An instance that another one named may be gone; the offer's own can be asked again.
_REFERRED_SILENCE_S = 0.4


class ConfigFetch:
    """Asks few peers at a time, and keeps the parts that arrived until they are a whole version."""

    def __init__(
        self,
        settings: StartSettings,
        view: FleetView,
        streams: PeerStreams,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._streams = streams
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._turns = PeerTurns()
        self._arrived = PartsCollection()
        #: Another zone's offer that waits for one of the own zone.
        self._later: asyncio.Task[None] | None = None
        #: When a fetch from an instance of the own zone last failed.
        self._own_zone_failed_s = float("-inf")

    def offered(self, offer: StateOffer, *, at_once: bool) -> None:
        """Fetch where a peer has a newer configuration."""
        self._view.configs.heard_of(offer.config_version)
        if not self._is_newer(offer) or self.is_paused(offer.address):
            return
        distrusted = self._loop.time() - self._own_zone_failed_s < _OWN_ZONE_DISTRUST_S
        if self._is_of_own_zone(offer) or at_once or self._turns.is_asking or distrusted:
            self._ask(offer, is_hub=at_once)
        elif self._later is None:
            self._later = self._loop.create_task(self._ask_later(offer))
            self._later.add_done_callback(self._asked_later)

    def is_paused(self, peer: str) -> bool:
        """Return whether a peer has failed lately."""
        return self._turns.pauses.holds(peer, self._loop.time())

    def stop(self) -> None:
        """End what is under way."""
        self._turns.stop()
        if self._later is not None:
            self._later.cancel()

    def _is_newer(self, offer: StateOffer) -> bool:
        return offer.config_version > self._view.config_version

    def _is_of_own_zone(self, offer: StateOffer) -> bool:
        return offer.availability_zone == self._settings.availability_zone

    def _ask(self, offer: StateOffer, *, is_hub: bool) -> None:
        """Begin to ask an instance, unless others are asked already and have not fallen silent."""
        now_s = self._loop.time()
        if self._turns.admits(offer.address, now_s):
            self._turns.begin(offer.address, self._fetch(offer, is_hub=is_hub), now_s)

    async def _ask_later(self, offer: StateOffer) -> None:
        """Ask another zone's instance if nobody of the own zone has answered by then.

        Load: a zone hears of a version from the others before its own hub has it. If its instances
        went there, one reader of the store would send the configuration to all zones.
        """
        ready = self._view.ready
        await asyncio.sleep(_OTHER_ZONE_DELAY_S if ready else _OTHER_ZONE_START_DELAY_S)
        if self._is_newer(offer):
            self._ask(offer, is_hub=False)

    def _asked_later(self, _: asyncio.Task[None]) -> None:
        self._later = None

    async def _fetch(self, offer: StateOffer, *, is_hub: bool) -> None:
        began_s = self._loop.time()
        try:
            if not is_hub and self._view.ready:
                await asyncio.sleep(self._rng.random() * SPREAD_S)
            await self._ask_in_turn(offer, is_hub=is_hub)
            if not self._is_newer(offer):
                self._log.event(
                    "config_fetched",
                    version=self._view.config_version,
                    offered_by=offer.address,
                    fetch_s=self._loop.time() - began_s,
                )
        except Exception as error:
            # The next offer begins another fetch, with the parts that have come.
            failed = self._streams.failed(offer, error)
            self._turns.pauses.failed(failed, self._loop.time())
            if failed == offer.address and self._is_of_own_zone(offer):
                self._own_zone_failed_s = self._loop.time()

    async def _ask_in_turn(self, offer: StateOffer, *, is_hub: bool) -> None:
        """Ask the instance that offers, and those that are named in its place."""
        address, silence_s = offer.address, SILENCE_S
        for _ in range(_REFERRALS_MAX):
            async with self._streams.connected(address, silence_s) as peer:
                referral = await self._fetch_from(peer, address, offer, is_hub=is_hub)
            if referral is None:
                if self._is_newer(offer):
                    self._turns.pauses.begin(address, self._loop.time(), _NO_NEWER_PAUSE_S)
                    self._log.event(
                        "config_not_newer",
                        peer=address,
                        offered_by=offer.address,
                        config_version=offer.config_version,
                    )
                return
            address, silence_s = offer.address, SILENCE_S
            own = referral.address in ("", self._settings.ip)
            if not own and not self.is_paused(referral.address):
                address, silence_s = referral.address, _REFERRED_SILENCE_S

    async def _fetch_from(
        self, peer: PeerStream, address: str, offer: StateOffer, *, is_hub: bool
    ) -> Referral | None:
        """Fetch a configuration from a peer, unless it names another one."""
        for _ in range(_OUTLINES_MAX):
            if not self._is_newer(offer):
                return None
            outline = await self._ask_outline(peer, is_hub=is_hub)
            if isinstance(outline, Referral):
                self._turns.moved(self._loop.time())
                return outline
            if outline.version <= self._view.config_version:
                return None
            self._turns.moved(self._loop.time())
            config = await self._collect(peer, outline)
            if config is None:
                continue
            if self._view.take_config(config, f"peer {address}"):
                # It may name this instance to others now.
                peer.tell(OutlineQuestion(config.digest, self._settings.ip, is_hub))
                self._turns.stop(but=asyncio.current_task())
            return None
        return None

    async def _ask_outline(self, peer: PeerStream, *, is_hub: bool) -> ConfigOutline | Referral:
        own = self._view.configs.parted
        base = own.digest if own is not None else 0
        question = OutlineQuestion(base, self._settings.ip, is_hub)
        outline = await peer.ask(question, decode_outline)
        if isinstance(outline, ConfigOutline) and not outline.head:
            raise FetchFailed(MalformedMessage("no configuration"))
        return outline

    async def _collect(self, peer: PeerStream, outline: ConfigOutline) -> PartedConfig | None:
        """Fetch what is missing of a peer's configuration; None where it has moved on meanwhile."""
        own = self._view.configs.parted
        self._arrived.keep_only(outline)
        lacking = self._arrived.lacking(outline, own)
        while lacking:
            parts = await peer.ask(PartsQuestion(lacking), decode_parts)
            self._turns.moved(self._loop.time())
            if not parts:
                return None
            for part in parts:
                self._arrived.add(part)
            before, lacking = lacking, self._arrived.lacking(outline, own)
            if len(lacking) == len(before):
                raise FetchFailed(MalformedMessage("parts that were not asked for"))
            # Each reply is some milliseconds of work.
            await asyncio.sleep(0)
        config = self._arrived.join(outline, own)
        self._arrived.clear()
        if config is None:
            raise FetchFailed(MalformedMessage("the parts are not those of the outline"))
        return config
