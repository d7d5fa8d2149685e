"""Distinguishes upstreams that are down from failures of an instance's own network path."""

from collections.abc import Iterable
from dataclasses import dataclass

#: Number of instances that must fail to reach an upstream before it counts as unreachable for all.
_QUORUM = 2
#: Failures to reach an upstream count together within this time.
_WINDOW_S = 3.0
#: How long this instance avoids an upstream after its own network path to it failed: first pause,
#: growth with each failure in a row, and maximum. Each new try costs a request a third of a second.
FIRST_PATH_PAUSE_S = 1.5
_PAUSE_GROWTH = 2.0
_PAUSE_MAX_S = 6.0


@dataclass(frozen=True, slots=True)
class _Pause:
    """A time in which this instance avoids an upstream because its own network path failed."""

    #: When the upstream may be tried again.
    until_s: float
    #: Length of the pause.
    length_s: float


class ReachabilityTable:
    """Failures of instances to reach upstreams.

    A link that loses packets, or a partition between some instances and some upstreams, makes a few
    instances fail at one upstream after the other while all other instances use them. Such a
    failure therefore affects only its observer, until another instance fails too and no instance
    got a response in between. Without that condition, 6 of 44 instances with a bad link took all
    eleven upstreams of a service out of service for the whole fleet, and 50 requests were refused
    within three seconds.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._own_pauses: dict[str, _Pause] = {}
        #: Instances that failed to reach an upstream since its last response to any instance, and
        #: when.
        self._failures: dict[str, dict[str, float]] = {}

    def record_failure(self, upstream_id: str, observer: str, now_s: float) -> bool:
        """Record a failure; return whether it shows that no instance reaches the upstream."""
        if observer == self._own_name:
            self.pause(upstream_id, now_s)
        failures = self._failures.setdefault(upstream_id, {})
        failures[observer] = now_s
        for name in [name for name, at_s in failures.items() if now_s - at_s >= _WINDOW_S]:
            del failures[name]
        return len(failures) >= _QUORUM

    def pause(self, upstream_id: str, now_s: float) -> None:
        """Avoid an upstream because this instance's own network path to it failed."""
        before = self._own_pauses.get(upstream_id)
        if before is not None and before.until_s > now_s:
            # Another request was in flight when the first one failed.
            return
        length_s = FIRST_PATH_PAUSE_S
        if before is not None:
            length_s = min(before.length_s * _PAUSE_GROWTH, _PAUSE_MAX_S)
        self._own_pauses[upstream_id] = _Pause(now_s + length_s, length_s)

    def resume(self, upstream_id: str) -> None:
        """End the pause of an upstream to which this instance's own network path works."""
        self._own_pauses.pop(upstream_id, None)

    def resume_all(self) -> None:
        """End all pauses of this instance's own network paths."""
        self._own_pauses.clear()

    def record_success(self, upstream_id: str, observer: str) -> None:
        """Record a response of an upstream to an instance, which shows that it is reachable."""
        self._failures.pop(upstream_id, None)
        if observer == self._own_name:
            self._own_pauses.pop(upstream_id, None)

    def has_evidence(self, upstream_id: str) -> bool:
        """Return whether any failure to reach an upstream is remembered."""
        return upstream_id in self._failures or upstream_id in self._own_pauses

    def is_paused(self, upstream_id: str, now_s: float) -> bool:
        """Return whether this instance avoids an upstream because its own network path failed."""
        pause = self._own_pauses.get(upstream_id)
        return pause is not None and pause.until_s > now_s

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Remove upstreams that are no longer listed."""
        listed = set(upstream_ids)
        for table in (self._own_pauses, self._failures):
            for upstream_id in table.keys() - listed:
                del table[upstream_id]
