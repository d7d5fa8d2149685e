"""The figures of one played trace."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from egretrail.identity import CallerId, UpstreamName
from egretrail.trace._player import Ending, PlayLog
from egretrail.trace._records import Fault, FaultKind, Trace

#: An upstream has stopped when it gets less than this part of its fair share of requests.
_STOPPED_SHARE = 0.15
#: Fair requests in the time over which that is looked at, so that chance gaps do not count.
_STOPPED_REQUESTS = 14.0
_STOPPED_LEAST_S = 1.0
#: An ejection this long after a fault's end still counts as caused by it.
_AFTER_FAULT_S = 2.0
#: Callers with fewer requests are left out of the fairness figure.
_LEAST_REQUESTS = 20
#: Failures rarer than this are part of a healthy day.
_LEAST_SHARE = 0.05
#: Faults after which an upstream should get no more work.
_DETECTABLE = (
    FaultKind.FAILS,
    FaultKind.SLOW,
    FaultKind.CUTS_LARGE,
    FaultKind.UNREACHABLE,
    FaultKind.LEAVES,
    FaultKind.PATH,
)


@dataclass(frozen=True, slots=True)
class Detection:
    """How long one failing upstream kept receiving work."""

    #: From the beginning of the fault to the last request before the stop; to the fault's end
    #: where it did not stop.
    after_s: float
    #: Requests that it got in that time.
    requests: int
    #: Whether it stopped at all.
    stopped: bool


@dataclass(frozen=True, slots=True)
class Figures:
    """The outcome of one trace under one policy."""

    #: One for each fault that should be detected.
    detections: Sequence[Detection]
    #: Healthy upstreams that were ejected, counted once for all instances.
    false_ejections: int
    #: Requests of the trace.
    requests: int
    #: Requests answered in time, and how many the oracle answers. Only answers before the trace's
    #: end count: what is left in the queue then says nothing about how the load was borne.
    answered: int
    oracle_answered: int
    #: Requests whose caller had nothing by its deadline.
    missed: int
    #: Requests refused as not run.
    refused: int
    #: Requests answered with a failure.
    failed: int
    #: Time beyond the upstream's work, of answered requests, and the whole time.
    added_s: Sequence[float]
    latency_s: Sequence[float]
    #: Smallest share that a caller got of what is fair for it.
    least_share: float
    #: First attempts, and further ones.
    first_tries: int
    further_tries: int
    #: Requests that are not idempotent and were begun by more than one upstream.
    doubled: int
    #: Messages between instances, a second and instance.
    messages_per_s: float

    @property
    def goodput(self) -> float:
        """Return the requests answered in time as a share of the oracle's."""
        return self.answered / max(1, self.oracle_answered)

    @property
    def undetected(self) -> int:
        """Return how many failing upstreams kept receiving work."""
        return sum(not each.stopped for each in self.detections)

    @property
    def retry_share(self) -> float:
        """Return further attempts as a share of first ones."""
        return self.further_tries / max(1, self.first_tries)


def figures(trace: Trace, log: PlayLog, oracle: Sequence[bool]) -> Figures:
    """Return the figures of a played trace."""
    endings = Counter(each.ending for each in log.requests)
    tried = [each for each in log.requests if each.attempts]
    pairs = list(zip(trace.requests, log.requests, strict=True))
    added_s = [
        done.ended_s - asked.at_s - asked.work_s
        for asked, done in pairs
        if done.ending is Ending.ANSWERED
    ]
    by_end = [
        done.ending is Ending.ANSWERED and done.ended_s <= trace.header.duration_s
        for done in log.requests
    ]
    return Figures(
        [_detection(trace, log, fault) for fault in _detectable_faults(trace)],
        _false_ejections(trace, log),
        len(trace.requests),
        sum(by_end),
        sum(oracle),
        endings[Ending.MISSED] + endings[Ending.OPEN],
        endings[Ending.REFUSED],
        endings[Ending.FAILED],
        added_s,
        [done.ended_s - asked.at_s for asked, done in pairs if done.ending is Ending.ANSWERED],
        _least_share(trace, by_end, oracle),
        len(tried),
        sum(each.attempts - 1 for each in tried),
        sum(done.runs > 1 and not asked.idempotent for asked, done in pairs),
        log.messages / trace.header.duration_s / len(trace.header.members),
    )


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 for no values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else 0.0


def _detectable(fault: Fault) -> bool:
    return fault.kind in _DETECTABLE and fault.share >= _LEAST_SHARE


def _detectable_faults(trace: Trace) -> Sequence[Fault]:
    """Return the faults to detect: none where all upstreams fail alike."""
    faults = [fault for fault in trace.faults if _detectable(fault)]
    alike = len({fault.upstream for fault in faults}) == len(trace.header.upstreams)
    return [] if alike else faults


def _detection(trace: Trace, log: PlayLog, fault: Fault) -> Detection:
    end_s = min(fault.until_s, trace.header.duration_s)
    visits = [
        at_s
        for at_s, member in log.visits_s[fault.upstream]
        if fault.at_s <= at_s < end_s and fault.member in (-1, member)
    ]
    asked = sum(
        fault.at_s <= each.at_s < end_s and fault.member in (-1, each.member)
        for each in trace.requests
    )
    fair_per_s = asked / (end_s - fault.at_s) / len(trace.header.upstreams)
    window_s = max(_STOPPED_LEAST_S, _STOPPED_REQUESTS / max(fair_per_s, 1e-9))
    allowed = max(1.0, _STOPPED_SHARE * fair_per_s * window_s)
    for index, at_s in enumerate([fault.at_s, *visits]):
        if at_s + window_s > end_s:
            break
        following = sum(at_s < each <= at_s + window_s for each in visits[index:])
        if following <= allowed:
            return Detection(at_s - fault.at_s, index, True)
    return Detection(end_s - fault.at_s, len(visits), False)


def _false_ejections(trace: Trace, log: PlayLog) -> int:
    last_s: dict[UpstreamName, float] = {}
    count = 0
    for at_s, member, upstream in sorted(log.ejections):
        if _is_bad(trace, upstream, member, at_s):
            continue
        # Members that follow another's ejection do not count again.
        if at_s - last_s.get(upstream, float("-inf")) > _AFTER_FAULT_S:
            count += 1
        last_s[upstream] = at_s
    return count


def _is_bad(trace: Trace, upstream: UpstreamName, member: int, at_s: float) -> bool:
    """Return whether the upstream was at fault, and not all of them alike."""
    blamed: set[UpstreamName] = {
        fault.upstream
        for fault in trace.faults
        if _detectable(fault)
        and fault.member in (-1, member)
        and fault.at_s <= at_s < fault.until_s + _AFTER_FAULT_S
    }
    return upstream in blamed and len(blamed) < len(trace.header.upstreams)


def _least_share(trace: Trace, by_end: Sequence[bool], oracle: Sequence[bool]) -> float:
    asked: Counter[CallerId] = Counter(each.caller for each in trace.requests)
    got: Counter[CallerId] = Counter(
        each.caller for each, answered in zip(trace.requests, by_end, strict=True) if answered
    )
    fair = _max_min(asked, float(sum(oracle)))
    shares = [
        min(1.0, got[caller] / max(fair[caller], 1e-9))
        for caller, count in asked.items()
        if count >= _LEAST_REQUESTS
    ]
    return min(shares, default=1.0)


def _max_min(demands: Mapping[CallerId, int], capacity: float) -> dict[CallerId, float]:
    """Divide a capacity between callers: nobody gets more by another's getting less than it."""
    shares: dict[CallerId, float] = {}
    left, remaining = capacity, len(demands)
    for caller in sorted(demands, key=lambda each: (demands[each], each)):
        shares[caller] = min(float(demands[caller]), left / remaining)
        left -= shares[caller]
        remaining -= 1
    return shares
