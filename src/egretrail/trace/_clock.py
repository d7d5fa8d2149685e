"""A discrete-event clock."""

import heapq
from collections.abc import Callable
from typing import Any


class VirtualClock:
    """Runs scheduled calls by time without waiting; equal times run in order of scheduling."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._last_event_number = 0

    def schedule(self, at_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; a time in the past counts as now."""
        self._last_event_number += 1
        heapq.heappush(
            self._events, (max(at_s, self.now_s), self._last_event_number, call, arguments)
        )

    def run(self, until_s: float) -> None:
        """Run all calls that are due up to and including a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
