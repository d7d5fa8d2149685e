"""Which upstreams are kept out of service because they failed real work.

Load: at any time a part of a service's upstreams fails most of its work for several seconds while
health checks pass. One instance sends a given upstream a request every few seconds, far too few
to learn alone; the fleet's observations together show a failing upstream with its first failures.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from egretrail.dispatch._observation import Observation, Outcome
from egretrail.dispatch._paths import FIRST_PATH_PAUSE_S, PathBook

#: A failure within this share of the usual duration shows an upstream that does not work at all.
#: A failure that took as long as work is one of those that a sound upstream has now and then.
_QUICK_SHARE = 0.3
#: Findings that say little alone count from two on within the window: later ones are unrelated.
_WEAK_QUORUM = 2
_WEAK_WINDOW_S = 3.0
#: Time before the first trial after a failure, its growth with each failed trial, and its end.
#: Failing spells last several seconds and up to half a minute: an early trial fails nearly always,
#: and each failed trial is a caller's request.
FIRST_PAUSE_S = 5.0
_PAUSE_GROWTH = 1.2
_PAUSE_MAX_S = 8.0
#: How long weak findings put an upstream behind the others.
_WEAK_DOUBT_S = 2.5
#: Work that was sent so soon after a doubt began may have started before it: observations of other
#: zones come up to a fifth of a second late.
_CLEAR_MARGIN_S = 0.25
#: Successes in a row, one request at a time, before a suspect is in full service again: an upstream
#: that fails half of its work passes one trial every other time.
_PROBATION_SUCCESSES = 2
#: How long an upstream counts as short of room after it refused a request. A full one has room
#: again when one of its requests ends; one that refuses without need reaches the longest time in
#: four steps.
_SHED_FIRST_S = 0.25
_SHED_GROWTH = 2.0
_SHED_MAX_S = 2.0


class Standing(enum.Enum):
    """How an upstream may be used now."""

    #: As its load allows.
    GOOD = "good"
    #: After the others: findings against it may be chance, or an overload that all share.
    DOUBTED = "doubted"
    #: Only where nothing else is left: this instance's own path to it failed lately.
    UNREACHED = "unreached"
    #: It passed a trial: one request at a time, by few instances.
    PROBATION = "probation"
    #: Not at all before its pause has passed.
    SUSPECT = "suspect"


@dataclass(slots=True)
class _Doubt:
    """What is held against one upstream that is not in full service."""

    #: When the doubt began or was last confirmed; only work that started later can clear it.
    since_s: float
    #: The time from then to the next request that it may get.
    pause_s: float
    #: Whether the findings are weak; such a doubt ends by itself.
    weak: bool = False
    #: Whether several instances could not reach it, in place of a failure of its work.
    unreachable: bool = False
    #: Successes since the last failure.
    successes: int = 0
    #: When the last of them was seen.
    success_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DoubtRecord:
    """A doubt as one instance tells it to another that has just started."""

    #: The upstream.
    upstream_id: str
    #: How long ago the doubt began or was last confirmed.
    age_s: float
    #: The time from then to the next request that it may get.
    pause_s: float
    #: Successes since.
    successes: int


class SuspicionBook:
    """The doubts about upstreams, equal on all instances that hear the same observations."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._doubts: dict[str, _Doubt] = {}
        #: Findings that say little alone: who made them, and when.
        self._weak: dict[str, list[tuple[str, float]]] = {}
        #: Until when upstreams are short of room, and for how long at a time.
        self._short_of_room: dict[str, tuple[float, float]] = {}
        self._paths = PathBook(own_name)

    def observe(self, seen: Observation, observer: str, usual_s: float, now_s: float) -> None:
        """Take an outcome that an instance observed just now; ``usual_s`` is work's duration."""
        match seen.outcome:
            case Outcome.SUCCESS:
                self._succeeded(seen.upstream_id, observer, now_s - seen.duration_s, now_s)
            case Outcome.SHED:
                self._shed(seen.upstream_id, now_s)
            case Outcome.FAILED | Outcome.BROKEN:
                quick = seen.duration_s < usual_s * _QUICK_SHARE
                self._failed(seen, observer, quick, now_s)
            case Outcome.OVERDUE:
                self._failed(seen, observer, False, now_s)
            case Outcome.UNREACHABLE | Outcome.SILENT:
                if self._paths.failed(seen.upstream_id, observer, now_s):
                    self._unreachable(seen, now_s)

    def standing(self, upstream_id: str, now_s: float) -> Standing:
        """Return how this instance may use an upstream."""
        doubt = self._doubts.get(upstream_id)
        if doubt is not None and not doubt.weak:
            return Standing.PROBATION if doubt.successes else Standing.SUSPECT
        if self._paths.paused(upstream_id, now_s):
            return Standing.UNREACHED
        if doubt is None or now_s - doubt.since_s > _WEAK_DOUBT_S:
            return Standing.GOOD
        return Standing.DOUBTED

    def is_clear(self, upstream_id: str) -> bool:
        """Return whether nothing is held against an upstream, so that a success says nothing."""
        held = upstream_id in self._doubts or upstream_id in self._weak
        return not held and not self._paths.holds(upstream_id)

    def short_of_room(self, upstream_id: str, now_s: float) -> bool:
        """Return whether an upstream lately refused a request without running it.

        Load: all upstreams of a service refuse at once in an overload. A refusal therefore takes
        nothing out of service, it only puts others first, so that the service as a whole is used
        to its end.
        """
        until_s, _ = self._short_of_room.get(upstream_id, (0.0, 0.0))
        return until_s > now_s

    def overdue_s(self, upstream_id: str, now_s: float, haste: float = 1.0) -> float:
        """Return for how long a suspect's next request has been due; negative before.

        ``haste`` below 1 shortens the pause.
        """
        if self._paths.paused(upstream_id, now_s):
            return float("-inf")
        doubt = self._doubts.get(upstream_id)
        if doubt is None:
            return 0.0
        if doubt.successes:
            return now_s - doubt.success_s
        return now_s - doubt.since_s - doubt.pause_s * haste

    def records(self, now_s: float) -> list[DoubtRecord]:
        """Return all doubts, for an instance that has just started.

        Without them a restarted instance sends its first requests to upstreams that the fleet knows
        to fail: after many restarts at once, one failed request for each of them and instance.
        """
        return [
            DoubtRecord(upstream_id, now_s - doubt.since_s, doubt.pause_s, doubt.successes)
            for upstream_id, doubt in self._doubts.items()
            if not doubt.weak
        ]

    def adopt(self, records: Iterable[DoubtRecord], now_s: float) -> None:
        """Take another instance's doubts about upstreams that none is held against here."""
        for record in records:
            since_s = now_s - record.age_s
            doubt = _Doubt(since_s, record.pause_s, successes=record.successes, success_s=now_s)
            self._doubts.setdefault(record.upstream_id, doubt)

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Forget upstreams that are no longer listed."""
        listed = set(upstream_ids)
        tables = (self._doubts, self._weak, self._short_of_room)
        for table in tables:
            for upstream_id in table.keys() - listed:
                table.pop(upstream_id)
        self._paths.keep_only(listed)

    def _succeeded(self, upstream_id: str, observer: str, started_s: float, now_s: float) -> None:
        self._paths.answered(upstream_id, observer)
        doubt = self._doubts.get(upstream_id)
        if doubt is None or started_s < doubt.since_s + _CLEAR_MARGIN_S:
            return
        doubt.successes += 1
        doubt.success_s = now_s
        if doubt.successes >= _PROBATION_SUCCESSES:
            del self._doubts[upstream_id]
            self._weak.pop(upstream_id, None)

    def _shed(self, upstream_id: str, now_s: float) -> None:
        until_s, length_s = self._short_of_room.get(upstream_id, (0.0, 0.0))
        again = now_s < until_s + length_s
        length_s = min(length_s * _SHED_GROWTH, _SHED_MAX_S) if again else _SHED_FIRST_S
        self._short_of_room[upstream_id] = (now_s + length_s, length_s)

    def _failed(self, seen: Observation, observer: str, quick: bool, now_s: float) -> None:
        doubt = self._doubts.get(seen.upstream_id)
        if doubt is not None and not doubt.weak:
            self._lengthen(doubt, seen, now_s)
            return
        # An upstream that has just reset one connection serves the next request three times in
        # five, one that has quickly answered with a failure one time in ten.
        telling = quick and seen.outcome is Outcome.FAILED
        confirmed = telling or self._confirmed(seen, observer, now_s)
        if quick and confirmed:
            self._doubts[seen.upstream_id] = _Doubt(now_s, FIRST_PAUSE_S)
        elif confirmed:
            # Slow answers and single failures say little: with all slots taken every upstream shows
            # them, and taking upstreams out then takes the others out as well, one after the other.
            self._doubts[seen.upstream_id] = _Doubt(now_s, _WEAK_DOUBT_S, weak=True)

    def _unreachable(self, seen: Observation, now_s: float) -> None:
        """Take an upstream out that nobody reaches."""
        doubt = self._doubts.get(seen.upstream_id)
        if doubt is None or doubt.weak:
            pause_s = FIRST_PATH_PAUSE_S
            self._doubts[seen.upstream_id] = _Doubt(now_s, pause_s, unreachable=True)
        elif doubt.unreachable:
            self._lengthen(doubt, seen, now_s)

    def _lengthen(self, doubt: _Doubt, seen: Observation, now_s: float) -> None:
        """Begin a longer pause after a failed trial; work that was under way says nothing new."""
        if now_s - seen.duration_s < doubt.since_s + _CLEAR_MARGIN_S:
            return
        pause_s = min(max(doubt.pause_s * _PAUSE_GROWTH, FIRST_PAUSE_S), _PAUSE_MAX_S)
        self._doubts[seen.upstream_id] = _Doubt(now_s, pause_s, unreachable=doubt.unreachable)

    def _confirmed(self, seen: Observation, observer: str, now_s: float) -> bool:
        """Add a finding that says little alone; return whether there are enough of them.

        Overdue requests of one instance count once: they may come of its own path.
        """
        findings = self._weak.setdefault(seen.upstream_id, [])
        findings[:] = [(who, at_s) for who, at_s in findings if now_s - at_s < _WEAK_WINDOW_S]
        if seen.outcome is Outcome.OVERDUE:
            findings[:] = [(who, at_s) for who, at_s in findings if who != observer]
        findings.append((observer, now_s))
        return len(findings) >= _WEAK_QUORUM
