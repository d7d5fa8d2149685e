"""One uvicorn server for each face, on the daemon's loop and without its signal handlers."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn


class _QuietServer(uvicorn.Server):
    """Leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing: the daemon decides what a signal means."""
        yield


class HttpServer:
    """Listens on one address from the start, and serves an ASGI application once there is one."""

    def __init__(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, port), family=family, backlog=1024)
        self._server: _QuietServer | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        port: int = self._socket.getsockname()[1]
        return port

    def start(self, app: Any) -> None:
        """Begin to take connections and have ``app`` answer them."""
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
        self._server = _QuietServer(config)
        serving = self._server.serve(sockets=[self._socket])
        self._task = asyncio.get_running_loop().create_task(serving)

    async def stop(self) -> None:
        """Stop taking connections and wait until the requests in flight have ended."""
        if self._server is None or self._task is None:
            self._socket.close()
            return
        self._server.should_exit = True
        await self._task
