"""The peers' streams: fetching newer upstreams and configurations, and giving them."""

import asyncio
import random
from dataclasses import replace

from egretrail.gateway._config_fetch import ConfigFetch
from egretrail.gateway._interfaces import StartSettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._peer_streams import PeerStreams, StateOffer
from egretrail.gateway._state_answers import StateAnswers
from egretrail.gateway._upstreams_fetch import UpstreamsFetch
from egretrail.gateway._view import FleetView

#: Connections that wait to be taken: a whole zone may ask at once.
_BACKLOG = 512


class StateExchange:
    """Fetches what a peer knows and this instance does not, from few peers at a time.

    Changes of upstreams, all upstreams and configurations are fetched beside each other: neither a
    large configuration nor a long list must keep the word that an upstream is leaving.
    """

    def __init__(
        self, settings: StartSettings, view: FleetView, log: EventLog, rng: random.Random
    ) -> None:
        self._settings = settings
        self._view = view
        self._rng = rng
        #: Connections to peers, and what they have brought.
        self.streams = PeerStreams(settings, log)
        self._upstreams = UpstreamsFetch(settings, view, self.streams, rng)
        self._config = ConfigFetch(settings, view, self.streams, log, rng)
        #: Answers peers.
        self.answers = StateAnswers(view)
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen for peers' questions."""
        address = (self._settings.ip, self._settings.peer_port)
        self._server = await asyncio.start_server(self.answers.serve, *address, backlog=_BACKLOG)

    def fetch_if_newer(self, offer: StateOffer, *, at_once: bool = False) -> None:
        """Ask a peer for its state where it is newer, at once where others will ask this one."""
        self._upstreams.offered(offer, at_once=at_once)
        self._config.offered(self._askable(offer), at_once=at_once)

    def stop(self) -> None:
        """End what is under way."""
        self._upstreams.stop()
        self._config.stop()

    def _askable(self, offer: StateOffer) -> StateOffer:
        """Return the offer, by another instance of the own zone where the one that offers failed.

        Load: the way to the hub is cut, and its word comes by others. They have its configuration.
        """
        is_paused = self._config.is_paused
        own_zone = offer.availability_zone == self._settings.availability_zone
        if not own_zone or not is_paused(offer.address):
            return offer
        order = self._view.membership.order(offer.availability_zone)
        others = [
            one
            for one in order
            if one not in (offer.address, self._settings.ip) and not is_paused(one)
        ]
        return replace(offer, address=self._rng.choice(others)) if others else offer
