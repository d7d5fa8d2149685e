"""The limits that upstreams name, as this instance reads them and the others tell them."""

from collections.abc import Callable, Iterable, Mapping

from egretrail.cluster import LimitReport, Membership, OwnNews
from egretrail.dispatch import LimitPlace, StatedLimit, UpstreamLimits
from egretrail.gateway._log import EventLog
from egretrail.identity import rendezvous_order
from egretrail.traffic import UpstreamRecord, upstream_key


class NamedLimits:
    """Takes what upstreams state, logs what changes a limit, and tells the others."""

    def __init__(
        self,
        own_address: str,
        place: Callable[[UpstreamRecord], LimitPlace],
        news: OwnNews,
        log: EventLog,
    ) -> None:
        self._own_address = own_address
        self._news = news
        self._log = log
        #: The limits and this instance's shares of them.
        self.upstreams = UpstreamLimits(place)

    def named(self, upstream_id: str, limit_per_s: float | None, now_s: float) -> bool:
        """Take what an answer to this instance says; return whether the others should hear."""
        before = self.upstreams.limit_per_s(upstream_id)
        stated = self.upstreams.named(upstream_id, limit_per_s, now_s)
        if stated is None:
            return False
        self._log_change(stated, before, self._own_address)
        self._news.limited(upstream_key(upstream_id), stated.limit_per_s, now_s)
        return True

    def hear(
        self, reports: Iterable[LimitReport], ids: Mapping[int, str], source: str, now_s: float
    ) -> None:
        """Take what other instances were told; ``ids`` are the listed upstreams by key."""
        for report in reports:
            upstream_id = ids.get(report.upstream_key)
            if upstream_id is None:
                continue
            before = self.upstreams.limit_per_s(upstream_id)
            stated = StatedLimit(upstream_id, report.limit_per_s, now_s - report.age_s)
            if self.upstreams.hear(stated, now_s):
                self._log_change(stated, before, source)

    def _log_change(self, stated: StatedLimit, before: float | None, source: str) -> None:
        if stated.limit_per_s != before:
            self._log.event(
                "upstream_limit",
                upstream=stated.upstream_id,
                before="none" if before is None else before,
                after="none" if stated.limit_per_s is None else stated.limit_per_s,
                source=source,
            )


def limit_place(
    record: UpstreamRecord,
    membership: Membership,
    *,
    own_zone: str,
    leaving: bool,
    fleet_size: int,
    known_share: float,
) -> LimitPlace:
    """Return this instance's place among those that share an upstream's limit."""
    zones = membership.zones()
    responsible = record.availability_zone
    if responsible not in zones:
        responsible = rendezvous_order(f"limit {record.id}", zones)[0]
    size = membership.zone_size()
    # Another one takes over from an instance that is stopping.
    rank = size if leaving else membership.rank_for(f"limit {record.id}", own_zone)
    return LimitPlace(responsible == own_zone, rank, size, fleet_size, known_share)
