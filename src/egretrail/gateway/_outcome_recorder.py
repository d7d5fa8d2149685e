"""Records outcomes of requests, observed here or reported by hubs."""

from collections.abc import Iterable, Mapping

from egretrail.cluster import OutcomeReport
from egretrail.dispatch import (
    RESPONSE_OUTCOMES,
    FleetLoad,
    Observation,
    Outcome,
    Placement,
    ServiceDurations,
    SuspicionTable,
    UpstreamHealth,
)
from egretrail.gateway._log import EventLog
from egretrail.traffic import UpstreamRecord, UpstreamTable, upstream_key

_SUSPECTED = frozenset({UpstreamHealth.SUSPECT, UpstreamHealth.PROBATION})
#: Outcomes after which the attempt brings no answer to the client.
_LOST_ANSWERS = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.SILENT, Outcome.SHED})
#: A refusal that this instance observed returns in its zone's aggregates within this time. Counted
#: twice, it would rank the upstream behind the others for twice as long.
_ECHO_S = 0.6


class OutcomeRecorder:
    """Records outcomes as evidence: suspicions, loads, durations and trials."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        load: FleetLoad,
        durations: ServiceDurations,
        suspicion: SuspicionTable,
        placement: Placement,
        log: EventLog,
    ) -> None:
        self._upstreams = upstreams
        self._load = load
        self._durations = durations
        self._suspicion = suspicion
        self._placement = placement
        self._log = log
        #: When an upstream last refused a request of this instance.
        self._refused_s: dict[str, float] = {}
        #: The ids of the listed upstreams by key.
        self.ids_by_key: Mapping[int, str] = {}

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Set the listed upstreams, and discard the state of all others."""
        self.ids_by_key = {upstream_key(upstream_id): upstream_id for upstream_id in upstream_ids}
        listed = set(self.ids_by_key.values())
        for upstream_id in self._refused_s.keys() - listed:
            del self._refused_s[upstream_id]

    def record_own(self, observation: Observation, own_name: str, now_s: float) -> None:
        """Record an outcome that this instance observed."""
        self._record(observation, own_name, now_s)
        if observation.outcome is Outcome.SHED:
            self._refused_s[observation.upstream_id] = now_s

    def record_reported(
        self, report: OutcomeReport, now_s: float, *, is_own_zone: bool = True
    ) -> None:
        """Record an outcome that another instance reported.

        Overdue requests are compared with answers, which are known for the own zone only. Those of
        other zones therefore count only as trials of suspects.
        """
        upstream_id = self.ids_by_key.get(report.upstream_key)
        if upstream_id is None:
            return
        is_compared = report.outcome is Outcome.OVERDUE and not is_own_zone
        if not is_compared or self._suspicion.health(upstream_id, now_s) in _SUSPECTED:
            observation = Observation(upstream_id, report.outcome, report.duration_s)
            self._record(observation, report.observer, now_s)

    def record_reported_refusal(self, key: int, now_s: float) -> None:
        """Record that an upstream recently refused a request of some instance."""
        upstream_id = self.ids_by_key.get(key)
        if upstream_id is None:
            return
        if now_s - self._refused_s.get(upstream_id, float("-inf")) > _ECHO_S:
            self._suspicion.record_reported_shed(upstream_id, now_s)
            self._placement.trials.record_failure(
                self._upstreams.records[upstream_id].service, now_s
            )

    def record_reported_successes(self, key: int, duration_s: float, now_s: float) -> None:
        """Record recent successes of an upstream, which include those of this instance."""
        record = self._upstreams.records.get(self.ids_by_key.get(key, ""))
        if record is None:
            return
        if self._suspicion.has_no_evidence(record.id):
            self._suspicion.record_response(record.id, "", now_s)
            self._load.record_response(record.id, now_s)
            self._record_duration(record, duration_s, now_s)
            return
        observation = Observation(record.id, Outcome.SUCCESS, duration_s)
        self._record(observation, "", now_s)

    def _record(self, observation: Observation, observer: str, now_s: float) -> None:
        record = self._upstreams.records.get(observation.upstream_id)
        if record is None:
            return
        before = self._suspicion.health(observation.upstream_id, now_s)
        typical_s = self._durations.mean_s(record.service)
        self._suspicion.record_outcome(observation, observer, typical_s, now_s)
        if observation.outcome in RESPONSE_OUTCOMES:
            self._load.record_response(observation.upstream_id, now_s)
        if observation.outcome is Outcome.SUCCESS:
            self._record_duration(record, observation.duration_s, now_s)
        elif observation.outcome in _LOST_ANSWERS:
            self._placement.trials.record_failure(record.service, now_s)
        after = self._suspicion.health(observation.upstream_id, now_s)
        if before is not after:
            self._log.event(
                "upstream_standing",
                upstream=observation.upstream_id,
                service=record.service,
                before=before.value,
                after=after.value,
                outcome=observation.outcome.name.lower(),
                observer=observer,
                duration_s=observation.duration_s,
            )

    def _record_duration(self, record: UpstreamRecord, duration_s: float, now_s: float) -> None:
        """Record the duration of work without the time spent waiting for a slot."""
        under_way = self._load.in_flight(record.id, now_s) + 1
        waiting = max(under_way - record.slots, 0) / record.slots
        self._durations.record(record.service, record.id, duration_s / (1.0 + waiting))
