"""Connections to peers that are asked for newer state, and which of them are left out."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import TypeVar

from result import Err, Result

from egretrail.cluster import MalformedMessage, Question, encode_question
from egretrail.gateway._frames import read_frame, write_frame
from egretrail.gateway._interfaces import StartSettings
from egretrail.gateway._log import EventLog

T = TypeVar("T")

#: A peer that is asked and of which nothing arrives for this long is taken as cut off.
SILENCE_S = 0.7
#: A connection that is not there by then is tried anew: a lost first segment is sent again by the
#: system after a second only, when the peer would be taken as cut off.
_CONNECT_AGAIN_S = 0.2
#: A peer that failed is not asked again for this long, so that another one that offers is; for
#: twice as long each time that it fails soon after, up to the maximum.
_FAILED_PAUSE_S, _FAILED_PAUSE_MAX_S = 0.5, 2.0


@dataclass(frozen=True, slots=True)
class StateOffer:
    """What an instance says that it can be asked for."""

    #: Its address.
    address: str
    #: Its availability zone.
    availability_zone: str
    #: Its version of the configuration; 0 for none.
    config_version: int
    #: Its revision of the upstreams; 0 for none.
    upstreams_revision: int


class FetchFailed(Exception):  # noqa: N818 - named for what happened
    """A peer's reply could not be read."""

    def __init__(self, failure: MalformedMessage) -> None:
        super().__init__(str(failure))


class PeerFailed(Exception):  # noqa: N818 - named for what happened
    """A peer that was asked did not answer, or not in its turn."""

    def __init__(self, address: str, cause: Exception) -> None:
        super().__init__(f"{address}: {cause!r}")
        self.address = address
        self.cause = cause


@dataclass(slots=True)
class PeerStream:
    """A connection to a peer that is asked."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    #: Bytes that arrived.
    received_bytes: int = 0

    async def ask(
        self, question: Question, decode: Callable[[bytes], Result[T, MalformedMessage]]
    ) -> T:
        """Send a question and return the reply."""
        self.tell(question)
        data = await read_frame(self.reader, SILENCE_S)
        self.received_bytes += len(data)
        decoded = decode(data)
        if isinstance(decoded, Err):
            raise FetchFailed(decoded.err_value)
        return decoded.ok_value

    def tell(self, question: Question) -> None:
        """Send a question whose reply is not waited for."""
        write_frame(self.writer, encode_question(question))


@dataclass(frozen=True, slots=True)
class _Pause:
    """A time in which a peer is not asked."""

    #: When it ends.
    until_s: float
    #: How long it is.
    length_s: float


@dataclass(slots=True)
class Pauses:
    """Peers that failed and are not asked for a while."""

    _pauses: dict[str, _Pause] = field(default_factory=dict)

    def holds(self, peer: str, now_s: float) -> bool:
        """Return whether a peer is not to be asked."""
        pause = self._pauses.get(peer)
        return pause is not None and pause.until_s > now_s

    def failed(self, peer: str, now_s: float) -> None:
        """Begin a pause after a failure."""
        before = self._pauses.get(peer)
        again = before is not None and now_s < before.until_s + before.length_s
        length_s = before.length_s * 2 if before is not None and again else 0.0
        self.begin(peer, now_s, min(max(length_s, _FAILED_PAUSE_S), _FAILED_PAUSE_MAX_S))

    def begin(self, peer: str, now_s: float, length_s: float) -> None:
        """Begin a pause, and forget those that are long over."""
        old = [who for who, it in self._pauses.items() if it.until_s + it.length_s < now_s]
        for who in old:
            del self._pauses[who]
        self._pauses[peer] = _Pause(now_s + length_s, length_s)


class PeerStreams:
    """Opens connections to peers and counts what comes of them."""

    def __init__(self, settings: StartSettings, log: EventLog) -> None:
        self._settings = settings
        self._log = log
        #: Bytes of replies that arrived, and fetches that failed.
        self.fetched_bytes = self.fetches_failed = 0

    @contextlib.asynccontextmanager
    async def connected(
        self, address: str, silence_s: float = SILENCE_S
    ) -> AsyncIterator[PeerStream]:
        """Connect to a peer for some questions; raises PeerFailed for whatever goes wrong."""
        try:
            peer = PeerStream(*await self._open(address, silence_s))
            try:
                yield peer
            finally:
                self.fetched_bytes += peer.received_bytes
                peer.writer.close()
        except Exception as error:
            raise PeerFailed(address, error) from error

    def failed(self, offer: StateOffer, error: Exception) -> str:
        """Log a fetch that failed; return the address of the peer that did."""
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
        self, address: str, silence_s: float
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        port = self._settings.peer_port
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CONNECT_AGAIN_S):
                return await asyncio.open_connection(address, port)
        async with asyncio.timeout(silence_s - _CONNECT_AGAIN_S):
            return await asyncio.open_connection(address, port)
