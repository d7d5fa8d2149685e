"""A loopback proxy that injects faults into the connections between two processes."""

import asyncio
import contextlib
import enum


class LinkFault(enum.Enum):
    """What a proxy does to the bytes of all its connections."""

    NONE = "none"
    #: Bytes arrive 0.2 s later.
    DELAYED = "delayed"
    #: Existing and new connections are reset.
    RESET = "reset"
    #: Bytes from the client are dropped; bytes from the server arrive.
    CUT_TO_SERVER = "cut_to_server"
    #: Bytes from the server are dropped; bytes from the client arrive.
    CUT_TO_CLIENT = "cut_to_client"
    #: All bytes are dropped, and no connection is closed.
    BLACKHOLED = "silent"


_DELAY_S = 0.2
_CHUNK_BYTES = 65_536
#: Faults that drop bytes, by whether the bytes flow to the server. A stream with dropped bytes is
#: corrupt, so its connection never forwards bytes again.
_LOSSY_FAULTS = {
    True: frozenset({LinkFault.CUT_TO_SERVER, LinkFault.BLACKHOLED}),
    False: frozenset({LinkFault.CUT_TO_CLIENT, LinkFault.BLACKHOLED}),
}


class LinkProxy:
    """Forwards connections to one address, with an injectable fault."""

    def __init__(self, target: str) -> None:
        #: The address that connections are forwarded to, ``IP:PORT``.
        self.target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._fault = LinkFault.NONE
        #: The address that the proxy listens on, ``IP:PORT``.
        self.address = ""

    @property
    def fault(self) -> LinkFault:
        """The current fault."""
        return self._fault

    @fault.setter
    def fault(self, fault: LinkFault) -> None:
        self._fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
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
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(self._forward(reader, target_writer, to_server=True)),
            loop.create_task(self._forward(target_reader, writer, to_server=False)),
        ]
        self._tasks.update(tasks)
        try:
            await asyncio.wait(tasks)
        finally:
            for task in tasks:
                task.cancel()
                self._tasks.discard(task)
            self._writers -= {writer, target_writer}
            for one in (writer, target_writer):
                with contextlib.suppress(OSError):
                    one.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, to_server: bool
    ) -> None:
        is_corrupt = False
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self._fault is LinkFault.DELAYED:
                    await asyncio.sleep(_DELAY_S)
                is_corrupt = is_corrupt or self._fault in _LOSSY_FAULTS[to_server]
                if not is_corrupt:
                    writer.write(data)
                    await writer.drain()
            if not is_corrupt and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # A connection that failed on one side is aborted on the other side as well.
            writer.transport.abort()
