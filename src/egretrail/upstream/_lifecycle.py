"""The states of one upstream: in service, ejected, on trial, ramping."""

import random
from dataclasses import dataclass

from egretrail.upstream._thresholds import Thresholds
from egretrail.upstream._verdict import Cause, UpstreamState, Verdict

#: An ejection lasts at most this long, however often the upstream has flapped.
LONGEST_EJECTION_S = 300.0

#: The ejection time falls by half for each so long spell in service: an upstream that was bad last
#: hour starts anew, one that is good for half a minute at a time does not.
FORGIVEN_AFTER_S = 120.0

#: Lengths vary by this share, so that members and upstreams do not return in one wave.
JITTER = 0.1

#: A convicted upstream that must stay in service gets this share: enough to notice that it has
#: recovered, little enough that callers hardly meet it.
UNCOVERED_WEIGHT = 0.05

#: The trickle of idempotent work that a trial runs on; a trial that fails costs one request.
TRIAL_WEIGHT = 0.1

#: A trial without any work (a service without idempotent requests) ends after this long.
LONGEST_TRIAL_S = 30.0

#: The share a ramp begins with.
RAMP_START_WEIGHT = 0.1

#: What a member sends over a path that only it finds bad, to notice that the path is back.
PATH_WEIGHT = 0.02

#: How long the first shift away from a bad path lasts, and the longest.
PATH_SHIFT_S = 3.0
LONGEST_PATH_SHIFT_S = 60.0

#: After a request crashed it, an upstream is given this long to start again before refused
#: connections count as its own fault. A process restarts in seconds.
CRASH_GRACE_S = 10.0

#: From this part of the ejecting score on, an upstream's share falls, down to the floor given.
_SOFT_FROM = 0.5
_SOFT_FLOOR = 0.3


@dataclass(slots=True)
class _Shift:
    """A stretch of time in which little work is sent, for a reason that is no ejection."""

    #: When it ends.
    until_s: float = 0.0
    #: When it began.
    since_s: float = 0.0

    def active(self, now_s: float) -> bool:
        return now_s < self.until_s


class Lifecycle:
    """The state of one upstream at one member."""

    def __init__(
        self, limits: Thresholds, ramp_s: float, rng: random.Random, now_s: float, new: bool
    ) -> None:
        self._limits = limits
        self._ramp_s = ramp_s
        self._rng = rng
        ramping = new and ramp_s > 0
        self.state = UpstreamState.RAMPING if ramping else UpstreamState.HEALTHY
        self.cause = Cause.START if ramping else Cause.NONE
        self.since_s = now_s
        #: Ejections that this member knows of, its own and adopted ones.
        self.generation = 0
        #: When the ejection or trial ends.
        self.until_s = 0.0
        #: Part of the ejecting score that the evidence reaches now.
        self.suspicion = 0.0
        self._level = 0
        self._forgiven_s = now_s
        self._path = _Shift()
        self._path_level = 0
        self._crash = _Shift()

    def use_limits(self, limits: Thresholds, ramp_s: float) -> None:
        """Go on with other thresholds; the state is kept."""
        self._limits = limits
        self._ramp_s = ramp_s

    @property
    def threshold_factor(self) -> float:
        """Return what the ejecting score is multiplied by: less is needed soon after a return."""
        return 0.6 if self._level and self.state is UpstreamState.RAMPING else 1.0

    @property
    def out(self) -> bool:
        """Return whether the upstream is ejected or on trial, covered by a right or not."""
        return self.state in (UpstreamState.EJECTED, UpstreamState.TRIAL)

    def predates_return(self, started_s: float) -> bool:
        """Return whether an attempt began before the ejection or trial: it tells nothing new."""
        return self.out and started_s < self.since_s

    def ejected_for_s(self, now_s: float) -> float:
        """Return how much longer the ejection lasts, 0 when there is none."""
        if self.state is not UpstreamState.EJECTED:
            return 0.0
        return max(0.1, self.until_s - now_s)

    def in_crash_grace(self, now_s: float) -> bool:
        """Return whether a request crashed the upstream a moment ago."""
        return self._crash.active(now_s)

    def on_path_shift(self, now_s: float) -> bool:
        """Return whether this member sends little over its own bad path."""
        return self._path.active(now_s)

    def eject(self, cause: Cause, now_s: float) -> None:
        """Begin an ejection of this member's own finding."""
        self.generation += 1
        self._enter_ejection(cause, self._ejection_s(), now_s)

    def adopt(self, generation: int, remaining_s: float, now_s: float) -> None:
        """Begin an ejection that another member found."""
        self.generation = generation
        jittered_s = remaining_s * (1.0 + JITTER * self._rng.random())
        self._enter_ejection(Cause.PEER, jittered_s, now_s)

    def shift_from_path(self, now_s: float) -> None:
        """Send little over this member's own bad path, each time for longer."""
        length_s = min(LONGEST_PATH_SHIFT_S, PATH_SHIFT_S * 2.0**self._path_level)
        self._path_level += 1
        self._path = _Shift(now_s + length_s * self._jitter(), now_s)

    def crashed(self, now_s: float) -> None:
        """Give the upstream time to start again after a request crashed it."""
        self._crash = _Shift(now_s + CRASH_GRACE_S, now_s)

    def excuse(self, now_s: float) -> None:
        """Take back the last ejection's weight: a request was to blame."""
        if self.state is UpstreamState.EJECTED and self.cause is Cause.FAILURES:
            self._level = max(0, self._level - 1)
            self._enter_trial(now_s)

    def answered(self, now_s: float) -> None:
        """Note a good answer: the upstream runs again after a crash."""
        if self._crash.active(now_s):
            self._crash = _Shift()
            if not self.out:
                self._enter_ramp(now_s)

    def end_trial(self, now_s: float) -> None:
        """Begin the ramp: the trial went well."""
        self._enter_ramp(now_s)

    def advance(self, now_s: float) -> bool:
        """Let time pass; return whether the upstream came back from a path shift or ejection.

        What was observed before such a return must not count again.
        """
        if self._path.until_s and not self._path.active(now_s):
            self._path = _Shift()
            if not self.out:
                self._enter_ramp(now_s)
            return True
        if self.state is UpstreamState.EJECTED and now_s >= self.until_s:
            self._enter_trial(now_s)
            return True
        if self.state is UpstreamState.RAMPING and now_s >= self.since_s + self._ramp_s:
            self._enter(UpstreamState.HEALTHY, Cause.NONE, now_s)
        self._forgive(now_s)
        return False

    def verdict(self, covered: bool, now_s: float) -> Verdict:
        """Return the decision; ``covered``: a right covers an ejection now."""
        if self.state is UpstreamState.EJECTED and now_s < self.until_s:
            if covered:
                return Verdict(UpstreamState.EJECTED, 0.0, self.cause, self.since_s)
            return Verdict(UpstreamState.DEGRADED, UNCOVERED_WEIGHT, self.cause, self.since_s)
        if self._path.active(now_s):
            return Verdict(UpstreamState.DEGRADED, PATH_WEIGHT, Cause.PATH, self._path.since_s)
        if self._crash.active(now_s):
            cause = Cause.CRASHED_BY_REQUEST
            return Verdict(UpstreamState.DEGRADED, UNCOVERED_WEIGHT, cause, self._crash.since_s)
        if self.out:
            if covered:
                return Verdict(UpstreamState.TRIAL, TRIAL_WEIGHT, self.cause, self.since_s)
            return Verdict(UpstreamState.DEGRADED, TRIAL_WEIGHT, self.cause, self.since_s)
        return self._in_service(now_s)

    def _in_service(self, now_s: float) -> Verdict:
        weight = 1.0
        if self.state is UpstreamState.RAMPING and self._ramp_s > 0:
            grown = min(1.0, (now_s - self.since_s) / self._ramp_s)
            weight = RAMP_START_WEIGHT + (1.0 - RAMP_START_WEIGHT) * grown
        if self.suspicion <= _SOFT_FROM:
            return Verdict(self.state, weight, self.cause, self.since_s)
        over = min(1.0, (self.suspicion - _SOFT_FROM) / (1.0 - _SOFT_FROM))
        weight *= 1.0 - (1.0 - _SOFT_FLOOR) * over
        return Verdict(UpstreamState.DEGRADED, weight, self.cause, self.since_s)

    def _ejection_s(self) -> float:
        length_s = min(LONGEST_EJECTION_S, self._limits.first_ejection_s * 2.0**self._level)
        return length_s * self._jitter()

    def _jitter(self) -> float:
        return 1.0 + JITTER * (2.0 * self._rng.random() - 1.0)

    def _forgive(self, now_s: float) -> None:
        if self.state is not UpstreamState.HEALTHY or self.suspicion > _SOFT_FROM:
            self._forgiven_s = now_s
        elif now_s - self._forgiven_s >= FORGIVEN_AFTER_S:
            self._forgiven_s = now_s
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
        self.until_s = now_s + LONGEST_TRIAL_S * self._jitter()

    def _enter_ramp(self, now_s: float) -> None:
        self._enter(UpstreamState.RAMPING, Cause.START, now_s)
        self.suspicion = 0.0
