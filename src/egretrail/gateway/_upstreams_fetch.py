"""Fetches upstreams that a peer knows of and this instance does not."""

import asyncio
import random

from egretrail.cluster import UpstreamsQuestion, UpstreamsReply, decode_upstreams
from egretrail.gateway._interfaces import StartSettings
from egretrail.gateway._peer_streams import PeerStreams, StateOffer
from egretrail.gateway._peer_turns import PeerTurns
from egretrail.gateway._view import FleetView

#: Upstreams of another zone's instance are fetched only if nobody of the own zone had them by then.
_OTHER_ZONE_DELAY_S = 0.15
#: Instances that hear of a newer state at the same moment ask within this time, so that the one
#: that has it serves a zone of 70 one after the other.
SPREAD_S = 0.04
#: All upstreams are fetched this often beside changes: what two instances held apart at the same
#: revision is joined then.
_WHOLE_INTERVAL_S = 10.0
#: The interval varies by this share, since a zone that asks at one moment fills its hub's link.
_WHOLE_SPREAD = 0.5


class UpstreamsFetch:
    """Asks few peers at a time for changes, and one for all upstreams now and then."""

    def __init__(
        self,
        settings: StartSettings,
        view: FleetView,
        streams: PeerStreams,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._streams = streams
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        #: Who is asked for changes.
        self._turns = PeerTurns()
        self._whole: asyncio.Task[None] | None = None
        #: From when on all upstreams are to be fetched again.
        self._whole_due_s = float("-inf")

    def offered(self, offer: StateOffer, *, at_once: bool) -> None:
        """Ask for changes where a peer has newer ones."""
        self._view.heard_of_upstreams(offer.upstreams_revision, offer.address)
        now_s = self._loop.time()
        # Whole lists, which are told at the start, would only fill the link.
        may_overtake = self._view.upstreams.revision > 0
        if self._is_newer(offer) and self._turns.admits(
            offer.address, now_s, may_overtake=may_overtake
        ):
            self._turns.begin(offer.address, self._fetch(offer, at_once=at_once), now_s)

    def stop(self) -> None:
        """End what is under way."""
        self._turns.stop()
        if self._whole is not None:
            self._whole.cancel()

    def _is_newer(self, offer: StateOffer) -> bool:
        return offer.upstreams_revision > self._view.upstreams.revision

    async def _fetch(self, offer: StateOffer, *, at_once: bool) -> None:
        try:
            await self._wait_for_turn(offer, at_once=at_once)
            if not self._is_newer(offer):
                return
            known = self._view.upstreams.revision
            question = UpstreamsQuestion(known, with_doubts=known == 0)
            async with self._streams.connected(offer.address) as peer:
                self._take(offer, await peer.ask(question, decode_upstreams))
        except Exception as error:
            # The next offer begins another fetch.
            self._turns.pauses.failed(self._streams.failed(offer, error), self._loop.time())
            return
        if self._whole is None and self._loop.time() > self._whole_due_s:
            self._whole = self._loop.create_task(self._fetch_whole(offer))
            self._whole.add_done_callback(self._whole_fetched)

    async def _wait_for_turn(self, offer: StateOffer, *, at_once: bool) -> None:
        if at_once or not self._view.ready:
            return
        own_zone = offer.availability_zone == self._settings.availability_zone
        delay_s = 0.0 if own_zone else _OTHER_ZONE_DELAY_S
        await asyncio.sleep(delay_s + self._rng.random() * SPREAD_S)

    async def _fetch_whole(self, offer: StateOffer) -> None:
        """Fetch all upstreams; where it fails, changes go on and the next interval begins."""
        self._put_off_whole()
        try:
            async with self._streams.connected(offer.address) as peer:
                question = UpstreamsQuestion(0, with_doubts=False)
                self._take(offer, await peer.ask(question, decode_upstreams))
        except Exception as error:
            self._streams.failed(offer, error)

    def _whole_fetched(self, _: asyncio.Task[None]) -> None:
        self._whole = None

    def _put_off_whole(self) -> None:
        spread = 1.0 + (self._rng.random() - 0.5) * _WHOLE_SPREAD
        self._whole_due_s = self._loop.time() + _WHOLE_INTERVAL_S * spread

    def _take(self, offer: StateOffer, reply: UpstreamsReply) -> None:
        view = self._view
        source = f"peer {offer.address}"
        view.adopt_doubts(reply.doubts)
        if reply.upstreams is not None:
            self._put_off_whole()
            view.take_upstreams(reply.upstreams, reply.revision, source)
        if reply.changes is not None:
            view.change_upstreams(dict(reply.changes), reply.revision, source)
