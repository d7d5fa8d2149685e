"""Selection of the group of instances that serves each service."""

import bisect
import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.fleet._view import Member
from egretrail.identity import AvailabilityZone, InstanceName, rendezvous_order, rendezvous_score

#: Slots of a service for each member of its group. At 25 ms per request, 16 slots carry 640
#: requests/s, about what the event loop of one instance can forward. With fewer slots, a member
#: would have too few samples to detect a failing upstream.
SLOTS_PER_MEMBER = 16
#: Demand assigned to one member, in requests/s: well below the capacity of its event loop, so that
#: the group survives the loss of an availability zone.
DEMAND_PER_MEMBER = 200.0
#: One member in each of three availability zones: the loss of one leaves two.
MIN_GROUP_SIZE = 3
#: Each member keeps at least one connection to each upstream; an upstream accepts about 400.
MAX_GROUP_SIZE = 64
#: Extra members kept for each zone, so that a departure rarely needs a full recomputation.
_SPARE_MEMBERS = 2
#: Maximum length of the change log; a choice older than the log is recomputed.
_LOG_LIMIT = 4096


def group_size(upstream_count: int, slots: int, setting: int = 0, demand_per_s: float = 0.0) -> int:
    """Return how many instances serve a service.

    The size follows from the slots of the service and its measured demand, unless ``setting`` fixes
    it. Too few members would be a bottleneck and could all be lost with one zone. With too many,
    each has few samples of each upstream, and an upstream gets more connections than it accepts.
    """
    if setting > 0:
        return setting
    for_slots = math.ceil(upstream_count * slots / SLOTS_PER_MEMBER)
    for_demand = math.ceil(demand_per_s / DEMAND_PER_MEMBER)
    return min(MAX_GROUP_SIZE, max(MIN_GROUP_SIZE, for_slots, for_demand))


@dataclass(frozen=True, slots=True)
class _Change:
    #: The member that becomes eligible or ceases to be.
    name: InstanceName
    zone: AvailabilityZone
    joined: bool


@dataclass(slots=True)
class _Choice:
    #: Number of changes applied to this choice, counted from the start of the log.
    position: int
    #: Number of members of each zone that a selection needs; spare ones are kept beyond it.
    depth: int
    #: The best members of each zone, as (negative score, name), best first.
    best: dict[AvailabilityZone, list[tuple[float, InstanceName]]]
    #: Total number of members of each zone; equal to the length of ``best`` if none is left out.
    counts: dict[AvailabilityZone, int]
    #: Cached selections, cleared when a change affects ``best``.
    results: dict[tuple[int, AvailabilityZone | None], Sequence[InstanceName]] = field(
        default_factory=dict
    )


class GroupIndex:
    """Rendezvous hashing over the members, updated incrementally.

    The zones are visited in rotation, in an order that depends on the key, and each contributes its
    best member not yet chosen. A member that joins or leaves moves only the keys that it wins or
    loses.

    At 3,500 members a computation from scratch scores each of them, and members change more than
    once a second. A choice is therefore updated only on request, with one score for each member
    that joined since. Only the loss of more members than the spare ones of a zone requires a full
    recomputation.
    """

    def __init__(self, choices_limit: int = 8192) -> None:
        self._members: dict[InstanceName, AvailabilityZone] = {}
        self._zones: dict[AvailabilityZone, set[InstanceName]] = {}
        self._log: list[_Change] = []
        self._log_offset = 0
        self._choices: dict[str, _Choice] = {}
        self._choices_limit = choices_limit

    def update(self, eligible: Sequence[Member]) -> None:
        """Replace the set of eligible members."""
        current = {member.name: member.availability_zone for member in eligible}
        for name, zone in list(self._members.items()):
            if current.get(name) != zone:
                self._leave(name, zone)
        for name, zone in current.items():
            if name not in self._members:
                self._join(name, zone)
        if len(self._log) > _LOG_LIMIT:
            surplus = len(self._log) - _LOG_LIMIT // 2
            del self._log[:surplus]
            self._log_offset += surplus

    def choose(
        self, key: str, size: int, last_zone: AvailabilityZone | None = None
    ) -> Sequence[InstanceName]:
        """Return the members for a key, most preferred first; those of ``last_zone`` come last."""
        if not self._zones or size <= 0:
            return []
        choice = self._up_to_date_choice(key, self._depth(size, last_zone))
        selection = choice.results.get((size, last_zone))
        if selection is None:
            selection = self._select(choice, key, size, last_zone)
            choice.results[(size, last_zone)] = selection
        return selection

    def _depth(self, size: int, last_zone: AvailabilityZone | None) -> int:
        """Return how many members of one zone a choice may need; zones may differ in size."""
        counts = [len(names) for zone, names in self._zones.items() if zone != last_zone]
        depth = 1
        while depth < size and sum(min(depth, count) for count in counts) < size:
            depth += 1
        return depth

    def _select(
        self, choice: _Choice, key: str, size: int, last_zone: AvailabilityZone | None
    ) -> Sequence[InstanceName]:
        order = [AvailabilityZone(zone) for zone in rendezvous_order(f"zone/{key}", self._zones)]
        first = [choice.best[zone] for zone in order if zone != last_zone]
        chosen = _interleave(first, size)
        if last_zone is not None and last_zone in self._zones:
            chosen += [name for _, name in choice.best[last_zone]][: size - len(chosen)]
        return chosen

    def _up_to_date_choice(self, key: str, depth: int) -> _Choice:
        choice = self._choices.get(key)
        if choice is None or choice.depth < depth or choice.position < self._log_offset:
            return self._recompute(key, depth)
        for change in self._log[choice.position - self._log_offset :]:
            _apply(choice, key, change)
        choice.position = self._log_offset + len(self._log)
        for zone, names in self._zones.items():
            if len(choice.best.get(zone, ())) < min(depth, len(names)):
                return self._recompute(key, depth)
        return choice

    def _recompute(self, key: str, depth: int) -> _Choice:
        best = {}
        for zone, names in self._zones.items():
            scored = sorted((-rendezvous_score(key, name), name) for name in names)
            best[zone] = scored[: depth + _SPARE_MEMBERS]
        counts = {zone: len(names) for zone, names in self._zones.items()}
        choice = _Choice(self._log_offset + len(self._log), depth, best, counts)
        self._choices.pop(key, None)
        if len(self._choices) >= self._choices_limit:
            del self._choices[next(iter(self._choices))]
        self._choices[key] = choice
        return choice

    def _join(self, name: InstanceName, zone: AvailabilityZone) -> None:
        self._members[name] = zone
        self._zones.setdefault(zone, set()).add(name)
        self._log.append(_Change(name, zone, True))

    def _leave(self, name: InstanceName, zone: AvailabilityZone) -> None:
        del self._members[name]
        self._zones[zone].discard(name)
        if not self._zones[zone]:
            del self._zones[zone]
        self._log.append(_Change(name, zone, False))


def _apply(choice: _Choice, key: str, change: _Change) -> None:
    best = choice.best.setdefault(change.zone, [])
    count = choice.counts.get(change.zone, 0)
    choice.counts[change.zone] = count + (1 if change.joined else -1)
    if not change.joined:
        kept = [entry for entry in best if entry[1] != change.name]
        if len(kept) < len(best):
            choice.best[change.zone] = kept
            choice.results.clear()
        return
    entry = (-rendezvous_score(key, change.name), change.name)
    if len(best) == count or (best and entry < best[-1]):
        bisect.insort(best, entry)
        del best[choice.depth + _SPARE_MEMBERS :]
        choice.results.clear()


def _interleave(
    zones: Sequence[Sequence[tuple[float, InstanceName]]], size: int
) -> list[InstanceName]:
    chosen: list[InstanceName] = []
    rank = 0
    while len(chosen) < size and any(rank < len(zone) for zone in zones):
        chosen += [zone[rank][1] for zone in zones if rank < len(zone)]
        rank += 1
    return chosen[:size]
