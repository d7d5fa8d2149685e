"""The peers' protocol: datagrams with heartbeats and news, streams that fetch state."""

import asyncio
import contextlib
import random
from collections.abc import Sequence

import xxhash
from result import Err

from egretrail.cluster import (
    BEAT_INTERVAL_S,
    Beat,
    Datagram,
    FetchReply,
    FetchRequest,
    Path,
    Peer,
    Relay,
    decode_datagram,
    decode_reply,
    decode_request,
    encode_datagrams,
    encode_reply,
    encode_request,
)
from egretrail.gateway._interfaces import GatewaySettings, StoreLayout
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView

#: News wait this long for more news, so that a burst of requests makes one datagram. In a zone of
#: more instances than this they wait longer in proportion, so that what each instance receives
#: stays within 800 datagrams a second.
_BATCH_S = 0.02
_BATCH_INSTANCES = 16
#: The instance that spreads a beat in another zone changes this often, so that one that has just
#: died is passed by with the next beat.
_SPREADER_TURN_S = 0.3
#: Seeds are told of this instance with each beat until so many peers are known, and with its first
#: beats, which follow each other sooner: an instance that has just started serves once it has
#: learned the configuration from a peer.
_SEEDED_PEERS = 3
_FIRST_BEATS = 6
_FIRST_INTERVAL_S = 0.06
#: Later one seed is told now and then, which joins two parts of a fleet that lost each other.
_SEED_INTERVAL_BEATS = 8
#: Instances that introduce a newcomer to their zone: each may know a part of it.
_INTRODUCERS = 4
#: The same instance is introduced again after this time. Those that were taken as gone by mistake,
#: as with full links, would else be sent the whole zone again and again.
_INTRODUCTION_INTERVAL_S = 1.0
#: Introductions that are remembered; forgetting them costs one more each.
_INTRODUCED_MAX = 1_000
#: How many beats lie between two tellings of the known instances to one of them.
_TELL_INTERVAL_BEATS = 4
_TELL_ACROSS_SHARE = 0.1
#: A reply of some hundred kilobytes inside a zone takes milliseconds.
_FETCH_TIMEOUT_S = 0.7
_FRAME_BYTES_MAX = 16 * 1024 * 1024
#: State of another zone's instance is fetched only if nobody of the own zone had it by then.
_OTHER_ZONE_DELAY_S = 0.15


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, peers: "PeerLinks") -> None:
        self._peers = peers

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._peers.received(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """An unreachable peer is seen by its silence."""


class PeerLinks:
    """Tells peers what this instance knows, and fetches what they know."""

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        layout: StoreLayout,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._settings = settings
        self._view = view
        self._layout = layout
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._relay = Relay()
        self._extra_seeds: list[str] = []
        self._beats_sent = 0
        self._last_beat: Beat | None = None
        self._flush: asyncio.TimerHandle | None = None
        self._across: asyncio.TimerHandle | None = None
        self._across_due_s = 0.0
        #: The lifetime of each instance that was introduced lately, and when.
        self._introductions: dict[str, tuple[int, float]] = {}
        self._fetching: asyncio.Task[None] | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        #: Bytes that were sent to other zones, for the metrics.
        self.bytes_across = 0
        view.on_news = self._has_news

    async def open(self) -> None:
        """Listen for datagrams and for fetches."""
        address = (self._settings.ip, self._settings.peer_port)
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=address
        )
        self._transport = transport
        self._server = await asyncio.start_server(self._serve_fetch, *address)

    async def beat_forever(self) -> None:
        """Send a beat at the interval, news or not, and drop silent peers."""
        while True:
            self._view.expire()
            self.send_beat()
            if self._beats_sent % _TELL_INTERVAL_BEATS == 0:
                self._tell_one_peer()
            first = self._beats_sent < _FIRST_BEATS
            await asyncio.sleep(_FIRST_INTERVAL_S if first else BEAT_INTERVAL_S)

    def add_seeds(self, addresses: list[str]) -> None:
        """Take addresses of instances that the store listed."""
        self._extra_seeds = [a for a in addresses if a != self._settings.ip]

    def send_beat(self) -> None:
        """Send this instance's beat to its zone now."""
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
        beat = self._last_beat = self._view.own_beat()
        self._beats_sent += 1
        targets = [*self._view.membership.zone_addresses(), *self._seeds_to_tell()]
        for data in encode_datagrams(Path.DIRECT, [beat]):
            for target in dict.fromkeys(targets):
                self._send(data, target)
        self._offer(beat)

    def received(self, data: bytes, sender: str) -> None:
        """Take a datagram."""
        decoded = decode_datagram(data)
        if isinstance(decoded, Err):
            self._log.event("datagram_dropped", peer=sender, cause=decoded.err_value)
            return
        datagram = decoded.ok_value
        if datagram.path is Path.INTRODUCED:
            self._introduced(datagram.beats)
            return
        for beat in datagram.beats:
            known = self._view.membership.knows(beat)
            peer = self._view.hear(beat)
            if peer is not None:
                self._heard(peer, datagram, sender, newcomer=not known)
        if datagram.path is Path.ACROSS:
            for relayed in encode_datagrams(Path.RELAYED, datagram.beats):
                for target in self._view.membership.zone_addresses():
                    self._send(relayed, target)

    def _introduced(self, beats: Sequence[Beat]) -> None:
        for beat in beats:
            peer = self._view.introduce(beat)
            if peer is not None:
                self._fetch_if_newer(beat)

    def _heard(self, peer: Peer, datagram: Datagram, sender: str, *, newcomer: bool) -> None:
        beat = peer.beat
        if datagram.path is Path.DIRECT:
            zone = self._settings.availability_zone
            if beat.availability_zone == zone:
                self._offer(beat)
                rank = self._view.membership.rank_for(f"introduce {beat.origin}", zone)
                if newcomer and rank < _INTRODUCERS:
                    self._introduce(beat)
            elif beat.sequence <= _FIRST_BEATS:
                self._tell(sender, self._known_beats())
            else:
                self._tell(sender, self._relay_beats())
        self._fetch_if_newer(beat)

    def _introduce(self, newcomer: Beat) -> None:
        """Tell an instance that has just started whom this one knows."""
        now_s = self._loop.time()
        incarnation, told_s = self._introductions.get(newcomer.origin, (0, float("-inf")))
        if newcomer.incarnation == incarnation and now_s - told_s < _INTRODUCTION_INTERVAL_S:
            return
        if len(self._introductions) >= _INTRODUCED_MAX:
            self._introductions.clear()
        self._introductions[newcomer.origin] = (newcomer.incarnation, now_s)
        self._tell(newcomer.origin, self._known_beats())

    def _tell(self, receiver: str, beats: Sequence[Beat]) -> None:
        """Tell an instance of others, and of this one."""
        # Not as a direct beat, which would be answered in turn; and not as a new one, whose news
        # the other instances would miss.
        own = self._last_beat or self._view.own_beat()
        for data in encode_datagrams(Path.INTRODUCED, [*beats, own]):
            self._send(data, receiver)

    def _known_beats(self) -> list[Beat]:
        return [peer.beat for peer in self._view.membership.peers()]

    def _relay_beats(self) -> list[Beat]:
        """Return the beats of each zone's relay, which suffice to find the rest."""
        membership = self._view.membership
        relays = {membership.relays(zone)[0] for zone in membership.zones() if self._has(zone)}
        return [beat for beat in self._known_beats() if beat.origin in relays]

    def _has(self, availability_zone: str) -> bool:
        return bool(self._view.membership.relays(availability_zone))

    def _tell_one_peer(self) -> None:
        """Tell one instance, chosen by chance, whom this one knows of its zone.

        Instances that start at the same moment, or on both sides of a cut, may each know a part of
        their zone. Told to one more each second, what any of them knows reaches all. Few of these
        messages go to other zones, where the bytes cost money.
        """
        zone = self._settings.availability_zone
        peers = list(self._view.membership.peers())
        near = [peer for peer in peers if peer.beat.availability_zone == zone]
        if not near or self._rng.random() < _TELL_ACROSS_SHARE:
            near = peers
        if not near:
            return
        told = self._rng.choice(near).beat
        beats = [b for b in self._known_beats() if b.availability_zone == told.availability_zone]
        self._tell(told.origin, beats)

    def _seeds_to_tell(self) -> list[str]:
        seeds = [seed for seed in self._settings.seeds if seed != self._settings.ip]
        known = sum(1 for _ in self._view.membership.peers())
        if known < _SEEDED_PEERS or self._beats_sent <= _FIRST_BEATS:
            return [*seeds, *self._extra_seeds]
        if self._beats_sent % _SEED_INTERVAL_BEATS or not seeds:
            return []
        return [seeds[self._beats_sent // _SEED_INTERVAL_BEATS % len(seeds)]]

    def _has_news(self, urgent: bool) -> None:
        if urgent and self._flush is not None:
            self._flush.cancel()
            self._flush = None
        if self._flush is None:
            crowd = max(self._view.membership.zone_size() / _BATCH_INSTANCES, 1.0)
            delay_s = 0.0 if urgent else _BATCH_S * crowd
            self._flush = self._loop.call_later(delay_s, self._flush_now)

    def _flush_now(self) -> None:
        self._flush = None
        self.send_beat()

    def _offer(self, beat: Beat) -> None:
        if self._view.membership.own_rank() != 0:
            return
        now_s = self._loop.time()
        delay_s = self._relay.offer(beat, now_s, self._view.membership.size())
        if delay_s is not None:
            self._pass_across_at(now_s + delay_s)

    def _pass_across_at(self, due_s: float) -> None:
        if self._across is not None:
            if self._across_due_s <= due_s:
                return
            self._across.cancel()
        self._across_due_s = due_s
        self._across = self._loop.call_at(due_s, self._pass_across)

    def _pass_across(self) -> None:
        self._across = None
        now_s = self._loop.time()
        beats = self._relay.take(now_s)
        membership = self._view.membership
        for zone in membership.zones() - {self._settings.availability_zone}:
            spreaders = membership.spreaders(zone)
            if spreaders:
                self._pass_to(spreaders, beats, int(now_s / _SPREADER_TURN_S))
        next_s = self._relay.next_due_s()
        if next_s is not None:
            self._pass_across_at(next_s)

    def _pass_to(self, spreaders: Sequence[str], beats: Sequence[Beat], turn: int) -> None:
        """Share beats among the instances that spread them in their zone."""
        shares: dict[str, list[Beat]] = {}
        for beat in beats:
            number = (xxhash.xxh32_intdigest(beat.origin.encode()) + turn) % len(spreaders)
            shares.setdefault(spreaders[number], []).append(beat)
        for spreader, share in shares.items():
            for data in encode_datagrams(Path.ACROSS, share):
                self.bytes_across += len(data)
                self._send(data, spreader)

    def _send(self, data: bytes, target: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (target, self._settings.peer_port))

    def _fetch_if_newer(self, beat: Beat) -> None:
        if self._fetching is None and self._is_newer(beat):
            self._fetching = self._loop.create_task(self._fetch(beat))
            self._fetching.add_done_callback(self._fetched)

    def _fetched(self, task: asyncio.Task[None]) -> None:
        self._fetching = None
        if not task.cancelled() and task.exception() is not None:
            self._log.event("fetch_failed", peer="", cause=repr(task.exception()))

    def _is_newer(self, beat: Beat) -> bool:
        view = self._view
        version = view.config.version if view.config is not None else 0
        newer_upstreams = beat.upstreams_revision > view.upstreams.revision
        return beat.config_version > version or newer_upstreams

    async def _fetch(self, beat: Beat) -> None:
        if beat.availability_zone != self._settings.availability_zone and self._view.ready:
            await asyncio.sleep(_OTHER_ZONE_DELAY_S)
            if not self._is_newer(beat):
                return
        reply = await self._ask(beat.origin)
        if reply is None:
            return
        source = f"peer {beat.origin}"
        self._view.adopt_doubts(reply.doubts)
        if reply.config is not None:
            decoded = self._layout.decode_config(reply.config)
            if isinstance(decoded, Err):
                self._log.event("config_refused", source=source, cause=decoded.err_value)
            else:
                self._view.take_config(reply.config, decoded.ok_value, source)
        if reply.upstreams is not None:
            self._view.take_upstreams(reply.upstreams, reply.upstreams_revision, source)

    async def _ask(self, peer: str) -> FetchReply | None:
        view = self._view
        version = view.config.version if view.config is not None else 0
        question = FetchRequest(version, view.upstreams.revision)
        writer = None
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                port = self._settings.peer_port
                reader, writer = await asyncio.open_connection(peer, port)
                _write_frame(writer, encode_request(question))
                decoded = decode_reply(await _read_frame(reader))
        except (TimeoutError, OSError, EOFError, ValueError) as error:
            self._log.event("fetch_failed", peer=peer, cause=repr(error))
            return None
        finally:
            if writer is not None:
                writer.close()
        if isinstance(decoded, Err):
            self._log.event("fetch_failed", peer=peer, cause=decoded.err_value)
            return None
        return decoded.ok_value

    async def _serve_fetch(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        view = self._view
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                decoded = decode_request(await _read_frame(reader))
                if isinstance(decoded, Err):
                    return
                asked = decoded.ok_value
                newer = view.config is not None and view.config.version > asked.config_version
                later = view.upstreams.revision > asked.upstreams_revision
                reply = FetchReply(
                    config=view.config_value if newer else None,
                    upstreams_revision=view.upstreams.revision,
                    upstreams=list(view.upstreams) if later else None,
                    doubts=view.doubts() if asked.config_version == 0 else (),
                )
                _write_frame(writer, encode_reply(reply))
                await writer.drain()
                # The asker closes first, so that its last bytes are read.
                await reader.read(1)
        except (TimeoutError, OSError, EOFError, ValueError):
            # The asker tells of its failure; here nothing has changed.
            return
        finally:
            with contextlib.suppress(OSError):
                writer.close()


def _write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(len(data).to_bytes(4, "big") + data)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    size_bytes = int.from_bytes(await reader.readexactly(4), "big")
    if size_bytes > _FRAME_BYTES_MAX:
        raise ValueError(f"frame of {size_bytes} bytes")
    return await reader.readexactly(size_bytes)
