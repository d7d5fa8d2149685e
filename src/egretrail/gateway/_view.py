"""What one instance believes of the fleet: configuration, upstreams, peers and their news."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from egretrail.cluster import (
    URGENT_OUTCOMES,
    Beat,
    ConfigProof,
    DropReport,
    Finding,
    Instance,
    InstanceState,
    LossReport,
    Membership,
    OwnNews,
    PartedConfig,
    Scope,
    Section,
    SendTimes,
    short_incarnation,
)
from egretrail.dispatch import (
    AccountQuotas,
    AnswerSizes,
    CrashingRequests,
    DoubtRecord,
    FleetLoad,
    LimitPlace,
    Observation,
    Outcome,
    OverQuota,
    Placement,
    RepeatBudget,
    RequestDigest,
    ServiceDurations,
    SlotShares,
    Standing,
    SuspicionBook,
    TrialPace,
)
from egretrail.gateway._awaited_upstreams import AwaitedUpstreams
from egretrail.gateway._config_state import ConfigState
from egretrail.gateway._evidence import Evidence
from egretrail.gateway._interfaces import GatewaySettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._named_limits import NamedLimits, limit_place
from egretrail.gateway._zones import ZoneSums
from egretrail.traffic import (
    ClientAccount,
    FleetConfig,
    UpstreamRecord,
    UpstreamTable,
    upstream_key,
)

#: Whoever hears this part of the largest fleet that it has known is not cut off with its zone.
_FLEET_SHARE = 0.5
#: Keys are refused this long before the proof of the configuration is as old as it may be.
_REVOCATION_MARGIN_S = 0.25


class FleetView:
    """The state behind all decisions of an instance. It changes only through these methods."""

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: int,
        clock: Callable[[], float],
        log: EventLog,
        rng: random.Random,
        elapsed_clock: Callable[[], float] | None = None,
    ) -> None:
        """``elapsed_clock`` counts the time in which the machine is suspended too."""
        self._settings = settings
        #: Rises with each start of the process.
        self.incarnation = incarnation
        self._clock = clock
        self._log = log
        self._sequence = 0
        self._news = OwnNews()
        self._most_alive = 1
        #: The configuration in force.
        self.configs = ConfigState(clock)
        #: Up to when this configuration is known to be the newest one.
        self.proof = ConfigProof(elapsed_clock or clock)
        self._beat_times = SendTimes()
        #: The listed upstreams.
        self.upstreams = UpstreamTable()
        self._awaited = AwaitedUpstreams()
        #: The other instances.
        self.membership = Membership(settings.ip, settings.availability_zone, settings.capacity)
        #: Requests under way over the fleet.
        self.load = FleetLoad()
        #: Usual durations of work.
        self.durations = ServiceDurations()
        #: Usual sizes of answers.
        self.sizes = AnswerSizes()
        #: Doubts about upstreams.
        self.suspicion = SuspicionBook(settings.ip)
        #: Requests that crash upstreams.
        self.crashers = CrashingRequests()
        #: What is left for repeats.
        self.repeats = RepeatBudget(
            settings.repeat_ratio, settings.repeat_window_s, settings.repeat_slack, clock()
        )
        #: What is left of accounts' quotas.
        self.quotas = AccountQuotas(settings.quota_terms, rng)
        own_zone = settings.availability_zone
        #: The share of the zone's slots that this instance prefers.
        self.shares = SlotShares(lambda task: self.membership.rank_for(task, own_zone))
        self.membership.on_change = self.shares.changed
        #: Limits that upstreams have named.
        self.limits = NamedLimits(settings.ip, self._limit_place, self._news, log)
        #: Chooses upstreams.
        self.placement = Placement(
            settings.availability_zone,
            self.load,
            self.durations,
            self.suspicion,
            TrialPace(self.load, self.suspicion, self._trial_rank, self.repeats.request_rate),
            limits=self.limits.upstreams,
            owns=self.shares.owns,
            rng=rng,
        )
        self._evidence = Evidence(
            self.upstreams, self.load, self.durations, self.suspicion, self.placement, log
        )
        #: What the hubs of the zones tell.
        self.zones = ZoneSums(settings.availability_zone, self.load, self.repeats, self.quotas)
        #: Whether the store answered this instance lately.
        self.store_contact = False
        #: Whether the instance was told to stop.
        self.leaving = False
        #: Set once callers can be served.
        self.serving = asyncio.Event()
        #: Set once keys can be taken.
        self.proved = asyncio.Event()
        #: Called when other instances should hear of something; True where it is urgent.
        self.on_news: Callable[[bool], None] = lambda urgent: None
        #: Called with the upstreams that are listed after each change.
        self.on_upstreams: Callable[[set[str]], None] = lambda listed: None

    def take_settings(self, settings: GatewaySettings) -> None:
        """Go on with changed settings; the others hear of the capacity."""
        self._settings = settings
        self.membership.set_own_capacity(settings.capacity)
        self.repeats.set_bounds(
            settings.repeat_ratio, settings.repeat_window_s, settings.repeat_slack, self._clock()
        )
        self.quotas.set_terms(settings.quota_terms)
        self.on_news(False)

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
        """Whether callers may be sent here."""
        return self.config_version > 0 and self.upstreams.revision > 0 and not self.leaving

    @property
    def knows_config_is_current(self) -> bool:
        """Whether nothing newer is known of than the configuration in force, and would be."""
        hears_fleet = self.others_reach_store() or self.known_share() > _FLEET_SHARE
        return self.configs.is_current(hears_fleet=hears_fleet)

    @property
    def has_accounts(self) -> bool:
        """Whether requests need the key of a client account."""
        return self.configs.accounts is not None

    @property
    def needs_proof(self) -> bool:
        """Whether keys are taken only while the configuration is proved to be the newest one."""
        return self._settings.revocation_s is not None and self.configs.accounts is not None

    @property
    def takes_keys(self) -> bool:
        """Whether a key of the configuration in force cannot have ended long ago."""
        limit_s = self._settings.revocation_s
        if limit_s is None or self.configs.accounts is None:
            return True
        return self.proof.age_s < limit_s - _REVOCATION_MARGIN_S

    def told_proof_age_s(self) -> float | None:
        """Return the age of the proof for others; None where none is needed."""
        return self.proof.age_s if self.needs_proof else None

    def take_proof(self, config_version: int, age_s: float | None, asked_s: float | None) -> None:
        """Take the proof that another instance had of a version, in reply to what was sent to it.

        ``asked_s`` is when that was sent, by the proof's clock; None where it is not known.
        """
        if age_s is not None and asked_s is not None and config_version <= self.config_version:
            self.prove_config(asked_s - age_s)

    def prove_config(self, at_s: float) -> None:
        """Take that no configuration newer than the one in force existed at a moment."""
        self.proof.proved(at_s)
        if not self.proved.is_set() and self.takes_keys:
            self.proved.set()

    def set_store_contact(self, contact: bool) -> None:
        """Take whether the store answers this instance; others read it where it answers nobody."""
        if contact != self.store_contact:
            self.store_contact = contact
            self.on_news(True)

    def heard_of_upstreams(self, revision: int, peer: str) -> None:
        """Take which revision of the upstreams a peer has."""
        if revision <= self.upstreams.revision:
            return
        behind_s = self._awaited.heard_of(revision, self._clock())
        if behind_s is not None:
            self._log.event(
                "upstreams_behind",
                revision=self.upstreams.revision,
                awaited=self._awaited.revision,
                newest=revision,
                peer=peer,
                behind_s=behind_s,
            )

    def take_config(self, parted: PartedConfig, source: str) -> bool:
        """Put a configuration in force, unless the one in force is as new."""
        before, behind_s = self.config_version, self.configs.behind_s
        if not self.configs.take(parted):
            return False
        self.quotas.set_accounts(parted.config.accounts or (), self._clock())
        self._log.event(
            "config_in_force",
            version=parted.config.version,
            before=before,
            routes=len(parted.config.routes),
            behind_s=behind_s,
            source=source,
        )
        self._note_serving()
        self.on_news(True)
        return True

    def take_upstreams(self, records: Iterable[UpstreamRecord], revision: int, source: str) -> bool:
        """Take a whole list of upstreams, unless the known one is newer."""
        before = dict(self.upstreams.records)
        if not self.upstreams.replace(records, revision):
            return False
        self._upstreams_changed(before, source)
        return True

    def change_upstreams(
        self, changes: dict[str, UpstreamRecord | None], revision: int, source: str
    ) -> None:
        """Take changes of the list of upstreams, by name."""
        before = dict(self.upstreams.records)
        self.upstreams.apply(changes, revision)
        self._upstreams_changed(before, source)

    def drop_upstreams(self, upstream_ids: Iterable[str]) -> None:
        """Drop upstreams whose entries vanished and did not come back, and tell the others."""
        now_s = self._clock()
        known = self.upstreams.records
        reports = [DropReport(name, known[name].revision) for name in upstream_ids if name in known]
        self._news.dropped(reports, now_s)
        self._drop(reports, "lapse")
        if reports:
            self.on_news(True)

    def take_section(self, section: Section, *, followed: bool) -> bool:
        """Take what a hub tells; return whether it is news.

        ``followed`` is False for a hub of the own zone whose sums are not taken, since it has yet
        to find the first of the zone; what it found holds all the same.
        """
        now_s = self._clock()
        skip = self.zones.skipped_findings(section, now_s)
        if skip is None:
            return False
        source = f"peer {section.hub}"
        if followed:
            self.zones.take(section, self._evidence.ids, now_s)
            self._most_alive = max(self._most_alive, self.zones.instances(now_s))
            self._take_roster(section, now_s)
            if section.scope is Scope.ZONE:
                beat = self.zones.acknowledged_sequence()
                asked_s = None if beat is None else self._beat_times.time_of(beat)
                self.take_proof(section.config_version, section.config_proof_age_s, asked_s)
        elif section.roster is not None:
            # One of them may be before the hub that is followed.
            for instance in section.roster.instances:
                self.membership.introduce(instance, now_s)
        for loss in section.losses:
            self.crashers.lost(loss.digest, _loss_name(loss.upstream_key), now_s)
        self._drop(section.dropped, source)
        self.limits.hear(section.limits, self._evidence.ids, source, now_s)
        for finding in section.findings[skip:]:
            if finding.observer != self._settings.ip:
                self._evidence.hear(finding, now_s)
        for key in section.refusals:
            self._evidence.hear_refusal(key, section.hub, now_s)
        changed = section.changed
        for key, duration_s in zip(changed.keys, changed.durations_s, strict=True):
            if duration_s:
                self._evidence.hear_answers(key, duration_s, now_s)
        return True

    def expire(self) -> None:
        """Remove instances and zones that are silent."""
        now_s = self._clock()
        for instance in self.membership.expire(now_s):
            self._log.event("instance_gone", peer=instance.address, zone=instance.availability_zone)
        for zone in self.zones.expire(now_s):
            self._log.event("zone_silent", zone=zone)

    def own_beat(self) -> Beat:
        """Return the next beat."""
        now_s = self._clock()
        self._news.forget_old(now_s)
        self._sequence += 1
        self._beat_times.sent(self._sequence, self.proof.clock())
        tells_proof = self.needs_proof and self.store_contact
        beat = Beat(
            origin=self._settings.ip,
            availability_zone=self._settings.availability_zone,
            incarnation=self.incarnation,
            sequence=self._sequence,
            state=self._state(),
            capacity=self._settings.capacity,
            config_version=self.config_version,
            upstreams_revision=self.upstreams.revision,
            store_contact=self.store_contact,
            loads={upstream_key(name): n for name, n in self.load.own_counts().items()},
            first_finding=self._news.first_finding,
            findings=self._news.findings(),
            losses=self._news.losses(),
            dropped=self._news.drops(),
            limits=self._news.limits(now_s),
            routine=self._news.take_successes(),
            repeats=dict(self.repeats.own_counts()),
            told_repeats=self.zones.told_repeats(now_s),
            config_proof_age_s=self.proof.age_s if tells_proof else None,
            heard=self.zones.own_echo() if tells_proof else None,
            accounts=self.quotas.own_reports(now_s),
        )
        self.zones.sent(beat, now_s)
        return beat

    def own_instance(self) -> Instance:
        """Return what others list of this instance."""
        return Instance(
            self._settings.ip,
            self._settings.availability_zone,
            short_incarnation(self.incarnation),
            self._state(),
            self._settings.capacity,
        )

    def observe(self, seen: Observation, digest: RequestDigest | None = None) -> None:
        """Take an outcome of this instance, and tell the others."""
        now_s = self._clock()
        doubted = self.suspicion.standing(seen.upstream_id, now_s) is not Standing.GOOD
        own_name = self._settings.ip
        self._evidence.observe(seen, own_name, now_s)
        key = upstream_key(seen.upstream_id)
        finding = Finding(key, seen.outcome, seen.duration_s, own_name)
        if seen.outcome is Outcome.SUCCESS and not doubted:
            self._news.succeeded(finding)
        else:
            self._news.found(finding, now_s)
        if seen.outcome is Outcome.BROKEN and digest is not None:
            self.crashers.lost(digest, _loss_name(key), now_s)
            self._news.lost(LossReport(digest, key), now_s)
        self.on_news(seen.outcome in URGENT_OUTCOMES)

    def named_limit(self, upstream_id: str, limit_per_s: float | None) -> None:
        """Take what an upstream's answer says of its limit, and tell the others."""
        now_s = self._clock()
        if self.limits.named(upstream_id, limit_per_s, now_s):
            self.on_news(True)

    def begin(self, upstream_id: str, *, trial: bool) -> None:
        """Count a request that is sent to an upstream; a trial is told at once."""
        now_s = self._clock()
        self.load.started(upstream_id, now_s)
        record = self.upstreams.records.get(upstream_id)
        if record is not None:
            self.limits.upstreams.sent(record, now_s)
        self.on_news(trial)

    def end(self, upstream_id: str) -> None:
        """Discount a request that was sent to an upstream."""
        self.load.finished(upstream_id)
        self.on_news(False)

    def known_share(self) -> float:
        """Return the part of the fleet that this instance hears, for shared allowances."""
        return min(self.zones.instances(self._clock()) / self._most_alive, 1.0)

    def permits_repeat(self, service: str) -> bool:
        """Return whether a request may be sent once more within the fleet's budget.

        Load: while a zone changes its hub nobody hears of the others' repeats, and each instance
        would take all that the window sets free. For these moments none is sent.
        """
        now_s = self._clock()
        if self.zones.is_late(now_s):
            return False
        own_part = 1.0 / max(self.zones.instances(now_s), self.membership.size())
        return self.repeats.permits(service, now_s, self.known_share(), own_part)

    def admit_to_quota(self, account: ClientAccount) -> OverQuota | None:
        """Count a request of an account; return why its quota has no room for it, or None."""
        now_s = self._clock()
        over = self.quotas.admit(
            account, now_s, self.known_share(), hears_all=self.zones.hears_all(now_s)
        )
        self.on_news(False)
        return over

    def others_reach_store(self) -> bool:
        """Return whether another instance is in contact with the store."""
        readers = self.zones.store_readers(self._clock())
        return readers > (1 if self.store_contact else 0)

    def doubts(self) -> Sequence[DoubtRecord]:
        """Return the doubts about upstreams, for an instance that has just started."""
        return self.suspicion.records(self._clock())

    def adopt_doubts(self, records: Sequence[DoubtRecord]) -> None:
        """Take the doubts that a peer told when this instance started."""
        if records:
            self._log.event("doubts_adopted", upstreams=len(records))
            self.suspicion.adopt(records, self._clock())

    def _limit_place(self, record: UpstreamRecord) -> LimitPlace:
        return limit_place(
            record,
            self.membership,
            own_zone=self.own_zone,
            leaving=self.leaving,
            fleet_size=self.zones.instances(self._clock()),
            known_share=self.known_share(),
        )

    def _drop(self, reports: Iterable[DropReport], source: str) -> None:
        known = self.upstreams.records
        gone = [
            known[report.upstream_id].name
            for report in reports
            if report.upstream_id in known and known[report.upstream_id].revision <= report.revision
        ]
        if gone:
            before = dict(known)
            self.upstreams.drop(gone)
            self._upstreams_changed(before, source)

    def _state(self) -> InstanceState:
        if self.leaving:
            return InstanceState.LEAVING
        return InstanceState.READY if self.ready else InstanceState.STARTING

    def _take_roster(self, section: Section, now_s: float) -> None:
        zone = section.availability_zone
        self.membership.keep(zone, now_s)
        if section.roster is not None:
            self.membership.take_roster(zone, section.roster, now_s)
            if zone == self._settings.availability_zone:
                self.zones.find_place(section.roster, self._settings.ip)

    def _trial_rank(self, record: UpstreamRecord) -> int:
        return self.membership.rank_for(f"trial {record.id}", record.availability_zone)

    def _upstreams_changed(self, before: dict[str, UpstreamRecord], source: str) -> None:
        self._awaited.arrived(self.upstreams.revision)
        after = self.upstreams.records
        for upstream_id in before.keys() | after.keys():
            old, new = before.get(upstream_id), after.get(upstream_id)
            old_state = old.state.value if old is not None else "unlisted"
            new_state = new.state.value if new is not None else "unlisted"
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
                self.durations.forget(upstream_id)
                self.placement.warm_from_s.pop(upstream_id, None)
            elif old is None and new.warmup_s > 0:
                self.placement.warm_from_s[upstream_id] = self._clock() + new.warmup_s
        listed = set(after)
        self._evidence.keep_only(listed)
        self.shares.changed()
        self.load.keep_only(listed)
        self.suspicion.keep_only(listed)
        self.limits.upstreams.keep_only(listed)
        self._note_serving()
        self.on_upstreams(listed)
        self.on_news(True)

    def _note_serving(self) -> None:
        if self.config_version > 0 and self.upstreams.revision > 0:
            self.serving.set()


def _loss_name(key: int) -> str:
    """Return how an upstream is named among those that a request has cost."""
    return f"{key:08x}"
