"""Notices that the settings file has changed, with a signal and without one."""

import abc
from collections.abc import Hashable

from result import Err, Ok, Result

from egretrail.gateway._interfaces import GatewaySettings, InvalidDocument

#: How often the file is looked at without a signal.
_LOOK_S = 2.0
#: What was read counts once it is read again this much later: a half-written file may be valid, and
#: its missing fields would get their defaults.
_SETTLE_S = 0.1

Read = Result[GatewaySettings, InvalidDocument]


class SettingsFile(abc.ABC):
    """The settings file of a process."""

    @abc.abstractmethod
    def read(self) -> Read:
        """Read the file."""

    @abc.abstractmethod
    def stamp(self) -> Hashable:
        """Return what differs after nearly every change, without reading the file."""


class SettingsWatch:
    """Reads the file when a signal came, when it seems to have changed, and while it is invalid."""

    def __init__(self, file: SettingsFile, settings: GatewaySettings, now_s: float) -> None:
        self._file = file
        #: What the file held when it last counted.
        self._last: Read = Ok(settings)
        #: None until the first look: the file may have changed since it was read at the start.
        self._stamp: Hashable = None
        self._next_look_s = now_s
        self._signalled = False
        #: What was read last and does not count yet, and when it was.
        self._unsettled: tuple[Read, float] | None = None

    def signal(self) -> None:
        """Take a signal that the file has changed."""
        self._signalled = True

    def look(self, now_s: float) -> Read | None:
        """Look at the file if it is time; return what it holds once that is new and settled."""
        if self._unsettled is not None:
            return self._settle(*self._unsettled, now_s)
        if not self._signalled and now_s < self._next_look_s:
            return None
        self._next_look_s = now_s + _LOOK_S
        stamp = self._file.stamp()
        asked, self._signalled = self._signalled, False
        # A failure to read may pass without a change of the file.
        if asked or stamp != self._stamp or isinstance(self._last, Err):
            self._stamp = stamp
            self._unsettled = (self._file.read(), now_s)
        return None

    def _settle(self, before: Read, read_s: float, now_s: float) -> Read | None:
        if now_s - read_s < _SETTLE_S:
            return None
        read = self._file.read()
        if read != before:
            self._unsettled = (read, now_s)
            return None
        self._unsettled = None
        if read == self._last:
            return None
        self._last = read
        return read
