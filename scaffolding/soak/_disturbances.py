"""When something was harmed, so that promises with a time bound are asked for calm parts only."""

from collections import defaultdict


class Disturbances:
    """Spans of time by what was harmed."""

    def __init__(self) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def add(self, subject: str, begin_s: float, end_s: float) -> None:
        """Note that something is harmed for a time."""
        self._spans[subject].append((begin_s, end_s))

    def touch(self, subject: str, begin_s: float, end_s: float) -> bool:
        """Return whether something was harmed at any moment of a span."""
        return any(a <= end_s and b >= begin_s for a, b in self._spans.get(subject, ()))
