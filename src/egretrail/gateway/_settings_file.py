"""Detects changes of the settings file, by a signal and by polling."""

import abc
import time
from collections.abc import Hashable

from result import Err, Ok, Result

from egretrail.gateway._interfaces import GatewaySettings, InvalidDocument

#: The polling interval of the file's fingerprint.
_POLL_INTERVAL_S = 2.0
#: Contents are accepted only if they are the same when read again after this time. A half-written
#: file may be valid, and its missing fields would get their defaults.
_STABLE_S = 0.1
#: A process that starts beside a deployment may find the file missing or half-written. It reads
#: again for this long, at this interval. Longer, a wrong path would look like a slow start.
_START_WAIT_S, _START_RETRY_S = 5.0, 0.1

SettingsResult = Result[GatewaySettings, InvalidDocument]


class SettingsFile(abc.ABC):
    """The settings file of a process."""

    @abc.abstractmethod
    def read(self) -> SettingsResult:
        """Read and validate the file."""

    @abc.abstractmethod
    def fingerprint(self) -> Hashable:
        """Return a value that differs after nearly every change, without reading the file."""


def read_at_start(file: SettingsFile) -> SettingsResult:
    """Read the file; wait for a while if it cannot be used."""
    end_s = time.monotonic() + _START_WAIT_S
    while isinstance(read := file.read(), Err) and time.monotonic() < end_s:
        time.sleep(_START_RETRY_S)
    return read


class SettingsFileWatcher:
    """Reads the file after a signal, when its fingerprint changes, and while it is invalid."""

    def __init__(self, file: SettingsFile, settings: GatewaySettings, now_s: float) -> None:
        self._file = file
        #: The contents that were accepted last.
        self._accepted: SettingsResult = Ok(settings)
        #: None before the first poll: the file may have changed since it was read at the start.
        self._last_fingerprint: Hashable = None
        self._next_poll_s = now_s
        self._read_requested = False
        #: The contents that were read last and are not yet accepted, and when they were read.
        self._unstable: tuple[SettingsResult, float] | None = None

    def request_read(self) -> None:
        """Read the file at the next poll, whatever its fingerprint."""
        self._read_requested = True

    def withdraw(self, settings: GatewaySettings) -> None:
        """Return to earlier settings, since the accepted ones could not be applied; try again."""
        self._accepted = Ok(settings)
        self._read_requested = True

    def poll(self, now_s: float) -> SettingsResult | None:
        """Check the file if a check is due; return new contents once they are stable, else None."""
        if self._unstable is not None:
            return self._accept_if_stable(*self._unstable, now_s)
        if not self._read_requested and now_s < self._next_poll_s:
            return None
        self._next_poll_s = now_s + _POLL_INTERVAL_S
        fingerprint = self._file.fingerprint()
        is_requested, self._read_requested = self._read_requested, False
        # A read error may go away without a change of the file.
        if is_requested or fingerprint != self._last_fingerprint or isinstance(self._accepted, Err):
            self._last_fingerprint = fingerprint
            self._unstable = (self._file.read(), now_s)
        return None

    def _accept_if_stable(
        self, before: SettingsResult, read_s: float, now_s: float
    ) -> SettingsResult | None:
        if now_s - read_s < _STABLE_S:
            return None
        read = self._file.read()
        if read != before:
            self._unstable = (read, now_s)
            return None
        self._unstable = None
        if read == self._accepted:
            return None
        self._accepted = read
        return read
