"""What one instance believes of the fleet: configuration, upstreams, peers and their news."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence

from egretrail.cluster import Beat, DropReport, InstanceState, LossReport, Membership, Peer
from egretrail.dispatch import (
    AnswerSizes,
    CrashingRequests,
    DoubtRecord,
    FleetLoad,
    Observation,
    Outcome,
    Placement,
    RepeatBudget,
    RequestDigest,
    ServiceDurations,
    Standing,
    SuspicionBook,
    TrialPace,
)
from egretrail.gateway._interfaces import GatewaySettings
from egretrail.gateway._log import EventLog
from egretrail.traffic import FleetConfig, RouteTable, UpstreamRecord, UpstreamTable

#: Observations are repeated in all beats of this time, so that they survive a lost datagram: the
#: next beat comes within 0.25 s.
_NEWS_S = 0.3
#: Dropped upstreams are told for longer, since an instance that misses the word sends to them on.
_DROPPED_S = 3.0
#: Outcomes that other instances act upon at once.
_URGENT = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.OVERDUE})
#: Outcomes that come with an answer of the upstream.
_ANSWERED = frozenset({Outcome.SUCCESS, Outcome.FAILED, Outcome.SHED, Outcome.EXPIRED})
#: Outcomes after which the attempt brings no answer to the client.
_LOST_ANSWERS = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.SILENT, Outcome.SHED})


class FleetView:
    """The state behind all decisions of an instance. It changes only through these methods."""

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: int,
        clock: Callable[[], float],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._clock = clock
        self._log = log
        self._sequence = 0
        self._news: deque[tuple[float, Observation]] = deque()
        self._losses: deque[tuple[float, LossReport]] = deque()
        self._dropped: deque[tuple[float, DropReport]] = deque()
        self._routine: list[Observation] = []
        self._first_news = 0
        self._most_alive = 1
        #: The configuration in force; None before one is known.
        self.config: FleetConfig | None = None
        #: The configuration as the operators wrote it.
        self.config_value = b""
        #: The routes of the configuration in force.
        self.routes: RouteTable | None = None
        #: The listed upstreams.
        self.upstreams = UpstreamTable()
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
            settings.repeat_ratio, settings.repeat_window_s, settings.repeat_slack
        )
        #: Chooses upstreams.
        self.placement = Placement(
            settings.availability_zone,
            self.load,
            self.durations,
            self.suspicion,
            TrialPace(self.load, self.suspicion, self._trial_rank, self.repeats.request_rate),
            rng=rng,
        )
        #: Whether the store answered this instance lately.
        self.store_contact = False
        #: Whether the instance was told to stop.
        self.leaving = False
        #: Set once callers can be served.
        self.serving = asyncio.Event()
        #: Called when other instances should hear of something; True where it is urgent.
        self.on_news: Callable[[bool], None] = lambda urgent: None
        #: Called with the upstreams that are listed after each change.
        self.on_upstreams: Callable[[set[str]], None] = lambda listed: None

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.config is not None and self.upstreams.revision > 0 and not self.leaving

    def take_config(self, value: bytes, config: FleetConfig, source: str) -> bool:
        """Put a configuration in force, unless the one in force is as new."""
        if self.config is not None and config.version <= self.config.version:
            return False
        before = self.config.version if self.config is not None else 0
        self.config = config
        self.config_value = value
        self.routes = RouteTable(config)
        self._log.event(
            "config_in_force",
            version=config.version,
            before=before,
            routes=len(config.routes),
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
        self._dropped += [(now_s, report) for report in reports]
        self._drop(reports, "lapse")

    def introduce(self, beat: Beat) -> Peer | None:
        """Take an instance that a peer knows; return the peer where it was unknown."""
        return self.membership.introduce(beat, self._clock())

    def hear(self, beat: Beat) -> Peer | None:
        """Take a peer's beat; return the peer where the beat is news."""
        now_s = self._clock()
        peer = self.membership.hear(beat, now_s)
        if peer is None:
            return None
        self.load.told(beat.origin, beat.loads, now_s)
        lifetime = f"{beat.origin}~{beat.incarnation}"
        for service, counts in beat.repeats.items():
            self.repeats.told(lifetime, service, counts, now_s)
        for loss in beat.losses:
            self.crashers.lost(loss.digest, loss.upstream_id, now_s)
        self._drop(beat.dropped, f"peer {beat.origin}")
        skip = max(peer.next_observation - beat.first_observation, 0)
        for seen in beat.observations[skip:]:
            self._learn(seen, beat.origin, now_s)
        peer.next_observation = beat.first_observation + len(beat.observations)
        for seen in beat.routine:
            self._learn(seen, beat.origin, now_s)
        return peer

    def expire(self) -> list[str]:
        """Remove peers that are silent; return their addresses."""
        now_s = self._clock()
        gone = self.membership.expire(now_s)
        for peer in gone:
            self.load.forget(peer.beat.origin)
            self.repeats.forget(f"{peer.beat.origin}~{peer.beat.incarnation}")
            self._log.event(
                "instance_gone",
                peer=peer.beat.origin,
                zone=peer.beat.availability_zone,
                silent_s=now_s - peer.heard_s,
            )
        return [peer.beat.origin for peer in gone]

    def own_beat(self) -> Beat:
        """Return the next beat."""
        now_s = self._clock()
        self._drop_old_news(now_s)
        self._sequence += 1
        state = InstanceState.STARTING
        if self.leaving:
            state = InstanceState.LEAVING
        elif self.ready:
            state = InstanceState.READY
        routine, self._routine = self._routine, []
        return Beat(
            origin=self._settings.ip,
            availability_zone=self._settings.availability_zone,
            incarnation=self._incarnation,
            sequence=self._sequence,
            state=state,
            capacity=self._settings.capacity,
            config_version=self.config.version if self.config is not None else 0,
            upstreams_revision=self.upstreams.revision,
            store_contact=self.store_contact,
            loads=self.load.own_counts(),
            first_observation=self._first_news,
            observations=[seen for _, seen in self._news],
            losses=[loss for _, loss in self._losses],
            dropped=[drop for _, drop in self._dropped],
            routine=routine,
            repeats=dict(self.repeats.own_counts()),
        )

    def observe(self, seen: Observation, digest: RequestDigest | None = None) -> None:
        """Take an outcome of this instance, and tell the others."""
        now_s = self._clock()
        doubted = self.suspicion.standing(seen.upstream_id, now_s) is not Standing.GOOD
        self._learn(seen, self._settings.ip, now_s)
        if seen.outcome is Outcome.SUCCESS and not doubted:
            self._routine.append(seen)
        else:
            self._news.append((now_s, seen))
        if seen.outcome is Outcome.BROKEN and digest is not None:
            self.crashers.lost(digest, seen.upstream_id, now_s)
            self._losses.append((now_s, LossReport(digest, seen.upstream_id)))
        self.on_news(seen.outcome in _URGENT)

    def begin(self, upstream_id: str, *, trial: bool) -> None:
        """Count a request that is sent to an upstream; a trial is told at once."""
        self.load.started(upstream_id, self._clock())
        self.on_news(trial)

    def end(self, upstream_id: str) -> None:
        """Discount a request that was sent to an upstream."""
        self.load.finished(upstream_id)
        self.on_news(False)

    def known_share(self) -> float:
        """Return the part of the fleet that this instance hears, for shared allowances."""
        alive = sum(1 for _ in self.membership.peers()) + 1
        self._most_alive = max(alive, self._most_alive)
        return alive / self._most_alive

    def doubts(self) -> Sequence[DoubtRecord]:
        """Return the doubts about upstreams, for an instance that has just started."""
        return self.suspicion.records(self._clock())

    def adopt_doubts(self, records: Sequence[DoubtRecord]) -> None:
        """Take the doubts that a peer told when this instance started."""
        if records:
            self._log.event("doubts_adopted", upstreams=len(records))
            self.suspicion.adopt(records, self._clock())

    def _drop(self, reports: Iterable[DropReport], source: str) -> None:
        known = self.upstreams.records
        gone = {
            known[report.upstream_id].name: None
            for report in reports
            if report.upstream_id in known and known[report.upstream_id].revision <= report.revision
        }
        if gone:
            self.change_upstreams(dict(gone), self.upstreams.revision, source)

    def _trial_rank(self, record: UpstreamRecord) -> int:
        return self.membership.rank_for(f"trial {record.id}", record.availability_zone)

    def _learn(self, seen: Observation, observer: str, now_s: float) -> None:
        record = self.upstreams.records.get(seen.upstream_id)
        if record is None:
            return
        before = self.suspicion.standing(seen.upstream_id, now_s)
        usual_s = self.durations.mean_s(record.service)
        self.suspicion.observe(seen, observer, usual_s, now_s)
        if seen.outcome in _ANSWERED:
            self.load.answered(seen.upstream_id, now_s)
        if seen.outcome is Outcome.SUCCESS:
            self._measure(record, seen.duration_s, now_s)
        elif seen.outcome in _LOST_ANSWERS:
            self.placement.trials.failed(record.service, now_s)
        after = self.suspicion.standing(seen.upstream_id, now_s)
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
        under_way = self.load.in_flight(record.id, now_s) + 1
        waiting = max(under_way - record.slots, 0) / record.slots
        self.durations.observe(record.service, record.id, duration_s / (1.0 + waiting))

    def _upstreams_changed(self, before: dict[str, UpstreamRecord], source: str) -> None:
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
        self.load.keep_only(listed)
        self.suspicion.keep_only(listed)
        self._note_serving()
        self.on_upstreams(listed)
        self.on_news(True)

    def _note_serving(self) -> None:
        if self.config is not None and self.upstreams.revision > 0:
            self.serving.set()

    def _drop_old_news(self, now_s: float) -> None:
        while self._news and self._news[0][0] < now_s - _NEWS_S:
            self._news.popleft()
            self._first_news += 1
        while self._losses and self._losses[0][0] < now_s - _NEWS_S:
            self._losses.popleft()
        while self._dropped and self._dropped[0][0] < now_s - _DROPPED_S:
            self._dropped.popleft()
