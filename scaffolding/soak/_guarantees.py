"""Checks the documented guarantees against what clients and backends recorded."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from scaffolding.platform import StandInBackend
from scaffolding.soak._disturbances import DisturbanceLog
from scaffolding.soak._notices import requests_after_stated_draining, requests_during_backoff
from scaffolding.soak._sent_attempt import SentAttempt
from scaffolding.soak._urgency import urgency_violations

#: Statuses that guarantee that a request was not executed and never will be.
_NOT_RUN = frozenset({408, 421, 429, 503})
#: Statuses that deny a request, and how many may be denied. A route that is in all configurations
#: is never denied.
_DENIALS = (400, 401, 403, 404, 413, 431)
_DENIED_MAX, _DENIED_SHARE = 5, 1 / 500
#: The retry budget in the settings files that the fleet writes.
_RATIO, _SLACK, _WINDOW_S = 0.2, 60, 10.0


@dataclass(slots=True)
class GuaranteeChecker:
    """Collects observations of a run and finds violated guarantees."""

    #: Client attempts, ordered by completion.
    sent: list[SentAttempt] = field(default_factory=list)
    #: Times of configuration writes, each with the service of the moving route.
    config_changes: list[tuple[float, str]] = field(default_factory=list)
    #: Requests that a stopping gateway had read and that got no response.
    cut_at_shutdown: list[str] = field(default_factory=list)
    #: Requests that reached a draining backend after the time bound.
    late_to_draining: list[str] = field(default_factory=list)
    #: Processes that ended though they were not told to.
    ended: Sequence[str] = ()
    #: When faults were active.
    disturbances: DisturbanceLog = field(default_factory=DisturbanceLog)

    def violations(self, backends: Sequence[StandInBackend]) -> list[str]:
        """Return a description of each violated guarantee."""
        runs: Counter[str] = Counter()
        backends_by_attempt: dict[str, list[StandInBackend]] = defaultdict(list)
        for backend in backends:
            runs.update(backend.runs)
            for attempt in backend.runs:
                backends_by_attempt[attempt].append(backend)
        found = list(self.ended)
        found += [f"cut at a planned stop: {one}" for one in self.cut_at_shutdown]
        found += [f"sent to a leaving backend: {one}" for one in self.late_to_draining]
        for one in self.sent:
            found += self._attempt_violations(
                one, runs[one.result.attempt], backends_by_attempt[one.result.attempt]
            )
        found += self._denials()
        found += self._configuration_violations(backends_by_attempt)
        found += self._retry_budget_violations(backends)
        found += urgency_violations(self.sent)
        found += requests_after_stated_draining(self.sent, backends)
        found += requests_during_backoff(self.sent, backends, self.disturbances)
        return found

    def _attempt_violations(
        self, one: SentAttempt, runs: int, ran_on: Sequence[StandInBackend]
    ) -> list[str]:
        found = []
        attempt, status = one.result.attempt, one.result.status
        if one.is_at_most_once and runs > 1:
            found.append(f"{attempt} ran {runs} times")
        if status in _NOT_RUN and runs:
            found.append(f"{attempt} was answered {status} and ran")
        if status == 200 and not one.result.body.endswith(one.request_line.encode()):
            found.append(f"{attempt} got another answer: {one.result.body!r}")
        if status == 200 and not runs:
            found.append(f"{attempt} was answered and never ran")
        if one.service and any(backend.service != one.service for backend in ran_on):
            found.append(f"{attempt} ran at another service")
        return found

    def _denials(self) -> list[str]:
        """Return statuses that deny requests, which all configurations allow, too often."""
        counts = Counter(one.result.status for one in self.sent)
        denied = {status: counts[status] for status in _DENIALS if counts[status]}
        bound = _DENIED_MAX + _DENIED_SHARE * len(self.sent)
        return [
            f"{count} requests were denied with {status}"
            for status, count in denied.items()
            if status == 404 or sum(denied.values()) > bound
        ]

    def _configuration_violations(
        self, backends_by_attempt: dict[str, list[StandInBackend]]
    ) -> list[str]:
        """Return the attempts that a process routed by an older configuration than before.

        The moving route's service changes with each version, so the backend that ran an attempt
        identifies the version.
        """
        found = []
        versions_in_force: dict[tuple[int, int], int] = {}
        for one in sorted(self.sent, key=lambda sent: sent.at_s):
            ran_on = backends_by_attempt[one.result.attempt]
            if one.service or one.result.status != 200 or not ran_on:
                continue
            key = (one.gateway, one.process_number)
            version_min = versions_in_force.get(key, 0)
            matching_versions = [
                number
                for number, (_, service) in enumerate(self.config_changes)
                if service == ran_on[-1].service and number >= version_min
            ]
            if not matching_versions:
                found.append(
                    f"{one.result.attempt} was run by {ran_on[-1].service}: a version back"
                )
                continue
            versions_in_force[key] = matching_versions[0]
        return found

    def _retry_budget_violations(self, backends: Sequence[StandInBackend]) -> list[str]:
        """Return services with more retries in a window than the retry budget allows."""
        arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for backend in backends:
            arrivals[backend.service] += backend.arrivals
        found = []
        for service, rows in arrivals.items():
            rows.sort()
            seen: set[str] = set()
            retry_times = []
            for at_s, attempt in rows:
                if attempt in seen:
                    retry_times.append(at_s)
                seen.add(attempt)
            firsts = [one.at_s for one in self.sent if one.service in ("", service)]
            for begin_s in retry_times:
                end_s = begin_s + _WINDOW_S
                count = sum(1 for at_s in retry_times if begin_s <= at_s < end_s)
                first_sends = sum(1 for at_s in firsts if begin_s - _WINDOW_S <= at_s < end_s)
                if count > _RATIO * first_sends + _SLACK:
                    found.append(f"{count} repeats at {service} from {begin_s:.1f} s")
                    break
        return found
