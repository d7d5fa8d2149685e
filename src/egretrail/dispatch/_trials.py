"""When an upstream that failed is tried again with real work."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from egretrail.dispatch._load import FleetLoad
from egretrail.dispatch._suspicion import SuspicionBook
from egretrail.dispatch._window import SlidingSum
from egretrail.traffic import UpstreamRecord

#: The number of instances that may try a suspect doubles this often: with a request of the service
#: every second at each instance, the first few get one within a second.
_TRIAL_DOUBLING_S = 0.25
#: Idempotent work tries after this part of the pause, a second at first: a failed trial is sent
#: elsewhere within milliseconds and costs a repeat and no answer.
_REPEATABLE_HASTE = 0.2
#: Work that must not be repeated tries after this part of the pause, by the share of the slots of
#: upstreams in service that are taken. Each failed trial is a lost answer, and room that nobody
#: needs is worth none. Between these loads the part is on the line between the two.
_IDLE_LOAD, _IDLE_HASTE = 0.5, 3.0
_USUAL_LOAD, _USUAL_HASTE = 0.8, 1.0
_FULL_LOAD, _FULL_HASTE = 1.0, 0.5
#: Work that must not be repeated leaves trials to work that may be, where this instance had any
#: of the service within this time; below the usual load, where nobody needs the suspects' slots.
_SCOUTS_WINDOW_S = 4.0
#: With more than this share of a service's recent requests failing, trials are not put off: the
#: upstreams in service may be the worse ones, and a part of those outside may be sound again.
_FAILING_SHARE = 0.06
#: The time over which failures are counted for it.
_FAILING_WINDOW_S = 4.0


@dataclass(slots=True)
class TrialPace:
    """Which suspect, if any, the next request tries.

    Load: failing spells last from seconds to half a minute, and each trial during one fails. A
    service with room to spare waits for the likely end of the spell; a full one, or one that can
    repeat the request, finds out sooner.
    """

    #: Requests under way over the fleet.
    load: FleetLoad
    #: Doubts about upstreams.
    suspicion: SuspicionBook
    #: This instance's place among those that may try a suspect; 0 is the first.
    rank: Callable[[UpstreamRecord], int] = lambda record: 0
    #: The fleet's requests of a service in a second.
    request_rate: Callable[[str, float], float] = lambda service, now_s: 0.0
    _failures: dict[str, SlidingSum] = field(default_factory=dict)
    #: When this instance last had a request of a service that may be repeated.
    _scouted_s: dict[str, float] = field(default_factory=dict)

    def failed(self, service: str, now_s: float) -> None:
        """Count a request that an upstream did not serve, at any instance."""
        self._failures.setdefault(service, SlidingSum(_FAILING_WINDOW_S)).add(1, now_s)

    def due(
        self,
        service: str,
        suspects: Sequence[UpstreamRecord],
        in_service: Sequence[UpstreamRecord],
        now_s: float,
        *,
        repeatable: bool,
    ) -> UpstreamRecord | None:
        """Return a suspect that this instance may send one request to now.

        Which instances may is settled by rank, beginning with one of the upstream's own zone and
        doubling with time: requests come in clumps, and instances that decide at the same moment
        cannot see each other's trials.
        """
        if repeatable:
            self._scouted_s[service] = now_s
        if not suspects:
            return None
        busy = self._busy(in_service, now_s)
        if not repeatable and busy < _USUAL_LOAD and self._has_scouts(service, now_s):
            return None
        haste = self._haste(service, busy, now_s, repeatable=repeatable)
        for record in suspects:
            overdue_s = self.suspicion.overdue_s(record.id, now_s, haste)
            if overdue_s < 0 or self.load.in_flight(record.id, now_s) > 0:
                continue
            allowed = 1 << min(int(overdue_s / _TRIAL_DOUBLING_S), 16)
            if self.rank(record) < allowed:
                return record
        return None

    def _has_scouts(self, service: str, now_s: float) -> bool:
        """Return whether requests that may be repeated flow, whose failed trials lose no answer."""
        return now_s - self._scouted_s.get(service, float("-inf")) < _SCOUTS_WINDOW_S

    def _busy(self, in_service: Sequence[UpstreamRecord], now_s: float) -> float:
        slots = sum(record.slots for record in in_service)
        taken = sum(self.load.in_flight(record.id, now_s) for record in in_service)
        return taken / slots if slots else 1.0

    def _haste(self, service: str, busy: float, now_s: float, *, repeatable: bool) -> float:
        """Return the part of the pause that has to pass before a trial."""
        if repeatable:
            return _REPEATABLE_HASTE
        if busy >= _USUAL_LOAD:
            return _between(busy, _USUAL_LOAD, _USUAL_HASTE, _FULL_LOAD, _FULL_HASTE)
        if self._failing(service, now_s):
            return _USUAL_HASTE
        return _between(busy, _IDLE_LOAD, _IDLE_HASTE, _USUAL_LOAD, _USUAL_HASTE)

    def _failing(self, service: str, now_s: float) -> bool:
        failures = self._failures.get(service)
        if failures is None:
            return False
        failed_per_s = failures.total(now_s) / _FAILING_WINDOW_S
        return failed_per_s > _FAILING_SHARE * self.request_rate(service, now_s)


def _between(load: float, low: float, low_haste: float, high: float, high_haste: float) -> float:
    """Return the haste on the line between two loads, and the nearer end's outside of them."""
    part = min(max((load - low) / (high - low), 0.0), 1.0)
    return low_haste + part * (high_haste - low_haste)
