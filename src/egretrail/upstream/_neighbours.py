"""What the service's other upstreams did in this member's last few attempts.

The windows compare over seconds. The sequential tests need to know at once when all upstreams begin
to fail or slow down together, or the first ones would be convicted for what hits all.
"""

from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._score import OTHERS_PER_OUTLIER, TOLERATED_FAILURE_SHARE

#: What remains of the past after one more attempt: about the last fourteen count.
_KEPT = 0.93

#: An upstream must fail this many times as often as the others to be remarkable.
_FAILURE_MARGIN = 1.5

#: An upstream must exceed this many times the others' common slowness.
_SLOWNESS_MARGIN = 2.0


@dataclass(slots=True)
class _Recent:
    """One upstream's part in the last attempts."""

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


class Neighbours:
    """The last attempts of one member at all upstreams of a service."""

    def __init__(self) -> None:
        self._all = _Recent()
        self._each: dict[UpstreamName, _Recent] = {}

    def add(self, upstream: UpstreamName, failed: float, slowness: float | None) -> None:
        """Add an attempt."""
        step = self._all.step + 1
        for recent in (self._all, self._each.setdefault(upstream, _Recent(step))):
            recent.fade(step)
            recent.attempts += 1.0
            recent.failures += failed
            if slowness is not None:
                recent.timed += 1.0
                recent.slowness += slowness

    def failure_share(self, upstream: UpstreamName) -> float:
        """Return the share of failures that would be unremarkable for this upstream now."""
        others = [self._own(name) for name in self._each if name != upstream]
        others.sort(key=lambda recent: recent.failures)
        kept = others[: len(others) - len(others) // OTHERS_PER_OUTLIER]
        attempts = sum(recent.attempts for recent in kept) + 1.0
        failures = sum(recent.failures for recent in kept)
        share = _FAILURE_MARGIN * failures / attempts
        return min(1.0, max(TOLERATED_FAILURE_SHARE, share))

    def common_slowness(self, upstream: UpstreamName) -> float:
        """Return the log latency ratio that would be unremarkable for this upstream now.

        More than the others' mean while they are slow: under an overload the queues before the
        upstreams differ, and the longest of them is no fault of its upstream.
        """
        own = self._own(upstream)
        timed = self._all.timed - own.timed + 1.0
        mean = (self._all.slowness - own.slowness) / timed
        return mean if mean <= 0.0 else _SLOWNESS_MARGIN * mean

    def forget(self, upstream: UpstreamName) -> None:
        """Drop an upstream that has left."""
        self._each.pop(upstream, None)

    def _own(self, upstream: UpstreamName) -> _Recent:
        own = self._each.get(upstream)
        if own is None:
            return _Recent()
        own.fade(self._all.step)
        return own
