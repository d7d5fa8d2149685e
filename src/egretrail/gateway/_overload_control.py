"""Connects overload control with what an instance knows: demand, capacity, and the fleet."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from egretrail.cluster import Section
from egretrail.dispatch import Placement
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import label_value
from egretrail.overload import (
    AccountDemandKey,
    Arrival,
    DemandReport,
    FleetOverloadPolicy,
    NoOverloadPolicy,
    OverloadPolicy,
    Rejection,
    ServiceRoom,
    ServiceSnapshot,
    ServiceState,
    ServiceTerms,
    service_key,
    service_terms,
)
from egretrail.traffic import FleetConfig, ObjectiveTable, UpstreamTable

#: How long the capacity of a service is used after it was computed, which takes some tens of
#: microseconds with 214 upstreams; loads and suspicions from other zones are older than that.
_ROOM_VALID_S = 0.05
#: How long a sample of the own demand is reported: samples are taken every 0.1 s, except by an
#: instance that was paused.
_REPORT_VALID_S = 0.25
_NO_DEMAND = DemandReport()
#: Maximum accounts in a heartbeat, the heaviest first, which must fit into one datagram.
_OWN_ACCOUNTS_MAX = 24
#: The demand of a service is reported when more than this share of its slots is taken, so that the
#: fleet knows it when the slots are full.
_BUSY_SHARE = 0.7
#: States are compared with those logged before at most this often.
_STATES_INTERVAL_S = 0.1
#: How long accounts of a zone stay after the last section that names any: hubs of large zones send
#: them every second to their own zone, every 2.4 s to others, and one datagram may be lost.
_ACCOUNTS_VALID_S = 5.0
#: Maximum accounts of a service in the metrics.
_METRIC_ACCOUNTS_MAX = 10

#: Returns the policy for terms, of which there is at least one.
PolicyFactory = Callable[[Mapping[str, ServiceTerms], random.Random], OverloadPolicy]


def choose_policy(terms: Mapping[str, ServiceTerms], rng: random.Random) -> OverloadPolicy:
    """Return the policy of a fleet whose configuration calls for overload control."""
    return FleetOverloadPolicy(rng)


@dataclass(slots=True)
class _ZoneAccounts:
    """The accounts that a zone last reported."""

    #: The report that named them.
    report: DemandReport
    #: When it arrived.
    received_s: float


class OverloadControl:
    """Holds the overload policy of an instance and keeps it informed."""

    def __init__(
        self,
        own_zone: str,
        upstreams: UpstreamTable,
        placement: Placement,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._own_zone = own_zone
        self._upstreams = upstreams
        self._placement = placement
        self._log = log
        self._rng = rng
        #: Returns the policy where the configuration calls for overload control.
        self.make_policy: PolicyFactory = choose_policy
        #: The policy in force.
        self.policy: OverloadPolicy = NoOverloadPolicy()
        self._terms: Mapping[str, ServiceTerms] = {}
        self._report = _NO_DEMAND
        self._sampled_s = float("-inf")
        self._rooms: dict[str, tuple[ServiceRoom, float]] = {}
        self._known_share = 1.0
        self._states: dict[str, ServiceState] = {}
        self._states_checked_s = float("-inf")
        self._zone_accounts: dict[str, _ZoneAccounts] = {}

    def configure(
        self,
        config: FleetConfig,
        objectives: ObjectiveTable,
        *,
        shares_capacity: bool,
        is_enabled: bool = True,
    ) -> None:
        """Apply a configuration or changed settings; no service is watched unless enabled."""
        terms: Mapping[str, ServiceTerms] = {}
        if is_enabled:
            terms = service_terms(config, objectives, shares_capacity=shares_capacity)
        if not terms:
            self.policy = NoOverloadPolicy()
            self._zone_accounts.clear()
        elif not self._terms:
            self.policy = self.make_policy(terms, self._rng)
        self._terms = terms
        self._states = {name: state for name, state in self._states.items() if name in terms}
        self._rooms.clear()
        self._sampled_s = float("-inf")
        self.policy.configure(terms)

    @property
    def services(self) -> Sequence[str]:
        """The watched services."""
        return [service for service in self._terms if self.policy.watches(service)]

    def set_fleet(self, known_share: float, own_share: float) -> None:
        """Set which part of the fleet reports here, and which part of it this instance is."""
        self._known_share = known_share
        self.policy.set_fleet(known_share, own_share, self._own_zone)

    def admit(self, arrival: Arrival, now_s: float) -> Rejection | None:
        """Count a request that arrives; return why it is refused, or None."""
        return self.policy.admit(arrival, self.room(arrival.service, now_s), now_s)

    def record_shed(self, service: str, priority: int, now_s: float) -> None:
        """Count an attempt that an upstream refused without running it."""
        if self.policy.watches(service):
            self.policy.record_shed(service, priority, now_s)

    def permits_retry(
        self, service: str, priority: int, retries_per_s: float, now_s: float
    ) -> bool:
        """Count a retry that is wanted; return whether it is urgent enough.

        ``retries_per_s`` is what the fleet's retry budget allows; it is asked afterwards.
        """
        if not self.policy.watches(service):
            return True
        room = self.room(service, now_s)
        return self.policy.permits_retry(service, priority, retries_per_s, room, now_s)

    def permits_hedge(self, service: str, now_s: float) -> bool:
        """Return whether a request may be hedged."""
        if not self.policy.watches(service):
            return True
        return self.policy.permits_hedge(service, self.room(service, now_s), now_s)

    def retry_after_s(self, arrival: Arrival, typical_s: float, now_s: float) -> float:
        """Return when a client may return that is refused after its request was admitted."""
        if not self.policy.watches(arrival.service):
            return typical_s
        room = self.room(arrival.service, now_s)
        return self.policy.retry_after_s(arrival, room, typical_s, now_s)

    def urgent_slot_share(self, service: str, priority: int, now_s: float) -> float:
        """Return the share of a service's slots that more urgent requests need; 1 if unknown."""
        if not self.policy.watches(service):
            return 1.0
        return self.policy.urgent_slot_share(service, priority, self.room(service, now_s), now_s)

    def own_report(self, now_s: float) -> DemandReport:
        """Return this instance's demand as of the last sample, for its heartbeat."""
        if not 0 <= now_s - self._sampled_s < _REPORT_VALID_S:
            self.sample_report(now_s)
        return self._report

    def sample_report(self, now_s: float) -> bool:
        """Take the next sample of the own demand; return whether it differs from the last one.

        Samples are taken at even intervals. Heartbeats mostly follow an event that is counted: a
        count taken then sees each arrival at once and its end late, and with a few requests a
        second at each instance, the sum of the fleet would be a tenth too high.
        """
        self._sampled_s = now_s
        before = self._report
        report = self.policy.own_report(now_s) if self._terms else _NO_DEMAND
        if len(report.accounts) > _OWN_ACCOUNTS_MAX:
            heaviest = sorted(report.accounts.items(), key=lambda one: (-one[1], one[0]))
            report = DemandReport(report.rows, dict(heaviest[:_OWN_ACCOUNTS_MAX]))
        self._report = report
        return self._report != before

    def apply_section(self, section: Section, now_s: float) -> None:
        """Apply the demand in a section of a hub whose aggregates are used."""
        report = section.demand
        if report is None or not self._terms:
            return
        zone = section.availability_zone
        if report.accounts:
            self._zone_accounts[zone] = _ZoneAccounts(report, now_s)
        elif report.rows:
            report = DemandReport(report.rows, self._known_accounts(zone, report, now_s))
        else:
            self._zone_accounts.pop(zone, None)
        self.policy.apply_zone_report(zone, report, now_s)

    def room(self, service: str, now_s: float) -> ServiceRoom:
        """Return the capacity of a service, computed within the last moments.

        An upstream that only this instance does not reach counts: others use it, and all instances
        should base their decisions on the same capacity.
        """
        known = self._rooms.get(service)
        if known is not None and 0 <= now_s - known[1] < _ROOM_VALID_S:
            return known[0]
        placement = self._placement
        suspects = placement.suspicion.out_of_service()
        used = [one for one in self._upstreams.ready(service) if one.id not in suspects]
        room = ServiceRoom(
            slots=sum([one.slots for one in used]),
            in_flight=placement.load.sum_in_flight([one.id for one in used], now_s),
            mean_s=placement.durations.mean_s(service),
        )
        self._rooms[service] = room, now_s
        return room

    def busy_services(self, now_s: float) -> frozenset[int]:
        """Return the keys of the watched services of which most slots are taken."""
        rooms = {service: self.room(service, now_s) for service in self.services}
        return frozenset(
            service_key(service)
            for service, room in rooms.items()
            if room.in_flight > _BUSY_SHARE * room.slots * self._known_share
        )

    def snapshots(self, now_s: float) -> Mapping[str, ServiceSnapshot]:
        """Return the states of the watched services."""
        found = {
            service: self.policy.snapshot(service, self.room(service, now_s), now_s)
            for service in self.services
        }
        return {service: one for service, one in found.items() if one is not None}

    def log_states(self, now_s: float) -> None:
        """Log the services whose state has changed."""
        if now_s - self._states_checked_s < _STATES_INTERVAL_S:
            return
        self._states_checked_s = now_s
        for service, snapshot in self.snapshots(now_s).items():
            before = self._states.get(service, ServiceState.NORMAL)
            if snapshot.state is before:
                continue
            self._states[service] = snapshot.state
            counts = list(snapshot.by_priority.values())
            self._log.event(
                "service_state",
                service=service,
                before=before.value,
                after=snapshot.state.value,
                in_flight=snapshot.room.in_flight,
                slots=snapshot.room.slots,
                shed=sum(shed for _, _, shed in counts),
                offered=sum(offered for offered, _, _ in counts),
                age_s=snapshot.age_s,
            )

    def metrics(self, now_s: float) -> Mapping[str, float]:
        """Return the gauges of the watched services, by name with labels."""
        gauges: dict[str, float] = {}
        for service, snapshot in self.snapshots(now_s).items():
            for state in ServiceState:
                labels = f'service="{label_value(service)}",state="{state.value}"'
                gauges[f"service_state{{{labels}}}"] = float(state is snapshot.state)
            for priority, (offered, refused, shed) in snapshot.by_priority.items():
                labels = f'{{service="{label_value(service)}",priority="{priority}"}}'
                gauges[f"demand_offered{labels}"] = float(offered)
                gauges[f"demand_refused{labels}"] = float(refused)
                gauges[f"demand_shed{labels}"] = float(shed)
            for account, offered in snapshot.accounts[:_METRIC_ACCOUNTS_MAX]:
                labels = f'service="{label_value(service)}",account="{label_value(account)}"'
                gauges[f"account_offered{{{labels}}}"] = float(offered)
        return gauges

    def _known_accounts(
        self, zone: str, report: DemandReport, now_s: float
    ) -> Mapping[AccountDemandKey, int]:
        """Return the accounts that a zone reported lately, of the services of a report."""
        known = self._zone_accounts.get(zone)
        if known is None or now_s - known.received_s > _ACCOUNTS_VALID_S:
            return {}
        services = {key.service for key in report.rows}
        return {key: n for key, n in known.report.accounts.items() if key.service in services}
