"""Attributes failures to a request kind or a client that fails at every upstream.

With a bad route, a broken client or a bad release of one function, the affected requests fail at
every upstream. An upstream that happens to receive more of them must not be ejected for it.

A subject is a request kind or a client whose failures are tracked.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from egretrail.identity import UpstreamName

#: Limit on the subjects that are tracked; the least recently used one is evicted.
_MAX_SUBJECTS = 256

#: The explained share for a subject that failed at this upstream and was sent to no other one.
_UNDECIDED = 0.5

#: Prior: attempts at the other upstreams that are assumed to have succeeded.
_PRIOR_ATTEMPTS = 0.5

#: Time constant of the exponential decay of the counts.
_DECAY_S = 20.0


@dataclass(slots=True)
class _Tally:
    """Decaying counts of one subject's attempts and failures at one upstream."""

    attempts: float = 0.0
    failures: float = 0.0
    at_s: float = 0.0

    def add(self, failed: bool, now_s: float) -> None:
        self.fade(now_s)
        self.attempts += 1.0
        self.failures += float(failed)

    def fade(self, now_s: float) -> None:
        kept = math.exp(-(now_s - self.at_s) / _DECAY_S)
        self.attempts *= kept
        self.failures *= kept
        self.at_s = now_s


class FailureAttribution:
    """Counts of all subjects that have failed, for each upstream of a service."""

    def __init__(self) -> None:
        self._tallies: OrderedDict[str, dict[UpstreamName, _Tally]] = OrderedDict()

    def record(self, subject: str, upstream: UpstreamName, failed: bool, now_s: float) -> None:
        """Count an attempt; a subject is tracked from its first failure on."""
        tallies = self._tallies.get(subject)
        if tallies is None:
            if not failed:
                return
            tallies = self._tallies[subject] = {}
            if len(self._tallies) > _MAX_SUBJECTS:
                self._tallies.popitem(last=False)
        self._tallies.move_to_end(subject)
        tally = tallies.get(upstream)
        if tally is None:
            tally = tallies[upstream] = _Tally(at_s=now_s)
        tally.add(failed, now_s)

    def explained_share(self, subject: str, upstream: UpstreamName, now_s: float) -> float:
        """Return the share of the subject's requests that fail at the other upstreams.

        A failure at this upstream is explained by the subject, not by the upstream, to this share.
        """
        tallies = self._tallies.get(subject)
        if tallies is None:
            return 0.0
        attempts = _PRIOR_ATTEMPTS
        failures = 0.0
        own = tallies.get(upstream)
        if own is not None and own.failures > 0.0 and len(tallies) == 1:
            # The subject failed here before and has not been sent elsewhere since: whether the
            # subject or the upstream is at fault is still unknown.
            return _UNDECIDED
        for name, tally in tallies.items():
            if name != upstream:
                tally.fade(now_s)
                attempts += tally.attempts
                failures += tally.failures
        return failures / attempts

    def remove_upstream(self, upstream: UpstreamName) -> None:
        """Remove the counts of an upstream that left the service."""
        for tallies in self._tallies.values():
            tallies.pop(upstream, None)
