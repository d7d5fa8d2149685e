"""Answers that come twice, late, in pieces, broken off, or run together with others."""

import asyncio
import enum
import random
import socket
import struct
import weakref
from collections.abc import Callable
from dataclasses import dataclass, field

from scaffolding.platform.sent_answer import SentAnswer, next_seal

#: Pause before an answer that comes late, which the next request may precede.
_LATE_MIN_S, _LATE_MAX_S = 0.001, 0.02
#: Pause that keeps two writes from being received together, mostly.
_SEGMENT_PAUSE_S = 0.002


class Extra(enum.Enum):
    """Whose answer an additional answer is."""

    #: That of the request before on the same connection; of another one on a new connection.
    EARLIER = "earlier"
    #: That of a request that this connection never carried.
    ANOTHER = "another"
    #: That of the same request, a second time.
    AGAIN = "again"


class Moment(enum.Enum):
    """When an additional answer is sent."""

    #: In one write behind the answer.
    WITH_ANSWER = "with the answer"
    #: Before the answer, in one write or just before.
    BEFORE_ANSWER = "before the answer"
    #: A moment after the answer, when the connection is idle or carries the next request.
    LATER = "later"


class Cut(enum.Enum):
    """The part of an answer in which it breaks off, at a drawn byte."""

    STATUS_LINE = "status line"
    #: The header fields before the one with the attempt's id.
    BEFORE_ID = "before the id"
    #: The rest of the head after the id.
    AFTER_ID = "after the id"
    BODY = "body"
    ANYWHERE = "anywhere"


class AfterCut(enum.Enum):
    """What follows where the answer to the request itself breaks off."""

    CLOSED = "closed"
    KEPT_OPEN = "kept open"
    #: A whole additional answer.
    CONTINUED = "continued"


class Framing(enum.Enum):
    """What tells where a body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    #: The end of the connection.
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Stutter:
    """A kind of stuttering."""

    #: Share of the answers that it befalls.
    share: float = 1 / 3
    #: Share of the answers that are failures.
    failing_share: float = 1 / 15
    #: Whose answer is sent in addition; None for no additional answer.
    extra: Extra | None = None
    #: When it is sent.
    moment: Moment = Moment.WITH_ANSWER
    #: Where it breaks off, as a part or as a number of bytes; None if it is whole.
    cut: Cut | int | None = None
    #: Where the answer to the request itself breaks off.
    answer_cut: Cut | int | None = None
    #: What follows there.
    after_cut: AfterCut = AfterCut.CLOSED
    #: The framing of the answers to the requests themselves. Additional answers have a length or
    #: chunks, since nothing could follow them otherwise.
    framing: Framing = Framing.LENGTH
    #: The framing of additional answers.
    extra_framing: Framing = Framing.LENGTH
    #: Whether each byte is written alone.
    byte_by_byte: bool = False


def draw_stutter(rng: random.Random) -> Stutter:
    """Return a random kind of stuttering."""
    breaks_off = rng.random() < 0.3
    return Stutter(
        extra=rng.choice(list(Extra)),
        moment=rng.choice(list(Moment)),
        cut=rng.choice([None, *Cut]),
        answer_cut=rng.choice(list(Cut)) if breaks_off else None,
        after_cut=rng.choice(list(AfterCut)),
        framing=rng.choice([Framing.LENGTH, Framing.LENGTH, Framing.CHUNKS, Framing.CLOSE]),
        extra_framing=rng.choice([Framing.LENGTH, Framing.CHUNKS]),
        byte_by_byte=rng.random() < 0.2,
    )


@dataclass(slots=True)
class Stutterer:
    """Sends the answers of a backend that stutters.

    What befalls an answer depends on the seed and the client attempt alone.
    """

    #: The kind of stuttering.
    stutter: Stutter
    #: The seed of what is drawn for each answer.
    seed: int = 1
    #: Number of answers that were affected.
    count: int = 0
    #: The last answer on each connection, with its attempt's id.
    _last: weakref.WeakKeyDictionary[asyncio.StreamWriter, tuple[str, SentAnswer]] = field(
        default_factory=weakref.WeakKeyDictionary
    )

    async def respond(
        self,
        writer: asyncio.StreamWriter,
        attempt: str,
        body: bytes,
        record: Callable[[str, SentAnswer], None],
    ) -> bool:
        """Send the answer to an attempt; return whether the connection stays open."""
        stutter, rng = self.stutter, random.Random(f"{self.seed} {attempt}")
        is_failure = rng.random() < stutter.failing_share
        is_affected = rng.random() < stutter.share
        answer = SentAnswer(
            500 if is_failure else 200, b"failed" if is_failure else body, next_seal()
        )
        message = _encode(answer, attempt, stutter.framing)
        if not is_affected:
            record(attempt, answer)
            self._last[writer] = attempt, answer
            writer.write(message)
            return stutter.framing is not Framing.CLOSE
        self.count += 1
        extra = self._extra(writer, attempt, answer, rng)
        self._last[writer] = attempt, answer
        if stutter.answer_cut is not None:
            record(attempt, SentAnswer(answer.status, answer.body, answer.seal, is_whole=False))
            return await self._break_off(writer, message, extra, rng)
        record(attempt, answer)
        await self._write_with(writer, message, extra, rng)
        return stutter.framing is not Framing.CLOSE

    def _extra(
        self, writer: asyncio.StreamWriter, attempt: str, answer: SentAnswer, rng: random.Random
    ) -> bytes:
        """Return the additional answer; empty if there is none."""
        match self.stutter.extra:
            case None:
                return b""
            case Extra.AGAIN:
                whose = attempt, answer
            case Extra.EARLIER if writer in self._last:
                whose = self._last[writer]
            case _:
                stated = SentAnswer(200, b"of another", next_seal())
                whose = f"other-{rng.getrandbits(32):08x}", stated
        return _encode(whose[1], whose[0], self.stutter.extra_framing)

    async def _write_with(
        self, writer: asyncio.StreamWriter, message: bytes, extra: bytes, rng: random.Random
    ) -> None:
        """Write an answer and the additional one, which may break off."""
        if extra and self.stutter.cut is not None:
            extra = extra[: _cut_at(extra, self.stutter.cut, rng)]
        match self.stutter.moment:
            case Moment.WITH_ANSWER:
                await self._write(writer, message + extra)
            case Moment.BEFORE_ANSWER if rng.random() < 0.5:
                await self._write(writer, extra + message)
            case Moment.BEFORE_ANSWER:
                await self._write(writer, extra)
                await asyncio.sleep(_SEGMENT_PAUSE_S)
                await self._write(writer, message)
            case Moment.LATER:
                await self._write(writer, message)
                await asyncio.sleep(rng.uniform(_LATE_MIN_S, _LATE_MAX_S))
                await self._write(writer, extra)

    async def _break_off(
        self, writer: asyncio.StreamWriter, message: bytes, extra: bytes, rng: random.Random
    ) -> bool:
        """Write a part of the answer and what follows; return whether the connection stays open."""
        assert self.stutter.answer_cut is not None
        begin = message[: _cut_at(message, self.stutter.answer_cut, rng)]
        match self.stutter.after_cut:
            case AfterCut.CONTINUED:
                await self._write(writer, begin + extra)
                return self.stutter.framing is not Framing.CLOSE
            case AfterCut.KEPT_OPEN:
                await self._write(writer, begin)
                return True
            case AfterCut.CLOSED:
                await self._write(writer, begin)
                if self.stutter.framing is Framing.CLOSE:
                    # A clean end would make the part a whole answer.
                    await asyncio.sleep(_SEGMENT_PAUSE_S)
                    _reset(writer)
                return False

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self.stutter.byte_by_byte:
            writer.write(data)
            return
        for number in range(len(data)):
            if writer.is_closing():
                return
            writer.write(data[number : number + 1])
            await asyncio.sleep(0)


def _encode(answer: SentAnswer, attempt: str, framing: Framing) -> bytes:
    rows = {
        "Server": "stand-in of a backend",
        "X-Egretrail-Attempt-Id": attempt,
        **_framing_fields(framing, len(answer.body)),
        "X-Egretrail-Response-Seal": answer.seal,
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    body = answer.body
    if framing is Framing.CHUNKS:
        middle = len(body) // 2
        chunks = [one for one in (body[:middle], body[middle:]) if one] + [b""]
        body = b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in chunks)
    return f"HTTP/1.1 {answer.status} Status\r\n{head}\r\n".encode() + body


def _framing_fields(framing: Framing, length: int) -> dict[str, str]:
    match framing:
        case Framing.LENGTH:
            return {"Content-Length": str(length)}
        case Framing.CHUNKS:
            return {"Transfer-Encoding": "chunked"}
        case Framing.CLOSE:
            return {"Connection": "close"}


def _cut_at(message: bytes, cut: Cut | int, rng: random.Random) -> int:
    """Return the number of bytes after which a message breaks off; at least one, never all."""
    if isinstance(cut, int):
        return max(1, min(cut, len(message) - 1))
    line_end = message.index(b"\r\n")
    id_begin = message.index(b"X-Egretrail-Attempt-Id")
    id_end = message.index(b"\r\n", id_begin)
    head_end = message.index(b"\r\n\r\n") + 4
    bounds = {
        Cut.STATUS_LINE: (1, line_end + 1),
        Cut.BEFORE_ID: (line_end + 2, id_begin),
        Cut.AFTER_ID: (id_end, head_end),
        Cut.BODY: (head_end, len(message)),
        Cut.ANYWHERE: (1, len(message)),
    }
    return rng.randrange(*bounds[cut])


def _reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset, which no receiver takes for a clean end."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
