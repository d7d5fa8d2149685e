"""The rate limits that upstreams advertise, to this instance and to others."""

from collections.abc import Callable, Iterable, Mapping

from egretrail.cluster import LimitReport, Membership, OutgoingReports
from egretrail.dispatch import AdvertisedLimit, AdvertisedLimits, LimitPosition
from egretrail.gateway._log import EventLog
from egretrail.identity import rendezvous_order
from egretrail.traffic import UpstreamRecord, upstream_key


class LimitExchange:
    """Records the limits that upstreams advertise, logs changes, and reports them to the others."""

    def __init__(
        self,
        own_address: str,
        position_of: Callable[[UpstreamRecord], LimitPosition],
        reports: OutgoingReports,
        log: EventLog,
    ) -> None:
        self._own_address = own_address
        self._reports = reports
        self._log = log
        #: The limits, and this instance's shares of them.
        self.limits = AdvertisedLimits(position_of)

    def record_own(self, upstream_id: str, limit_per_s: float | None, now_s: float) -> bool:
        """Record the limit in an answer to this instance; return whether it must be reported."""
        before = self.limits.limit_per_s(upstream_id)
        advertised = self.limits.record_advertised(upstream_id, limit_per_s, now_s)
        if advertised is None:
            return False
        self._log_change(advertised, before, self._own_address)
        self._reports.record_limit(upstream_key(upstream_id), advertised.limit_per_s, now_s)
        return True

    def record_reported(
        self,
        reports: Iterable[LimitReport],
        ids_by_key: Mapping[int, str],
        source: str,
        now_s: float,
    ) -> None:
        """Record limits that others reported; ``ids_by_key`` holds the listed upstreams."""
        for report in reports:
            upstream_id = ids_by_key.get(report.upstream_key)
            if upstream_id is None:
                continue
            before = self.limits.limit_per_s(upstream_id)
            advertised = AdvertisedLimit(upstream_id, report.limit_per_s, now_s - report.age_s)
            if self.limits.apply_peer_limit(advertised, now_s):
                self._log_change(advertised, before, source)

    def _log_change(self, advertised: AdvertisedLimit, before: float | None, source: str) -> None:
        if advertised.limit_per_s != before:
            self._log.event(
                "upstream_limit",
                upstream=advertised.upstream_id,
                before="none" if before is None else before,
                after="none" if advertised.limit_per_s is None else advertised.limit_per_s,
                source=source,
            )


def limit_position(
    record: UpstreamRecord,
    membership: Membership,
    *,
    own_zone: str,
    leaving: bool,
    fleet_size: int,
    known_share: float,
) -> LimitPosition:
    """Return this instance's position among those that share an upstream's limit."""
    zones = membership.zones()
    responsible = record.availability_zone
    if responsible not in zones:
        responsible = rendezvous_order(f"limit {record.id}", zones)[0]
    size = membership.connected_zone_size()
    # An instance that is stopping ranks last, so that another one takes its share.
    rank = size if leaving else membership.task_rank(f"limit {record.id}", own_zone)
    return LimitPosition(responsible == own_zone, rank, size, fleet_size, known_share)
