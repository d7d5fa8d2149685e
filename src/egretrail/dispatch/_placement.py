"""Chooses the upstream of a request, or refuses it."""

import enum
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from egretrail.dispatch._durations import ServiceDurations
from egretrail.dispatch._limits import LimitPlace, UpstreamLimits
from egretrail.dispatch._load import FleetLoad
from egretrail.dispatch._suspicion import Standing, SuspicionBook
from egretrail.dispatch._trials import TrialPace
from egretrail.traffic import UpstreamRecord

#: What an upstream of another availability zone is charged, as a share of its slots. Bytes between
#: zones cost money and a millisecond; an upstream of the own zone with one free slot goes first.
_OTHER_ZONE_CHARGE = 0.7
#: Answers of so many bytes are charged as all slots taken besides, up to the largest charge: they
#: rather wait in their own zone, where that is in time, than cost bytes between zones.
_BYTES_PER_SLOTS = 50_000
_DISTANCE_CHARGE_MAX = 2.0
#: What an upstream is charged of which no slot is this instance's share, in any zone: two of three
#: slots. Less lets instances meet at slots that seemed free. It stays below the charges of weak
#: findings and of refusals, which would else lose against an own slot.
_OTHERS_SHARE_CHARGE = 0.7
#: What opening a connection is charged: enough to decide between upstreams of equal load.
_NEW_CONNECTION_CHARGE = 0.05
#: Upstreams slower than their service by this factor are charged for it; below it the difference
#: is within the spread of a few answers.
_SLOWNESS_FROM = 1.5
#: What each multiple of the usual duration is charged: an upstream three times as slow is used when
#: the others' slots are taken.
_SLOWNESS_CHARGE = 0.7
#: What an upstream is charged that lately refused a request: as much as all its slots taken.
_SHORT_OF_ROOM_CHARGE = 1.0
#: What an upstream is charged against which there are weak findings: three of four slots.
_DOUBTED_CHARGE = 0.75
#: Share of the slots taken from which an upstream has no room for second copies.
_TIGHT_LOAD = 0.9
#: What an upstream is charged to which this instance's path failed lately: more than any queue that
#: a request may wait in, so that it is used where nothing else is left. A link that loses packets
#: still carries some, and a connection that cannot be opened costs a third of a second.
_UNREACHED_CHARGE = 100.0
#: An upstream with requests that has answered none for more than this many usual durations is
#: charged for each further one, up to the largest charge. Of work that varies by seven tenths of
#: itself, one in ten takes so long where it is alone at its upstream.
_QUIET_FROM = 1.5
_QUIET_CHARGE = 0.5
_QUIET_CHARGE_MAX = 2.0
#: What an upstream is charged that was started lately and is still slow.
_WARMUP_CHARGE = 0.5
#: A request that has to wait is refused when its wait and this share of the usual duration exceed
#: its time: half of the work takes less than the mean. One that finds a free slot is never refused,
#: however short its time is.
_WORK_SHARE = 0.8
#: The same where the answer is to come before it loses worth: nine of ten requests take less than
#: this many means.
_OBJECTIVE_SHARE = 1.8
#: Retry-After is never shorter: within it the answer would be the same.
_RETRY_MIN_S = 0.1
_RETRY_MAX_S = 2.0


class RefusalReason(enum.Enum):
    """Why a request was not sent to any upstream."""

    #: The service has no listed upstream that takes work.
    NO_UPSTREAM = "no_upstream"
    #: Every upstream is suspected, paused or was tried already.
    ALL_SUSPECT = "all_suspect"
    #: The work in front of it would take longer than the time it has left.
    NO_TIME = "no_time"
    #: Every upstream has named a limit, of which this instance has no token left.
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """What is asked: the request's service, urgency and what was tried already."""

    #: The service that takes the request.
    service: str
    #: The time until nobody waits for the answer.
    left_s: float
    #: The time until the answer loses a part of its worth to the client.
    worth_s: float
    #: Whether the request may run more than once and has attempts left.
    repeatable: bool
    #: The shortest objective of the service's more urgent requests; None for the most urgent.
    urgent_objective_s: float | None = None
    #: The usual size of the answers of the request's route; 0 where none was seen.
    answer_bytes: float = 0.0
    #: Whether only room that nobody else needs is to be used, as for a second copy of a request.
    spare_only: bool = False
    #: Upstreams that are not to be chosen.
    excluded: Collection[str] = ()
    #: Upstreams to which this instance holds an open connection.
    connected: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream for the request, with what decided it."""

    #: The upstream.
    upstream: UpstreamRecord
    #: The fleet's requests under way there, without this one.
    in_flight: int
    #: Whether this request is the trial of a suspect.
    trial: bool
    #: How many upstreams were considered.
    considered: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """No upstream for the request, and when to come back."""

    #: Why.
    reason: RefusalReason
    #: When room is expected.
    retry_after_s: float
    #: How long the request would have waited for a slot.
    wait_s: float = 0.0


@dataclass(slots=True)
class Placement:
    """The rule of choice over the shared view of load, durations and doubts."""

    #: The availability zone of this instance.
    availability_zone: str
    #: Requests under way over the fleet.
    load: FleetLoad
    #: Usual durations.
    durations: ServiceDurations
    #: Doubts about upstreams.
    suspicion: SuspicionBook
    #: When upstreams that failed are tried again.
    trials: TrialPace
    #: Until when upstreams that have just started are slow.
    warm_from_s: dict[str, float] = field(default_factory=dict)
    #: The limits that upstreams have named.
    limits: UpstreamLimits = field(default_factory=lambda: UpstreamLimits(_sole_place))
    #: Whether a slot of an upstream is this instance's share.
    owns: Callable[[UpstreamRecord], bool] = lambda record: True
    #: Breaks ties, so that instances with equal views spread.
    rng: random.Random = field(default_factory=random.Random)

    def choose(
        self, query: PlacementQuery, ready: Sequence[UpstreamRecord], now_s: float
    ) -> Choice | Refusal:
        """Return the upstream for a request, or why there is none.

        Load: slots are few and work is long, so the cost of a wrong choice is a whole duration of
        waiting. A suspect whose pause has passed gets exactly one request, from an instance of its
        own zone where there is one: at the end of a pause the whole fleet would otherwise send to
        it at once, and each of those requests would fail.
        """
        candidates = [record for record in ready if record.id not in query.excluded]
        if not candidates:
            return Refusal(RefusalReason.NO_UPSTREAM, self.pause_s(query.service))
        within_limits = [
            one for one in candidates if self.limits.admits(one, now_s, spare_only=query.spare_only)
        ]
        if not within_limits:
            # Callers try a few times only, each time at another instance: not all at once.
            retry_after_s = max(
                self.limits.retry_after_s(candidates, now_s), self.pause_s(query.service)
            )
            return Refusal(RefusalReason.LIMITED, retry_after_s)
        suspects: list[UpstreamRecord] = []
        in_service: list[UpstreamRecord] = []
        best: UpstreamRecord | None = None
        best_charge = float("inf")
        free: UpstreamRecord | None = None
        free_charge = float("inf")
        for record in within_limits:
            standing = self.suspicion.standing(record.id, now_s)
            if standing in (Standing.SUSPECT, Standing.PROBATION):
                suspects.append(record)
                continue
            charge = self._charge(query, record, now_s)
            if standing is Standing.UNREACHED:
                charge += _UNREACHED_CHARGE
            else:
                in_service.append(record)
            if standing is Standing.DOUBTED:
                charge += _DOUBTED_CHARGE
            if charge < best_charge:
                best, best_charge = record, charge
            if charge < free_charge and self.load.in_flight(record.id, now_s) < record.slots:
                free, free_charge = record, charge
        if not query.spare_only:
            trial = self.trials.due(
                query.service, suspects, in_service, now_s, repeatable=query.repeatable
            )
            if trial is not None:
                return Choice(trial, 0, True, len(candidates))
        if best is None or (query.spare_only and best_charge >= _TIGHT_LOAD):
            return Refusal(RefusalReason.ALL_SUSPECT, self.pause_s(query.service))
        chosen = best
        refusal = self._too_late(query, best, now_s)
        if refusal is not None:
            # Not any other whose queue seems to end in time: that would be the one whose usual
            # duration is most underrated, and its queue would outgrow the others'.
            if free is None:
                return refusal
            chosen = free
        return Choice(chosen, self.load.in_flight(chosen.id, now_s), False, len(candidates))

    def _too_late(
        self, query: PlacementQuery, record: UpstreamRecord, now_s: float
    ) -> Refusal | None:
        """Return the refusal of a request for which an upstream's queue is too long, or None.

        Load: with more work than slots, queues as long as callers' patience fill up within
        seconds, and from then on every answer is late while no more of them are given. A queue
        that ends with the objective serves as many, in time, and its callers learn at once that
        they are not among them. A request that is late already may wait as long as it has.

        Load: two kinds of requests share an overloaded service, and the more urgent one has the
        shorter objective. The other one fills the queue up to its own objective, and the urgent
        one, for which that is too long, would be refused nearly always.
        """
        in_flight = self.load.in_flight(record.id, now_s)
        if in_flight < record.slots:
            return None
        mean_s = self.durations.upstream_mean_s(query.service, record.id)
        wait_s = (in_flight + 1 - record.slots) / record.slots * mean_s
        late = wait_s + mean_s * _OBJECTIVE_SHARE > query.worth_s > mean_s
        if query.urgent_objective_s is not None:
            # Nothing waits for longer than what is more urgent may.
            urgent_wait_s = query.urgent_objective_s - mean_s * _OBJECTIVE_SHARE
            late = late or wait_s > max(urgent_wait_s, 0.0)
        if late or wait_s + mean_s * _WORK_SHARE > query.left_s:
            return Refusal(RefusalReason.NO_TIME, _bounded(wait_s), wait_s)
        return None

    def _charge(self, query: PlacementQuery, record: UpstreamRecord, now_s: float) -> float:
        charge = self.load.in_flight(record.id, now_s) / record.slots
        if record.availability_zone != self.availability_zone:
            charge += self._distance_charge(query)
        else:
            charge += self._quiet_charge(record, now_s)
        if not query.spare_only and not self.owns(record):
            charge += _OTHERS_SHARE_CHARGE
        if record.id not in query.connected:
            charge += _NEW_CONNECTION_CHARGE
        if self.suspicion.short_of_room(record.id, now_s):
            charge += _SHORT_OF_ROOM_CHARGE
        if self.warm_from_s.get(record.id, 0.0) > now_s:
            charge += _WARMUP_CHARGE
        slowness = self.durations.slowness(query.service, record.id)
        if slowness > _SLOWNESS_FROM:
            charge += (slowness - 1.0) * _SLOWNESS_CHARGE
        return charge + self.rng.random() * 0.02

    def _quiet_charge(self, record: UpstreamRecord, now_s: float) -> float:
        """Return what an upstream of the own zone is charged that has stopped to answer.

        Load: a machine goes dark with many requests on their way and more sent each moment; each
        request alone is overdue only after four usual durations, the upstream as a whole is
        suspicious after two. Instances hear of all answers in their own zone only.
        """
        quiet_s = self.load.quiet_for_s(record.id, now_s)
        if quiet_s <= 0.0:
            return 0.0
        beyond = quiet_s / self.durations.mean_s(record.service) - _QUIET_FROM
        return min(max(beyond, 0.0) * _QUIET_CHARGE, _QUIET_CHARGE_MAX)

    def _distance_charge(self, query: PlacementQuery) -> float:
        """Return what an upstream of another zone is charged, by the bytes of the route's answers.

        Load: answers of one kind have a kilobyte, those of another a hundred. Bytes between zones
        cost money, a wait of some milliseconds in the own zone costs the caller nothing.
        """
        large = min(query.answer_bytes / _BYTES_PER_SLOTS, _DISTANCE_CHARGE_MAX)
        return _OTHER_ZONE_CHARGE + large

    def pause_s(self, service: str) -> float:
        """Return when to come back to a service whose upstreams had no room: one usual duration."""
        return _bounded(self.durations.mean_s(service))


def _sole_place(_: UpstreamRecord) -> LimitPlace:
    """Return the place of an instance that is alone."""
    return LimitPlace(True, 0, 1, 1, 1.0)


def _bounded(wait_s: float) -> float:
    return min(max(wait_s, _RETRY_MIN_S), _RETRY_MAX_S)
