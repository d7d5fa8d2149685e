"""Peer streams over TCP: length-prefixed msgpack frames after mutual authentication by fleet key.

Each instance keeps one outgoing stream to each peer that it sends to, and replies on the stream
that a request arrived on. After a protocol error a stream is closed; the next message opens a new
one.
"""

import asyncio
import hashlib
import hmac
import secrets
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgpack
import structlog
from result import Err, Ok, Result

from egretrail.identity import Incarnation, InstanceName
from egretrail.peer._errors import PeerFailure, PeerUnreachable, PeerUnresponsive
from egretrail.peer._network import Handler, PeerNetwork
from egretrail.wire import (
    PROTOCOL_VERSION,
    Frame,
    FrameKind,
    Message,
    decode_frame,
    encode_frame,
)

M = TypeVar("M", bound=Message)
R = TypeVar("R", bound=Message)

#: Resolves the address of a peer; returns None if the instance is unknown.
Directory = Callable[[InstanceName], tuple[str, int] | None]

_LENGTH = struct.Struct(">I")
_NONCE_BYTES = 16
_HANDSHAKE_LIMIT_BYTES = 4096
_log = structlog.get_logger()


class _StreamError(Exception):
    """A stream violated the framing rules or failed the handshake."""


@dataclass(slots=True)
class _Stream:
    #: The connection's reader and writer.
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    #: Pending replies by exchange id.
    pending_replies: dict[int, asyncio.Future[Message]] = field(default_factory=dict)
    #: The task that reads replies until the stream ends.
    task: asyncio.Task[None] | None = None


class TcpPeerNetwork(PeerNetwork):
    """Peer streams of one instance: a listener, and outgoing streams opened on first use."""

    def __init__(
        self,
        own: Incarnation,
        fleet_key: bytes,
        directory: Directory,
        frame_limit_bytes: int,
        connect_timeout_s: float = 1.0,
    ) -> None:
        self._own = own
        self._fleet_key = fleet_key
        self._directory = directory
        self._frame_limit_bytes = frame_limit_bytes
        self._connect_timeout_s = connect_timeout_s
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self._streams: dict[InstanceName, _Stream] = {}
        self._open_locks: dict[InstanceName, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepted_writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._last_exchange_id = 0

    async def start(self, host: str, port: int) -> int:
        """Listen for peers; return the port, which the system chooses if ``port`` is 0."""
        self._server = await asyncio.start_server(self._serve_stream, host, port)
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    async def stop(self) -> None:
        """Close the listener and every stream."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams.values()):
            stream.writer.close()
        for writer in list(self._accepted_writers):
            writer.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def on(self, cls: type[M], handler: Handler[M]) -> None:
        """Register ``handler`` for messages of type ``cls``."""
        self._handlers[cls] = handler

    async def ask(
        self, peer: InstanceName, body: Message, reply_type: type[R], timeout_s: float
    ) -> Result[R, PeerFailure]:
        """Send a message and wait for its reply for at most ``timeout_s``."""
        opened = await self._stream_to(peer, timeout_s)
        if isinstance(opened, Err):
            return opened
        stream = opened.ok_value
        self._last_exchange_id += 1
        exchange_id = self._last_exchange_id
        reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        stream.pending_replies[exchange_id] = reply
        try:
            _write(stream.writer, Frame(FrameKind.ASK, exchange_id, body))
            answer = await asyncio.wait_for(reply, timeout_s)
        except (TimeoutError, OSError):
            return Err(PeerUnresponsive(peer, timeout_s))
        finally:
            stream.pending_replies.pop(exchange_id, None)
        if not isinstance(answer, reply_type):
            return Err(PeerUnresponsive(peer, timeout_s))
        return Ok(answer)

    def send(self, peer: InstanceName, body: Message) -> None:
        """Send a message without waiting; it is dropped if the peer cannot be reached."""
        stream = self._streams.get(peer)
        if stream is not None:
            _write(stream.writer, Frame(FrameKind.NOTIFY, 0, body))
            return
        self._spawn(self._open_and_send(peer, body))

    async def _open_and_send(self, peer: InstanceName, body: Message) -> None:
        opened = await self._stream_to(peer, self._connect_timeout_s)
        if isinstance(opened, Ok):
            _write(opened.ok_value.writer, Frame(FrameKind.NOTIFY, 0, body))

    async def _stream_to(
        self, peer: InstanceName, timeout_s: float
    ) -> Result[_Stream, PeerUnreachable]:
        lock = self._open_locks.setdefault(peer, asyncio.Lock())
        async with lock:
            stream = self._streams.get(peer)
            if stream is not None:
                return Ok(stream)
            address = self._directory(peer)
            if address is None:
                return Err(PeerUnreachable(peer, "the peer's address is unknown"))
            try:
                limit_s = min(timeout_s, self._connect_timeout_s)
                stream = await asyncio.wait_for(self._open(peer, *address), limit_s)
            except (TimeoutError, OSError, _StreamError, EOFError) as error:
                return Err(PeerUnreachable(peer, repr(error)))
            self._streams[peer] = stream
            stream.task = self._spawn(self._read_replies(peer, stream))
            return Ok(stream)

    async def _open(self, peer: InstanceName, host: str, port: int) -> _Stream:
        reader, writer = await asyncio.open_connection(host, port)
        try:
            server_nonce = _byte_field(await _read_handshake(reader), "nonce")
            nonce = secrets.token_bytes(_NONCE_BYTES)
            proof = self._proof(b"client", server_nonce, nonce, self._own)
            _write_handshake(
                writer,
                {
                    "version": PROTOCOL_VERSION,
                    "instance": self._own.instance,
                    "number": self._own.number,
                    "nonce": nonce,
                    "proof": proof,
                },
            )
            welcome = await _read_handshake(reader)
            theirs = _sender_incarnation(welcome)
            expected = self._proof(b"server", nonce, server_nonce, theirs)
            if not hmac.compare_digest(expected, _byte_field(welcome, "proof")):
                raise _StreamError("the accepting peer's proof does not match the fleet key")
            if theirs.instance != peer:
                raise _StreamError(f"the address belongs to instance {theirs.instance}")
        except BaseException:
            writer.close()
            raise
        return _Stream(reader, writer)

    async def _read_replies(self, peer: InstanceName, stream: _Stream) -> None:
        try:
            while True:
                frame = await self._read_frame(stream.reader)
                pending_reply = stream.pending_replies.get(frame.exchange_id)
                if (
                    frame.kind is FrameKind.REPLY
                    and pending_reply is not None
                    and not pending_reply.done()
                ):
                    pending_reply.set_result(frame.body)
        except (OSError, EOFError, _StreamError) as error:
            _log.info("peer_stream_closed", peer=peer, cause=repr(error))
        finally:
            if self._streams.get(peer) is stream:
                del self._streams[peer]
            stream.writer.close()
            for pending_reply in stream.pending_replies.values():
                if not pending_reply.done():
                    pending_reply.set_exception(ConnectionResetError())

    async def _serve_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted_writers.add(writer)
        try:
            sender = await asyncio.wait_for(
                self._authenticate(reader, writer), self._connect_timeout_s * 2
            )
            while True:
                frame = await self._read_frame(reader)
                self._spawn(self._handle(sender, frame, writer))
        except (TimeoutError, OSError, EOFError, _StreamError) as error:
            _log.info("peer_stream_ended", cause=repr(error))
        except asyncio.CancelledError:
            pass
        finally:
            self._accepted_writers.discard(writer)
            writer.close()

    async def _authenticate(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Incarnation:
        nonce = secrets.token_bytes(_NONCE_BYTES)
        _write_handshake(writer, {"nonce": nonce})
        hello = await _read_handshake(reader)
        sender = _sender_incarnation(hello)
        client_nonce = _byte_field(hello, "nonce")
        expected = self._proof(b"client", nonce, client_nonce, sender)
        if not hmac.compare_digest(expected, _byte_field(hello, "proof")):
            raise _StreamError("the connecting peer's proof does not match the fleet key")
        if hello.get("version") != PROTOCOL_VERSION:
            raise _StreamError(
                f"protocol version {hello.get('version')!r}, expected {PROTOCOL_VERSION}"
            )
        proof = self._proof(b"server", client_nonce, nonce, self._own)
        _write_handshake(
            writer,
            {"instance": self._own.instance, "number": self._own.number, "proof": proof},
        )
        return sender

    async def _handle(
        self, sender: Incarnation, frame: Frame, writer: asyncio.StreamWriter
    ) -> None:
        handler = self._handlers.get(type(frame.body))
        if handler is None:
            return
        try:
            reply = await handler(sender, frame.body)
        except Exception:
            _log.exception("peer_handler_failed", message=type(frame.body).__name__)
            return
        if frame.kind is FrameKind.ASK and reply is not None and not writer.is_closing():
            _write(writer, Frame(FrameKind.REPLY, frame.exchange_id, reply))

    async def _read_frame(self, reader: asyncio.StreamReader) -> Frame:
        (size_bytes,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if size_bytes > self._frame_limit_bytes:
            raise _StreamError(f"frame of {size_bytes} bytes exceeds the limit")
        decoded = decode_frame(await reader.readexactly(size_bytes))
        if isinstance(decoded, Err):
            raise _StreamError(str(decoded.err_value))
        return decoded.ok_value

    def _proof(
        self, side: bytes, first_nonce: bytes, second_nonce: bytes, incarnation: Incarnation
    ) -> bytes:
        text = b"\x00".join([side, first_nonce, second_nonce, str(incarnation).encode()])
        return hmac.new(self._fleet_key, text, hashlib.sha256).digest()

    def _spawn(self, coroutine: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _write(writer: asyncio.StreamWriter, frame: Frame) -> None:
    data = encode_frame(frame)
    writer.write(_LENGTH.pack(len(data)) + data)


def _write_handshake(writer: asyncio.StreamWriter, document: dict[str, object]) -> None:
    data = msgpack.packb(document)
    writer.write(_LENGTH.pack(len(data)) + data)


async def _read_handshake(reader: asyncio.StreamReader) -> dict[str, Any]:
    (size_bytes,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if size_bytes > _HANDSHAKE_LIMIT_BYTES:
        raise _StreamError(f"handshake of {size_bytes} bytes exceeds the limit")
    try:
        document = msgpack.unpackb(await reader.readexactly(size_bytes))
    except (ValueError, msgpack.UnpackException) as error:
        raise _StreamError("the handshake is not msgpack") from error
    if not isinstance(document, dict):
        raise _StreamError("the handshake is not a map")
    return document


def _byte_field(document: dict[str, Any], name: str) -> bytes:
    value = document.get(name)
    if not isinstance(value, bytes):
        raise _StreamError(f"the handshake has no byte field {name!r}")
    return value


def _sender_incarnation(document: dict[str, Any]) -> Incarnation:
    instance, number = document.get("instance"), document.get("number")
    if not isinstance(instance, str) or not isinstance(number, int):
        raise _StreamError("the handshake has no valid sender")
    return Incarnation(InstanceName(instance), number)
