"""Recent attempts, to compare an upstream with the others since the onset of its failures.

Windows also contain attempts from before the onset. When a fault affects all upstreams, the first
few failures fall on one of them by chance while the others' windows still hold successes. Only
attempts that began after the onset show whether the fault is that upstream's alone.
"""

import math
from collections import deque
from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._score import OTHERS_PER_OUTLIER

#: Number of attempts kept. An ejection needs a few at the other upstreams; the rest is for
#: upstreams that fail partially, whose evidence grows over tens of attempts.
_CAPACITY = 64

#: Prior: one slow response (about five times the median) in addition to those observed.
_PRIOR_SLOWNESS = 1.6

#: Number of the others' latest responses that show whether they are slow now: about one from each
#: of several upstreams.
_LAST_ANSWERS = 6


@dataclass(frozen=True, slots=True)
class _Seen:
    """One finished attempt."""

    upstream: UpstreamName
    started_s: float
    failed: bool
    #: Log latency relative to the kind's median; None when it was not compared.
    slowness: float | None


class RecentAttempts:
    """This member's most recent attempts at all upstreams of a service."""

    def __init__(self) -> None:
        self._seen: deque[_Seen] = deque(maxlen=_CAPACITY)

    def add_failure(self, upstream: UpstreamName, started_s: float) -> None:
        """Add an attempt that failed."""
        self._seen.append(_Seen(upstream, started_s, True, None))

    def add_answer(self, upstream: UpstreamName, started_s: float, slowness: float | None) -> None:
        """Add a successful attempt."""
        self._seen.append(_Seen(upstream, started_s, False, slowness))

    def others_slowness(self, upstream: UpstreamName) -> float:
        """Return the mean log latency ratio of the others' latest responses.

        The mean includes a prior of one slow response, so that without responses from the others
        this upstream is no outlier.
        """
        total = _PRIOR_SLOWNESS
        answers = 0
        for seen in reversed(self._seen):
            if seen.upstream != upstream and seen.slowness is not None:
                total += seen.slowness
                answers += 1
            if answers == _LAST_ANSWERS:
                break
        return total / (answers + 1.0)

    def others_failure_share(self, upstream: UpstreamName, since_s: float) -> float:
        """Return the others' failure share in attempts that began since a time.

        The share includes a prior of one failure and one success: without attempts it is a half,
        and only successes lower it. The worst of several others are excluded, so that a second bad
        upstream does not protect the first.
        """
        failures: dict[UpstreamName, int] = {}
        attempts: dict[UpstreamName, int] = {}
        for seen in self._seen:
            if seen.upstream != upstream and seen.started_s >= since_s:
                attempts[seen.upstream] = attempts.get(seen.upstream, 0) + 1
                failures[seen.upstream] = failures.get(seen.upstream, 0) + seen.failed
        by_failures = sorted(attempts, key=lambda name: failures[name])
        kept = by_failures[: len(by_failures) - len(by_failures) // OTHERS_PER_OUTLIER]
        failed = sum(failures[name] for name in kept)
        tried = sum(attempts[name] for name in kept)
        return (failed + 1.0) / (tried + 2.0)


def onset_score(failures: float, others_failure_share: float) -> float:
    """Return the negative log likelihood of consecutive failures at the others' failure share."""
    return -failures * math.log(others_failure_share)
