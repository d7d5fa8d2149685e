"""Records when faults were active, because time bounds only hold in undisturbed periods."""

from collections import defaultdict


class DisturbanceLog:
    """Time spans of faults, by the subject that they affect."""

    def __init__(self) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def add_span(self, subject: str, begin_s: float, end_s: float) -> None:
        """Record that a subject is affected by a fault for a time span."""
        self._spans[subject].append((begin_s, end_s))

    def overlaps(self, subject: str, begin_s: float, end_s: float) -> bool:
        """Return whether a subject was affected at any time of a span."""
        return any(a <= end_s and b >= begin_s for a, b in self._spans.get(subject, ()))
