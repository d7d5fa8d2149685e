"""Takes upstreams out of service that fail requests.

At any time some upstreams of a service fail most of their requests for several seconds while their
health checks pass. One instance sends a given upstream a request every few seconds, which is far
too few to detect this alone. The observations of the whole fleet reveal a failing upstream with its
first failures.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from egretrail.dispatch._observation import RESPONSE_OUTCOMES, Observation, Outcome
from egretrail.dispatch._overdue import OverdueTable
from egretrail.dispatch._reachability import (
    FIRST_PATH_PAUSE_S,
    RESPONSE_MARGIN_S,
    ReachabilityTable,
)

#: A failure within this share of the typical duration indicates an upstream that does not work at
#: all. A healthy upstream has single failures that take as long as a normal request.
_QUICK_SHARE = 0.3
#: Weak evidence counts from this number on within the window; later failures are unrelated.
_WEAK_QUORUM = 2
_WEAK_WINDOW_S = 3.0
#: Time before the first trial after a failure, its growth with each failed trial, and its maximum.
#: Failure periods last from several seconds to half a minute. An early trial fails nearly always,
#: and each failed trial costs a client's request.
FIRST_PAUSE_S = 5.0
_PAUSE_GROWTH = 1.2
_PAUSE_MAX_S = 8.0
#: How long weak evidence puts an upstream behind the others.
_WEAK_SUSPICION_S = 2.5
#: A request that was sent so soon after a suspicion began may have started before it: observations
#: of other zones arrive up to a fifth of a second late.
_CLEAR_MARGIN_S = 0.25
#: Successes in a row, one request at a time, before a suspect returns to full service. An upstream
#: that fails half of its requests passes every other trial.
_PROBATION_SUCCESSES = 2
#: For how long after a trial is due an instance whose own path failed leaves it to the others. By
#: then the number of instances that may try has doubled eight times.
_OTHERS_FIRST_S = 2.0
#: How long an upstream counts as shedding after it refused a request. A full upstream has a free
#: slot when one of its requests ends; one that refuses without need reaches the maximum in four
#: steps.
_SHED_FIRST_S = 0.25
_SHED_GROWTH = 2.0
_SHED_MAX_S = 2.0


class UpstreamHealth(enum.Enum):
    """How an upstream may be used now."""

    #: As its load permits.
    GOOD = "good"
    #: After the others: the evidence against it is weak. It may be chance, or an overload of all
    #: upstreams.
    WEAKLY_SUSPECT = "doubted"
    #: Only as a last resort: this instance's own network path to it failed recently.
    UNREACHABLE_FROM_HERE = "unreached"
    #: One request at a time, by few instances: it passed a trial.
    PROBATION = "probation"
    #: Not at all until its pause has passed.
    SUSPECT = "suspect"


@dataclass(slots=True)
class _Suspicion:
    """The suspicion about one upstream that is not in full service."""

    #: When the suspicion began or was last confirmed; only requests sent later can clear it.
    since_s: float
    #: The time from then to the next trial.
    pause_s: float
    #: Whether the evidence is weak; such a suspicion expires.
    is_weak: bool = False
    #: If the reason is that several instances could not reach it: when the first of their attempts
    #: began. None if the reason is that it failed requests.
    first_attempt_s: float | None = None
    #: Successes since the last failure.
    successes: int = 0
    #: Time of the last success.
    last_success_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SuspicionRecord:
    """A suspicion as an instance sends it to another one that has just started."""

    #: Id of the upstream's lifetime.
    upstream_id: str
    #: Time since the suspicion began or was last confirmed.
    age_s: float
    #: The time from then to the next trial.
    pause_s: float
    #: Successes since.
    successes: int


class SuspicionTable:
    """Suspicions about upstreams, equal on all instances that receive the same observations."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._suspicions: dict[str, _Suspicion] = {}
        #: Weak evidence: the observer and the time of each failure.
        self._weak_evidence: dict[str, list[tuple[str, float]]] = {}
        #: Until when upstreams count as shedding, and the length of that time.
        self._shedding: dict[str, tuple[float, float]] = {}
        self._reachability = ReachabilityTable(own_name)
        self._overdue = OverdueTable(own_name)

    def record_outcome(
        self, observation: Observation, observer: str, typical_s: float, now_s: float
    ) -> None:
        """Record an outcome that was observed now; ``typical_s`` is the typical duration."""
        if observation.outcome in RESPONSE_OUTCOMES:
            self.record_response(observation.upstream_id, observer, now_s)
        match observation.outcome:
            case Outcome.SUCCESS:
                self._record_success(
                    observation.upstream_id, observer, now_s - observation.duration_s, now_s
                )
            case Outcome.SHED:
                self._record_shed(observation.upstream_id, now_s)
            case Outcome.FAILED | Outcome.BROKEN:
                is_quick = observation.duration_s < typical_s * _QUICK_SHARE
                self._record_failure(observation, observer, is_quick, now_s)
            case Outcome.OVERDUE:
                sent_s = now_s - observation.duration_s
                is_frequent = self._overdue.record_overdue(
                    observation.upstream_id, observer, sent_s, now_s
                )
                self._record_overdue(observation, now_s, is_frequent=is_frequent)
            case Outcome.UNREACHABLE | Outcome.SILENT:
                self._record_unreachable(observation, observer, now_s)

    def record_response(self, upstream_id: str, observer: str, now_s: float) -> None:
        """Record that an upstream responded to an instance, which shows that it is reachable.

        If it is suspected because instances could not reach it, only their paths had failed. It
        returns to service at once, and more instances have to fail before the next such suspicion.
        """
        self._overdue.record_answer(upstream_id, observer, now_s)
        if observer == self._own_name:
            self._reachability.resume(upstream_id)
        self._reachability.record_response(upstream_id, now_s)
        suspicion = self._suspicions.get(upstream_id)
        if suspicion is None or suspicion.first_attempt_s is None:
            return
        if now_s >= suspicion.first_attempt_s + RESPONSE_MARGIN_S:
            del self._suspicions[upstream_id]
            self._reachability.raise_quorum(upstream_id, now_s)

    def record_reported_shed(self, upstream_id: str, now_s: float) -> None:
        """Record a refusal that another instance reported without its time.

        It may be older than a failure to reach the upstream, so it does not show that the upstream
        responds now.
        """
        self._record_shed(upstream_id, now_s)

    def pause_path(self, upstream_id: str, now_s: float) -> None:
        """Avoid an upstream for a while because this instance's network path to it failed."""
        self._reachability.pause(upstream_id, now_s)

    def resume_path(self, upstream_id: str) -> None:
        """End the pause of one upstream: this instance's network path to it works."""
        self._reachability.resume(upstream_id)

    def resume_paths(self) -> None:
        """End all pauses that began because of this instance's own network paths."""
        self._reachability.resume_all()

    def health(self, upstream_id: str, now_s: float) -> UpstreamHealth:
        """Return how this instance may use an upstream."""
        suspicion = self._suspicions.get(upstream_id)
        if suspicion is not None and not suspicion.is_weak:
            return UpstreamHealth.PROBATION if suspicion.successes else UpstreamHealth.SUSPECT
        if self._reachability.is_paused(upstream_id, now_s):
            return UpstreamHealth.UNREACHABLE_FROM_HERE
        if suspicion is None or now_s - suspicion.since_s > _WEAK_SUSPICION_S:
            return UpstreamHealth.GOOD
        return UpstreamHealth.WEAKLY_SUSPECT

    def out_of_service(self) -> set[str]:
        """Return the upstreams that are out of service for all instances, or on probation."""
        return {
            upstream_id
            for upstream_id, suspicion in self._suspicions.items()
            if not suspicion.is_weak
        }

    def has_no_evidence(self, upstream_id: str) -> bool:
        """Return whether no evidence is held against an upstream, so a success changes nothing."""
        is_known = upstream_id in self._suspicions or upstream_id in self._weak_evidence
        return not is_known and not self._reachability.has_evidence(upstream_id)

    def has_unanswered_failures(self, upstream_id: str) -> bool:
        """Return whether instances failed to reach an upstream since its last known response."""
        return self._reachability.has_failures(upstream_id)

    def is_shedding(self, upstream_id: str, now_s: float) -> bool:
        """Return whether an upstream recently refused a request without running it.

        In an overload all upstreams of a service refuse requests at once. A refusal therefore takes
        no upstream out of service. It only puts the others first, so that the service is used up to
        its capacity.
        """
        until_s, _ = self._shedding.get(upstream_id, (0.0, 0.0))
        return until_s > now_s

    def overdue_s(self, upstream_id: str, now_s: float, pause_factor: float = 1.0) -> float:
        """Return for how long a suspect's trial has been due; negative before that time.

        The pause is multiplied by ``pause_factor``. While paths fail for a fifth of the instances,
        a trial of one of them shows nothing and costs its request 0.35 s. An instance whose own
        path failed therefore leaves the trial to others, and tries only if nobody else did.
        """
        if self._reachability.is_paused(upstream_id, now_s):
            return float("-inf")
        suspicion = self._suspicions.get(upstream_id)
        if suspicion is None:
            return 0.0
        overdue_s = now_s - suspicion.since_s - suspicion.pause_s * pause_factor
        if suspicion.successes:
            overdue_s = now_s - suspicion.last_success_s
        if self._reachability.has_failed_path(upstream_id, now_s):
            overdue_s -= _OTHERS_FIRST_S
        return overdue_s

    def export_records(self, now_s: float) -> list[SuspicionRecord]:
        """Return all suspicions that are not weak, for an instance that has just started.

        Without them a restarted instance sends its first requests to upstreams that the fleet knows
        to fail. After many restarts at once, each instance would lose a request to each of these
        upstreams.
        """
        return [
            SuspicionRecord(
                upstream_id, now_s - suspicion.since_s, suspicion.pause_s, suspicion.successes
            )
            for upstream_id, suspicion in self._suspicions.items()
            if not suspicion.is_weak
        ]

    def import_records(self, records: Iterable[SuspicionRecord], now_s: float) -> None:
        """Add another instance's suspicions about upstreams that are not suspected here."""
        for record in records:
            since_s = now_s - record.age_s
            suspicion = _Suspicion(
                since_s, record.pause_s, successes=record.successes, last_success_s=now_s
            )
            self._suspicions.setdefault(record.upstream_id, suspicion)

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Remove upstreams that are no longer listed."""
        listed = set(upstream_ids)
        tables = (self._suspicions, self._weak_evidence, self._shedding)
        for table in tables:
            for upstream_id in table.keys() - listed:
                table.pop(upstream_id)
        self._reachability.keep_only(listed)
        self._overdue.keep_only(listed)

    def _record_success(
        self, upstream_id: str, observer: str, started_s: float, now_s: float
    ) -> None:
        suspicion = self._suspicions.get(upstream_id)
        if suspicion is None or started_s < suspicion.since_s + _CLEAR_MARGIN_S:
            return
        suspicion.successes += 1
        suspicion.last_success_s = now_s
        if suspicion.successes >= _PROBATION_SUCCESSES:
            del self._suspicions[upstream_id]
            self._weak_evidence.pop(upstream_id, None)

    def _record_shed(self, upstream_id: str, now_s: float) -> None:
        until_s, length_s = self._shedding.get(upstream_id, (0.0, 0.0))
        is_repeated = now_s < until_s + length_s
        length_s = min(length_s * _SHED_GROWTH, _SHED_MAX_S) if is_repeated else _SHED_FIRST_S
        self._shedding[upstream_id] = (now_s + length_s, length_s)

    def _record_failure(
        self, observation: Observation, observer: str, is_quick: bool, now_s: float
    ) -> None:
        suspicion = self._suspicions.get(observation.upstream_id)
        if suspicion is not None and not suspicion.is_weak:
            self._extend_pause(suspicion, observation, now_s)
            return
        # An upstream that has just reset one connection serves the next request three times in
        # five, one that has failed one quickly one time in ten.
        is_conclusive = is_quick and observation.outcome is Outcome.FAILED
        is_confirmed = is_conclusive or self._add_weak_evidence(observation, observer, now_s)
        if is_quick and is_confirmed:
            self._suspicions[observation.upstream_id] = _Suspicion(now_s, FIRST_PAUSE_S)
        elif is_confirmed:
            # Slow responses and single failures are weak evidence: they occur at every upstream
            # whose slots are all taken. Taking such upstreams out of service would overload the
            # others, one after the other.
            self._suspicions[observation.upstream_id] = _Suspicion(
                now_s, _WEAK_SUSPICION_S, is_weak=True
            )

    def _record_overdue(self, observation: Observation, now_s: float, *, is_frequent: bool) -> None:
        """Put an upstream that hangs behind the others, or extend a suspect's pause."""
        suspicion = self._suspicions.get(observation.upstream_id)
        if suspicion is not None and not suspicion.is_weak:
            self._extend_pause(suspicion, observation, now_s)
        elif is_frequent:
            self._suspicions[observation.upstream_id] = _Suspicion(
                now_s, _WEAK_SUSPICION_S, is_weak=True
            )

    def _record_unreachable(self, observation: Observation, observer: str, now_s: float) -> None:
        """Take an upstream out of service that no instance reaches, or extend a suspect's pause.

        At the heaviest load, upstreams crash while three in ten are suspected for failing requests.
        Trials at those cannot connect, and each costs its request 0.35 s. If such a trial extended
        only the pauses of suspects that were unreachable before, each of 132 instances would send
        one: 600 were sent in 2 s. On probation the upstream has just responded to some instance, so
        that one failed path shows nothing about it.
        """
        upstream_id = observation.upstream_id
        first_attempt_s = self._reachability.record_failure(
            upstream_id, observer, now_s - observation.duration_s, now_s
        )
        suspicion = self._suspicions.get(upstream_id)
        if suspicion is None or suspicion.is_weak:
            if first_attempt_s is not None:
                self._suspicions[upstream_id] = _Suspicion(
                    now_s, FIRST_PATH_PAUSE_S, first_attempt_s=first_attempt_s
                )
            return
        is_trial = not suspicion.successes and not self._reachability.is_discredited(
            observer, now_s
        )
        if first_attempt_s is not None or is_trial:
            self._extend_pause(suspicion, observation, now_s)

    def _extend_pause(self, suspicion: _Suspicion, observation: Observation, now_s: float) -> None:
        """Extend the pause after a failed trial; requests sent before the suspicion are ignored."""
        if now_s - observation.duration_s < suspicion.since_s + _CLEAR_MARGIN_S:
            return
        pause_s = min(max(suspicion.pause_s * _PAUSE_GROWTH, FIRST_PAUSE_S), _PAUSE_MAX_S)
        self._suspicions[observation.upstream_id] = _Suspicion(
            now_s, pause_s, first_attempt_s=suspicion.first_attempt_s
        )

    def _add_weak_evidence(self, observation: Observation, observer: str, now_s: float) -> bool:
        """Add weak evidence; return whether there is enough of it."""
        evidence = self._weak_evidence.setdefault(observation.upstream_id, [])
        evidence[:] = [(name, at_s) for name, at_s in evidence if now_s - at_s < _WEAK_WINDOW_S]
        evidence.append((observer, now_s))
        return len(evidence) >= _WEAK_QUORUM
