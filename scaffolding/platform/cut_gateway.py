"""Runs a gateway whose network paths to backends and peers can be cut from outside the process.

Backends cannot tell gateways apart by their loopback addresses, so a proxy before a backend cannot
refuse the connections of one gateway only. The cut is therefore injected below the gateway's code,
where it opens connections. A file next to the gateway's settings names the cut in force, and the
ports of the backends that are cut; without ports it is all of them. A second line names the IPs of
the peers that the gateway is cut from: datagrams are dropped, and streams carry no bytes.
"""

import asyncio
import enum
import errno
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from egretrail.platform import SETTINGS_VARIABLE

#: The host on which all stand-in backends listen; peers and the store use other addresses.
BACKEND_HOST = "127.0.0.1"
#: Interval at which the control file is read.
_POLL_S = 0.02
#: As with TCP_USER_TIMEOUT: unacknowledged bytes end a connection after this time.
_UNACKNOWLEDGED_TIMEOUT_S = 1.5


class BackendCut(enum.Enum):
    """What happens to the connections of a gateway to the backends that are cut."""

    NONE = "none"
    #: New connections are refused; open ones work.
    REFUSED = "refused"
    #: New connections get no reply; open ones carry no bytes.
    HANGING = "hanging"
    #: Open connections are reset; new ones are refused.
    RESET = "reset"
    #: Open connections carry no bytes; new ones are refused.
    SILENT = "silent"


_SILENT_CUTS = frozenset({BackendCut.HANGING, BackendCut.SILENT})


def control_path(settings_path: Path) -> Path:
    """Return the path of the file that names the cut of the gateway with a settings file."""
    return settings_path.with_suffix(".cut")


class _Connection:
    """An open connection to a backend, whose bytes are held back while it is silent."""

    def __init__(self, transport: Any, protocol: asyncio.Protocol, host: str, port: int) -> None:
        self.transport = transport
        self.host = host
        self.port = port
        self._protocol = protocol
        self._write: Callable[[bytes], None] = transport.write
        self._held: list[bytes] = []
        self._is_silent = False
        transport.write = self._write_or_hold

    def set_silent(self, is_silent: bool) -> None:
        """Hold back bytes in both directions, or deliver those that were held back."""
        if self.transport.is_closing() or is_silent == self._is_silent:
            return
        self._is_silent = is_silent
        if is_silent:
            self.transport.pause_reading()
            return
        held, self._held = self._held, []
        for data in held:
            self._write(data)
        self.transport.resume_reading()

    def reset(self) -> None:
        """End the connection as a reset by the network does."""
        if not self.transport.is_closing():
            self._protocol.connection_lost(ConnectionResetError(errno.ECONNRESET, "reset"))
            self.transport.abort()

    def _write_or_hold(self, data: bytes) -> None:
        if not self._is_silent:
            self._write(data)
            return
        if not self._held:
            loop = asyncio.get_running_loop()
            loop.call_later(_UNACKNOWLEDGED_TIMEOUT_S, self._time_out)
        self._held.append(data)

    def _time_out(self) -> None:
        if self._held and not self.transport.is_closing():
            self._protocol.connection_lost(OSError(errno.ETIMEDOUT, "unacknowledged"))
            self.transport.abort()


class _CutInjector:
    """Applies the cut that the control file names to connections of an event loop."""

    def __init__(self, control: Path) -> None:
        self._control = control
        self._cut = BackendCut.NONE
        self._ports: frozenset[int] = frozenset()
        self._peers: frozenset[str] = frozenset()
        self._connections: list[_Connection] = []
        self._is_polling = False

    def install(self) -> None:
        """Replace how event loops open connections."""
        create_connection = asyncio.BaseEventLoop.create_connection

        async def create(
            loop: asyncio.BaseEventLoop, factory: Any, host: Any = None, port: Any = None, **kw: Any
        ) -> Any:
            if not self._is_polling:
                self._is_polling = True
                self._poll(loop)
            cut = self._cut_of(host, port)
            if cut is BackendCut.HANGING:
                await asyncio.Event().wait()
            if cut is not BackendCut.NONE:
                raise ConnectionRefusedError(errno.ECONNREFUSED, "cut from the backends")
            transport, protocol = await create_connection(loop, factory, host, port, **kw)
            connection = _Connection(transport, protocol, host, port)
            connection.set_silent(self._cut_of(host, port) in _SILENT_CUTS)
            self._connections.append(connection)
            return transport, protocol

        asyncio.BaseEventLoop.create_connection = create  # type: ignore[method-assign,assignment]
        datagrams: Any = asyncio.selector_events._SelectorDatagramTransport  # type: ignore[attr-defined]
        send_to = datagrams.sendto

        def send_unless_cut(transport: Any, data: bytes, addr: Any = None) -> None:
            if addr is None or addr[0] not in self._peers:
                send_to(transport, data, addr)

        datagrams.sendto = send_unless_cut

    def _poll(self, loop: asyncio.BaseEventLoop) -> None:
        try:
            text = self._control.read_text()
        except FileNotFoundError:
            text = BackendCut.NONE.value
        first, _, second = text.partition("\n")
        name, *ports = first.split()
        cut, cut_ports = BackendCut(name), frozenset(int(port) for port in ports)
        peers = frozenset(second.split())
        if (cut, cut_ports, peers) != (self._cut, self._ports, self._peers):
            self._cut, self._ports, self._peers = cut, cut_ports, peers
            self._apply()
        loop.call_later(_POLL_S, self._poll, loop)

    def _cut_of(self, host: str, port: int) -> BackendCut:
        """Return the cut in force for an address."""
        if host in self._peers:
            return BackendCut.HANGING
        is_cut = host == BACKEND_HOST and (not self._ports or port in self._ports)
        return self._cut if is_cut else BackendCut.NONE

    def _apply(self) -> None:
        self._connections = [one for one in self._connections if not one.transport.is_closing()]
        for connection in self._connections:
            cut = self._cut_of(connection.host, connection.port)
            if cut is BackendCut.RESET:
                connection.reset()
            else:
                connection.set_silent(cut in _SILENT_CUTS)


def main() -> int:
    """Run a gateway until a signal stops it."""
    settings_path = Path(os.environ[SETTINGS_VARIABLE])
    _CutInjector(control_path(settings_path)).install()
    from egretrail.start import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
