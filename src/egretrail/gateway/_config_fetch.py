"""Fetches a configuration that is newer than the one in force, chunk by chunk."""

import asyncio
import random

from egretrail.cluster import (
    ChunkCollection,
    ChunkedConfig,
    ConfigManifest,
    FetchChunks,
    FetchManifest,
    MalformedMessage,
    Referral,
    decode_chunks,
    decode_manifest,
)
from egretrail.gateway._concurrent_fetches import ConcurrentFetches
from egretrail.gateway._interfaces import StartupSettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._peer_streams import (
    PEER_TIMEOUT_S,
    FetchFailed,
    PeerStream,
    PeerStreams,
    StateOffer,
)
from egretrail.gateway._upstreams_fetch import FETCH_SPREAD_S
from egretrail.gateway._view import FleetView

#: A peer that turned out to have nothing newer is not asked again for this long.
_NOT_NEWER_BACKOFF_S = 0.1
#: The configuration of another zone's instance is fetched only if no instance of the own zone has
#: supplied it by then; a hub that takes over from a failed one needs some tenths of a second. The
#: delay is shorter at the start, before clients are served.
_OTHER_ZONE_DELAY_S = 0.8
_OTHER_ZONE_START_DELAY_S = 0.3
#: For this long after a failed fetch inside the own zone, instances of other zones are asked
#: without delay.
_OWN_ZONE_FAILURE_S = 2.0
#: The maximum number of manifests fetched on one connection, since chunks may be replaced
#: meanwhile.
_MANIFESTS_MAX = 8
#: The maximum number of referrals that one fetch follows.
_REFERRALS_MAX = 8
#: The time-out of an instance named by a referral, which may be gone; the offer's sender can be
#: asked again.
_REFERRED_TIMEOUT_S = 0.4


class ConfigFetch:
    """Fetches from few peers at a time, and keeps received chunks until a version is complete."""

    def __init__(
        self,
        settings: StartupSettings,
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
        self._fetches = ConcurrentFetches()
        self._chunks = ChunkCollection()
        #: The pending delayed fetch from another zone.
        self._delayed: asyncio.Task[None] | None = None
        #: When a fetch from an instance of the own zone last failed.
        self._own_zone_failed_s = float("-inf")

    def handle_offer(self, offer: StateOffer, *, at_once: bool) -> None:
        """Start a fetch if a peer has a newer configuration."""
        self._view.configs.record_peer_version(offer.config_version)
        if not self._is_newer(offer) or self.is_backed_off(offer.address):
            return
        own_zone_failed = self._loop.time() - self._own_zone_failed_s < _OWN_ZONE_FAILURE_S
        if self._is_of_own_zone(offer) or at_once or self._fetches.is_asking or own_zone_failed:
            self._ask(offer, is_hub=at_once)
        elif self._delayed is None:
            self._delayed = self._loop.create_task(self._ask_after_delay(offer))
            self._delayed.add_done_callback(self._clear_delayed)

    def is_backed_off(self, peer: str) -> bool:
        """Return whether a peer failed recently."""
        return self._fetches.backoffs.is_backed_off(peer, self._loop.time())

    def stop(self) -> None:
        """Cancel all fetches."""
        self._fetches.cancel()
        if self._delayed is not None:
            self._delayed.cancel()

    def _is_newer(self, offer: StateOffer) -> bool:
        return offer.config_version > self._view.config_version

    def _is_of_own_zone(self, offer: StateOffer) -> bool:
        return offer.availability_zone == self._settings.availability_zone

    def _ask(self, offer: StateOffer, *, is_hub: bool) -> None:
        """Start a fetch from a peer, unless others are in progress and have not stalled."""
        now_s = self._loop.time()
        if self._fetches.may_start(offer.address, now_s):
            self._fetches.start(offer.address, self._fetch(offer, is_hub=is_hub), now_s)

    async def _ask_after_delay(self, offer: StateOffer) -> None:
        """Fetch from another zone's instance if the own zone has not supplied the version.

        A zone learns of a version from other zones before its own hub has it. If its instances
        fetched it there at once, one reader of the store would send the configuration to all zones.
        """
        ready = self._view.ready
        await asyncio.sleep(_OTHER_ZONE_DELAY_S if ready else _OTHER_ZONE_START_DELAY_S)
        if self._is_newer(offer):
            self._ask(offer, is_hub=False)

    def _clear_delayed(self, _: asyncio.Task[None]) -> None:
        self._delayed = None

    async def _fetch(self, offer: StateOffer, *, is_hub: bool) -> None:
        began_s = self._loop.time()
        try:
            if not is_hub and self._view.ready:
                await asyncio.sleep(self._rng.random() * FETCH_SPREAD_S)
            await self._fetch_following_referrals(offer, is_hub=is_hub)
            if not self._is_newer(offer):
                self._log.event(
                    "config_fetched",
                    version=self._view.config_version,
                    offered_by=offer.address,
                    fetch_s=self._loop.time() - began_s,
                )
        except Exception as error:
            # The next offer starts another fetch, which reuses the received chunks.
            failed = self._streams.record_failure(offer, error)
            self._fetches.backoffs.record_failure(failed, self._loop.time())
            if failed == offer.address and self._is_of_own_zone(offer):
                self._own_zone_failed_s = self._loop.time()

    async def _fetch_following_referrals(self, offer: StateOffer, *, is_hub: bool) -> None:
        """Fetch from the instance that sent the offer, and from those that referrals name."""
        address, timeout_s = offer.address, PEER_TIMEOUT_S
        for _ in range(_REFERRALS_MAX):
            async with self._streams.connected(address, timeout_s) as peer:
                referral = await self._fetch_from(peer, address, offer, is_hub=is_hub)
            if referral is None:
                if self._is_newer(offer):
                    self._fetches.backoffs.start(address, self._loop.time(), _NOT_NEWER_BACKOFF_S)
                    self._log.event(
                        "config_not_newer",
                        peer=address,
                        offered_by=offer.address,
                        config_version=offer.config_version,
                    )
                return
            address, timeout_s = offer.address, PEER_TIMEOUT_S
            own = referral.address in ("", self._settings.ip)
            if not own and not self.is_backed_off(referral.address):
                address, timeout_s = referral.address, _REFERRED_TIMEOUT_S

    async def _fetch_from(
        self, peer: PeerStream, address: str, offer: StateOffer, *, is_hub: bool
    ) -> Referral | None:
        """Fetch a configuration from a peer; return a referral if it names another instance."""
        for _ in range(_MANIFESTS_MAX):
            if not self._is_newer(offer):
                return None
            manifest = await self._request_manifest(peer, is_hub=is_hub)
            if isinstance(manifest, Referral):
                self._fetches.record_progress(self._loop.time())
                return manifest
            if manifest.version <= self._view.config_version:
                return None
            self._fetches.record_progress(self._loop.time())
            config = await self._collect(peer, manifest)
            if config is None:
                continue
            if self._view.apply_config(config, f"peer {address}"):
                # The peer may now refer others to this instance.
                peer.send(FetchManifest(config.digest, self._settings.ip, is_hub))
                self._fetches.cancel(keep=asyncio.current_task())
            return None
        return None

    async def _request_manifest(
        self, peer: PeerStream, *, is_hub: bool
    ) -> ConfigManifest | Referral:
        own = self._view.configs.chunked
        base = own.digest if own is not None else 0
        message = FetchManifest(base, self._settings.ip, is_hub)
        manifest = await peer.request(message, decode_manifest)
        if isinstance(manifest, ConfigManifest) and not manifest.head:
            raise FetchFailed(MalformedMessage("no configuration"))
        return manifest

    async def _collect(self, peer: PeerStream, manifest: ConfigManifest) -> ChunkedConfig | None:
        """Fetch the missing chunks of a peer's configuration; None if it was replaced meanwhile."""
        own = self._view.configs.chunked
        self._chunks.discard_unreferenced(manifest)
        missing = self._chunks.missing(manifest, own)
        while missing:
            chunks = await peer.request(FetchChunks(missing), decode_chunks)
            self._fetches.record_progress(self._loop.time())
            if not chunks:
                return None
            for chunk in chunks:
                self._chunks.add(chunk)
            before, missing = missing, self._chunks.missing(manifest, own)
            if len(missing) == len(before):
                raise FetchFailed(MalformedMessage("chunks that were not requested"))
            # Let other tasks run: decoding each reply takes some milliseconds.
            await asyncio.sleep(0)
        config = self._chunks.assemble(manifest, own)
        self._chunks.clear()
        if config is None:
            raise FetchFailed(MalformedMessage("chunks do not match the manifest"))
        return config
