"""Reports of a zone's instances that the hub repeats in its sections for some time."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.cluster._heartbeat import DropReport, Heartbeat, LimitReport, LossReport

#: Maximum losses, and maximum reports of dropped upstreams, in one section.
_SECTION_REPORTS_MAX = 16
#: How long losses and reports of dropped upstreams are sent. Losses are remembered for longer than
#: they are sent, since heartbeats repeat them.
_LOSS_SEND_S = 0.3
_LOSS_REMEMBERED_S = 2.0
_DROP_SEND_S = 3.0
#: How long the rate limits of upstreams are sent after each advertisement. They are remembered for
#: longer, since heartbeats repeat them. Advertisements whose times differ by less than the last of
#: these constants are the same one.
_LIMIT_SEND_S, _LIMIT_REMEMBERED_S = 2.0, 10.0
_SAME_ADVERTISEMENT_S = 0.05
#: Maximum limits in one section, 18 bytes each; the following sections contain the other limits.
_LIMITS_MAX = 24


@dataclass(frozen=True, slots=True)
class _AdvertisedLimit:
    """The rate limit that an upstream advertised, and when."""

    limit_per_s: float | None
    advertised_s: float


@dataclass(slots=True)
class HubReports:
    """Losses, dropped upstreams and limits that are sent for some time after their receipt."""

    _losses: dict[LossReport, float] = field(default_factory=dict)
    _drops: dict[DropReport, float] = field(default_factory=dict)
    _limits: dict[int, _AdvertisedLimit] = field(default_factory=dict)
    _limits_offset: int = 0

    def record(self, heartbeat: Heartbeat, now_s: float) -> bool:
        """Record the reports of a heartbeat; return whether any of them is new."""
        is_new = False
        for loss in heartbeat.losses:
            is_new |= loss not in self._losses
            self._losses.setdefault(loss, now_s)
        for drop in heartbeat.dropped:
            is_new |= drop not in self._drops
            self._drops.setdefault(drop, now_s)
        for limit in heartbeat.limits:
            is_new |= self._record_limit(limit, now_s)
        return is_new

    def current_limits(self, now_s: float) -> Sequence[LimitReport]:
        """Return the limits to send now, and discard the expired ones."""
        ages_s = {key: now_s - limit.advertised_s for key, limit in self._limits.items()}
        for key in [key for key, age_s in ages_s.items() if age_s > _LIMIT_REMEMBERED_S]:
            del self._limits[key]
        current = [
            LimitReport(key, limit.limit_per_s, max(ages_s[key], 0.0))
            for key, limit in self._limits.items()
            if ages_s[key] <= _LIMIT_SEND_S
        ]
        if len(current) <= _LIMITS_MAX:
            return current
        first = self._limits_offset % len(current)
        self._limits_offset += _LIMITS_MAX
        return [*current[first:], *current[:first]][:_LIMITS_MAX]

    def current_losses(self, now_s: float) -> Sequence[LossReport]:
        """Return the losses to send now, and discard the expired ones."""
        for loss in [
            loss for loss, at_s in self._losses.items() if now_s - at_s > _LOSS_REMEMBERED_S
        ]:
            del self._losses[loss]
        current = [loss for loss, at_s in self._losses.items() if now_s - at_s <= _LOSS_SEND_S]
        return current[:_SECTION_REPORTS_MAX]

    def current_drops(self, now_s: float) -> Sequence[DropReport]:
        """Return the reports of dropped upstreams to send now, and discard the expired ones."""
        for drop in [drop for drop, at_s in self._drops.items() if now_s - at_s > _DROP_SEND_S]:
            del self._drops[drop]
        return list(self._drops)[:_SECTION_REPORTS_MAX]

    def _record_limit(self, report: LimitReport, now_s: float) -> bool:
        """Record an advertised limit; return whether it is new."""
        advertised_s = now_s - report.age_s
        known = self._limits.get(report.upstream_key)
        if known is not None and advertised_s <= known.advertised_s + _SAME_ADVERTISEMENT_S:
            return False
        self._limits[report.upstream_key] = _AdvertisedLimit(report.limit_per_s, advertised_s)
        return known is None or known.limit_per_s != report.limit_per_s
