"""Which instances serve which service."""

import bisect
import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.fleet._view import Member
from egretrail.identity import AvailabilityZone, InstanceName, rendezvous_order, rendezvous_score

#: Slots of a service for each member of its group. At 25 ms a request, 16 slots carry 640
#: requests a second, about what one instance's event loop passes on; fewer slots a member would
#: leave each with too few samples to see a failing upstream.
SLOTS_PER_MEMBER = 16
#: Demand that one member is given, well below what its event loop carries, so that the group
#: survives the loss of a zone.
DEMAND_PER_MEMBER = 200.0
#: One member for each of three availability zones: the loss of one leaves two.
SMALLEST_GROUP = 3
#: Each member keeps a connection or more to each upstream, which accepts about 400.
LARGEST_GROUP = 64
#: Members kept in reserve for each zone, so that a departure seldom needs a full choice.
_SPARE = 2
#: Changes kept for services that were not asked for meanwhile; beyond it they choose anew.
_LOG_LIMIT = 4096


def group_size(upstream_count: int, slots: int, setting: int = 0, demand_per_s: float = 0.0) -> int:
    """Return how many instances serve a service.

    Load: the service's slots and its measured demand. Too few members would be a bottleneck and
    could all be lost with one zone; too many see each upstream blindly, with few samples each and
    more connections than an upstream accepts.
    """
    if setting > 0:
        return setting
    for_slots = math.ceil(upstream_count * slots / SLOTS_PER_MEMBER)
    for_demand = math.ceil(demand_per_s / DEMAND_PER_MEMBER)
    return min(LARGEST_GROUP, max(SMALLEST_GROUP, for_slots, for_demand))


@dataclass(frozen=True, slots=True)
class _Change:
    #: The member that may be chosen from now on, or no longer.
    name: InstanceName
    zone: AvailabilityZone
    joined: bool


@dataclass(slots=True)
class _Choice:
    #: How much of the log this choice has taken in.
    position: int
    #: How many members of each zone are kept.
    depth: int
    #: The best members of each zone, as (negative score, name), best first.
    best: dict[AvailabilityZone, list[tuple[float, InstanceName]]]
    #: How many members each zone has in all; as many as ``best`` holds when none is left out.
    counts: dict[AvailabilityZone, int]
    #: Answers already given, dropped when a change touches ``best``.
    answers: dict[tuple[int, AvailabilityZone | None], Sequence[InstanceName]] = field(
        default_factory=dict
    )


class GroupIndex:
    """Rendezvous choices over the members, kept up to date change by change.

    The best member of each zone is taken in turn, the zones in an order of their own for each
    key: a member that comes or goes then moves only the keys that it wins or loses.

    Load: at 3,500 members a choice from scratch scores each of them, and members change more than
    once a second. A choice is brought up to date only when it is asked for, with one score for
    each member that joined since; only the loss of more members than the spare ones of a zone
    needs the whole again.
    """

    def __init__(self, choices_limit: int = 8192) -> None:
        self._members: dict[InstanceName, AvailabilityZone] = {}
        self._zones: dict[AvailabilityZone, set[InstanceName]] = {}
        self._log: list[_Change] = []
        self._dropped = 0
        self._choices: dict[str, _Choice] = {}
        self._choices_limit = choices_limit

    def update(self, eligible: Sequence[Member]) -> None:
        """Take in which members may be chosen now."""
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
            self._dropped += surplus

    def choose(
        self, key: str, size: int, last_zone: AvailabilityZone | None = None
    ) -> Sequence[InstanceName]:
        """Return the members for a key, most preferred first, ``last_zone``'s after all others."""
        if not self._zones or size <= 0:
            return []
        choice = self._current(key, self._depth(size, last_zone))
        answer = choice.answers.get((size, last_zone))
        if answer is None:
            answer = self._answer(choice, key, size, last_zone)
            choice.answers[(size, last_zone)] = answer
        return answer

    def _depth(self, size: int, last_zone: AvailabilityZone | None) -> int:
        """Return how many members of one zone a choice may need; zones may be uneven."""
        counts = [len(names) for zone, names in self._zones.items() if zone != last_zone]
        depth = 1
        while depth < size and sum(min(depth, count) for count in counts) < size:
            depth += 1
        return depth

    def _answer(
        self, choice: _Choice, key: str, size: int, last_zone: AvailabilityZone | None
    ) -> Sequence[InstanceName]:
        order = [AvailabilityZone(zone) for zone in rendezvous_order(f"zone/{key}", self._zones)]
        first = [choice.best[zone] for zone in order if zone != last_zone]
        chosen = _in_turn(first, size)
        if last_zone is not None and last_zone in self._zones:
            chosen += [name for _, name in choice.best[last_zone]][: size - len(chosen)]
        return chosen

    def _current(self, key: str, depth: int) -> _Choice:
        choice = self._choices.get(key)
        if choice is None or choice.depth < depth or choice.position < self._dropped:
            return self._choose_anew(key, depth)
        for change in self._log[choice.position - self._dropped :]:
            _apply(choice, key, change)
        choice.position = self._dropped + len(self._log)
        for zone, names in self._zones.items():
            if len(choice.best.get(zone, ())) < min(depth, len(names)):
                return self._choose_anew(key, depth)
        return choice

    def _choose_anew(self, key: str, depth: int) -> _Choice:
        best = {}
        for zone, names in self._zones.items():
            scored = sorted((-rendezvous_score(key, name), name) for name in names)
            best[zone] = scored[: depth + _SPARE]
        counts = {zone: len(names) for zone, names in self._zones.items()}
        choice = _Choice(self._dropped + len(self._log), depth, best, counts)
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
            choice.answers.clear()
        return
    entry = (-rendezvous_score(key, change.name), change.name)
    if len(best) == count or (best and entry < best[-1]):
        bisect.insort(best, entry)
        del best[choice.depth + _SPARE :]
        choice.answers.clear()


def _in_turn(
    zones: Sequence[Sequence[tuple[float, InstanceName]]], size: int
) -> list[InstanceName]:
    chosen: list[InstanceName] = []
    rank = 0
    while len(chosen) < size and any(rank < len(zone) for zone in zones):
        chosen += [zone[rank][1] for zone in zones if rank < len(zone)]
        rank += 1
    return chosen[:size]
