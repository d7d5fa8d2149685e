"""Overload control from the demand that all instances report."""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from egretrail.overload._admission import AdmissionPlan, fill_by_priority, plan_admission
from egretrail.overload._capacity import Capacity, CapacityBias, QueueForecast
from egretrail.overload._counting import OwnDemand
from egretrail.overload._credit import ShareCredits
from egretrail.overload._demand import (
    AccountDemandKey,
    DemandKey,
    DemandReport,
    account_demand_key,
    service_key,
)
from egretrail.overload._fleet_totals import FleetTotals, ServiceDemand, SteadyCounts, own_demand
from egretrail.overload._policy import (
    Arrival,
    OverloadPolicy,
    Rejection,
    ServiceRoom,
    ServiceSnapshot,
    ServiceState,
    ServiceTerms,
)
from egretrail.overload._returns import ReturnSchedule, clamp_retry_after, latest_return_s
from egretrail.overload._state import StateDetector

#: How long this instance's counts are used before they are added up again, which takes as long as
#: many decisions.
_OWN_COUNTS_VALID_S = 0.05
#: Share of the demand from which on urgent requests bound the queue of a whole service, and until
#: it falls below the other one: a share near one threshold varies from report to report.
_RANKING_FROM_SHARE = 0.12
_RANKING_UNTIL_SHARE = 0.08
#: Accounts of a snapshot.
_SNAPSHOT_ACCOUNTS_MAX = 10


@dataclass(slots=True)
class _Service:
    """What the policy knows of one service that it watches."""

    key: int
    terms: ServiceTerms
    own: OwnDemand
    admissions: ShareCredits
    retries: ShareCredits
    returns: ReturnSchedule
    detector: StateDetector = field(default_factory=StateDetector)
    bias: CapacityBias = field(default_factory=CapacityBias)
    forecast: QueueForecast = field(default_factory=QueueForecast)
    accounts: SteadyCounts = field(default_factory=SteadyCounts)
    #: Retries that the budget allowed per second, when last told.
    retries_per_s: float = 0.0
    #: This instance's counts, when last added up.
    own_demand: ServiceDemand | None = None
    #: The priority whose objective bounds the queue; None before the demand was known.
    ranking_priority: int | None = None

    def objective_s(self, offered_per_s: Mapping[int, float] | None) -> float:
        """Return the objective that bounds the queue: that of the most urgent requests.

        Priorities that together are a small part of the demand do not bound it: upstreams are
        reserved for them (``urgent_slot_share``). A less urgent priority bounds it by its longest
        objective, so that a rare route with a short one does not shorten the queue of the others;
        placement refuses a request that would miss its own. Without reports the last choice stays.
        """
        objectives_s = self.terms.objectives_s
        if not objectives_s:
            return float("inf")
        first = min(objectives_s)
        if offered_per_s:
            self.ranking_priority = self._find_ranking_priority(offered_per_s)
        priority = self.ranking_priority
        if priority is None or priority == first:
            return objectives_s[first]
        return self.terms.longest_objectives_s.get(priority, objectives_s[priority])

    def _find_ranking_priority(self, offered_per_s: Mapping[int, float]) -> int:
        total_per_s = sum(offered_per_s.values())
        so_far_per_s = 0.0
        for priority in sorted(self.terms.objectives_s):
            so_far_per_s += offered_per_s.get(priority, 0.0)
            is_known = priority == self.ranking_priority
            share = _RANKING_UNTIL_SHARE if is_known else _RANKING_FROM_SHARE
            if so_far_per_s >= share * total_per_s:
                return priority
        return max(self.terms.objectives_s)


@dataclass(frozen=True, slots=True)
class _Assessment:
    """A service as of now."""

    state: ServiceState
    #: The capacity over which the demand is counted.
    capacity: Capacity
    demand: ServiceDemand
    #: The part of the fleet that the demand is that of.
    share: float


class FleetOverloadPolicy(OverloadPolicy):
    """Decides from the sum of all zones' reports, and from its own counts without reports.

    Made for bursts of 2.5 times the load and for services that refuse half of it. An instance sees
    four requests a second, so its own counts rank no callers; without a common view, all kinds of
    requests would lose alike.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._services: dict[str, _Service] = {}
        self._totals = FleetTotals()
        self._known_share = 1.0
        self._own_share = 1.0
        self._own_zone = ""

    def configure(self, terms: Mapping[str, ServiceTerms]) -> None:
        """Set the terms of all services; counts stay where the terms do."""
        before, self._services = self._services, {}
        for name, service_terms in terms.items():
            if not (service_terms.ranks_urgency or service_terms.shares_accounts):
                continue
            known = before.get(name)
            if known is not None and known.terms == service_terms:
                self._services[name] = known
                continue
            self._services[name] = _Service(
                service_key(name),
                service_terms,
                OwnDemand(counts_accounts=service_terms.shares_accounts),
                ShareCredits(self._rng),
                ShareCredits(self._rng),
                ReturnSchedule(self._rng),
            )

    def watches(self, service: str) -> bool:
        """Return whether the service's terms rank urgency or accounts."""
        return service in self._services

    def admit(self, arrival: Arrival, room: ServiceRoom, now_s: float) -> Rejection | None:
        """Count a request that arrives; return why it is refused, or None."""
        service = self._services.get(arrival.service)
        if service is None:
            return None
        priority = arrival.priority
        service.own.record_offered(priority, arrival.account, now_s)
        found = self._assess(service, room, now_s)
        if found.state is not ServiceState.FULL:
            return None
        room_per_s = found.capacity.corrected_per_s
        plan = self._plan(service, found, room_per_s, now_s)
        admitted_per_s = min(room_per_s, plan.offered_per_s)
        excess_per_s = admitted_per_s - found.capacity.per_s
        service.forecast.record(excess_per_s, found.capacity.slots, now_s)
        kind: tuple[int, int] = (priority, 0)
        own_count = 0.0
        if plan.level is not None and priority == plan.partial_priority:
            kind = (priority, account_demand_key(arrival.account, priority))
            own_count = float(service.own.account_total(kind[1], now_s))
        share = plan.share(priority, kind[1], own_count)
        if service.admissions.draws(kind, share):
            return None
        service.own.record_refused(priority, now_s)
        typical_s = clamp_retry_after(found.capacity.mean_s)
        return Rejection(
            self._retry_after_s(service, found, arrival, typical_s, now_s),
            found.state,
            share,
            plan.offered_per_s,
            room_per_s,
            max(now_s - found.demand.oldest_s, 0.0),
        )

    def record_shed(self, service: str, priority: int, now_s: float) -> None:
        """Count an attempt that an upstream refused without running it."""
        known = self._services.get(service)
        if known is not None:
            known.own.record_shed(priority, now_s)

    def permits_retry(
        self, service: str, priority: int, retries_per_s: float, room: ServiceRoom, now_s: float
    ) -> bool:
        """Return whether a retry is urgent enough for what the budget allows per second.

        Made for services of which all upstreams refuse half of their attempts: the budget allows
        one retry for three refusals, and without ranking the urgent requests lose as many as the
        others.
        """
        known = self._services.get(service)
        if known is None:
            return True
        known.own.record_retry_wanted(priority, now_s)
        known.retries_per_s = retries_per_s
        found = self._assess(known, room, now_s)
        if found.state is ServiceState.NORMAL or not known.terms.ranks_urgency:
            return True
        wanted = {other: float(row.retries_wanted) for other, row in found.demand.rows.items()}
        # A wish that no report shows yet must not precede more urgent ones.
        wanted[priority] = max(wanted.get(priority, 0.0), 1.0)
        shares = fill_by_priority(wanted, retries_per_s * self._part_of_known(found.share))
        return known.retries.draws(priority, shares[priority])

    def permits_hedge(self, service: str, room: ServiceRoom, now_s: float) -> bool:
        """Return whether a request may be hedged: only while the service is normal."""
        known = self._services.get(service)
        return known is None or self._assess(known, room, now_s).state is ServiceState.NORMAL

    def retry_after_s(
        self, arrival: Arrival, room: ServiceRoom, typical_s: float, now_s: float
    ) -> float:
        """Return when a refused client may return; ``typical_s`` is the ordinary wait."""
        known = self._services.get(arrival.service)
        if known is None:
            return typical_s
        found = self._assess(known, room, now_s)
        return self._retry_after_s(known, found, arrival, typical_s, now_s)

    def urgent_slot_share(
        self, service: str, priority: int, room: ServiceRoom, now_s: float
    ) -> float:
        """Return the share of a service's slots that requests of more urgent priorities need."""
        known = self._services.get(service)
        if known is None or room.slots <= 0:
            return 1.0
        demand = self._totals.demand(known.key, self._own_zone, now_s)
        if demand is None:
            return 1.0
        urgent_per_s = sum(
            per_s for other, per_s in demand.offered_per_s.items() if other < priority
        )
        slots = room.slots * self._known_share
        return min(urgent_per_s * room.mean_s / slots, 1.0)

    def own_report(self, now_s: float) -> DemandReport:
        """Return this instance's counts of the last second."""
        rows = {}
        accounts = {}
        for service in self._services.values():
            for priority, row in service.own.rows(now_s).items():
                rows[DemandKey(service.key, priority)] = row
            for key, count in service.own.accounts(now_s).items():
                accounts[AccountDemandKey(service.key, key)] = count
        return DemandReport(rows, accounts)

    def apply_zone_report(self, zone: str, report: DemandReport, now_s: float) -> None:
        """Replace the report of a zone, as its hub summed it."""
        self._totals.apply(zone, report, now_s)

    def set_fleet(self, known_share: float, own_share: float, own_zone: str) -> None:
        """Set which part of the fleet reports here, and which part of it this instance is."""
        self._own_share = min(max(own_share, 0.0), 1.0)
        self._known_share = min(max(known_share, self._own_share), 1.0)
        self._own_zone = own_zone

    def snapshot(self, service: str, room: ServiceRoom, now_s: float) -> ServiceSnapshot | None:
        """Return the state of a service that is watched, else None."""
        known = self._services.get(service)
        if known is None:
            return None
        found = self._assess(known, room, now_s)
        accounts: dict[str, float] = {}
        for key, per_s in found.demand.accounts.items():
            name = known.own.account_name(key)
            accounts[name] = accounts.get(name, 0.0) + per_s
        heaviest = sorted(accounts.items(), key=lambda item: (-item[1], item[0]))
        return ServiceSnapshot(
            found.state,
            room,
            {
                priority: (row.offered, row.refused, row.shed)
                for priority, row in sorted(found.demand.rows.items())
            },
            [(name, round(per_s)) for name, per_s in heaviest[:_SNAPSHOT_ACCOUNTS_MAX]],
            max(now_s - found.demand.oldest_s, 0.0),
        )

    def _assess(self, service: _Service, room: ServiceRoom, now_s: float) -> _Assessment:
        """Return the state of a service, from reports or else from this instance's own counts.

        Requests in flight are known without demand reports, so the slots are always compared with
        those of the part of the fleet that is known.
        """
        share = self._known_share
        demand = self._totals.demand(service.key, self._own_zone, now_s)
        offered_per_s = None if demand is None else demand.offered_per_s
        capacity = Capacity.of(room, service.objective_s(offered_per_s), share)
        margin = 0.0
        if demand is None:
            # An instance alone has one request in flight on average, and at times four by chance.
            part = self._part_of_known(self._own_share)
            margin = math.sqrt(capacity.target_in_flight) * part
            share, capacity = self._own_share, capacity.part(part)
            demand = self._own_demand(service, now_s)
        retries_per_s = service.retries_per_s * self._part_of_known(share)
        state = service.detector.update(capacity, demand, retries_per_s, now_s, margin=margin)
        if state is ServiceState.NORMAL:
            service.admissions.clear()
            service.retries.clear()
        is_full = state is ServiceState.FULL
        if is_full:
            capacity = capacity.plus_in_flight(service.forecast.requests(capacity.slots, now_s))
        else:
            # Where slots are free, requests in flight do not grow by what is offered.
            excess_per_s = sum(demand.offered_per_s.values()) - capacity.per_s
            is_filled = capacity.in_flight >= capacity.slots
            excess_per_s = max(excess_per_s, 0.0) if is_filled else 0.0
            service.forecast.record(excess_per_s, capacity.slots, now_s)
        offered_total_per_s = sum(demand.offered_per_s.values())
        bias = service.bias.update(capacity, offered_total_per_s, now_s, is_full=is_full)
        return _Assessment(state, capacity.with_bias(bias), demand, share)

    def _part_of_known(self, share: float) -> float:
        """Return a part of the fleet as a part of the known part, of which the budget is told."""
        return share / max(self._known_share, 1e-9)

    def _own_demand(self, service: _Service, now_s: float) -> ServiceDemand:
        demand = service.own_demand
        if demand is None or not 0 <= now_s - demand.oldest_s < _OWN_COUNTS_VALID_S:
            demand = own_demand(service.own.rows(now_s), service.own.accounts(now_s), now_s)
            service.own_demand = demand
        return demand

    def _plan(
        self, service: _Service, found: _Assessment, room_per_s: float, now_s: float
    ) -> AdmissionPlan:
        demand = found.demand
        accounts: Mapping[int, Mapping[int, float]] | None = None
        if service.terms.shares_accounts:
            accounts = service.accounts.update(demand.accounts, now_s)
        counts = {priority: float(row.offered) for priority, row in demand.rows.items()}
        return plan_admission(
            demand.offered_per_s, counts, accounts, room_per_s, found.capacity.per_s
        )

    def _retry_after_s(
        self,
        service: _Service,
        found: _Assessment,
        arrival: Arrival,
        typical_s: float,
        now_s: float,
    ) -> float:
        if found.state is ServiceState.NORMAL:
            return typical_s
        latest_s = latest_return_s(arrival.objective_s, arrival.remaining_s)
        if found.state is ServiceState.SHEDDING:
            wait_s = service.returns.while_shedding_s()
            return wait_s if wait_s <= latest_s else typical_s
        own_part = self._own_share / found.share if found.share else 1.0
        scheduled_s = service.returns.while_full_s(
            arrival.priority,
            found.capacity,
            found.demand.offered_per_s,
            own_part,
            latest_s,
            now_s,
        )
        return typical_s if scheduled_s is None else clamp_retry_after(scheduled_s)
