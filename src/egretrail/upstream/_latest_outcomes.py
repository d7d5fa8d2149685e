"""Outcomes of this member's latest attempts, to compare an upstream with the service's others.

The windows compare over seconds. The sequential tests need to know at once when all upstreams begin
to fail or slow down together; otherwise the first ones would be ejected for a common fault.
"""

from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._score import OTHERS_PER_OUTLIER, TOLERATED_FAILURE_SHARE

#: Decay of the counts for each further attempt: about the last fourteen attempts count.
_KEPT = 0.93

#: An upstream's failures are unexpected from this multiple of the others' failure share on.
_FAILURE_MARGIN = 1.5

#: An upstream's slowness is unexpected from this multiple of the others' mean slowness on.
_SLOWNESS_MARGIN = 2.0


@dataclass(slots=True)
class _Recent:
    """Decaying counts of the latest attempts at one upstream, or at all of them."""

    step: int = 0
    attempts: float = 0.0
    failures: float = 0.0
    timed: float = 0.0
    slowness: float = 0.0

    def fade(self, step: int) -> None:
        if step == self.step:
            return
        kept = _KEPT ** (step - self.step)
        self.step = step
        self.attempts *= kept
        self.failures *= kept
        self.timed *= kept
        self.slowness *= kept


class LatestOutcomes:
    """One member's latest attempts at all upstreams of a service."""

    def __init__(self) -> None:
        self._all = _Recent()
        self._each: dict[UpstreamName, _Recent] = {}

    def add(self, upstream: UpstreamName, failed: float, slowness: float | None) -> None:
        """Add an attempt; ``failed`` is the weight of its failure, 0 for a success."""
        step = self._all.step + 1
        for recent in (self._all, self._each.setdefault(upstream, _Recent(step))):
            recent.fade(step)
            recent.attempts += 1.0
            recent.failures += failed
            if slowness is not None:
                recent.timed += 1.0
                recent.slowness += slowness

    def expected_failure_share(self, upstream: UpstreamName) -> float:
        """Return the failure share of this upstream that would be no outlier now."""
        others = [self._own(name) for name in self._each if name != upstream]
        others.sort(key=lambda recent: recent.failures)
        kept = others[: len(others) - len(others) // OTHERS_PER_OUTLIER]
        attempts = sum(recent.attempts for recent in kept) + 1.0
        failures = sum(recent.failures for recent in kept)
        share = _FAILURE_MARGIN * failures / attempts
        return min(1.0, max(TOLERATED_FAILURE_SHARE, share))

    def expected_slowness(self, upstream: UpstreamName) -> float:
        """Return the log latency ratio of this upstream that would be no outlier now.

        The value is above the others' mean while they are slow: under an overload the queues at the
        upstreams differ in length, and the longest queue is not its upstream's fault.
        """
        own = self._own(upstream)
        timed = self._all.timed - own.timed + 1.0
        mean = (self._all.slowness - own.slowness) / timed
        return mean if mean <= 0.0 else _SLOWNESS_MARGIN * mean

    def remove(self, upstream: UpstreamName) -> None:
        """Remove an upstream that left the service."""
        self._each.pop(upstream, None)

    def _own(self, upstream: UpstreamName) -> _Recent:
        own = self._each.get(upstream)
        if own is None:
            return _Recent()
        own.fade(self._all.step)
        return own
