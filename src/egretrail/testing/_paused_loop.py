"""An event loop with a virtual clock that advances only when nothing is left to run."""

import asyncio
import selectors
from collections.abc import Mapping
from typing import Any


class _ClockAdvancingSelector(selectors.BaseSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        self._inner = selectors.DefaultSelector()
        self.now_s = 0.0

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        return self._inner.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._inner.unregister(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._inner.select(0)
        if ready or timeout is None:
            return ready or self._inner.select(None)
        self.now_s += max(timeout, 0.0)
        return ready

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._inner.get_map()

    def close(self) -> None:
        self._inner.close()


class PausedLoop(asyncio.SelectorEventLoop):
    """A loop whose timers fire without waiting, in order and deterministically."""

    def __init__(self) -> None:
        self._clock_selector = _ClockAdvancingSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds since the loop's start."""
        return self._clock_selector.now_s
