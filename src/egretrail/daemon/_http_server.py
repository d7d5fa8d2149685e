"""Runs uvicorn servers on the daemon's event loop, without uvicorn's signal handlers."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn


class _SignalFreeServer(uvicorn.Server):
    """A uvicorn server that does not handle signals."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers: the daemon handles signals itself."""
        yield


class HttpServer:
    """Listens on one address from construction; serves an ASGI application after ``start``."""

    def __init__(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, port), family=family, backlog=1024)
        self._server: _SignalFreeServer | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Return the TCP port of the listener, also when port 0 was requested."""
        port: int = self._socket.getsockname()[1]
        return port

    def start(self, app: Any) -> None:
        """Begin to accept connections and serve them with ``app``."""
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=75,
            h11_max_incomplete_event_size=1 << 16,
        )
        self._server = _SignalFreeServer(config)
        serve = self._server.serve(sockets=[self._socket])
        self._task = asyncio.get_running_loop().create_task(serve)

    async def stop(self) -> None:
        """Stop accepting connections and wait until the requests in flight have ended."""
        if self._server is None or self._task is None:
            self._socket.close()
            return
        self._server.should_exit = True
        await self._task
