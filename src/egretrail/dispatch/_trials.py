"""Decides when a suspected upstream is tried again with a real request."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from egretrail.dispatch._load import FleetLoad
from egretrail.dispatch._sliding_window import SlidingSum
from egretrail.dispatch._suspicion import SuspicionTable
from egretrail.traffic import UpstreamRecord

#: The number of instances that may try a suspect doubles at this interval. If each instance gets a
#: request of the service every second, one of the first few has a request within a second.
_TRIAL_DOUBLING_S = 0.25
#: Part of the pause after which a retryable request may be a trial; a second at first. A failed
#: trial is retried elsewhere within milliseconds. It costs a retry and no response.
_RETRYABLE_PAUSE_FACTOR = 0.2
#: Part of the pause after which a request that must not be retried may be a trial, by the share of
#: slots taken at the upstreams in service. Each failed trial loses a response, and spare capacity
#: is worth nothing. Between these loads the part is interpolated.
_IDLE_LOAD, _IDLE_PAUSE_FACTOR = 0.5, 3.0
_TYPICAL_LOAD, _TYPICAL_PAUSE_FACTOR = 0.8, 1.0
_FULL_LOAD, _FULL_PAUSE_FACTOR = 1.0, 0.5
#: Requests that must not be retried are no trials if this instance had a retryable request of the
#: service within this time. This applies below the typical load, when the suspects' slots are not
#: needed.
_RETRYABLE_WINDOW_S = 4.0
#: If more than this share of a service's recent requests fails, trials are not postponed: the
#: upstreams in service may be the worse ones, and some suspects may work again.
_FAILING_SHARE = 0.06
#: The time over which these failures are counted.
_FAILING_WINDOW_S = 4.0


@dataclass(slots=True)
class TrialScheduler:
    """Chooses the suspect, if any, that the next request tries.

    Failure periods last from seconds to half a minute, and each trial during one fails. A service
    with spare capacity waits for the likely end of the failure period. A full service, or one that
    can retry the request, tries sooner.
    """

    #: Requests in flight over the fleet.
    load: FleetLoad
    #: Suspicions about upstreams.
    suspicion: SuspicionTable
    #: Rank of this instance among those that may try a suspect; 0 is the first.
    rank: Callable[[UpstreamRecord], int] = lambda record: 0
    #: The fleet's requests of a service per second.
    request_rate: Callable[[str, float], float] = lambda service, now_s: 0.0
    _failures: dict[str, SlidingSum] = field(default_factory=dict)
    #: When this instance last had a retryable request of a service.
    _last_retryable_s: dict[str, float] = field(default_factory=dict)

    def record_failure(self, service: str, now_s: float) -> None:
        """Count a request that an upstream failed at any instance."""
        self._failures.setdefault(service, SlidingSum(_FAILING_WINDOW_S)).add(1, now_s)

    def find_due(
        self,
        service: str,
        suspects: Sequence[UpstreamRecord],
        in_service: Sequence[UpstreamRecord],
        now_s: float,
        *,
        is_retryable: bool,
    ) -> UpstreamRecord | None:
        """Return a suspect to which this instance may send one request now, or None.

        Rank decides which instances may: first one of the upstream's own zone, then twice as many
        at each interval. Requests arrive in bursts, and instances that decide at the same moment
        cannot see each other's trials.
        """
        if is_retryable:
            self._last_retryable_s[service] = now_s
        if not suspects:
            return None
        utilization = self._utilization(in_service, now_s)
        if (
            not is_retryable
            and utilization < _TYPICAL_LOAD
            and self._has_retryable_requests(service, now_s)
        ):
            return None
        pause_factor = self._pause_factor(service, utilization, now_s, is_retryable=is_retryable)
        for record in suspects:
            overdue_s = self.suspicion.overdue_s(record.id, now_s, pause_factor)
            if overdue_s < 0 or self.load.in_flight(record.id, now_s) > 0:
                continue
            allowed = 1 << min(int(overdue_s / _TRIAL_DOUBLING_S), 16)
            if self.rank(record) < allowed:
                return record
        return None

    def _has_retryable_requests(self, service: str, now_s: float) -> bool:
        """Return whether there are retryable requests, whose failed trials lose no response."""
        return now_s - self._last_retryable_s.get(service, float("-inf")) < _RETRYABLE_WINDOW_S

    def _utilization(self, in_service: Sequence[UpstreamRecord], now_s: float) -> float:
        slots = sum(record.slots for record in in_service)
        taken = sum(self.load.in_flight(record.id, now_s) for record in in_service)
        return taken / slots if slots else 1.0

    def _pause_factor(
        self, service: str, utilization: float, now_s: float, *, is_retryable: bool
    ) -> float:
        """Return the part of the pause that has to pass before a trial."""
        if is_retryable:
            return _RETRYABLE_PAUSE_FACTOR
        if utilization >= _TYPICAL_LOAD:
            return _interpolate(
                utilization, _TYPICAL_LOAD, _TYPICAL_PAUSE_FACTOR, _FULL_LOAD, _FULL_PAUSE_FACTOR
            )
        if self._is_failing(service, now_s):
            return _TYPICAL_PAUSE_FACTOR
        return _interpolate(
            utilization, _IDLE_LOAD, _IDLE_PAUSE_FACTOR, _TYPICAL_LOAD, _TYPICAL_PAUSE_FACTOR
        )

    def _is_failing(self, service: str, now_s: float) -> bool:
        failures = self._failures.get(service)
        if failures is None:
            return False
        failed_per_s = failures.total(now_s) / _FAILING_WINDOW_S
        return failed_per_s > _FAILING_SHARE * self.request_rate(service, now_s)


def _interpolate(
    load: float, low: float, low_factor: float, high: float, high_factor: float
) -> float:
    """Return the pause factor interpolated between two loads, and clamped to them."""
    fraction = min(max((load - low) / (high - low), 0.0), 1.0)
    return low_factor + fraction * (high_factor - low_factor)
