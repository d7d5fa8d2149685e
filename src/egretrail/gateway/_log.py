"""Writes log lines of key=value pairs to standard output, rate-limited and without blocking."""

import os
import re
import time
from collections import deque

#: The largest number of lines per second. Further lines are dropped, and their count is logged. A
#: request takes two lines, so a hundred requests per second are logged completely.
_LINES_PER_S_MAX = 250
#: The largest number of buffered lines while the reader is slow, about 200 bytes each.
_BUFFERED_LINES_MAX = 2_000
#: A value is cut to this many characters; it may hold a whole entry of the store.
_VALUE_CHARACTERS_MAX = 1_000
#: A value that contains one of these characters, or none at all, is quoted.
_QUOTED = re.compile(r'[ "=\n]|^$')
#: Buffered lines are written in chunks of at most this size, which a pipe writes atomically.
_CHUNK_BYTES = 4_096


class EventLog:
    """Buffers log lines and writes them without blocking.

    A blocking write to a slow reader would stall every request of the process. While the pipe is
    full, lines stay in the buffer; those beyond its limit, and all lines after the reader closed
    the pipe, are dropped and counted. No value makes a line fail: values come from outside.
    """

    def __init__(self, instance: str, descriptor: int = 1) -> None:
        self._instance = instance
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._unwritten = b""
        self._current_second = 0
        self._lines_in_second = 0
        #: Lines that were dropped since the last ``log_suppressed`` line.
        self.suppressed = 0
        #: Lines that were dropped since the process started.
        self.suppressed_total = 0
        os.set_blocking(descriptor, False)

    def event(self, name: str, **fields: object) -> None:
        """Add a line with an event's name and fields."""
        now_s = time.time()
        if int(now_s) != self._current_second:
            self._current_second = int(now_s)
            self._lines_in_second = 0
            self._log_suppressed(now_s)
        self._lines_in_second += 1
        if self._lines_in_second > _LINES_PER_S_MAX or len(self._buffer) >= _BUFFERED_LINES_MAX:
            self.suppressed += 1
            self.suppressed_total += 1
            return
        self._buffer.append(self._format_line(name, now_s, fields))

    def flush(self) -> None:
        """Write as many lines as possible without blocking; the others stay in the buffer."""
        while self._unwritten or self._buffer:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the pipe: drop the lines and go on.
                self.suppressed_total += len(self._buffer) + 1
                self._buffer.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _next_chunk(self) -> bytes:
        chunk = self._buffer.popleft()
        while self._buffer and len(chunk) + len(self._buffer[0]) <= _CHUNK_BYTES:
            chunk += self._buffer.popleft()
        return chunk

    def _log_suppressed(self, now_s: float) -> None:
        if self.suppressed:
            fields: dict[str, object] = {"lines": self.suppressed}
            self._buffer.append(self._format_line("log_suppressed", now_s, fields))
            self.suppressed = 0

    def _format_line(self, name: str, now_s: float, fields: dict[str, object]) -> bytes:
        parts = [f"time={now_s:.3f}", f"instance={self._instance}", f"event={name}"]
        parts += [f"{key}={_format_value(value)}" for key, value in fields.items()]
        return (" ".join(parts) + "\n").encode(errors="backslashreplace")


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = _printable(value)
    if not _QUOTED.search(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    if " instance=" in escaped:
        # A reader takes it for the start of a line behind one that a killed process cut off.
        escaped = escaped.replace("=", "\\=")
    return f'"{escaped}"'


def _printable(value: object) -> str:
    """Return a value's text: bounded, and with escapes for what is not printable but newlines."""
    try:
        text = str(value)
    except Exception:
        return f"<{type(value).__name__} without text>"
    left_out = len(text) - _VALUE_CHARACTERS_MAX
    if left_out > 0:
        text = f"{text[:_VALUE_CHARACTERS_MAX]}... ({left_out} more characters)"
    if text.isprintable():
        return text
    return "".join(one if one.isprintable() or one == "\n" else _escape(one) for one in text)


def _escape(character: str) -> str:
    return character.encode("unicode_escape").decode()
