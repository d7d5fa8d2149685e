"""Virtual time: events in order, without waiting."""

import heapq
from collections.abc import Callable
from typing import Any


class VirtualClock:
    """Runs scheduled calls in the order of their time, equal times in the order of scheduling."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0

    def at(self, at_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; a time that has passed means now."""
        self._serial += 1
        heapq.heappush(self._events, (max(at_s, self.now_s), self._serial, call, arguments))

    def run(self, until_s: float) -> None:
        """Run all calls up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
