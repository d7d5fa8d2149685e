"""Serves the upstreams and the configuration of this instance to peers."""

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from result import Err

from egretrail.cluster import (
    ConfigManifest,
    FetchChunks,
    FetchManifest,
    FetchMessage,
    FetchUpstreams,
    Referral,
    UpstreamsReply,
    decode_fetch,
    encode_chunks,
    encode_manifest,
    encode_referral,
    encode_upstreams,
)
from egretrail.gateway._frames import read_frame, write_frame
from egretrail.gateway._transfer_slots import TransferSlots
from egretrail.gateway._view import FleetView

T = TypeVar("T")

#: A connection is kept for the next fetch for this long.
_IDLE_S = 2.0
#: A requester that lacks less than this of a configuration needs no transfer slot.
_SMALL_BYTES = 65_536
#: The number of cached replies, of some kilobytes each.
_REPLIES_MAX = 32


@dataclass(slots=True)
class _ReplyCache(Generic[T]):
    """A cache of the last replies by request: a whole zone sends the same one."""

    _made: OrderedDict[object, T] = field(default_factory=OrderedDict)

    def get(self, key: object, make: Callable[[], T]) -> T:
        """Return the cached reply to a request, or make it."""
        reply = self._made.get(key)
        if reply is None:
            reply = self._made[key] = make()
            if len(self._made) > _REPLIES_MAX:
                self._made.popitem(last=False)
        return reply


class StateAnswers:
    """Serves the connections of peers that fetch state."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._replies: _ReplyCache[bytes] = _ReplyCache()
        #: Manifests, and whether a requester lacks much of the configuration.
        self._manifests: _ReplyCache[tuple[bytes, bool]] = _ReplyCache()
        self._slots = TransferSlots(
            asyncio.get_running_loop().time, self._zone_of, self._held_digest
        )
        self._connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the fetches on one connection until it ends."""
        self._connections += 1
        connection_id = self._connections
        try:
            while True:
                decoded = decode_fetch(await read_frame(reader, _IDLE_S))
                if isinstance(decoded, Err):
                    return
                write_frame(writer, await self.reply_to(decoded.ok_value, connection_id))
                async with asyncio.timeout(_IDLE_S):
                    await writer.drain()
        except (TimeoutError, OSError, EOFError, ValueError):
            # The requester closed the connection or sent a malformed message; no state has changed.
            return
        finally:
            self._slots.release(connection_id)
            with contextlib.suppress(OSError):
                writer.close()

    async def reply_to(self, message: FetchMessage, connection_id: int) -> bytes:
        """Return the reply to a fetch on the connection with an id."""
        match message:
            case FetchUpstreams():
                return self.upstreams_reply(message)
            case FetchManifest():
                return await self._manifest_reply(message, connection_id)
            case FetchChunks(wanted):
                self._slots.renew(connection_id)
                return self._chunks_reply(wanted)

    def upstreams_reply(self, message: FetchUpstreams) -> bytes:
        """Return the changes of the upstreams since a revision, or the whole list."""
        view = self._view
        revision = view.upstreams.revision

        def make() -> bytes:
            newer = revision > message.revision
            changes = view.upstreams.changes_since(message.revision) if newer else None
            reply = UpstreamsReply(
                revision,
                upstreams=view.upstreams.stated() if newer and changes is None else None,
                changes=changes,
                suspicions=view.suspicions() if message.with_suspicions else (),
            )
            return encode_upstreams(reply)

        if message.with_suspicions:
            # Suspicions change without a new revision, so this reply is not cached.
            return make()
        # A drop has no new revision; a reply from before it would list what was dropped.
        return self._replies.get((view.upstreams.edition, message), make)

    async def _manifest_reply(self, message: FetchManifest, connection_id: int) -> bytes:
        reply, lacks_much = self._manifest(message.base_digest)
        if not lacks_much:
            config = self._view.configs.chunked
            if config is not None and config.digest == message.base_digest and message.requester:
                self._slots.add_source(message.requester)
            return reply
        source = await self._slots.acquire(connection_id, message.requester, is_hub=message.is_hub)
        if source is not None:
            return encode_referral(Referral(source))
        # Another version may have come into force while waiting for a slot.
        return self._manifest(message.base_digest)[0]

    def _manifest(self, base: int) -> tuple[bytes, bool]:
        """Return the manifest relative to a base, and whether much is missing from that base."""
        config = self._view.configs.chunked
        if config is None:
            return encode_manifest(ConfigManifest(b"", 0, 0, {})), False

        def make() -> tuple[bytes, bool]:
            manifest = self._view.configs.manifests.manifest(config, base)
            missing_bytes = sum(
                len(config.chunks[number].packed) for number in manifest.changed_chunks
            )
            return encode_manifest(manifest), missing_bytes > _SMALL_BYTES

        return self._manifests.get((config.digest, base), make)

    def _chunks_reply(self, wanted: Mapping[int, int]) -> bytes:
        config = self._view.configs.chunked
        chunks = config.chunks if config is not None else ()
        # Chunks that were replaced since the manifest are left out; the requester fetches a new
        # manifest.
        selected = [
            chunks[number]
            for number, digest in wanted.items()
            if chunks and chunks[number].digest == digest
        ]
        key = tuple(chunk.digest for chunk in selected)
        return self._replies.get(key, lambda: encode_chunks(selected))

    def _held_digest(self) -> int:
        config = self._view.configs.chunked
        return 0 if config is None else config.digest

    def _zone_of(self, address: str) -> str | None:
        instance = self._view.membership.find_by_address(address)
        return None if instance is None else instance.availability_zone
