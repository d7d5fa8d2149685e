"""What an instance holds for each service that it serves: scheduler, health, upstreams."""

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

#: Verdicts are taken anew after this long. Load: a request asks for the candidates two or three
#: times, at 5 us an upstream. Prevents judging from costing more than passing the request on. The
#: clock is compared at each placement, so that a process that was paused does not act on old ones;
#: what it may act on longer is far within the margin of ejection rights (0.25 s).
_FRESH_S = 0.02


#: The upstreams of a service whose group this instance is not in are kept for this long after the
#: last request: as long as the longest resolve answer that a caller may keep.
_RECENT_S = 600.0


class _Weights(UpstreamWeights):
    """Shows a service's upstreams to its scheduler as the list and health see them now."""

    def __init__(self, state: "ServiceState") -> None:
        self._state = state

    def usable(self, now_s: float) -> Sequence[Candidate]:
        """Return the upstreams that may be given work now, in a stable order."""
        return self._state.candidates(now_s)

    def group_position(self) -> GroupPosition:
        """Return this member's place among those that serve the service."""
        return self._state.demand.position(self._state.name)

    def peer_demands(self, now_s: float) -> Sequence[float]:
        """Return how many slots each other member of the group could use, as last reported."""
        return self._state.demand.peer_demands(self._state.name, now_s)

    def permits_another_upstream(self, digest: bytes, now_s: float) -> bool:
        """Return whether a request may be given to one more upstream; suspected ones may not."""
        return self._state.suspects.permits_another_upstream(short_digest(digest), now_s)


class ServiceState:
    """One service on one instance."""

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
        self.scheduler = Scheduler(zone, _Weights(self), settings.retry_budget, rng)
        self._source = source
        self._evidence = evidence
        self._accounting = accounting
        self.demand = demand
        self._seen: Sequence[UpstreamName] = ()
        self._candidates: Sequence[Candidate] = ()
        self._judged_until_s = float("-inf")
        self._listed = -1
        # A peer's word may have made the evidence before the settings came.
        self.take_settings(settings)

    def take_settings(self, settings: ServiceSettings) -> None:
        """Go on with changed settings; what runs, waits and was observed is kept."""
        self.settings = settings
        self.health.apply_settings(settings.detection, settings.ramp_s)
        self.suspects.upstreams_per_request = settings.upstreams_per_request
        self.scheduler.budget.set_share(settings.retry_budget)
        self.trouble()

    def trouble(self) -> None:
        """Have the upstreams judged anew at the next placement: an attempt went wrong."""
        self._judged_until_s = float("-inf")

    def candidates(self, now_s: float) -> Sequence[Candidate]:
        """Return the upstreams that may be given work now."""
        if now_s >= self._judged_until_s or self._source.changes != self._listed:
            self._candidates = self._judge(now_s)
            self._judged_until_s = now_s + _FRESH_S
            self._listed = self._source.changes
        return self._candidates

    def _judge(self, now_s: float) -> Sequence[Candidate]:
        rows = self._source.upstreams(self.name)
        names = tuple(UpstreamName(row.name) for row in rows)
        if names != self._seen:
            self._seen = names
            self.health.set_upstreams(names, now_s)
        found = []
        verdicts = self.health.verdicts(now_s)
        self._accounting.judged(self.name, verdicts, now_s)
        for row in rows:
            name = UpstreamName(row.name)
            verdict = verdicts[name]
            if verdict.in_service:
                found.append(
                    Candidate(
                        name=name,
                        availability_zone=row.availability_zone,
                        weight=verdict.weight,
                        is_on_trial=verdict.state is UpstreamState.TRIAL,
                        slots=self.settings.slots,
                        peer_in_flight=self._evidence.peer_in_flight(self.name, name),
                    )
                )
        return found

    def judged(self) -> Sequence[tuple[UpstreamName, Verdict]]:
        """Return the decision on each upstream, by name, for operators."""
        now_s = asyncio.get_running_loop().time()
        return sorted(self.health.verdicts(now_s).items())

    def endpoint(self, upstream: UpstreamName) -> Endpoint | None:
        """Return where an upstream takes requests; None once it is no longer listed."""
        for row in self._source.upstreams(self.name):
            if row.name == upstream:
                return row.endpoint
        return None


class ServiceStates:
    """The services that this instance serves, made at their first request."""

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
        self.held: dict[ServiceName, ServiceState] = {}
        self._used_s: dict[ServiceName, float] = {}

    def is_recent(self, name: ServiceName) -> bool:
        """Return whether a request for the service came lately."""
        used_s = self._used_s.get(name, float("-inf"))
        return asyncio.get_running_loop().time() - used_s < _RECENT_S

    def get(self, name: ServiceName) -> ServiceState | None:
        """Return a service's state; None when no settings name the service."""
        settings = self._settings_of(name)
        if settings is None:
            return None
        state = self.held.get(name)
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
            self.held[name] = state
        if state.settings is not settings:
            state.take_settings(settings)
        self._used_s[name] = asyncio.get_running_loop().time()
        return state


def short_digest(digest: bytes) -> int:
    """Return the form in which a request's digest is counted and shared among instances."""
    return int.from_bytes(digest[:8], "big")
