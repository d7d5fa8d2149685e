"""What an instance knows about outages of the store, from its own calls and from other instances.

Entries of upstreams expire while the store is unavailable to them, and such upstreams stay in use.
An entry that vanishes at any other time was removed. Only an outage tells the two apart: upstreams
of one service may also leave together.
"""

from dataclasses import dataclass

__all__ = ["StoreOutage"]

#: Upstreams whose entries expired during an outage list themselves again within two seconds of its
#: end. An entry that is still missing after this time is gone.
_RETURN_S = 2.2
#: No entry expires in an outage that seems shorter: upstreams renew their entries every 1.5 s, an
#: entry expires after 4.5 s without, and the last contact of others is known to within a second.
_EXPIRY_OUTAGE_S = 1.5
#: Without a failed call for this time, an instance does not report an outage to others.
_REPORT_S = 2.0


@dataclass(slots=True)
class StoreOutage:
    """The present or last time in which the store answered no instance."""

    #: Until when vanished entries are taken as expired.
    expiry_until_s: float = float("-inf")
    #: When the last outage in which entries may have expired ended.
    ended_s: float = float("-inf")
    _since_s: float | None = None
    _contact_s: float = float("-inf")
    _failed_s: float = float("-inf")

    def record_contact(self, now_s: float) -> float:
        """Record that the store answers some instance; return how long it had answered none."""
        away_s = 0.0 if self._since_s is None else now_s - self._since_s
        self._since_s = None
        self._contact_s = now_s
        if away_s > _EXPIRY_OUTAGE_S:
            self.extend_expiry(now_s)
            self.ended_s = now_s
        return away_s

    def record_failure(self, reading_since_s: float, now_s: float) -> None:
        """Record that the store did not answer a call of this instance.

        ``reading_since_s`` is when the instance began to read the store: the time before it in
        which nobody read proves no outage.
        """
        self._failed_s = now_s
        if self._since_s is None:
            self._since_s = max(self._contact_s, reading_since_s)

    def record_report(self, away_s: float, now_s: float) -> None:
        """Record another instance's report that the store has not answered for some time."""
        since_s = now_s - away_s
        self._since_s = since_s if self._since_s is None else min(self._since_s, since_s)

    def reported_away_s(self, now_s: float) -> float | None:
        """Return how long the store has been away, for other instances.

        None if it is not, or if this instance has not called it lately: what it heard from others
        is theirs to report.
        """
        if self._since_s is None or now_s - self._failed_s > _REPORT_S:
            return None
        return now_s - self._since_s

    def extend_expiry(self, now_s: float) -> None:
        """Take entries that vanish from now on as expired until upstreams have returned."""
        self.expiry_until_s = now_s + _RETURN_S

    def extend_deadlines(self, pause_s: float) -> None:
        """Discount a time in which this process was paused: it proves no outage."""
        self._contact_s += pause_s
        if self._since_s is not None:
            self._since_s += pause_s
