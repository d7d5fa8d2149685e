"""What the other upstreams did since failures of one upstream began.

Windows look back past the begin of a fault. When a fault hits all upstreams, the first few failures
fall on one of them by chance while the others' windows still hold good answers; only attempts that
began later tell whether the fault is that upstream's alone.
"""

import math
from collections import deque
from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._score import OTHERS_PER_OUTLIER

#: Attempts remembered. Convictions need a handful at the others; the rest is for upstreams that
#: fail partially, whose evidence grows over tens of attempts.
_REMEMBERED = 64

#: The slow answer that is assumed beside the answers seen (about five times the median).
_PRIOR_SLOWNESS = 1.6

#: Answers of the others that show whether they are slow now: one from each of several upstreams.
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
    """This member's last attempts at all upstreams of a service."""

    def __init__(self) -> None:
        self._seen: deque[_Seen] = deque(maxlen=_REMEMBERED)

    def add_failure(self, upstream: UpstreamName, started_s: float) -> None:
        """Add an attempt that failed."""
        self._seen.append(_Seen(upstream, started_s, True, None))

    def add_answer(self, upstream: UpstreamName, started_s: float, slowness: float | None) -> None:
        """Add an attempt that was answered."""
        self._seen.append(_Seen(upstream, started_s, False, slowness))

    def others_slowness(self, upstream: UpstreamName) -> float:
        """Return the log latency ratio that the others' very last answers may have had.

        With a prior of one slow answer: without answers elsewhere nothing stands out.
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
        """Return the share of failures that the others may have had since a time.

        With a prior of one failure and one answer: no attempts at all leave it at a half, and it
        takes answers to bring it down. The worst of several others is left out, so that a second
        bad upstream does not protect the first.
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
    """Return the log likelihood ratio of this many failures in a row against the others' share."""
    return -failures * math.log(others_failure_share)
