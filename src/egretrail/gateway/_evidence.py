"""What outcomes of requests, seen here or told by hubs, say about upstreams."""

from collections.abc import Iterable, Mapping

from egretrail.cluster import Finding
from egretrail.dispatch import (
    FleetLoad,
    Observation,
    Outcome,
    Placement,
    ServiceDurations,
    SuspicionBook,
)
from egretrail.gateway._log import EventLog
from egretrail.traffic import UpstreamRecord, UpstreamTable, upstream_key

#: Outcomes that come with an answer of the upstream.
_ANSWERED = frozenset({Outcome.SUCCESS, Outcome.FAILED, Outcome.SHED, Outcome.EXPIRED})
#: Outcomes after which the attempt brings no answer to the client.
_LOST_ANSWERS = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.SILENT, Outcome.SHED})
#: A refusal that this instance saw itself comes back in its zone's sums within this time; counted
#: twice it would put the upstream behind the others for twice as long.
_ECHO_S = 0.6


class Evidence:
    """Takes outcomes and tells the decisions' books: doubts, loads, durations, trials."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        load: FleetLoad,
        durations: ServiceDurations,
        suspicion: SuspicionBook,
        placement: Placement,
        log: EventLog,
    ) -> None:
        self._upstreams = upstreams
        self._load = load
        self._durations = durations
        self._suspicion = suspicion
        self._placement = placement
        self._log = log
        #: When this instance was last refused by an upstream.
        self._refused_s: dict[str, float] = {}
        #: The lifetimes of the listed upstreams by key.
        self.ids: Mapping[int, str] = {}

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Take which upstreams are listed, and forget the others."""
        self.ids = {upstream_key(upstream_id): upstream_id for upstream_id in upstream_ids}
        listed = set(self.ids.values())
        for upstream_id in self._refused_s.keys() - listed:
            del self._refused_s[upstream_id]

    def observe(self, seen: Observation, own_name: str, now_s: float) -> None:
        """Take an outcome of this instance."""
        self._learn(seen, own_name, now_s)
        if seen.outcome is Outcome.SHED:
            self._refused_s[seen.upstream_id] = now_s

    def hear(self, finding: Finding, now_s: float) -> None:
        """Take a finding of another instance."""
        upstream_id = self.ids.get(finding.upstream_key)
        if upstream_id is not None:
            seen = Observation(upstream_id, finding.outcome, finding.duration_s)
            self._learn(seen, finding.observer, now_s)

    def hear_refusal(self, key: int, observer: str, now_s: float) -> None:
        """Take that an upstream lately refused a request of some instance."""
        upstream_id = self.ids.get(key)
        if upstream_id is None:
            return
        if now_s - self._refused_s.get(upstream_id, float("-inf")) > _ECHO_S:
            self._learn(Observation(upstream_id, Outcome.SHED, 0.0), observer, now_s)

    def hear_answers(self, key: int, duration_s: float, now_s: float) -> None:
        """Take successes that came at one time; this instance's own are among them."""
        record = self._upstreams.records.get(self.ids.get(key, ""))
        if record is None:
            return
        if self._suspicion.is_clear(record.id):
            self._load.answered(record.id, now_s)
            self._measure(record, duration_s, now_s)
            return
        seen = Observation(record.id, Outcome.SUCCESS, duration_s)
        self._learn(seen, "", now_s)

    def _learn(self, seen: Observation, observer: str, now_s: float) -> None:
        record = self._upstreams.records.get(seen.upstream_id)
        if record is None:
            return
        before = self._suspicion.standing(seen.upstream_id, now_s)
        usual_s = self._durations.mean_s(record.service)
        self._suspicion.observe(seen, observer, usual_s, now_s)
        if seen.outcome in _ANSWERED:
            self._load.answered(seen.upstream_id, now_s)
        if seen.outcome is Outcome.SUCCESS:
            self._measure(record, seen.duration_s, now_s)
        elif seen.outcome in _LOST_ANSWERS:
            self._placement.trials.failed(record.service, now_s)
        after = self._suspicion.standing(seen.upstream_id, now_s)
        if before is not after:
            self._log.event(
                "upstream_standing",
                upstream=seen.upstream_id,
                service=record.service,
                before=before.value,
                after=after.value,
                outcome=seen.outcome.name.lower(),
                observer=observer,
                duration_s=seen.duration_s,
            )

    def _measure(self, record: UpstreamRecord, duration_s: float, now_s: float) -> None:
        """Take the duration of work, without the part that was spent waiting for a slot."""
        under_way = self._load.in_flight(record.id, now_s) + 1
        waiting = max(under_way - record.slots, 0) / record.slots
        self._durations.observe(record.service, record.id, duration_s / (1.0 + waiting))
