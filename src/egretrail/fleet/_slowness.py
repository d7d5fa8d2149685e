"""Local health of an observer, which scales its timeouts."""

from egretrail.fleet._tuning import MembershipTuning


class Slowness:
    """A score that extends an observer's timeouts while it is likely at fault itself.

    An instance that lacks CPU time or is partly cut off misses responses from all peers and would
    suspect the whole fleet. Each missed response that points to the observer raises the score, and
    each response in time lowers it. The limit ensures that an isolated observer can still suspect
    others eventually.
    """

    def __init__(self, tuning: MembershipTuning) -> None:
        self._limit = tuning.slowness_limit
        self._score = 0

    @property
    def factor(self) -> int:
        """Return the factor for timeouts, 1 if this instance is healthy."""
        return self._score + 1

    def record_response(self) -> None:
        """Count a probe that was answered in time."""
        self._score = max(0, self._score - 1)

    def record_miss(self, weight: int = 1) -> None:
        """Count missed responses to own probes, or a suspicion of this instance by others."""
        self._score = min(self._limit - 1, self._score + weight)
