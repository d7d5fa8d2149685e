"""The state of each service on an instance: scheduler, upstream health and candidates."""

import asyncio
import random
from collections.abc import Callable, Sequence

from egretrail.daemon._accounting import Accounting
from egretrail.identity import AvailabilityZone, ServiceName, TeamName, UpstreamName
from egretrail.runtime import DemandDriver, EvidenceDriver, UpstreamListDriver
from egretrail.service import Candidate, GroupPosition, Scheduler, UpstreamWeights
from egretrail.settings import ServiceSettings
from egretrail.store import Endpoint
from egretrail.upstream import UpstreamState, Verdict

#: Health verdicts are cached for this long. A request reads the candidates two or three times, and
#: each evaluation costs 5 us for each upstream; without the cache that would cost more than
#: forwarding the request. The age is checked at each placement, so that a process that was paused
#: does not act on old verdicts. The delay is far within the margin of ejection rights (0.25 s).
_VERDICT_TTL_S = 0.02


#: An instance outside a service's group keeps the service's upstreams for this long after the last
#: request. It is the longest time for which a client may cache a resolve response.
_UPSTREAMS_KEPT_S = 600.0


class _SchedulerView(UpstreamWeights):
    """Gives the scheduler the service's upstreams by the current list and health."""

    def __init__(self, state: "ServiceState") -> None:
        self._state = state

    def usable(self, now_s: float) -> Sequence[Candidate]:
        """Return the upstreams that may receive requests now, in a stable order."""
        return self._state.candidates(now_s)

    def group_position(self) -> GroupPosition:
        """Return this instance's position in the group that serves the service."""
        return self._state.demand.position(self._state.name)

    def peer_demands(self, now_s: float) -> Sequence[float]:
        """Return how many slots each other group member could use, by its last report."""
        return self._state.demand.peer_demands(self._state.name, now_s)

    def permits_another_upstream(self, digest: bytes, now_s: float) -> bool:
        """Return whether a request may be sent to one more upstream; limited for crash suspects."""
        return self._state.suspects.permits_another_upstream(short_digest(digest), now_s)


class ServiceState:
    """The state of one service on this instance."""

    def __init__(
        self,
        name: ServiceName,
        settings: ServiceSettings,
        zone: AvailabilityZone,
        source: UpstreamListDriver,
        evidence: EvidenceDriver,
        accounting: Accounting,
        demand: DemandDriver,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.team = TeamName(name.partition("/")[0])
        self.settings = settings
        self.suspects = evidence.suspects(name)
        self.health = evidence.health(name)
        self.scheduler = Scheduler(zone, _SchedulerView(self), settings.retry_budget, rng)
        self._source = source
        self._evidence = evidence
        self._accounting = accounting
        self.demand = demand
        self._listed_names: Sequence[UpstreamName] = ()
        self._candidates: Sequence[Candidate] = ()
        self._verdicts_expire_s = float("-inf")
        self._evaluated_changes = -1
        # A peer's report may have created the health state before the settings were known.
        self.apply_settings(settings)

    def apply_settings(self, settings: ServiceSettings) -> None:
        """Apply changed settings; running and queued requests and observations are kept."""
        self.settings = settings
        self.health.apply_settings(settings.detection, settings.ramp_s)
        self.suspects.upstreams_per_request = settings.upstreams_per_request
        self.scheduler.budget.set_share(settings.retry_budget)
        self.invalidate_verdicts()

    def invalidate_verdicts(self) -> None:
        """Evaluate the upstreams again at the next placement: an attempt has failed."""
        self._verdicts_expire_s = float("-inf")

    def candidates(self, now_s: float) -> Sequence[Candidate]:
        """Return the upstreams that may receive requests now."""
        if now_s >= self._verdicts_expire_s or self._source.changes != self._evaluated_changes:
            self._candidates = self._evaluate(now_s)
            self._verdicts_expire_s = now_s + _VERDICT_TTL_S
            self._evaluated_changes = self._source.changes
        return self._candidates

    def _evaluate(self, now_s: float) -> Sequence[Candidate]:
        rows = self._source.upstreams(self.name)
        names = tuple(UpstreamName(row.name) for row in rows)
        if names != self._listed_names:
            self._listed_names = names
            self.health.set_upstreams(names, now_s)
        candidates = []
        verdicts = self.health.verdicts(now_s)
        self._accounting.record_verdicts(self.name, verdicts, now_s)
        for row in rows:
            name = UpstreamName(row.name)
            verdict = verdicts[name]
            if verdict.in_service:
                candidates.append(
                    Candidate(
                        name=name,
                        availability_zone=row.availability_zone,
                        weight=verdict.weight,
                        is_on_trial=verdict.state is UpstreamState.TRIAL,
                        slots=self.settings.slots,
                        peer_in_flight=self._evidence.peer_in_flight(self.name, name),
                    )
                )
        return candidates

    def verdicts(self) -> Sequence[tuple[UpstreamName, Verdict]]:
        """Return the verdict on each upstream, sorted by name."""
        now_s = asyncio.get_running_loop().time()
        return sorted(self.health.verdicts(now_s).items())

    def endpoint(self, upstream: UpstreamName) -> Endpoint | None:
        """Return the endpoint of an upstream; None once it is no longer listed."""
        for row in self._source.upstreams(self.name):
            if row.name == upstream:
                return row.endpoint
        return None


class ServiceStates:
    """The states of the services that this instance serves, created at their first request."""

    def __init__(
        self,
        settings_of: Callable[[ServiceName], ServiceSettings | None],
        zone: AvailabilityZone,
        source: UpstreamListDriver,
        evidence: EvidenceDriver,
        accounting: Accounting,
        demand: DemandDriver,
        seed: int,
    ) -> None:
        self._settings_of = settings_of
        self._zone = zone
        self._source = source
        self._evidence = evidence
        self._accounting = accounting
        self._demand = demand
        self._rng = random.Random(seed)
        self.states: dict[ServiceName, ServiceState] = {}
        self._last_request_s: dict[ServiceName, float] = {}

    def is_recent(self, name: ServiceName) -> bool:
        """Return whether a request for the service arrived within the last 600 s."""
        last_request_s = self._last_request_s.get(name, float("-inf"))
        return asyncio.get_running_loop().time() - last_request_s < _UPSTREAMS_KEPT_S

    def get(self, name: ServiceName) -> ServiceState | None:
        """Return a service's state, created if needed; None if the service has no settings."""
        settings = self._settings_of(name)
        if settings is None:
            return None
        state = self.states.get(name)
        if state is None:
            rng = random.Random(self._rng.random())
            state = ServiceState(
                name,
                settings,
                self._zone,
                self._source,
                self._evidence,
                self._accounting,
                self._demand,
                rng,
            )
            self.states[name] = state
        if state.settings is not settings:
            state.apply_settings(settings)
        self._last_request_s[name] = asyncio.get_running_loop().time()
        return state


def short_digest(digest: bytes) -> int:
    """Return a request digest's first 64 bits, with which instances count and exchange requests."""
    return int.from_bytes(digest[:8], "big")
