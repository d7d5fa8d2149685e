"""Whether an upstream that instances cannot reach is down, or their own paths to it are."""

from collections.abc import Iterable
from dataclasses import dataclass

#: Instances that must find the same before an upstream counts as unreachable for all.
_QUORUM = 2
#: Findings count together for this long.
_WINDOW_S = 3.0
#: The pause of one instance after its own path to an upstream failed, its growth with each failure
#: in a row, and its end. Each new try costs a request a third of a second.
FIRST_PATH_PAUSE_S = 1.5
_PAUSE_GROWTH = 2.0
_PAUSE_MAX_S = 6.0


@dataclass(frozen=True, slots=True)
class _OwnPause:
    """This instance leaves an upstream alone since its own path failed."""

    #: When it may try again.
    until_s: float
    #: How long the pause was.
    length_s: float


class PathBook:
    """Findings of instances that could not reach an upstream.

    Load: a link that loses packets, or a cut between some instances and some upstreams, makes a few
    instances fail at one upstream after the other while all others use them. A finding is therefore
    the observer's own affair until another instance finds the same and none has got an answer in
    between. Without that condition 6 of 44 instances with a bad link took all eleven upstreams of a
    service out of the whole fleet, and 50 requests were refused within three seconds.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._own: dict[str, _OwnPause] = {}
        #: Who could not reach an upstream since its last answer to anybody, and when.
        self._found: dict[str, dict[str, float]] = {}

    def failed(self, upstream_id: str, observer: str, now_s: float) -> bool:
        """Take a finding; return whether it shows that nobody reaches the upstream."""
        if observer == self._own_name:
            self._pause(upstream_id, now_s)
        found = self._found.setdefault(upstream_id, {})
        found[observer] = now_s
        for who in [who for who, at_s in found.items() if now_s - at_s >= _WINDOW_S]:
            del found[who]
        return len(found) >= _QUORUM

    def answered(self, upstream_id: str, observer: str) -> None:
        """Take an upstream's answer to an instance: it can be reached."""
        self._found.pop(upstream_id, None)
        if observer == self._own_name:
            self._own.pop(upstream_id, None)

    def holds(self, upstream_id: str) -> bool:
        """Return whether any finding about an upstream is remembered."""
        return upstream_id in self._found or upstream_id in self._own

    def paused(self, upstream_id: str, now_s: float) -> bool:
        """Return whether this instance leaves an upstream alone for its own path's sake."""
        pause = self._own.get(upstream_id)
        return pause is not None and pause.until_s > now_s

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Forget upstreams that are no longer listed."""
        listed = set(upstream_ids)
        for table in (self._own, self._found):
            for upstream_id in table.keys() - listed:
                del table[upstream_id]

    def _pause(self, upstream_id: str, now_s: float) -> None:
        before = self._own.get(upstream_id)
        if before is not None and before.until_s > now_s:
            # Another request that was on the way when the first one failed.
            return
        length_s = FIRST_PATH_PAUSE_S
        if before is not None:
            length_s = min(before.length_s * _PAUSE_GROWTH, _PAUSE_MAX_S)
        self._own[upstream_id] = _OwnPause(now_s + length_s, length_s)
