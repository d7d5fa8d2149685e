"""Byte streams between the instances of a simulated network, over links of limited rates."""

import asyncio
import contextlib
import contextvars
from collections.abc import Awaitable, Callable, Iterator
from unittest import mock

from egretrail.gateway.tests.network import SimulatedNetwork

#: The address of the instance whose code is running; tasks and timers inherit it.
OWN_ADDRESS: contextvars.ContextVar[str] = contextvars.ContextVar("own_address")

#: The maximum bytes in transit on one stream.
_WINDOW_BYTES = 32_768
#: The retransmission time-out, doubled each time.
_RESEND_FIRST_S = 0.2

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _Pipe:
    """One direction of a stream: chunks wait for the sender's link, then for the receiver's."""

    def __init__(self, network: SimulatedNetwork, sender: str, target: str) -> None:
        self._network = network
        self._sender = sender
        self._target = target
        self.endpoints = frozenset({sender, target})
        self._buffer = bytearray()
        self._wake = asyncio.Event()
        self._is_ending = False
        self.reader = asyncio.StreamReader()
        self._task = asyncio.get_running_loop().create_task(self._pump())

    def write(self, data: bytes) -> None:
        """Queue bytes."""
        self._buffer += data
        self._wake.set()

    def end(self) -> None:
        """End the stream after the queued bytes."""
        self._is_ending = True
        self._wake.set()

    def abort(self) -> None:
        """Discard the bytes in transit and close the stream."""
        self._task.cancel()
        self._buffer.clear()
        if not self.reader.at_eof():
            self.reader.feed_eof()

    def drop(self) -> None:
        """Discard the bytes in transit without closing the stream, as if one host had crashed."""
        self._task.cancel()
        self._buffer.clear()

    def is_done(self) -> bool:
        """Return whether the transfer has ended."""
        return self._task.done()

    async def drain(self) -> None:
        """Wait until little is queued."""
        while len(self._buffer) > 2 * _WINDOW_BYTES and not self._task.done():
            await asyncio.sleep(0.002)

    async def _pump(self) -> None:
        while True:
            if not self._buffer:
                if self._is_ending:
                    self.reader.feed_eof()
                    return
                self._wake.clear()
                await self._wake.wait()
                continue
            piece = bytes(self._buffer[:_WINDOW_BYTES])
            del self._buffer[:_WINDOW_BYTES]
            resend_s = _RESEND_FIRST_S
            await asyncio.sleep(self._network.reserve_links(self._sender, self._target, len(piece)))
            # A chunk whose acknowledgement cannot arrive is retransmitted as well.
            while not self._network.reaches_both_ways(self._sender, self._target):
                await asyncio.sleep(resend_s)
                resend_s *= 2
            self.reader.feed_data(piece)


class _Writer:
    """The part of asyncio's stream writer that the exchange uses."""

    def __init__(self, out: _Pipe, into: _Pipe) -> None:
        self._out = out
        self._into = into

    def write(self, data: bytes) -> None:
        self._out.write(data)

    async def drain(self) -> None:
        await self._out.drain()

    def close(self) -> None:
        self._out.end()
        self._into.abort()

    def is_closing(self) -> bool:
        return self._out._is_ending


class _Listener:
    def close(self) -> None:
        """Do nothing: no test closes a listener and continues."""


class SimulatedStreams:
    """Replaces the sockets of all instances of one network."""

    def __init__(self, network: SimulatedNetwork) -> None:
        self._network = network
        self._servers: dict[str, tuple[Serve, contextvars.Context]] = {}
        #: Delays after which addresses accept a connection without serving it, while their
        #: datagrams arrive.
        self.stalled_connect_s: dict[str, float] = {}
        #: Addresses of crashed hosts, from which no answer comes.
        self._lost_hosts: set[str] = set()
        self._pipes: list[_Pipe] = []

    def drop_host(self, address: str) -> None:
        """Crash a host: its streams stall without being closed."""
        self._servers.pop(address, None)
        self._lost_hosts.add(address)
        for pipe in self._pipes:
            if address in pipe.endpoints:
                pipe.drop()

    async def start_server(self, serve: Serve, host: str, port: int, **_: object) -> _Listener:
        """Listen on an address."""
        self._lost_hosts.discard(host)
        self._servers[host] = (serve, contextvars.copy_context())
        return _Listener()

    async def open_connection(self, host: str, port: int) -> tuple[asyncio.StreamReader, _Writer]:
        """Connect the running instance to another one; without a network path it hangs."""
        own = OWN_ADDRESS.get()
        if host in self._lost_hosts or not self._network.reaches_both_ways(own, host):
            await asyncio.sleep(3600.0)
        if host in self.stalled_connect_s:
            await asyncio.sleep(self.stalled_connect_s[host])
            there, back = _Pipe(self._network, own, host), _Pipe(self._network, host, own)
            return back.reader, _Writer(there, back)
        if host not in self._servers:
            raise ConnectionRefusedError(host)
        await asyncio.sleep(self._network.reserve_links(own, host, 0) * 2)
        if host in self._lost_hosts:
            await asyncio.sleep(3600.0)
        serve, context = self._servers[host]
        there, back = _Pipe(self._network, own, host), _Pipe(self._network, host, own)
        self._pipes = [pipe for pipe in self._pipes if not pipe.is_done()] + [there, back]
        served = serve(there.reader, _Writer(back, there))  # type: ignore[arg-type]
        asyncio.get_running_loop().create_task(served, context=context)  # type: ignore[arg-type]
        return back.reader, _Writer(there, back)

    @contextlib.contextmanager
    def in_place_of_sockets(self) -> Iterator[None]:
        """Replace asyncio's streams by those of this network."""
        with (
            mock.patch("asyncio.open_connection", self.open_connection),
            mock.patch("asyncio.start_server", self.start_server),
        ):
            yield
