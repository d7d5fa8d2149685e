"""A loopback proxy that harms the connections between two processes."""

import asyncio
import contextlib
import enum


class LinkFault(enum.Enum):
    """What happens to the bytes of all connections through a proxy."""

    NONE = "none"
    #: They arrive 0.2 s later.
    DELAYED = "delayed"
    #: Connections are reset, new ones too.
    RESET = "reset"
    #: What the client sends is lost; what the server sends arrives.
    CUT_TO_SERVER = "cut_to_server"
    #: What the server sends is lost; what the client sends arrives.
    CUT_TO_CLIENT = "cut_to_client"
    #: Nothing arrives on either side, and no connection ends.
    SILENT = "silent"


_DELAY_S = 0.2
_PIECE_BYTES = 65_536
#: Bytes that a cut has lost make a stream useless: its connection stays silent for good.
_LOSSES = {
    True: frozenset({LinkFault.CUT_TO_SERVER, LinkFault.SILENT}),
    False: frozenset({LinkFault.CUT_TO_CLIENT, LinkFault.SILENT}),
}


class LinkProxy:
    """Forwards connections to one address."""

    def __init__(self, target: str) -> None:
        #: Where it forwards to, ``IP:PORT``.
        self.target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._fault = LinkFault.NONE
        #: Where it listens.
        self.address = ""

    @property
    def fault(self) -> LinkFault:
        """What happens to the bytes now."""
        return self._fault

    @fault.setter
    def fault(self, fault: LinkFault) -> None:
        self._fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """End the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._fault is LinkFault.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        loop = asyncio.get_running_loop()
        pumps = [
            loop.create_task(self._pump(reader, far_writer, to_server=True)),
            loop.create_task(self._pump(far_reader, writer, to_server=False)),
        ]
        self._tasks.update(pumps)
        try:
            await asyncio.wait(pumps)
        finally:
            for pump in pumps:
                pump.cancel()
                self._tasks.discard(pump)
            self._writers -= {writer, far_writer}
            for one in (writer, far_writer):
                with contextlib.suppress(OSError):
                    one.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, to_server: bool
    ) -> None:
        lost = False
        try:
            while data := await reader.read(_PIECE_BYTES):
                if self._fault is LinkFault.DELAYED:
                    await asyncio.sleep(_DELAY_S)
                lost = lost or self._fault in _LOSSES[to_server]
                if not lost:
                    writer.write(data)
                    await writer.drain()
            if not lost and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # The other side of a connection that ended with an error ends the same way.
            writer.transport.abort()
