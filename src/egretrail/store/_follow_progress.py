"""How far a reader follows each part of the store, for metrics."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class _Part:
    """A part of the store that is followed."""

    #: When the store last answered, on the runtime's clock.
    answered_s: float
    #: How often the store stated a revision below the one from which the part was followed.
    refuted: int = 0


class FollowProgress:
    """Records when the store last answered for each part, and which positions it refuted.

    A watch returns nothing while its position is ahead of the store, so the age of the last answer
    alone does not show that changes are missed.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._parts: dict[str, _Part] = {}

    def record_answer(self, part: str) -> None:
        """Record an answer to a call for a part."""
        self._parts.setdefault(part, _Part(self._clock())).answered_s = self._clock()

    def record_refuted(self, part: str) -> None:
        """Record that the store had not reached the position of a part."""
        self._parts.setdefault(part, _Part(self._clock())).refuted += 1

    def gauges(self) -> Mapping[str, float]:
        """Return the gauges of all parts by name and labels."""
        now_s = self._clock()
        gauges: dict[str, float] = {}
        for name, part in self._parts.items():
            label = f'{{part="{name}"}}'
            gauges[f"store_answer_age_seconds{label}"] = now_s - part.answered_s
            gauges[f"store_positions_refuted_total{label}"] = float(part.refuted)
        return gauges
