"""The record of a case: what was sent, answered and run, with times."""

import asyncio
from pathlib import Path


class Record:
    """Writes one line for each event, with seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = asyncio.get_running_loop().time()

    def now_s(self) -> float:
        """Return the time since the start."""
        return asyncio.get_running_loop().time() - self._started_s

    def line(self, event: str, **fields: object) -> None:
        """Write one event."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():9.4f} {event} {values}\n")

    def note(self, text: str) -> None:
        """Write a line and print it."""
        print(text, flush=True)
        self._file.write(f"{self.now_s():9.4f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
