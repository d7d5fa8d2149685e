"""Streams between peers: fetches newer upstreams and configurations, and serves them."""

import asyncio
import random
from dataclasses import replace

from egretrail.gateway._config_fetch import ConfigFetch
from egretrail.gateway._interfaces import StartupSettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._peer_streams import PeerStreams, StateOffer
from egretrail.gateway._state_answers import StateAnswers
from egretrail.gateway._upstreams_fetch import UpstreamsFetch
from egretrail.gateway._view import FleetView

#: The listen backlog: a whole zone may connect at once.
_BACKLOG = 512


class StateExchange:
    """Fetches what a peer has and this instance lacks, from few peers at a time.

    Changes of upstreams, whole lists and configurations are fetched concurrently: neither a large
    configuration nor a long list may delay the report that an upstream is draining.
    """

    def __init__(
        self, settings: StartupSettings, view: FleetView, log: EventLog, rng: random.Random
    ) -> None:
        self._settings = settings
        self._view = view
        self._rng = rng
        #: Connections to peers, and the metrics of fetches.
        self.streams = PeerStreams(settings, log)
        self._upstreams = UpstreamsFetch(settings, view, self.streams, rng)
        self._config = ConfigFetch(settings, view, self.streams, log, rng)
        #: Serves the fetches of peers.
        self.answers = StateAnswers(view)
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen for the fetches of peers, unless this instance does already."""
        address = (self._settings.ip, self._settings.peer_port)
        if self._server is None:
            serve = self.answers.serve
            self._server = await asyncio.start_server(serve, *address, backlog=_BACKLOG)

    def fetch_if_newer(self, offer: StateOffer, *, at_once: bool = False) -> None:
        """Fetch a peer's state if it is newer; without delay if other instances depend on it."""
        self._upstreams.handle_offer(offer, at_once=at_once)
        self._config.handle_offer(self._reachable_offer(offer), at_once=at_once)

    def stop(self) -> None:
        """Cancel all fetches."""
        self._upstreams.stop()
        self._config.stop()

    def _reachable_offer(self, offer: StateOffer) -> StateOffer:
        """Return the offer, redirected within the own zone if its sender is backed off.

        The network path to the hub may be cut, so that its sections arrive through relays. The
        other instances of the zone have its configuration.
        """
        is_backed_off = self._config.is_backed_off
        own_zone = offer.availability_zone == self._settings.availability_zone
        if not own_zone or not is_backed_off(offer.address):
            return offer
        order = self._view.membership.hub_order(offer.availability_zone)
        others = [
            one
            for one in order
            if one not in (offer.address, self._settings.ip) and not is_backed_off(one)
        ]
        return replace(offer, address=self._rng.choice(others)) if others else offer
