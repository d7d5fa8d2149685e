"""Peer streams on loopback: authentication by fleet key, size limits, and broken streams."""

import asyncio
import struct
from collections.abc import Awaitable, Callable

import msgpack
from result import Err, Ok

from egretrail.identity import Incarnation, InstanceName
from egretrail.peer import PeerUnreachable, PeerUnresponsive, TcpPeerNetwork
from egretrail.testing import EgretrailTestCase, cases
from egretrail.wire import Acknowledged, Message

_KEY = b"sixteen bytes key"
_LIMIT_BYTES = 2000
_A = Incarnation(InstanceName("a"), 1)
_B = Incarnation(InstanceName("b"), 2)

_WRONG_HELLO = msgpack.packb(
    {"version": 1, "instance": "a", "number": 1, "nonce": b"n", "proof": b"p"}
)


def _framed(data: bytes) -> bytes:
    return struct.pack(">I", len(data)) + data


Use = Callable[[TcpPeerNetwork, TcpPeerNetwork, int], Awaitable[None]]


async def _acknowledge(_sender: Incarnation, _message: Acknowledged) -> Message:
    return Acknowledged()


async def _with_pair(use: Use, key_of_a: bytes = _KEY, name_of_b: str = "b") -> None:
    ports: dict[str, int] = {}

    def address(name: InstanceName) -> tuple[str, int] | None:
        return ("127.0.0.1", ports[name]) if name in ports else None

    a = TcpPeerNetwork(_A, key_of_a, address, _LIMIT_BYTES)
    b = TcpPeerNetwork(Incarnation(InstanceName(name_of_b), 2), _KEY, address, _LIMIT_BYTES)
    ports["b"] = await b.start("127.0.0.1", 0)
    b.on(Acknowledged, _acknowledge)
    try:
        await use(a, b, ports["b"])
    finally:
        await a.stop()
        await b.stop()


class TcpPeerNetworkTest(EgretrailTestCase):
    def test_a_request_gets_a_reply(self) -> None:
        async def use(a: TcpPeerNetwork, _b: TcpPeerNetwork, _port: int) -> None:
            reply = await a.ask(_B.instance, Acknowledged(), Acknowledged, 5.0)
            self.assertEqual(Ok(Acknowledged()), reply)

        self.run_real(_with_pair(use))

    def test_the_sender_is_the_authenticated_instance(self) -> None:
        async def use(a: TcpPeerNetwork, b: TcpPeerNetwork, _port: int) -> None:
            seen: list[Incarnation] = []

            async def record_sender(sender: Incarnation, _message: Acknowledged) -> Message:
                seen.append(sender)
                return Acknowledged()

            b.on(Acknowledged, record_sender)
            await a.ask(_B.instance, Acknowledged(), Acknowledged, 5.0)
            self.assertEqual([_A], seen)

        self.run_real(_with_pair(use))

    @cases(
        {
            "another_key": {"key_of_a": b"another key of bytes"},
            "another_instance_at_the_address": {"name_of_b": "c"},
        }
    )
    def test_streams_that_fail_authentication_are_refused(self, arguments: dict[str, str]) -> None:
        async def use(a: TcpPeerNetwork, _b: TcpPeerNetwork, _port: int) -> None:
            reply = await a.ask(_B.instance, Acknowledged(), Acknowledged, 5.0)
            self.assertIsInstance(reply, Err)
            self.assertIsInstance(reply.unwrap_err(), PeerUnreachable)

        self.run_real(_with_pair(use, **arguments))  # type: ignore[arg-type]

    def test_an_unknown_peer_is_unreachable(self) -> None:
        async def use(a: TcpPeerNetwork, _b: TcpPeerNetwork, _port: int) -> None:
            reply = await a.ask(InstanceName("z"), Acknowledged(), Acknowledged, 5.0)
            self.assertIsInstance(reply.unwrap_err(), PeerUnreachable)

        self.run_real(_with_pair(use))

    def test_a_stream_that_breaks_before_the_reply_is_silent_and_the_next_request_succeeds(
        self,
    ) -> None:
        async def use(a: TcpPeerNetwork, b: TcpPeerNetwork, _port: int) -> None:
            asked = asyncio.Event()

            async def hang(_sender: Incarnation, _message: Acknowledged) -> Message:
                asked.set()
                await asyncio.Event().wait()
                return Acknowledged()

            b.on(Acknowledged, hang)
            request_task = asyncio.create_task(
                a.ask(_B.instance, Acknowledged(), Acknowledged, 30.0)
            )
            await asked.wait()
            for writer in list(b._accepted_writers):
                writer.transport.abort()
            self.assertIsInstance((await request_task).unwrap_err(), PeerUnresponsive)
            b.on(Acknowledged, _acknowledge)
            self.assertIsInstance(await a.ask(_B.instance, Acknowledged(), Acknowledged, 5.0), Ok)

        self.run_real(_with_pair(use))

    @cases(
        {
            "no_handshake": b"GET / HTTP/1.1\r\n\r\n",
            "oversized_handshake": struct.pack(">I", 1 << 30),
            "handshake_is_no_map": _framed(msgpack.packb(5)),
            "proof_is_wrong": _framed(_WRONG_HELLO),
        }
    )
    def test_an_unauthenticated_stream_is_closed(self, written: bytes) -> None:
        async def use(_a: TcpPeerNetwork, _b: TcpPeerNetwork, port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(written)
            writer.write_eof()
            await reader.read()
            writer.close()

        self.run_real(_with_pair(use))
