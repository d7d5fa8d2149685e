"""Byte streams between the instances of a simulated network, over links of limited rates."""

import asyncio
import contextlib
import contextvars
from collections.abc import Awaitable, Callable, Iterator
from unittest import mock

from egretrail.gateway.tests.network import SimulatedNetwork

#: The instance on whose behalf code runs; tasks and timers inherit it.
OWN_ADDRESS: contextvars.ContextVar[str] = contextvars.ContextVar("own_address")

#: What one stream has on its way at a time.
_WINDOW_BYTES = 32_768

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _Pipe:
    """One direction of a stream: pieces wait for the sender's link, then for the receiver's."""

    def __init__(self, network: SimulatedNetwork, sender: str, target: str) -> None:
        self._network = network
        self._sender = sender
        self._target = target
        self._buffer = bytearray()
        self._wake = asyncio.Event()
        self._ending = False
        self.reader = asyncio.StreamReader()
        self._task = asyncio.get_running_loop().create_task(self._pump())

    def write(self, data: bytes) -> None:
        """Queue bytes."""
        self._buffer += data
        self._wake.set()

    def end(self) -> None:
        """End the stream after what was written."""
        self._ending = True
        self._wake.set()

    def abort(self) -> None:
        """Lose what is on its way."""
        self._task.cancel()
        self._buffer.clear()
        if not self.reader.at_eof():
            self.reader.feed_eof()

    async def drain(self) -> None:
        """Wait until little is queued."""
        while len(self._buffer) > 2 * _WINDOW_BYTES and not self._task.done():
            await asyncio.sleep(0.002)

    async def _pump(self) -> None:
        while True:
            if not self._buffer:
                if self._ending:
                    self.reader.feed_eof()
                    return
                self._wake.clear()
                await self._wake.wait()
                continue
            piece = bytes(self._buffer[:_WINDOW_BYTES])
            del self._buffer[:_WINDOW_BYTES]
            await asyncio.sleep(self._network.carry(self._sender, self._target, len(piece)))
            if self._network.reaches(self._sender, self._target):
                self.reader.feed_data(piece)


class _Writer:
    """The part of a stream's writer that the exchange uses."""

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
        return self._out._ending


class _Listener:
    def close(self) -> None:
        """Go on: nobody closes a listener and goes on in these tests."""


class SimulatedStreams:
    """Stands for the sockets of all instances of one network."""

    def __init__(self, network: SimulatedNetwork) -> None:
        self._network = network
        self._servers: dict[str, tuple[Serve, contextvars.Context]] = {}
        #: Addresses that take connections after this time and then say nothing, while their
        #: datagrams arrive.
        self.silent_s: dict[str, float] = {}

    async def start_server(self, serve: Serve, host: str, port: int, **_: object) -> _Listener:
        """Listen on an address."""
        self._servers[host] = (serve, contextvars.copy_context())
        return _Listener()

    async def open_connection(self, host: str, port: int) -> tuple[asyncio.StreamReader, _Writer]:
        """Connect the instance that runs to another one; a cut way hangs."""
        own = OWN_ADDRESS.get()
        if not self._network.reaches(own, host) or not self._network.reaches(host, own):
            await asyncio.sleep(3600.0)
        if host in self.silent_s:
            await asyncio.sleep(self.silent_s[host])
            there, back = _Pipe(self._network, own, host), _Pipe(self._network, host, own)
            return back.reader, _Writer(there, back)
        if host not in self._servers:
            raise ConnectionRefusedError(host)
        await asyncio.sleep(self._network.carry(own, host, 0) * 2)
        serve, context = self._servers[host]
        there, back = _Pipe(self._network, own, host), _Pipe(self._network, host, own)
        served = serve(there.reader, _Writer(back, there))  # type: ignore[arg-type]
        asyncio.get_running_loop().create_task(served, context=context)  # type: ignore[arg-type]
        return back.reader, _Writer(there, back)

    @contextlib.contextmanager
    def in_place_of_sockets(self) -> Iterator[None]:
        """Let asyncio's streams go over this network."""
        with (
            mock.patch("asyncio.open_connection", self.open_connection),
            mock.patch("asyncio.start_server", self.start_server),
        ):
            yield
