"""Common load-balancing policies for comparison: no queue, one retry, no shared evidence."""

import abc
import random
from collections.abc import Sequence

from egretrail.identity import UpstreamName
from egretrail.service import Action, Dispatch, Finish, NoUsableUpstream, Refuse, Work, WorkId
from egretrail.trace._policy import Peers, Policy, PolicyFactory, is_failure
from egretrail.trace._records import TraceHeader
from egretrail.upstream import Attempt, AttemptOutcome

#: Common defaults of proxies that eject an upstream after consecutive failures.
_CONSECUTIVE_FAILURES = 5
_EJECTION_S = 30.0
_MAX_EJECTED_SHARE = 0.1
#: Attempts for one request that may be retried.
_MAX_ATTEMPTS = 2


class _Baseline(Policy):
    """Sends each request at once and retries a failed one once if that is safe."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._listed: Sequence[UpstreamName] = ()
        self._in_flight: dict[UpstreamName, int] = {}
        self._tried: dict[WorkId, list[UpstreamName]] = {}
        self._works: dict[WorkId, Work] = {}

    def set_upstreams(self, upstreams: Sequence[UpstreamName], now_s: float) -> None:
        """Replace the listed upstreams."""
        self._listed = list(upstreams)

    def submit(self, work: Work, now_s: float) -> Sequence[Action]:
        """Send a request that has just arrived."""
        self._works[work.work_id] = work
        self._tried[work.work_id] = []
        return self._send(work.work_id, now_s)

    def record_attempt_end(
        self, work_id: WorkId, attempt: Attempt, now_s: float
    ) -> Sequence[Action]:
        """Retry the request, or finish it."""
        self._in_flight[attempt.upstream] -= 1
        self._record_outcome(attempt, now_s)
        work = self._works[work_id]
        tried = self._tried[work_id]
        is_not_run = attempt.outcome in (
            AttemptOutcome.SHED,
            AttemptOutcome.REFUSED,
            AttemptOutcome.DRAINING,
        )
        has_failed = attempt.outcome is not AttemptOutcome.ANSWERED
        if has_failed and (work.idempotent or is_not_run) and len(tried) < _MAX_ATTEMPTS:
            return self._send(work_id, now_s)
        del self._works[work_id], self._tried[work_id]
        return [Finish(work_id, attempt.upstream)]

    def _send(self, work_id: WorkId, now_s: float) -> Sequence[Action]:
        tried = self._tried[work_id]
        usable = self._usable(now_s)
        untried = [name for name in usable if name not in tried] or list(usable)
        if not untried:
            return [Refuse(work_id, NoUsableUpstream(1.0))]
        upstream = self._choose(untried)
        tried.append(upstream)
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1
        return [Dispatch(work_id, upstream)]

    def _usable(self, now_s: float) -> Sequence[UpstreamName]:
        return self._listed

    def _record_outcome(self, attempt: Attempt, now_s: float) -> None:
        """Record the outcome of an attempt; no-op by default."""

    @abc.abstractmethod
    def _choose(self, upstreams: Sequence[UpstreamName]) -> UpstreamName:
        """Return the upstream for a request."""


class RoundRobin(_Baseline):
    """Chooses the upstreams in rotation."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._next_index = self._rng.randrange(1000)

    def _choose(self, upstreams: Sequence[UpstreamName]) -> UpstreamName:
        self._next_index += 1
        return upstreams[self._next_index % len(upstreams)]


class TwoChoices(_Baseline):
    """Chooses the upstream with fewer own requests in flight of two random ones."""

    def _choose(self, upstreams: Sequence[UpstreamName]) -> UpstreamName:
        sampled = self._rng.sample(upstreams, min(2, len(upstreams)))
        return min(sampled, key=lambda name: self._in_flight.get(name, 0))


class ConsecutiveFailures(TwoChoices):
    """Two random choices; ejects an upstream after five consecutive failures.

    The first ejection lasts 30 s, each further one of the same upstream 30 s longer."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._consecutive_failures: dict[UpstreamName, int] = {}
        self._ejected_until_s: dict[UpstreamName, float] = {}
        self._ejection_counts: dict[UpstreamName, int] = {}

    def ejected(self, now_s: float) -> frozenset[UpstreamName]:
        """Return the upstreams that this instance has ejected."""
        return frozenset(name for name, until_s in self._ejected_until_s.items() if until_s > now_s)

    def _usable(self, now_s: float) -> Sequence[UpstreamName]:
        ejected = self.ejected(now_s)
        return [name for name in self._listed if name not in ejected]

    def _record_outcome(self, attempt: Attempt, now_s: float) -> None:
        name = attempt.upstream
        if not is_failure(attempt.outcome):
            self._consecutive_failures[name] = 0
            return
        self._consecutive_failures[name] = self._consecutive_failures.get(name, 0) + 1
        # At most a tenth of the upstreams, but always one, as common proxies do by default.
        allowed = max(1, int(_MAX_EJECTED_SHARE * len(self._listed)))
        if (
            self._consecutive_failures[name] >= _CONSECUTIVE_FAILURES
            and len(self.ejected(now_s)) < allowed
        ):
            self._consecutive_failures[name] = 0
            self._ejection_counts[name] = self._ejection_counts.get(name, 0) + 1
            self._ejected_until_s[name] = now_s + _EJECTION_S * self._ejection_counts[name]


class BaselineFactory(PolicyFactory):
    """Creates policies of one baseline class."""

    def __init__(self, name: str, policy: type[_Baseline]) -> None:
        self.name = name
        self._policy = policy

    def make(self, header: TraceHeader, member: int, peers: Peers, seed: int) -> Policy:
        """Return the policy of one instance."""
        return self._policy(seed)


#: The baselines that the table compares egretrail with.
BASELINES: Sequence[PolicyFactory] = (
    BaselineFactory("round robin", RoundRobin),
    BaselineFactory("random of two", TwoChoices),
    BaselineFactory("consecutive failures", ConsecutiveFailures),
)
