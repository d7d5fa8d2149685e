"""Keeps idle connections to upstreams for reuse."""

import asyncio
from collections.abc import Callable, Collection

from egretrail.http1 import ClientConnection, ConnectFailed, open_connection

#: Connecting takes a few milliseconds. After a lost packet it would take a second, in which another
#: upstream can serve the request.
_CONNECT_TIMEOUT_S = 0.35
#: An idle connection is reused only within this share of the upstream's idle timeout, or of the
#: default below. If the upstream closed it while a request is in transit, the outcome is unknown.
_IDLE_SHARE = 0.7
_DEFAULT_IDLE_TIMEOUT_S = 4.0
#: Idle connections kept per upstream. An instance rarely has more concurrent requests at one.
_IDLE_PER_UPSTREAM_MAX = 3


class UpstreamConnectionPool:
    """Idle connections by upstream lifetime (upstream id)."""

    def __init__(self, *, keepalive: bool = False) -> None:
        """Start without connections; ``keepalive`` enables TCP keepalive on all of them."""
        self._keepalive = keepalive
        self._idle: dict[str, list[ClientConnection]] = {}
        #: How many connections were opened, for the metrics.
        self.opened_total = 0
        #: How many connections could not be opened, and how many of them since the last that was.
        self.failed_total = self.failed_in_a_row = 0
        #: Called with the id of an upstream to which a connection was opened.
        self.on_connected: Callable[[str], None] = lambda upstream_id: None

        #: Called with an upstream's id, the connection and the number of bytes that arrived on it
        #: while it was idle.
        self.on_idle_bytes: Callable[[str, ClientConnection, int], None] = lambda *arguments: None

    def idle_upstreams(self) -> Collection[str]:
        """Return the ids of the upstreams to which an idle connection is open."""
        return self._idle.keys()

    async def acquire(self, upstream_id: str, address: str) -> ClientConnection:
        """Return a reusable idle connection, or open one; raises ConnectFailed."""
        idle = self._idle.get(upstream_id, [])
        connection = None
        while idle and connection is None:
            candidate = idle.pop()
            if not self._is_current(candidate):
                candidate.abort()
            elif candidate.is_usable():
                connection = candidate
            # Else it holds unread bytes or is closed: it reports that and ends when it is read.
        if not idle:
            self._idle.pop(upstream_id, None)
        if connection is not None:
            return connection
        return await self._open(upstream_id, address)

    async def connect_idle(self, upstream_id: str, address: str) -> None:
        """Open a connection and keep it for a later request; raises ConnectFailed."""
        self.release(upstream_id, await self._open(upstream_id, address))

    def release(self, upstream_id: str, connection: ClientConnection) -> None:
        """Keep a connection whose exchange has ended if it can be reused, else close it."""
        idle = self._idle.setdefault(upstream_id, [])
        if connection.is_reusable and len(idle) < _IDLE_PER_UPSTREAM_MAX:
            idle.append(connection)
        else:
            connection.abort()
            if not idle:
                del self._idle[upstream_id]

    def retain_only(self, upstream_ids: set[str]) -> None:
        """Close the connections to all other lifetimes."""
        for upstream_id in [known for known in self._idle if known not in upstream_ids]:
            for connection in self._idle.pop(upstream_id):
                connection.abort()

    def close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        for upstream_id in list(self._idle):
            kept = []
            for connection in self._idle[upstream_id]:
                if self._is_current(connection):
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[upstream_id] = kept
            else:
                del self._idle[upstream_id]

    def close(self) -> None:
        """Close all idle connections."""
        self.retain_only(set())

    async def _open(self, upstream_id: str, address: str) -> ClientConnection:
        self.opened_total += 1
        try:
            connection = await open_connection(
                address, _CONNECT_TIMEOUT_S, keepalive=self._keepalive
            )
        except ConnectFailed:
            self.failed_total += 1
            self.failed_in_a_row += 1
            raise
        connection.on_idle_bytes = lambda size_bytes: self.on_idle_bytes(
            upstream_id, connection, size_bytes
        )
        self.failed_in_a_row = 0
        self.on_connected(upstream_id)
        return connection

    def _is_current(self, connection: ClientConnection) -> bool:
        timeout_s = connection.server_idle_timeout_s or _DEFAULT_IDLE_TIMEOUT_S
        idle_s = asyncio.get_running_loop().time() - connection.idle_since_s
        return connection.is_reusable and idle_s < timeout_s * _IDLE_SHARE
