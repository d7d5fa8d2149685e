"""The peers' streams: fetching a newer configuration or list of upstreams, and giving it."""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from result import Err

from egretrail.cluster import (
    FetchReply,
    FetchRequest,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from egretrail.gateway._interfaces import GatewaySettings, StoreLayout
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView

#: A reply of some hundred kilobytes inside a zone takes milliseconds.
_FETCH_TIMEOUT_S = 0.7
_FRAME_BYTES_MAX = 16 * 1024 * 1024
#: State of another zone's instance is fetched only if nobody of the own zone had it by then.
_OTHER_ZONE_DELAY_S = 0.15


#: Instances that hear of a newer state at the same moment ask within this time, so that the one
#: that has it serves a zone of 70 one after the other.
_SPREAD_S = 0.04
#: All upstreams are fetched this often, in place of changes: what two instances held apart at the
#: same revision is joined then.
_WHOLE_INTERVAL_S = 10.0
#: Connections that wait to be taken: a whole zone may ask at once.
_BACKLOG = 512


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


class StateExchange:
    """Fetches what a peer knows and this instance does not, one peer at a time."""

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        layout: StoreLayout,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._layout = layout
        self._log = log
        self._rng = rng
        #: The last reply and the states that it was made from and for.
        self._reply: tuple[tuple[int, int, int, int], bytes] | None = None
        self._loop = asyncio.get_running_loop()
        self._fetching: asyncio.Task[None] | None = None
        #: When all upstreams were fetched last.
        self._whole_s = float("-inf")
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen for peers' questions."""
        address = (self._settings.ip, self._settings.peer_port)
        self._server = await asyncio.start_server(self._serve, *address, backlog=_BACKLOG)

    def fetch_if_newer(self, offer: StateOffer, *, at_once: bool = False) -> None:
        """Ask a peer for its state where it is newer, at once where others will ask this one."""
        if self._fetching is None and self._is_newer(offer):
            self._fetching = self._loop.create_task(self._fetch(offer, at_once=at_once))
            self._fetching.add_done_callback(self._fetched)

    def _fetched(self, task: asyncio.Task[None]) -> None:
        self._fetching = None
        if not task.cancelled() and task.exception() is not None:
            self._log.event("fetch_failed", peer="", cause=repr(task.exception()))

    def _is_newer(self, offer: StateOffer) -> bool:
        view = self._view
        version = view.config_version
        newer_upstreams = offer.upstreams_revision > view.upstreams.revision
        return offer.config_version > version or newer_upstreams

    async def _fetch(self, offer: StateOffer, *, at_once: bool) -> None:
        if not at_once and self._view.ready:
            own_zone = offer.availability_zone == self._settings.availability_zone
            delay_s = 0.0 if own_zone else _OTHER_ZONE_DELAY_S
            await asyncio.sleep(delay_s + self._rng.random() * _SPREAD_S)
            if not self._is_newer(offer):
                return
        reply = await self._ask(offer.address)
        if reply is None:
            return
        source = f"peer {offer.address}"
        self._view.adopt_doubts(reply.doubts)
        if reply.config is not None:
            decoded = self._layout.decode_config(reply.config)
            if isinstance(decoded, Err):
                self._log.event("config_refused", source=source, cause=decoded.err_value)
            else:
                self._view.take_config(reply.config, decoded.ok_value, source)
        if reply.upstreams is not None:
            self._whole_s = self._loop.time()
            self._view.take_upstreams(reply.upstreams, reply.upstreams_revision, source)
        if reply.changes is not None:
            self._view.change_upstreams(dict(reply.changes), reply.upstreams_revision, source)

    async def _ask(self, peer: str) -> FetchReply | None:
        view = self._view
        version = view.config_version
        whole_due = self._loop.time() - self._whole_s > _WHOLE_INTERVAL_S
        question = FetchRequest(version, 0 if whole_due else view.upstreams.revision)
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

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                decoded = decode_request(await _read_frame(reader))
                if isinstance(decoded, Err):
                    return
                asked = decoded.ok_value
                _write_frame(writer, self._reply_to(asked))
                await writer.drain()
                # The asker closes first, so that its last bytes are read.
                await reader.read(1)
        except (TimeoutError, OSError, EOFError, ValueError):
            # The asker tells of its failure; here nothing has changed.
            return
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    def _reply_to(self, asked: FetchRequest) -> bytes:
        """Return the reply, made once for all that ask with the same state."""
        view = self._view
        version = view.config_version
        revision = view.upstreams.revision
        made_for = (version, revision, asked.config_version, asked.upstreams_revision)
        if self._reply is not None and self._reply[0] == made_for and asked.config_version:
            return self._reply[1]
        newer = revision > asked.upstreams_revision
        changes = view.upstreams.changes_since(asked.upstreams_revision) if newer else None
        reply = FetchReply(
            config=view.config_value if version > asked.config_version else None,
            upstreams_revision=revision,
            upstreams=list(view.upstreams) if newer and changes is None else None,
            changes=changes,
            doubts=view.doubts() if asked.config_version == 0 else (),
        )
        encoded = encode_reply(reply)
        self._reply = (made_for, encoded)
        return encoded


def _write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(len(data).to_bytes(4, "big") + data)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    size_bytes = int.from_bytes(await reader.readexactly(4), "big")
    if size_bytes > _FRAME_BYTES_MAX:
        raise ValueError(f"frame of {size_bytes} bytes")
    return await reader.readexactly(size_bytes)
