"""Distinguishes upstreams that are down from failures of single instances' network paths."""

from collections.abc import Iterable
from dataclasses import dataclass

#: Number of instances that must fail to reach an upstream before it counts as unreachable for all,
#: its growth with each time that this was wrong, and the maximum. An upstream gets some twelve
#: requests within the window, so many more instances could not fail at it.
_QUORUM = 2
_QUORUM_GROWTH = 2
_QUORUM_MAX = 16
#: The quorum of an upstream shrinks again after this time without another wrong suspicion.
_QUORUM_HALVING_S = 10.0
#: Failures to reach an upstream count together within this time.
_WINDOW_S = 3.0
#: A response that is received so soon after an attempt began may be older than the attempt:
#: observations of other zones arrive up to a fifth of a second late.
RESPONSE_MARGIN_S = 0.25
#: A response that is received within this time after another instance's attempt began shows that
#: the attempt failed because of its path. Later, the upstream may have recovered in between.
_CONTRADICTION_S = 1.0
#: For how long the failures of an instance with a bad path count only for itself. A cut path fails
#: again within this time, as each instance sends a few requests a second.
_DISCREDITED_S = 3.0
#: How long this instance avoids an upstream after its own network path to it failed: first pause,
#: growth with each failure in a row, and maximum. Each new try costs a request a third of a second.
FIRST_PATH_PAUSE_S = 1.5
_PAUSE_GROWTH = 2.0
_PAUSE_MAX_S = 6.0
#: For how long after such a pause the own path still counts as failed, unless a response shows that
#: it works. The faults of paths last up to 14 s.
_FAILED_PATH_S = 8.0


@dataclass(frozen=True, slots=True)
class _Pause:
    """A time in which this instance avoids an upstream because its own network path failed."""

    #: When the upstream may be tried again.
    until_s: float
    #: Length of the pause.
    length_s: float


@dataclass(frozen=True, slots=True)
class _Failure:
    """The last failure of an instance to reach an upstream."""

    #: When the attempt began.
    began_s: float
    #: When it was reported here.
    at_s: float


@dataclass(frozen=True, slots=True)
class _Quorum:
    """The number of instances that must fail to reach an upstream, where it has been raised."""

    #: The number at ``changed_s``.
    count: int
    #: When it was raised.
    changed_s: float


class ReachabilityTable:
    """Failures of instances to reach upstreams, as evidence about pairs of them.

    For half of the time, up to a fifth of the instances have no path, or one that loses packets, to
    some or all upstreams, while all other instances use them. Such a failure affects only its
    observer. An upstream leaves service for all only when a quorum of instances failed and no
    instance got a response since the first of these attempts began.

    An upstream gets only a few requests a second, so chance leaves gaps between its responses that
    are as long as a failed attempt. Two rules keep many cut instances from taking it out of service
    in these gaps. Each wrong suspicion doubles the quorum of the upstream. And a failure at an
    upstream that responds to others discredits its observer for a while, at all upstreams: without
    that rule, each of the upstreams has to be wrongly suspected several times first.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._own_pauses: dict[str, _Pause] = {}
        #: Failures to reach an upstream since its last response to any instance, by observer.
        self._failures: dict[str, dict[str, _Failure]] = {}
        #: When a response of each upstream to any instance was last reported here.
        self._last_response_s: dict[str, float] = {}
        self._quorums: dict[str, _Quorum] = {}
        #: Until when the failures of instances count only for themselves.
        self._discredited_until_s: dict[str, float] = {}

    def record_failure(
        self, upstream_id: str, observer: str, began_s: float, now_s: float
    ) -> float | None:
        """Record a failed attempt that began at ``began_s``.

        If the failures show that no instance reaches the upstream, returns when the first of the
        attempts began, else None.
        """
        if observer == self._own_name:
            self.pause(upstream_id, now_s)
        response_s = self._last_response_s.get(upstream_id, float("-inf"))
        if response_s >= began_s + RESPONSE_MARGIN_S:
            self._discredit(observer, now_s)
            return None
        failures = self._failures.setdefault(upstream_id, {})
        failures[observer] = _Failure(began_s, now_s)
        for name in [name for name, one in failures.items() if now_s - one.at_s >= _WINDOW_S]:
            del failures[name]
        counted_s = [
            one.began_s for name, one in failures.items() if not self.is_discredited(name, now_s)
        ]
        return min(counted_s) if len(counted_s) >= self.quorum(upstream_id, now_s) else None

    def record_response(self, upstream_id: str, now_s: float) -> None:
        """Record a response of an upstream to any instance, which shows that it is reachable."""
        self._last_response_s[upstream_id] = now_s
        failures = self._failures.get(upstream_id)
        if failures is None:
            return
        for observer, failure in list(failures.items()):
            age_s = now_s - failure.began_s
            if age_s < RESPONSE_MARGIN_S:
                continue
            del failures[observer]
            if age_s < _CONTRADICTION_S:
                self._discredit(observer, now_s)
        if not failures:
            del self._failures[upstream_id]

    def raise_quorum(self, upstream_id: str, now_s: float) -> None:
        """Raise the quorum of an upstream that was wrongly taken as unreachable for all."""
        count = min(self.quorum(upstream_id, now_s) * _QUORUM_GROWTH, _QUORUM_MAX)
        self._quorums[upstream_id] = _Quorum(count, now_s)

    def quorum(self, upstream_id: str, now_s: float) -> int:
        """Return how many instances must fail to reach an upstream."""
        raised = self._quorums.get(upstream_id)
        if raised is None:
            return _QUORUM
        halvings = min(int((now_s - raised.changed_s) / _QUORUM_HALVING_S), 16)
        return max(raised.count >> halvings, _QUORUM)

    def is_discredited(self, observer: str, now_s: float) -> bool:
        """Return whether an instance failed at an upstream that responded to others lately."""
        return self._discredited_until_s.get(observer, float("-inf")) > now_s

    def _discredit(self, observer: str, now_s: float) -> None:
        if observer not in self._discredited_until_s:
            # Addresses of instances that are gone do not accumulate.
            self._discredited_until_s = {
                name: until_s
                for name, until_s in self._discredited_until_s.items()
                if until_s > now_s
            }
        self._discredited_until_s[observer] = now_s + _DISCREDITED_S

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

    def has_evidence(self, upstream_id: str) -> bool:
        """Return whether any failure to reach an upstream is remembered."""
        return upstream_id in self._failures or upstream_id in self._own_pauses

    def has_failures(self, upstream_id: str) -> bool:
        """Return whether instances failed to reach an upstream since its last response."""
        return upstream_id in self._failures

    def is_paused(self, upstream_id: str, now_s: float) -> bool:
        """Return whether this instance avoids an upstream because its own network path failed."""
        pause = self._own_pauses.get(upstream_id)
        return pause is not None and pause.until_s > now_s

    def has_failed_path(self, upstream_id: str, now_s: float) -> bool:
        """Return whether this instance's last attempt to reach an upstream failed lately."""
        pause = self._own_pauses.get(upstream_id)
        return pause is not None and pause.until_s + _FAILED_PATH_S > now_s

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Remove upstreams that are no longer listed."""
        listed = set(upstream_ids)
        for table in (self._own_pauses, self._failures, self._last_response_s, self._quorums):
            for upstream_id in table.keys() - listed:
                del table[upstream_id]
