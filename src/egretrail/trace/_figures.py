"""Computes the metrics of one replayed trace."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from egretrail.identity import CallerId, UpstreamName
from egretrail.trace._player import Ending, PlayLog
from egretrail.trace._records import Fault, FaultKind, Trace

#: A faulty upstream counts as ejected when it gets less than this part of its fair share.
_EJECTED_SHARE = 0.15
#: The share is measured over a window with this many fair requests: random gaps do not count.
_EJECTED_WINDOW_REQUESTS = 14.0
_EJECTED_MIN_WINDOW_S = 1.0
#: An ejection this long after a fault's end still counts as caused by the fault.
_FAULT_AFTEREFFECT_S = 2.0
#: Clients with fewer requests are left out of the fairness metric.
_MIN_CLIENT_REQUESTS = 20
#: Faults that hit a smaller share of requests count as normal operation.
_MIN_FAULT_SHARE = 0.05
#: Faults after which an upstream should get no more requests.
_DETECTABLE_KINDS = (
    FaultKind.FAILS,
    FaultKind.SLOW,
    FaultKind.CUTS_LARGE,
    FaultKind.UNREACHABLE,
    FaultKind.LEAVES,
    FaultKind.PATH,
)


@dataclass(frozen=True, slots=True)
class Detection:
    """How long one faulty upstream kept receiving requests."""

    #: Time from the fault's start to the last request before the upstream was ejected; to the
    #: fault's end if it was not.
    after_s: float
    #: Requests that the upstream got in that time.
    requests: int
    #: Whether the upstream stopped receiving requests.
    stopped: bool


@dataclass(frozen=True, slots=True)
class Figures:
    """The metrics of one trace under one policy."""

    #: One for each fault that should be detected.
    detections: Sequence[Detection]
    #: Healthy upstreams that were ejected, counted once for all instances.
    false_ejections: int
    #: Requests of the trace.
    requests: int
    #: Requests answered in time, by the policy and by the oracle. Only responses before the trace's
    #: end count, because requests still queued then say nothing about how the load was handled.
    answered: int
    oracle_answered: int
    #: Requests without a response by their deadline.
    missed: int
    #: Requests refused as not run.
    refused: int
    #: Requests answered with a failure.
    failed: int
    #: Of answered requests: the time beyond the upstream's work, and the total time.
    added_s: Sequence[float]
    latency_s: Sequence[float]
    #: The smallest share that any client got of its fair share.
    least_share: float
    #: First attempts, and further ones.
    first_tries: int
    further_tries: int
    #: Non-idempotent requests that more than one upstream began.
    doubled: int
    #: Messages between instances, per second and instance.
    messages_per_s: float

    @property
    def goodput(self) -> float:
        """Return the requests answered in time as a share of the oracle's."""
        return self.answered / max(1, self.oracle_answered)

    @property
    def undetected(self) -> int:
        """Return how many faulty upstreams kept receiving requests."""
        return sum(not each.stopped for each in self.detections)

    @property
    def retry_share(self) -> float:
        """Return further attempts as a share of first ones."""
        return self.further_tries / max(1, self.first_tries)


def figures(trace: Trace, log: PlayLog, oracle: Sequence[bool]) -> Figures:
    """Compute the metrics of a replayed trace."""
    endings = Counter(each.ending for each in log.requests)
    tried = [each for each in log.requests if each.attempts]
    pairs = list(zip(trace.requests, log.requests, strict=True))
    added_s = [
        done.ended_s - asked.at_s - asked.work_s
        for asked, done in pairs
        if done.ending is Ending.ANSWERED
    ]
    in_time = [
        done.ending is Ending.ANSWERED and done.ended_s <= trace.header.duration_s
        for done in log.requests
    ]
    return Figures(
        [_detection(trace, log, fault) for fault in _detectable_faults(trace)],
        _false_ejections(trace, log),
        len(trace.requests),
        sum(in_time),
        sum(oracle),
        endings[Ending.MISSED] + endings[Ending.OPEN],
        endings[Ending.REFUSED],
        endings[Ending.FAILED],
        added_s,
        [done.ended_s - asked.at_s for asked, done in pairs if done.ending is Ending.ANSWERED],
        _least_share(trace, in_time, oracle),
        len(tried),
        sum(each.attempts - 1 for each in tried),
        sum(done.runs > 1 and not asked.idempotent for asked, done in pairs),
        log.messages / trace.header.duration_s / len(trace.header.members),
    )


def quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile at ``share`` (nearest rank); 0 for no values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else 0.0


def _detectable(fault: Fault) -> bool:
    return fault.kind in _DETECTABLE_KINDS and fault.share >= _MIN_FAULT_SHARE


def _detectable_faults(trace: Trace) -> Sequence[Fault]:
    """Return the faults to detect; none if all upstreams are faulty in the same way."""
    faults = [fault for fault in trace.faults if _detectable(fault)]
    all_alike = len({fault.upstream for fault in faults}) == len(trace.header.upstreams)
    return [] if all_alike else faults


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
    window_s = max(_EJECTED_MIN_WINDOW_S, _EJECTED_WINDOW_REQUESTS / max(fair_per_s, 1e-9))
    allowed = max(1.0, _EJECTED_SHARE * fair_per_s * window_s)
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
        if _was_faulty(trace, upstream, member, at_s):
            continue
        # Ejections by members that follow another member's ejection are not counted again.
        if at_s - last_s.get(upstream, float("-inf")) > _FAULT_AFTEREFFECT_S:
            count += 1
        last_s[upstream] = at_s
    return count


def _was_faulty(trace: Trace, upstream: UpstreamName, member: int, at_s: float) -> bool:
    """Return whether the upstream was faulty at the time, unless all upstreams were."""
    faulty: set[UpstreamName] = {
        fault.upstream
        for fault in trace.faults
        if _detectable(fault)
        and fault.member in (-1, member)
        and fault.at_s <= at_s < fault.until_s + _FAULT_AFTEREFFECT_S
    }
    return upstream in faulty and len(faulty) < len(trace.header.upstreams)


def _least_share(trace: Trace, in_time: Sequence[bool], oracle: Sequence[bool]) -> float:
    asked: Counter[CallerId] = Counter(each.caller for each in trace.requests)
    got: Counter[CallerId] = Counter(
        each.caller for each, answered in zip(trace.requests, in_time, strict=True) if answered
    )
    fair = _max_min_fair(asked, float(sum(oracle)))
    shares = [
        min(1.0, got[caller] / max(fair[caller], 1e-9))
        for caller, count in asked.items()
        if count >= _MIN_CLIENT_REQUESTS
    ]
    return min(shares, default=1.0)


def _max_min_fair(demands: Mapping[CallerId, int], capacity: float) -> dict[CallerId, float]:
    """Divide a capacity between clients by max-min fairness."""
    shares: dict[CallerId, float] = {}
    capacity_left, clients_left = capacity, len(demands)
    for caller in sorted(demands, key=lambda each: (demands[each], each)):
        shares[caller] = min(float(demands[caller]), capacity_left / clients_left)
        capacity_left -= shares[caller]
        clients_left -= 1
    return shares
