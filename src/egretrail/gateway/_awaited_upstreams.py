"""How long an instance has waited for a newer list of upstreams that a peer has reported."""

from dataclasses import dataclass

#: A newer list that has not arrived after this time is logged.
_LATE_S = 1.0


@dataclass(slots=True)
class AwaitedUpstreams:
    """The first reported revision that has not arrived."""

    #: The reported revision; 0 before the first.
    revision: int = 0
    _since_s: float | None = None
    _logged: bool = False

    def record_advertised(self, revision: int, now_s: float) -> float | None:
        """Record a peer's newer revision; return once per wait by how many seconds it is late."""
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
