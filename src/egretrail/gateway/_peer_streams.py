"""Connections to peers for fetching state, and the back-off of peers that failed."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import TypeVar

from result import Err, Result

from egretrail.cluster import FetchMessage, MalformedMessage, encode_fetch
from egretrail.gateway._frames import read_frame, write_frame
from egretrail.gateway._interfaces import StartupSettings
from egretrail.gateway._log import EventLog

T = TypeVar("T")

#: A peer from which nothing arrives for this long is taken as unreachable.
PEER_TIMEOUT_S = 0.7
#: A connection that is not established by then is tried again: the system retransmits a lost first
#: segment only after a second, when the peer would already be taken as unreachable.
_RECONNECT_S = 0.2
#: A peer that failed is not asked again for this long, so that another peer with an offer is. The
#: time doubles with each failure soon after the last, up to the maximum.
_BACKOFF_S, _BACKOFF_MAX_S = 0.5, 2.0


@dataclass(frozen=True, slots=True)
class StateOffer:
    """The versions that an instance offers to its peers."""

    #: Its address.
    address: str
    #: Its availability zone.
    availability_zone: str
    #: Its version of the configuration; 0 for none.
    config_version: int
    #: Its revision of the upstreams; 0 for none.
    upstreams_revision: int


class FetchFailed(Exception):  # noqa: N818 - named for what happened
    """A peer's reply was malformed."""

    def __init__(self, failure: MalformedMessage) -> None:
        super().__init__(str(failure))


class PeerFailed(Exception):  # noqa: N818 - named for what happened
    """A peer did not answer in time, or its answer was unusable."""

    def __init__(self, address: str, cause: Exception) -> None:
        super().__init__(f"{address}: {cause!r}")
        self.address = address
        self.cause = cause


@dataclass(slots=True)
class PeerStream:
    """A connection to a peer from which state is fetched."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    #: The number of received bytes.
    received_bytes: int = 0

    async def request(
        self, message: FetchMessage, decode: Callable[[bytes], Result[T, MalformedMessage]]
    ) -> T:
        """Send a fetch message and return the decoded reply."""
        self.send(message)
        data = await read_frame(self.reader, PEER_TIMEOUT_S)
        self.received_bytes += len(data)
        decoded = decode(data)
        if isinstance(decoded, Err):
            raise FetchFailed(decoded.err_value)
        return decoded.ok_value

    def send(self, message: FetchMessage) -> None:
        """Send a fetch message without waiting for the reply."""
        write_frame(self.writer, encode_fetch(message))


@dataclass(frozen=True, slots=True)
class _Backoff:
    """A time in which a peer is not asked."""

    #: When it ends.
    until_s: float
    #: How long it is.
    length_s: float


@dataclass(slots=True)
class PeerBackoffs:
    """Peers that failed and are not asked for a while."""

    _backoffs: dict[str, _Backoff] = field(default_factory=dict)

    def is_backed_off(self, peer: str, now_s: float) -> bool:
        """Return whether a peer is backed off."""
        backoff = self._backoffs.get(peer)
        return backoff is not None and backoff.until_s > now_s

    def record_failure(self, peer: str, now_s: float) -> None:
        """Back off a peer that failed."""
        before = self._backoffs.get(peer)
        again = before is not None and now_s < before.until_s + before.length_s
        length_s = before.length_s * 2 if before is not None and again else 0.0
        self.start(peer, now_s, min(max(length_s, _BACKOFF_S), _BACKOFF_MAX_S))

    def start(self, peer: str, now_s: float, length_s: float) -> None:
        """Back off a peer for a time, and forget entries that ended long ago."""
        old = [
            address
            for address, backoff in self._backoffs.items()
            if backoff.until_s + backoff.length_s < now_s
        ]
        for address in old:
            del self._backoffs[address]
        self._backoffs[peer] = _Backoff(now_s + length_s, length_s)


class PeerStreams:
    """Opens connections to peers and counts the fetched bytes and failures."""

    def __init__(self, settings: StartupSettings, log: EventLog) -> None:
        self._settings = settings
        self._log = log
        #: The bytes of received replies, and the number of failed fetches.
        self.fetched_bytes = self.fetches_failed = 0

    @contextlib.asynccontextmanager
    async def connected(
        self, address: str, timeout_s: float = PEER_TIMEOUT_S
    ) -> AsyncIterator[PeerStream]:
        """Connect to a peer; raises PeerFailed for any error."""
        try:
            peer = PeerStream(*await self._open(address, timeout_s))
            try:
                yield peer
            finally:
                self.fetched_bytes += peer.received_bytes
                peer.writer.close()
        except Exception as error:
            raise PeerFailed(address, error) from error

    def record_failure(self, offer: StateOffer, error: Exception) -> str:
        """Log a failed fetch; return the address of the peer that failed."""
        address, cause = offer.address, error
        if isinstance(error, PeerFailed):
            address, cause = error.address, error.cause
        self.fetches_failed += 1
        self._log.event(
            "fetch_failed",
            peer=address,
            config_version=offer.config_version,
            upstreams_revision=offer.upstreams_revision,
            cause=repr(cause),
        )
        return address

    async def _open(
        self, address: str, timeout_s: float
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        port = self._settings.peer_port
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECONNECT_S):
                return await asyncio.open_connection(address, port)
        async with asyncio.timeout(timeout_s - _RECONNECT_S):
            return await asyncio.open_connection(address, port)
