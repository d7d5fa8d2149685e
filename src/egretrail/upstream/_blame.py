"""Failures that the request explains, not the upstream: a kind or a caller that fails everywhere.

Made for a bad route, a broken client or a bad release of one function: the requests concerned fail
at every upstream, and upstreams that happen to get more of them must not be ejected for it.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from egretrail.identity import UpstreamName

#: Kinds and callers followed at once; the least recently used is forgotten.
_FOLLOWED = 256

#: The part of a failure that a subject explains which has failed only here and been nowhere else.
_UNDECIDED = 0.5

#: Attempts elsewhere that are assumed to have gone well.
_PRIOR_ATTEMPTS = 0.5

#: What a kind or caller did this long ago counts 1/e.
_LIFE_S = 20.0


@dataclass(slots=True)
class _Tally:
    """Attempts and failures of one kind or caller at one upstream."""

    attempts: float = 0.0
    failures: float = 0.0
    at_s: float = 0.0

    def add(self, failed: bool, now_s: float) -> None:
        self.fade(now_s)
        self.attempts += 1.0
        self.failures += float(failed)

    def fade(self, now_s: float) -> None:
        kept = math.exp(-(now_s - self.at_s) / _LIFE_S)
        self.attempts *= kept
        self.failures *= kept
        self.at_s = now_s


class SharedFailures:
    """Follows kinds and callers that have failed, over all upstreams of a service."""

    def __init__(self) -> None:
        self._followed: OrderedDict[str, dict[UpstreamName, _Tally]] = OrderedDict()

    def note(self, subject: str, upstream: UpstreamName, failed: bool, now_s: float) -> None:
        """Count an attempt; a subject is followed from its first failure on."""
        tallies = self._followed.get(subject)
        if tallies is None:
            if not failed:
                return
            tallies = self._followed[subject] = {}
            if len(self._followed) > _FOLLOWED:
                self._followed.popitem(last=False)
        self._followed.move_to_end(subject)
        tally = tallies.get(upstream)
        if tally is None:
            tally = tallies[upstream] = _Tally(at_s=now_s)
        tally.add(failed, now_s)

    def explained(self, subject: str, upstream: UpstreamName, now_s: float) -> float:
        """Return the share of the subject's requests that fail at the other upstreams."""
        tallies = self._followed.get(subject)
        if tallies is None:
            return 0.0
        attempts = _PRIOR_ATTEMPTS
        failures = 0.0
        own = tallies.get(upstream)
        if own is not None and own.failures > 0.0 and len(tallies) == 1:
            # It failed here before and was not seen elsewhere since: nothing tells yet whether
            # the subject or the upstream is at fault.
            return _UNDECIDED
        for name, tally in tallies.items():
            if name != upstream:
                tally.fade(now_s)
                attempts += tally.attempts
                failures += tally.failures
        return failures / attempts

    def forget_upstream(self, upstream: UpstreamName) -> None:
        """Drop what is known of an upstream that has left."""
        for tallies in self._followed.values():
            tallies.pop(upstream, None)
