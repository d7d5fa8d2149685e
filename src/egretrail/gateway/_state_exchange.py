"""The peers' streams: fetching newer upstreams and configurations, and giving them."""

import asyncio
import contextlib
import random
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, Generic, TypeVar

from result import Err, Result

from egretrail.cluster import (
    ConfigOutline,
    MalformedMessage,
    OutlineQuestion,
    PartedConfig,
    PartsCollection,
    PartsQuestion,
    Question,
    Referral,
    UpstreamsQuestion,
    UpstreamsReply,
    decode_outline,
    decode_parts,
    decode_question,
    decode_upstreams,
    encode_outline,
    encode_parts,
    encode_question,
    encode_referral,
    encode_upstreams,
)
from egretrail.gateway._fetch_places import FetchPlaces
from egretrail.gateway._frames import read_frame, write_frame
from egretrail.gateway._interfaces import GatewaySettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView

T = TypeVar("T")

#: A peer that is asked and of which nothing arrives for this long is taken as cut off.
_SILENCE_S = 0.7
#: A connection that is not there by then is tried anew: a lost first segment is sent again by the
#: system after a second only, when the peer would be taken as cut off.
_CONNECT_AGAIN_S = 0.2
#: A peer that asked once keeps its connection for the next question for this long.
_NEXT_QUESTION_S = 2.0
#: A peer that failed is not asked again for this long, so that another one that offers is.
_FAILED_PAUSE_S = 0.5
#: A peer that had nothing newer yet is not asked again for this long.
_NO_NEWER_PAUSE_S = 0.1
#: Upstreams of another zone's instance are fetched only if nobody of the own zone had them by then.
_OTHER_ZONE_DELAY_S = 0.15
#: The same of configurations, which take a hub longer, also one that takes over from a dead one;
#: and before callers are served.
_OTHER_ZONE_CONFIG_DELAY_S = 0.8
_OTHER_ZONE_START_DELAY_S = 0.3
#: Instances that hear of a newer state at the same moment ask within this time, so that the one
#: that has it serves a zone of 70 one after the other.
_SPREAD_S = 0.04
#: All upstreams are fetched this often, in place of changes: what two instances held apart at the
#: same revision is joined then.
_WHOLE_INTERVAL_S = 10.0
#: Connections that wait to be taken: a whole zone may ask at once.
_BACKLOG = 512
#: How often an outline is asked for on one connection: parts of it may be replaced meanwhile.
_OUTLINES_MAX = 8
#: How often a fetch is told to ask another instance, or the same one again.
_REFERRALS_MAX = 8
#: An instance that another one named may be gone; the offer's own can be asked again.
_REFERRED_SILENCE_S = 0.4
#: Whoever lacks less of a configuration is sent it at once.
_SMALL_BYTES = 65_536
#: Replies that are kept for others with the same question, some kilobytes each.
_REPLIES_MAX = 32


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


class _PeerFailed(Exception):  # noqa: N818 - named for what happened
    """A peer that was asked did not answer, or not in its turn."""

    def __init__(self, address: str, cause: Exception) -> None:
        super().__init__(f"{address}: {cause!r}")
        self.address = address
        self.cause = cause


@dataclass(slots=True)
class _Peer:
    """A connection to a peer that is asked."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    #: Bytes that arrived.
    received_bytes: int = 0

    async def ask(
        self, question: Question, decode: Callable[[bytes], Result[T, MalformedMessage]]
    ) -> T:
        """Send a question and return the reply."""
        write_frame(self.writer, encode_question(question))
        data = await read_frame(self.reader, _SILENCE_S)
        self.received_bytes += len(data)
        decoded = decode(data)
        if isinstance(decoded, Err):
            raise FetchFailed(decoded.err_value)
        return decoded.ok_value


@dataclass(slots=True)
class _Replies(Generic[T]):
    """The last replies by what they answer: a whole zone asks the same."""

    _made: OrderedDict[object, T] = field(default_factory=OrderedDict)

    def get(self, key: object, make: Callable[[], T]) -> T:
        """Return the reply to a question, made where nobody asked the same before."""
        reply = self._made.get(key)
        if reply is None:
            reply = self._made[key] = make()
            if len(self._made) > _REPLIES_MAX:
                self._made.popitem(last=False)
        return reply


class StateExchange:
    """Fetches what a peer knows and this instance does not, one peer at a time for each kind.

    Upstreams and configurations are fetched beside each other: a large configuration must not keep
    the word that an upstream is leaving.
    """

    def __init__(
        self, settings: GatewaySettings, view: FleetView, log: EventLog, rng: random.Random
    ) -> None:
        self._settings = settings
        self._view = view
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._fetching_upstreams: asyncio.Task[None] | None = None
        self._fetching_config: asyncio.Task[None] | None = None
        #: Peers that failed, and until when they are not asked.
        self._failed_until_s: dict[str, float] = {}
        #: When all upstreams were fetched last.
        self._whole_s = float("-inf")
        self._arrived = PartsCollection()
        #: The last instance of the own zone that offered a newer configuration, and a wait for one.
        self._own_zone_offer: StateOffer | None = None
        self._own_zone_offered = asyncio.Event()
        self._replies: _Replies[bytes] = _Replies()
        #: Outlines, and whether they lack much.
        self._outlines: _Replies[tuple[bytes, bool]] = _Replies()
        self._places = FetchPlaces(self._loop.time, self._zone_of)
        self._visits = 0
        self._server: asyncio.Server | None = None
        #: Bytes of replies that arrived, and fetches that failed.
        self.fetched_bytes = self.fetches_failed = 0

    async def open(self) -> None:
        """Listen for peers' questions."""
        address = (self._settings.ip, self._settings.peer_port)
        self._server = await asyncio.start_server(self._serve, *address, backlog=_BACKLOG)

    def fetch_if_newer(self, offer: StateOffer, *, at_once: bool = False) -> None:
        """Ask a peer for its state where it is newer, at once where others will ask this one."""
        self._view.heard_of_config(offer.config_version)
        if self._is_paused(offer.address):
            other = self._another_than(offer)
            if other is None:
                return
            offer = replace(offer, address=other)
        if self._fetching_upstreams is None and self._has_newer_upstreams(offer):
            fetch = self._fetch_upstreams(offer, at_once=at_once)
            self._fetching_upstreams = self._loop.create_task(self._guard(offer, fetch))
            self._fetching_upstreams.add_done_callback(self._upstreams_fetched)
        if not self._has_newer_config(offer):
            return
        if self._is_of_own_zone(offer):
            self._own_zone_offer = offer
            self._own_zone_offered.set()
        if self._fetching_config is None:
            fetch = self._fetch_config(offer, at_once=at_once)
            self._fetching_config = self._loop.create_task(self._guard(offer, fetch))
            self._fetching_config.add_done_callback(self._config_fetched)

    def _is_paused(self, address: str) -> bool:
        return self._failed_until_s.get(address, 0.0) > self._loop.time()

    def _another_than(self, offer: StateOffer) -> str | None:
        """Return whom to ask in place of one of the own zone that failed.

        Load: the way to the hub is cut, and its word comes by others. They have what it offers.
        """
        if not self._is_of_own_zone(offer):
            return None
        order = self._view.membership.order(offer.availability_zone)
        others = [
            one
            for one in order
            if one not in (offer.address, self._settings.ip) and not self._is_paused(one)
        ]
        return self._rng.choice(others) if others else None

    def _upstreams_fetched(self, _: asyncio.Task[None]) -> None:
        self._fetching_upstreams = None

    def _config_fetched(self, _: asyncio.Task[None]) -> None:
        self._fetching_config = None

    async def _guard(self, offer: StateOffer, fetch: Coroutine[Any, Any, None]) -> None:
        """Log the failure of a fetch; the next offer begins another one."""
        try:
            await fetch
        except _PeerFailed as failed:
            self._note_failure(offer, failed.address, failed.cause)
        except Exception as error:
            self._note_failure(offer, offer.address, error)

    def _note_failure(self, offer: StateOffer, address: str, cause: Exception) -> None:
        self.fetches_failed += 1
        now_s = self._loop.time()
        for peer in [one for one, until_s in self._failed_until_s.items() if until_s < now_s]:
            del self._failed_until_s[peer]
        self._failed_until_s[address] = now_s + _FAILED_PAUSE_S
        self._log.event(
            "fetch_failed",
            peer=address,
            config_version=offer.config_version,
            upstreams_revision=offer.upstreams_revision,
            cause=repr(cause),
        )

    def _has_newer_upstreams(self, offer: StateOffer) -> bool:
        return offer.upstreams_revision > self._view.upstreams.revision

    def _has_newer_config(self, offer: StateOffer) -> bool:
        return offer.config_version > self._view.config_version

    async def _wait_for_turn(self, offer: StateOffer, *, at_once: bool) -> None:
        if at_once or not self._view.ready:
            return
        delay_s = 0.0 if self._is_of_own_zone(offer) else _OTHER_ZONE_DELAY_S
        await asyncio.sleep(delay_s + self._rng.random() * _SPREAD_S)

    def _zone_of(self, address: str) -> str | None:
        instance = self._view.membership.named(address)
        return None if instance is None else instance.availability_zone

    def _is_of_own_zone(self, offer: StateOffer) -> bool:
        return offer.availability_zone == self._settings.availability_zone

    async def _choose(self, offer: StateOffer, *, at_once: bool) -> StateOffer:
        """Wait for this instance's turn; return whom to ask for a configuration.

        Load: a zone hears of a version from the others before its own hub has it. If its instances
        went there, one reader of the store would send the configuration to all zones.
        """
        if at_once:
            return offer
        ready = self._view.ready
        if not self._is_of_own_zone(offer):
            self._own_zone_offered.clear()
            delay_s = _OTHER_ZONE_CONFIG_DELAY_S if ready else _OTHER_ZONE_START_DELAY_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_s):
                    await self._own_zone_offered.wait()
            if self._own_zone_offered.is_set() and self._own_zone_offer is not None:
                offer = self._own_zone_offer
        if ready:
            await asyncio.sleep(self._rng.random() * _SPREAD_S)
        return offer

    @contextlib.asynccontextmanager
    async def _connected(self, address: str, silence_s: float = _SILENCE_S) -> AsyncIterator[_Peer]:
        try:
            peer = _Peer(*await self._open_connection(address, silence_s))
            try:
                yield peer
            finally:
                self.fetched_bytes += peer.received_bytes
                peer.writer.close()
        except Exception as error:
            raise _PeerFailed(address, error) from error

    async def _open_connection(
        self, address: str, silence_s: float
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        port = self._settings.peer_port
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CONNECT_AGAIN_S):
                return await asyncio.open_connection(address, port)
        async with asyncio.timeout(silence_s - _CONNECT_AGAIN_S):
            return await asyncio.open_connection(address, port)

    async def _fetch_upstreams(self, offer: StateOffer, *, at_once: bool) -> None:
        await self._wait_for_turn(offer, at_once=at_once)
        if not self._has_newer_upstreams(offer):
            return
        view = self._view
        whole_due = self._loop.time() - self._whole_s > _WHOLE_INTERVAL_S
        revision = 0 if whole_due else view.upstreams.revision
        question = UpstreamsQuestion(revision, with_doubts=view.upstreams.revision == 0)
        async with self._connected(offer.address) as peer:
            reply = await peer.ask(question, decode_upstreams)
        source = f"peer {offer.address}"
        view.adopt_doubts(reply.doubts)
        if reply.upstreams is not None:
            self._whole_s = self._loop.time()
            view.take_upstreams(reply.upstreams, reply.revision, source)
        if reply.changes is not None:
            view.change_upstreams(dict(reply.changes), reply.revision, source)

    async def _fetch_config(self, offer: StateOffer, *, at_once: bool) -> None:
        offer = await self._choose(offer, at_once=at_once)
        address, silence_s = offer.address, _SILENCE_S
        for _ in range(_REFERRALS_MAX):
            async with self._connected(address, silence_s) as peer:
                referral = await self._fetch_from(peer, offer, is_hub=at_once)
            if referral is None:
                if self._has_newer_config(offer):
                    self._failed_until_s[address] = self._loop.time() + _NO_NEWER_PAUSE_S
                return
            address, silence_s = offer.address, _SILENCE_S
            own = referral.address in ("", self._settings.ip)
            if not own and not self._is_paused(referral.address):
                address, silence_s = referral.address, _REFERRED_SILENCE_S

    async def _fetch_from(self, peer: _Peer, offer: StateOffer, *, is_hub: bool) -> Referral | None:
        """Fetch configurations from a peer while it has newer ones, unless it names another."""
        for _ in range(_OUTLINES_MAX):
            if not self._has_newer_config(offer):
                return None
            config = await self._collect(peer, is_hub=is_hub)
            if isinstance(config, Referral):
                return config
            source = f"peer {offer.address}"
            if config is not None:
                if not self._view.take_config(config, source):
                    return None
                # It may name this instance to others now.
                has_all = OutlineQuestion(config.digest, self._settings.ip, is_hub)
                write_frame(peer.writer, encode_question(has_all))
                return None
        return None

    async def _collect(self, peer: _Peer, *, is_hub: bool) -> PartedConfig | Referral | None:
        """Fetch what is missing of a peer's configuration; None where it has moved on meanwhile."""
        own = self._view.parted_config
        base = own.digest if own is not None else 0
        question = OutlineQuestion(base, self._settings.ip, is_hub)
        outline = await peer.ask(question, decode_outline)
        if isinstance(outline, Referral):
            return outline
        if not outline.head:
            raise FetchFailed(MalformedMessage("no configuration"))
        self._arrived.keep_only(outline)
        lacking = self._arrived.lacking(outline, own)
        while lacking:
            parts = await peer.ask(PartsQuestion(lacking), decode_parts)
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

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._visits += 1
        visit = self._visits
        try:
            while True:
                decoded = decode_question(await read_frame(reader, _NEXT_QUESTION_S))
                if isinstance(decoded, Err):
                    return
                write_frame(writer, await self._reply_to(decoded.ok_value, visit))
                async with asyncio.timeout(_NEXT_QUESTION_S):
                    await writer.drain()
        except (TimeoutError, OSError, EOFError, ValueError):
            # The asker closed the connection, or tells of its failure; here nothing has changed.
            return
        finally:
            self._places.leave(visit)
            with contextlib.suppress(OSError):
                writer.close()

    async def _reply_to(self, question: Question, visit: int) -> bytes:
        match question:
            case UpstreamsQuestion():
                return self._upstreams_reply(question)
            case OutlineQuestion():
                return await self._outline_reply(question, visit)
            case PartsQuestion(wanted):
                self._places.keep(visit)
                return self._parts_reply(wanted)

    def _upstreams_reply(self, asked: UpstreamsQuestion) -> bytes:
        view = self._view
        revision = view.upstreams.revision

        def make() -> bytes:
            newer = revision > asked.revision
            changes = view.upstreams.changes_since(asked.revision) if newer else None
            reply = UpstreamsReply(
                revision,
                upstreams=list(view.upstreams) if newer and changes is None else None,
                changes=changes,
                doubts=view.doubts() if asked.with_doubts else (),
            )
            return encode_upstreams(reply)

        if asked.with_doubts:
            # Doubts change without a revision.
            return make()
        return self._replies.get((revision, asked), make)

    async def _outline_reply(self, asked: OutlineQuestion, visit: int) -> bytes:
        reply, much = self._outline(asked.base)
        if not much:
            config = self._view.parted_config
            if config is not None and config.digest == asked.base and asked.asker:
                self._places.completed(asked.asker)
            return reply
        teller = await self._places.admit(visit, asked.asker, is_hub=asked.is_hub)
        if teller is not None:
            return encode_referral(Referral(teller))
        # Another version may be in force by now.
        return self._outline(asked.base)[0]

    def _outline(self, base: int) -> tuple[bytes, bool]:
        """Return an outline for those that have a configuration, and whether they lack much."""
        config = self._view.parted_config
        if config is None:
            return encode_outline(ConfigOutline(b"", 0, 0, {})), False

        def make() -> tuple[bytes, bool]:
            outline = self._view.known_outlines.outline(config, base)
            lacking_bytes = sum(len(config.parts[number].packed) for number in outline.changed)
            return encode_outline(outline), lacking_bytes > _SMALL_BYTES

        return self._outlines.get((config.digest, base), make)

    def _parts_reply(self, wanted: Mapping[int, int]) -> bytes:
        config = self._view.parted_config
        held = config.parts if config is not None else ()
        # What has been replaced since the outline is left out: the asker asks for another one.
        parts = [
            held[number]
            for number, digest in wanted.items()
            if held and held[number].digest == digest
        ]
        key = tuple(part.digest for part in parts)
        return self._replies.get(key, lambda: encode_parts(parts))
