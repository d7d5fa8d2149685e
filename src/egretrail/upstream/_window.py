"""Counts of recent attempts that fade with newer attempts and with time."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Counts:
    """Attempts and failures, and how long answers took; the sum over members is meaningful."""

    #: Attempts that ended as evidence.
    attempts: float = 0.0
    #: Those of them that failed.
    failures: float = 0.0
    #: Answers whose latency was compared.
    timed: float = 0.0
    #: Sum of the logarithms of their latency relative to the median of their kind.
    slowness: float = 0.0

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(
            self.attempts + other.attempts,
            self.failures + other.failures,
            self.timed + other.timed,
            self.slowness + other.slowness,
        )

    def __sub__(self, other: "Counts") -> "Counts":
        return Counts(
            self.attempts - other.attempts,
            self.failures - other.failures,
            self.timed - other.timed,
            self.slowness - other.slowness,
        )

    def times(self, factor: float) -> "Counts":
        """Return the counts scaled by a factor."""
        return Counts(
            self.attempts * factor,
            self.failures * factor,
            self.timed * factor,
            self.slowness * factor,
        )

    @property
    def failure_share(self) -> float:
        """Return failures as a share of attempts."""
        return self.failures / self.attempts if self.attempts > 0 else 0.0

    @property
    def mean_slowness(self) -> float:
        """Return the mean logarithm of relative latency."""
        return self.slowness / self.timed if self.timed > 0 else 0.0


NOTHING = Counts()


@dataclass(frozen=True, slots=True)
class WindowShape:
    """How fast a window forgets."""

    #: What remains of the counts after one more attempt.
    kept_per_attempt: float
    #: What remains after this long is 1/e.
    life_s: float

    def kept_after(self, elapsed_s: float) -> float:
        """Return what remains of counts after a time."""
        return math.exp(-max(0.0, elapsed_s) / self.life_s)


#: Sees an abrupt failure: about the last four attempts of each member, so that four failures in
#: the group stand out against hundreds of earlier answers.
SHORT = WindowShape(kept_per_attempt=0.75, life_s=10.0)

#: Sees partial failures: about the last forty attempts of each member. A tenth failing needs about
#: eighty attempts to be told from one in a hundred.
LONG = WindowShape(kept_per_attempt=0.975, life_s=40.0)


class Window:
    """One fading window of one member over one upstream."""

    __slots__ = ("_at_s", "_attempts", "_failures", "_shape", "_slowness", "_timed")

    def __init__(self, shape: WindowShape, now_s: float) -> None:
        self._shape = shape
        self._at_s = now_s
        self._attempts = 0.0
        self._failures = 0.0
        self._timed = 0.0
        self._slowness = 0.0

    def clear(self, now_s: float) -> None:
        """Forget everything."""
        self.__init__(self._shape, now_s)  # type: ignore[misc]

    def add_answer(self, slowness: float | None, now_s: float) -> None:
        """Count a good answer; ``slowness`` is its log latency ratio, None when not compared."""
        self._fade(1.0, now_s)
        self._attempts += 1.0
        if slowness is not None:
            self._timed += 1.0
            self._slowness += slowness

    def add_failure(self, weight: float, now_s: float) -> None:
        """Count a failure with a weight: below 1 when something else explains it."""
        self._fade(weight, now_s)
        self._attempts += weight
        self._failures += weight

    def excuse(self, weight: float) -> None:
        """Take back a failure that something else turned out to explain."""
        excused = min(weight, self._failures)
        self._failures -= excused
        self._attempts -= excused

    def counts(self, now_s: float) -> Counts:
        """Return the counts as faded by now."""
        kept = self._shape.kept_after(now_s - self._at_s)
        return Counts(
            self._attempts * kept,
            self._failures * kept,
            self._timed * kept,
            self._slowness * kept,
        )

    def counts_with(self, overdue: int, slowness: float, now_s: float) -> Counts:
        """Return the counts as if ``overdue`` more answers had come, each this slow."""
        counts = self.counts(now_s)
        if overdue == 0:
            return counts
        kept = self._shape.kept_per_attempt**overdue
        added = (1.0 - kept) / (1.0 - self._shape.kept_per_attempt)
        return counts.times(kept) + Counts(0.0, 0.0, added, added * slowness)

    def _fade(self, weight: float, now_s: float) -> None:
        kept = self._shape.kept_after(now_s - self._at_s) * self._shape.kept_per_attempt**weight
        self._at_s = now_s
        self._attempts *= kept
        self._failures *= kept
        self._timed *= kept
        self._slowness *= kept
