"""The usual ways, played beside egretrail: no queue, one retry, no shared evidence."""

import abc
import random
from collections.abc import Sequence

from egretrail.identity import UpstreamName
from egretrail.service import Action, Dispatch, Finish, NoUsableUpstream, Refuse, Work, WorkId
from egretrail.trace._policy import Peers, Policy, PolicyFactory, is_failure
from egretrail.trace._records import TraceHeader
from egretrail.upstream import Attempt, AttemptOutcome

#: The usual settings of ejection after consecutive failures.
_CONSECUTIVE_FAILURES = 5
_EJECTION_S = 30.0
_MOST_EJECTED = 0.1
#: Attempts for one request that may be repeated.
_MOST_ATTEMPTS = 2


class _Baseline(Policy):
    """Sends each request at once, and an idempotent one once more when it fails."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._listed: Sequence[UpstreamName] = ()
        self._in_flight: dict[UpstreamName, int] = {}
        self._tried: dict[WorkId, list[UpstreamName]] = {}
        self._works: dict[WorkId, Work] = {}

    def listed(self, upstreams: Sequence[UpstreamName], now_s: float) -> None:
        """Take a new state of the instance list."""
        self._listed = list(upstreams)

    def submit(self, work: Work, now_s: float) -> Sequence[Action]:
        """Send a request that has just come."""
        self._works[work.work_id] = work
        self._tried[work.work_id] = []
        return self._send(work.work_id, now_s)

    def finished(self, work_id: WorkId, attempt: Attempt, now_s: float) -> Sequence[Action]:
        """Send it once more, or end it."""
        self._in_flight[attempt.upstream] -= 1
        self._note(attempt, now_s)
        work = self._works[work_id]
        tried = self._tried[work_id]
        unrun = attempt.outcome in (
            AttemptOutcome.SHED,
            AttemptOutcome.REFUSED,
            AttemptOutcome.DRAINING,
        )
        failed = attempt.outcome is not AttemptOutcome.ANSWERED
        if failed and (work.idempotent or unrun) and len(tried) < _MOST_ATTEMPTS:
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

    def _note(self, attempt: Attempt, now_s: float) -> None:
        """Take the end of an attempt as evidence."""

    @abc.abstractmethod
    def _choose(self, upstreams: Sequence[UpstreamName]) -> UpstreamName:
        """Return the upstream for a request."""


class RoundRobin(_Baseline):
    """Takes the upstreams in turn."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._turn = self._rng.randrange(1000)

    def _choose(self, upstreams: Sequence[UpstreamName]) -> UpstreamName:
        self._turn += 1
        return upstreams[self._turn % len(upstreams)]


class TwoChoices(_Baseline):
    """Takes the less loaded of two random upstreams, by own requests in flight."""

    def _choose(self, upstreams: Sequence[UpstreamName]) -> UpstreamName:
        two = self._rng.sample(upstreams, min(2, len(upstreams)))
        return min(two, key=lambda name: self._in_flight.get(name, 0))


class ConsecutiveFailures(TwoChoices):
    """Random of two, and ejects an upstream after five failures in a row, for 30 s."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._failures: dict[UpstreamName, int] = {}
        self._ejected: dict[UpstreamName, float] = {}
        self._count: dict[UpstreamName, int] = {}

    def ejected(self, now_s: float) -> frozenset[UpstreamName]:
        """Return the upstreams that this instance has ejected."""
        return frozenset(name for name, until_s in self._ejected.items() if until_s > now_s)

    def _usable(self, now_s: float) -> Sequence[UpstreamName]:
        out = self.ejected(now_s)
        return [name for name in self._listed if name not in out]

    def _note(self, attempt: Attempt, now_s: float) -> None:
        name = attempt.upstream
        if not is_failure(attempt.outcome):
            self._failures[name] = 0
            return
        self._failures[name] = self._failures.get(name, 0) + 1
        # At most a tenth of the upstreams, but always one, as the usual proxies have it.
        allowed = max(1, int(_MOST_EJECTED * len(self._listed)))
        if self._failures[name] >= _CONSECUTIVE_FAILURES and len(self.ejected(now_s)) < allowed:
            self._failures[name] = 0
            self._count[name] = self._count.get(name, 0) + 1
            self._ejected[name] = now_s + _EJECTION_S * self._count[name]


class BaselineFactory(PolicyFactory):
    """Makes instances with one of the usual ways."""

    def __init__(self, name: str, policy: type[_Baseline]) -> None:
        self.name = name
        self._policy = policy

    def make(self, header: TraceHeader, member: int, peers: Peers, seed: int) -> Policy:
        """Return the policy of one instance."""
        return self._policy(seed)


#: The baselines of the table.
BASELINES: Sequence[PolicyFactory] = (
    BaselineFactory("round robin", RoundRobin),
    BaselineFactory("random of two", TwoChoices),
    BaselineFactory("consecutive failures", ConsecutiveFailures),
)
