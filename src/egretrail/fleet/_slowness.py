"""How far an observer distrusts its own sense of time."""

from egretrail.fleet._tuning import MembershipTuning


class Slowness:
    """A score that widens an observer's timeouts while it is itself the likely cause.

    Load: a starved or half-cut instance misses answers from everybody and would accuse the whole
    fleet. Each missed answer that nobody else could explain raises the score, each answer in time
    lowers it; the limit keeps a truly lonely observer able to accuse at last.
    """

    def __init__(self, tuning: MembershipTuning) -> None:
        self._limit = tuning.slowness_limit
        self._score = 0

    @property
    def factor(self) -> int:
        """Return what timeouts are multiplied by, 1 when all is well."""
        return self._score + 1

    def answered(self) -> None:
        """Count a probe that was answered in time."""
        self._score = max(0, self._score - 1)

    def missed(self, weight: int = 1) -> None:
        """Count answers that should have come: own probes, or a suspicion of this instance."""
        self._score = min(self._limit - 1, self._score + weight)
