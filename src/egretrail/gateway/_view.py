"""What one instance knows about the fleet: configuration, upstreams, peers and their reports."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial

from egretrail.balancing import DemandBalancer, EvenSlotShares
from egretrail.cluster import (
    URGENT_OUTCOMES,
    ChunkedConfig,
    ConfigFreshness,
    DropReport,
    Heartbeat,
    Instance,
    InstanceState,
    LossReport,
    Membership,
    OutcomeReport,
    OutgoingReports,
    Scope,
    Section,
    SendTimes,
    StoreOutage,
    short_incarnation,
)
from egretrail.dispatch import (
    AccountQuotas,
    BackoffTable,
    CrashingRequests,
    FleetLoad,
    FleetRetryBudget,
    LimitPosition,
    Observation,
    Outcome,
    Placement,
    QuotaExceeded,
    RequestDigest,
    ResponseSizes,
    ServiceDurations,
    SlotShares,
    SuspicionRecord,
    SuspicionTable,
    TrialScheduler,
    UpstreamHealth,
)
from egretrail.gateway._awaited_upstreams import AwaitedUpstreams
from egretrail.gateway._config_state import ConfigState
from egretrail.gateway._interfaces import GatewaySettings
from egretrail.gateway._limit_exchange import LimitExchange, limit_position
from egretrail.gateway._log import EventLog
from egretrail.gateway._outcome_recorder import OutcomeRecorder
from egretrail.gateway._overload_control import OverloadControl
from egretrail.gateway._upstream_notices import NoticeRecorder
from egretrail.gateway._zone_aggregates import ZoneAggregates
from egretrail.traffic import (
    ClientAccount,
    FleetConfig,
    UpstreamRecord,
    UpstreamState,
    UpstreamTable,
    upstream_key,
)

#: An instance that receives reports from more than this share of the largest fleet size that it has
#: seen is not counted as partitioned from the rest together with its zone.
_FLEET_SHARE = 0.5
#: For how long the largest recent number of instances counts as the size of the fleet.
_RECENT_FLEET_S = 15.0
#: The source of lists and changes of upstreams that were read from the store.
_STORE_SOURCE = "store"
#: For how long hubs report an upstream that began to drain, and maximum reports in one section,
#: about 20 bytes each.
_DRAINING_SEND_S = 0.5
_DRAINING_MAX = 24
#: For how long heartbeats report an upstream whose address belongs to another one. The next hub of
#: the zone takes over within this time if the hub fails while it reports the upstream.
_REPLACED_SEND_S = 1.5
#: With reports of a smaller share of the living instances, the fleet's retries are unknown: a new
#: hub has not yet received heartbeats of most instances.
_COUNTED_SHARE = 0.75
#: After this time without a datagram of any peer, the fleet's retries are unknown. A hub receives
#: its own sections, so lost contact with everyone else does not make its zone's section late.
_PEERS_SILENT_S = 0.5
#: Keys are refused this long before the last confirmation of the configuration reaches its maximum
#: age.
_REVOCATION_MARGIN_S = 0.25
#: Health with which an upstream gets no requests but trials.
_OUT_OF_SERVICE = frozenset({UpstreamHealth.SUSPECT, UpstreamHealth.PROBATION})


@dataclass(frozen=True, slots=True)
class _DrainingUpstream:
    """An upstream that began to drain."""

    #: When this instance learned it.
    at_s: float
    #: Whether it reports it to other zones as a hub: nobody there reports it to this zone.
    cross_zone: bool


class FleetView:
    """The state on which an instance bases all decisions; it changes only through these methods."""

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: int,
        clock: Callable[[], float],
        log: EventLog,
        rng: random.Random,
        elapsed_clock: Callable[[], float] | None = None,
        *,
        balancing: bool = True,
    ) -> None:
        """Start empty; ``elapsed_clock`` also counts the time in which the machine is suspended.

        ``balancing`` selects even shares of the slots in service and balanced zones instead of
        shares by independent rank.
        """
        self._settings = settings
        #: Rises with each start of the process.
        self.incarnation = incarnation
        self._clock = clock
        self._log = log
        self._sequence = 0
        self._reports = OutgoingReports()
        self._largest_fleet = 1
        #: The largest number of instances that reported lately, and when.
        self._recent_fleet, self._recent_fleet_s = 1, float("-inf")
        #: The configuration in force.
        self.configs = ConfigState(clock)
        #: The last moment at which this configuration is known to have been the newest.
        self.config_freshness = ConfigFreshness(elapsed_clock or clock)
        self._heartbeat_times = SendTimes()
        #: The listed upstreams.
        self.upstreams = UpstreamTable()
        self._awaited = AwaitedUpstreams()
        #: Upstreams that began to drain lately, by id.
        self._draining: dict[str, _DrainingUpstream] = {}
        #: When requests of this instance lately showed that an address belongs to another upstream.
        self._replaced_s: dict[str, float] = {}
        #: The other instances.
        self.membership = Membership(settings.ip, settings.availability_zone, settings.capacity)
        #: Requests in flight over the whole fleet.
        self.load = FleetLoad()
        #: Typical durations of work.
        self.durations = ServiceDurations()
        #: Typical sizes of responses.
        self.response_sizes = ResponseSizes()
        #: Suspicions about upstreams.
        self.suspicion = SuspicionTable(settings.ip)
        #: Requests that crash upstreams.
        self.crashing_requests = CrashingRequests()
        #: The remaining retry budget.
        self.retry_budget = FleetRetryBudget(
            settings.repeat_ratio, settings.repeat_window_s, settings.repeat_slack, clock()
        )
        #: The remaining quotas of client accounts.
        self.quotas = AccountQuotas(settings.quota_terms, rng)
        own_zone = settings.availability_zone
        #: The slots of the zone's upstreams that this instance prefers, without balancing.
        self.shares = SlotShares(lambda task: self.membership.task_rank(task, own_zone))
        even_shares = EvenSlotShares(
            settings.ip, clock, self._in_service, self.membership.connected_zone_addresses
        )
        zone_balancer = DemandBalancer(
            own_zone, partial(self.load.in_flight_by_origin, own_zone), self._is_in_service, rng
        )
        self.membership.on_change = self.shares.invalidate
        #: Rate limits that upstreams have advertised.
        self.limit_exchange = LimitExchange(settings.ip, self._limit_position, self._reports, log)
        #: Upstreams that asked this instance to back off.
        self.backoffs = BackoffTable()
        #: Records what upstreams say of themselves in their responses.
        self.notices = NoticeRecorder(self.upstreams, self.backoffs, clock, log)
        #: Chooses upstreams.
        self.placement = Placement(
            settings.availability_zone,
            self.load,
            self.durations,
            self.suspicion,
            TrialScheduler(
                self.load, self.suspicion, self._trial_rank, self.retry_budget.request_rate
            ),
            limits=self.limit_exchange.limits,
            backoffs=self.backoffs,
            has_slot_share=self.shares.has_share,
            rng=rng,
        )
        if balancing:
            self.placement.zone_balancer = zone_balancer
            self.placement.has_slot_share = even_shares.has_share
        self._outcome_recorder = OutcomeRecorder(
            self.upstreams, self.load, self.durations, self.suspicion, self.placement, log
        )
        #: The aggregates that the hubs of the zones send.
        self.zones = ZoneAggregates(
            settings.availability_zone, self.load, self.retry_budget, self.quotas
        )
        #: Who is served where services are short of capacity.
        self.overload = OverloadControl(own_zone, self.upstreams, self.placement, log, rng)
        #: When the last datagram of another instance arrived.
        self._peer_heard_s = float("-inf")
        #: Whether this instance's last call to the store was answered.
        self.store_contact = False
        #: The present or last time in which the store answered no instance.
        self.store_outage = StoreOutage()
        #: Whether this instance reaches no upstream.
        self.is_isolated = False
        #: Whether the instance has been told to stop.
        self.leaving = False
        #: Set once a configuration and a list of upstreams are known, so that clients can be
        #: served.
        self.serving = asyncio.Event()
        #: Set once the configuration is confirmed as current, so that keys can be accepted.
        self.config_confirmed = asyncio.Event()
        #: Called when there is an update for other instances; the argument is True if it is urgent.
        self.on_update: Callable[[bool], None] = lambda urgent: None
        #: Called with the ids of all listed upstreams after each change of the list.
        self.on_upstreams_changed: Callable[[set[str]], None] = lambda listed: None

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings; the next heartbeat reports the capacity."""
        self._settings = settings
        self.membership.set_own_capacity(settings.capacity)
        self.retry_budget.set_bounds(
            settings.repeat_ratio, settings.repeat_window_s, settings.repeat_slack, self._clock()
        )
        self.quotas.set_terms(settings.quota_terms)
        self._configure_overload()
        self.on_update(False)

    @property
    def own_zone(self) -> str:
        """The availability zone of this instance."""
        return self._settings.availability_zone

    @property
    def config_version(self) -> int:
        """The version of the configuration in force; 0 before one is known."""
        return self.configs.version

    @property
    def config(self) -> FleetConfig | None:
        """The configuration in force; None before one is known."""
        return self.configs.config

    @property
    def ready(self) -> bool:
        """Whether clients may be directed to this instance."""
        return self.config_version > 0 and self.upstreams.revision > 0 and not self.leaving

    @property
    def is_config_current(self) -> bool:
        """Whether no newer configuration is known, and this instance would have learned of one."""
        reachable = self.known_share() > _FLEET_SHARE
        return self.configs.is_current(self.others_reach_store(), fleet_reachable=reachable)

    @property
    def has_accounts(self) -> bool:
        """Whether requests need the key of a client account."""
        return self.configs.accounts is not None

    @property
    def requires_fresh_config(self) -> bool:
        """Whether keys are accepted only while the configuration is confirmed as current."""
        return self._settings.revocation_s is not None and self.configs.accounts is not None

    @property
    def accepts_keys(self) -> bool:
        """Whether the configuration was confirmed recently enough to accept its keys."""
        limit_s = self._settings.revocation_s
        if limit_s is None or self.configs.accounts is None:
            return True
        return self.config_freshness.age_s < limit_s - _REVOCATION_MARGIN_S

    def reported_freshness_age_s(self) -> float | None:
        """Return the age of the last confirmation for other instances; None if none is required."""
        return self.config_freshness.age_s if self.requires_fresh_config else None

    def apply_peer_confirmation(
        self, config_version: int, age_s: float | None, sent_s: float | None
    ) -> None:
        """Apply another instance's confirmation of a version, sent in reply to an own message.

        ``sent_s`` is when that message was sent, by the clock of the confirmation; None if
        unknown.
        """
        if age_s is not None and sent_s is not None and config_version <= self.config_version:
            self.confirm_config_current(sent_s - age_s)

    def confirm_config_current(self, at_s: float) -> None:
        """Record that no configuration newer than the one in force existed at a moment."""
        self.config_freshness.confirm_current_at(at_s)
        if not self.config_confirmed.is_set() and self.accepts_keys:
            self.config_confirmed.set()

    def set_store_contact(self, contact: bool) -> None:
        """Record whether the store answers this instance, and notify the others of a change.

        Other instances read the store themselves when it answers none of their peers.
        """
        if contact != self.store_contact:
            self.store_contact = contact
            self.on_update(True)

    def record_peer_contact(self) -> None:
        """Record that a datagram of another instance arrived."""
        self._peer_heard_s = self._clock()

    def record_peer_revision(self, revision: int, peer: str) -> None:
        """Record a peer's revision of the upstreams; log once if this instance stays behind it."""
        if revision <= self.upstreams.revision:
            self._awaited.record_lower(self.upstreams, revision, self._clock())
            return
        behind_s = self._awaited.record_advertised(revision, self._clock())
        if behind_s is not None:
            self._log.event(
                "upstreams_behind",
                revision=self.upstreams.revision,
                awaited=self._awaited.revision,
                newest=revision,
                peer=peer,
                behind_s=behind_s,
            )

    def apply_config(self, chunked: ChunkedConfig, source: str) -> bool:
        """Put a configuration in force; return False if the one in force is as new or newer."""
        before, behind_s = self.configs.in_force, self.configs.behind_s
        if not self.configs.apply(chunked):
            return False
        try:
            self.quotas.set_accounts(chunked.config.accounts or (), self._clock())
            self.upstreams.set_services(chunked.config.services.values())
            self._configure_overload()
        except Exception:
            self.configs.restore(before)
            raise
        self._log.event(
            "config_in_force",
            version=chunked.config.version,
            before=before.version,
            routes=len(chunked.config.routes),
            behind_s=behind_s,
            source=source,
        )
        self._update_serving()
        self.on_update(True)
        return True

    def replace_upstreams(
        self, records: Iterable[UpstreamRecord], revision: int, source: str
    ) -> bool:
        """Replace the whole list of upstreams; return False if the known list is newer."""
        before = dict(self.upstreams.records)
        if not self.upstreams.replace(records, revision):
            return False
        self._upstreams_changed(before, source)
        return True

    def apply_upstream_changes(
        self, changes: dict[str, UpstreamRecord | None], revision: int, source: str
    ) -> None:
        """Apply changes of the list of upstreams by name; None removes an entry."""
        before = dict(self.upstreams.records)
        self.upstreams.apply_changes(changes, revision)
        self._upstreams_changed(before, source)

    def drop_upstreams(self, upstream_ids: Iterable[str]) -> None:
        """Drop upstreams that stayed unlisted for their grace period, and report the drops."""
        known = self.upstreams.records
        reports = [DropReport(name, known[name].revision) for name in upstream_ids if name in known]
        self._reports.record_drops(reports, self._clock())
        self._apply_drop_reports(reports, "lapse")
        if reports:
            self.on_update(True)

    def apply_section(self, section: Section, *, followed: bool) -> bool:
        """Apply a hub's section; return False if it is a duplicate or out of date.

        ``followed`` is False for a hub of the own zone that is not the first in the zone's order.
        Its aggregates are ignored, but the outcomes that it reports are still valid.
        """
        now_s = self._clock()
        known_count = self.zones.register_section(section, now_s)
        if known_count is None:
            return False
        source = f"peer {section.hub}"
        if section.availability_zone == self.own_zone:
            self.zones.record_hub_term(section, now_s)
        if followed:
            self.zones.apply_section(section, self._outcome_recorder.ids_by_key, now_s)
            self._largest_fleet = max(self._largest_fleet, self.zones.instances(now_s))
            self._apply_roster(section, now_s)
            self._apply_demand(section, now_s)
            self._record_store_reports(section, now_s)
            self.membership.set_isolated(section.availability_zone, section.isolated)
            if section.scope is Scope.ZONE:
                heartbeat = self.zones.acknowledged_sequence()
                sent_s = None if heartbeat is None else self._heartbeat_times.time_of(heartbeat)
                self.apply_peer_confirmation(
                    section.config_version, section.config_freshness_age_s, sent_s
                )
        elif section.roster is not None:
            # The roster may name an instance that comes before the followed hub in the zone's
            # order.
            for instance in section.roster.instances:
                self.membership.record_introduction(instance, now_s)
        for loss in section.losses:
            self.crashing_requests.record_loss(loss.digest, _loss_name(loss.upstream_key), now_s)
        self._apply_drop_reports(section.dropped, source)
        self._apply_draining(section.draining, source)
        self.limit_exchange.record_reported(
            section.limits, self._outcome_recorder.ids_by_key, source, now_s
        )
        for report in section.outcomes[known_count:]:
            if report.observer != self._settings.ip:
                self._outcome_recorder.record_reported(
                    report, now_s, is_own_zone=section.availability_zone == self.own_zone
                )
        for key in section.refusals:
            self._outcome_recorder.record_reported_refusal(key, now_s)
        changed = section.changed
        for key, duration_s in zip(changed.keys, changed.durations_s, strict=True):
            if duration_s:
                self._outcome_recorder.record_reported_successes(key, duration_s, now_s)
        return True

    def record_replaced(self, upstream_id: str) -> None:
        """Record that an upstream's address belongs to another one, and report it to the fleet.

        After a release, dozens of listed addresses belong to new upstreams. An instance that finds
        one spends a retry on it, so 132 instances spent 120 retries within 2 s. One discovery is
        enough: the response comes from the upstream that has the address now.
        """
        now_s = self._clock()
        self._replaced_s[upstream_id] = now_s
        if self.upstreams.mark_draining(upstream_id):
            self._draining[upstream_id] = _DrainingUpstream(now_s, cross_zone=True)
            self.on_update(True)

    def apply_replaced(self, upstream_ids: Iterable[str], source: str) -> bool:
        """Apply a zone member's report of replaced upstreams; return whether one was unknown.

        Every report is passed on to other zones: the previous hub may have failed before it sent
        its report there.
        """
        is_new = False
        for upstream_id in upstream_ids:
            if self.upstreams.mark_draining(upstream_id):
                is_new = True
                self._log.event("draining_reported", upstream=upstream_id, source=source)
            self._draining[upstream_id] = _DrainingUpstream(self._clock(), cross_zone=True)
        return is_new

    def _recently_replaced(self, now_s: float) -> Sequence[str]:
        self._replaced_s = {
            upstream_id: at_s
            for upstream_id, at_s in self._replaced_s.items()
            if now_s - at_s < _REPLACED_SEND_S
        }
        return list(self._replaced_s)[:_DRAINING_MAX]

    def recently_draining(self, *, cross_zone: bool = False) -> Sequence[str]:
        """Return the ids of upstreams that began to drain lately, for other instances.

        ``cross_zone`` leaves out those that the hubs of other zones report.
        """
        until_s = self._clock() - _DRAINING_SEND_S
        self._draining = {
            upstream_id: one for upstream_id, one in self._draining.items() if one.at_s >= until_s
        }
        ids = [
            upstream_id
            for upstream_id, one in self._draining.items()
            if one.cross_zone or not cross_zone
        ]
        return ids[:_DRAINING_MAX]

    def has_new_draining(self, section: Section) -> bool:
        """Return whether a section reports a draining upstream that is not known to drain here."""
        return not all(map(self.upstreams.is_known_to_drain, section.draining))

    def expire(self) -> None:
        """Remove the instances and zones whose messages have stopped."""
        now_s = self._clock()
        for instance in self.membership.remove_silent(now_s):
            self._log.event("instance_gone", peer=instance.address, zone=instance.availability_zone)
        for zone in self.zones.expire(now_s):
            self._log.event("zone_silent", zone=zone)
        self._update_overload(now_s)

    def next_heartbeat(self) -> Heartbeat:
        """Return the next heartbeat of this instance."""
        now_s = self._clock()
        self._reports.discard_expired(now_s)
        self._sequence += 1
        self._heartbeat_times.record(self._sequence, self.config_freshness.clock())
        sends_freshness = self.requires_fresh_config and self.store_contact
        # Requests that hang at an isolated instance take no slots: their responses were lost.
        loads = {} if self.is_isolated else self.load.own_counts()
        heartbeat = Heartbeat(
            origin=self._settings.ip,
            availability_zone=self._settings.availability_zone,
            incarnation=self.incarnation,
            sequence=self._sequence,
            state=self._state(),
            capacity=self._settings.capacity,
            config_version=self.config_version,
            upstreams_revision=self.upstreams.revision,
            store_contact=self.store_contact,
            loads={upstream_key(name): n for name, n in loads.items()},
            first_outcome=self._reports.first_outcome,
            outcomes=self._reports.outcomes(),
            losses=self._reports.losses(),
            dropped=self._reports.drops(),
            limits=self._reports.limits(now_s),
            successes=self._reports.drain_successes(),
            retries=dict(self.retry_budget.own_counts()),
            known_retries=self.zones.known_retries(now_s),
            config_freshness_age_s=self.config_freshness.age_s if sends_freshness else None,
            last_section=self.zones.own_echo() if sends_freshness else None,
            accounts=self.quotas.own_reports(now_s),
            is_isolated=self.is_isolated,
            replaced=self._recently_replaced(now_s),
            demand=self.overload.own_report(now_s),
            store_away_s=self.store_outage.reported_away_s(now_s),
        )
        self.zones.record_sent(heartbeat, now_s)
        return heartbeat

    def own_instance(self) -> Instance:
        """Return the entry of this instance for other instances' lists."""
        return Instance(
            self._settings.ip,
            self._settings.availability_zone,
            short_incarnation(self.incarnation),
            self._state(),
            self._settings.capacity,
        )

    def record_outcome(self, observation: Observation, digest: RequestDigest | None = None) -> None:
        """Record an outcome that this instance observed, and report it to the others."""
        now_s = self._clock()
        health = self.suspicion.health(observation.upstream_id, now_s)
        # Other zones hear of a success only if it may disprove a suspicion there.
        suspected = health is not UpstreamHealth.GOOD
        suspected |= self.suspicion.has_unanswered_failures(observation.upstream_id)
        own_name = self._settings.ip
        self._outcome_recorder.record_own(observation, own_name, now_s)
        key = upstream_key(observation.upstream_id)
        report = OutcomeReport(key, observation.outcome, observation.duration_s, own_name)
        if observation.outcome is Outcome.SUCCESS and not suspected:
            self._reports.record_success(report)
        else:
            self._reports.record_outcome(report, now_s)
        if observation.outcome is Outcome.BROKEN and digest is not None:
            self.record_own_loss(observation.upstream_id, digest)
            self._reports.record_loss(LossReport(digest, key), now_s)
        self.on_update(observation.outcome in URGENT_OUTCOMES)

    def avoid_path(self, upstream_id: str) -> None:
        """Use an upstream only as a last resort for a while: the path from here to it failed."""
        self.suspicion.pause_path(upstream_id, self._clock())

    def record_own_loss(self, upstream_id: str, digest: RequestDigest) -> None:
        """Record a request that was lost with its connection, without a report to the others."""
        name = _loss_name(upstream_key(upstream_id))
        self.crashing_requests.record_loss(digest, name, self._clock())

    def set_isolated(self, isolated: bool) -> None:
        """Record whether this instance reaches no upstream, and notify the others."""
        self.is_isolated = isolated
        if not isolated:
            # What was avoided because of the paths from here may be used again.
            self.suspicion.resume_paths()
        self.on_update(True)

    def record_advertised_limit(self, upstream_id: str, limit_per_s: float | None) -> None:
        """Record the rate limit in an upstream's answer, and report a change to the others."""
        if self.limit_exchange.record_own(upstream_id, limit_per_s, self._clock()):
            self.on_update(True)

    def record_request_start(self, upstream_id: str, *, trial: bool) -> None:
        """Count a request sent to an upstream; the start of a trial is reported as urgent."""
        now_s = self._clock()
        self.load.record_start(upstream_id, now_s)
        record = self.upstreams.records.get(upstream_id)
        if record is not None:
            self.limit_exchange.limits.record_send(record, now_s)
        self.on_update(trial)

    def record_request_end(self, upstream_id: str) -> None:
        """Remove a request from an upstream's count."""
        self.load.record_finish(upstream_id)
        self.on_update(False)

    def refusing_upstreams(self, service: str) -> Sequence[str]:
        """Return the ids of the upstreams of a service that take no requests of this instance."""
        now_s = self._clock()
        return [
            record.id
            for record in self.upstreams.records.values()
            if record.service == service
            and (
                not self.upstreams.is_ready(record.id)
                or self.backoffs.remaining_s(record.id, now_s) > 0
            )
        ]

    def count_by_health(self, records: Iterable[UpstreamRecord]) -> Counter[UpstreamHealth]:
        """Return how many of some upstreams this instance may use in which way."""
        now_s = self._clock()
        return Counter(self.suspicion.health(record.id, now_s) for record in records)

    def known_share(self) -> float:
        """Return the share of the fleet that reports here; shared allowances are scaled by it."""
        return min(self.zones.instances(self._clock()) / self._largest_fleet, 1.0)

    def permits_retry(self, service: str) -> bool:
        """Return whether the fleet's retry budget permits one more attempt.

        While a zone changes its hub, the other instances' retries are unknown, and each instance
        would spend everything that the window frees. No retry is permitted in that short time.
        """
        now_s = self._clock()
        if self.zones.is_late(now_s):
            return False
        return self.retry_budget.permits(
            service,
            now_s,
            self.known_share(),
            self._own_share(now_s),
            all_zones_reporting=self._receives_retry_counts(now_s),
        )

    def remaining_retries(self, service: str) -> float:
        """Return how many retries the fleet's retry budget has left, as far as is known here."""
        now_s = self._clock()
        return self.retry_budget.remaining(
            service,
            now_s,
            self.known_share(),
            self._own_share(now_s),
            all_zones_reporting=self._receives_retry_counts(now_s),
        )

    def admit_to_quota(self, account: ClientAccount) -> QuotaExceeded | None:
        """Count a request of an account; return why the quota refuses it, or None."""
        now_s = self._clock()
        over = self.quotas.admit(
            account,
            now_s,
            self.known_share(),
            all_zones_reporting=self.zones.receives_all_zones(now_s),
        )
        self.on_update(False)
        return over

    def others_reach_store(self) -> bool:
        """Return whether another instance is in contact with the store."""
        readers = self.zones.store_readers(self._clock())
        return readers > (1 if self.store_contact else 0)

    def suspicions(self) -> Sequence[SuspicionRecord]:
        """Return the suspicions about upstreams, for an instance that has just started."""
        return self.suspicion.export_records(self._clock())

    def adopt_suspicions(self, records: Sequence[SuspicionRecord]) -> None:
        """Import the suspicions that a peer sent when this instance started."""
        if records:
            self._log.event("doubts_adopted", upstreams=len(records))
            self.suspicion.import_records(records, self._clock())

    def _own_share(self, now_s: float) -> float:
        """Return the part of the fleet that this instance is."""
        return 1.0 / max(self.zones.instances(now_s), self.membership.size())

    def _receives_retry_counts(self, now_s: float) -> bool:
        """Return whether the retries of nearly all living instances are known here."""
        if self.membership.size() > 1 and now_s - self._peer_heard_s > _PEERS_SILENT_S:
            return False
        if self.zones.instances(now_s) < _COUNTED_SHARE * self.membership.size():
            return False
        return self.zones.receives_all_retry_counts(now_s, self.retry_budget.window_s)

    def _is_in_service(self, upstream_id: str, now_s: float) -> bool:
        return self.suspicion.health(upstream_id, now_s) not in _OUT_OF_SERVICE

    def _in_service(self) -> Sequence[UpstreamRecord]:
        """Return the upstreams that accept work and that the fleet does not suspect."""
        now_s = self._clock()
        return [
            record
            for record in self.upstreams
            if record.state is UpstreamState.READY and self._is_in_service(record.id, now_s)
        ]

    def _limit_position(self, record: UpstreamRecord) -> LimitPosition:
        return limit_position(
            record,
            self.membership,
            own_zone=self.own_zone,
            leaving=self.leaving,
            fleet_size=self.zones.instances(self._clock()),
            known_share=self.known_share(),
        )

    def _apply_drop_reports(self, reports: Iterable[DropReport], source: str) -> None:
        known = self.upstreams.records
        gone = [
            known[report.upstream_id].name
            for report in reports
            if report.upstream_id in known and known[report.upstream_id].revision <= report.revision
        ]
        if gone:
            before = dict(known)
            self.upstreams.remove(gone)
            self._upstreams_changed(before, source)

    def _apply_draining(self, upstream_ids: Iterable[str], source: str) -> None:
        for upstream_id in upstream_ids:
            if self.upstreams.mark_draining(upstream_id):
                self._draining[upstream_id] = _DrainingUpstream(self._clock(), cross_zone=False)
                self._log.event("draining_reported", upstream=upstream_id, source=source)

    def _configure_overload(self) -> None:
        config, objectives = self.configs.config, self.configs.urgency
        if config is not None and objectives is not None:
            self.overload.configure(
                config,
                objectives,
                shares_capacity=self._settings.shares_capacity,
                is_enabled=self._settings.controls_overload,
            )
            self._update_overload(self._clock())

    def _recently_known_share(self, now_s: float) -> float:
        """Return the share of the recent fleet that reports here.

        Unlike the largest fleet ever, to which quotas and the retry budget keep, a fleet that stays
        smaller for longer than a split zone is not taken as partly unknown: its slots would count
        in part only, and requests would be refused while slots are free.
        """
        instances = self.zones.instances(now_s)
        if instances >= self._recent_fleet or now_s - self._recent_fleet_s > _RECENT_FLEET_S:
            self._recent_fleet, self._recent_fleet_s = instances, now_s
        return instances / self._recent_fleet

    def _apply_demand(self, section: Section, now_s: float) -> None:
        self.overload.apply_section(section, now_s)
        if section.demand is not None or section.availability_zone == self.own_zone:
            self._update_overload(now_s)

    def _update_overload(self, now_s: float) -> None:
        if self.overload.services:
            known_share = self._recently_known_share(now_s)
            self.overload.set_fleet(known_share, known_share * self._own_share(now_s))
            self.overload.log_states(now_s)

    def _state(self) -> InstanceState:
        if self.leaving:
            return InstanceState.LEAVING
        return InstanceState.READY if self.ready else InstanceState.STARTING

    def _apply_roster(self, section: Section, now_s: float) -> None:
        zone = section.availability_zone
        self.membership.extend_zone(zone, now_s)
        if section.roster is not None:
            self.membership.apply_roster(zone, section.roster, now_s)
            if zone == self._settings.availability_zone:
                self.zones.update_ack_index(section.roster, self._settings.ip)

    def _record_store_reports(self, section: Section, now_s: float) -> None:
        """Record whether the store answers other instances."""
        if self.store_contact:
            return
        if self.others_reach_store():
            self.store_outage.record_contact(now_s)
        elif section.store_away_s is not None:
            self.store_outage.record_report(section.store_away_s, now_s)

    def _trial_rank(self, record: UpstreamRecord) -> int:
        return self.membership.task_rank(f"trial {record.id}", record.availability_zone)

    def _upstreams_changed(self, before: dict[str, UpstreamRecord], source: str) -> None:
        self._awaited.record_arrival(self.upstreams.revision)
        after = self.upstreams.records
        for upstream_id in before.keys() | after.keys():
            old, new = before.get(upstream_id), after.get(upstream_id)
            old_state = old.state.value if old is not None else "unlisted"
            new_state = new.state.value if new is not None else "unlisted"
            if new is not None and new.state is UpstreamState.DRAINING and old != new and before:
                from_store = source == _STORE_SOURCE
                self._draining[upstream_id] = _DrainingUpstream(self._clock(), from_store)
            if old_state != new_state and before:
                self._log.event(
                    "upstream_listed",
                    upstream=upstream_id,
                    before=old_state,
                    after=new_state,
                    revision=self.upstreams.revision,
                    source=source,
                )
            if new is None:
                self.durations.remove_upstream(upstream_id)
                self.placement.warmup_until_s.pop(upstream_id, None)
            elif old is None and new.warmup_s > 0:
                self.placement.warmup_until_s[upstream_id] = self._clock() + new.warmup_s
        listed = set(after)
        self._outcome_recorder.keep_only(listed)
        self.shares.invalidate()
        self.load.keep_only(listed)
        self.suspicion.keep_only(listed)
        self.limit_exchange.limits.keep_only(listed, self._clock())
        self._update_serving()
        self.on_upstreams_changed(listed)
        self.on_update(True)

    def _update_serving(self) -> None:
        if self.config_version > 0 and self.upstreams.revision > 0:
            self.serving.set()


def _loss_name(key: int) -> str:
    """Return the name of an upstream in the record of connections lost to a request."""
    return f"{key:08x}"
