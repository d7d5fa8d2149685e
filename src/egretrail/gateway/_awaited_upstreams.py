"""How long an instance has waited for a newer list of upstreams that it has heard of."""

from dataclasses import dataclass

#: A newer list that is not here after this time is worth a line in the log.
_LATE_S = 1.0


@dataclass(slots=True)
class AwaitedUpstreams:
    """The first revision that was heard of and has not come."""

    #: The revision; 0 before any was heard of.
    revision: int = 0
    _since_s: float | None = None
    _told: bool = False

    def heard_of(self, revision: int, now_s: float) -> float | None:
        """Take a newer revision than the own; return how late it is, once for each wait."""
        if self._since_s is None:
            self._since_s = now_s
            self.revision = revision
        late_s = now_s - self._since_s
        if self._told or late_s <= _LATE_S:
            return None
        self._told = True
        return late_s

    def arrived(self, revision: int) -> None:
        """Take that the list of a revision is here."""
        if revision >= self.revision:
            self._since_s = None
            self._told = False
