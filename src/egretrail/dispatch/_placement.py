"""Chooses the upstream of a request, or refuses the request."""

import enum
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from egretrail.balancing import ZoneBalancer
from egretrail.dispatch._backoff import BackoffTable
from egretrail.dispatch._durations import ServiceDurations
from egretrail.dispatch._limits import AdvertisedLimits, LimitPosition
from egretrail.dispatch._load import FleetLoad
from egretrail.dispatch._suspicion import SuspicionTable, UpstreamHealth
from egretrail.dispatch._trials import TrialScheduler
from egretrail.dispatch._urgent_reserve import UrgentReserve
from egretrail.traffic import UpstreamRecord

#: Cost of an upstream in another availability zone, as a share of its slots. Cross-zone traffic
#: costs money and a millisecond; an upstream in the own zone with one free slot is preferred.
_CROSS_ZONE_COST = 0.7
#: Response size that costs, cross-zone, as much as an upstream with all slots taken, and the
#: maximum of this cost. Requests with large responses wait in their own zone, if they meet their
#: objective there, rather than cause cross-zone traffic.
_BYTES_PER_COST_UNIT = 50_000
_BYTES_COST_MAX = 2.0
#: Requests with larger responses are not sent to other zones to even out the waits.
_BALANCED_BYTES_MAX = 25_000
#: Cost of an upstream of which this instance has no slot share, in any zone: two of three slots.
#: With less, instances choose the same slots that seemed free. The value stays below the costs of
#: weak suspicion and of shedding, which would otherwise be outweighed by an own slot.
_NO_SLOT_SHARE_COST = 0.7
#: Costs of all slots taken by requests of this instance, and by those of others, where zones are
#: balanced. Reports are 0.1 to 0.3 s old, and two in five of the requests in them have ended since.
#: With equal costs, instances left free slots of their own for slots that only seemed free
#: (docs/design/balancing.md).
_OWN_LOAD_COST = 0.7
_REPORTED_LOAD_COST = 0.42
#: Cost of opening a connection: enough to decide between upstreams of equal load.
_NEW_CONNECTION_COST = 0.05
#: Upstreams that are slower than their service by this factor have an extra cost; smaller
#: differences are within the variance of a few responses.
_SLOWNESS_THRESHOLD = 1.5
#: Cost of each multiple of the typical duration: an upstream three times as slow is used when the
#: slots of the other upstreams are taken.
_SLOWNESS_COST = 0.7
#: Cost of an upstream that recently refused a request: as much as all its slots taken.
_SHEDDING_COST = 1.0
#: Cost of an upstream with weak evidence against it: three of four slots.
_WEAK_SUSPICION_COST = 0.75
#: Cost from which on an upstream gets no hedged requests: nine of ten slots taken.
_SPARE_COST_MAX = 0.9
#: Cost of an upstream to which this instance's network path failed recently: more than any queue
#: that a request may wait in, so that it is used only as a last resort. A link that loses packets
#: still delivers some requests, and a connection that cannot be opened costs a third of a second.
_UNREACHABLE_COST = 100.0
#: An upstream with requests in flight that has given no response for more than this many typical
#: durations gets the cost for each further duration, up to the maximum. With durations that vary by
#: seven tenths of the mean, one request in ten takes that long if it is alone at its upstream.
_UNRESPONSIVE_THRESHOLD = 1.5
_UNRESPONSIVE_COST = 0.5
_UNRESPONSIVE_COST_MAX = 2.0
#: Cost of an upstream that started recently and is still slow.
_WARMUP_COST = 0.5
#: A request that has to wait is refused if its wait and this share of the typical duration exceed
#: its remaining time: half of the requests take less than the mean. A request that finds a free
#: slot is never refused, however little time remains.
_DEADLINE_DURATION_FACTOR = 0.8
#: The same factor for the latency objective: nine of ten requests take less than this many means.
_OBJECTIVE_DURATION_FACTOR = 1.8
#: Cost of a reserved upstream whose queue is as long as urgent requests may wait: more than any
#: other queue, less than a network path that failed.
_RESERVED_COST = 10.0
#: Bounds of Retry-After: a client that comes back sooner would get the same response.
_RETRY_MIN_S = 0.1
_RETRY_MAX_S = 2.0


class RefusalReason(enum.Enum):
    """Why a request was not sent to any upstream."""

    #: The service has no listed upstream that accepts work, or all of them are excluded.
    NO_UPSTREAM = "no_upstream"
    #: Every upstream is suspected, paused or was already tried.
    ALL_SUSPECT = "all_suspect"
    #: The queue is longer than the time that the request has left.
    NO_TIME = "no_time"
    #: Every upstream advertised a limit, of which this instance has no token left.
    LIMITED = "limited"
    #: Every upstream has asked this instance to back off.
    BACKING_OFF = "backing_off"
    #: Neither this instance nor any that it reaches can connect to upstreams.
    ISOLATED = "isolated"


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """The request to place: its service, its time limits and the upstreams to avoid."""

    #: The service to which the request is routed.
    service: str
    #: Time until the client stops waiting for the response.
    remaining_s: float
    #: Time until the response misses the latency objective of its route.
    objective_remaining_s: float
    #: Whether the request may run more than once and has attempts left.
    is_retryable: bool
    #: Shortest objective of the service's more urgent requests; None if there are none.
    urgent_objective_s: float | None = None
    #: Typical size of the responses of the request's route; 0 if unknown.
    response_bytes: float = 0.0
    #: Whether to use only capacity that no other request needs, as for a hedged request.
    spare_only: bool = False
    #: Upstreams that must not be chosen.
    excluded: Collection[str] = ()
    #: Upstreams to which this instance has an open connection.
    connected: Collection[str] = ()
    #: Share of the service's slots that more urgent requests need; 1 if it is unknown.
    urgent_slot_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream for a request, and the figures behind the choice."""

    #: The upstream.
    upstream: UpstreamRecord
    #: Requests that the fleet has in flight at the upstream, without this one.
    in_flight: int
    #: Whether this request is the trial of a suspected upstream.
    is_trial: bool
    #: Number of upstreams considered.
    candidate_count: int
    #: Whether this instance's own network path to the upstream failed recently.
    is_last_resort: bool = False


@dataclass(frozen=True, slots=True)
class Refusal:
    """No upstream for the request, and when to retry."""

    #: The reason.
    reason: RefusalReason
    #: When capacity is expected.
    retry_after_s: float
    #: How long the request would have waited for a slot.
    wait_s: float = 0.0


@dataclass(slots=True)
class Placement:
    """Placement of requests, from the shared view of load, durations and suspicions."""

    #: The availability zone of this instance.
    availability_zone: str
    #: Requests in flight over the fleet.
    load: FleetLoad
    #: Typical durations.
    durations: ServiceDurations
    #: Suspicions about upstreams.
    suspicion: SuspicionTable
    #: When failed upstreams are tried again.
    trials: TrialScheduler
    #: Until when upstreams that have just started are slow.
    warmup_until_s: dict[str, float] = field(default_factory=dict)
    #: The limits that upstreams advertised.
    limits: AdvertisedLimits = field(default_factory=lambda: AdvertisedLimits(_sole_position))
    #: Upstreams that asked this instance to back off.
    backoffs: BackoffTable = field(default_factory=BackoffTable)
    #: Whether a slot of an upstream is this instance's share.
    has_slot_share: Callable[[UpstreamRecord], bool] = lambda record: True
    #: The upstreams that are kept free for more urgent requests.
    reserve: UrgentReserve = field(default_factory=UrgentReserve)
    #: Chooses the zone of each request; None for the own zone.
    zone_balancer: ZoneBalancer | None = None
    #: Breaks ties, so that instances with equal views choose different upstreams.
    rng: random.Random = field(default_factory=random.Random)

    def choose(
        self, query: PlacementQuery, ready: Sequence[UpstreamRecord], now_s: float
    ) -> Choice | Refusal:
        """Return the upstream for a request, or why there is none.

        Upstreams have few slots and requests take long, so a wrong choice costs a whole duration of
        waiting. A suspect whose pause has passed gets exactly one request, from an instance of its
        own zone if there is one. Otherwise the whole fleet would send to the suspect at the end of
        its pause, and each of those requests would fail.

        An upstream that asked this instance to back off gets no request of any kind. If all of them
        did, the request is refused at once rather than held: the client's retry is likely to reach
        an instance that may send it.
        """
        accepting = self.backoffs.accepting(ready, now_s)
        if ready and not accepting:
            return Refusal(
                RefusalReason.BACKING_OFF, self.retry_after_s(query.service, ready, now_s)
            )
        candidates = [record for record in accepting if record.id not in query.excluded]
        if not candidates:
            return Refusal(
                RefusalReason.NO_UPSTREAM, self.retry_after_s(query.service, ready, now_s)
            )
        within_limits = [
            record
            for record in candidates
            if self.limits.admits(record, now_s, spare_only=query.spare_only)
        ]
        if not within_limits:
            # Clients retry a few times only, each time at another instance: spread them over time.
            retry_after_s = max(
                self.limits.retry_after_s(candidates, now_s),
                self.retry_after_s(query.service, ready, now_s),
            )
            return Refusal(RefusalReason.LIMITED, retry_after_s)
        home = self.availability_zone
        is_large = query.response_bytes > _BALANCED_BYTES_MAX
        if self.zone_balancer is not None and not query.spare_only and not is_large:
            home = self.zone_balancer.choose_zone(query.service, ready, now_s)
        reserved: Collection[str] | None = None
        if query.urgent_objective_s is not None:
            reserved = self.reserve.reserved(query.service, ready, query.urgent_slot_share)
        suspects: list[UpstreamRecord] = []
        in_service: list[UpstreamRecord] = []
        best: UpstreamRecord | None = None
        best_cost = float("inf")
        free: UpstreamRecord | None = None
        free_cost = float("inf")
        for record in within_limits:
            health = self.suspicion.health(record.id, now_s)
            if health in (UpstreamHealth.SUSPECT, UpstreamHealth.PROBATION):
                suspects.append(record)
                continue
            cost = self._cost(query, record, home, now_s)
            if health is UpstreamHealth.UNREACHABLE_FROM_HERE:
                cost += _UNREACHABLE_COST
            else:
                in_service.append(record)
            if health is UpstreamHealth.WEAKLY_SUSPECT:
                cost += _WEAK_SUSPICION_COST
            if self._delays_urgent(query, record, reserved, now_s):
                cost += _RESERVED_COST
            if cost < best_cost:
                best, best_cost = record, cost
            is_reachable = health is not UpstreamHealth.UNREACHABLE_FROM_HERE
            if (
                cost < free_cost
                and is_reachable
                and self.load.in_flight(record.id, now_s) < record.slots
            ):
                free, free_cost = record, cost
        if not query.spare_only:
            trial = self.trials.find_due(
                query.service, suspects, in_service, now_s, is_retryable=query.is_retryable
            )
            if trial is not None:
                return Choice(trial, 0, True, len(candidates))
        if best is None or (query.spare_only and best_cost >= _SPARE_COST_MAX):
            return Refusal(
                RefusalReason.ALL_SUSPECT, self.retry_after_s(query.service, ready, now_s)
            )
        chosen = best
        refusal = self._late_refusal(query, best, reserved, now_s)
        if refusal is not None:
            # Do not choose another upstream whose queue seems to end in time. That would be the one
            # whose typical duration is underestimated most, and its queue would outgrow the others.
            if free is None:
                return refusal
            chosen = free
        return Choice(
            chosen,
            self.load.in_flight(chosen.id, now_s),
            False,
            len(candidates),
            is_last_resort=self.suspicion.health(chosen.id, now_s)
            is UpstreamHealth.UNREACHABLE_FROM_HERE,
        )

    def _late_refusal(
        self,
        query: PlacementQuery,
        record: UpstreamRecord,
        reserved: Collection[str] | None,
        now_s: float,
    ) -> Refusal | None:
        """Return the refusal of a request that an upstream's queue would make late, or None.

        With more requests than slots, queues up to the clients' time limits fill up within seconds.
        From then on every response is late, and the throughput is no higher. A queue bounded by the
        latency objective serves as many requests, in time, and refuses the others at once. A
        request that has already missed its objective may wait until its deadline.

        If two kinds of requests share an overloaded service, the more urgent one has the shorter
        objective. The less urgent requests would fill the queue up to their own objective. That
        queue is too long for the urgent requests, nearly all of which would be refused. So less
        urgent requests do not wait where urgent ones need the place (``_delays_urgent``).
        """
        in_flight = self.load.in_flight(record.id, now_s)
        if in_flight < record.slots:
            return None
        mean_s = self.durations.upstream_mean_s(query.service, record.id)
        wait_s = (in_flight + 1 - record.slots) / record.slots * mean_s
        is_late = (
            wait_s + mean_s * _OBJECTIVE_DURATION_FACTOR > query.objective_remaining_s > mean_s
        )
        is_late = is_late or self._delays_urgent(query, record, reserved, now_s)
        if is_late or wait_s + mean_s * _DEADLINE_DURATION_FACTOR > query.remaining_s:
            return Refusal(RefusalReason.NO_TIME, _clamp_retry_after(wait_s), wait_s)
        return None

    def _delays_urgent(
        self,
        query: PlacementQuery,
        record: UpstreamRecord,
        reserved: Collection[str] | None,
        now_s: float,
    ) -> bool:
        """Return whether a request would wait where more urgent ones need its place.

        Where these need most of the slots, it may wait for as long as they may. Else a part of the
        upstreams is reserved for them, and it may wait at all others.
        """
        if query.urgent_objective_s is None:
            return False
        in_flight = self.load.in_flight(record.id, now_s)
        if in_flight < record.slots:
            return False
        if reserved is not None:
            # At reserved upstreams, less urgent requests take free slots and never wait.
            return record.id in reserved
        mean_s = self.durations.upstream_mean_s(query.service, record.id)
        wait_s = (in_flight + 1 - record.slots) / record.slots * mean_s
        urgent_wait_s = query.urgent_objective_s - mean_s * _OBJECTIVE_DURATION_FACTOR
        return wait_s > max(urgent_wait_s, 0.0)

    def _cost(
        self, query: PlacementQuery, record: UpstreamRecord, home: str, now_s: float
    ) -> float:
        load: float = self.load.in_flight(record.id, now_s)
        if self.zone_balancer is not None and not query.spare_only:
            own = self.load.own_in_flight(record.id)
            load = _OWN_LOAD_COST * own + _REPORTED_LOAD_COST * (load - own)
        cost = load / record.slots
        if record.availability_zone != home:
            cost += self._cross_zone_cost(query)
        if record.availability_zone == self.availability_zone:
            cost += self._unresponsive_cost(record, now_s)
        if not query.spare_only and not self.has_slot_share(record):
            cost += _NO_SLOT_SHARE_COST
        if record.id not in query.connected:
            cost += _NEW_CONNECTION_COST
        if self.suspicion.is_shedding(record.id, now_s):
            cost += _SHEDDING_COST
        if self.warmup_until_s.get(record.id, 0.0) > now_s:
            cost += _WARMUP_COST
        slowness = self.durations.slowness(query.service, record.id)
        if slowness > _SLOWNESS_THRESHOLD:
            cost += (slowness - 1.0) * _SLOWNESS_COST
        return cost + self.rng.random() * 0.02

    def _unresponsive_cost(self, record: UpstreamRecord, now_s: float) -> float:
        """Return the cost of an upstream of the own zone that has stopped responding.

        A failed machine has many requests in flight and gets more each moment. A single request is
        overdue only after four typical durations, but the upstream as a whole is suspicious after
        two. The cost applies within the own zone because instances learn of all responses only
        there.
        """
        unresponsive_s = self.load.unresponsive_for_s(record.id, now_s)
        if unresponsive_s <= 0.0:
            return 0.0
        excess = unresponsive_s / self.durations.mean_s(record.service) - _UNRESPONSIVE_THRESHOLD
        return min(max(excess, 0.0) * _UNRESPONSIVE_COST, _UNRESPONSIVE_COST_MAX)

    def _cross_zone_cost(self, query: PlacementQuery) -> float:
        """Return the cost of an upstream of another zone, by the response size of the route.

        Responses range from a kilobyte to a hundred kilobytes by kind. Cross-zone traffic costs
        money, and a wait of some milliseconds in the own zone costs the client nothing.
        """
        bytes_cost = min(query.response_bytes / _BYTES_PER_COST_UNIT, _BYTES_COST_MAX)
        return _CROSS_ZONE_COST + bytes_cost

    def retry_after_s(self, service: str, ready: Sequence[UpstreamRecord], now_s: float) -> float:
        """Return when to retry at a service that does not take a request now.

        This is one typical duration, but no sooner than the first upstream takes requests again.
        """
        first_end_s = self.backoffs.shortest_remaining_s(ready, now_s)
        return max(_clamp_retry_after(self.durations.mean_s(service)), first_end_s)


def _sole_position(_: UpstreamRecord) -> LimitPosition:
    """Return the position of an instance that is alone."""
    return LimitPosition(True, 0, 1, 1, 1.0)


def _clamp_retry_after(wait_s: float) -> float:
    return min(max(wait_s, _RETRY_MIN_S), _RETRY_MAX_S)
