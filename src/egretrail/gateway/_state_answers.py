"""Answers what peers ask of this instance's upstreams and configuration."""

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from result import Err

from egretrail.cluster import (
    ConfigOutline,
    OutlineQuestion,
    PartsQuestion,
    Question,
    Referral,
    UpstreamsQuestion,
    UpstreamsReply,
    decode_question,
    encode_outline,
    encode_parts,
    encode_referral,
    encode_upstreams,
)
from egretrail.gateway._fetch_places import FetchPlaces
from egretrail.gateway._frames import read_frame, write_frame
from egretrail.gateway._view import FleetView

T = TypeVar("T")

#: A peer that asked once keeps its connection for the next question for this long.
_NEXT_QUESTION_S = 2.0
#: Whoever lacks less of a configuration is sent it at once.
_SMALL_BYTES = 65_536
#: Replies that are kept for others with the same question, some kilobytes each.
_REPLIES_MAX = 32


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


class StateAnswers:
    """Serves the connections of peers that ask."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._replies: _Replies[bytes] = _Replies()
        #: Outlines, and whether they lack much.
        self._outlines: _Replies[tuple[bytes, bool]] = _Replies()
        self._places = FetchPlaces(asyncio.get_running_loop().time, self._zone_of, self._held)
        self._visits = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the questions on one connection until it ends."""
        self._visits += 1
        visit = self._visits
        try:
            while True:
                decoded = decode_question(await read_frame(reader, _NEXT_QUESTION_S))
                if isinstance(decoded, Err):
                    return
                write_frame(writer, await self.reply_to(decoded.ok_value, visit))
                async with asyncio.timeout(_NEXT_QUESTION_S):
                    await writer.drain()
        except (TimeoutError, OSError, EOFError, ValueError):
            # The asker closed the connection, or tells of its failure; here nothing has changed.
            return
        finally:
            self._places.leave(visit)
            with contextlib.suppress(OSError):
                writer.close()

    async def reply_to(self, question: Question, visit: int) -> bytes:
        """Return the reply to a question on a connection of a number."""
        match question:
            case UpstreamsQuestion():
                return self.upstreams_reply(question)
            case OutlineQuestion():
                return await self._outline_reply(question, visit)
            case PartsQuestion(wanted):
                self._places.keep(visit)
                return self._parts_reply(wanted)

    def upstreams_reply(self, asked: UpstreamsQuestion) -> bytes:
        """Return what changed of the upstreams, or all of them."""
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

    async def _outline_reply(self, asked: OutlineQuestion, visit: int) -> bytes:
        reply, much = self._outline(asked.base)
        if not much:
            config = self._view.configs.parted
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
        config = self._view.configs.parted
        if config is None:
            return encode_outline(ConfigOutline(b"", 0, 0, {})), False

        def make() -> tuple[bytes, bool]:
            outline = self._view.configs.outlines.outline(config, base)
            lacking_bytes = sum(len(config.parts[number].packed) for number in outline.changed)
            return encode_outline(outline), lacking_bytes > _SMALL_BYTES

        return self._outlines.get((config.digest, base), make)

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

    def _held(self) -> int:
        config = self._view.configs.parted
        return 0 if config is None else config.digest

    def _zone_of(self, address: str) -> str | None:
        instance = self._view.membership.named(address)
        return None if instance is None else instance.availability_zone
