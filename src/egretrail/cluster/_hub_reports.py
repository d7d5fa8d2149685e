"""What the instances of a zone report, which its hub tells for some time."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.cluster._beat import Beat, DropReport, LimitReport, LossReport

#: Losses, and reports of dropped upstreams, in a section.
_REPORTS_MAX = 16
#: Losses are told for this long, and remembered for longer: beats repeat them.
_LOSS_TOLD_S = 0.3
_LOSS_REMEMBERED_S = 2.0
_DROP_TOLD_S = 3.0
#: Limits of upstreams are told for this long after each statement, and remembered for longer: beats
#: repeat them. Statements that are so close are the same one.
_LIMIT_TOLD_S, _LIMIT_REMEMBERED_S = 2.0, 10.0
_SAME_STATEMENT_S = 0.05
#: Limits in a section, 18 bytes each; the next sections tell others.
_LIMITS_MAX = 24


@dataclass(frozen=True, slots=True)
class _Limit:
    """What an upstream said of its limit, and when."""

    limit_per_s: float | None
    stated_s: float


@dataclass(slots=True)
class HubReports:
    """Losses, drops and limits that are told for some time, with the time they came."""

    _losses: dict[LossReport, float] = field(default_factory=dict)
    _drops: dict[DropReport, float] = field(default_factory=dict)
    _limits: dict[int, _Limit] = field(default_factory=dict)
    _limits_turn: int = 0

    def take(self, beat: Beat, now_s: float) -> bool:
        """Take the reports of a beat; return whether there is news among them."""
        news = False
        for loss in beat.losses:
            news |= loss not in self._losses
            self._losses.setdefault(loss, now_s)
        for drop in beat.dropped:
            news |= drop not in self._drops
            self._drops.setdefault(drop, now_s)
        for limit in beat.limits:
            news |= self._take_limit(limit, now_s)
        return news

    def limits_told(self, now_s: float) -> Sequence[LimitReport]:
        """Return the limits to be told now, and forget the old ones."""
        ages_s = {key: now_s - limit.stated_s for key, limit in self._limits.items()}
        for key in [one for one, age_s in ages_s.items() if age_s > _LIMIT_REMEMBERED_S]:
            del self._limits[key]
        told = [
            LimitReport(key, limit.limit_per_s, max(ages_s[key], 0.0))
            for key, limit in self._limits.items()
            if ages_s[key] <= _LIMIT_TOLD_S
        ]
        if len(told) <= _LIMITS_MAX:
            return told
        first = self._limits_turn % len(told)
        self._limits_turn += _LIMITS_MAX
        return [*told[first:], *told[:first]][:_LIMITS_MAX]

    def losses_told(self, now_s: float) -> Sequence[LossReport]:
        """Return the losses to be told now, and forget the old ones."""
        for loss in [
            one for one, at_s in self._losses.items() if now_s - at_s > _LOSS_REMEMBERED_S
        ]:
            del self._losses[loss]
        told = [loss for loss, at_s in self._losses.items() if now_s - at_s <= _LOSS_TOLD_S]
        return told[:_REPORTS_MAX]

    def drops_told(self, now_s: float) -> Sequence[DropReport]:
        """Return the drops to be told now, and forget the old ones."""
        for drop in [one for one, at_s in self._drops.items() if now_s - at_s > _DROP_TOLD_S]:
            del self._drops[drop]
        return list(self._drops)[:_REPORTS_MAX]

    def _take_limit(self, report: LimitReport, now_s: float) -> bool:
        """Take what an upstream said of its limit; return whether it is news."""
        stated_s = now_s - report.age_s
        known = self._limits.get(report.upstream_key)
        if known is not None and stated_s <= known.stated_s + _SAME_STATEMENT_S:
            return False
        self._limits[report.upstream_key] = _Limit(report.limit_per_s, stated_s)
        return known is None or known.limit_per_s != report.limit_per_s
