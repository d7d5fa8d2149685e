"""How far a reader follows each part of the store, for logs and metrics."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class _Part:
    """A part of the store that is followed."""

    #: The revision from which the part is followed.
    position: int = 0
    #: The revision that the store stated in its last answer.
    stated: int = 0
    #: When the store last answered, on the runtime's clock.
    answered_s: float = float("-inf")


class FollowProgress:
    """Records the position of each part beside the revision that the store states.

    A watch returns nothing while its position is ahead of the store, so the age of the last answer
    alone does not show that changes are missed.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._parts: dict[str, _Part] = {}

    def record_answer(self, part: str, position: int, stated: int) -> bool:
        """Record an answer to a call after a position; return True if the position is now ahead.

        The result is False while the position stays ahead, so that it can be logged once.
        """
        known = self._parts.setdefault(part, _Part())
        was_ahead = known.stated < known.position
        known.position, known.stated, known.answered_s = position, stated, self._clock()
        return stated < position and not was_ahead

    def gauges(self) -> Mapping[str, float]:
        """Return the gauges of all parts by name and labels."""
        now_s = self._clock()
        gauges: dict[str, float] = {}
        for name, part in self._parts.items():
            label = f'{{part="{name}"}}'
            gauges[f"store_position_ahead{label}"] = float(max(part.position - part.stated, 0))
            gauges[f"store_answer_age_seconds{label}"] = now_s - part.answered_s
        return gauges
