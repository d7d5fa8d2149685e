"""How long an instance has waited for a newer list of upstreams that a peer has reported."""

from dataclasses import dataclass

from egretrail.traffic import REFUTED_JUMP, UpstreamTable

#: A newer list that has not arrived after this time is logged.
_LATE_S = 1.0
#: A position that all peers' reports are far behind for this long is no position of the store: its
#: readers have left it, and hubs learn a change within some tenths of a second.
_UNSUPPORTED_S = 2.0


@dataclass(slots=True)
class AwaitedUpstreams:
    """The first reported revision that has not arrived."""

    #: The reported revision; 0 before the first.
    revision: int = 0
    _since_s: float | None = None
    _logged: bool = False
    #: Since when all reports are far behind the known position.
    _unsupported_since_s: float | None = None

    def record_lower(self, upstreams: UpstreamTable, revision: int, now_s: float) -> None:
        """Record a peer's revision that is not newer; give up a position that no peer supports."""
        if not revision or upstreams.revision - revision <= REFUTED_JUMP:
            self._unsupported_since_s = None
        elif self._unsupported_since_s is None:
            self._unsupported_since_s = now_s
        elif now_s - self._unsupported_since_s >= _UNSUPPORTED_S:
            self._unsupported_since_s = None
            upstreams.refute(upstreams.revision)

    def record_advertised(self, revision: int, now_s: float) -> float | None:
        """Record a peer's newer revision; return once per wait by how many seconds it is late."""
        self._unsupported_since_s = None
        if self._since_s is None:
            self._since_s = now_s
            self.revision = revision
        late_s = now_s - self._since_s
        if self._logged or late_s <= _LATE_S:
            return None
        self._logged = True
        return late_s

    def record_arrival(self, revision: int) -> None:
        """Record that the list of a revision has arrived."""
        if revision >= self.revision:
            self._since_s = None
            self._logged = False
