"""Fetches newer records of upstreams from peers."""

import asyncio
import random

from egretrail.cluster import FetchUpstreams, UpstreamsReply, decode_upstreams
from egretrail.gateway._concurrent_fetches import ConcurrentFetches
from egretrail.gateway._interfaces import StartupSettings
from egretrail.gateway._peer_streams import PeerStreams, StateOffer
from egretrail.gateway._view import FleetView

#: Upstreams of another zone's instance are fetched only if no instance of the own zone has supplied
#: them by then.
_OTHER_ZONE_DELAY_S = 0.15
#: Instances that learn of a newer state at the same moment spread their fetches over this time, so
#: that its holder serves a zone of 70 one after the other.
FETCH_SPREAD_S = 0.04
#: The interval of fetching the whole list beside changes. It repairs lists that differ between two
#: instances at the same revision.
_WHOLE_INTERVAL_S = 10.0
#: The interval varies by this share, since a zone that fetches at one moment fills its hub's link.
_WHOLE_SPREAD = 0.5


class UpstreamsFetch:
    """Fetches changes from few peers at a time, and the whole list from one peer now and then."""

    def __init__(
        self,
        settings: StartupSettings,
        view: FleetView,
        streams: PeerStreams,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._streams = streams
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        #: The fetches of changes in progress.
        self._fetches = ConcurrentFetches()
        self._whole: asyncio.Task[None] | None = None
        #: When the next fetch of the whole list is due.
        self._whole_due_s = float("-inf")

    def handle_offer(self, offer: StateOffer, *, at_once: bool) -> None:
        """Start to fetch changes if a peer has newer ones."""
        self._view.record_peer_revision(offer.upstreams_revision, offer.address)
        now_s = self._loop.time()
        # At the start whole lists are sent, and a second concurrent one would only fill the link.
        allow_concurrent = self._view.upstreams.revision > 0
        if self._is_newer(offer) and self._fetches.may_start(
            offer.address, now_s, allow_concurrent=allow_concurrent
        ):
            self._fetches.start(offer.address, self._fetch(offer, at_once=at_once), now_s)

    def stop(self) -> None:
        """Cancel all fetches."""
        self._fetches.cancel()
        if self._whole is not None:
            self._whole.cancel()

    def _is_newer(self, offer: StateOffer) -> bool:
        return offer.upstreams_revision > self._view.upstreams.revision

    async def _fetch(self, offer: StateOffer, *, at_once: bool) -> None:
        try:
            await self._delay(offer, at_once=at_once)
            if not self._is_newer(offer):
                return
            known = self._view.upstreams.revision
            message = FetchUpstreams(known, with_suspicions=known == 0)
            async with self._streams.connected(offer.address) as peer:
                self._apply(offer, await peer.request(message, decode_upstreams))
        except Exception as error:
            # The next offer starts another fetch.
            self._fetches.backoffs.record_failure(
                self._streams.record_failure(offer, error), self._loop.time()
            )
            return
        if self._whole is None and self._loop.time() > self._whole_due_s:
            self._whole = self._loop.create_task(self._fetch_whole(offer))
            self._whole.add_done_callback(self._whole_fetched)

    async def _delay(self, offer: StateOffer, *, at_once: bool) -> None:
        if at_once or not self._view.ready:
            return
        own_zone = offer.availability_zone == self._settings.availability_zone
        delay_s = 0.0 if own_zone else _OTHER_ZONE_DELAY_S
        await asyncio.sleep(delay_s + self._rng.random() * FETCH_SPREAD_S)

    async def _fetch_whole(self, offer: StateOffer) -> None:
        """Fetch the whole list; after a failure, changes are still fetched until the next one."""
        self._postpone_whole()
        try:
            async with self._streams.connected(offer.address) as peer:
                message = FetchUpstreams(0, with_suspicions=False)
                self._apply(offer, await peer.request(message, decode_upstreams))
        except Exception as error:
            self._streams.record_failure(offer, error)

    def _whole_fetched(self, _: asyncio.Task[None]) -> None:
        self._whole = None

    def _postpone_whole(self) -> None:
        spread = 1.0 + (self._rng.random() - 0.5) * _WHOLE_SPREAD
        self._whole_due_s = self._loop.time() + _WHOLE_INTERVAL_S * spread

    def _apply(self, offer: StateOffer, reply: UpstreamsReply) -> None:
        view = self._view
        source = f"peer {offer.address}"
        view.adopt_suspicions(reply.suspicions)
        if reply.upstreams is not None:
            self._postpone_whole()
            view.replace_upstreams(reply.upstreams, reply.revision, source)
        if reply.changes is not None:
            view.apply_upstream_changes(dict(reply.changes), reply.revision, source)
