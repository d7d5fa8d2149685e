"""The peers' streams: fetching newer upstreams and configurations, and giving them."""

import asyncio
import contextlib
import random
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from result import Err, Result

from egretrail.cluster import (
    ConfigOutline,
    MalformedMessage,
    OutlineQuestion,
    PartedConfig,
    PartsCollection,
    PartsQuestion,
    Question,
    UpstreamsQuestion,
    UpstreamsReply,
    decode_outline,
    decode_parts,
    decode_question,
    decode_upstreams,
    encode_outline,
    encode_parts,
    encode_question,
    encode_upstreams,
)
from egretrail.gateway._frames import read_frame, write_frame
from egretrail.gateway._interfaces import StartSettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView

T = TypeVar("T")

#: A peer that is asked and of which nothing arrives for this long is taken as cut off.
_SILENCE_S = 0.7
#: A peer that asked once keeps its connection for the next question for this long.
_NEXT_QUESTION_S = 2.0
#: A peer that failed is not asked again for this long, so that another one that offers is.
_FAILED_PAUSE_S = 0.5
#: Where changes have not come after this time, another peer is asked beside the first. The word
#: that an upstream is leaving must not wait for a stream that stands still.
_OVERTAKE_S = 0.3
_ASKED_MAX = 3
#: State of another zone's instance is fetched only if nobody of the own zone had it by then.
_OTHER_ZONE_DELAY_S = 0.15
#: Instances that hear of a newer state at the same moment ask within this time, so that the one
#: that has it serves a zone of 70 one after the other.
_SPREAD_S = 0.04
#: All upstreams are fetched this often beside changes: what two instances held apart at the same
#: revision is joined then.
_WHOLE_INTERVAL_S = 10.0
#: The interval varies by this share, since a zone that asks at one moment fills its hub's link.
_WHOLE_SPREAD = 0.5
#: Connections that wait to be taken: a whole zone may ask at once.
_BACKLOG = 512
#: How often an outline is asked for on one connection: parts of it may be replaced meanwhile.
_OUTLINES_MAX = 8
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
class _Replies:
    """The last replies by what they answer: a whole zone asks the same."""

    _made: OrderedDict[object, bytes] = field(default_factory=OrderedDict)

    def get(self, key: object, make: Callable[[], bytes]) -> bytes:
        """Return the reply to a question, made where nobody asked the same before."""
        reply = self._made.get(key)
        if reply is None:
            reply = self._made[key] = make()
            if len(self._made) > _REPLIES_MAX:
                self._made.popitem(last=False)
        return reply


@dataclass(slots=True)
class _Pauses:
    """Peers that failed and are not asked for a while."""

    _until_s: dict[str, float] = field(default_factory=dict)

    def holds(self, peer: str, now_s: float) -> bool:
        """Return whether a peer is not to be asked."""
        return self._until_s.get(peer, 0.0) > now_s

    def failed(self, peer: str, now_s: float) -> None:
        """Begin a pause, and forget those that are over."""
        for old in [one for one, until_s in self._until_s.items() if until_s < now_s]:
            del self._until_s[old]
        self._until_s[peer] = now_s + _FAILED_PAUSE_S


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
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        #: Fetches of changes by the peer that is asked, and when the last one began.
        self._fetching_upstreams: dict[str, asyncio.Task[None]] = {}
        self._asked_s = float("-inf")
        self._fetching_config: asyncio.Task[None] | None = None
        #: For each kind, so that a configuration that fails keeps no word of upstreams.
        self._upstream_pauses = _Pauses()
        self._config_pauses = _Pauses()
        self._fetching_whole: asyncio.Task[None] | None = None
        #: From when on all upstreams are to be fetched again.
        self._whole_due_s = float("-inf")
        self._arrived = PartsCollection()
        self._replies = _Replies()
        self._server: asyncio.Server | None = None
        #: Bytes of replies that arrived, and fetches that failed.
        self.fetched_bytes = self.fetches_failed = 0

    async def open(self) -> None:
        """Listen for peers' questions."""
        address = (self._settings.ip, self._settings.peer_port)
        self._server = await asyncio.start_server(self._serve, *address, backlog=_BACKLOG)

    def fetch_if_newer(self, offer: StateOffer, *, at_once: bool = False) -> None:
        """Ask a peer for its state where it is newer, at once where others will ask this one."""
        self._view.configs.heard_of(offer.config_version)
        self._view.heard_of_upstreams(offer.upstreams_revision, offer.address)
        now_s, peer = self._loop.time(), offer.address
        if self._has_newer_upstreams(offer) and self._may_ask(peer, now_s):
            fetch = self._fetch_upstreams(offer, at_once=at_once)
            task = self._loop.create_task(self._guard(offer, fetch, self._upstream_pauses))
            self._fetching_upstreams[peer] = task
            self._asked_s = now_s
            task.add_done_callback(lambda _: self._fetching_upstreams.pop(peer))
        paused = self._config_pauses.holds(peer, now_s)
        if self._fetching_config is None and self._has_newer_config(offer) and not paused:
            fetch = self._fetch_config(offer, at_once=at_once)
            guarded = self._guard(offer, fetch, self._config_pauses)
            self._fetching_config = self._loop.create_task(guarded)
            self._fetching_config.add_done_callback(self._config_fetched)

    def _may_ask(self, peer: str, now_s: float) -> bool:
        """Return whether a peer may be asked for changes, beside those that have not answered."""
        asked = self._fetching_upstreams
        if peer in asked or self._upstream_pauses.holds(peer, now_s):
            return False
        if not asked:
            return True
        # Whole lists, which are told at the start, would only fill the link.
        overtakes = self._view.upstreams.revision > 0 and now_s - self._asked_s > _OVERTAKE_S
        return overtakes and len(asked) < _ASKED_MAX

    def _fetch_whole_if_due(self, offer: StateOffer) -> None:
        """Ask for all upstreams of a peer whose changes have just been taken."""
        if self._fetching_whole is None and self._loop.time() > self._whole_due_s:
            fetch = self._fetch_whole(offer)
            guarded = self._guard(offer, fetch, None)
            self._fetching_whole = self._loop.create_task(guarded)
            self._fetching_whole.add_done_callback(self._whole_fetched)

    def _whole_fetched(self, _: asyncio.Task[None]) -> None:
        self._fetching_whole = None

    def _config_fetched(self, _: asyncio.Task[None]) -> None:
        self._fetching_config = None

    async def _guard(
        self, offer: StateOffer, fetch: Coroutine[Any, Any, None], pauses: _Pauses | None
    ) -> None:
        """Log the failure of a fetch; the next offer begins another one."""
        try:
            await fetch
        except Exception as error:
            self.fetches_failed += 1
            if pauses is not None:
                pauses.failed(offer.address, self._loop.time())
            self._log.event(
                "fetch_failed",
                peer=offer.address,
                config_version=offer.config_version,
                upstreams_revision=offer.upstreams_revision,
                cause=repr(error),
            )

    def _has_newer_upstreams(self, offer: StateOffer) -> bool:
        return offer.upstreams_revision > self._view.upstreams.revision

    def _has_newer_config(self, offer: StateOffer) -> bool:
        return offer.config_version > self._view.config_version

    async def _wait_for_turn(self, offer: StateOffer, *, at_once: bool) -> None:
        if at_once or not self._view.ready:
            return
        own_zone = offer.availability_zone == self._settings.availability_zone
        delay_s = 0.0 if own_zone else _OTHER_ZONE_DELAY_S
        await asyncio.sleep(delay_s + self._rng.random() * _SPREAD_S)

    @contextlib.asynccontextmanager
    async def _connected(self, address: str) -> AsyncIterator[_Peer]:
        async with asyncio.timeout(_SILENCE_S):
            streams = await asyncio.open_connection(address, self._settings.peer_port)
        peer = _Peer(*streams)
        try:
            yield peer
        finally:
            self.fetched_bytes += peer.received_bytes
            peer.writer.close()

    async def _fetch_upstreams(self, offer: StateOffer, *, at_once: bool) -> None:
        await self._wait_for_turn(offer, at_once=at_once)
        if not self._has_newer_upstreams(offer):
            return
        known = self._view.upstreams.revision
        question = UpstreamsQuestion(known, with_doubts=known == 0)
        async with self._connected(offer.address) as peer:
            self._take_reply(offer, await peer.ask(question, decode_upstreams))
        self._fetch_whole_if_due(offer)

    async def _fetch_whole(self, offer: StateOffer) -> None:
        """Fetch all upstreams; where it fails, changes go on and the next interval begins."""
        self._put_off_whole()
        async with self._connected(offer.address) as peer:
            question = UpstreamsQuestion(0, with_doubts=False)
            self._take_reply(offer, await peer.ask(question, decode_upstreams))

    def _put_off_whole(self) -> None:
        spread = 1.0 + (self._rng.random() - 0.5) * _WHOLE_SPREAD
        self._whole_due_s = self._loop.time() + _WHOLE_INTERVAL_S * spread

    def _take_reply(self, offer: StateOffer, reply: UpstreamsReply) -> None:
        view = self._view
        source = f"peer {offer.address}"
        view.adopt_doubts(reply.doubts)
        if reply.upstreams is not None:
            self._put_off_whole()
            view.take_upstreams(reply.upstreams, reply.revision, source)
        if reply.changes is not None:
            view.change_upstreams(dict(reply.changes), reply.revision, source)

    async def _fetch_config(self, offer: StateOffer, *, at_once: bool) -> None:
        await self._wait_for_turn(offer, at_once=at_once)
        async with self._connected(offer.address) as peer:
            for _ in range(_OUTLINES_MAX):
                if not self._has_newer_config(offer):
                    return
                config = await self._collect(peer)
                source = f"peer {offer.address}"
                if config is not None and not self._view.take_config(config, source):
                    return

    async def _collect(self, peer: _Peer) -> PartedConfig | None:
        """Fetch what is missing of a peer's configuration; None where it has moved on meanwhile."""
        own = self._view.configs.parted
        base = own.digest if own is not None else 0
        outline = await peer.ask(OutlineQuestion(base), decode_outline)
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
        try:
            while True:
                decoded = decode_question(await read_frame(reader, _NEXT_QUESTION_S))
                if isinstance(decoded, Err):
                    return
                write_frame(writer, self._reply_to(decoded.ok_value))
                async with asyncio.timeout(_NEXT_QUESTION_S):
                    await writer.drain()
        except (TimeoutError, OSError, EOFError, ValueError):
            # The asker closed the connection, or tells of its failure; here nothing has changed.
            return
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    def _reply_to(self, question: Question) -> bytes:
        match question:
            case UpstreamsQuestion():
                return self._upstreams_reply(question)
            case OutlineQuestion(base):
                return self._outline_reply(base)
            case PartsQuestion(wanted):
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
        # A drop goes with no revision; a reply from before it would list what was dropped.
        return self._replies.get((view.upstreams.edition, asked), make)

    def _outline_reply(self, base: int) -> bytes:
        config = self._view.configs.parted
        if config is None:
            return encode_outline(ConfigOutline(b"", 0, 0, {}))
        known = self._view.configs.outlines
        return self._replies.get(
            (config.digest, base), lambda: encode_outline(known.outline(config, base))
        )

    def _parts_reply(self, wanted: Mapping[int, int]) -> bytes:
        config = self._view.configs.parted
        held = config.parts if config is not None else ()
        # What has been replaced since the outline is left out: the asker asks for another one.
        parts = [
            held[number]
            for number, digest in wanted.items()
            if held and held[number].digest == digest
        ]
        key = tuple(part.digest for part in parts)
        return self._replies.get(key, lambda: encode_parts(parts))
