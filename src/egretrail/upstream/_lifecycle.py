"""The state machine of one upstream: in service, ejected, on trial, ramping."""

import random
from dataclasses import dataclass

from egretrail.upstream._thresholds import Thresholds
from egretrail.upstream._verdict import Cause, UpstreamState, Verdict

#: The longest ejection, however often the upstream has flapped.
MAX_EJECTION_S = 300.0

#: The ejection time is halved for each period of this length in service. An upstream that failed
#: an hour ago starts again with the shortest ejection; one that flaps every half minute does not.
LEVEL_DECAY_S = 120.0

#: Relative jitter of durations, so that members and upstreams do not return all at once.
JITTER = 0.1

#: The weight of an upstream that should be ejected but has to stay in service: enough to notice its
#: recovery, low enough that few clients are affected.
UNCOVERED_WEIGHT = 0.05

#: The weight during a trial, for idempotent requests only; a failed trial costs one request.
TRIAL_WEIGHT = 0.1

#: A trial without requests (a service without idempotent requests) ends after this time.
MAX_TRIAL_S = 30.0

#: The weight at the start of a ramp.
RAMP_START_WEIGHT = 0.1

#: The weight of an upstream whose network path is bad for this member only: enough to notice when
#: the path works again.
PATH_WEIGHT = 0.02

#: The first and the longest duration of a weight reduction because of a bad network path.
PATH_SHIFT_S = 3.0
MAX_PATH_SHIFT_S = 60.0

#: After a request crashed the upstream, refused connections do not count against it for this time.
#: A process restarts in seconds.
CRASH_GRACE_S = 10.0

#: From this part of the ejection score on, the weight is reduced, down to the least one given.
_REDUCE_FROM = 0.5
_REDUCED_MIN_WEIGHT = 0.3


@dataclass(slots=True)
class _Shift:
    """A period in which little work is sent to the upstream although it is not ejected."""

    #: End of the period.
    until_s: float = 0.0
    #: Start of the period.
    since_s: float = 0.0

    def active(self, now_s: float) -> bool:
        return now_s < self.until_s


class Lifecycle:
    """One member's state of one upstream."""

    def __init__(
        self, thresholds: Thresholds, ramp_s: float, rng: random.Random, now_s: float, new: bool
    ) -> None:
        self._thresholds = thresholds
        self._ramp_s = ramp_s
        self._rng = rng
        ramping = new and ramp_s > 0
        self.state = UpstreamState.RAMPING if ramping else UpstreamState.HEALTHY
        self.cause = Cause.START if ramping else Cause.NONE
        self.since_s = now_s
        #: Number of ejections that this member knows, its own and those adopted from peers.
        self.generation = 0
        #: End of the ejection or trial.
        self.until_s = 0.0
        #: The score of the current evidence as a share of the ejection score.
        self.suspicion = 0.0
        self._level = 0
        self._level_decayed_s = now_s
        self._path = _Shift()
        self._path_level = 0
        self._crash = _Shift()

    def set_thresholds(self, thresholds: Thresholds, ramp_s: float) -> None:
        """Set changed thresholds; the state is kept."""
        self._thresholds = thresholds
        self._ramp_s = ramp_s

    @property
    def threshold_factor(self) -> float:
        """Return the factor on the ejection score: lower in the ramp that follows an ejection."""
        return 0.6 if self._level and self.state is UpstreamState.RAMPING else 1.0

    @property
    def is_out(self) -> bool:
        """Return whether the upstream is ejected or on trial, with or without an ejection right."""
        return self.state in (UpstreamState.EJECTED, UpstreamState.TRIAL)

    def predates_return(self, started_s: float) -> bool:
        """Return whether an attempt began before the current ejection or trial.

        Such an attempt is no new evidence.
        """
        return self.is_out and started_s < self.since_s

    def ejected_for_s(self, now_s: float) -> float:
        """Return the remaining time of the ejection, 0 when there is none."""
        if self.state is not UpstreamState.EJECTED:
            return 0.0
        return max(0.1, self.until_s - now_s)

    def in_crash_grace(self, now_s: float) -> bool:
        """Return whether the grace period after a crash caused by a request is running."""
        return self._crash.active(now_s)

    def is_path_shifted(self, now_s: float) -> bool:
        """Return whether the weight is reduced because of this member's bad network path."""
        return self._path.active(now_s)

    def eject(self, cause: Cause, now_s: float) -> None:
        """Start an ejection that this member decided."""
        self.generation += 1
        self._enter_ejection(cause, self._ejection_s(), now_s)

    def adopt_ejection(self, generation: int, remaining_s: float, now_s: float) -> None:
        """Start an ejection that another member decided."""
        self.generation = generation
        jittered_s = remaining_s * (1.0 + JITTER * self._rng.random())
        self._enter_ejection(Cause.PEER, jittered_s, now_s)

    def shift_from_path(self, now_s: float) -> None:
        """Reduce the weight because of a bad network path, each time for longer."""
        length_s = min(MAX_PATH_SHIFT_S, PATH_SHIFT_S * 2.0**self._path_level)
        self._path_level += 1
        self._path = _Shift(now_s + length_s * self._jitter(), now_s)

    def start_crash_grace(self, now_s: float) -> None:
        """Start the grace period in which the upstream may restart after a request crashed it."""
        self._crash = _Shift(now_s + CRASH_GRACE_S, now_s)

    def retract_ejection(self, now_s: float) -> None:
        """End an ejection for failures early, with a trial: a request caused the failures."""
        if self.state is UpstreamState.EJECTED and self.cause is Cause.FAILURES:
            self._level = max(0, self._level - 1)
            self._enter_trial(now_s)

    def end_crash_grace(self, now_s: float) -> None:
        """Start the ramp after a successful response: the upstream has restarted after a crash."""
        if self._crash.active(now_s):
            self._crash = _Shift()
            if not self.is_out:
                self._enter_ramp(now_s)

    def end_trial(self, now_s: float) -> None:
        """Start the ramp after a passed trial."""
        self._enter_ramp(now_s)

    def advance(self, now_s: float) -> bool:
        """Apply transitions that are due; return whether a path shift or an ejection has ended.

        The caller must then clear its observations, so that the old ones do not count again.
        """
        if self._path.until_s and not self._path.active(now_s):
            self._path = _Shift()
            if not self.is_out:
                self._enter_ramp(now_s)
            return True
        if self.state is UpstreamState.EJECTED and now_s >= self.until_s:
            self._enter_trial(now_s)
            return True
        if self.state is UpstreamState.RAMPING and now_s >= self.since_s + self._ramp_s:
            self._enter(UpstreamState.HEALTHY, Cause.NONE, now_s)
        self._decay_level(now_s)
        return False

    def verdict(self, covered: bool, now_s: float) -> Verdict:
        """Return the verdict; ``covered``: whether an ejection right covers the upstream now."""
        if self.state is UpstreamState.EJECTED and now_s < self.until_s:
            if covered:
                return Verdict(UpstreamState.EJECTED, 0.0, self.cause, self.since_s)
            return Verdict(UpstreamState.DEGRADED, UNCOVERED_WEIGHT, self.cause, self.since_s)
        if self._path.active(now_s):
            return Verdict(UpstreamState.DEGRADED, PATH_WEIGHT, Cause.PATH, self._path.since_s)
        if self._crash.active(now_s):
            cause = Cause.CRASHED_BY_REQUEST
            return Verdict(UpstreamState.DEGRADED, UNCOVERED_WEIGHT, cause, self._crash.since_s)
        if self.is_out:
            if covered:
                return Verdict(UpstreamState.TRIAL, TRIAL_WEIGHT, self.cause, self.since_s)
            return Verdict(UpstreamState.DEGRADED, TRIAL_WEIGHT, self.cause, self.since_s)
        return self._in_service(now_s)

    def _in_service(self, now_s: float) -> Verdict:
        weight = 1.0
        if self.state is UpstreamState.RAMPING and self._ramp_s > 0:
            grown = min(1.0, (now_s - self.since_s) / self._ramp_s)
            weight = RAMP_START_WEIGHT + (1.0 - RAMP_START_WEIGHT) * grown
        if self.suspicion <= _REDUCE_FROM:
            return Verdict(self.state, weight, self.cause, self.since_s)
        over = min(1.0, (self.suspicion - _REDUCE_FROM) / (1.0 - _REDUCE_FROM))
        weight *= 1.0 - (1.0 - _REDUCED_MIN_WEIGHT) * over
        return Verdict(UpstreamState.DEGRADED, weight, self.cause, self.since_s)

    def _ejection_s(self) -> float:
        length_s = min(MAX_EJECTION_S, self._thresholds.first_ejection_s * 2.0**self._level)
        return length_s * self._jitter()

    def _jitter(self) -> float:
        return 1.0 + JITTER * (2.0 * self._rng.random() - 1.0)

    def _decay_level(self, now_s: float) -> None:
        if self.state is not UpstreamState.HEALTHY or self.suspicion > _REDUCE_FROM:
            self._level_decayed_s = now_s
        elif now_s - self._level_decayed_s >= LEVEL_DECAY_S:
            self._level_decayed_s = now_s
            self._level = max(0, self._level - 1)
            self._path_level = max(0, self._path_level - 1)

    def _enter(self, state: UpstreamState, cause: Cause, now_s: float) -> None:
        self.state = state
        self.cause = cause
        self.since_s = now_s

    def _enter_ejection(self, cause: Cause, length_s: float, now_s: float) -> None:
        self._enter(UpstreamState.EJECTED, cause, now_s)
        self._level += 1
        self.until_s = now_s + length_s
        self.suspicion = 0.0
        self._path = _Shift()

    def _enter_trial(self, now_s: float) -> None:
        self._enter(UpstreamState.TRIAL, self.cause, now_s)
        self.until_s = now_s + MAX_TRIAL_S * self._jitter()

    def _enter_ramp(self, now_s: float) -> None:
        self._enter(UpstreamState.RAMPING, Cause.START, now_s)
        self.suspicion = 0.0
